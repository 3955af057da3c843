package overseer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/jobs/admitter"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// longTasks is a job of long-running tasks of one core.
func longTasks(count int) *scheduler.Workflow {
	return &scheduler.Workflow{Steps: []scheduler.Step{{Count: count, Request: oneCore, LongRunning: true}}}
}

// Guards against starts that bring a worker over its capacity after it has shrunk.
func TestNoStartOverShrunkCapacity(t *testing.T) {
	tests := map[string]func(simulation *simulation, worker scheduler.WorkerName){
		"the start order waits": func(simulation *simulation, worker scheduler.WorkerName) {
			simulation.changeWorker(worker, func(worker *fakeWorker) { worker.capacities.ordersLost = true })
			simulation.submitWorkflow(longTasks(4))
			time.Sleep(time.Second)
			simulation.changeCapacity(worker, 2)
			time.Sleep(shrinkBound + time.Second)
			simulation.changeWorker(worker, func(worker *fakeWorker) { worker.capacities.ordersLost = false })
		},
		"the new capacity is not heard of": func(simulation *simulation, worker scheduler.WorkerName) {
			simulation.changeWorker(worker, func(worker *fakeWorker) { worker.capacities.heartbeatsLost = true })
			simulation.changeCapacity(worker, 2)
			time.Sleep(shrinkBound + time.Second)
			simulation.submitWorkflow(longTasks(4))
		},
		"a new leader adopts the start": func(simulation *simulation, worker scheduler.WorkerName) {
			simulation.changeWorker(worker, func(worker *fakeWorker) { worker.capacities.ordersLost = true })
			simulation.submitWorkflow(longTasks(4))
			time.Sleep(time.Second)
			simulation.changeCapacity(worker, 2)
			simulation.domain.elect(1)
			time.Sleep(shrinkBound + time.Second)
			simulation.changeWorker(worker, func(worker *fakeWorker) { worker.capacities.ordersLost = false })
		},
	}
	for name, shrink := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				simulation.names, simulation.fleet.unguarded = simulation.names[:1], true
				stop := simulation.start()
				simulation.submitWorkflow(longTasks(1))
				time.Sleep(3 * time.Second)
				shrink(simulation, simulation.names[0])
				time.Sleep(15 * time.Second)
				for _, violation := range simulation.fleet.violations {
					t.Error(violation)
				}
				if got := simulation.runningOn(simulation.names[0]); got == 0 {
					t.Error("got no task on the shrunk worker, want the one that ran before")
				}
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// Guards against capacity that stays unused after a worker has grown again, against tasks of a shrunk worker that are
// stopped, and against operators who can't see that a worker has shrunk.
func TestGrownWorkerIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		simulation := newSimulation(t, 1, WithScope(scope))
		simulation.names, simulation.fleet.unguarded = simulation.names[:1], true
		worker := simulation.names[0]
		stop := simulation.start()
		time.Sleep(3 * time.Second)
		simulation.submitWorkflow(longTasks(6))
		time.Sleep(time.Second)
		simulation.changeCapacity(worker, 3)
		time.Sleep(5 * time.Second)
		simulation.submitWorkflow(longTasks(2))
		time.Sleep(5 * time.Second)
		if got := simulation.runningOn(worker); got != 6 {
			t.Errorf("got %d tasks on the shrunk worker, want the 6 that ran before", got)
		}
		if got := scope.Snapshot().Gauges()["workers_over_capacity+"]; got == nil || got.Value() != 1 {
			t.Errorf("got workers over capacity %v, want 1", got)
		}
		simulation.changeCapacity(worker, 8)
		time.Sleep(1500 * time.Millisecond) // A heartbeat, a decision and a start.
		if got := simulation.runningOn(worker); got != 8 {
			t.Errorf("got %d tasks on the grown worker, want 8", got)
		}
		if got := scope.Snapshot().Counters()["worker_capacity_changes+"]; got == nil || got.Value() != 2 {
			t.Errorf("got capacity changes %v, want 2", got)
		}
		simulation.fleet.mutex.Lock()
		if got := len(simulation.fleet.stopped); got != 0 {
			t.Errorf("got %d stopped tasks, want none", got)
		}
		simulation.fleet.mutex.Unlock()
		stop()
		time.Sleep(20 * time.Second)
	})
}

