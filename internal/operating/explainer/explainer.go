// Package explainer asks a domain where a job would go if it were submitted now, or why an accepted one waits, and prints
// the answer. It connects to the VMs of the domain as another VM does, holds no state and submits nothing.
package explainer

import (
	"context"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/jobs/handler"
	"github.com/crocusplank/crocusplank/internal/jobs/overseer"
	"github.com/crocusplank/crocusplank/internal/state/messenger"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var (
	// Error is the class of errors that this package returns and that have no class of their own.
	Error = errs.Class("explainer")
	// ErrInvalid means that an ID is malformed.
	ErrInvalid = errs.Class("invalid")
	// ErrNotFound means that a job or a task does not exist.
	ErrNotFound = errs.Class("not found")
	// ErrEnded means that a job or a task has ended and waits for nothing.
	ErrEnded = errs.Class("ended")
	// ErrNoLeader means that no leader of the domain responded in time.
	ErrNoLeader = errs.Class("no leader")
)

// pollInterval is the time between two attempts while no leader is connected yet.
const pollInterval = 100 * time.Millisecond

// Explain asks the leader of a domain where the tasks of a job would go. seeds are the peer addresses of VMs that hold the
// domain's state. It returns an error of class ErrNoLeader if no leader responds before ctx ends, and another one if the
// domain rejects the request.
func Explain(
	ctx context.Context, group scheduler.GroupName, seeds []netip.AddrPort, request handler.ExplainRequest,
) (*overseer.PlacementExplanation, error) {
	response, err := ask(ctx, group, seeds, &handler.Request{Explain: &request})
	if err != nil {
		return nil, err
	}
	if response.Explanation == nil {
		return nil, Error.New("the leader runs an older build that explains no placements")
	}
	return response.Explanation, nil
}

// ExplainWait asks the leader of a domain why the tasks of a job wait. It returns an error of class ErrNotFound or ErrEnded
// if there is no such job or task, or none any more, and otherwise the same errors as Explain.
func ExplainWait(
	ctx context.Context, group scheduler.GroupName, seeds []netip.AddrPort, request handler.ExplainWaitRequest,
) (*overseer.WaitExplanation, error) {
	response, err := ask(ctx, group, seeds, &handler.Request{ExplainWait: &request})
	if err != nil {
		return nil, err
	}
	if response.WaitExplanation == nil {
		return nil, Error.New("the leader runs an older build that explains no waits")
	}
	return response.WaitExplanation, nil
}

// ask sends a request to the leader of a domain until there is a response.
func ask(
	ctx context.Context, group scheduler.GroupName, seeds []netip.AddrPort, request *handler.Request,
) (*handler.Response, error) {
	peers, names := map[scheduler.VMName]string{}, make([]scheduler.VMName, len(seeds))
	for position, seed := range seeds {
		names[position] = scheduler.VMName(seed.String())
		peers[names[position]] = seed.String()
	}
	// The name differs from that of every VM, so that the domain does not take this process for one of them.
	self := scheduler.VMName("explain-" + strconv.Itoa(os.Getpid()))
	network := messenger.New(self, peers, messenger.WithDiscovery())
	network.Start()
	defer network.Close()
	leaderClient := handler.NewLeaderClient(network, group, names, nil, tally.NoopScope, zerolog.Nop())
	for {
		response := leaderClient.Do(ctx, request)
		switch response.Status {
		case handler.StatusDone:
			return &response, nil
		case handler.StatusUnavailable, handler.StatusNotLeader, handler.StatusOutcomeUnknown:
			if !waiter.Sleep(ctx, pollInterval) {
				return nil, ErrNoLeader.New("no leader responded in time: %s", response.Reason)
			}
		case handler.StatusEnded:
			return nil, ErrEnded.New("%s", response.Reason)
		case handler.StatusNoJob:
			return nil, ErrNotFound.New("%s", response.Reason)
		default:
			return nil, Error.New("%s: %s", response.Status, response.Reason)
		}
	}
}
