package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Term returns the term of the leader whose engine took over last.
func (machine *Machine) Term() scheduler.Term {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	return machine.term
}

// Revision returns the revision of the current inventory.
func (machine *Machine) Revision() scheduler.Revision {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	return machine.revision
}

// JobReport describes the state of a job and the reason for it. It is a wire type.
type JobReport struct {
	Job  scheduler.JobID    `json:"job"`
	Team scheduler.TeamName `json:"team"`
	// Class and Kind are those of the job's first group of tasks.
	Class  scheduler.Class `json:"class,omitempty"`
	Kind   string          `json:"kind,omitempty"`
	State  JobState        `json:"state"`
	Reason string          `json:"reason,omitempty"`
	Tasks  []TaskReport    `json:"tasks,omitempty"`
}

// TaskReport describes the state of a task and the reason for it. It is a wire type.
type TaskReport struct {
	Task       scheduler.TaskID        `json:"task"`
	State      TaskState               `json:"state"`
	Attempt    scheduler.AttemptNumber `json:"attempt"`
	Lease      scheduler.LeaseNumber   `json:"lease,omitempty"`
	Worker     scheduler.WorkerName    `json:"worker,omitempty"`
	Checkpoint string                  `json:"checkpoint,omitempty"`
	Failures   uint32                  `json:"failures,omitempty"`
	Evictions  uint32                  `json:"evictions,omitempty"`
	// Reason states why the task is in its state. For a pending task, it states why the task has not been placed.
	Reason string  `json:"reason,omitempty"`
	Events []Event `json:"events,omitempty"`
}

// Job returns the report of a job. ok is false if the job is unknown or has been purged.
func (machine *Machine) Job(id scheduler.JobID) (report JobReport, ok bool) {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	job, ok := machine.jobs[id]
	if !ok {
		return JobReport{}, false
	}
	report = JobReport{Job: id, Team: job.Team, State: job.State, Reason: job.Reason}
	if len(job.Groups) > 0 {
		report.Class, report.Kind = job.Groups[0].Spec.Class, job.Groups[0].Spec.Kind
	}
	for _, task := range job.Tasks {
		report.Tasks = append(report.Tasks, TaskReport{
			Task: task.ID, State: task.State, Attempt: task.Attempt, Lease: task.Lease, Worker: task.Worker,
			Checkpoint: task.Checkpoint, Failures: task.Failures, Evictions: task.Evictions,
			Reason: task.Reason, Events: slices.Clone(task.Events),
		})
	}
	return report, true
}

// Jobs returns the sorted IDs of all jobs that have not been purged.
func (machine *Machine) Jobs() []scheduler.JobID {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	return slices.Sorted(maps.Keys(machine.jobs))
}

// Workers returns the revision and the workers of the current inventory, sorted by name.
func (machine *Machine) Workers() (scheduler.Revision, []scheduler.Worker) {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	var workers []scheduler.Worker
	for _, name := range slices.Sorted(maps.Keys(machine.workers)) {
		if worker := machine.workers[name]; !worker.Removed {
			workers = append(workers, worker.Worker)
		}
	}
	return machine.revision, workers
}

// workerState returns the replicated state of a worker. Schedulable is false for a drained worker. The resources of
// the attempts in hidden are included in Reserved, but the attempts are not listed.
func (machine *Machine) workerState(
	name scheduler.WorkerName, hidden map[scheduler.TaskID]scheduler.AttemptNumber,
	throttled func(scheduler.LeaseNumber) bool,
) (scheduler.WorkerState, bool) {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	worker, ok := machine.workers[name]
	if !ok || worker.Removed {
		return scheduler.WorkerState{}, false
	}
	state := scheduler.WorkerState{Worker: worker.Worker, Reserved: worker.reserved, Schedulable: !worker.Drained}
	for _, task := range worker.tasks {
		if hidden[task.ID] == task.Attempt {
			continue
		}
		placed := scheduler.PlacedTask{
			Task: task.ID, Job: task.job.ID, Team: task.job.Team, Spec: *task.spec(), Started: time.UnixMilli(task.Since),
			Lease: task.Lease, Throttled: throttled(task.Lease),
		}
		if task.CheckpointedAt != 0 {
			placed.LastCheckpoint = time.UnixMilli(task.CheckpointedAt)
		}
		state.Tasks = append(state.Tasks, placed)
	}
	return state, true
}

