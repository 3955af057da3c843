package packer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a selection that assigns a task to another worker than the best one at that moment.
func TestSelectionTakesBestWorker(t *testing.T) {
	steps := map[string]scheduler.Step{
		"short":      {Request: scheduler.Resources{MilliCores: 1800}},
		"fill":       {Request: scheduler.Resources{MilliCores: 1800}, Fill: true, Image: "a"},
		"apart":      {Request: scheduler.Resources{MilliCores: 900}, MaxPerWorker: 1},
		"rack-local": {Request: scheduler.Resources{MilliCores: 900}, RackLocal: true},
		"serving":    {Request: scheduler.Resources{MilliCores: 900}, LatencyTarget: time.Millisecond, Image: "a"},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(20261204, 1))
			for range 50 {
				workers := randomWorkers(random, 30)
				group := &Group{Step: &step}
				selection := newSelection(workers, group)
				assigned, racks := map[*Worker]int{}, map[string]bool{}
				for range 80 {
					want := bestWorker(workers, group, assigned, racks)
					got := selection.reserve()
					if got != want {
						t.Fatalf("got worker %+v, want %+v", got, want)
					}
					if got == nil {
						break
					}
					assigned[got]++
					racks[got.Rack] = racks[got.Rack] || step.RackLocal
				}
			}
		})
	}
}

// bestWorker returns the first of the workers with the lowest score that is warm the soonest.
func bestWorker(workers []*Worker, group *Group, assigned map[*Worker]int, racks map[string]bool) *Worker {
	accepting := slices.DeleteFunc(slices.Clone(workers), func(worker *Worker) bool {
		return !group.accepts(worker, assigned[worker])
	})
	var best *Worker
	for _, worker := range accepting {
		if best == nil || group.score(worker, racks) < group.score(best, racks) ||
			group.score(worker, racks) == group.score(best, racks) && worker.ColdRemaining < best.ColdRemaining {
			best = worker
		}
	}
	return best
}

// randomWorkers returns workers of which many have equal scores.
func randomWorkers(random *rand.Rand, count int) []*Worker {
	workers := make([]*Worker, count)
	for number := range workers {
		capacity := scheduler.Resources{MilliCores: 4000 * (1 + random.Int64N(2))}
		workers[number] = &Worker{
			Name: scheduler.WorkerName(fmt.Sprint("w", number)), Rack: fmt.Sprint("r", random.IntN(4)), Capacity: capacity,
			Free: capacity, Slack: capacity.MilliCores, ColdRemaining: time.Duration(random.IntN(2)) * time.Second,
		}
	}
	return workers
}

// BenchmarkPackManySteps measures a decision with 100 steps of 14 tasks for 3,000 workers.
func BenchmarkPackManySteps(b *testing.B) {
	steps := map[string]scheduler.Step{"short": {}, "fill": {Fill: true}, "apart": {MaxPerWorker: 1}}
	for name, step := range steps {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				workers := randomWorkers(rand.New(rand.NewPCG(1, 1)), 3000)
				groups := make([]Group, 100)
				for number := range groups {
					step := step
					step.Request, step.Image = scheduler.Resources{MilliCores: 1800}, fmt.Sprint("image", number%10)
					groups[number] = Group{Step: &step, Tasks: make([]scheduler.StepTaskID, 14)}
				}
				b.StartTimer()
				if got, want := len(Pack(workers, groups)), 1400; got != want {
					b.Fatalf("got %d assignments, want %d", got, want)
				}
			}
		})
	}
}
