package dispatcher

import (
	"fmt"
	"slices"
	"strings"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Bounds in bytes of the reported texts, because they are retained in the state for each task.
const (
	maxCheckpointNameLength = 512
	maxMessageLength        = 256
)

// truncateMessage truncates a message at a character boundary, because the decoder of snapshots rejects invalid
// UTF-8.
func truncateMessage(message string) string {
	if len(message) <= maxMessageLength {
		return message
	}
	return strings.ToValidUTF8(message[:maxMessageLength], "")
}

// assign grants a lease. It verifies capacity and labels again, so that a faulty placer cannot overload a worker.
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
	case labelMismatch(task.spec(), worker.Worker.Labels) != "":
		return refused(fmt.Sprintf("worker %s %s", assign.Worker, labelMismatch(task.spec(), worker.Worker.Labels)))
	}
	machine.dequeue(task)
	machine.lastLease++
	task.Lease, task.Term = machine.lastLease, machine.term
	task.Worker, task.Incarnation = assign.Worker, assign.Incarnation
	task.NotBefore = 0
	machine.occupy(worker, task)
	task.transition(TaskStarting, at, "")
	return done()
}

// occupy reserves the resources of the task's attempt on its worker.
func (machine *Machine) occupy(worker *worker, task *task) {
	worker.reserved = worker.reserved.Plus(task.spec().Request)
	i, _ := worker.find(task.Lease)
	worker.tasks = slices.Insert(worker.tasks, i, task)
	machine.leases[task.Lease] = task
	machine.changed[task.Worker] = struct{}{}
}

// vacate releases the resources of the task's attempt on its worker.
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
	task.Lease, task.Term, task.Worker, task.Incarnation, task.CheckpointNumber = 0, 0, "", 0, 0
}

func (machine *Machine) started(started *Started, at int64) Result {
	task, ok := machine.leases[started.Lease]
	if !ok || task.State != TaskStarting {
		return unchanged("the attempt is not starting")
	}
	task.transition(TaskRunning, at, "")
	machine.changed[task.Worker] = struct{}{}
	return done()
}

func (machine *Machine) checkpointSaved(checkpointSaved *CheckpointSaved, at int64) Result {
	task, ok := machine.leases[checkpointSaved.Lease]
	if !ok {
		return unchanged("the lease is not live")
	}
	if checkpointSaved.Number <= task.CheckpointNumber {
		return unchanged("this or a later checkpoint is recorded")
	}
	if len(checkpointSaved.Name) > maxCheckpointNameLength {
		return unchanged("the name of the checkpoint is too long")
	}
	task.Checkpoint, task.CheckpointNumber, task.CheckpointedAt = checkpointSaved.Name, checkpointSaved.Number, at
	machine.changed[task.Worker] = struct{}{}
	return done()
}

func (machine *Machine) evict(evict *Evict, at int64) Result {
	task, ok := machine.tasks[evict.Task]
	if !ok || task.Attempt != evict.Attempt || (task.State != TaskStarting && task.State != TaskRunning) {
		return unchanged("the attempt does not run")
	}
	task.Evictions++
	task.transition(TaskEvicting, at, evict.Reason)
	machine.changed[task.Worker] = struct{}{}
	return done()
}

// end ends an attempt and creates the next one atomically. Repeated operations cannot resume a task twice, because
// the lease is live only for the first End.
func (machine *Machine) end(end *End, at int64) Result {
	task, ok := machine.leases[end.Lease]
	if !ok {
		return unchanged("the lease is not live")
	}
	end.Message = truncateMessage(end.Message)
	if end.Checkpoint != "" && end.Checkpoint != task.Checkpoint && len(end.Checkpoint) <= maxCheckpointNameLength {
		task.Checkpoint, task.CheckpointedAt = end.Checkpoint, at
	}
	worker, state, reason := task.Worker, task.State, task.Reason
	task.blame(end, at)
	machine.vacate(task)
	switch {
	case end.Outcome == scheduler.AttemptFinished:
		task.transition(TaskFinished, at, "")
	case state == TaskCancelling:
		task.transition(TaskCancelled, at, reason)
	case end.Outcome == scheduler.AttemptFailed:
		machine.failAttempt(task, worker, end.Message, at)
	case task.Blame >= blameLimit:
		machine.giveUp(task, endReason(end, worker, state, reason), at)
	default:
		task.WorkerLost = end.Outcome == scheduler.AttemptExpired || end.Outcome == scheduler.AttemptLost ||
			crashPoints(end.Outcome) > 0
		machine.nextAttempt(task, at, endReason(end, worker, state, reason))
	}
	if task.ended() {
		machine.closeJob(task.job, at)
	}
	machine.finishMove(task.job)
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

func (machine *Machine) failAttempt(task *task, worker scheduler.WorkerName, message string, at int64) {
	task.Failures++
	task.avoid(worker)
	reason := fmt.Sprintf("failed on %s: %s", worker, message)
	if limit := task.job.MaxFailures; limit > 0 && task.Failures >= limit {
		task.transition(TaskFailed, at, fmt.Sprintf("given up after %d failures, the last one %s", task.Failures, reason))
		return
	}
	task.WorkerLost = false
	delay := backOff(task.Failures)
	task.NotBefore = at + delay.Milliseconds()
	machine.nextAttempt(task, at, fmt.Sprintf("%s; waits %s after failure %d", reason, delay, task.Failures))
}

func (machine *Machine) nextAttempt(task *task, at int64, reason string) {
	task.Attempt++
	task.transition(TaskPending, at, reason)
	if task.job.MovingTo == "" {
		machine.enqueue(task)
	}
}
