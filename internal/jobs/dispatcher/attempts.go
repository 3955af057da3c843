package dispatcher

import (
	"fmt"
	"slices"
	"strings"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Bounds of what workers report, which the state keeps for each task.
const (
	maxCheckpointName = 512
	maxMessage        = 256
)

// shorten cuts a message between characters, since the snapshot's decoder refuses damaged ones.
func shorten(message string) string {
	if len(message) <= maxMessage {
		return message
	}
	return strings.ToValidUTF8(message[:maxMessage], "")
}

// assign grants a lease. It checks the worker itself, so that a fault in the placer cannot give a
// worker more than it can hold.
func (machine *Machine) assign(assign *Assign, at int64) Result {
	task, ok := machine.pending[assign.Task]
	if !ok || task.Attempt != assign.Attempt {
		return unchanged("the attempt is not pending")
	}
	worker, ok := machine.workers[assign.Worker]
	switch {
	case !ok || worker.Removed:
		return refused(fmt.Sprintf("worker %s is not in the inventory", assign.Worker))
	case worker.Drained:
		return refused(fmt.Sprintf("worker %s is drained", assign.Worker))
	case !worker.reserved.Plus(task.spec().Request).FitsIn(worker.Worker.Capacity):
		return refused(fmt.Sprintf("worker %s cannot hold the task as well", assign.Worker))
	case mismatch(task.spec(), worker.Worker.Labels) != "":
		return refused(fmt.Sprintf("worker %s %s", assign.Worker, mismatch(task.spec(), worker.Worker.Labels)))
	}
	machine.dequeue(task)
	machine.lastLease++
	task.Lease, task.Term = machine.lastLease, machine.term
	task.Worker, task.Incarnation = assign.Worker, assign.Incarnation
	task.NotBefore = 0
	machine.occupy(worker, task)
	task.enter(TaskStarting, at, "")
	return done()
}

// occupy counts the task's attempt on its worker.
func (machine *Machine) occupy(worker *worker, task *task) {
	worker.reserved = worker.reserved.Plus(task.spec().Request)
	i, _ := worker.find(task.Lease)
	worker.tasks = slices.Insert(worker.tasks, i, task)
	machine.leases[task.Lease] = task
	machine.changed[task.Worker] = struct{}{}
}

// vacate takes the task's attempt from its worker.
func (machine *Machine) vacate(task *task) {
	machine.changed[task.Worker] = struct{}{}
	delete(machine.leases, task.Lease)
	worker := machine.workers[task.Worker]
	worker.reserved = worker.reserved.Minus(task.spec().Request)
	if i, ok := worker.find(task.Lease); ok {
		worker.tasks = slices.Delete(worker.tasks, i, i+1)
	}
	if worker.Removed && len(worker.tasks) == 0 {
		delete(machine.workers, task.Worker)
	}
	task.Lease, task.Term, task.Worker, task.Incarnation, task.SavedNumber = 0, 0, "", 0, 0
}

func (machine *Machine) started(started *Started, at int64) Result {
	task, ok := machine.leases[started.Lease]
	if !ok || task.State != TaskStarting {
		return unchanged("the attempt is not starting")
	}
	task.enter(TaskRunning, at, "")
	machine.changed[task.Worker] = struct{}{}
	return done()
}

func (machine *Machine) saved(saved *CheckpointSaved, at int64) Result {
	task, ok := machine.leases[saved.Lease]
	if !ok {
		return unchanged("the lease is not live")
	}
	if saved.Number <= task.SavedNumber {
		return unchanged("this or a later checkpoint is recorded")
	}
	if len(saved.Name) > maxCheckpointName {
		return unchanged("the name of the checkpoint is too long")
	}
	task.Checkpoint, task.SavedNumber, task.Saved = saved.Name, saved.Number, at
	machine.changed[task.Worker] = struct{}{}
	return done()
}

func (machine *Machine) evict(evict *Evict, at int64) Result {
	task, ok := machine.tasks[evict.Task]
	if !ok || task.Attempt != evict.Attempt || (task.State != TaskStarting && task.State != TaskRunning) {
		return unchanged("the attempt does not run")
	}
	task.Evictions++
	task.enter(TaskEvicting, at, evict.Reason)
	machine.changed[task.Worker] = struct{}{}
	return done()
}

// end ends an attempt and creates the next one in the same step, so that a task resumes exactly once
// whatever is repeated: the lease is live for the first End only.
func (machine *Machine) end(end *End, at int64) Result {
	task, ok := machine.leases[end.Lease]
	if !ok {
		return unchanged("the lease is not live")
	}
	end.Message = shorten(end.Message)
	if end.Checkpoint != "" && end.Checkpoint != task.Checkpoint && len(end.Checkpoint) <= maxCheckpointName {
		task.Checkpoint, task.Saved = end.Checkpoint, at
	}
	worker, state, reason := task.Worker, task.State, task.Reason
	machine.vacate(task)
	switch {
	case end.Outcome == scheduler.AttemptFinished:
		task.enter(TaskFinished, at, "")
	case state == TaskCancelling:
		task.enter(TaskCancelled, at, reason)
	case end.Outcome == scheduler.AttemptFailed:
		machine.fail(task, worker, end.Message, at)
	default:
		task.Replaced = end.Outcome == scheduler.AttemptExpired || end.Outcome == scheduler.AttemptLost
		machine.nextAttempt(task, at, endReason(end, worker, state, reason))
	}
	if task.ended() {
		machine.closeJob(task.job, at)
	}
	machine.settleMove(task.job)
	return done()
}

func endReason(end *End, worker scheduler.WorkerName, state TaskState, reason string) string {
	text := fmt.Sprintf("attempt %s on %s", end.Outcome, worker)
	if state == TaskEvicting {
		text = fmt.Sprintf("evicted from %s (%s): %s", worker, end.Outcome, reason)
	}
	if end.Message != "" {
		text += ": " + end.Message
	}
	return text
}

func (machine *Machine) fail(task *task, worker scheduler.WorkerName, message string, at int64) {
	task.Failures++
	task.avoid(worker)
	reason := fmt.Sprintf("failed on %s: %s", worker, message)
	if limit := task.job.MaxFailures; limit > 0 && task.Failures >= limit {
		task.enter(TaskFailed, at, fmt.Sprintf("given up after %d failures, the last one %s", task.Failures, reason))
		return
	}
	task.Replaced = false
	wait := backOff(task.Failures)
	task.NotBefore = at + wait.Milliseconds()
	machine.nextAttempt(task, at, fmt.Sprintf("%s; waits %s after failure %d", reason, wait, task.Failures))
}

func (machine *Machine) nextAttempt(task *task, at int64, reason string) {
	task.Attempt++
	task.enter(TaskPending, at, reason)
	if task.job.MovingTo == "" {
		machine.queue(task)
	}
}