// Guards against starts over the capacity of workers that shrink and grow under random failures, and against work that is
// never resumed when they have grown again.
func TestRandomCapacities(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, uint64(seed))
				simulation.fleet.lateRate, simulation.fleet.failureRate = 0.05, 0.05
				simulation.fleet.unguarded, simulation.fleet.runTime = true, 4*time.Second
				go simulation.changeCapacities(rand.New(rand.NewPCG(uint64(seed), 4)), 30*time.Second)
				go simulation.relayOldHeartbeats(rand.New(rand.NewPCG(uint64(seed), 5)), 30*time.Second)
				simulation.run()
				time.Sleep(20 * time.Second) // Late orders must end before the synctest bubble does.
				for _, violation := range simulation.fleet.violations {
					t.Error(violation)
				}
				if got := simulation.openJobs(); got != 0 {
					t.Errorf("got %d jobs that have not ended, want 0", got)
				}
				if simulation.fleet.starts == 0 {
					t.Error("no task was started")
				}
			})
		})
	}
}

// Guards against a capacity that counts as new because its heartbeat waited in the socket of a suspended VM.
func TestHeartbeatAge(t *testing.T) {
	const now = time.Minute
	tests := map[string]struct {
		change func(instance *worker)
		want   time.Duration
	}{
		"just sent":               {func(*worker) {}, 0},
		"relayed":                 {func(instance *worker) { instance.lastHeartbeat = now - time.Second }, time.Second},
		"waited in a socket":      {func(instance *worker) { instance.heartbeat.Clock -= 5 * time.Second }, 5 * time.Second},
		"without a clock reading": {func(instance *worker) { instance.heartbeat.Clock = 0 }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			instance := newWorker("w", 1)
			instance.clock, instance.clockReadAt, instance.lastHeartbeat = 10*time.Second, now-time.Second, now
			instance.heartbeat.Clock = 11 * time.Second
			test.change(instance)
			if got := instance.heartbeatAge(now); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a leader that keeps the capacity of an earlier heartbeat of a worker because a later one only repeats what
// its relay received even earlier.
func TestRepeatedHeartbeatAfterGap(t *testing.T) {
	tests := map[string]struct {
		sequence uint64
		known    bool
	}{
		"next":         {3, true},
		"already seen": {2, true},
		"gap":          {4, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leadership := newBenchmarkLeadership(New(&fakeGroup{domain: &fakeDomain{}}, jobkeeper.New(), nil))
			instance := newWorker("w", 1)
			instance.hasHeartbeat, instance.synced, leadership.instances["w"] = true, true, instance
			instance.responded = true
			instance.heartbeat = scheduler.WorkerHeartbeat{Phase: scheduler.WorkerReady, Sequence: 2, Clock: time.Second}
			delta := HeartbeatDelta{Worker: "w", Instance: 1, Sequence: test.sequence, Clock: 2 * time.Second}
			if got := leadership.applyDelta(&delta); got != test.known {
				t.Errorf("got known %v, want %v", got, test.known)
			}
		})
	}
}

// Guards against jobs that are refused by a forecast because a worker is small for a moment, and against forecasts that
// count a capacity for longer, or capacity that is not there as free.
func TestRoomOfShrunkWorker(t *testing.T) {
	const changedAt = time.Minute
	tests := map[string]struct {
		now  time.Duration
		want int64
	}{
		"just shrunk": {changedAt, 8000},
		"for long":    {changedAt + dipTime, 2000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leadership := newBenchmarkLeadership(New(&fakeGroup{domain: &fakeDomain{}}, jobkeeper.New(), nil))
			instance := newWorker("w", 1)
			instance.responded = true
			instance.hasHeartbeat, instance.synced, instance.clock, instance.lastHeartbeat = true, true, time.Second, test.now
			instance.heartbeat = scheduler.WorkerHeartbeat{
				Pool: "pool", Phase: scheduler.WorkerReady, Capacity: scheduler.Resources{MilliCores: 8000},
			}
			for number := range 3 {
				run := scheduler.RunID{Task: scheduler.StepTaskID{Index: number}, Attempt: 1}
				instance.attempts[run] = &attempt{state: attemptRunning, spec: scheduler.Step{Request: oneCore}}
			}
			instance.recordFormerCapacity(changedAt)
			instance.heartbeat.Capacity.MilliCores = 2000
			leadership.instances["w"] = instance
			states := map[scheduler.PoolName]*admitter.PoolState{}
			leadership.overseer.keeper.View(func(state *jobkeeper.State) { leadership.collectRooms(states, state, test.now) })
			rooms := states["pool"].Rooms
			if got := rooms[admitter.CapacityReserved].Total; got != test.want {
				t.Errorf("got a total of %d, want %d", got, test.want)
			}
			if got := rooms[admitter.CapacityFill].Free; got != 0 {
				t.Errorf("got %d free for fill tasks, want 0", got)
			}
		})
	}
}

// Guards against starts on a worker that still runs attempts that are not in the log, and against such attempts that are
// never stopped because the worker runs nothing else.
func TestUnknownAttemptsOccupyWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		simulation.names, simulation.fleet.unguarded = simulation.names[:1], true
		name := simulation.names[0]
		stop := simulation.start()
		time.Sleep(3 * time.Second)
		leadership := simulation.overseers[0].current.Load()
		leadership.mutex.Lock()
		instance := leadership.instances[name]
		clock := instance.clock
		leadership.mutex.Unlock()
		unknown := scheduler.RunID{Task: scheduler.StepTaskID{Job: "unknown"}, Attempt: 1}
		leadership.handleReport(instance, scheduler.RenewOrder{}, scheduler.WorkerReport{
			Result: scheduler.OrderAccepted, Instance: instance.incarnation, Clock: clock,
			Running: []scheduler.RunningAttempt{{Run: unknown}},
		}, leadership.now())
		if got := leadership.reasonAgainst(instance); got != "unknownAttempts" {
			t.Errorf("got reason %q while an unknown attempt runs, want %q", got, "unknownAttempts")
		}
		if _, more := leadership.nextRenewal(instance, false); !more {
			t.Error("got no further renewal, want one until the attempt has been stopped")
		}
		leadership.mutex.Lock()
		leadership.ensureRenewal(instance)
		leadership.mutex.Unlock()
		time.Sleep(time.Second)
		if got := leadership.reasonAgainst(instance); got != "" {
			t.Errorf("got reason %q after the attempt was stopped, want none", got)
		}
		stop()
		time.Sleep(20 * time.Second)
	})
}

// Guards against fill tasks that are not paced on a worker that has shrunk to nothing, because what they use is then no
// fraction of its capacity, and against interference that is learned in another unit.
func TestFillUsageOnShrunkWorker(t *testing.T) {
	instance := newWorker("w", 1)
	instance.fullMilliCores = 8000
	for _, capacity := range []int64{8000, 4000, 0} {
		instance.heartbeat.Capacity.MilliCores = capacity
		if got, want := instance.fraction(2000), 0.25; got != want {
			t.Errorf("capacity %d: got %v, want %v", capacity, got, want)
		}
	}
}

// reasonAgainst returns why no tasks are placed on a worker.
func (leadership *leadership) reasonAgainst(instance *worker) UnavailableReason {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.unavailableReason(instance, leadership.now(), leadership.heartbeatTimeout(), time.Now())
}
