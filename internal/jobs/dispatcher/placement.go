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
	// reasonPeriod limits how often the reason of a waiting task is logged.
	reasonPeriod = 10 * time.Second
	// maxReasons bounds the reasons that one step logs.
	maxReasons = 200
	// keptEnded is how long ended jobs are kept, so that resends find them.
	keptEnded = 24 * time.Hour
	// purgePeriod is how often ended jobs are looked at.
	purgePeriod = 10 * time.Minute
)

// placement is what the placing goroutine remembers between steps.
type placement struct {
	claims map[scheduler.TaskID]claim
	// stuck holds victims that did not stop in time. The placer is not shown them, so that it
	// chooses others; their room stays reserved until their leases expire.
	stuck map[scheduler.TaskID]scheduler.AttemptNumber
	// usable holds what the placer was last told of each worker.
	usable    map[scheduler.WorkerName]bool
	reasoned  map[scheduler.TaskID]time.Time
	budget    float64
	budgeted  time.Time
	nextPurge time.Time
	queues    queues
}

// claim keeps room on a worker for a task whose victims are being evicted.
type claim struct {
	attempt scheduler.AttemptNumber
	worker  scheduler.WorkerName
	victims map[scheduler.TaskID]scheduler.AttemptNumber
	until   time.Time
}

func newPlacement() placement {
	return placement{
		claims:   map[scheduler.TaskID]claim{},
		stuck:    map[scheduler.TaskID]scheduler.AttemptNumber{},
		usable:   map[scheduler.WorkerName]bool{},
		reasoned: map[scheduler.TaskID]time.Time{},
	}
}

// place settles claims, tells the placer what has changed and logs its decisions.
func (engine *Engine) place(ctx context.Context) error {
	now := time.Now()
	term := engine.actingTerm()
	engine.refillBudget(now)
	operations := engine.settleClaims(term, now)
	operations = append(operations, engine.emptyWorkers(term)...)
	engine.updatePlacer(now)
	batch := engine.placement.queues.next(engine.machine, now)
	pending, waits := engine.machine.offer(now, engine.placement.claims, batch,
		engine.placement.budget < 1, engine.placement.queues.turn)
	tasks := make([]scheduler.PendingTask, len(pending))
	for i := range pending {
		tasks[i] = pending[i].task
	}
	assignments, refusals := engine.placer.Place(now, tasks)
	operations = append(operations, engine.decideAll(term, pending, assignments, now)...)
	for _, refusal := range refusals {
		waits = append(waits, WaitReason{Task: refusal.Task, Reason: refusal.Reason})
	}
	operations = append(operations, engine.reasons(waits, now)...)
	if now.After(engine.placement.nextPurge) {
		engine.placement.nextPurge = now.Add(purgePeriod)
		operations = append(operations, Operation{Term: term, Purge: &Purge{BeforeUnixMilli: now.Add(-keptEnded).UnixMilli()}})
	}
	return engine.proposeStep(ctx, operations)
}

// proposeStep proposes the step's operations. After a refusal or an error the placer is told again of the
// workers concerned, because it has counted the assignments.
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
			engine.log.Warn().Str("event", "assignmentRefused").Str("task", string(operation.Assign.Task)).Str("worker", string(operation.Assign.Worker)).
				Str("reason", results[i].Reason).Msg("assignment refused")
		}
	}
	return err
}

// settleClaims assigns the tasks whose victims have gone and drops the claims that took too long, so
// that another victim is chosen.
func (engine *Engine) settleClaims(term scheduler.Term, now time.Time) []Operation {
	var operations []Operation
	for _, id := range slices.Sorted(maps.Keys(engine.placement.claims)) {
		claim := engine.placement.claims[id]
		pending, free := engine.machine.claimState(id, claim)
		if pending && !free && now.Before(claim.until) {
			continue
		}
		delete(engine.placement.claims, id)
		engine.machine.markChanged(claim.worker)
		if pending && !free {
			maps.Copy(engine.placement.stuck, claim.victims)
		}
		if incarnation := engine.incarnation(claim.worker); pending && free && incarnation != 0 {
			operations = append(operations, Operation{Term: term, Assign: &Assign{
				Task: id, Attempt: claim.attempt, Worker: claim.worker, Incarnation: incarnation,
			}})
		}
	}
	return operations
}

