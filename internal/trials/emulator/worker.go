// Package emulator provides emulated workers, endpoints and callers for the demo and for tests.
package emulator

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("emulator")

const (
	syncPeriod      = time.Second
	exchangeTimeout = 3 * time.Second
	// urgentCheckpointAge is the age of an unrenewed lease at which a checkpoint is taken, from section 6 of the
	// design page.
	urgentCheckpointAge = 10 * time.Second
	// stepPeriod is how often tasks make progress and leases are checked.
	stepPeriod = 100 * time.Millisecond
	// usageDelay is the time between the end of a usage interval and its report.
	usageDelay = 20 * time.Second
	// crashDowntime is how long a worker is down after a crash.
	crashDowntime = 3 * time.Second
)

// Exchange sends a worker's request to an entry VM and returns the response.
type Exchange func(ctx context.Context, request *scheduler.SyncRequest) (*scheduler.SyncResponse, error)

// Faults selects the faults to inject into a worker.
type Faults struct {
	// Frozen suspends the agent and its tasks, as in a paused VM.
	Frozen bool
	// FailStarts makes every attempt fail immediately after its start.
	FailStarts bool
	// FailKind makes every attempt of a task of this kind fail immediately after its start.
	FailKind string
	// CrashKind makes the worker crash CrashAfter after the start of a task of this kind. It is down for
	// crashDowntime and returns with a new incarnation.
	CrashKind  string
	CrashAfter time.Duration
	// IgnoreStop makes the worker ignore stop commands; it still stops attempts whose leases have expired.
	IgnoreStop bool
	// DropResponses discards the responses to requests that have reached the entry VM.
	DropResponses bool
	// IgnoreTerms makes the worker accept responses from leaders of earlier terms.
	IgnoreTerms bool
	// IgnoreLeases makes the worker continue attempts whose leases have expired.
	IgnoreLeases bool
}

// Execution is the worker's record of an attempt that it ran.
type Execution struct {
	Lease   scheduler.LeaseNumber
	Task    scheduler.TaskID
	Attempt scheduler.AttemptNumber
	Worker  scheduler.WorkerName
	Request scheduler.Resources
	// StartProgress and Progress are the task's accumulated run time at the start of the attempt and at its end, or
	// now while it runs.
	StartProgress time.Duration
	Progress      time.Duration
	// SavedProgress is the progress stored in the last checkpoint.
	SavedProgress time.Duration
	// FirstEffect and LastEffect are the times of the attempt's first and last effect.
	FirstEffect time.Time
	LastEffect  time.Time
	// Outcome is empty while the attempt runs.
	Outcome scheduler.AttemptOutcome
	// CrashedWorker is true if the attempt made the worker crash.
	CrashedWorker bool
}

// Worker emulates a worker and its agent. Its tasks do nothing but accumulate run time. It is safe for concurrent
// use.
type Worker struct {
	name     scheduler.WorkerName
	exchange Exchange
	// clockRate is the speed of the worker's clock relative to real time.
	clockRate        float64
	checkpointPeriod time.Duration
	// interference determines the latencies reported for services; nil reports none.
	interference *Interference

	mutex       sync.Mutex
	faults      Faults
	downUntil   time.Duration
	createdAt   time.Time
	incarnation scheduler.Incarnation
	sequence    uint64
	term        scheduler.Term
	attempts    map[scheduler.LeaseNumber]*attempt
	// highestLeases holds the highest lease number received for each task, so that neither a repeated nor a late
	// start command starts an attempt again.
	highestLeases map[scheduler.TaskID]scheduler.LeaseNumber
	// refusedLeases holds the leases whose stop command arrived before their start command.
	refusedLeases      map[scheduler.LeaseNumber]struct{}
	endedAttempts      map[scheduler.LeaseNumber]scheduler.EndedAttempt
	pendingCheckpoints []scheduler.Checkpoint
	pendingUsage       []usageReport
	// endedUsage holds the usage of attempts that ended in the current interval, which lasts until
	// usageIntervalEnd.
	endedUsage       []usageReport
	usageIntervalEnd time.Duration
	executions       []*Execution
}

// Option configures a Worker.
type Option func(*Worker)

// WithClockRate sets the speed of the worker's clock relative to real time; 1.1 is 10% too fast.
func WithClockRate(rate float64) Option { return func(worker *Worker) { worker.clockRate = rate } }

// WithCheckpointPeriod makes tasks take checkpoints periodically. By default they take none unless a command or
// an overdue lease renewal asks for it.
func WithCheckpointPeriod(period time.Duration) Option {
	return func(worker *Worker) { worker.checkpointPeriod = period }
}

// NewWorker returns a worker that communicates through exchange.
func NewWorker(name scheduler.WorkerName, exchange Exchange, options ...Option) *Worker {
	worker := &Worker{name: name, exchange: exchange, clockRate: 1, createdAt: time.Now()}
	for _, option := range options {
		option(worker)
	}
	worker.reset()
	return worker
}

// reset begins a new incarnation without attempts.
func (worker *Worker) reset() {
	worker.incarnation++
	worker.sequence, worker.term = 0, 0
	worker.attempts = map[scheduler.LeaseNumber]*attempt{}
	worker.highestLeases = map[scheduler.TaskID]scheduler.LeaseNumber{}
	worker.refusedLeases = map[scheduler.LeaseNumber]struct{}{}
	worker.endedAttempts = map[scheduler.LeaseNumber]scheduler.EndedAttempt{}
	worker.pendingCheckpoints, worker.pendingUsage, worker.endedUsage = nil, nil, nil
	worker.usageIntervalEnd = worker.now() + usageInterval
}

