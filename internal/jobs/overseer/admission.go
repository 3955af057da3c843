package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/admitter"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// admissionInterval is how often the admitters are updated with the load of their pools.
const admissionInterval = 200 * time.Millisecond

// observeLoad updates the admitters with the load of their pools.
func (leadership *leadership) observeLoad() {
	now := leadership.now()
	if now < leadership.loadObservedAt+admissionInterval {
		return
	}
	leadership.loadObservedAt = now
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	for pool, load := range leadership.poolLoads() {
		poolAdmitter := leadership.admitters[pool]
		if poolAdmitter == nil {
			poolAdmitter = &admitter.Admitter{}
			leadership.admitters[pool] = poolAdmitter
		}
		poolAdmitter.Observe(now, *load)
	}
}

// poolLoads returns the load of each pool. The mutex must be held.
func (leadership *leadership) poolLoads() map[scheduler.PoolName]*admitter.Load {
	loads := map[scheduler.PoolName]*admitter.Load{}
	loadOf := func(pool scheduler.PoolName) *admitter.Load {
		if loads[pool] == nil {
			loads[pool] = &admitter.Load{}
		}
		return loads[pool]
	}
	for _, instance := range leadership.instances {
		if !instance.hasHeartbeat || instance.heartbeat.Phase != scheduler.WorkerReady {
			continue
		}
		load := loadOf(instance.heartbeat.Pool)
		if leadership.isInEvacuatedDataCentre(instance) {
			continue // As on a draining worker, neither its capacity nor the tasks that it finishes count.
		}
		load.Capacity += instance.heartbeat.Capacity.MilliCores
		for _, attempt := range instance.attempts {
			addTask(load, &attempt.spec)
		}
	}
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		state.VisitReady(func(task *jobkeeper.Task) {
			addTask(loadOf(task.Step().Job().Queue().Pool), task.Step().Spec())
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

// Admit decides whether the domain accepts a job for a pool. Only the leader makes this decision; on any other VM the
// later proposal of the job fails.
func (overseer *Overseer) Admit(pool scheduler.PoolName, workflow *scheduler.Workflow) admitter.Decision {
	leadership := overseer.current.Load()
	if leadership == nil {
		return (&admitter.Admitter{}).Admit(workflow)
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	poolAdmitter := leadership.admitters[pool]
	if poolAdmitter == nil {
		return (&admitter.Admitter{}).Admit(workflow)
	}
	decision := poolAdmitter.Admit(workflow)
	if decision.Admitted() {
		poolAdmitter.RecordAdmission(workflow)
	}
	return decision
}
