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
	// controlPeriod is the period of the control loop. Workers report usage every 10 s.
	controlPeriod = time.Second
	// checkpointTimeout is how long a task to be moved may take to save a checkpoint. After that it is evicted
	// anyway; a task is also checkpointed when it is stopped.
	checkpointTimeout = 4 * time.Second
	// removalTimeout is the time after which a removal is abandoned if the lease has not ended. A task that does
	// not stop is removed by the expiry of its lease, which takes 24 s in total.
	removalTimeout = time.Minute
	// evictTimeout limits how long proposing an eviction may take.
	evictTimeout = 3 * time.Second
)

// EvictionCause is the reason for an eviction.
type EvictionCause string

// Values of EvictionCause.
const (
	// CauseUrgent means that the task was preempted by urgent work.
	CauseUrgent EvictionCause = "urgent"
	// CauseInterference means that the task interfered with a latency-critical service.
	CauseInterference EvictionCause = "interference"
)

// Engine is the part of the dispatcher's engine that executes the governor's actions.
type Engine interface {
	Throttle(lease scheduler.LeaseNumber, throttled bool)
	SaveCheckpoint(lease scheduler.LeaseNumber)
	Evict(ctx context.Context, task scheduler.TaskID, reason string) error
	Quarantine(worker scheduler.WorkerName, quarantined bool)
}

// removal is a move or stop in progress. No further action is taken on the worker until the lease has ended,
// because the latency of the service cannot recover before that.
type removal struct {
	lease       scheduler.LeaseNumber
	task        scheduler.TaskID
	reason      string
	requestedAt time.Time
	evicted     bool
}

// command executes an action through the engine.
type command func(ctx context.Context, engine Engine)

// Run runs the control loop until ctx is done. Actions are executed only while this VM holds the leader lease.
func (governor *Governor) Run(ctx context.Context, engine Engine) {
	ticker := time.NewTicker(controlPeriod)
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

// commands returns the commands to execute in this iteration of the control loop.
func (governor *Governor) commands(now time.Time) []command {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.syncTerm()
	governor.leaseTable.removeExpired(now)
	commands := governor.quarantineCommands(now)
	for _, name := range slices.Sorted(maps.Keys(governor.leaseTable.states)) {
		if removal := governor.removals[name]; removal != nil {
			commands = append(commands, governor.continueRemoval(now, name, removal)...)
			continue
		}
		for _, action := range governor.controller.Decide(now, governor.leaseTable.states[name]) {
			commands = append(commands, governor.actionCommands(now, action)...)
		}
	}
	return commands
}

// actionCommands returns the commands that execute an action of the controller.
func (governor *Governor) actionCommands(now time.Time, action controller.Action) []command {
	lease, live := governor.leaseTable.live[action.Task]
	if !live {
		return nil
	}
	task := governor.leaseTable.leases[lease].task
	reason := fmt.Sprintf("%s; co-located task %s of kind %s on %s",
		action.Reason, action.Task, task.Spec.Kind, action.Worker)
	governor.log.Info().Str("event", "interferenceAction").Str("action", string(action.Kind)).
		Str("task", string(action.Task)).Str("worker", string(action.Worker)).Str("reason", reason).Msg("interference action")
	switch action.Kind {
	case controller.ActionThrottle, controller.ActionRelease:
		throttled := action.Kind == controller.ActionThrottle
		return []command{func(_ context.Context, engine Engine) { engine.Throttle(lease, throttled) }}
	case controller.ActionMove:
		governor.removals[action.Worker] = &removal{lease: lease, task: action.Task, reason: reason, requestedAt: now}
		return []command{func(_ context.Context, engine Engine) { engine.SaveCheckpoint(lease) }}
	case controller.ActionStop:
		removal := &removal{lease: lease, task: action.Task, reason: reason, requestedAt: now, evicted: true}
		governor.removals[action.Worker] = removal
		return []command{governor.evictCommand(action.Task, lease, CauseInterference, reason)}
	}
	return nil
}

// continueRemoval evicts a task that is being moved, once it has saved a checkpoint or checkpointTimeout has passed.
func (governor *Governor) continueRemoval(now time.Time, worker scheduler.WorkerName, removal *removal) []command {
	entry := governor.leaseTable.leases[removal.lease]
	if entry == nil || now.Sub(removal.requestedAt) >= removalTimeout {
		delete(governor.removals, worker)
		return nil
	}
	saved := entry.task.LastCheckpoint.After(removal.requestedAt)
	if removal.evicted || !saved && now.Sub(removal.requestedAt) < checkpointTimeout {
		return nil
	}
	removal.evicted = true
	return []command{governor.evictCommand(removal.task, removal.lease, CauseInterference, removal.reason)}
}

// completeRemoval completes the removal of a lease that has ended. Only usage reports that start after this time
// show the effect of the removal.
func (governor *Governor) completeRemoval(entry *leaseEntry, now time.Time) {
	if removal := governor.removals[entry.worker]; removal != nil && removal.lease == entry.task.Lease {
		delete(governor.removals, entry.worker)
		governor.controller.ActionCompleted(entry.worker, now)
	}
}

// evictCommand returns a command that evicts a task if the given lease is still live.
func (governor *Governor) evictCommand(
	task scheduler.TaskID, lease scheduler.LeaseNumber, cause EvictionCause, reason string,
) command {
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
	live, ok := governor.leaseTable.live[task]
	return ok && live == lease
}