// decide turns an assignment into a lease, or into evictions and a claim.
func (engine *Engine) decide(term scheduler.Term, assignment scheduler.Assignment, now time.Time) []Operation {
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
	engine.placement.claims[assignment.Task] = claim{
		attempt: attempt, worker: assignment.Worker, victims: victims, until: now.Add(engine.victimTimeout),
	}
	engine.machine.markChanged(assignment.Worker)
	return operations
}

// emptyWorkers evicts what runs on drained and removed workers, as far as the budget allows.
func (engine *Engine) emptyWorkers(term scheduler.Term) []Operation {
	var operations []Operation
	for _, evict := range engine.machine.unwanted(int(engine.placement.budget)) {
		engine.placement.budget--
		operations = append(operations, Operation{Term: term, Evict: &evict})
	}
	return operations
}

func (engine *Engine) refillBudget(now time.Time) {
	placement := &engine.placement
	if placement.budgeted.IsZero() {
		placement.budget = engine.replacementRate
	} else {
		placement.budget += now.Sub(placement.budgeted).Seconds() * engine.replacementRate
	}
	placement.budget = min(placement.budget, engine.replacementRate)
	placement.budgeted = now
}

// updatePlacer passes on the workers whose state in the log, claims or contact has changed.
func (engine *Engine) updatePlacer(now time.Time) {
	placement := &engine.placement
	claimed := map[scheduler.WorkerName]scheduler.Resources{}
	for id, claim := range placement.claims {
		claimed[claim.worker] = claimed[claim.worker].Plus(engine.machine.request(id))
	}
	attempts := engine.machine.attempts(slices.Collect(maps.Keys(placement.stuck)))
	maps.DeleteFunc(placement.stuck, func(id scheduler.TaskID, attempt scheduler.AttemptNumber) bool {
		return attempts[id] != attempt
	})
	for _, state := range engine.changedWorkers(now) {
		state.Reserved = state.Reserved.Plus(claimed[state.Worker.Name])
		engine.placer.Update(state)
	}
}

// changedWorkers returns the states of the workers that have changed, in the order of their names, and
// removes those that are gone from the placer.
func (engine *Engine) changedWorkers(now time.Time) []scheduler.WorkerState {
	changed := engine.machine.takeChanged()
	usable := engine.placement.usable
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for name, view := range engine.views {
		current := now.Sub(view.heard) < heardWithin && !engine.quarantined[name]
		if current != usable[name] {
			usable[name] = current
			changed[name] = struct{}{}
		}
	}
	throttled := func(lease scheduler.LeaseNumber) bool {
		view, ok := engine.leases[lease]
		return ok && view.throttled
	}
	var states []scheduler.WorkerState
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		state, ok := engine.machine.workerState(name, engine.placement.stuck, throttled)
		if !ok {
			engine.placer.Remove(name)
			continue
		}
		state.Schedulable = state.Schedulable && usable[name]
		states = append(states, state)
	}
	return states
}

// decideAll takes the assignments in the order of importance. The budget limits those of tasks whose
// worker was lost; it is charged here and not for the offer, because tasks that fit nowhere at present
// would otherwise use it up.
func (engine *Engine) decideAll(
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
		if ok && pending[i].replaced {
			if engine.placement.budget < 1 {
				engine.machine.markChanged(assignment.Worker)
				continue
			}
			engine.placement.budget--
		}
		operations = append(operations, engine.decide(term, assignment, now)...)
	}
	return operations
}

// reasons logs why tasks wait, when the reason is new and not more often than reasonPeriod.
func (engine *Engine) reasons(waits []WaitReason, now time.Time) []Operation {
	reasoned := engine.placement.reasoned
	for id, at := range reasoned {
		if now.Sub(at) >= reasonPeriod {
			delete(reasoned, id)
		}
	}
	var operations []Operation
	for _, wait := range waits {
		if len(operations) == maxReasons {
			break
		}
		if _, ok := reasoned[wait.Task]; ok || engine.machine.reason(wait.Task) == wait.Reason {
			continue
		}
		reasoned[wait.Task] = now
		operations = append(operations, Operation{WaitReason: &wait})
	}
	return operations
}

func (engine *Engine) incarnation(worker scheduler.WorkerName) scheduler.Incarnation {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if view, ok := engine.views[worker]; ok {
		return view.incarnation
	}
	return 0
}
