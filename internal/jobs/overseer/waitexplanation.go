package overseer

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/jobs/crashclassifier"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/waitexplainer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var (
	// ErrNotFound means that a job or a task does not exist.
	ErrNotFound = errs.Class("not found")
	// ErrEnded means that a job or a task has ended and waits for nothing.
	ErrEnded = errs.Class("ended")
)

// WaitExplanation tells why the tasks of an accepted job wait, or one of them. It is a wire type.
type WaitExplanation struct {
	// Term is the term of the leader that answered, and At its wall-clock time.
	Term scheduler.Term `json:"term" cbor:"1,keyasint"`
	At   time.Time      `json:"at" cbor:"2,keyasint"`
	// LeadingFor is how long the leader has been leading. StepWait.Waited cannot be longer.
	LeadingFor time.Duration           `json:"leadingFor" cbor:"3,keyasint"`
	Job        scheduler.JobID         `json:"job" cbor:"4,keyasint"`
	Queue      scheduler.QueueName     `json:"queue" cbor:"5,keyasint"`
	Pool       scheduler.PoolName      `json:"pool" cbor:"6,keyasint"`
	State      scheduler.WorkflowState `json:"state" cbor:"7,keyasint"`
	// Accepted is when the job was accepted, by the wall clock of the leader at that time.
	Accepted time.Time `json:"accepted" cbor:"8,keyasint"`
	// Attempts is the number of attempts of the job that have not ended.
	Attempts int `json:"attempts" cbor:"9,keyasint"`
	// NextOccurrence is when the next occurrence of a repeated job is due, nil if none is left.
	NextOccurrence *time.Time `json:"nextOccurrence,omitempty" cbor:"10,keyasint,omitempty"`
	// Task is nil if the whole job was asked for.
	Task *TaskExplanation `json:"task,omitempty" cbor:"11,keyasint,omitempty"`
	// Waits holds the steps with waiting tasks, or that of Task if it waits. MoreWaits is the number of those left out.
	Waits     []StepWait `json:"waits,omitempty" cbor:"12,keyasint,omitempty"`
	MoreWaits int        `json:"moreWaits,omitempty" cbor:"13,keyasint,omitempty"`
}

// StepWait tells why tasks of a step wait. Tasks under which workers have crashed are kept apart from the others of their
// step. It is a wire type.
type StepWait struct {
	// First is the first of the tasks, and Tasks their number.
	First scheduler.StepTaskID `json:"first" cbor:"1,keyasint"`
	Tasks int                  `json:"tasks" cbor:"2,keyasint"`
	// Gang is true if the tasks must start together.
	Gang bool `json:"gang,omitempty" cbor:"3,keyasint,omitempty"`
	// Suspect is true if workers have crashed under the tasks.
	Suspect bool `json:"suspect,omitempty" cbor:"4,keyasint,omitempty"`
	// Waited is for how long the step has had waiting tasks without a break, as known to this leader.
	Waited time.Duration `json:"waited" cbor:"5,keyasint"`
	// TasksAhead is the number of waiting tasks of the pool that are placed first.
	TasksAhead int `json:"tasksAhead" cbor:"6,keyasint"`
	// Placed is the number of the tasks that a planning cycle would place now.
	Placed  int                   `json:"placed" cbor:"7,keyasint"`
	Workers waitexplainer.Summary `json:"workers" cbor:"8,keyasint"`
}

// TaskState is whether a task waits. It is a wire type.
type TaskState string

// Values of TaskState.
const (
	TaskWaiting TaskState = "waiting"
	// TaskPlaced means that an attempt of the task has been placed and has not ended.
	TaskPlaced TaskState = "placed"
	// TaskBlocked means that steps on which the task depends have not finished.
	TaskBlocked TaskState = "blocked"
	// TaskGangPlaced means that attempts of other members of the task's gang have to end first.
	TaskGangPlaced TaskState = "gangPlaced"
)

