// Package explainer asks a domain where a job would go if it were submitted now, and prints the answer. It connects to
// the VMs of the domain as another VM does, holds no state and submits nothing.
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

// Error is the class of errors that this package returns.
var Error = errs.Class("explainer")

// pollInterval is the time between two attempts while no leader is connected yet.
const pollInterval = 100 * time.Millisecond

// Explain asks the leader of a domain where the tasks of a job would go. seeds are the peer addresses of VMs that hold the
// domain's state. It returns an error if no leader responds before ctx ends or if the domain rejects the request.
func Explain(
	ctx context.Context, group scheduler.GroupName, seeds []netip.AddrPort, request handler.ExplainRequest,
) (*overseer.PlacementExplanation, error) {
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
		response := leaderClient.Do(ctx, &handler.Request{Explain: &request})
		switch response.Status {
		case handler.StatusDone:
			if response.Explanation == nil {
				return nil, Error.New("the leader runs an older build that explains no placements")
			}
			return response.Explanation, nil
		case handler.StatusUnavailable, handler.StatusNotLeader, handler.StatusOutcomeUnknown:
			if !waiter.Sleep(ctx, pollInterval) {
				return nil, Error.New("no leader responded in time: %s", response.Reason)
			}
		default:
			return nil, Error.New("%s: %s", response.Status, response.Reason)
		}
	}
}
