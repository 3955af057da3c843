package reserver

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// largePool returns a full pool of unequal workers and waiting steps of ten tasks. Of the latter, the given fraction are
// large.
func largePool(workerCount, taskCount int, largeFraction float64) *Pool {
	sizes := make([]int64, workerCount)
	for position := range sizes {
		sizes[position] = []int64{8, 8, 16, 32}[position%4]
	}
	pool := poolOf(sizes...)
	for position := range taskCount / 10 {
		step := scheduler.Step{Count: 10, Request: cores(1), Estimate: time.Second}
		if float64(position%10) < 10*largeFraction {
			step.Request = cores(8)
		}
		group := waitingGroup(step)
		group.RunTime = time.Duration(1+position%7) * 10 * time.Second
		for index := range group.Tasks {
			group.Tasks[index].Job = scheduler.JobID(fmt.Sprint(position))
		}
		pool.Groups = append(pool.Groups, group)
	}
	return pool
}

// BenchmarkDecision measures one decision about small tasks only and about small and large ones, with and without
// reservations.
func BenchmarkDecision(b *testing.B) {
	cases := map[string]struct {
		reserves      bool
		largeFraction float64
	}{
		"small, placing only":       {false, 0},
		"small, nothing to reserve": {true, 0},
		"mixed, placing only":       {false, 0.1},
		"mixed, reservations":       {true, 0.1},
	}
	for _, workerCount := range []int{350, 1000, 3000} {
		for _, taskCount := range []int{100, 2000, 20000} {
			for name, test := range cases {
				b.Run(fmt.Sprintf("workers=%d/tasks=%d/%s", workerCount, taskCount, name), func(b *testing.B) {
					pool := largePool(workerCount, taskCount, test.largeFraction)
					groups := make([]packer.Group, len(pool.Groups))
					for position, group := range pool.Groups {
						groups[position] = *group.Group
					}
					reserver := New()
					for b.Loop() {
						pool.Now += time.Millisecond
						for _, worker := range pool.Workers {
							worker.Hold = nil
						}
						if test.reserves {
							reserver.Plan(pool)
						}
						packer.Pack(pool.Workers, groups)
					}
				})
			}
		}
	}
}

// BenchmarkGang measures a decision about a gang of small tasks, which may run on any worker.
func BenchmarkGang(b *testing.B) {
	for _, taskCount := range []int{maxGangTasks, 5000} {
		b.Run(fmt.Sprintf("tasks=%d", taskCount), func(b *testing.B) {
			pool := largePool(300, 0, 0)
			pool.Groups = []Group{waitingGroup(scheduler.Step{
				Count: taskCount, Request: scheduler.Resources{MilliCores: 1}, Gang: true,
			})}
			b.ReportAllocs()
			for b.Loop() {
				New().Plan(pool)
			}
		})
	}
}
