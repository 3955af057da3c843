package governor

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/placement/controller"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// period is how often the governor looks for actions. Reports come every 10 s.
	period = time.Second
	// saveTime is how long a task that is moved may take to save its work before it is evicted
	// all the same; the stop saves again.
	saveTime = 4 * time.Second
	// removalTime is when a removal that has not ended the lease is given up. A victim that does
	// not stop is left to its lease expiry, which takes 24 s in all.
	removalTime = time.Minute
	// evictTimeout bounds the proposal of an eviction.
	evictTimeout = 3 * time.Second
)

// EvictionCause tells why a task was evicted.
type EvictionCause string

// Values of Cause.
const (
	// CauseUrgent makes room for urgent work.
	CauseUrgent EvictionCause = "urgent"
	// CauseInterference protects a latency-critical service.
	CauseInterference EvictionCause = "interference"
)

// Engine is what the governor asks of the dispatcher's engine.
type Engine interface {
	Throttle(lease scheduler.LeaseNumber, throttled bool)
	SaveCheckpoint(lease scheduler.LeaseNumber)
	Evict(ctx context.Context, task scheduler.TaskID, reason string) error
	Quarantine(worker scheduler.WorkerName, quarantined bool)
}

// removal is a move or stop under way. No further action is taken on its worker until the lease has
// ended, because the service cannot recover earlier.
type removal struct {
	lease   scheduler.LeaseNumber
	task    scheduler.TaskID
	reason  string
	asked   time.Time
	evicted bool
}

// command is an action that the engine carries out.
type command func(ctx context.Context, engine Engine)

// Run has the engine carry out the actions until ctx ends, whenever this VM holds the leader lease.
func (governor *Governor) Run(ctx context.Context, engine Engine) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !governor.group.HoldsLeaderLease() {
			continue
		}
		for _, command := range governor.commands(time.Now()) {
			if governor.group.HoldsLeaderLease() {
				command(ctx, engine)
			}
		}
	}
}

// commands decides what to do now.
func (governor *Governor) commands(now time.Time) []command {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.follow()
	governor.ledger.sweep(now)
	commands := governor.quarantines(now)
	for _, name := range slices.Sorted(maps.Keys(governor.ledger.states)) {
		if removal := governor.removals[name]; removal != nil {
			commands = append(commands, governor.proceed(now, name, removal)...)
			continue
		}
		for _, action := range governor.controller.Decide(now, governor.ledger.states[name]) {
			commands = append(commands, governor.act(now, action)...)
		}
	}
	return commands
}

// act turns an action of the controller into a command.
func (governor *Governor) act(now time.Time, action controller.Action) []command {
	lease, live := governor.ledger.live[action.Task]
	if !live {
		return nil
	}
	task := governor.ledger.leases[lease].task
	reason := fmt.Sprintf("%s; neighbour %s of kind %s on %s", action.Reason, action.Task, task.Spec.Kind, action.Worker)
	governor.log.Info().Str("event", "interferenceAction").Str("action", string(action.Kind)).Str("task", string(action.Task)).
		Str("worker", string(action.Worker)).Str("reason", reason).Msg("interference action")
	switch action.Kind {
	case controller.ActionThrottle, controller.ActionRelease:
		throttled := action.Kind == controller.ActionThrottle
		return []command{func(_ context.Context, engine Engine) { engine.Throttle(lease, throttled) }}
	case controller.ActionMove:
		governor.removals[action.Worker] = &removal{lease: lease, task: action.Task, reason: reason, asked: now}
		return []command{func(_ context.Context, engine Engine) { engine.SaveCheckpoint(lease) }}
	case controller.ActionStop:
		removal := &removal{lease: lease, task: action.Task, reason: reason, asked: now, evicted: true}
		governor.removals[action.Worker] = removal
		return []command{governor.evict(action.Task, lease, CauseInterference, reason)}
	}
	return nil
}

// proceed evicts a task that is moved once it has saved its work or has had the time for it.
func (governor *Governor) proceed(now time.Time, worker scheduler.WorkerName, removal *removal) []command {
	known := governor.ledger.leases[removal.lease]
	if known == nil || now.Sub(removal.asked) >= removalTime {
		delete(governor.removals, worker)
		return nil
	}
	saved := known.task.LastCheckpoint.After(removal.asked)
	if removal.evicted || !saved && now.Sub(removal.asked) < saveTime {
		return nil
	}
	removal.evicted = true
	return []command{governor.evict(removal.task, removal.lease, CauseInterference, removal.reason)}
}

// removed ends the removal of a lease. Only reports from after it show its effect.
func (governor *Governor) removed(known *entry, now time.Time) {
	if removal := governor.removals[known.worker]; removal != nil && removal.lease == known.task.Lease {
		delete(governor.removals, known.worker)
		governor.controller.ActionCompleted(known.worker, now)
	}
}

// evict returns the command that evicts the attempt of a lease.
func (governor *Governor) evict(task scheduler.TaskID, lease scheduler.LeaseNumber, cause EvictionCause, reason string) command {
	return func(ctx context.Context, engine Engine) {
		if !governor.isLive(task, lease) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, evictTimeout)
		defer cancel()
		err := engine.Evict(ctx, task, reason)
		governor.mutex.Lock()
		defer governor.mutex.Unlock()
		if err != nil {
			governor.log.Warn().Str("event", "evictionFailed").Err(err).Str("task", string(task)).Msg("eviction failed")
			return
		}
		governor.evictions[cause]++
	}
}

func (governor *Governor) isLive(task scheduler.TaskID, lease scheduler.LeaseNumber) bool {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	live, ok := governor.ledger.live[task]
	return ok && live == lease
}
