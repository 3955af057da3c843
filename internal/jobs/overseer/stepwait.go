package overseer

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/internal/jobs/reserver"
	"github.com/crocusplank/crocusplank/internal/jobs/waitexplainer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// maxPredictedWorkers limits the workers whose running tasks are considered for a step, and thereby the time for which an
// explanation holds the mutex.
const maxPredictedWorkers = 256

// explainWaits adds the waiting steps that are explained. It takes the decision of a planning cycle for the whole pool, so that
// the rules are those at the step's turn: with the more urgent tasks placed, and with workers kept for others. The mutex must
// be held.
func (leadership *leadership) explainWaits(
	explanation *WaitExplanation, state *jobkeeper.State, isExplained func(waiting *waitingStep) bool,
) {
	pool := explanation.Pool
	steps, groups := leadership.waitingStepsAndGroups(state, func(waiting *waitingStep) bool {
		return waiting.step.Job().Queue().Pool == pool
	})
	for position, waiting := range steps {
		groups[position].Starved = leadership.isStarved(waiting, pool)
	}
	workers, closed := leadership.workersWithHolds(state, pool), leadership.closedWorkers(state, pool)
	waits := map[packer.StepID]int{}
	tasksAhead := 0
	assignments := packer.PackObserved(workers, groups, func(position int) {
		waiting, group, ahead := steps[position], &groups[position], tasksAhead
		tasksAhead += len(group.Tasks)
		if !isExplained(waiting) {
			return
		}
		if len(explanation.Waits) == maxExplainedWaits {
			explanation.MoreWaits++
			return
		}
		waits[group.ID()] = len(explanation.Waits)
		wait := leadership.newStepWait(waiting, group, ahead)
		wait.Workers = waitexplainer.Explain(leadership.candidates(state, waiting, group, workers, closed))
		leadership.addReservation(&wait, pool, group)
		explanation.Waits = append(explanation.Waits, wait)
	})
	for position := range assignments {
		if wait, found := waits[assignments[position].Step()]; found {
			explanation.addAssignment(&explanation.Waits[wait], &assignments[position])
		}
	}
}

func (leadership *leadership) newStepWait(waiting *waitingStep, group *packer.Group, tasksAhead int) StepWait {
	wait := StepWait{
		First: group.Tasks[0], Tasks: len(group.Tasks), Gang: group.Step.Gang, Suspect: group.Suspect, TasksAhead: tasksAhead,
	}
	if known, found := leadership.jobLog.waiting[keyOfStep(waiting.step)]; found {
		wait.Waited = leadership.now() - known.since
	}
	return wait
}

// addAssignment records that a planning cycle would place a task of the step. If one task was asked for, only that one tells
// where it starts.
func (explanation *WaitExplanation) addAssignment(wait *StepWait, assignment *packer.Assignment) {
	wait.Placed++
	isFirst := wait.Placed == 1
	if explanation.Task != nil {
		isFirst = assignment.Task == explanation.Task.ID
	}
	if isFirst {
		wait.Workers.Next = &waitexplainer.Next{Worker: assignment.Worker, Basis: waitexplainer.BasisAssigned}
	}
}

// addReservation replaces where the tasks are expected to start by the first reservation for them, if there is one.
func (leadership *leadership) addReservation(wait *StepWait, pool scheduler.PoolName, group *packer.Group) {
	poolReserver := leadership.lookAhead.reservers[pool]
	if poolReserver == nil {
		return
	}
	now, step := leadership.now(), group.ID()
	var next *waitexplainer.Next
	for _, reservation := range poolReserver.Reservations() {
		after := max(reservation.Start()-now, 0)
		if reservation.Step() == step && (next == nil || after < next.After) {
			next = &waitexplainer.Next{Worker: reservation.Worker(), After: after, Basis: waitexplainer.BasisReserved}
		}
	}
	if next != nil {
		wait.Workers.Next = next
	}
}

// closedWorker is a worker that accepts no tasks at all.
type closedWorker struct {
	worker *packer.Worker
	reason waitexplainer.Obstacle
}