func (machine *Machine) hasWorker(name scheduler.WorkerName) bool {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	_, ok := machine.workers[name]
	return ok
}

func (machine *Machine) liveLeases() []scheduler.LeaseNumber {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	return slices.Sorted(maps.Keys(machine.leases))
}

func (machine *Machine) markChanged(worker scheduler.WorkerName) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	machine.changed[worker] = struct{}{}
}

func (machine *Machine) markLeaseChanged(lease scheduler.LeaseNumber) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if task, ok := machine.leases[lease]; ok {
		machine.changed[task.Worker] = struct{}{}
	}
}

func (machine *Machine) markAllChanged() {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	for name := range machine.workers {
		machine.changed[name] = struct{}{}
	}
}

func (machine *Machine) takeChanged() map[scheduler.WorkerName]struct{} {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	changed := machine.changed
	machine.changed = map[scheduler.WorkerName]struct{}{}
	return changed
}

// reservationState reports whether the task of a reservation is still pending and whether all victims have stopped.
func (machine *Machine) reservationState(id scheduler.TaskID, reservation reservation) (pending, free bool) {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	task, ok := machine.pending[id]
	if !ok || task.Attempt != reservation.attempt {
		return false, false
	}
	for victim, attempt := range reservation.victims {
		task, ok := machine.tasks[victim]
		if ok && task.Attempt == attempt && task.occupies() {
			return true, false
		}
	}
	return true, true
}

// attempts returns the current attempt numbers of the tasks that are known.
func (machine *Machine) attempts(ids []scheduler.TaskID) map[scheduler.TaskID]scheduler.AttemptNumber {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	attempts := map[scheduler.TaskID]scheduler.AttemptNumber{}
	for _, id := range ids {
		if task, ok := machine.tasks[id]; ok {
			attempts[id] = task.Attempt
		}
	}
	return attempts
}

func (machine *Machine) request(id scheduler.TaskID) scheduler.Resources {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	if task, ok := machine.tasks[id]; ok {
		return task.spec().Request
	}
	return scheduler.Resources{}
}

func (machine *Machine) reason(id scheduler.TaskID) string {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	if task, ok := machine.tasks[id]; ok {
		return task.Reason
	}
	return ""
}

func (task *task) pending(now time.Time) scheduler.PendingTask {
	pending := scheduler.PendingTask{
		Task: task.ID, Job: task.job.ID, Team: task.job.Team, Spec: *task.spec(),
		WaitTime: now.Sub(time.UnixMilli(task.Since)), Urgent: task.job.Urgent,
		AvoidWorkers: slices.Clone(task.Avoid),
	}
	if task.job.DeadlineUnixMilli != 0 {
		pending.Deadline = time.UnixMilli(task.job.DeadlineUnixMilli)
	}
	return pending
}

// evacuations returns up to limit evictions of attempts that run on drained or removed workers.
func (machine *Machine) evacuations(limit int) []Evict {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	var evictions []Evict
	for _, name := range slices.Sorted(maps.Keys(machine.workers)) {
		worker := machine.workers[name]
		if !worker.Drained && !worker.Removed {
			continue
		}
		reason := worker.Reason
		if worker.Removed {
			reason = "the worker was removed from the inventory"
		}
		for _, task := range worker.tasks {
			if task.State != TaskStarting && task.State != TaskRunning {
				continue
			}
			if len(evictions) >= limit {
				return evictions
			}
			evictions = append(evictions, Evict{Task: task.ID, Attempt: task.Attempt, Reason: reason})
		}
	}
	return evictions
}