// now returns the time since the worker was created, by the worker's own clock.
func (worker *Worker) now() time.Duration {
	return time.Duration(float64(time.Since(worker.createdAt)) * worker.clockRate)
}

func (worker *Worker) realDuration(period time.Duration) time.Duration {
	return time.Duration(float64(period) / worker.clockRate)
}

// Run exchanges messages with the entry VMs and advances tasks until ctx ends.
func (worker *Worker) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { worker.runPeriodically(ctx, stepPeriod, worker.step) })
	worker.runPeriodically(ctx, syncPeriod, func() { worker.Sync(ctx) })
}

func (worker *Worker) runPeriodically(ctx context.Context, period time.Duration, action func()) {
	ticker := time.NewTicker(worker.realDuration(period))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			action()
		}
	}
}

// SetFaults replaces the set of injected faults.
func (worker *Worker) SetFaults(faults Faults) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.faults = faults
}

// Restart ends all attempts without reporting them and begins a new incarnation.
func (worker *Worker) Restart() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.loseAttempts()
}

func (worker *Worker) loseAttempts() {
	for _, lease := range slices.Sorted(maps.Keys(worker.attempts)) {
		worker.attempts[lease].execution.Outcome = scheduler.AttemptLost
	}
	worker.reset()
}

// Executions returns the records of all attempts under all incarnations, in the order of their starts.
func (worker *Worker) Executions() []Execution {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	executions := make([]Execution, len(worker.executions))
	for i, execution := range worker.executions {
		executions[i] = *execution
	}
	return executions
}

// Sync performs one exchange. A lost or late response has no effect; ended attempts and checkpoints are then reported
// again with the next request.
func (worker *Worker) Sync(ctx context.Context) {
	worker.mutex.Lock()
	if worker.faults.Frozen || worker.now() < worker.downUntil {
		worker.mutex.Unlock()
		return
	}
	sent := worker.now()
	request := worker.newRequest(sent)
	worker.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, worker.realDuration(exchangeTimeout))
	defer cancel()
	response, err := worker.exchange(ctx, request)
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if err != nil || worker.faults.DropResponses || worker.faults.Frozen || worker.incarnation != request.Incarnation {
		return
	}
	worker.applyResponse(response, request, sent)
}

func (worker *Worker) newRequest(sent time.Duration) *scheduler.SyncRequest {
	worker.sequence++
	request := &scheduler.SyncRequest{
		Worker: worker.name, Incarnation: worker.incarnation, Sequence: worker.sequence,
		Checkpoints: slices.Clone(worker.pendingCheckpoints), Usage: worker.takeDueUsage(sent),
	}
	for _, lease := range slices.Sorted(maps.Keys(worker.attempts)) {
		request.Running = append(request.Running, lease)
		if worker.attempts[lease].throttled {
			request.Throttled = append(request.Throttled, lease)
		}
	}
	for _, lease := range slices.Sorted(maps.Keys(worker.endedAttempts)) {
		request.Ended = append(request.Ended, worker.endedAttempts[lease])
	}
	return request
}

// applyResponse applies a response unless it belongs to an earlier request or an earlier term. Renewed leases are
// extended from the time at which the request was sent, so a late response cannot renew a lease that has expired.
func (worker *Worker) applyResponse(response *scheduler.SyncResponse, request *scheduler.SyncRequest, sent time.Duration) {
	if response.Sequence != worker.sequence || (response.Term < worker.term && !worker.faults.IgnoreTerms) {
		return
	}
	worker.term = max(worker.term, response.Term)
	now := worker.now()
	worker.stopExpired(now)
	for _, lease := range response.Renewed {
		if attempt, ok := worker.attempts[lease]; ok {
			attempt.renewedAt, attempt.leaseEnd, attempt.urgentCheckpointTaken = sent, sent+response.LeaseDuration, false
		}
	}
	for _, lease := range response.Acknowledged {
		delete(worker.endedAttempts, lease)
	}
	worker.pendingCheckpoints = worker.pendingCheckpoints[min(len(request.Checkpoints), len(worker.pendingCheckpoints)):]
	for _, command := range response.Commands {
		worker.applyCommand(command, sent, response.LeaseDuration, now)
	}
}

func (worker *Worker) applyCommand(command scheduler.WorkerCommand, sent, duration, now time.Duration) {
	attempt, ok := worker.attempts[command.Lease]
	switch command.Kind {
	case scheduler.CommandStart:
		if !ok && sent+duration > now {
			worker.start(command, sent, duration)
		}
	case scheduler.CommandStop:
		if ok && !worker.faults.IgnoreStop && attempt.stopAt == 0 {
			// The final checkpoint takes half of the grace period.
			attempt.stopAt = now + command.Grace/2
		} else if _, reported := worker.endedAttempts[command.Lease]; !ok && !reported {
			worker.refusedLeases[command.Lease] = struct{}{}
			worker.endedAttempts[command.Lease] = scheduler.EndedAttempt{Lease: command.Lease, Outcome: scheduler.AttemptStopped}
		}
	case scheduler.CommandThrottle, scheduler.CommandUnthrottle:
		if ok {
			attempt.throttled = command.Kind == scheduler.CommandThrottle
		}
	case scheduler.CommandCheckpoint:
		if ok {
			worker.takeCheckpoint(attempt)
		}
	}
}