// closedWorkers returns the workers of a pool that accept no tasks. The mutex must be held.
func (leadership *leadership) closedWorkers(state *jobkeeper.State, pool scheduler.PoolName) []closedWorker {
	now, wallTime, heartbeatTimeout := leadership.now(), time.Now(), leadership.heartbeatTimeout()
	var closed []closedWorker
	for _, name := range slices.Sorted(maps.Keys(leadership.instances)) {
		instance := leadership.instances[name]
		if !instance.hasHeartbeat || instance.heartbeat.Pool != pool {
			continue
		}
		reason := leadership.unavailableReason(instance, now, heartbeatTimeout, wallTime)
		if reason == "" {
			continue
		}
		closed = append(closed, closedWorker{
			worker: withheldWorker(state, instance, now),
			reason: waitexplainer.Obstacle{Rule: string(reason), End: leadership.endOfReason(reason, instance, now, wallTime)},
		})
	}
	return closed
}

// endOfReason returns when a worker accepts tasks again.
func (leadership *leadership) endOfReason(
	reason UnavailableReason, instance *worker, now time.Duration, wallTime time.Time,
) packer.End {
	switch reason {
	case UnavailableBackingOff:
		return packer.End{Kind: packer.EndFixed, After: instance.backoffUntil - now}
	case UnavailableQuarantined:
		if until, ok := leadership.failureTracker.quarantiner.QuarantinedUntil(instance.name); ok {
			return packer.End{Kind: packer.EndFixed, After: max(until.Sub(wallTime), 0)}
		}
	}
	return packer.End{Kind: packer.EndUnknown}
}

// candidates returns the workers of a pool with all rules that keep a waiting step off them. workers accept tasks.
func (leadership *leadership) candidates(
	state *jobkeeper.State, waiting *waitingStep, group *packer.Group, workers []*packer.Worker, closed []closedWorker,
) []waitexplainer.Candidate {
	candidates := make([]waitexplainer.Candidate, 0, len(workers)+len(closed))
	predictions := maxPredictedWorkers
	for _, worker := range workers {
		candidate := waitexplainer.Candidate{Worker: worker.Name}
		for _, obstacle := range packer.Obstacles(worker, group) {
			end := obstacle.End()
			switch {
			case obstacle.Exclusion() == packer.ExcludedByFailure:
				end = leadership.endOfAvoidance(waiting, worker)
			case obstacle.Exclusion() == packer.ExcludedByCapacity && end.Kind == packer.EndUnknown && predictions > 0:
				predictions--
				end = leadership.endOfShortage(state, worker, group)
			}
			candidate.Obstacles = append(candidate.Obstacles, waitexplainer.Obstacle{Rule: string(obstacle.Exclusion()), End: end})
		}
		candidates = append(candidates, candidate)
	}
	for position := range closed {
		candidates = append(candidates, closed[position].candidate(group))
	}
	return candidates
}

// endOfAvoidance returns when the tasks of a step no longer avoid a worker on which one of them has failed.
func (leadership *leadership) endOfAvoidance(waiting *waitingStep, worker *packer.Worker) packer.End {
	avoided := leadership.failureTracker.avoidedFor(waiting.tasks, worker.Name, time.Now())
	return packer.End{Kind: packer.EndFixed, After: avoided}
}

// candidate returns a worker that accepts no tasks, with the other rules that keep the group off it.
func (closedWorker *closedWorker) candidate(group *packer.Group) waitexplainer.Candidate {
	candidate := waitexplainer.Candidate{
		Worker: closedWorker.worker.Name, Obstacles: []waitexplainer.Obstacle{closedWorker.reason},
	}
	for _, obstacle := range packer.Obstacles(closedWorker.worker, group) {
		candidate.Obstacles = append(candidate.Obstacles, waitexplainer.Obstacle{
			Rule: string(obstacle.Exclusion()), End: obstacle.End(),
		})
	}
	return candidate
}

// endOfShortage returns when the running tasks of a worker are expected to leave room for a task of the group.
func (leadership *leadership) endOfShortage(
	state *jobkeeper.State, worker *packer.Worker, group *packer.Group,
) packer.End {
	// A failure there and a missing approval are obstacles of their own.
	unrestricted := *group
	unrestricted.Avoid, unrestricted.Approved = nil, nil
	after, ok := reserver.FitsAfter(worker, &unrestricted, leadership.releases(state, worker.Name))
	if !ok {
		return packer.End{Kind: packer.EndUnknown}
	}
	return packer.End{Kind: packer.EndExpected, After: after}
}
