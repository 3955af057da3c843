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
