// Package quotakeeper divides the fleet among teams by dominant-resource fairness: the team whose
// largest use relative to its quota is lowest goes first. Teams may borrow what others leave and give
// it back as their tasks end, since the owner then goes first.
package quotakeeper

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("quotakeeper")

const (
	// defaultAging is the time without a start after which a team's oldest task goes first.
	defaultAging = 30 * time.Minute
)

// Quotakeeper is used from one goroutine at a time.
type Quotakeeper struct {
	aging    time.Duration
	capacity scheduler.Resources
	teams    map[scheduler.TeamName]*team
	tasks    map[scheduler.TaskID]held
}

type team struct {
	quota, used scheduler.Resources
	started     time.Time
}

type held struct {
	team    scheduler.TeamName
	request scheduler.Resources
}

// Option changes a Quotakeeper that New builds.
type Option func(*Quotakeeper)

// WithAging sets the time without a start after which a team's oldest task goes before all others.
func WithAging(wait time.Duration) Option {
	return func(quotakeeper *Quotakeeper) { quotakeeper.aging = wait }
}

// New returns a Quotakeeper for a fleet. A team without a quota may only borrow.
func New(capacity scheduler.Resources, options ...Option) (*Quotakeeper, error) {
	quotakeeper := &Quotakeeper{
		aging: defaultAging, capacity: capacity,
		teams: map[scheduler.TeamName]*team{}, tasks: map[scheduler.TaskID]held{},
	}
	for _, option := range options {
		option(quotakeeper)
	}
	if quotakeeper.aging <= 0 {
		return nil, Error.New("aging time %v is not positive", quotakeeper.aging)
	}
	return quotakeeper, nil
}

// SetCapacity replaces the size of the fleet.
func (quotakeeper *Quotakeeper) SetCapacity(capacity scheduler.Resources) {
	quotakeeper.capacity = capacity
}

// SetQuota sets what a team may use without borrowing.
func (quotakeeper *Quotakeeper) SetQuota(name scheduler.TeamName, quota scheduler.Resources) {
	quotakeeper.team(name).quota = quota
}

func (quotakeeper *Quotakeeper) team(name scheduler.TeamName) *team {
	t := quotakeeper.teams[name]
	if t == nil {
		t = &team{}
		quotakeeper.teams[name] = t
	}
	return t
}

// TaskStarted counts a task from its assignment on. Counting it twice has no effect.
func (quotakeeper *Quotakeeper) TaskStarted(
	now time.Time, id scheduler.TaskID, name scheduler.TeamName, request scheduler.Resources,
) {
	if _, known := quotakeeper.tasks[id]; known {
		return
	}
	quotakeeper.tasks[id] = held{team: name, request: request}
	t := quotakeeper.team(name)
	t.used, t.started = t.used.Plus(request), now
}

// TaskEnded returns what a task used, whether its attempt ended, failed or was evicted.
func (quotakeeper *Quotakeeper) TaskEnded(id scheduler.TaskID) {
	if h, known := quotakeeper.tasks[id]; known {
		t := quotakeeper.team(h.team)
		t.used = t.used.Minus(h.request)
		delete(quotakeeper.tasks, id)
	}
}

// DominantShare returns the largest use of a team relative to its quota; above 1 the team borrows.
func (quotakeeper *Quotakeeper) DominantShare(name scheduler.TeamName) float64 {
	return quotakeeper.share(quotakeeper.team(name), scheduler.Resources{})
}

// minimumQuota stands in for a quota of zero, as a share of the fleet. Teams without a quota then
// come after all others and are still ordered among themselves.
const minimumQuota = 1e-6

func (quotakeeper *Quotakeeper) share(t *team, more scheduler.Resources) float64 {
	used := t.used.Plus(more)
	ratio := func(used, quota, capacity int64) float64 {
		if used <= 0 {
			return 0
		}
		return float64(used) / max(float64(quota), minimumQuota*float64(max(1, capacity)))
	}
	return max(
		ratio(used.MilliCores, t.quota.MilliCores, quotakeeper.capacity.MilliCores),
		ratio(used.MemoryBytes, t.quota.MemoryBytes, quotakeeper.capacity.MemoryBytes),
		ratio(used.Accelerators, t.quota.Accelerators, quotakeeper.capacity.Accelerators),
	)
}

