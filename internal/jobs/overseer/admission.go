package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/admitter"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// observeInterval is how often the load of the pools is looked at for admission.
const observeInterval = 200 * time.Millisecond

// observeLoad tells the admitters the load of their pools.
func (reign *reign) observeLoad() {
	now := reign.now()
	if now < reign.observed+observeInterval {
		return
	}
	reign.observed = now
	reign.mutex.Lock()
	defer reign.mutex.Unlock()
	for pool, load := range reign.poolLoads() {
		watched := reign.admitters[pool]
		if watched == nil {
			watched = &admitter.Admitter{}
			reign.admitters[pool] = watched
		}
		watched.Observe(now, *load)
	}
}

// poolLoads returns the load of each pool. The mutex is held.
func (reign *reign) poolLoads() map[scheduler.PoolName]*admitter.Load {
	loads := map[scheduler.PoolName]*admitter.Load{}
	of := func(pool scheduler.PoolName) *admitter.Load {
		if loads[pool] == nil {
			loads[pool] = &admitter.Load{}
		}
		return loads[pool]
	}
	for _, life := range reign.lives {
		if !life.known || life.beat.Phase != scheduler.WorkerReady {
			continue
		}
		load := of(life.beat.Pool)
		load.Capacity += life.beat.Capacity.MilliCores
		for _, attempt := range life.attempts {
			addTask(load, &attempt.spec)
		}
	}
	reign.overseer.keeper.View(func(state *jobkeeper.State) {
		state.Ready(func(task *jobkeeper.Task) {
			addTask(of(task.Step().Job().Queue().Pool), task.Step().Spec())
		})
	})
	return loads
}

func addTask(load *admitter.Load, spec *scheduler.Step) {
	if spec.LongRunning {
		load.LongRunning += spec.Reserved().MilliCores
		return
	}
	load.Short += spec.Reserved().MilliCores
}

// Admit decides whether the domain takes on a job for a pool. The decision is only made by the VM that leads;
// elsewhere the job is refused by the proposal.
func (overseer *Overseer) Admit(pool scheduler.PoolName, workflow *scheduler.Workflow) admitter.Decision {
	reign := overseer.current.Load()
	if reign == nil {
		return (&admitter.Admitter{}).Admit(workflow)
	}
	reign.mutex.Lock()
	defer reign.mutex.Unlock()
	watched := reign.admitters[pool]
	if watched == nil {
		return (&admitter.Admitter{}).Admit(workflow)
	}
	decision := watched.Admit(workflow)
	if decision.Admitted() {
		watched.Took(workflow)
	}
	return decision
}
