package overseer

import (
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// unresolvedTime is how long a submission without a result may still take effect. It covers several elections.
const unresolvedTime = time.Minute

// pruneInterval limits how often all pending submissions are visited, because many may end at a time without a result.
const pruneInterval = time.Second

// pendingSubmissions holds the jobs whose submission has been proposed and has no result yet. A copy of such a request,
// which may arrive at another VM, must not be refused: the caller would be told that the job never runs, and the first
// copy stores it afterwards.
type pendingSubmissions struct {
	mutex sync.Mutex
	byJob map[scheduler.JobID]pendingSubmission
	// prunedAt is when prune last visited all jobs.
	prunedAt time.Time
}

// pendingSubmission is the state of the proposals of one job.
type pendingSubmission struct {
	proposals int
	// unresolvedUntil is set after a proposal whose outcome is unknown.
	unresolvedUntil time.Time
}

// begin records a proposal.
func (pendingSubmissions *pendingSubmissions) begin(job scheduler.JobID) {
	pendingSubmissions.mutex.Lock()
	defer pendingSubmissions.mutex.Unlock()
	if pendingSubmissions.byJob == nil {
		pendingSubmissions.byJob = map[scheduler.JobID]pendingSubmission{}
	}
	pending := pendingSubmissions.byJob[job]
	pending.proposals++
	pendingSubmissions.byJob[job] = pending
}

// end records that a proposal has ended. resolved is false if it may still take effect.
func (pendingSubmissions *pendingSubmissions) end(job scheduler.JobID, resolved bool, now time.Time) {
	pendingSubmissions.mutex.Lock()
	defer pendingSubmissions.mutex.Unlock()
	pending := pendingSubmissions.byJob[job]
	pending.proposals--
	if !resolved {
		pending.unresolvedUntil = now.Add(unresolvedTime)
		pendingSubmissions.prune(now)
	}
	pendingSubmissions.byJob[job] = pending
	if pending.isResolved(now) {
		delete(pendingSubmissions.byJob, job)
	}
}

// contains reports whether a proposal of the job may still take effect.
func (pendingSubmissions *pendingSubmissions) contains(job scheduler.JobID, now time.Time) bool {
	pendingSubmissions.mutex.Lock()
	defer pendingSubmissions.mutex.Unlock()
	pending, found := pendingSubmissions.byJob[job]
	return found && !pending.isResolved(now)
}

// prune removes the jobs whose proposals can no longer take effect, at most once per pruneInterval. The mutex must be
// held.
func (pendingSubmissions *pendingSubmissions) prune(now time.Time) {
	if now.Sub(pendingSubmissions.prunedAt) < pruneInterval {
		return
	}
	pendingSubmissions.prunedAt = now
	for job, pending := range pendingSubmissions.byJob {
		if pending.isResolved(now) {
			delete(pendingSubmissions.byJob, job)
		}
	}
}

func (pendingSubmission pendingSubmission) isResolved(now time.Time) bool {
	return pendingSubmission.proposals <= 0 && !now.Before(pendingSubmission.unresolvedUntil)
}
