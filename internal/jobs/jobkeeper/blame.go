package jobkeeper

import (
	"fmt"
	"maps"
	"slices"

	"github.com/crocusplank/crocusplank/internal/jobs/crashclassifier"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// A task gets pointsStarting for a crash of its worker of which it is a likely cause, and pointsRunning for one of which it
// is a possible cause. Only earlier builds decide by points.
const (
	pointsStarting = 2
	pointsRunning  = 1
	// Leaders of earlier builds record no evidence. They gave a task up after likelyCrashLimit crashes of which it is a likely cause,
	// or after crashLimit crashes of which it is a likely or possible cause.
	likelyCrashLimit = 2
	crashLimit       = 4
)

// blame records the crashes of workers that a task may have caused. The evidence decides whether the task is a suspect and when it is
// given up.
type blame struct {
	points   int
	crashes  int
	evidence crashclassifier.Evidence
}

// countedEvidence returns the evidence of crashes of which only the numbers are known.
func (blame blame) countedEvidence() crashclassifier.Evidence {
	likely := (blame.points - blame.crashes*pointsRunning) / (pointsStarting - pointsRunning)
	share := max(float64(likely)/likelyCrashLimit, float64(blame.crashes)/crashLimit)
	return crashclassifier.Evidence(share * float64(crashclassifier.Conviction))
}

// RunEvidence is the evidence against a task if its attempt ends with the crash of its worker. A later one replaces it.
type RunEvidence struct {
	_        struct{} `cbor:",toarray"`
	Run      scheduler.RunID
	Evidence crashclassifier.Evidence
}

// recordEvidence records the evidence of attempts that have not ended.
func (state *State) recordEvidence(list []RunEvidence) {
	for _, recorded := range list {
		if run := state.openRun(recorded.Run); run != nil {
			run.evidence, run.hasEvidence = recorded.Evidence, true
		}
	}
}

// blameTask adds the points and the evidence for the end of an attempt. Ends that are not crashes add none.
func (state *State) blameTask(task *Task, run *Run, kind scheduler.EndKind) {
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
	if run.hasEvidence {
		added.evidence = max(added.evidence+run.evidence, 0)
	} else {
		added.evidence = max(added.evidence, added.countedEvidence())
	}
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
			if mark.Kind == "" {
				run.evidence, run.hasEvidence = 0, false
			}
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
	if task.blame.evidence < crashclassifier.Conviction || task.finished || job.state.Ended() {
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
	storedEvidence struct {
		_        struct{} `cbor:",toarray"`
		Task     scheduler.StepTaskID
		Evidence crashclassifier.Evidence
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
				stored.storeBlame(task)
			}
		}
	}
}

// storeBlame appends the blame of a task, and the marks and the evidence of its attempts.
func (stored *storedState) storeBlame(task *Task) {
	for _, run := range task.runs {
		if run.mark != "" {
			stored.Marks = append(stored.Marks, Mark{Run: run.ID(), Kind: run.mark})
		}
		if run.hasEvidence {
			configuration := stored.Configuration
			configuration.RunEvidence = append(configuration.RunEvidence, RunEvidence{Run: run.ID(), Evidence: run.evidence})
		}
	}
	if task.blame == (blame{}) {
		return
	}
	stored.Blames = append(stored.Blames, storedBlame{Task: task.ID(), Points: task.blame.points, Crashes: task.blame.crashes})
	stored.Configuration.Evidence = append(stored.Configuration.Evidence, storedEvidence{Task: task.ID(), Evidence: task.blame.evidence})
}

// restoreBlames restores what storeBlames has stored. The jobs and attempts must have been restored before.
func (state *State) restoreBlames(stored *storedState) {
	state.mark(stored.Marks)
	for _, storedBlame := range stored.Blames {
		if task, found := state.task(storedBlame.Task); found {
			counted := blame{points: storedBlame.Points, crashes: storedBlame.Crashes}
			counted.evidence = counted.countedEvidence()
			state.setBlame(task, counted)
		}
	}
	if stored.Configuration != nil {
		state.restoreEvidence(stored.Configuration)
	}
	for _, storedFailure := range stored.Failures {
		if job := state.jobs[storedFailure.Job]; job != nil {
			job.failureReason = storedFailure.Reason
		}
	}
}

// restoreEvidence replaces the evidence that was derived from points.
func (state *State) restoreEvidence(configuration *storedConfiguration) {
	for _, storedEvidence := range configuration.Evidence {
		if task, found := state.task(storedEvidence.Task); found {
			task.blame.evidence = storedEvidence.Evidence
		}
	}
	state.recordEvidence(configuration.RunEvidence)
}