// TaskExplanation is the state of a task. It is a wire type.
type TaskExplanation struct {
	ID    scheduler.StepTaskID `json:"id" cbor:"1,keyasint"`
	State TaskState            `json:"state" cbor:"2,keyasint"`
	// LastAttempt is 0 if there was none.
	LastAttempt scheduler.AttemptNumber `json:"lastAttempt" cbor:"3,keyasint"`
	// Blame is the number of points for crashes of workers.
	Blame int `json:"blame,omitempty" cbor:"4,keyasint,omitempty"`
	// Evidence is that of these crashes against the task, and Conviction that with which it is given up.
	Evidence   int `json:"evidence,omitempty" cbor:"7,keyasint,omitempty"`
	Conviction int `json:"conviction,omitempty" cbor:"8,keyasint,omitempty"`
	// WaitsFor holds the steps that have to finish first.
	WaitsFor []int `json:"waitsFor,omitempty" cbor:"5,keyasint,omitempty"`
	// Attempts holds the attempts that have not ended: those of the task, or of other members of its gang.
	Attempts []AttemptExplanation `json:"attempts,omitempty" cbor:"6,keyasint,omitempty"`
}

// AttemptExplanation is an attempt that has not ended. It is a wire type.
type AttemptExplanation struct {
	Run    scheduler.RunID      `json:"run" cbor:"1,keyasint"`
	Worker scheduler.WorkerName `json:"worker" cbor:"2,keyasint"`
	// State is what the leader knows about the orders for the attempt, such as "starting".
	State string `json:"state" cbor:"3,keyasint"`
	// Unavailable is why the worker takes no new work, empty if it does.
	Unavailable UnavailableReason `json:"unavailable,omitempty" cbor:"4,keyasint,omitempty"`
	// LeaseEndsAfter is the time until a worker that does not respond has lost its lease for certain. The task can be placed
	// again then.
	LeaseEndsAfter time.Duration `json:"leaseEndsAfter,omitempty" cbor:"5,keyasint,omitempty"`
}

// Limits of an explanation.
const (
	maxExplainedWaits    = 8
	maxExplainedAttempts = 8
)

