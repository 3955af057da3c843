package dispatcher

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// waitReasonInterval is the minimum interval between two recorded wait reasons of the same task.
	waitReasonInterval = 10 * time.Second
	// maxWaitReasons bounds the wait reasons that are proposed in one step.
	maxWaitReasons = 200
	// endedJobRetention is how long ended jobs are retained, so that a resent submission finds its job.
	endedJobRetention = 24 * time.Hour
	// purgeInterval is the interval at which ended jobs are purged.
	purgeInterval = 10 * time.Minute
)

// placement is the state that the goroutine of Run keeps between steps.
type placement struct {
	reservations map[scheduler.TaskID]reservation
	// unresponsiveVictims holds victims that did not stop in time. They are hidden from the placer, so that it
	// chooses other victims. Their resources remain reserved until their leases expire.
	unresponsiveVictims map[scheduler.TaskID]scheduler.AttemptNumber
	// schedulable holds for each worker whether it was last reported to the placer as synced recently and not
	// quarantined.
	schedulable      map[scheduler.WorkerName]bool
	reasonLoggedAt   map[scheduler.TaskID]time.Time
	rescheduleBudget float64
	budgetRefilledAt time.Time
	nextPurge        time.Time
	batchQueue       batchQueue
}

// reservation reserves resources on a worker for a task while its victims are being evicted.
type reservation struct {
	attempt scheduler.AttemptNumber
	worker  scheduler.WorkerName
	victims map[scheduler.TaskID]scheduler.AttemptNumber
	until   time.Time
}

func newPlacement() placement {
	return placement{
		reservations:        map[scheduler.TaskID]reservation{},
		unresponsiveVictims: map[scheduler.TaskID]scheduler.AttemptNumber{},
		schedulable:         map[scheduler.WorkerName]bool{},
		reasonLoggedAt:      map[scheduler.TaskID]time.Time{},
	}
}

// place resolves reservations, passes changes to the placer and proposes the placer's decisions.
func (engine *Engine) place(ctx context.Context) error {
	now := time.Now()
	term := engine.actingTerm()
	engine.refillRescheduleBudget(now)
	operations := engine.resolveReservations(term, now)
	operations = append(operations, engine.evacuateWorkers(term)...)
	engine.updatePlacer(now)
	batch := engine.placement.batchQueue.next(engine.machine, now)
	pending, waitReasons := engine.machine.selectCandidates(now, engine.placement.reservations, batch,
		engine.placement.rescheduleBudget < 1, engine.placement.batchQueue.rotation)
	tasks := make([]scheduler.PendingTask, len(pending))
	for i := range pending {
		tasks[i] = pending[i].task
	}
	assignments, failures := engine.placer.Place(now, tasks)
	operations = append(operations, engine.allAssignmentOperations(term, pending, assignments, now)...)
	for _, failure := range failures {
		waitReasons = append(waitReasons, WaitReason{Task: failure.Task, Reason: failure.Reason})
	}
	operations = append(operations, engine.waitReasonOperations(waitReasons, now)...)
	if now.After(engine.placement.nextPurge) {
		engine.placement.nextPurge = now.Add(purgeInterval)
		operations = append(operations, Operation{
			Term: term, Purge: &Purge{BeforeUnixMilli: now.Add(-endedJobRetention).UnixMilli()},
		})
	}
	return engine.proposeStep(ctx, operations)
}

// proposeStep proposes the operations of a step. After a refusal or an error, the workers concerned are reported to the
// placer again, because it has already accounted for the assignments.
func (engine *Engine) proposeStep(ctx context.Context, operations []Operation) error {
	if len(operations) == 0 {
		return nil
	}
	results, err := engine.batcher.propose(ctx, operations)
	for i, operation := range operations {
		if operation.Assign == nil || err == nil && results[i].Outcome == ResultDone {
			continue
		}
		engine.machine.markChanged(operation.Assign.Worker)
		if err == nil {
			engine.log.Warn().Str("event", "assignmentRefused").Str("task", string(operation.Assign.Task)).
				Str("worker", string(operation.Assign.Worker)).Str("reason", results[i].Reason).Msg("assignment refused")
		}
	}
	return err
}

