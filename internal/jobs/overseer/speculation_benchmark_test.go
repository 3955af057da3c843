package overseer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/admitter"
	"github.com/crocusplank/crocusplank/internal/jobs/forecaster"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// BenchmarkChooseCopies measures one decision on copies with five running speculative tasks for each worker, all of which
// are stragglers.
func BenchmarkChooseCopies(b *testing.B) {
	for _, workers := range []int{350, 1000, 3000} {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) {
			leadership := loadedLeadership(b, workers)
			for b.Loop() {
				if got := leadership.chooseCopies(); len(got) != maxCopiesPerDecision {
					b.Fatalf("got %d copies, want %d", len(got), maxCopiesPerDecision)
				}
			}
		})
	}
}

const benchmarkTasksPerWorker = 5

// loadedLeadership returns a leadership of workers that each run some stragglers and have free capacity.
func loadedLeadership(b *testing.B, workers int) *leadership {
	keeper := jobkeeper.New()
	index := scheduler.Index(0)
	apply := func(command jobkeeper.Command) {
		data, err := command.Encode()
		if err != nil {
			b.Fatal(err)
		}
		index++
		keeper.Apply(index, data)
	}
	apply(jobkeeper.Command{Configure: &scheduler.QueueConfiguration{
		Version: 1, Pools: []scheduler.Pool{{Name: "pool"}},
		Queues: []scheduler.Queue{{Name: "queue", PathPrefix: "/", Pool: "pool", Timeout: time.Second}},
	}})
	var placements []jobkeeper.Placement
	for worker := range workers {
		id := scheduler.JobID(fmt.Sprint("job", worker))
		apply(jobkeeper.Command{Submit: &jobkeeper.Submit{
			Job: id, Queue: "queue", Workflow: scheduler.Workflow{Steps: []scheduler.Step{{
				Count: benchmarkTasksPerWorker, Request: oneCore, Speculative: true, Estimate: time.Second, Image: "image",
			}}},
		}})
		for index := range benchmarkTasksPerWorker {
			placements = append(placements, jobkeeper.Placement{
				Task: scheduler.StepTaskID{Job: id, Index: index}, Worker: benchmarkWorker(worker), Instance: 1,
			})
		}
	}
	apply(jobkeeper.Command{Place: placements})
	domain := &fakeDomain{keeper: keeper}
	leadership := newLeadership(context.Background(), New(&fakeGroup{domain: domain}, keeper, nil), 1)
	b.Cleanup(leadership.goroutines.Close)
	leadership.admitters["pool"] = &admitter.Admitter{}
	leadership.admitters["pool"].Observe(0, admitter.Load{Capacity: int64(workers) * 8000, Short: int64(workers) * 5000})
	learnRunTimes(leadership)
	for worker := range workers {
		markRunning(leadership, leadership.instances[benchmarkWorker(worker)])
	}
	return leadership
}

func benchmarkWorker(number int) scheduler.WorkerName {
	return scheduler.WorkerName(fmt.Sprint("w", number))
}

func learnRunTimes(leadership *leadership) {
	for number := range 500 {
		leadership.runTimes.Observe(forecaster.Observation{
			Kind: scheduler.NewTaskKind("queue", "image"), Estimate: time.Second, Worker: benchmarkWorker(number),
			RunTime: time.Second + time.Duration(number)*time.Millisecond,
		})
	}
}

// markRunning makes the attempts of a worker look as if they had been running for a minute.
func markRunning(leadership *leadership, instance *worker) {
	now := leadership.now()
	instance.responded = true
	instance.hasHeartbeat, instance.synced, instance.clock, instance.lastHeartbeat = true, true, 1, now+time.Hour
	instance.heartbeat = scheduler.WorkerHeartbeat{
		Worker: instance.name, Pool: "pool", Phase: scheduler.WorkerReady,
		Capacity: scheduler.Resources{MilliCores: 8000, MemoryBytes: 8 << 30}, Labels: []string{"r1-1"},
	}
	for _, attempt := range instance.attempts {
		attempt.state = attemptRunning
		attempt.timing.begin(now - time.Minute)
	}
}
