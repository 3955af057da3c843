package admitter

import (
	"math"
	"math/bits"
	"slices"
	"sort"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// CapacityKind is the kind of capacity that a task uses.
type CapacityKind string

// Values of CapacityKind.
const (
	// CapacityReserved is capacity that is reserved for a task.
	CapacityReserved CapacityKind = "reserved"
	// CapacityFill is capacity that other tasks leave unused.
	CapacityFill CapacityKind = "fill"
)

// KindOf returns the kind of capacity that the tasks of a step use.
func KindOf(step *scheduler.Step) CapacityKind {
	if step.Fill {
		return CapacityFill
	}
	return CapacityReserved
}

// WorkOf returns the estimated work of one task of a step, in millicores times milliseconds.
func WorkOf(step *scheduler.Step) int64 {
	return step.Estimate.Milliseconds() * step.Request.MilliCores
}

// PoolState is the state of a pool at one time.
type PoolState struct {
	// Blind is true if the state of too many workers is unknown for a forecast.
	Blind bool
	Rooms map[CapacityKind]Room
	Jobs  []JobBacklog
}

// Room is the capacity of one kind on the workers that accept tasks, in millicores.
type Room struct {
	// Total is the capacity that tasks that end by themselves may use, Free the part of it that no task uses.
	Total int64
	Free  int64
}

// JobBacklog is the part of an accepted job that has not started and uses one kind of capacity.
type JobBacklog struct {
	Kind     CapacityKind
	Priority int
	Prospect packer.Prospect
	// JobWork is the remaining work of the whole job, by which jobs of the same priority are ordered. Work is the work of
	// this part.
	JobWork int64
	Work    int64
	// Waiting is the request of the tasks that are ready to start, in millicores.
	Waiting int64
}

// rank is the place of a job in the order of packer.Urgency, without the deadline.
type rank struct {
	priority int
	prospect packer.Prospect
	work     int64
}

func (rank rank) compare(other rank) int {
	return packer.Urgency{Priority: rank.priority, Prospect: rank.prospect, RemainingWork: rank.work}.Compare(
		packer.Urgency{Priority: other.priority, Prospect: other.prospect, RemainingWork: other.work})
}

// size returns the binary order of magnitude of the work.
func (rank rank) size() int { return bits.Len64(uint64(rank.work)) }

// backlogSum is the sum of the parts up to a rank.
type backlogSum struct {
	rank    rank
	work    int64
	waiting int64
}

// backlog sums the parts of one observation by kind and rank. sums holds running totals in ascending order of rank;
// added holds the parts since then.
type backlog struct {
	sums  map[CapacityKind][]backlogSum
	total map[CapacityKind]int64
	added []JobBacklog
}

func newBacklog(jobs []JobBacklog) backlog {
	backlog := backlog{sums: map[CapacityKind][]backlogSum{}, total: map[CapacityKind]int64{}}
	for position := range jobs {
		part := &jobs[position]
		backlog.total[part.Kind] += part.Waiting
		backlog.sums[part.Kind] = append(backlog.sums[part.Kind], backlogSum{
			rank: rankOf(part), work: part.Work, waiting: part.Waiting,
		})
	}
	for _, sums := range backlog.sums {
		slices.SortFunc(sums, func(a, b backlogSum) int { return a.rank.compare(b.rank) })
		for position := 1; position < len(sums); position++ {
			sums[position].work += sums[position-1].work
			sums[position].waiting += sums[position-1].waiting
		}
	}
	return backlog
}

func rankOf(part *JobBacklog) rank {
	return rank{priority: part.Priority, prospect: part.Prospect, work: part.JobWork}
}

// add adds a part that was admitted since the observation.
func (backlog *backlog) add(part JobBacklog) { backlog.added = append(backlog.added, part) }

// ahead returns the work and the waiting request of the parts that start before a job of the given rank.
func (backlog *backlog) ahead(kind CapacityKind, limit rank) (work, waiting int64) {
	sums := backlog.sums[kind]
	end := sort.Search(len(sums), func(position int) bool { return sums[position].rank.compare(limit) > 0 })
	if end > 0 {
		work, waiting = sums[end-1].work, sums[end-1].waiting
	}
	for position := range backlog.added {
		if part := &backlog.added[position]; part.Kind == kind && rankOf(part).compare(limit) <= 0 {
			work, waiting = work+part.Work, waiting+part.Waiting
		}
	}
	return work, waiting
}

// waiting returns the request of all tasks that are ready to start.
func (backlog *backlog) waiting(kind CapacityKind) int64 { return backlog.total[kind] }

// arrivalKey groups admitted jobs by kind, priority and the binary order of magnitude of their work.
type arrivalKey struct {
	kind     CapacityKind
	priority int
	size     int
}

// arrivalAveragingTime is the time constant of the arrival rates. It is short, so that the end of a burst shows soon.
const arrivalAveragingTime = 5 * time.Second

// arrivals measures how much work of each rank is admitted per second, as a decaying sum.
type arrivals struct {
	sums      map[arrivalKey]float64
	decayedAt time.Duration
	started   bool
}

func newArrivals() arrivals { return arrivals{sums: map[arrivalKey]float64{}} }

func (arrivals *arrivals) add(now time.Duration, kind CapacityKind, rank rank, work int64) {
	if !arrivals.started {
		arrivals.started, arrivals.decayedAt = true, now
	}
	arrivals.decay(now)
	arrivals.sums[arrivalKey{kind: kind, priority: rank.priority, size: rank.size()}] += float64(work)
}

func (arrivals *arrivals) decay(now time.Duration) {
	elapsed := now - arrivals.decayedAt
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(arrivalAveragingTime))
	for key := range arrivals.sums {
		arrivals.sums[key] *= factor
	}
	arrivals.decayedAt = now
}

// rate returns the work per second that arrives with a smaller rank. Jobs of the same order of magnitude are left out.
func (arrivals *arrivals) rate(now time.Duration, kind CapacityKind, rank rank) float64 {
	arrivals.decay(now)
	size, sum := rank.size(), 0.0
	for key, work := range arrivals.sums {
		if key.kind == kind && (key.priority < rank.priority || key.priority == rank.priority && key.size < size) {
			sum += work
		}
	}
	return sum / arrivalAveragingTime.Seconds()
}
