package jobkeeper

import (
	"fmt"
	"maps"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// A task gets pointsStarting for a crash of its worker of which it is a likely cause, and pointsRunning for one of which it
// is a possible cause. With pointsStarting it is a suspect.
const (
	pointsStarting = 2
	pointsRunning  = 1
	// A task is given up after likelyCrashLimit crashes of which it is a likely cause, or after crashLimit crashes of which
	// it is a likely or possible cause.
	likelyCrashLimit = 2
	crashLimit       = 4
)

// blame records the crashes of workers that a task may have caused.
type blame struct {
	points  int
	crashes int
}

// isConclusive reports whether the task is given up. One crash may have several likely causes, so a single one of them
// counts only towards crashLimit, like a possible cause.
func (blame blame) isConclusive() bool {
	likely := (blame.points - blame.crashes*pointsRunning) / (pointsStarting - pointsRunning)
	return likely >= likelyCrashLimit || blame.crashes >= crashLimit
}

// blameTask adds the points for the end of an attempt. Ends that are not crashes add none.
func (state *State) blameTask(task *Task, kind scheduler.EndKind) {
	added := task.blame
	switch kind {
	case scheduler.EndCrashedStarting:
		added.points += pointsStarting
	case scheduler.EndCrashedRunning:
		added.points += pointsRunning
	default:
		return
	}
	added.crashes++
	state.setBlame(task, added)
}

func (state *State) setBlame(task *Task, next blame) {
	task.blame = next
	if next.points > 0 {
		state.blamed[task] = struct{}{}
	} else {
		delete(state.blamed, task)
	}
}

// VisitBlamed calls visit for every task with blame for crashes of workers, in no particular order.
func (state *State) VisitBlamed(visit func(task *Task)) {
	for task := range state.blamed {
		visit(task)
	}
}

// dropBlames removes the tasks of a job that has ended from the blamed tasks.
func (state *State) dropBlames(job *Job) {
	maps.DeleteFunc(state.blamed, func(task *Task, _ struct{}) bool { return task.step.occurrence.job == job })
}

// Mark records that an attempt will be blamed if it is lost, because its worker closed a connection, so that a leader which
// takes over before the next instance of the worker starts can blame it. An empty Kind clears the mark, once the instance
// has responded.
type Mark struct {
	_    struct{} `cbor:",toarray"`
	Run  scheduler.RunID
	Kind scheduler.EndKind
}

func (state *State) mark(marks []Mark) Status {
	for _, mark := range marks {
		if run := state.openRun(mark.Run); run != nil {
			run.mark = mark.Kind
		}
	}
	return StatusDone
}

// blamedKind returns the kind of an end with regard to the mark of the attempt.
func (run *Run) blamedKind(kind scheduler.EndKind) scheduler.EndKind {
	if run.mark != "" && (kind == scheduler.EndLost || kind == scheduler.EndLeaseExpired) {
		return run.mark
	}
	return kind
}

// clearBlame clears the blame of tasks whose attempts have survived. Attempts that have ended clear nothing: their workers
// may have crashed since.
func (state *State) clearBlame(survivors []scheduler.RunID) Status {
	for _, id := range survivors {
		if run := state.openRun(id); run != nil {
			state.setBlame(run.task, blame{})
		}
	}
	return StatusDone
}

// openRun returns an attempt that has not ended, or nil.
func (state *State) openRun(id scheduler.RunID) *Run {
	task, found := state.task(id.Task)
	if !found {
		return nil
	}
	position := slices.IndexFunc(task.runs, func(run *Run) bool { return run.attempt == id.Attempt })
	if position < 0 {
		return nil
	}
	return task.runs[position]
}

// giveUpIfBlamed fails the job of a task that has reached the limit. The caller makes sure that no other attempt of the
// task is running, which could still finish.
func (state *State) giveUpIfBlamed(task *Task) {
	job := task.step.occurrence.job
	if !task.blame.isConclusive() || task.finished || job.state.Ended() {
		return
	}
	job.failureReason = fmt.Sprintf("task %d of step %d was given up: %d workers crashed while they ran it",
		task.index, task.step.number, task.blame.crashes)
	state.finish(job, scheduler.WorkflowFailed)
}

// storedBlame is the encoding of the blame of a task in a snapshot, storedFailure that of the reason of a failed job.
// Attempts that are marked are stored as Mark.
type (
	storedBlame struct {
		_       struct{} `cbor:",toarray"`
		Task    scheduler.StepTaskID
		Points  int
		Crashes int
	}
	storedFailure struct {
		_      struct{} `cbor:",toarray"`
		Job    scheduler.JobID
		Reason string
	}
)

// storeBlames appends the blame, the marks and the failure reason of a job.
func (stored *storedState) storeBlames(job *Job) {
	if job.failureReason != "" {
		stored.Failures = append(stored.Failures, storedFailure{Job: job.id, Reason: job.failureReason})
	}
	if job.state.Ended() {
		return
	}
	for _, occurrence := range job.sortedOccurrences() {
		for _, step := range occurrence.steps {
			for _, task := range step.tasks {
				for _, run := range task.runs {
					if run.mark != "" {
						stored.Marks = append(stored.Marks, Mark{Run: run.ID(), Kind: run.mark})
					}
				}
				if task.blame != (blame{}) {
					stored.Blames = append(stored.Blames, storedBlame{
						Task: task.ID(), Points: task.blame.points, Crashes: task.blame.crashes,
					})
				}
			}
		}
	}
}

// restoreBlames restores what storeBlames has stored. The jobs and attempts must have been restored before.
func (state *State) restoreBlames(stored *storedState) {
	state.mark(stored.Marks)
	for _, storedBlame := range stored.Blames {
		if task, found := state.task(storedBlame.Task); found {
			state.setBlame(task, blame{points: storedBlame.Points, crashes: storedBlame.Crashes})
		}
	}
	for _, storedFailure := range stored.Failures {
		if job := state.jobs[storedFailure.Job]; job != nil {
			job.failureReason = storedFailure.Reason
		}
	}
}
