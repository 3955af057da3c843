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

// fill runs tasks on all workers; it returns the requests of their exchanges.
func (bench *bench) fill(workers, each int) []*scheduler.SyncRequest {
	requests := make([]*scheduler.SyncRequest, workers)
	for i := range workers {
		job := scheduler.JobID(fmt.Sprintf("job-%d", i))
		operations := []Operation{submitOf(job, each, batchSpec(100))}
		name := scheduler.WorkerName(fmt.Sprintf("worker-%04d", i))
		requests[i] = &scheduler.SyncRequest{Worker: name, Incarnation: 1}
		for j := range each {
			operations = append(operations, assignOf(scheduler.TaskID(fmt.Sprintf("%s/%d", job, j+1)), 1, name))
			lease := scheduler.LeaseNumber(i*each + j + 1)
			operations = append(operations, Operation{Term: 1, Started: &Started{Lease: lease}})
			requests[i].Running = append(requests[i].Running, lease)
		}
		bench.do(operations...)
	}
	return requests
}

// fullPlacer refuses every task, so that the placer's own work is not measured.
type fullPlacer struct{ *firstFit }

func (fullPlacer) Place(_ time.Time, pending []scheduler.PendingTask) ([]scheduler.Assignment, []scheduler.PlacementFailure) {
	refusals := make([]scheduler.PlacementFailure, len(pending))
	for i, task := range pending {
		refusals[i] = scheduler.PlacementFailure{Task: task.Task, Reason: "no worker has room"}
	}
	return nil, refusals
}

// newBenchEngine returns an engine that has taken over in term 2.
func newBenchEngine(b *testing.B, machine *Machine) *Engine {
	cluster := newCluster(1, "couva-1")
	cluster.delay = 0
	cluster.nodes[0].machine = machine
	cluster.nodes[0].term = 2
	engine := NewEngine("couva-1", cluster.nodes[0], machine, fullPlacer{newFirstFit()})
	// Time spent waiting for further operations is no processor time.
	engine.batcher.delay = 0
	if err := engine.takeOver(b.Context(), 2); err != nil {
		b.Fatal(err)
	}
	return engine
}

func BenchmarkExchange(b *testing.B) {
	for _, each := range []int{1, 5, 22} {
		b.Run(fmt.Sprintf("tasks=%d", each), func(b *testing.B) {
			bench := newBench(b, 860)
			request := bench.fill(860, each)[500]
			engine := newBenchEngine(b, bench.Machine)
			var answer *scheduler.SyncResponse
			b.ReportAllocs()
			for b.Loop() {
				request.Sequence++
				var err error
				if answer, err = engine.Sync(b.Context(), request); err != nil {
					b.Fatal(err)
				}
			}
			if len(answer.Renewed) != each {
				b.Fatalf("got %d renewed, want %d", len(answer.Renewed), each)
			}
			report := scheduler.AttemptUsage{Lease: 11000, Age: 20 * time.Second, Interval: 10 * time.Second, Used: batchSpec(1000).Request}
			for name, message := range map[string]any{"request": request, "answer": answer, "report": report} {
				text, _ := json.Marshal(message)
				binary, _ := encoder.Marshal(message)
				b.ReportMetric(float64(len(text)), "B/"+name+"JSON")
				b.ReportMetric(float64(len(binary)), "B/"+name+"CBOR")
			}
		})
	}
}

// BenchmarkLeaderSecond measures what one second costs a leader: an exchange of each worker with
// decoding and encoding in CBOR, and five steps.
func BenchmarkLeaderSecond(b *testing.B) {
	for _, size := range [][2]int{{50, 0}, {200, 0}, {860, 0}, {860, 16000}} {
		workers, pending := size[0], size[1]
		b.Run(fmt.Sprintf("workers=%d/pending=%d", workers, pending), func(b *testing.B) {
			bench := newBench(b, workers)
			requests := bench.fill(workers, 22)
			for i := range pending / 4 {
				bench.do(submitOf(scheduler.JobID(fmt.Sprintf("wait-%d", i)), 4, batchSpec(32000)))
			}
			engine := newBenchEngine(b, bench.Machine)
			for seconds := 0; b.Loop(); seconds++ {
				for _, request := range requests {
					request.Sequence++
					encoded, _ := encoder.Marshal(request)
					var received scheduler.SyncRequest
					if err := encoder.Unmarshal(encoded, &received); err != nil {
						b.Fatal(err)
					}
					answer, err := engine.Sync(b.Context(), &received)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = encoder.Marshal(answer)
				}
				// The benchmark runs faster than the clock.
				engine.expiredAt = time.Time{}
				for i := range 5 {
					if seconds%3 == 0 && i == 0 {
						engine.placement.queues.ordered = time.Time{}
					}
					if err := engine.step(b.Context()); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// BenchmarkApply measures the life of one attempt: evict, end, assign, start, in one command each.
func BenchmarkApply(b *testing.B) {
	for _, tasks := range []int{1000, 6000, 18700} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			bench := newBench(b, 850)
			bench.fill(tasks/22, 22)
			runtime.GC()
			runtime.ReadMemStats(&after)
			var snapshot bytes.Buffer
			_ = bench.Snapshot(&snapshot)
			lease, attempt := scheduler.LeaseNumber(1), scheduler.AttemptNumber(1)
			last := bench.lastLease
			for b.Loop() {
				bench.do(Operation{Term: 1, Evict: &Evict{Task: "job-0/1", Attempt: attempt, Reason: "makes room"}})
				bench.do(endOf(lease, scheduler.AttemptStopped))
				attempt++
				last++
				lease = last
				bench.do(assignOf("job-0/1", attempt, "worker-0000"))
				bench.do(Operation{Term: 1, Started: &Started{Lease: lease}})
			}
			if bench.jobs["job-0"].Tasks[0].State != TaskRunning {
				b.Fatal("the attempts have not run")
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tasks), "B/task")
			b.ReportMetric(float64(snapshot.Len()), "B/snapshot")
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, tasks := range []int{1000, 6000, 18700} {
		bench := newBench(b, 850)
		bench.fill(tasks/22, 22)
		var snapshot bytes.Buffer
		_ = bench.Snapshot(&snapshot)
		b.Run(fmt.Sprintf("write/tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				_ = bench.Snapshot(io.Discard)
			}
		})
		b.Run(fmt.Sprintf("restore/tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				_ = NewMachine("couva").Restore(bytes.NewReader(snapshot.Bytes()))
			}
		})
	}
}
