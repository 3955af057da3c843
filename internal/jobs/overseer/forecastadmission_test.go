package overseer

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/admitter"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// BenchmarkObserveForecasts measures one observation of 3,000 workers with 18,000 running and 6,000 waiting tasks.
func BenchmarkObserveForecasts(b *testing.B) {
	keeper := jobkeeper.New()
	apply := func(command jobkeeper.Command) {
		data, err := command.Encode()
		if err != nil {
			b.Fatal(err)
		}
		keeper.Apply(0, data)
	}
	apply(jobkeeper.Command{Configure: &scheduler.QueueConfiguration{
		Version: 1, Pools: []scheduler.Pool{{Name: "pool"}}, Queues: []scheduler.Queue{batchQueue},
	}})
	const workers, tasksPerJob, jobs = 3000, 20, 1200
	for job := range jobs {
		id := scheduler.JobID(fmt.Sprintf("job%d", job))
		apply(jobkeeper.Command{Submit: &jobkeeper.Submit{
			Job: id, Queue: "queue", Workflow: *batchWorkflow(tasksPerJob), Accepted: time.Now(),
		}})
		var placements []jobkeeper.Placement
		for task := range tasksPerJob * 3 / 4 {
			placements = append(placements, jobkeeper.Placement{
				Task:   scheduler.StepTaskID{Job: id, Index: task},
				Worker: scheduler.WorkerName(fmt.Sprintf("w%d", (job*tasksPerJob+task)%workers)), Instance: 1,
			})
		}
		apply(jobkeeper.Command{Place: placements})
	}
	overseer := New(&fakeGroup{domain: &fakeDomain{}}, keeper, nil, WithForecastAdmission())
	leadership := newBenchmarkLeadership(overseer)
	b.ResetTimer()
	for b.Loop() {
		leadership.forecastsObservedAt = -forecastInterval
		leadership.observeForecasts(leadership.now())
	}
}

// newBenchmarkLeadership returns a leadership that knows all attempts and sends no orders.
func newBenchmarkLeadership(overseer *Overseer) *leadership {
	leadership := &leadership{
		overseer: overseer, instances: map[scheduler.WorkerName]*worker{}, jobLog: newJobLog(),
		failureTracker: newFailureTracker(), maintenance: newMaintenance(),
	}
	leadership.backlogAdmitters = map[scheduler.PoolName]*admitter.BacklogAdmitter{}
	overseer.keeper.View(func(state *jobkeeper.State) {
		for _, name := range state.Workers() {
			instance := newWorker(name, 1)
			instance.hasHeartbeat, instance.synced, instance.clock = true, true, time.Second
			instance.heartbeat = scheduler.WorkerHeartbeat{
				Worker: name, Pool: "pool", Phase: scheduler.WorkerReady, Capacity: scheduler.Resources{MilliCores: 16_000},
			}
			instance.lastHeartbeat = time.Hour
			state.VisitRuns(name, func(run *jobkeeper.Run) {
				instance.attempts[run.ID()] = &attempt{state: attemptRunning, spec: *run.Task().Step().Spec()}
			})
			leadership.instances[name] = instance
		}
	})
	return leadership
}

// Guards against forecasts that take workers without a response for lost capacity, and against a pool without forecasts
// because workers are withdrawn or lost, or because of another pool.
func TestBlindPool(t *testing.T) {
	const now, workers = time.Minute, 40
	tests := map[string]struct {
		affected int
		change   func(instance *worker)
		want     bool
	}{
		"one order without response":       {1, func(instance *worker) { instance.consecutiveFailures = 1 }, false},
		"a tenth without response":         {4, func(instance *worker) { instance.consecutiveFailures = 1 }, false},
		"more than a tenth":                {5, func(instance *worker) { instance.consecutiveFailures = 1 }, true},
		"all without response":             {workers, func(instance *worker) { instance.consecutiveFailures = 1 }, true},
		"backing off":                      {workers, func(instance *worker) { instance.backoffUntil = now + 1 }, true},
		"not synced":                       {workers, func(instance *worker) { instance.synced = false }, true},
		"silent for less than the lease":   {workers, func(instance *worker) { instance.lastHeartbeat = now - 5*time.Second }, true},
		"silent for longer than the lease": {workers, func(instance *worker) { instance.lastHeartbeat = 0 }, false},
		"new, without a response":          {workers, func(instance *worker) { instance.responded, instance.firstHeartbeat = false, now }, true},
		"never a response":                 {workers, func(instance *worker) { instance.responded = false }, false},
		"draining": {workers, func(instance *worker) {
			instance.heartbeat.Phase = scheduler.WorkerDraining
		}, false},
		"workers of another pool": {workers / 2, func(instance *worker) {
			instance.heartbeat.Pool, instance.consecutiveFailures = "other", 1
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leadership := newBenchmarkLeadership(New(&fakeGroup{domain: &fakeDomain{}}, jobkeeper.New(), nil))
			for number := range workers {
				instance := newWorker(scheduler.WorkerName(fmt.Sprintf("w%d", number)), 1)
				instance.responded = true
				instance.hasHeartbeat, instance.synced, instance.clock, instance.lastHeartbeat = true, true, time.Second, now
				instance.heartbeat = scheduler.WorkerHeartbeat{Pool: "pool", Phase: scheduler.WorkerReady}
				if number < test.affected {
					test.change(instance)
				}
				leadership.instances[instance.name] = instance
			}
			if got := leadership.isBlind("pool", now); got != test.want {
				t.Errorf("got blind %v, want %v", got, test.want)
			}
		})
	}
}
