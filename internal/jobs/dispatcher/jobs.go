package dispatcher

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// maxIDLength bounds the IDs and keys that callers choose.
const maxIDLength = 256

// maxTasks bounds the tasks of a job, because a single log entry creates all of them.
const maxTasks = 10_000

func (machine *Machine) submit(submission *Submission, at int64) Result {
	if reason := checkSubmission(submission); reason != "" {
		return refused(reason)
	}
	encoded, err := encoder.Marshal(submission)
	if err != nil {
		return refused(err.Error())
	}
	digest := sha256.Sum256(encoded)
	first, ok := machine.findJob(submission)
	if ok && !bytes.Equal(first.Digest, digest[:]) {
		return Result{Outcome: ResultRefused, Job: first.ID, Reason: "the ID or key was used for another submission"}
	}
	// A refused job is evaluated again, because the inventory may have changed in the meantime.
	if ok && first.State != JobRefused {
		reason := "submitted before"
		if first.MovingTo != "" {
			reason = "the job has moved to " + string(first.MovingTo)
		}
		return Result{Outcome: ResultUnchanged, Job: first.ID, Reason: reason}
	}
	job := machine.newJob(submission, digest[:], at)
	if ok {
		job.ID = first.ID
	}
	machine.jobs[job.ID] = job
	if submission.Key != "" {
		machine.keys[teamKey(submission)] = job.ID
	}
	if job.State == JobRefused {
		return Result{Outcome: ResultRefused, Job: job.ID, Reason: job.Reason}
	}
	machine.createTasks(job, submission, at)
	return Result{Outcome: ResultDone, Job: job.ID}
}

func checkSubmission(submission *Submission) string {
	if submission.Job == "" && submission.Key == "" {
		return "a submission needs a job ID or a submission key, so that a resend can be recognised"
	}
	if len(submission.Job) > maxIDLength || len(submission.Key) > maxIDLength {
		return fmt.Sprintf("a job ID or submission key has at most %d bytes", maxIDLength)
	}
	if submission.Team == "" {
		return "a submission needs a team"
	}
	total := 0
	for i, group := range submission.Tasks {
		request := group.Spec.Request
		if group.Count < 1 || group.Count > maxTasks {
			return fmt.Sprintf("tasks[%d].count must be between 1 and %d", i, maxTasks)
		}
		if request.MilliCores < 0 || request.MemoryBytes < 0 || request.Accelerators < 0 {
			return fmt.Sprintf("tasks[%d].spec.request is negative", i)
		}
		if group.Spec.Class != scheduler.ClassLatencyCritical && group.Spec.Class != scheduler.ClassBatch {
			return fmt.Sprintf("tasks[%d].spec.class %q is unknown", i, group.Spec.Class)
		}
		total += group.Count
	}
	if total < 1 || total > maxTasks {
		return fmt.Sprintf("a job has between 1 and %d tasks", maxTasks)
	}
	return ""
}

func teamKey(submission *Submission) string { return string(submission.Team) + "\x00" + submission.Key }

func (machine *Machine) findJob(submission *Submission) (*job, bool) {
	id := submission.Job
	if id == "" {
		id = machine.keys[teamKey(submission)]
	}
	job, ok := machine.jobs[id]
	if !ok && submission.Key != "" {
		job, ok = machine.jobs[machine.keys[teamKey(submission)]]
	}
	return job, ok
}

// isSubmitted reports whether the job of a submission is known.
func (machine *Machine) isSubmitted(submission *Submission) bool {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	_, found := machine.findJob(submission)
	return found
}

