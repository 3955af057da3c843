// Package overseer schedules the jobs of a domain on the VM that leads the domain's group. It tracks workers by their
// heartbeats, places tasks, sends orders, renews leases and records the ends of attempts.
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
	"github.com/crocusplank/crocusplank/internal/jobs/progresswatcher"
	"github.com/crocusplank/crocusplank/internal/state/budgeter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("overseer")

// Overseer schedules the jobs of a domain while its VM leads the group. It is safe for concurrent use.
type Overseer struct {
	group    scheduler.Group
	keeper   *jobkeeper.Keeper
	client   scheduler.WorkerClient
	approver scheduler.Approver
	// maintainer is nil if VMs have no maintenance. maintainerLease is how long orders of a former leader may still
	// arrive. self identifies this VM in orders.
	maintainer      scheduler.Maintainer
	maintainerLease time.Duration
	self            scheduler.VMName
	logger          zerolog.Logger
	metrics         *metrics

	leaseDuration     time.Duration
	clockDrift        float64
	heartbeatInterval time.Duration
	stopTime          time.Duration
	// maxReportedEnds is the maximum number of ended attempts in one report of a worker, or zero if there is none.
	maxReportedEnds int
	countSuspension bool
	// jobRetention is how long a job is kept after its end, or zero if it is kept for ever.
	jobRetention time.Duration
	// handOver asks another VM to lead. It may be nil.
	handOver func()
	// candidacy lets this VM withdraw from leading.
	candidacy scheduler.Candidacy
	// watcher decides whether the leadership works.
	watcher *progresswatcher.Watcher
	// maxIdle is the maximum idle time of a reservation, or zero if none are made.
	maxIdle time.Duration
	// forecastAdmission is true if jobs are refused that could not finish in time.
	forecastAdmission bool
	// budget divides the room of the disk, and usedBytes returns how much of it the files of the domain's group take.
	budget    budgeter.Budget
	usedBytes func() int64
	clock     stopwatch.Stopwatch

	current      atomic.Pointer[leadership]
	submissions  pendingSubmissions
	leaseRecords leaseRecords
}

// New returns an Overseer. It is inactive until Run is called.
func New(group scheduler.Group, keeper *jobkeeper.Keeper, client scheduler.WorkerClient, options ...Option) *Overseer {
	overseer := &Overseer{
		group: group, keeper: keeper, client: client, logger: zerolog.Nop(), metrics: newMetrics(tally.NoopScope),
		leaseDuration: 10 * time.Second, clockDrift: 0.02, heartbeatInterval: time.Second, stopTime: time.Second,
		usedBytes: func() int64 { return 0 }, candidacy: noCandidacy{},
	}
	for _, option := range options {
		option(overseer)
	}
	overseer.watcher = overseer.newProgressWatcher()
	overseer.clock = stopwatch.Start()
	if overseer.countSuspension {
		overseer.clock = stopwatch.StartBootTime()
	}
	return overseer
}

// Run schedules jobs whenever this VM leads, until ctx is done. It returns an error that wraps ErrHangs if this VM cannot
// lead again in this process.
func (overseer *Overseer) Run(ctx context.Context) error {
	var recovery panicRecovery
	for ctx.Err() == nil {
		if overseer.group.HoldsLeaderLease() {
			began := overseer.clock.Elapsed()
			former := overseer.lead(ctx, overseer.group.Status().Term())
			if err := overseer.awaitEnd(former); err != nil {
				return err
			}
			if former.progress.suspected.Load() != nil {
				overseer.recoverFromSuspicion(ctx)
			}
			if former.panicked.Load() {
				overseer.recoverFromPanic(ctx, recovery.next(overseer.clock.Elapsed()-began))
			}
		}
		waiter.Sleep(ctx, leaseCheckInterval)
	}
	return nil
}

// lead schedules jobs for one term, until the VM is no longer the leader, the leadership is deposed or ctx is done. It
// returns the leadership, whose goroutines may still be about to end and use its state and the metrics.
func (overseer *Overseer) lead(ctx context.Context, term scheduler.Term) *leadership {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leadership := newLeadership(ctx, overseer, term)
	overseer.logger.Info().Str("event", "leadershipTaken").Uint64("term", uint64(term)).
		Msg("this VM is now the leader of the domain")
	overseer.current.Store(leadership)
	overseer.watcher.Begin()
	leadership.goroutines.Go(leadership.showProgress)
	leadership.goroutines.Go(leadership.plan)
	leadership.goroutines.Go(leadership.stopObsoleteAttempts)
	leadership.goroutines.Go(leadership.recordLeases)
	leadership.goroutines.Go(leadership.recordBeginnings)
	if overseer.approver != nil {
		leadership.goroutines.Go(leadership.requestApprovals)
	}
	if overseer.maintainer != nil {
		leadership.goroutines.Go(leadership.maintain)
	}
	if overseer.jobRetention > 0 {
		leadership.goroutines.Go(leadership.forgetEndedJobs)
	}
	for ctx.Err() == nil && overseer.isLeaderOf(term) && !leadership.deposed.Load() && overseer.watchProgress(leadership) {
		waiter.Sleep(ctx, leaseCheckInterval)
	}
	overseer.current.Store(nil)
	overseer.logger.Info().Str("event", "leadershipLost").Uint64("term", uint64(term)).
		Msg("this VM is no longer the leader of the domain")
	return leadership
}

// isLeaderOf reports whether this VM still leads the given term. A leader lease that has expired temporarily suspends
// orders but does not end the term.
func (overseer *Overseer) isLeaderOf(term scheduler.Term) bool {
	status := overseer.group.Status()
	return status.Role() == scheduler.GroupLeader && status.Term() == term
}

// IsLeader reports whether this VM may currently respond on behalf of the domain.
func (overseer *Overseer) IsLeader() bool {
	return overseer.current.Load() != nil && overseer.group.HoldsLeaderLease()
}

// CanMaintain reports whether this VM can process maintenance waves.
func (overseer *Overseer) CanMaintain() bool { return overseer.maintainer != nil }

// Propose replicates a command and returns its result.
func (overseer *Overseer) Propose(ctx context.Context, command jobkeeper.Command) (jobkeeper.Result, error) {
	data, err := command.Encode()
	if err != nil {
		return jobkeeper.Result{}, scheduler.ErrNotRun.Wrap(err)
	}
	response, err := overseer.group.Propose(ctx, data)
	if err != nil {
		return jobkeeper.Result{}, Error.Wrap(err)
	}
	return jobkeeper.DecodeResult(response)
}
