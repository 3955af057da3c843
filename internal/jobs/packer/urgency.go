package packer

import (
	"cmp"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// lateFactor is the multiple of its objective after which the result of a job is no longer of use to its caller.
const lateFactor = 3

// Prospect is the predicted outcome of a job with regard to its objective.
type Prospect string

// Values of Prospect.
const (
	// ProspectTimely means that the job can still meet its objective.
	ProspectTimely Prospect = "timely"
	// ProspectLate means that the job will miss its objective but can still finish while its result is of use.
	ProspectLate Prospect = "late"
	// ProspectLost means that the job will finish too late to be of use.
	ProspectLost Prospect = "lost"
)

// ranks orders the prospects from the most to the least urgent.
var ranks = map[Prospect]int{ProspectTimely: 0, ProspectLate: 1, ProspectLost: 2}

// Urgency orders pending steps by the priority of their queue, then by prospect, then by the remaining work of their
// job, then by deadline. The order is meant for overload, when the queue is longer than what can be served in time.
// First come, first served would then make every job late, and so would earliest deadline first, which starts each
// job when it is almost too late. Shortest remaining work first keeps the number of late jobs low.
type Urgency struct {
	Priority int
	Prospect Prospect
	// RemainingWork is the estimated work left in the job, in millicores times milliseconds.
	RemainingWork int64
	Deadline      time.Time
}

// Compare returns a negative number if urgency is more urgent than other, a positive one if it is less urgent, and 0
// if they are equal.
func (urgency Urgency) Compare(other Urgency) int {
	return cmp.Or(cmp.Compare(urgency.Priority, other.Priority), cmp.Compare(ranks[urgency.Prospect], ranks[other.Prospect]),
		cmp.Compare(urgency.RemainingWork, other.RemainingWork), urgency.Deadline.Compare(other.Deadline))
}

// UrgencyInput holds the properties of a step from which its urgency is calculated.
type UrgencyInput struct {
	// Queue provides the priority and the objective.
	Queue scheduler.Queue
	// ReleaseTime is when the job became eligible to run and its caller began to wait.
	ReleaseTime time.Time
	// CriticalPath is the estimated duration of the longest dependency chain of the job, RemainingPath that of its
	// unfinished steps.
	CriticalPath  time.Duration
	RemainingPath time.Duration
	// RemainingWork is the estimated work left in the job, see Urgency.
	RemainingWork int64
	// LongRunning is true for tasks that run until their job is cancelled and therefore have no objective.
	LongRunning bool
}

// UrgencyOf returns the urgency of a step at time now.
func UrgencyOf(input UrgencyInput, now time.Time) Urgency {
	urgency := Urgency{Priority: input.Queue.Priority, Prospect: ProspectTimely, Deadline: input.ReleaseTime}
	if input.LongRunning {
		return urgency
	}
	objective := Objective(&input.Queue, input.CriticalPath)
	urgency.Deadline = input.ReleaseTime.Add(objective)
	urgency.RemainingWork = input.RemainingWork
	end := now.Add(input.RemainingPath)
	switch {
	case end.After(input.ReleaseTime.Add(lateFactor * objective)):
		urgency.Prospect = ProspectLost
	case end.After(urgency.Deadline):
		urgency.Prospect = ProspectLate
		urgency.Deadline = input.ReleaseTime.Add(lateFactor * objective)
	}
	return urgency
}

// Objective returns the target completion time of a job with the given critical path.
func Objective(queue *scheduler.Queue, criticalPath time.Duration) time.Duration {
	return time.Duration(max(queue.Slowdown, 1)*float64(criticalPath)) + queue.LatencyTarget
}

// UsefulTime returns the completion time until which the result of a job is of use to its caller.
func UsefulTime(queue *scheduler.Queue, criticalPath time.Duration) time.Duration {
	return lateFactor * Objective(queue, criticalPath)
}

// CriticalPath returns the estimated duration of the longest dependency chain of a workflow. weight returns the
// duration of a step, or zero for a step that has finished.
func CriticalPath(steps []scheduler.Step, weight func(step int) time.Duration) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(steps))
	for position := range steps {
		start := time.Duration(0)
		for _, dependency := range steps[position].DependsOn {
			start = max(start, ends[dependency])
		}
		ends[position] = start + weight(position)
		longest = max(longest, ends[position])
	}
	return longest
}
