// Package emulator holds stand-ins for workers, for the demo and for tests.
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
	// saveAt is the age of an unrenewed lease at which work is saved, from section 6 of the
	// design page.
	saveAt = 10 * time.Second
	// stepPeriod is how often tasks make progress and leases are checked.
	stepPeriod = 100 * time.Millisecond
	// usageDelay is how late usage is reported.
	usageDelay = 20 * time.Second
)

// Exchange carries one exchange to the system.
type Exchange func(ctx context.Context, request *scheduler.SyncRequest) (*scheduler.SyncResponse, error)

// Faults switches the worker's faults on.
type Faults struct {
	// Frozen stops the agent and its tasks, as a paused VM does.
	Frozen bool
	// FailStarts makes every attempt fail right after its start.
	FailStarts bool
	// FailKind makes every attempt of tasks of this kind fail right after its start.
	FailKind string
	// IgnoreStop makes the worker ignore stop commands; it still obeys its leases.
	IgnoreStop bool
	// DropResponses drops the answers of exchanges that have reached the system.
	DropResponses bool
	// IgnoreTerms makes the worker accept answers of any term.
	IgnoreTerms bool
	// IgnoreLeases makes the worker run attempts past the end of their leases.
	IgnoreLeases bool
}

// Execution is the worker's own record of one attempt that it ran.
type Execution struct {
	Lease   scheduler.LeaseNumber
	Task    scheduler.TaskID
	Attempt scheduler.AttemptNumber
	Worker  scheduler.WorkerName
	Request scheduler.Resources
	// StartProgress and Until are the progress, as run time of the task, with which it began and ended.
	StartProgress time.Duration
	Progress      time.Duration
	// SavedProgress is the progress of the last checkpoint.
	SavedProgress time.Duration
	// FirstEffect and Last are when the attempt had its first and last effect.
	FirstEffect time.Time
	LastEffect  time.Time
	// Outcome is empty while the attempt runs.
	Outcome scheduler.AttemptOutcome
}

// Worker is a stand-in for a worker with its agent. It runs fake tasks, which only take time. It is
// safe for concurrent use.
type Worker struct {
	name     scheduler.WorkerName
	exchange Exchange
	// rate is how fast the worker's clock runs, 1 for a correct one.
	rate     float64
	saveEach time.Duration
	// interference is what the worker reports of its services, nil for no latencies.
	interference *Interference

	mutex       sync.Mutex
	faults      Faults
	started     time.Time
	incarnation scheduler.Incarnation
	sequence    uint64
	term        scheduler.Term
	attempts    map[scheduler.LeaseNumber]*attempt
	// highest holds the highest lease number of each task, so that neither a repeated nor a late
	// start command starts an attempt again.
	highest map[scheduler.TaskID]scheduler.LeaseNumber
	// refused holds leases that were told to stop before they were started.
	refused map[scheduler.LeaseNumber]struct{}
	ended   map[scheduler.LeaseNumber]scheduler.EndedAttempt
	saved   []scheduler.Checkpoint
	usage   []usage
	// endedUsage is of attempts that have ended in the current interval, which ends at nextUsage.
	endedUsage []usage
	nextUsage  time.Duration
	executions []*Execution
}

// Option configures a Worker.
type Option func(*Worker)

// WithClockRate sets how fast the worker's clock runs; 1.1 is 10% too fast.
func WithClockRate(rate float64) Option { return func(worker *Worker) { worker.rate = rate } }

// WithCheckpointPeriod has tasks save their work regularly. The default is never.
func WithCheckpointPeriod(period time.Duration) Option {
	return func(worker *Worker) { worker.saveEach = period }
}

// NewWorker returns a worker that speaks over exchange.
func NewWorker(name scheduler.WorkerName, exchange Exchange, options ...Option) *Worker {
	worker := &Worker{name: name, exchange: exchange, rate: 1, started: time.Now()}
	for _, option := range options {
		option(worker)
	}
	worker.reset()
	return worker
}

// reset begins a new life without attempts.
func (worker *Worker) reset() {
	worker.incarnation++
	worker.sequence, worker.term = 0, 0
	worker.attempts = map[scheduler.LeaseNumber]*attempt{}
	worker.highest = map[scheduler.TaskID]scheduler.LeaseNumber{}
	worker.refused = map[scheduler.LeaseNumber]struct{}{}
	worker.ended = map[scheduler.LeaseNumber]scheduler.EndedAttempt{}
	worker.saved, worker.usage, worker.endedUsage = nil, nil, nil
	worker.nextUsage = worker.now() + usageInterval
}

// now returns the time since the worker was created, by the worker's own clock.
func (worker *Worker) now() time.Duration {
	return time.Duration(float64(time.Since(worker.started)) * worker.rate)
}

