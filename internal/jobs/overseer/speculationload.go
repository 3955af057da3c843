package overseer

import (
	"slices"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/internal/jobs/speculator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// queueLoad is the load of a queue whose running tasks may have copies. The pool is kept with it because jobs outlive
// the configuration of their queue.
type queueLoad struct {
	speculator.QueueLoad

	pool scheduler.PoolName
}

// queueLoads holds the loads of queues by name.
type queueLoads map[scheduler.QueueName]*queueLoad

// of returns the load of the queue and adds it if it is missing.
func (queueLoads queueLoads) of(queue scheduler.Queue) *queueLoad {
	load := queueLoads[queue.Name]
	if load == nil {
		load = &queueLoad{pool: queue.Pool}
		queueLoads[queue.Name] = load
	}
	return load
}

// addPoolLoads completes the loads of the queues with those of their pools. It removes the queues of pools whose load is
// unknown.
func (leadership *leadership) addPoolLoads(
	state *jobkeeper.State, loads queueLoads, workers map[scheduler.PoolName][]*packer.Worker,
) {
	waiting := placeableTasks(state, workers)
	for name, load := range loads {
		poolAdmitter := leadership.admitters[load.pool]
		if poolAdmitter == nil {
			delete(loads, name)
			continue
		}
		load.WaitingTasks, load.PoolLoad = waiting[load.pool], poolAdmitter.ReservedFraction()
	}
}

// demand is what decides whether an idle worker could run a task.
type demand struct {
	constraint
	reserved scheduler.Resources
}

// placeableTasks returns the number of waiting tasks by pool. It leaves out fill tasks, which reserve no CPU, and tasks
// that no schedulable worker could run if it were idle: no free capacity is of use to them.
func placeableTasks(
	state *jobkeeper.State, workers map[scheduler.PoolName][]*packer.Worker,
) map[scheduler.PoolName]int {
	waiting, placeable := map[scheduler.PoolName]int{}, map[demand]bool{}
	state.VisitReady(func(task *jobkeeper.Task) {
		step := task.Step().Spec()
		if step.Fill {
			return
		}
		pool := task.Step().Job().Queue().Pool
		demand := demand{constraint: constraint{pool: pool, label: step.RequiredLabel}, reserved: step.Reserved()}
		fits, known := placeable[demand]
		if !known {
			fits = fitsIdleWorker(step, workers[pool])
			placeable[demand] = fits
		}
		if fits {
			waiting[pool]++
		}
	})
	return waiting
}

// fitsIdleWorker reports whether one of the workers could run a task of the step if it were idle. It considers neither
// approvals, which may arrive, nor MaxPerWorker, which other tasks of the step may leave room under when they end.
func fitsIdleWorker(step *scheduler.Step, workers []*packer.Worker) bool {
	group := packer.Group{Step: &scheduler.Step{Request: step.Request, RequiredLabel: step.RequiredLabel}}
	return slices.ContainsFunc(workers, func(worker *packer.Worker) bool { return group.FitsIdle(worker, 0) })
}