// resolveReservations assigns the tasks whose victims have stopped. It drops reservations that have timed out, so that
// the placer chooses other victims.
func (engine *Engine) resolveReservations(term scheduler.Term, now time.Time) []Operation {
	var operations []Operation
	for _, id := range slices.Sorted(maps.Keys(engine.placement.reservations)) {
		reservation := engine.placement.reservations[id]
		pending, free := engine.machine.reservationState(id, reservation)
		if pending && !free && now.Before(reservation.until) {
			continue
		}
		delete(engine.placement.reservations, id)
		engine.machine.markChanged(reservation.worker)
		if pending && !free {
			maps.Copy(engine.placement.unresponsiveVictims, reservation.victims)
		}
		if incarnation := engine.incarnation(reservation.worker); pending && free && incarnation != 0 {
			operations = append(operations, Operation{Term: term, Assign: &Assign{
				Task: id, Attempt: reservation.attempt, Worker: reservation.worker, Incarnation: incarnation,
			}})
		}
	}
	return operations
}

// assignmentOperations returns the operation that grants a lease for an assignment. If victims must be evicted first,
// it returns their evictions and creates a reservation.
func (engine *Engine) assignmentOperations(
	term scheduler.Term, assignment scheduler.Assignment, now time.Time,
) []Operation {
	attempts := engine.machine.attempts(append([]scheduler.TaskID{assignment.Task}, assignment.Evict...))
	attempt, ok := attempts[assignment.Task]
	incarnation := engine.incarnation(assignment.Worker)
	if !ok || incarnation == 0 {
		engine.machine.markChanged(assignment.Worker)
		return nil
	}
	if len(assignment.Evict) == 0 {
		return []Operation{{Term: term, Assign: &Assign{
			Task: assignment.Task, Attempt: attempt, Worker: assignment.Worker, Incarnation: incarnation,
		}}}
	}
	victims := map[scheduler.TaskID]scheduler.AttemptNumber{}
	var operations []Operation
	for _, victim := range assignment.Evict {
		victims[victim] = attempts[victim]
		operations = append(operations, Operation{Term: term, Evict: &Evict{
			Task: victim, Attempt: attempts[victim], Reason: fmt.Sprintf("makes room for %s", assignment.Task),
		}})
	}
	engine.placement.reservations[assignment.Task] = reservation{
		attempt: attempt, worker: assignment.Worker, victims: victims, until: now.Add(engine.victimTimeout),
	}
	engine.machine.markChanged(assignment.Worker)
	return operations
}

// evacuateWorkers returns evictions of attempts on drained and removed workers, as far as the reschedule budget allows.
func (engine *Engine) evacuateWorkers(term scheduler.Term) []Operation {
	var operations []Operation
	for _, evict := range engine.machine.evacuations(int(engine.placement.rescheduleBudget)) {
		engine.placement.rescheduleBudget--
		operations = append(operations, Operation{Term: term, Evict: &evict})
	}
	return operations
}

func (engine *Engine) refillRescheduleBudget(now time.Time) {
	placement := &engine.placement
	if placement.budgetRefilledAt.IsZero() {
		placement.rescheduleBudget = engine.rescheduleRate
	} else {
		placement.rescheduleBudget += now.Sub(placement.budgetRefilledAt).Seconds() * engine.rescheduleRate
	}
	placement.rescheduleBudget = min(placement.rescheduleBudget, engine.rescheduleRate)
	placement.budgetRefilledAt = now
}