// newJob generates an ID for a job that is submitted without one. The name of the group makes the ID unique across
// all data centres.
func (machine *Machine) newJob(submission *Submission, digest []byte, at int64) *job {
	job := &job{
		ID: submission.Job, Team: submission.Team, Urgent: submission.Urgent,
		DeadlineUnixMilli: submission.DeadlineUnixMilli, MaxFailures: submission.MaxFailures,
		Digest: digest, State: JobActive, Submitted: at,
	}
	if submission.Key != "" {
		job.Key = teamKey(submission)
	}
	for job.ID == "" || (submission.Job == "" && machine.jobs[job.ID] != nil) {
		machine.lastJob++
		job.ID = scheduler.JobID(fmt.Sprintf("%s-%d", machine.group, machine.lastJob))
	}
	for i, group := range submission.Tasks {
		unplaceable := machine.unplaceableReason(&group.Spec)
		job.Groups = append(job.Groups, taskGroup{Spec: group.Spec, Unplaceable: unplaceable})
		if unplaceable != "" && job.State == JobActive {
			job.State, job.Ended = JobRefused, at
			job.Reason = fmt.Sprintf("tasks[%d] can run nowhere: %s", i, unplaceable)
		}
	}
	return job
}

func (machine *Machine) createTasks(job *job, submission *Submission, at int64) {
	for i, group := range submission.Tasks {
		for range group.Count {
			task := &task{
				ID:    scheduler.TaskID(fmt.Sprintf("%s/%d", job.ID, len(job.Tasks)+1)),
				Group: i, State: TaskPending, Attempt: 1, Since: at, job: job,
			}
			job.Tasks = append(job.Tasks, task)
			job.open++
			machine.tasks[task.ID] = task
			machine.enqueue(task)
		}
	}
}

func (machine *Machine) cancel(cancellation *Cancellation, at int64) Result {
	result := done()
	reason := "cancelled by " + cancellation.Operator
	if cancellation.Reason != "" {
		reason += ": " + cancellation.Reason
	}
	missing := 0
	for _, id := range cancellation.Jobs {
		job, ok := machine.jobs[id]
		if !ok {
			missing++
			continue
		}
		if job.State != JobActive {
			continue
		}
		result.Count++
		for _, task := range job.Tasks {
			machine.cancelTask(task, at, reason)
		}
		job.Reason = reason
		machine.closeJob(job, at)
	}
	if missing > 0 {
		result.Reason = fmt.Sprintf("%d jobs are unknown", missing)
	}
	return result
}

// cancelTask ends a pending task immediately. An attempt that occupies a worker must stop first. If it finishes
// before it stops, the task is finished.
func (machine *Machine) cancelTask(task *task, at int64, reason string) {
	switch {
	case task.ended() || task.State == TaskCancelling:
	case task.occupies():
		task.transition(TaskCancelling, at, reason)
		machine.changed[task.Worker] = struct{}{}
	default:
		machine.dequeue(task)
		task.transition(TaskCancelled, at, reason)
	}
}

// closeJob ends the job if all of its tasks have ended.
func (machine *Machine) closeJob(job *job, at int64) {
	if job.open > 0 {
		return
	}
	state := JobFinished
	for _, task := range job.Tasks {
		switch {
		case task.State == TaskFailed:
			state = JobFailed
		case task.State == TaskCancelled && state != JobFailed:
			state = JobCancelled
		}
	}
	job.State, job.Ended = state, at
}

// purge deletes jobs that ended before the given time. Iterating over a map is deterministic here, because each job
// is handled independently of the others.
func (machine *Machine) purge(purge *Purge) Result {
	result := done()
	for id, job := range machine.jobs {
		if job.State == JobActive || job.Ended == 0 || job.Ended >= purge.BeforeUnixMilli {
			continue
		}
		for _, task := range job.Tasks {
			delete(machine.tasks, task.ID)
		}
		if job.Key != "" && machine.keys[job.Key] == id {
			delete(machine.keys, job.Key)
		}
		delete(machine.jobs, id)
		result.Count++
	}
	return result
}

func (machine *Machine) waitReason(waitReason *WaitReason) Result {
	task, ok := machine.pending[waitReason.Task]
	if !ok {
		return unchanged("the task does not wait")
	}
	task.Reason = waitReason.Reason
	return done()
}

// avoid adds a worker to the workers that the task avoids. The oldest ones are dropped beyond maxAvoidedWorkers.
func (task *task) avoid(name scheduler.WorkerName) {
	if slices.Contains(task.Avoid, name) {
		return
	}
	task.Avoid = append(task.Avoid, name)
	task.Avoid = slices.Clone(task.Avoid[max(0, len(task.Avoid)-maxAvoidedWorkers):])
}