// ExplainWait returns why the tasks of a job wait, or one of them if task is not nil. It takes the decisions of a planning
// cycle on a copy of the workers and changes nothing. It returns an error of class ErrNotFound, ErrEnded, or ErrNotRun if
// this VM is not the leader.
func (overseer *Overseer) ExplainWait(id scheduler.JobID, task *scheduler.StepTaskID) (WaitExplanation, error) {
	leadership, err := overseer.activeLeadership()
	if err != nil {
		return WaitExplanation{}, err
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	explanation := WaitExplanation{
		Term: leadership.term, At: time.Now(), LeadingFor: leadership.now() - leadership.startedAt, Job: id,
	}
	overseer.keeper.View(func(state *jobkeeper.State) { err = leadership.explainWait(&explanation, state, task) })
	// A VM that has lost its lease may not know of a job, or of its end.
	if !overseer.IsLeader() {
		return WaitExplanation{}, scheduler.ErrNotRun.New("this VM lost the leadership during the request")
	}
	return explanation, err
}

// explainWait completes an explanation. The mutex must be held.
func (leadership *leadership) explainWait(
	explanation *WaitExplanation, state *jobkeeper.State, task *scheduler.StepTaskID,
) error {
	job, found := state.Job(explanation.Job)
	switch {
	case !found:
		return ErrNotFound.New("there is no job %s; jobs that have ended are forgotten after some time", explanation.Job)
	case job.State().Ended():
		return ErrEnded.New("job %s is %s%s", explanation.Job, job.State(), failureSuffix(job))
	}
	explanation.Queue, explanation.Pool = job.Queue().Name, job.Queue().Pool
	explanation.State, explanation.Accepted, explanation.Attempts = job.State(), job.Accepted(), job.Running()
	if _, due, ok := job.NextDue(); ok {
		explanation.NextOccurrence = &due
	}
	isExplained := func(waiting *waitingStep) bool { return waiting.step.Job() == job }
	if task != nil {
		found, err := findTask(job, *task)
		if err != nil {
			return err
		}
		explanation.Task = leadership.explainTask(found)
		if explanation.Task.State != TaskWaiting {
			return nil
		}
		isExplained = func(waiting *waitingStep) bool { return slices.Contains(waiting.tasks, found) }
	}
	leadership.explainWaits(explanation, state, isExplained)
	return nil
}

func failureSuffix(job *jobkeeper.Job) string {
	if reason := job.FailureReason(); reason != "" {
		return ": " + reason
	}
	return ""
}

// findTask returns a task of a job that has not ended. The error has the class ErrNotFound or ErrEnded.
func findTask(job *jobkeeper.Job, id scheduler.StepTaskID) (*jobkeeper.Task, error) {
	steps := job.Workflow().Steps
	if id.Step < 0 || id.Step >= len(steps) || id.Index < 0 || id.Index >= steps[id.Step].Count {
		return nil, ErrNotFound.New("job %s has no task %s", job.ID(), id)
	}
	step := job.Step(id.Occurrence, id.Step)
	if step == nil {
		return nil, missingOccurrence(job, id)
	}
	task := step.Tasks()[id.Index]
	if task.Finished() {
		return nil, ErrEnded.New("task %s has finished", id)
	}
	return task, nil
}

// missingOccurrence returns the error for a task of an occurrence that is not in the state: it has finished, or has not
// started.
func missingOccurrence(job *jobkeeper.Job, id scheduler.StepTaskID) error {
	times := 1
	if repeat := job.Workflow().Repeat; repeat != nil {
		times = repeat.Times
	}
	if id.Occurrence < 0 || id.Occurrence >= times {
		return ErrNotFound.New("job %s has no task %s", job.ID(), id)
	}
	if next, due, ok := job.NextDue(); ok && id.Occurrence >= next {
		return ErrNotFound.New("task %s does not exist yet: the next occurrence, %d, is due at %s", id, next,
			due.Format(time.RFC3339))
	}
	return ErrEnded.New("task %s has finished", id)
}

// explainTask returns the state of a task. The mutex must be held.
func (leadership *leadership) explainTask(task *jobkeeper.Task) *TaskExplanation {
	explained := &TaskExplanation{
		ID: task.ID(), State: TaskWaiting, LastAttempt: task.LastAttempt(), Blame: task.Blame(),
	}
	if evidence := task.Evidence(); evidence > 0 {
		explained.Evidence, explained.Conviction = int(evidence), int(crashclassifier.Conviction)
	}
	runs := task.Runs()
	switch {
	case len(runs) > 0:
		explained.State = TaskPlaced
	case !task.IsRunnable():
		explained.State = TaskBlocked
		for _, number := range task.Step().Spec().DependsOn {
			if !task.Step().Siblings()[number].Finished() {
				explained.WaitsFor = append(explained.WaitsFor, number)
			}
		}
	case task.Step().Spec().Gang:
		for _, member := range task.Step().Tasks() {
			runs = append(runs, member.Runs()...)
		}
		if len(runs) > 0 {
			explained.State = TaskGangPlaced
		}
	}
	for _, run := range runs[:min(len(runs), maxExplainedAttempts)] {
		explained.Attempts = append(explained.Attempts, leadership.explainAttempt(run))
	}
	return explained
}

// explainAttempt returns the state of an attempt that has not ended. The mutex must be held.
func (leadership *leadership) explainAttempt(run *jobkeeper.Run) AttemptExplanation {
	explained := AttemptExplanation{
		Run: run.ID(), Worker: run.Worker(), State: string(attemptUnknown), Unavailable: UnavailableSilent,
	}
	instance := leadership.instances[run.Worker()]
	if instance == nil {
		return explained
	}
	now := leadership.now()
	if attempt := instance.attempts[run.ID()]; attempt != nil {
		explained.State = string(attempt.state)
	}
	explained.Unavailable = leadership.unavailableReason(instance, now, leadership.heartbeatTimeout(), time.Now())
	if explained.Unavailable == UnavailableSilent {
		explained.LeaseEndsAfter = max(instance.leaseExpiry-now, 0)
	}
	return explained
}