// updatePlacer passes to the placer the workers whose replicated state, reservations or sync status has changed.
func (engine *Engine) updatePlacer(now time.Time) {
	placement := &engine.placement
	reserved := map[scheduler.WorkerName]scheduler.Resources{}
	for id, reservation := range placement.reservations {
		reserved[reservation.worker] = reserved[reservation.worker].Plus(engine.machine.request(id))
	}
	attempts := engine.machine.attempts(slices.Collect(maps.Keys(placement.unresponsiveVictims)))
	maps.DeleteFunc(placement.unresponsiveVictims, func(id scheduler.TaskID, attempt scheduler.AttemptNumber) bool {
		return attempts[id] != attempt
	})
	for _, state := range engine.changedWorkers(now) {
		state.Reserved = state.Reserved.Plus(reserved[state.Worker.Name])
		engine.placer.Update(state)
	}
}

// changedWorkers returns the states of the workers that have changed, sorted by name. Workers that no longer exist are
// removed from the placer.
func (engine *Engine) changedWorkers(now time.Time) []scheduler.WorkerState {
	changed := engine.machine.takeChanged()
	schedulable := engine.placement.schedulable
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for name, known := range engine.sessions {
		current := now.Sub(known.lastSync) < workerSyncTimeout && !engine.quarantined[name]
		if current != schedulable[name] {
			schedulable[name] = current
			changed[name] = struct{}{}
		}
	}
	throttled := func(lease scheduler.LeaseNumber) bool {
		known, ok := engine.leases[lease]
		return ok && known.throttled
	}
	var states []scheduler.WorkerState
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		state, ok := engine.machine.workerState(name, engine.placement.unresponsiveVictims, throttled)
		if !ok {
			engine.placer.Remove(name)
			continue
		}
		state.Schedulable = state.Schedulable && schedulable[name]
		states = append(states, state)
	}
	return states
}

// allAssignmentOperations returns the operations for the assignments in the order of the candidates, that is by
// priority. The reschedule budget limits the assignments of tasks whose worker was lost. It is charged here and not
// when the candidates are selected, because tasks that currently do not fit anywhere would otherwise exhaust it.
func (engine *Engine) allAssignmentOperations(
	term scheduler.Term, pending []candidate, assignments []scheduler.Assignment, now time.Time,
) []Operation {
	order := make(map[scheduler.TaskID]int, len(pending))
	for i, candidate := range pending {
		order[candidate.task.Task] = i
	}
	slices.SortStableFunc(assignments, func(a, b scheduler.Assignment) int {
		return cmp.Compare(order[a.Task], order[b.Task])
	})
	var operations []Operation
	for _, assignment := range assignments {
		i, ok := order[assignment.Task]
		if ok && pending[i].workerLost {
			if engine.placement.rescheduleBudget < 1 {
				engine.machine.markChanged(assignment.Worker)
				continue
			}
			engine.placement.rescheduleBudget--
		}
		operations = append(operations, engine.assignmentOperations(term, assignment, now)...)
	}
	return operations
}

// waitReasonOperations returns operations that record new wait reasons, for each task at most once per
// waitReasonInterval.
func (engine *Engine) waitReasonOperations(waitReasons []WaitReason, now time.Time) []Operation {
	reasonLoggedAt := engine.placement.reasonLoggedAt
	for id, at := range reasonLoggedAt {
		if now.Sub(at) >= waitReasonInterval {
			delete(reasonLoggedAt, id)
		}
	}
	var operations []Operation
	for _, waitReason := range waitReasons {
		if len(operations) == maxWaitReasons {
			break
		}
		if _, ok := reasonLoggedAt[waitReason.Task]; ok || engine.machine.reason(waitReason.Task) == waitReason.Reason {
			continue
		}
		reasonLoggedAt[waitReason.Task] = now
		operations = append(operations, Operation{WaitReason: &waitReason})
	}
	return operations
}

func (engine *Engine) incarnation(worker scheduler.WorkerName) scheduler.Incarnation {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if session, ok := engine.sessions[worker]; ok {
		return session.incarnation
	}
	return 0
}
