package overseer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// cancellationTime is the time within which the tasks of a cancelled job end.
	cancellationTime = 3 * time.Second
	// maxSendDelay is the maximum time between the read of the state from which an order is built and its transmission,
	// also by a relay.
	maxSendDelay = time.Second
)

// cancellations holds the cancelled jobs, for the checks on their tasks.
type cancellations struct {
	at map[scheduler.JobID]time.Time
	// disruptedAt is when the last failure was injected. lateAt is when the last order to each worker was not answered.
	disruptedAt time.Time
	lateAt      map[scheduler.WorkerName]time.Time
	// checkRunning is true if tasks of cancelled jobs must end within cancellationTime after the last failure.
	checkRunning bool
}

func newCancellations() cancellations {
	return cancellations{at: map[scheduler.JobID]time.Time{}, lateAt: map[scheduler.WorkerName]time.Time{}}
}

// cancel cancels a job in the same way as a caller.
func (simulation *simulation) cancel(id scheduler.JobID) {
	simulation.apply(jobkeeper.Command{Cancel: &id})
	simulation.recordCancellation(id)
}

func (simulation *simulation) recordCancellation(id scheduler.JobID) {
	simulation.fleet.mutex.Lock()
	defer simulation.fleet.mutex.Unlock()
	if simulation.fleet.cancellations.at[id].IsZero() {
		simulation.fleet.cancellations.at[id] = time.Now()
	}
}

// disrupt records that a failure was injected.
func (simulation *simulation) disrupt() {
	simulation.fleet.mutex.Lock()
	defer simulation.fleet.mutex.Unlock()
	simulation.fleet.cancellations.disruptedAt = time.Now()
}

// checkpointOf returns the checkpoint of a task. The members of a gang share one.
func (fleet *fakeFleet) checkpointOf(task scheduler.StepTaskID) string {
	if fleet.workflows[task.Job].Steps[task.Step].Gang {
		task.Index = 0
	}
	return "checkpoint of " + task.String()
}

// checkContent checks the content of a start order that takes effect.
func (fleet *fakeFleet) checkContent(order scheduler.StartOrder) {
	task := order.Run.Task
	if want := fleet.workflows[task.Job].Payload; order.Payload != want {
		fleet.reportViolation("%v starts with payload %q, want %q", order.Run, order.Payload, want)
	}
	if want := fleet.checkpointOf(task); order.Checkpoint != "" && order.Checkpoint != want {
		fleet.reportViolation("%v starts from %q, want %q", order.Run, order.Checkpoint, want)
	}
}

// checkSent checks that the job of a start order was not cancelled before the order was built.
func (fleet *fakeFleet) checkSent(order scheduler.StartOrder) {
	at := fleet.cancellations.at[order.Run.Task.Job]
	if !at.IsZero() && time.Since(at) > maxSendDelay {
		fleet.reportViolation("%v is sent %v after its job was cancelled: %v", order.Run, time.Since(at),
			fleet.history[order.Run.Task])
	}
}

// checkCancelled checks that no task of a cancelled job runs on. The mutex must be held.
func (worker *fakeWorker) checkCancelled() {
	cancellations := &worker.fleet.cancellations
	if !cancellations.checkRunning || time.Since(cancellations.disruptedAt) < cancellationTime ||
		time.Since(cancellations.lateAt[worker.name]) < cancellationTime {
		return
	}
	for id, run := range worker.runs {
		at := cancellations.at[id.Task.Job]
		if at.IsZero() || time.Since(at) < cancellationTime || time.Since(run.startedAt) < cancellationTime {
			continue
		}
		worker.fleet.reportViolation("%v runs on %s %v after its job was cancelled: %v", id, worker.name, time.Since(at),
			worker.fleet.history[id.Task])
		delete(cancellations.at, id.Task.Job) // One report for each job is enough.
	}
}

// checkViolations reports the invariant violations so far and returns the number of starts. It takes the mutex, because
// late orders may be on their way.
func (simulation *simulation) checkViolations() (starts int) {
	simulation.fleet.mutex.Lock()
	defer simulation.fleet.mutex.Unlock()
	for _, violation := range simulation.fleet.violations {
		simulation.t.Error(violation)
	}
	return simulation.fleet.starts
}

