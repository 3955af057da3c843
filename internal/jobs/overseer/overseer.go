// Package overseer runs the jobs of a domain from the VM that leads its group: it knows the workers from
// their beats, chooses workers for tasks, sends orders, renews leases and records how attempts end.
//
// Lock order: leadership, then jobkeeper.Keeper. No lock is held during an order or a proposal.
package overseer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/basics/stopwatch"
	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("overseer")

// Overseer acts for a domain while its VM leads the group. It is safe for concurrent use.
type Overseer struct {
	group    scheduler.Group
	keeper   *jobkeeper.Keeper
	client   scheduler.WorkerClient
	approver scheduler.Approver
	// maintainer is nil where VMs have no maintenance. maintainerLease is for how long orders of a former leader may come,
	// self names the VM in orders.
	maintainer      scheduler.Maintainer
	maintainerLease time.Duration
	self            scheduler.VMName
	logger          zerolog.Logger
	metrics         *metrics

	leaseDuration   time.Duration
	drift           float64
	beatInterval    time.Duration
	stopTime        time.Duration
	countSuspension bool
	watch           stopwatch.Stopwatch

	current atomic.Pointer[leadership]
}

// New returns an Overseer that does nothing before Run.
func New(group scheduler.Group, keeper *jobkeeper.Keeper, client scheduler.WorkerClient, options ...Option) *Overseer {
	overseer := &Overseer{
		group: group, keeper: keeper, client: client, logger: zerolog.Nop(), metrics: newMetrics(tally.NoopScope),
		leaseDuration: 10 * time.Second, drift: 0.02, beatInterval: time.Second, stopTime: time.Second,
	}
	for _, option := range options {
		option(overseer)
	}
	overseer.watch = stopwatch.Start()
	if overseer.countSuspension {
		overseer.watch = stopwatch.StartBootTime()
	}
	return overseer
}

// Run acts whenever this VM leads, until ctx ends.
func (overseer *Overseer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if overseer.group.HoldsLeaderLease() {
			overseer.lead(ctx, overseer.group.Status().Term())
		}
		waiter.Sleep(ctx, leaseCheckInterval)
	}
}

// lead acts for one term, until the VM loses the leader lease for good or ctx ends.
func (overseer *Overseer) lead(ctx context.Context, term scheduler.Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leadership := newLeadership(ctx, overseer, term)
	overseer.logger.Info().Str("event", "leadershipTaken").Uint64("term", uint64(term)).Msg("this VM acts for the domain")
	overseer.current.Store(leadership)
	leadership.workers.Go(leadership.plan)
	if overseer.approver != nil {
		leadership.workers.Go(leadership.askApprover)
	}
	if overseer.maintainer != nil {
		leadership.workers.Go(leadership.maintain)
	}
	for ctx.Err() == nil && overseer.leads(term) && !leadership.deposed.Load() {
		waiter.Sleep(ctx, leaseCheckInterval)
	}
	overseer.current.Store(nil)
	cancel()
	leadership.workers.Close()
	overseer.logger.Info().Str("event", "leadershipLost").Uint64("term", uint64(term)).Msg("this VM no longer acts for the domain")
}

// leads reports whether this VM is still the leader of a term. A lease that has lapsed for a moment stops
// orders, but does not end the term.
func (overseer *Overseer) leads(term scheduler.Term) bool {
	status := overseer.group.Status()
	return status.Role() == scheduler.GroupLeader && status.Term() == term
}

// Leads reports whether this VM may answer for the domain now.
func (overseer *Overseer) Leads() bool {
	return overseer.current.Load() != nil && overseer.group.HoldsLeaderLease()
}

// Maintains reports whether this VM can carry out waves of maintenance.
func (overseer *Overseer) Maintains() bool { return overseer.maintainer != nil }

// Propose replicates a command and returns its result.
func (overseer *Overseer) Propose(ctx context.Context, command jobkeeper.Command) (jobkeeper.Result, error) {
	data, err := command.Encode()
	if err != nil {
		return jobkeeper.Result{}, scheduler.ErrNotRun.Wrap(err)
	}
	answer, err := overseer.group.Propose(ctx, data)
	if err != nil {
		return jobkeeper.Result{}, Error.Wrap(err)
	}
	return jobkeeper.DecodeResult(answer)
}
