package dispatcher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// startTasks starts perWorker tasks on each worker and returns the sync requests that list them.
func (harness *harness) startTasks(workers, perWorker int) []*scheduler.SyncRequest {
	requests := make([]*scheduler.SyncRequest, workers)
	for i := range workers {
		job := scheduler.JobID(fmt.Sprintf("job-%d", i))
		operations := []Operation{submitOperation(job, perWorker, batchSpec(100))}
		name := scheduler.WorkerName(fmt.Sprintf("worker-%04d", i))
		requests[i] = &scheduler.SyncRequest{Worker: name, Incarnation: 1}
		for j := range perWorker {
			operations = append(operations, assignOperation(scheduler.TaskID(fmt.Sprintf("%s/%d", job, j+1)), 1, name))
			lease := scheduler.LeaseNumber(i*perWorker + j + 1)
			operations = append(operations, Operation{Term: 1, Started: &Started{Lease: lease}})
			requests[i].Running = append(requests[i].Running, lease)
		}
		harness.execute(operations...)
	}
	return requests
}

// fullPlacer places no task, so that the cost of the placer is not measured.
type fullPlacer struct{ *firstFitPlacer }

func (fullPlacer) Place(
	_ time.Time, pending []scheduler.PendingTask,
) ([]scheduler.Assignment, []scheduler.PlacementFailure) {
	failures := make([]scheduler.PlacementFailure, len(pending))
	for i, task := range pending {
		failures[i] = scheduler.PlacementFailure{Task: task.Task, Reason: "no worker has room"}
	}
	return nil, failures
}

// newBenchmarkEngine returns an engine that has taken over in term 2.
func newBenchmarkEngine(b *testing.B, machine *Machine) *Engine {
	cluster := newCluster(1, "couva-1")
	cluster.delay = 0
	cluster.nodes[0].machine = machine
	cluster.nodes[0].term = 2
	engine := NewEngine("couva-1", cluster.nodes[0], machine, fullPlacer{newFirstFitPlacer()})
	// The delay of the batcher uses no CPU time and would only slow the benchmark down.
	engine.batcher.delay = 0
	if err := engine.takeOver(b.Context(), 2); err != nil {
		b.Fatal(err)
	}
	return engine
}

func BenchmarkExchange(b *testing.B) {
	for _, perWorker := range []int{1, 5, 22} {
		b.Run(fmt.Sprintf("tasks=%d", perWorker), func(b *testing.B) {
			harness := newHarness(b, 860)
			request := harness.startTasks(860, perWorker)[500]
			engine := newBenchmarkEngine(b, harness.Machine)
			var response *scheduler.SyncResponse
			b.ReportAllocs()
			for b.Loop() {
				request.Sequence++
				var err error
				if response, err = engine.Sync(b.Context(), request); err != nil {
					b.Fatal(err)
				}
			}
			if len(response.Renewed) != perWorker {
				b.Fatalf("got %d renewed, want %d", len(response.Renewed), perWorker)
			}
			report := scheduler.AttemptUsage{
				Lease: 11000, Age: 20 * time.Second, Interval: 10 * time.Second, Used: batchSpec(1000).Request,
			}
			for name, message := range map[string]any{"request": request, "answer": response, "report": report} {
				text, _ := json.Marshal(message)
				binary, _ := encoder.Marshal(message)
				b.ReportMetric(float64(len(text)), "B/"+name+"JSON")
				b.ReportMetric(float64(len(binary)), "B/"+name+"CBOR")
			}
		})
	}
}

// BenchmarkLeaderSecond measures the cost of one second on a leader: one sync exchange per worker including CBOR
// decoding and encoding, and five steps.
func BenchmarkLeaderSecond(b *testing.B) {
	for _, size := range [][2]int{{50, 0}, {200, 0}, {860, 0}, {860, 16000}} {
		workers, pending := size[0], size[1]
		b.Run(fmt.Sprintf("workers=%d/pending=%d", workers, pending), func(b *testing.B) {
			harness := newHarness(b, workers)
			requests := harness.startTasks(workers, 22)
			for i := range pending / 4 {
				harness.execute(submitOperation(scheduler.JobID(fmt.Sprintf("wait-%d", i)), 4, batchSpec(32000)))
			}
			engine := newBenchmarkEngine(b, harness.Machine)
			for seconds := 0; b.Loop(); seconds++ {
				for _, request := range requests {
					request.Sequence++
					encoded, _ := encoder.Marshal(request)
					var received scheduler.SyncRequest
					if err := encoder.Unmarshal(encoded, &received); err != nil {
						b.Fatal(err)
					}
					response, err := engine.Sync(b.Context(), &received)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = encoder.Marshal(response)
				}
				// The benchmark runs faster than real time, so the intervals are reset.
				engine.lastExpiryCheck = time.Time{}
				for i := range 5 {
					if seconds%3 == 0 && i == 0 {
						engine.placement.batchQueue.sortedAt = time.Time{}
					}
					if err := engine.step(b.Context()); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// BenchmarkApply measures the operations of one attempt: evict, end, assign and start, in one command each.
func BenchmarkApply(b *testing.B) {
	for _, tasks := range []int{1000, 6000, 18700} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			harness := newHarness(b, 850)
			harness.startTasks(tasks/22, 22)
			runtime.GC()
			runtime.ReadMemStats(&after)
			var snapshot bytes.Buffer
			_ = harness.Snapshot(&snapshot)
			lease, attempt := scheduler.LeaseNumber(1), scheduler.AttemptNumber(1)
			last := harness.lastLease
			for b.Loop() {
				harness.execute(Operation{Term: 1, Evict: &Evict{Task: "job-0/1", Attempt: attempt, Reason: "makes room"}})
				harness.execute(endOperation(lease, scheduler.AttemptStopped))
				attempt++
				last++
				lease = last
				harness.execute(assignOperation("job-0/1", attempt, "worker-0000"))
				harness.execute(Operation{Term: 1, Started: &Started{Lease: lease}})
			}
			if harness.jobs["job-0"].Tasks[0].State != TaskRunning {
				b.Fatal("the attempts have not run")
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tasks), "B/task")
			b.ReportMetric(float64(snapshot.Len()), "B/snapshot")
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, tasks := range []int{1000, 6000, 18700} {
		harness := newHarness(b, 850)
		harness.startTasks(tasks/22, 22)
		var snapshot bytes.Buffer
		_ = harness.Snapshot(&snapshot)
		b.Run(fmt.Sprintf("write/tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				_ = harness.Snapshot(io.Discard)
			}
		})
		b.Run(fmt.Sprintf("restore/tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				_ = NewMachine("couva").Restore(bytes.NewReader(snapshot.Bytes()))
			}
		})
	}
}
