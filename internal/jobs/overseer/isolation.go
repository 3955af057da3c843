package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/crashclassifier"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// isolationLogInterval is how often waiting suspects are logged.
const isolationLogInterval = time.Second

// openTime is how long a worker is open to other tasks between the starts of two suspects that share it.
const openTime = crashclassifier.StartWindow

// isSuspect reports whether a task must start apart from others, see packer.Isolation. A task that was blamed once together
// with everything else on a worker need not.
func isSuspect(task *jobkeeper.Task) bool { return task.IsSuspect() }

// isSuspectAttempt reports whether the task of an attempt is suspected of crashing workers. The mutex must be held.
func (leadership *leadership) isSuspectAttempt(id scheduler.RunID, attempt *attempt) bool {
	suspected := attempt.suspect
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		job, found := state.Job(id.Task.Job)
		if !found {
			return
		}
		if step := job.Step(id.Task.Occurrence, id.Task.Step); step != nil && isSuspect(step.Tasks()[id.Task.Index]) {
			suspected = true
		}
	})
	return suspected
}

// addTo adds an attempt to the isolation of its worker.
func (attempt *attempt) addTo(isolation *packer.Isolation, now time.Duration) {
	if attempt.recordingEnd || attempt.state == attemptStopped {
		return
	}
	isolation.Attempts++
	acceptedAt := attempt.times.acceptedAt
	isSuspect := attempt.suspect && (acceptedAt == 0 || now-acceptedAt < crashclassifier.SurvivalTime)
	recentFor := crashclassifier.StartWindow
	if acceptedAt > 0 {
		recentFor -= now - acceptedAt
	}
	if isSuspect {
		isolation.Suspects++
		isolation.ClosedFor = max(isolation.ClosedFor, recentFor+openTime)
	}
	if recentFor <= 0 {
		return
	}
	isolation.Starts++
	isolation.RecentFor = max(isolation.RecentFor, recentFor)
	if isSuspect {
		isolation.SuspectStarts++
	}
}

// hasRecentSuspect reports whether the start of a suspect on the worker is recent or still to come. Members of the gang to
// which the given attempt belongs do not count.
func (worker *worker) hasRecentSuspect(id scheduler.RunID, now time.Duration) bool {
	var isolation packer.Isolation
	for other, attempt := range worker.attempts {
		if !attempt.spec.Gang || packer.StepOf(other.Task) != packer.StepOf(id.Task) {
			attempt.addTo(&isolation, now)
		}
	}
	return isolation.SuspectStarts > 0
}

// splitSuspects returns the waiting tasks of a step, with the suspects among them apart from the others. A gang is not
// split: if one of its members is a suspect, all of them start apart from other tasks.
func (waiting *waitingStep) splitSuspects() []*waitingStep {
	var suspects, others []*jobkeeper.Task
	for _, task := range waiting.tasks {
		if isSuspect(task) {
			suspects = append(suspects, task)
		} else {
			others = append(others, task)
		}
	}
	if len(suspects) == 0 {
		return []*waitingStep{waiting}
	}
	if len(others) == 0 || waiting.step.Spec().Gang {
		waiting.suspect = true
		return []*waitingStep{waiting}
	}
	suspected := *waiting
	suspected.suspect, suspected.tasks, waiting.tasks = true, suspects, others
	return []*waitingStep{waiting, &suspected}
}

// updateSuspectWaits sets since when the waiting suspects have been waiting. The wait of a task ends only with its
// placement or with the term. The mutex must be held.
func (leadership *leadership) updateSuspectWaits(steps []*waitingStep) {
	now := leadership.now()
	var next map[scheduler.StepTaskID]time.Duration
	for _, waiting := range steps {
		if !waiting.suspect {
			continue
		}
		if next == nil {
			next = map[scheduler.StepTaskID]time.Duration{}
		}
		for _, task := range waiting.tasks {
			since, found := leadership.suspectsSince[task.ID()]
			if !found {
				since = now
			}
			next[task.ID()] = since
		}
	}
	leadership.suspectsSince = next
}

