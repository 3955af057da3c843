package placer

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// loadedPlacer returns a placer with the given number of workers, each with 3 or 4 service tasks and 18 or 19 batch
// tasks. 400 of every 860 workers have 4 accelerators.
func loadedPlacer(workers int) (*Placer, []scheduler.WorkerState) {
	p, _ := New(WithEstimator(fixedEstimator{"service1+kind2": 0.5, "service3+kind4": 3}))
	states := make([]scheduler.WorkerState, workers)
	for i := range states {
		w := scheduler.Worker{Name: scheduler.WorkerName(fmt.Sprint("w", i)), Rack: fmt.Sprint("r", i/11), Capacity: resources(64, 250, 0)}
		if i%860 < 400 {
			w.Capacity.Accelerators = 4
		}
		var tasks []scheduler.PlacedTask
		for j := range 3 + i%8/7 {
			tasks = append(tasks, running(fmt.Sprint("s", j, "/", i), spec(scheduler.ClassLatencyCritical, fmt.Sprint("service", (i+j)%8), resources(4, 8, 0)), time.Hour, 0))
		}
		for j := range 18 + i%5/2 {
			tasks = append(tasks, running(fmt.Sprint("b", i, "x", j, "/1"), spec(scheduler.ClassBatch, fmt.Sprint("kind", (i*7+j)%12), resources(2, 8, 0)), time.Minute*time.Duration(j), 0))
		}
		states[i] = state(w, tasks...)
		p.Update(states[i])
	}
	return p, states
}

// BenchmarkDecision measures the cycle of one task: its placement, the update that confirms it, and the update after
// its end. 10% of the tasks request an accelerator and 1% are urgent and large.
func BenchmarkDecision(b *testing.B) {
	for name, c := range map[string]struct{ workers, scan int }{
		"50": {50, maxExhaustiveWorkers}, "200": {200, maxExhaustiveWorkers}, "860": {860, maxExhaustiveWorkers},
		"3440": {3440, maxExhaustiveWorkers}, "860scanned": {860, 1 << 20}, "3440scanned": {3440, 1 << 20},
	} {
		b.Run(name, func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			p, states := loadedPlacer(c.workers)
			p.exhaustiveLimit = c.scan
			runtime.GC()
			runtime.ReadMemStats(&after)
			index := map[scheduler.WorkerName]int{}
			for i := range states {
				index[states[i].Worker.Name] = i
			}
			latencies := make([]time.Duration, 0, b.N)
			refused := 0
			now := start
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Second / 400)
				task := scheduler.PendingTask{Task: "new/1", Job: "new", Spec: spec(scheduler.ClassBatch, fmt.Sprint("kind", i%12), resources(2, 4, 0))}
				if i%10 == 0 {
					task.Spec.Request.Accelerators = 1
				}
				if i%100 == 1 {
					task.Urgent, task.Spec.Request = true, resources(24, 60, 0)
				}
				begun := time.Now()
				assignments, _ := p.Place(now, []scheduler.PendingTask{task})
				latencies = append(latencies, time.Since(begun))
				if len(assignments) == 0 {
					refused++
					continue
				}
				s := states[index[assignments[0].Worker]]
				confirmed := s
				confirmed.Tasks = append(slices.Clone(s.Tasks), scheduler.PlacedTask{Task: task.Task, Job: task.Job, Spec: task.Spec, Started: now})
				confirmed.Reserved = s.Reserved.Plus(task.Spec.Request)
				p.Update(confirmed)
				p.Update(s)
			}
			b.StopTimer()
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)*99/100]), "p99-decision-ns")
			b.ReportMetric(float64(latencies[len(latencies)/2]), "p50-decision-ns")
			b.ReportMetric(float64(refused)/float64(b.N), "refused-share")
			runtime.KeepAlive(p)
		})
	}
}

// BenchmarkRefusals measures a step in which none of 400 batch tasks of 12 kinds can be placed, because every worker
// with enough capacity runs services that they would slow down. The tasks are passed one at a time, as the governor
// does to place them in quota order.
func BenchmarkRefusals(b *testing.B) {
	p, _ := New(WithEstimator(uniformEstimator(5)))
	for i := range 860 {
		w := scheduler.Worker{Name: scheduler.WorkerName(fmt.Sprint("w", i)), Rack: fmt.Sprint("r", i/11), Capacity: resources(64, 250, 0)}
		var tasks []scheduler.PlacedTask
		for j := range 3 {
			tasks = append(tasks, running(fmt.Sprint("s", j, "/", i), spec(scheduler.ClassLatencyCritical, fmt.Sprint("service", (i+j)%8), resources(4, 8, 0)), time.Hour, 0))
		}
		p.Update(state(w, tasks...))
	}
	now, refused := start, 0
	b.ResetTimer()
	for range b.N {
		now = now.Add(time.Second / 5)
		for i := range 400 {
			task := scheduler.PendingTask{
				Task: scheduler.TaskID(fmt.Sprint("new/", i)), Job: "new", WaitTime: time.Duration(400-i) * time.Second / 100,
				Spec: spec(scheduler.ClassBatch, fmt.Sprint("kind", i%12), resources(8, 4, 0)),
			}
			_, failures := p.Place(now, []scheduler.PendingTask{task})
			refused += len(failures)
		}
	}
	b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
}

// uniformEstimator returns the same interference for every colocation.
type uniformEstimator float64

func (uniformEstimator uniformEstimator) Interference(scheduler.Colocation) scheduler.Estimate {
	return scheduler.Estimate{Interference: float64(uniformEstimator)}
}

func (uniformEstimator) Load(string) scheduler.LoadLevel { return scheduler.LoadMedium }
