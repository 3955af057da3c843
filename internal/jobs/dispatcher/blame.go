package dispatcher

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// A task is blamed for the crashes of workers that ran it. At blameLimit points it is given up: after two crashes at
// its start, or after four crashes later. The last point needs a crash that no other attempt can have caused.
const (
	blameStarting = 2
	blameRunning  = 1
	blameLimit    = 4
	// suspectBlame is the blame from which a task starts apart from others, isolatedBlame that from which it also runs
	// apart from others until it has survived.
	suspectBlame  = 2
	isolatedBlame = blameLimit - 1
)

const (
	// crashWindow is the time after its start command in which an attempt is the likely cause of a crash.
	crashWindow = time.Second
	// survivalTime is how long an attempt must run until its task is no longer blamed for earlier crashes.
	survivalTime = 30 * time.Second
	// crashSilence is the longest time between the syncs of two incarnations of a worker that counts as a crash. A
	// longer silence is a loss of power or of the network.
	crashSilence = 10 * time.Second
	// quietTime is how long no other attempt may have started on a worker before a suspect does, so that a suspect is
	// not blamed for the crash by a task that started just before it.
	quietTime = 5 * time.Second
	// maxEndDelay bounds the time from the end of an attempt to its record, by the end of its lease and a change of the
	// leader.
	maxEndDelay = 30 * time.Second
)

// crashPoints returns the blame for the outcome of an attempt.
func crashPoints(outcome scheduler.AttemptOutcome) uint32 {
	switch outcome {
	case scheduler.AttemptCrashedStarting:
		return blameStarting
	case scheduler.AttemptCrashedRunning:
		return blameRunning
	}
	return 0
}

// survived reports whether the current attempt had run for survivalTime at a time in Unix milliseconds.
func (task *task) survived(at int64) bool {
	return task.State == TaskRunning && at-task.Since >= survivalTime.Milliseconds()
}

// survivedUntil reports whether the attempt had survived when it ended. An end that the worker did not report was
// recorded later than it happened.
func (task *task) survivedUntil(end *End, at int64) bool {
	switch end.Outcome {
	case scheduler.AttemptFinished, scheduler.AttemptFailed, scheduler.AttemptStopped:
		return task.survived(at)
	case scheduler.AttemptExpired, scheduler.AttemptLost:
		return task.survived(at - maxEndDelay.Milliseconds())
	}
	return false
}

// suspect reports whether the task must start apart from others.
func (task *task) suspect() bool { return task.Blame >= suspectBlame }

// quietTime returns how long no other attempt may have started on a worker before the task does.
func (task *task) quietTime() time.Duration {
	if task.Blame >= isolatedBlame {
		return survivalTime
	}
	return quietTime
}

// aloneTime returns how long no other attempt may start on a worker after the task has.
func (task *task) aloneTime() time.Duration {
	if task.Blame >= isolatedBlame {
		return survivalTime
	}
	return crashWindow
}

// blame adds the blame for the end of the current attempt.
func (task *task) blame(end *End, at int64) {
	if task.survivedUntil(end, at) {
		task.Blame = 0
	}
	points := crashPoints(end.Outcome)
	if points > 0 && !end.SoleCause {
		points = min(points, isolatedBlame-min(isolatedBlame, task.Blame))
	}
	task.Blame += points
}

// giveUp fails a task under which workers crashed.
func (machine *Machine) giveUp(task *task, reason string, at int64) {
	task.transition(TaskFailed, at, "given up because workers crashed under it, the last time: "+reason)
	if task.job.Reason == "" {
		task.job.Reason = fmt.Sprintf("task %s was %s", task.ID, task.Reason)
	}
}

// crashBlame is the result of a crash for an attempt that may have caused it.
type crashBlame struct {
	outcome scheduler.AttemptOutcome
	// soleCause means that no other attempt can have caused the crash.
	soleCause bool
}

// crashOutcomes returns the outcomes of the attempts that are blamed for a crash of the worker. It returns nothing if the
// worker was silent for longer than a restart takes, if it was drained, or if its earlier incarnation has not synced
// with this leader.
func (engine *Engine) crashOutcomes(request *scheduler.SyncRequest) map[scheduler.LeaseNumber]crashBlame {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	session := engine.sessions[request.Worker]
	if session == nil || session.previous == 0 || session.returned.Sub(session.previousSync) > crashSilence {
		return nil
	}
	engine.machine.mutex.RLock()
	defer engine.machine.mutex.RUnlock()
	worker, ok := engine.machine.workers[request.Worker]
	if !ok || worker.Drained || worker.Removed {
		return nil
	}
	return engine.blamedAttempts(worker.tasks, session)
}

// blamedAttempts blames attempts that had just been started, and at half of their points those that have not survived
// yet. A suspect that had just been started is blamed alone, because it was started apart from others, unless another
// suspect runs there. If none had just been started, only suspects are blamed, if there are any.
func (engine *Engine) blamedAttempts(
	tasks []*task, session *workerSession,
) map[scheduler.LeaseNumber]crashBlame {
	crashedAt := session.previousSync.UnixMilli()
	var freshSuspects, fresh, suspects, others []*task
	for _, task := range tasks {
		state := engine.leases[task.Lease]
		switch {
		case task.Incarnation != session.previous || state == nil || task.survived(crashedAt):
		case state.startedWithin(crashWindow, session.previousSync) && task.suspect():
			freshSuspects = append(freshSuspects, task)
		case state.startedWithin(crashWindow, session.previousSync):
			fresh = append(fresh, task)
		case task.State == TaskStarting && state.startSentAt.IsZero():
		case task.Blame > 0:
			suspects = append(suspects, task)
		default:
			others = append(others, task)
		}
	}
	starting, running := fresh, slices.Concat(suspects, others)
	switch {
	case len(freshSuspects) > 0 && len(suspects) > 0:
		starting, running = nil, slices.Concat(freshSuspects, suspects)
	case len(freshSuspects) > 0:
		starting, running = freshSuspects, nil
	case len(fresh) == 0 && len(suspects) > 0:
		running = suspects
	}
	blamed := map[scheduler.LeaseNumber]crashBlame{}
	soleCause := len(starting)+len(running) == 1
	for _, task := range starting {
		blamed[task.Lease] = crashBlame{scheduler.AttemptCrashedStarting, soleCause}
	}
	for _, task := range running {
		blamed[task.Lease] = crashBlame{scheduler.AttemptCrashedRunning, soleCause}
	}
	return blamed
}

// startedWithin reports whether the start command was first sent less than window before a time.
func (leaseState *leaseState) startedWithin(window time.Duration, before time.Time) bool {
	return !leaseState.startSentAt.IsZero() && before.Sub(leaseState.startSentAt) < window
}
