package jobkeeper

import "github.com/crocusplank/crocusplank/pkg/scheduler"

// VisitEnded calls visit for every job that has ended and of which no attempt is left, in no particular order.
func (state *State) VisitEnded(visit func(job *Job)) {
	for _, job := range state.jobs {
		if job.isForgettable() {
			visit(job)
		}
	}
}

// isForgettable reports whether the job has ended and no attempt of it is left.
func (job *Job) isForgettable() bool { return job.state.Ended() && job.runs == 0 }

// forget removes jobs that have ended. Later requests find them unknown, and their ids may be submitted again.
func (state *State) forget(ids []scheduler.JobID) Status {
	for _, id := range ids {
		if job := state.jobs[id]; job != nil && job.isForgettable() {
			delete(state.jobs, id)
		}
	}
	return StatusDone
}