// Order returns at most limit of the pending tasks, in the order in which they may be placed: urgent
// and latency-critical tasks of teams within quota, then the oldest task of each team that has waited and
// started nothing for the aging time, then by dominant share. An urgent task of a team beyond its quota is returned
// as a normal one, since it could otherwise evict the work of teams within theirs. Every team with a task
// that fits a worker with room therefore starts at least one in each aging time.
func (quotakeeper *Quotakeeper) Order(
	now time.Time, pending []scheduler.PendingTask, limit int,
) []scheduler.PendingTask {
	var first, aged []scheduler.PendingTask
	queues := map[scheduler.TeamName]*queue{}
	for _, task := range pending {
		within := quotakeeper.share(quotakeeper.team(task.Team), task.Spec.Request) <= 1
		if !within {
			task.Urgent = false
		}
		switch {
		case task.Urgent || within && task.Spec.Class == scheduler.ClassLatencyCritical:
			first = append(first, task)
		default:
			if queues[task.Team] == nil {
				queues[task.Team] = &queue{name: task.Team}
			}
			queues[task.Team].tasks = append(queues[task.Team].tasks, task)
		}
	}
	slices.SortStableFunc(first, longestWaiting)
	for name, q := range queues {
		slices.SortStableFunc(q.tasks, longestWaiting)
		if q.tasks[0].WaitTime < quotakeeper.aging || now.Sub(quotakeeper.team(name).started) < quotakeeper.aging {
			continue
		}
		aged = append(aged, q.tasks[0])
		if q.tasks = q.tasks[1:]; len(q.tasks) == 0 {
			delete(queues, name)
		}
	}
	slices.SortStableFunc(aged, longestWaiting)
	order := slices.Concat(first, aged)
	if len(order) >= limit {
		return order[:limit]
	}
	return quotakeeper.fill(order, queues, limit)
}

func longestWaiting(a, b scheduler.PendingTask) int {
	return cmp.Or(cmp.Compare(b.WaitTime, a.WaitTime), cmp.Compare(a.Task, b.Task))
}

// queue holds a team's waiting tasks and the share that it would have after the tasks taken so far.
type queue struct {
	name  scheduler.TeamName
	tasks []scheduler.PendingTask
	extra scheduler.Resources
	share float64
}

type queueHeap []*queue

func (h queueHeap) Len() int { return len(h) }
func (h queueHeap) Less(i, j int) bool {
	return h[i].share < h[j].share || h[i].share == h[j].share && h[i].name < h[j].name
}
func (h queueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *queueHeap) Push(x any) {
	if q, ok := x.(*queue); ok {
		*h = append(*h, q)
	}
}

// Pop implements heap.Interface.
func (h *queueHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	*h = (*h)[:last]
	return q
}

// fill takes tasks of the team with the lowest share until limit tasks are ordered.
func (quotakeeper *Quotakeeper) fill(
	order []scheduler.PendingTask, queues map[scheduler.TeamName]*queue, limit int,
) []scheduler.PendingTask {
	waiting := make(queueHeap, 0, len(queues))
	for _, q := range queues {
		q.share = quotakeeper.share(quotakeeper.team(q.name), q.tasks[0].Spec.Request)
		waiting = append(waiting, q)
	}
	heap.Init(&waiting)
	for len(waiting) > 0 && len(order) < limit {
		q := waiting[0]
		order = append(order, q.tasks[0])
		q.extra = q.extra.Plus(q.tasks[0].Spec.Request)
		if q.tasks = q.tasks[1:]; len(q.tasks) == 0 {
			heap.Pop(&waiting)
			continue
		}
		q.share = quotakeeper.share(quotakeeper.team(q.name), q.extra.Plus(q.tasks[0].Spec.Request))
		heap.Fix(&waiting, 0)
	}
	return order
}
