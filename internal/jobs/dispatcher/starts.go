package dispatcher

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// suspectWait is how long a suspect gives way to the starts of other tasks on its worker.
const suspectWait = 10 * time.Second

// heldStarts returns the leases whose start commands must wait, so that a suspect starts alone. Suspects give way to
// other tasks for suspectWait. Latency-critical and urgent tasks wait only for a suspect that has just been started.
func (engine *Engine) heldStarts(
	tasks []*task, running []scheduler.LeaseNumber, now time.Time,
) map[scheduler.LeaseNumber]struct{} {
	starts := engine.classifyStarts(tasks, running, now)
	if len(starts.suspects) == 0 && !starts.alone {
		return nil
	}
	held := slices.Clone(starts.suspects)
	quiet := len(held) > 0 && !starts.unreported && now.Sub(starts.last) >= held[0].quietTime()
	overdue := len(held) > 0 && engine.heldFor(held[0], now) >= suspectWait
	if quiet && !starts.alone && (overdue || len(starts.others) == 0) {
		held = held[1:]
		overdue = true
	}
	for _, task := range starts.others {
		if starts.justStarted || (starts.alone || overdue) && task.priority() == lowestPriority {
			held = append(held, task)
		}
	}
	leases := map[scheduler.LeaseNumber]struct{}{}
	for _, task := range held {
		leases[task.Lease] = struct{}{}
		if state := engine.leases[task.Lease]; state != nil && state.heldSince.IsZero() {
			state.heldSince = now
		}
	}
	return leases
}

// heldFor returns how long the start command of a task has been held back.
func (engine *Engine) heldFor(task *task, now time.Time) time.Duration {
	state := engine.leases[task.Lease]
	if state == nil || state.heldSince.IsZero() {
		return 0
	}
	return now.Sub(state.heldSince)
}

// pendingStarts are the attempts of a worker whose start command has not been sent, and what is known of the others.
type pendingStarts struct {
	suspects, others []*task
	// last is the time of the last start; unreported means that the worker has not reported one yet.
	last       time.Time
	unreported bool
	// alone means that nothing else may start beside a suspect yet, justStarted that a suspect has been started within
	// crashWindow.
	alone, justStarted bool
}

// classifyStarts sorts the tasks of a worker by whether their start commands have been sent. The mutexes of the engine and
// the machine must be held.
func (engine *Engine) classifyStarts(tasks []*task, running []scheduler.LeaseNumber, now time.Time) pendingStarts {
	var starts pendingStarts
	for _, task := range tasks {
		state := engine.leases[task.Lease]
		switch {
		case state != nil && !state.startSentAt.IsZero():
			unreported := task.State == TaskStarting && !isListed(running, task.Lease)
			starts.unreported = starts.unreported || unreported
			if state.startSentAt.After(starts.last) {
				starts.last = state.startSentAt
			}
			if task.suspect() {
				starts.alone = starts.alone || unreported || state.startedWithin(task.aloneTime(), now)
				starts.justStarted = starts.justStarted || unreported || state.startedWithin(crashWindow, now)
			}
		case task.State != TaskStarting || isListed(running, task.Lease):
		case task.suspect():
			starts.suspects = append(starts.suspects, task)
		default:
			starts.others = append(starts.others, task)
		}
	}
	return starts
}

// isListed reports whether a lease is among sorted leases.
func isListed(leases []scheduler.LeaseNumber, lease scheduler.LeaseNumber) bool {
	_, ok := slices.BinarySearch(leases, lease)
	return ok
}
