package overseer

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// leaseCheckInterval is how often a VM looks whether it leads.
	leaseCheckInterval = 20 * time.Millisecond
	// planPause collects what happens within a few milliseconds into one decision.
	planPause = 4 * time.Millisecond
	// restFactor is for how many times its own duration a decision is followed by a pause, so that decisions
	// leave the processor to orders and answers.
	restFactor = 2
	// planInterval bounds the time between two decisions, for work that becomes due by time alone.
	planInterval = 100 * time.Millisecond
	// orderTimeout bounds one order to a worker. It is a multiple of the round trip between data centres.
	orderTimeout = 700 * time.Millisecond
	// orderAge is how old an order may be when it is sent. A worker takes longer to begin a later life.
	orderAge = 200 * time.Millisecond
	// renewSlack is added to the time for which a worker may hold its answer back.
	renewSlack = time.Second
	// firstRetry and lastRetry bound the pause before an unanswered order is repeated.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
	// proposeTimeout bounds the wait for a majority. It covers a change of the leader.
	proposeTimeout = 3 * time.Second
	// refusalPause is for how long a worker that has refused an order gets no new work.
	refusalPause = 300 * time.Millisecond
	// unhealthyPause is for how long a worker that says it is unhealthy gets no new work.
	unhealthyPause = 2 * time.Second
	// beatsUntilSilent is after how many missing beats a worker gets no new work.
	beatsUntilSilent = 2.5
	// maxWait is the longest time for which a worker is asked to hold an answer back.
	maxWait = 2 * time.Second
	// watchWait is the same where serving tasks run, whose latency decides about fill tasks. lookCost raises
	// it with the number of workers, so that the leader takes at most a thousand looks a second.
	watchWait = 300 * time.Millisecond
	lookCost  = time.Millisecond
)

// Option changes a setting of an Overseer.
type Option func(overseer *Overseer)

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger zerolog.Logger) Option {
	return func(overseer *Overseer) { overseer.logger = logger }
}

// WithScope sets where metrics go. The default drops them.
func WithScope(scope tally.Scope) Option {
	return func(overseer *Overseer) { overseer.metrics = newMetrics(scope) }
}

// WithLease sets the longest lease of a worker and by how much its clock may be slow, 10 s and 0.02 by
// default.
func WithLease(duration time.Duration, drift float64) Option {
	return func(overseer *Overseer) { overseer.leaseDuration, overseer.drift = duration, drift }
}

// WithHeartbeatInterval sets how often workers send beats, 1 s by default.
func WithHeartbeatInterval(interval time.Duration) Option {
	return func(overseer *Overseer) { overseer.beatInterval = interval }
}

// WithStopTime sets how long a worker takes at most to stop an attempt, 1 s by default.
func WithStopTime(stopTime time.Duration) Option {
	return func(overseer *Overseer) { overseer.stopTime = stopTime }
}

// WithApprover sets the service that approves workers. Without one, queues that need approval wait.
func WithApprover(approver scheduler.Approver) Option {
	return func(overseer *Overseer) { overseer.approver = approver }
}

// WithMaintainer sets who begins the maintenance of VMs. self names this VM in orders; lease is how long a new leader waits
// before it gives any, because those of the former leader may still be under way.
func WithMaintainer(maintainer scheduler.Maintainer, self scheduler.VMName, lease time.Duration) Option {
	return func(overseer *Overseer) {
		overseer.maintainer, overseer.self, overseer.maintainerLease = maintainer, self, lease
	}
}

// WithSuspension counts the time for which the VM is suspended, see replicator.WithSuspension.
func WithSuspension() Option {
	return func(overseer *Overseer) { overseer.countSuspension = true }
}