// suspectsWaited returns how long the first of the waiting suspects of a step has been waiting, as of the last planning
// cycle. The mutex must be held.
func (leadership *leadership) suspectsWaited(waiting *waitingStep) time.Duration {
	if !waiting.suspect {
		return 0
	}
	now, longest := leadership.now(), time.Duration(0)
	for _, task := range waiting.tasks {
		if task.Evidence() >= crashclassifier.Isolation {
			return 0 // It never shares a worker with other suspects, however long it waits.
		}
		if since, found := leadership.suspectsSince[task.ID()]; found {
			longest = max(longest, now-since)
		}
	}
	return longest
}

// isolationLog limits the log lines about waiting suspects. Its counts are sums over the pools of a planning cycle.
type isolationLog struct {
	loggedAt time.Duration
	// waiting is the number of suspects that the current planning cycle has left unplaced, kept the number of workers that
	// it keeps free of other starts for them.
	waiting int
	kept    int
}

// recordIsolation records the suspects of a pool that a decision has left waiting. The mutex must be held.
func (leadership *leadership) recordIsolation(
	workers []*packer.Worker, groups []packer.Group, assignments []packer.Assignment,
) {
	for position := range groups {
		if groups[position].Suspect {
			leadership.isolationLog.waiting += len(groups[position].Tasks)
		}
	}
	for _, assignment := range assignments {
		if assignment.Suspect {
			leadership.isolationLog.waiting--
		}
	}
	leadership.isolationLog.kept += packer.KeptForSuspects(workers)
}

// logIsolation logs the suspects that the planning cycle has left waiting, and starts over with the next cycle. The mutex
// must be held.
func (leadership *leadership) logIsolation() {
	isolationLog := &leadership.isolationLog
	metrics := leadership.overseer.metrics
	metrics.suspectsWaiting.Update(float64(isolationLog.waiting))
	metrics.workersKept.Update(float64(isolationLog.kept))
	now := leadership.now()
	if isolationLog.waiting > 0 && now >= isolationLog.loggedAt+isolationLogInterval {
		isolationLog.loggedAt = now
		leadership.logger.Info().Str("event", "suspectsWaiting").Int("tasks", isolationLog.waiting).
			Int("keptWorkers", isolationLog.kept).
			Msg("tasks under which workers have crashed wait for workers on which nothing else is starting")
	}
	isolationLog.waiting, isolationLog.kept = 0, 0
}

// SuspectExplanation tells why a task under which workers have crashed is waiting. It is a wire type.
type SuspectExplanation struct {
	_    struct{}             `cbor:",toarray"`
	Task scheduler.StepTaskID `json:"task"`
	// Blame is the number of points for the crashes.
	Blame int `json:"blame"`
	// Accepting is the number of workers that accept the task. Excluded counts the others by reason.
	Accepting int           `json:"accepting"`
	Excluded  []WorkerCount `json:"excluded"`
}

// maxExplainedSuspects limits the number of waiting suspects in an explanation.
const maxExplainedSuspects = 10

// explainSuspects returns why the suspects of a pool wait, with the workers as they are before other tasks are placed.
func (leadership *leadership) explainSuspects(state *jobkeeper.State, pool scheduler.PoolName) []SuspectExplanation {
	var explained []SuspectExplanation
	groups := leadership.waitingGroups(state, func(waiting *waitingStep) bool {
		return waiting.suspect && waiting.step.Job().Queue().Pool == pool
	})
	if len(groups) == 0 {
		return nil
	}
	workers := leadership.workersWithHolds(state, pool)
	for position := range groups {
		candidates := packer.Examine(workers, &groups[position])
		for _, id := range groups[position].Tasks {
			if len(explained) == maxExplainedSuspects {
				return explained
			}
			job, _ := state.Job(id.Job)
			explained = append(explained, SuspectExplanation{
				Task: id, Blame: job.Step(id.Occurrence, id.Step).Tasks()[id.Index].Blame(),
				Accepting: candidates.Accepting(), Excluded: workerCounts(candidates.Excluded()),
			})
		}
	}
	return explained
}
