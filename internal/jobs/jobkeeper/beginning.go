package jobkeeper

import "github.com/crocusplank/crocusplank/pkg/scheduler"

// A job begins when a start of one of its tasks is certain, and stays begun whatever becomes of that attempt. A placement is
// not a start: its order may be refused, stay unanswered, or go to a worker that no longer exists. The leader records the jobs
// of which workers have accepted or reported attempts. Ends prove starts too, for a leader of an earlier build records nothing.

// begin records that jobs have begun. Jobs that are unknown, have ended or have begun before stay as they are.
func (state *State) begin(jobs []scheduler.JobID) {
	for _, id := range jobs {
		if job, found := state.jobs[id]; found && job.state == scheduler.WorkflowQueued {
			state.changeState(job, scheduler.WorkflowActive)
		}
	}
}

// provesStart reports whether an attempt with this end has certainly started. The other kinds may be those of attempts that
// never reached their worker, or that waited there for the rest of their gang.
func (end *End) provesStart(spec *scheduler.Step) bool {
	switch end.Kind {
	case scheduler.EndFinished, scheduler.EndFailed:
		return true
	case scheduler.EndCrashedStarting:
		return !spec.Gang
	default:
		return end.Checkpoint != ""
	}
}

// correctedState returns the state of a job in a snapshot. beginsWithStart is false if the snapshot was written by a build in
// which a job became active with its first placement. Such a job counts as begun only if something in it proves a start; the
// reports of its workers prove the rest.
func (stored *storedJob) correctedState(beginsWithStart bool) scheduler.WorkflowState {
	if stored.State == scheduler.WorkflowActive && !beginsWithStart && !stored.provesStart() {
		return scheduler.WorkflowQueued
	}
	return stored.State
}

func (stored *storedJob) provesStart() bool {
	if stored.Finished > 0 {
		return true
	}
	for _, occurrence := range stored.Occurrences {
		for _, step := range occurrence.Steps {
			if step.provesStart() {
				return true
			}
		}
	}
	return false
}

func (stored *storedStep) provesStart() bool {
	if stored.Failures > 0 {
		return true
	}
	for position := range stored.Tasks {
		task := &stored.Tasks[position]
		if task.Finished || task.Failures > 0 || task.Checkpoint != "" {
			return true
		}
	}
	return false
}