func (worker *Worker) after(period time.Duration) time.Duration {
	return time.Duration(float64(period) / worker.rate)
}

// Run syncs and runs tasks until ctx ends.
func (worker *Worker) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { worker.repeat(ctx, stepPeriod, worker.step) })
	worker.repeat(ctx, syncPeriod, func() { worker.Sync(ctx) })
}

func (worker *Worker) repeat(ctx context.Context, period time.Duration, action func()) {
	ticker := time.NewTicker(worker.after(period))
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

// SetFaults replaces the fault switches.
func (worker *Worker) SetFaults(faults Faults) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.faults = faults
}

// Restart ends all attempts without a report and begins a new life.
func (worker *Worker) Restart() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	for _, lease := range slices.Sorted(maps.Keys(worker.attempts)) {
		worker.attempts[lease].execution.Outcome = scheduler.AttemptLost
	}
	worker.reset()
}

// Executions returns the records of all attempts of all lives, in the order of their starts.
func (worker *Worker) Executions() []Execution {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	executions := make([]Execution, len(worker.executions))
	for i, execution := range worker.executions {
		executions[i] = *execution
	}
	return executions
}

// Sync makes one exchange. Lost and late answers have no effect; the reports are repeated.
func (worker *Worker) Sync(ctx context.Context) {
	worker.mutex.Lock()
	if worker.faults.Frozen {
		worker.mutex.Unlock()
		return
	}
	sent := worker.now()
	request := worker.request(sent)
	worker.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, worker.after(exchangeTimeout))
	defer cancel()
	answer, err := worker.exchange(ctx, request)
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if err != nil || worker.faults.DropResponses || worker.faults.Frozen || worker.incarnation != request.Incarnation {
		return
	}
	worker.accept(answer, request, sent)
}

func (worker *Worker) request(sent time.Duration) *scheduler.SyncRequest {
	worker.sequence++
	request := &scheduler.SyncRequest{
		Worker: worker.name, Incarnation: worker.incarnation, Sequence: worker.sequence,
		Checkpoints: slices.Clone(worker.saved), Usage: worker.dueUsage(sent),
	}
	for _, lease := range slices.Sorted(maps.Keys(worker.attempts)) {
		request.Running = append(request.Running, lease)
		if worker.attempts[lease].throttled {
			request.Throttled = append(request.Throttled, lease)
		}
	}
	for _, lease := range slices.Sorted(maps.Keys(worker.ended)) {
		request.Ended = append(request.Ended, worker.ended[lease])
	}
	return request
}

// accept takes an answer to the last request of the current term. The leases that it renews run from
// when the request was sent, so a late answer cannot revive one.
func (worker *Worker) accept(answer *scheduler.SyncResponse, request *scheduler.SyncRequest, sent time.Duration) {
	if answer.Sequence != worker.sequence || (answer.Term < worker.term && !worker.faults.IgnoreTerms) {
		return
	}
	worker.term = max(worker.term, answer.Term)
	now := worker.now()
	worker.endUnrenewed(now)
	for _, lease := range answer.Renewed {
		if attempt, ok := worker.attempts[lease]; ok {
			attempt.renewed, attempt.leaseEnd, attempt.urgentSave = sent, sent+answer.LeaseDuration, false
		}
	}
	for _, lease := range answer.Acknowledged {
		delete(worker.ended, lease)
	}
	worker.saved = worker.saved[min(len(request.Checkpoints), len(worker.saved)):]
	for _, command := range answer.Commands {
		worker.obey(command, sent, answer.LeaseDuration, now)
	}
}

func (worker *Worker) obey(command scheduler.WorkerCommand, sent, duration, now time.Duration) {
	attempt, ok := worker.attempts[command.Lease]
	switch command.Kind {
	case scheduler.CommandStart:
		if !ok && sent+duration > now {
			worker.start(command, sent, duration)
		}
	case scheduler.CommandStop:
		if ok && !worker.faults.IgnoreStop && attempt.stopAt == 0 {
			// Saving work takes half of the grace period.
			attempt.stopAt = now + command.Grace/2
		} else if _, reported := worker.ended[command.Lease]; !ok && !reported {
			worker.refused[command.Lease] = struct{}{}
			worker.ended[command.Lease] = scheduler.EndedAttempt{Lease: command.Lease, Outcome: scheduler.AttemptStopped}
		}
	case scheduler.CommandThrottle, scheduler.CommandUnthrottle:
		if ok {
			attempt.throttled = command.Kind == scheduler.CommandThrottle
		}
	case scheduler.CommandCheckpoint:
		if ok {
			worker.save(attempt)
		}
	}
}
