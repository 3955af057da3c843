package packer

import (
	"math"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// EndKind is what is known about the end of an obstacle.
type EndKind string

// Values of EndKind.
const (
	// EndFixed means that the obstacle ends after a known time, unless its cause comes up again.
	EndFixed EndKind = "fixed"
	// EndExpected means that the end depends on other tasks and is predicted.
	EndExpected EndKind = "expected"
	// EndUnknown means that nothing is known about the end.
	EndUnknown EndKind = "unknown"
	// EndNever means that the obstacle remains as long as the worker and the step are what they are.
	EndNever EndKind = "never"
)

// End is when an obstacle ends. It is a wire type.
type End struct {
	Kind EndKind `json:"kind" cbor:"1,keyasint"`
	// After is the time from now. It is set for EndFixed and EndExpected.
	After time.Duration `json:"after,omitempty" cbor:"2,keyasint,omitempty"`
}

// IsKnown reports whether the time of the end is known or predicted.
func (end End) IsKnown() bool { return end.Kind == EndFixed || end.Kind == EndExpected }

// Obstacle is one of the reasons why a worker accepts no task of a group.
type Obstacle struct {
	exclusion Exclusion
	end       End
}

// Exclusion returns the reason.
func (obstacle Obstacle) Exclusion() Exclusion { return obstacle.exclusion }

// End returns when the reason ends, as far as the worker and the group show it.
func (obstacle Obstacle) End() End { return obstacle.end }

// Obstacles returns all reasons why a worker accepts no task of the group, or nil if it accepts one. Examine counts only
// the first of them.
func Obstacles(worker *Worker, group *Group) []Obstacle {
	relaxed := relaxation{worker: *worker, group: *group, step: *group.Step}
	relaxed.group.Step = &relaxed.step
	var obstacles []Obstacle
	for removed := true; removed; {
		exclusion := relaxed.group.exclusion(&relaxed.worker, 0)
		if exclusion == NotExcluded || containsExclusion(obstacles, exclusion) {
			return obstacles
		}
		obstacles = append(obstacles, Obstacle{exclusion: exclusion, end: group.endOf(exclusion, worker)})
		removed = relaxed.remove(exclusion)
	}
	return obstacles
}

func containsExclusion(obstacles []Obstacle, exclusion Exclusion) bool {
	return slices.ContainsFunc(obstacles, func(obstacle Obstacle) bool { return obstacle.exclusion == exclusion })
}

// relaxation is a worker and a group without the obstacles that have been found, so that the next one shows.
type relaxation struct {
	worker Worker
	group  Group
	step   scheduler.Step
}

// remove removes the cause of an exclusion. It returns false if it does not know the exclusion.
func (relaxation *relaxation) remove(exclusion Exclusion) bool {
	worker, group, isolation := &relaxation.worker, &relaxation.group, &relaxation.worker.Isolation
	switch exclusion {
	case ExcludedBySlack:
		worker.Slack = math.MaxInt64
	case ExcludedByInterference:
		worker.Forecast = nil
	case ExcludedByLongRunning:
		worker.heldForLongRunning = false
	case ExcludedByCapacity:
		worker.Free = relaxation.step.Reserved()
	case ExcludedByLabel:
		relaxation.step.RequiredLabel = ""
	case ExcludedByTaskLimit:
		relaxation.step.MaxPerWorker = 0
	case ExcludedByApproval:
		group.Approved = nil
	case ExcludedByFailure:
		group.Avoid = nil
	case ExcludedByHold:
		worker.Hold = nil
	case ExcludedBySuspect:
		isolation.Suspects, isolation.SuspectStarts, isolation.ClosedFor, worker.keptFor = 0, 0, 0, nil
	case ExcludedByStarts:
		isolation.Starts = 0
	default:
		return false
	}
	return true
}

// endOf returns when the worker is no longer excluded for a reason. The end of a lack of capacity depends on the run times of
// the tasks on the worker, which the packer does not know.
func (group *Group) endOf(exclusion Exclusion, worker *Worker) End {
	switch exclusion {
	case ExcludedByLabel:
		return End{Kind: EndNever}
	case ExcludedByCapacity:
		if !group.Step.Reserved().FitsIn(worker.Capacity) {
			return End{Kind: EndNever}
		}
	case ExcludedByHold:
		return expected(worker.Hold.start)
	case ExcludedByStarts:
		return expected(worker.Isolation.RecentFor)
	case ExcludedBySuspect:
		return group.endOfSuspicion(worker)
	}
	return End{Kind: EndUnknown}
}

// endOfSuspicion returns when ExcludedBySuspect ends.
func (group *Group) endOfSuspicion(worker *Worker) End {
	isolation := &worker.Isolation
	switch {
	case group.Suspect:
		return expected(max(isolation.ClosedFor, sharingDelay-group.Waited))
	case isolation.SuspectStarts > 0:
		return expected(isolation.RecentFor)
	}
	// The worker is kept for suspects until one of them starts there.
	return End{Kind: EndUnknown}
}

func expected(after time.Duration) End {
	return End{Kind: EndExpected, After: max(after, 0)}
}