// Guards against work of a cancelled job that starts late or runs on, with orders that take effect seconds later, workers
// that restart and leaderships that end.
func TestRandomCancellations(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, uint64(seed))
				simulation.gangs, simulation.speculative = seed%3 == 1, seed%3 == 2
				simulation.fleet.lateRate, simulation.fleet.cancellations.checkRunning = 0.1, true
				simulation.fleet.runTime = time.Minute
				stop := simulation.start()
				for range 40 {
					simulation.submit()
					simulation.pause(500 * time.Millisecond)
					simulation.cancel(scheduler.JobID(fmt.Sprintf("job%d", simulation.random.IntN(simulation.jobs))))
					simulation.pause(500 * time.Millisecond)
					simulation.interruptOrders()
				}
				time.Sleep(20 * time.Second)
				stop()
				time.Sleep(20 * time.Second)
				if simulation.checkViolations() == 0 {
					t.Error("no task was started")
				}
			})
		})
	}
}

// Guards against work that nobody asks for: an attempt of a cancelled job whose start order takes effect after the same VM
// has taken the leadership of the term again.
func TestLateStartOfCancelledJob(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, seed)
				simulation.fleet.runTime, simulation.fleet.cancellations.checkRunning = time.Minute, true
				stop := simulation.start()
				time.Sleep(2 * time.Second)
				simulation.fleet.mutex.Lock()
				simulation.fleet.lateStart = scheduler.RunID{Task: scheduler.StepTaskID{Job: "job0"}, Attempt: 1}
				simulation.fleet.mutex.Unlock()
				simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 1, Request: oneCore}}})
				time.Sleep(300 * time.Millisecond)
				simulation.cancel("job0")
				simulation.leading().deposed.Store(true) // As handlePanic does.
				time.Sleep(30 * time.Second)
				simulation.checkViolations()
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// Guards against an attempt that runs on after its job was cancelled, because a proposal of a former leader has recorded
// its end.
func TestEndRecordedByFormerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		simulation.fleet.cancellations.checkRunning = true
		stop := simulation.start()
		time.Sleep(2 * time.Second)
		simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{
			Count: 1, Request: oneCore, LongRunning: true,
		}}})
		time.Sleep(time.Second)
		id := scheduler.RunID{Task: scheduler.StepTaskID{Job: "job0"}, Attempt: 1}
		end := jobkeeper.Command{End: []jobkeeper.End{{Run: id, Kind: scheduler.EndLost}}}
		simulation.cancel("job0")
		simulation.apply(end)
		time.Sleep(2 * cancellationTime)
		simulation.checkViolations()
		stop()
		time.Sleep(20 * time.Second)
	})
}

// Guards against tasks of a cancelled job that run on while the leader waits for the replication of placements.
func TestStopsDoNotWaitForPlacements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		stop := simulation.start()
		time.Sleep(2 * time.Second)
		workflow := scheduler.Workflow{Steps: []scheduler.Step{{Count: 2, Request: oneCore, LongRunning: true}}}
		cancelled, placed := workflow, workflow
		simulation.submitWorkflow(&cancelled)
		time.Sleep(time.Second)
		simulation.domain.mutex.Lock()
		simulation.domain.proposalDelay = 2 * time.Second
		simulation.domain.mutex.Unlock()
		simulation.submitWorkflow(&placed)
		time.Sleep(200 * time.Millisecond)
		simulation.cancel("job0")
		time.Sleep(500 * time.Millisecond)
		simulation.fleet.mutex.Lock()
		for index := range 2 {
			if task := (scheduler.StepTaskID{Job: "job0", Index: index}); simulation.fleet.running[task] > 0 {
				t.Errorf("got %v still running: %v", task, simulation.fleet.history[task])
			}
		}
		simulation.fleet.mutex.Unlock()
		stop()
		time.Sleep(20 * time.Second)
	})
}

// interruptOrders sometimes restarts a worker or ends the leadership, after which the same or another VM leads.
func (simulation *simulation) interruptOrders() {
	switch simulation.random.IntN(12) {
	case 0:
		simulation.restart(simulation.names[simulation.random.IntN(len(simulation.names))])
	case 1:
		simulation.domain.elect(simulation.random.IntN(simulationVMs))
	case 2:
		for _, overseer := range simulation.overseers {
			if leadership := overseer.current.Load(); leadership != nil {
				leadership.deposed.Store(true) // As handlePanic does.
			}
		}
	default:
		return
	}
	simulation.disrupt()
}

// pause waits for a random time.
func (simulation *simulation) pause(maximum time.Duration) {
	time.Sleep(time.Duration(simulation.random.Int64N(int64(maximum))))
}
