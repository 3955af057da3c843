package overseer

import (
	"maps"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/admitter"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/state/budgeter"
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
	leadership.observeForecasts(now)
}

// poolLoads returns the load of each pool, with the admitted jobs that are not stored yet. The mutex must be held.
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
			continue // As with a draining worker, neither its capacity nor its running tasks count.
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
		leadership.dropSettledAdmissions(state)
	})
	for _, pending := range leadership.pendingAdmissions {
		loadOf(pending.pool).LongRunning += pending.request
	}
	return loads
}

// pendingAdmission is an admitted job whose proposal may still be pending.
type pendingAdmission struct {
	pool scheduler.PoolName
	// request is the total request of its long-running tasks in millicores.
	request int64
}

// recordAdmission adds an admitted job to the load of its pool. The mutex must be held.
func (leadership *leadership) recordAdmission(submission *admitter.Submission) {
	pool, request := submission.Queue.Pool, admitter.LongRunningRequest(submission.Workflow)
	if request == 0 {
		return
	}
	leadership.admitters[pool].RecordAdmission(submission.Workflow)
	leadership.pendingAdmissions[submission.Job] = pendingAdmission{pool: pool, request: request}
}

// dropSettledAdmissions forgets the admitted jobs that are in the state or will not be stored. The mutex must be held.
func (leadership *leadership) dropSettledAdmissions(state *jobkeeper.State) {
	now := time.Now()
	maps.DeleteFunc(leadership.pendingAdmissions, func(job scheduler.JobID, _ pendingAdmission) bool {
		_, stored := state.Job(job)
		return stored || !leadership.overseer.submissions.contains(job, now)
	})
}

func addTask(load *admitter.Load, spec *scheduler.Step) {
	if spec.LongRunning {
		load.LongRunning += spec.Reserved().MilliCores
		return
	}
	load.Short += spec.Reserved().MilliCores
}

// Admit decides whether the domain accepts a job. Only the leader makes this decision; on any other VM the later
// proposal of the job fails. RecordSubmission must be called with the result of the proposal of an admitted job.
func (overseer *Overseer) Admit(submission admitter.Submission) admitter.Decision {
	leadership := overseer.current.Load()
	if leadership == nil {
		return overseer.admit(nil, &submission)
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return overseer.admit(leadership, &submission)
}

// admit decides on a job. The leadership may be nil; otherwise its mutex must be held.
func (overseer *Overseer) admit(leadership *leadership, submission *admitter.Submission) admitter.Decision {
	if overseer.MayBeStored(submission.Job) {
		overseer.submissions.begin(submission.Job)
		return admitter.Admitted()
	}
	decision := overseer.admitByRoom()
	if decision.Admitted() && leadership != nil {
		decision = leadership.admit(submission)
	}
	if decision.Admitted() {
		overseer.submissions.begin(submission.Job)
	}
	return decision
}

// admitByRoom refuses a job while the files of the domain's group reach into the reserve of the disk. The reserve is for
// what lets work end: ends, cancellations, configurations, evacuations and the snapshot that frees room.
func (overseer *Overseer) admitByRoom() admitter.Decision {
	if overseer.budget.AcceptsNewWork(overseer.usedBytes()) {
		return admitter.Admitted()
	}
	return admitter.Refused("the disk of the leader has no room for new jobs", budgeter.RetryAfter)
}

// MayBeStored reports whether a job is stored, or a proposal of it may still take effect.
func (overseer *Overseer) MayBeStored(job scheduler.JobID) bool {
	// A proposal that ends between the two checks has stored the job before.
	return overseer.submissions.contains(job, time.Now()) || overseer.hasJob(job)
}

// hasJob reports whether a job is stored.
func (overseer *Overseer) hasJob(job scheduler.JobID) (found bool) {
	overseer.keeper.View(func(state *jobkeeper.State) { _, found = state.Job(job) })
	return found
}

// RecordSubmission records the result of the proposal of an admitted job. resolved is false if the proposal may still
// take effect.
func (overseer *Overseer) RecordSubmission(job scheduler.JobID, resolved bool) {
	overseer.submissions.end(job, resolved, time.Now())
}

// admit decides on a job from the load of its pool. The mutex must be held.
func (leadership *leadership) admit(submission *admitter.Submission) admitter.Decision {
	pool := submission.Queue.Pool
	poolAdmitter := leadership.admitters[pool]
	if poolAdmitter == nil {
		return admitter.Admitted()
	}
	decision := poolAdmitter.Admit(submission.Workflow)
	if decision.Admitted() && leadership.overseer.forecastAdmission {
		submission.FitsNow = func() bool {
			return leadership.packedWorkersOf(pool).reserve(leadership.firstGroups(submission.Queue, submission.Workflow))
		}
		decision = leadership.backlogAdmitter(pool).Admit(leadership.now(), *submission)
		if !decision.Admitted() {
			leadership.logRefusal(submission, &decision)
		}
	}
	if decision.Admitted() {
		leadership.recordAdmission(submission)
	}
	return decision
}
