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
func (leadership *leadership) observeLoad() {
	now := leadership.now()
	if now < leadership.observed+observeInterval {
		return
	}
	leadership.observed = now
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	for pool, load := range leadership.poolLoads() {
		watched := leadership.admitters[pool]
		if watched == nil {
			watched = &admitter.Admitter{}
			leadership.admitters[pool] = watched
		}
		watched.Observe(now, *load)
	}
}

// poolLoads returns the load of each pool. The mutex is held.
func (leadership *leadership) poolLoads() map[scheduler.PoolName]*admitter.Load {
	loads := map[scheduler.PoolName]*admitter.Load{}
	of := func(pool scheduler.PoolName) *admitter.Load {
		if loads[pool] == nil {
			loads[pool] = &admitter.Load{}
		}
		return loads[pool]
	}
	for _, life := range leadership.lives {
		if !life.known || life.beat.Phase != scheduler.WorkerReady {
			continue
		}
		load := of(life.beat.Pool)
		load.Capacity += life.beat.Capacity.MilliCores
		for _, attempt := range life.attempts {
			addTask(load, &attempt.spec)
		}
	}
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		state.VisitReady(func(task *jobkeeper.Task) {
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
	leadership := overseer.current.Load()
	if leadership == nil {
		return (&admitter.Admitter{}).Admit(workflow)
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	watched := leadership.admitters[pool]
	if watched == nil {
		return (&admitter.Admitter{}).Admit(workflow)
	}
	decision := watched.Admit(workflow)
	if decision.Admitted() {
		watched.RecordAdmission(workflow)
	}
	return decision
}
