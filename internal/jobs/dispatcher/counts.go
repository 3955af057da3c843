package dispatcher

import "github.com/crocusplank/crocusplank/pkg/scheduler"

// Counts contains values for metrics. Evictions and Failures are sums over the tasks that have not been purged.
type Counts struct {
	Jobs      map[JobState]int
	Tasks     map[TaskState]int
	Evictions uint64
	Failures  uint64
	Leases    int
	Workers   int
	Drained   int
	// Capacity and Reserved are sums over the workers, including removed ones that attempts still occupy.
	Capacity scheduler.Resources
	Reserved scheduler.Resources
}

// Counts returns the current counts. It iterates over all tasks, so it should be called at intervals of seconds or
// longer.
func (machine *Machine) Counts() Counts {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	counts := Counts{
		Jobs: map[JobState]int{}, Tasks: map[TaskState]int{},
		Leases: len(machine.leases), Workers: len(machine.workers),
	}
	for _, job := range machine.jobs {
		counts.Jobs[job.State]++
		for _, task := range job.Tasks {
			counts.Tasks[task.State]++
			counts.Evictions += uint64(task.Evictions)
			counts.Failures += uint64(task.Failures)
		}
	}
	for _, worker := range machine.workers {
		if worker.Drained {
			counts.Drained++
		}
		counts.Capacity = counts.Capacity.Plus(worker.Worker.Capacity)
		counts.Reserved = counts.Reserved.Plus(worker.reserved)
	}
	return counts
}
