package packer

import (
	"cmp"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// lateFactor is how many times its objective a job may take and still be of use to its caller.
const lateFactor = 3

// Prospect tells what can still be expected of a job.
type Prospect string

// Values of Prospect.
const (
	// ProspectTimely means that the job can meet its objective.
	ProspectTimely Prospect = "timely"
	// ProspectLate means that it will miss its objective and can still be of use.
	ProspectLate Prospect = "late"
	// ProspectLost means that it will be too late for its caller.
	ProspectLost Prospect = "lost"
)

// ranks orders the prospects, the most urgent one first.
var ranks = map[Prospect]int{ProspectTimely: 0, ProspectLate: 1, ProspectLost: 2}

// Urgency orders steps that wait: by the priority of the queue, then by prospect, then by the work that is left of
// the job, then by deadline. The order answers a queue that is longer than what can be served in time. First come,
// first served makes every job late there, and so does the earliest deadline: each job is begun when it is almost
// too late. Serving the jobs first of which least is left keeps the number of late ones small.
type Urgency struct {
	Priority int
	Prospect Prospect
	// RemainingWork is the work that is left of the job, in thousandths of a core times milliseconds.
	RemainingWork     int64
	Deadline time.Time
}

// Compare orders two urgencies, the more urgent one first.
func (urgency Urgency) Compare(other Urgency) int {
	return cmp.Or(cmp.Compare(urgency.Priority, other.Priority), cmp.Compare(ranks[urgency.Prospect], ranks[other.Prospect]),
		cmp.Compare(urgency.RemainingWork, other.RemainingWork), urgency.Deadline.Compare(other.Deadline))
}

// UrgencyInput is what the urgency of a step follows from.
type UrgencyInput struct {
	// Queue holds the priority and the objective.
	Queue scheduler.Queue
	// ReleaseTime is when the caller began to wait.
	ReleaseTime time.Time
	// CriticalPath is the estimated time of the longest chain of steps, Remaining that of the part that is left.
	CriticalPath     time.Duration
	RemainingPath time.Duration
	// RemainingWork is the work that is left, see Urgency.
	RemainingWork int64
	// LongRunning is true for tasks that run until their job is cancelled and have no objective to miss.
	LongRunning bool
}

// UrgencyOf returns the urgency of work at a time.
func UrgencyOf(work UrgencyInput, now time.Time) Urgency {
	urgency := Urgency{Priority: work.Queue.Priority, Prospect: ProspectTimely, Deadline: work.ReleaseTime}
	if work.LongRunning {
		return urgency
	}
	objective := time.Duration(max(work.Queue.Slowdown, 1)*float64(work.CriticalPath)) + work.Queue.LatencyTarget
	urgency.Deadline = work.ReleaseTime.Add(objective)
	urgency.RemainingWork = work.RemainingWork
	end := now.Add(work.RemainingPath)
	switch {
	case end.After(work.ReleaseTime.Add(lateFactor * objective)):
		urgency.Prospect = ProspectLost
	case end.After(urgency.Deadline):
		urgency.Prospect = ProspectLate
		urgency.Deadline = work.ReleaseTime.Add(lateFactor * objective)
	}
	return urgency
}

// CriticalPath returns the estimated time of the longest chain through the steps of a workflow. weight returns the
// time of a step, zero for one that has finished.
func CriticalPath(steps []scheduler.Step, weight func(step int) time.Duration) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(steps))
	for position := range steps {
		start := time.Duration(0)
		for _, before := range steps[position].DependsOn {
			start = max(start, ends[before])
		}
		ends[position] = start + weight(position)
		longest = max(longest, ends[position])
	}
	return longest
}
