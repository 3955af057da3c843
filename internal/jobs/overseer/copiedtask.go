package overseer

import (
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// copiedTask is a task with a copy.
type copiedTask struct {
	copy scheduler.AttemptNumber
	// open holds the attempts that have not ended. decided is true once one has finished.
	open    map[scheduler.AttemptNumber]bool
	decided bool
	// abandoned is true if the last decision found no attempt of the task in the replicated state.
	abandoned bool
}

func newCopiedTask(number scheduler.AttemptNumber, runs []*jobkeeper.Run) *copiedTask {
	copied := &copiedTask{copy: number, open: map[scheduler.AttemptNumber]bool{}}
	for _, run := range runs {
		copied.open[run.ID().Attempt] = true
	}
	return copied
}

// track records a copy that this leadership starts.
func (speculation *speculation) track(state *jobkeeper.State, run scheduler.RunID) {
	speculation.copies[run.Task] = newCopiedTask(run.Attempt, attemptsOf(state, run.Task))
}

// adopt records a task with two attempts whose copy may have been started by an earlier leader. The attempt with the
// higher number is the copy.
func (speculation *speculation) adopt(task scheduler.StepTaskID, runs []*jobkeeper.Run) {
	if speculation.copies[task] != nil {
		return
	}
	var last scheduler.AttemptNumber
	for _, run := range runs {
		last = max(last, run.ID().Attempt)
	}
	speculation.copies[task] = newCopiedTask(last, runs)
}

// prune removes tasks that had no attempt in two successive decisions. One is not enough, because an end is applied to
// the replicated state shortly before recordCopyEnd is called.
func (speculation *speculation) prune(state *jobkeeper.State) {
	for id, copied := range speculation.copies {
		abandoned := len(attemptsOf(state, id)) == 0
		if abandoned && copied.abandoned {
			delete(speculation.copies, id)
		}
		copied.abandoned = abandoned
	}
}

// attemptsOf returns the attempts of a task that have not ended.
func attemptsOf(state *jobkeeper.State, id scheduler.StepTaskID) []*jobkeeper.Run {
	job, found := state.Job(id.Job)
	if !found {
		return nil
	}
	step := job.Step(id.Occurrence, id.Step)
	if step == nil || id.Index >= len(step.Tasks()) {
		return nil
	}
	return step.Tasks()[id.Index].Runs()
}
