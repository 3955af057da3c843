package overseer

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/state/budgeter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// leaseCheckInterval is how often the leader lease is checked.
	leaseCheckInterval = 20 * time.Millisecond
	// planBatchDelay batches events that occur within a few milliseconds into one planning cycle.
	planBatchDelay = 4 * time.Millisecond
	// planPauseFactor is the pause after a planning cycle as a multiple of the cycle's duration. It leaves CPU time
	// for orders and responses.
	planPauseFactor = 2
	// maxPlanPause bounds that pause. On a busy VM a cycle takes long because it waits for the processor. A pause in
	// proportion would then add to the tasks that the next cycle has to place, and make that one longer still.
	maxPlanPause = 200 * time.Millisecond
	// planInterval is the maximum time between planning cycles, for work that becomes due at a certain time.
	planInterval = 100 * time.Millisecond
	// orderTimeout is the timeout of one order to a worker. It is a multiple of the round trip between data centres.
	orderTimeout = 700 * time.Millisecond
	// maxOrderAge is the maximum age of an order when it is sent. A worker takes longer than this to restart.
	maxOrderAge = 200 * time.Millisecond
	// renewTimeoutMargin is added to the time for which a worker may delay its response to a renewal.
	renewTimeoutMargin = time.Second
	// minRetryDelay and maxRetryDelay bound the delay before an unanswered order is repeated.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// proposeTimeout is the timeout of a proposal. It covers a leader change.
	proposeTimeout = 3 * time.Second
	// refusalBackoff is how long a worker that has refused an order gets no new work.
	refusalBackoff = 300 * time.Millisecond
	// unhealthyBackoff is how long a worker that reports itself as unhealthy gets no new work.
	unhealthyBackoff = 2 * time.Second
	// missedHeartbeatLimit is the number of heartbeat intervals without contact after which a worker gets no new
	// work.
	missedHeartbeatLimit = 2.5
	// maxRenewWait is the maximum time for which a worker is asked to delay its response to a renewal.
	maxRenewWait = 2 * time.Second
	// servingRenewWait is the minimum of that time for workers with serving tasks, whose latency controls the
	// throttling of fill tasks. renewWaitPerWorker raises it with the number of workers, so that the leader sends at
	// most 1,000 renewals per second.
	servingRenewWait   = 300 * time.Millisecond
	renewWaitPerWorker = time.Millisecond
)

// Option configures an Overseer.
type Option func(overseer *Overseer)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(overseer *Overseer) { overseer.logger = logger }
}

// WithScope sets the metrics scope. By default metrics are discarded.
func WithScope(scope tally.Scope) Option {
	return func(overseer *Overseer) { overseer.metrics = newMetrics(scope) }
}

// WithLease sets the maximum lease duration of workers, 10 s by default, and the fraction by which a worker's clock
// may run slow, 0.02 by default.
func WithLease(duration time.Duration, clockDrift float64) Option {
	return func(overseer *Overseer) { overseer.leaseDuration, overseer.clockDrift = duration, clockDrift }
}

// WithHeartbeatInterval sets how often workers send heartbeats, 1 s by default.
func WithHeartbeatInterval(interval time.Duration) Option {
	return func(overseer *Overseer) { overseer.heartbeatInterval = interval }
}

// WithStopTime sets the maximum time that a worker takes to stop an attempt, 1 s by default.
func WithStopTime(stopTime time.Duration) Option {
	return func(overseer *Overseer) { overseer.stopTime = stopTime }
}

// WithMaxReportedEnds sets how many ended attempts a worker lists in one report at most. A report with as many may leave
// out others. By default there is no limit.
func WithMaxReportedEnds(limit int) Option {
	return func(overseer *Overseer) { overseer.maxReportedEnds = limit }
}

// WithCandidacy sets how this VM withdraws from leading while a leadership hangs. By default it does not withdraw.
func WithCandidacy(candidacy scheduler.Candidacy) Option {
	return func(overseer *Overseer) { overseer.candidacy = candidacy }
}

// WithHandOver sets a function that asks another VM to lead. It is called when panics end the leaderships of this VM one after
// the other. By default, this VM goes on trying.
func WithHandOver(handOver func()) Option {
	return func(overseer *Overseer) { overseer.handOver = handOver }
}

// WithJobRetention sets how long a job is kept after its end. By default it is kept for ever.
func WithJobRetention(retention time.Duration) Option {
	return func(overseer *Overseer) { overseer.jobRetention = retention }
}

// WithApprover sets the approval service. Without one, tasks of queues that require approval are not placed.
func WithApprover(approver scheduler.Approver) Option {
	return func(overseer *Overseer) { overseer.approver = approver }
}

// WithMaintainer enables the maintenance of VMs. self identifies this VM in orders. lease is how long a new leader
// waits before its first order, because orders of the former leader may still arrive.
func WithMaintainer(maintainer scheduler.Maintainer, self scheduler.VMName, lease time.Duration) Option {
	return func(overseer *Overseer) {
		overseer.maintainer, overseer.self, overseer.maintainerLease = maintainer, self, lease
	}
}

// WithDiskBudget refuses new jobs while the files of the domain's group, log and snapshots, take more of the disk than the
// budget leaves to new work. usedBytes returns their size. By default there is no limit.
func WithDiskBudget(budget budgeter.Budget, usedBytes func() int64) Option {
	return func(overseer *Overseer) { overseer.budget, overseer.usedBytes = budget, usedBytes }
}

// WithSuspension includes the time during which the VM is suspended in the elapsed time, see
// replicator.WithSuspension.
func WithSuspension() Option {
	return func(overseer *Overseer) { overseer.countSuspension = true }
}
