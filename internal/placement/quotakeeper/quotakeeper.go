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

// Keeper is used from one goroutine at a time.
type Keeper struct {
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

// Option changes a Keeper that New builds.
type Option func(*Keeper)

// WithAging sets the time without a start after which a team's oldest task goes before all others.
func WithAging(wait time.Duration) Option {
	return func(keeper *Keeper) { keeper.aging = wait }
}

// New returns a Keeper for a fleet. A team without a quota may only borrow.
func New(capacity scheduler.Resources, options ...Option) (*Keeper, error) {
	keeper := &Keeper{
		aging: defaultAging, capacity: capacity,
		teams: map[scheduler.TeamName]*team{}, tasks: map[scheduler.TaskID]held{},
	}
	for _, option := range options {
		option(keeper)
	}
	if keeper.aging <= 0 {
		return nil, Error.New("aging time %v is not positive", keeper.aging)
	}
	return keeper, nil
}

// SetCapacity replaces the size of the fleet.
func (keeper *Keeper) SetCapacity(capacity scheduler.Resources) { keeper.capacity = capacity }

// SetQuota sets what a team may use without borrowing.
func (keeper *Keeper) SetQuota(name scheduler.TeamName, quota scheduler.Resources) {
	keeper.team(name).quota = quota
}

func (keeper *Keeper) team(name scheduler.TeamName) *team {
	t := keeper.teams[name]
	if t == nil {
		t = &team{}
		keeper.teams[name] = t
	}
	return t
}

// Started counts a task from its assignment on. Counting it twice has no effect.
func (keeper *Keeper) Started(now time.Time, id scheduler.TaskID, name scheduler.TeamName, request scheduler.Resources) {
	if _, known := keeper.tasks[id]; known {
		return
	}
	keeper.tasks[id] = held{team: name, request: request}
	t := keeper.team(name)
	t.used, t.started = t.used.Plus(request), now
}

// Ended returns what a task used, whether its attempt ended, failed or was evicted.
func (keeper *Keeper) Ended(id scheduler.TaskID) {
	if h, known := keeper.tasks[id]; known {
		t := keeper.team(h.team)
		t.used = t.used.Minus(h.request)
		delete(keeper.tasks, id)
	}
}

// Share returns the largest use of a team relative to its quota; above 1 the team borrows.
func (keeper *Keeper) Share(name scheduler.TeamName) float64 {
	return keeper.share(keeper.team(name), scheduler.Resources{})
}

// minimumQuota stands in for a quota of zero, as a share of the fleet. Teams without a quota then
// come after all others and are still ordered among themselves.
const minimumQuota = 1e-6

func (keeper *Keeper) share(t *team, more scheduler.Resources) float64 {
	used := t.used.Plus(more)
	ratio := func(used, quota, capacity int64) float64 {
		if used <= 0 {
			return 0
		}
		return float64(used) / max(float64(quota), minimumQuota*float64(max(1, capacity)))
	}
	return max(
		ratio(used.MilliCores, t.quota.MilliCores, keeper.capacity.MilliCores),
		ratio(used.MemoryBytes, t.quota.MemoryBytes, keeper.capacity.MemoryBytes),
		ratio(used.Accelerators, t.quota.Accelerators, keeper.capacity.Accelerators),
	)
}

// Order returns at most limit of the pending tasks, in the order in which they may be placed: urgent
// and latency-critical tasks of teams within quota, then the oldest task of each team that has waited and
// started nothing for the aging time, then by dominant share. An urgent task of a team beyond its quota is returned
// as a normal one, since it could otherwise evict the work of teams within theirs. Every team with a task
// that fits a worker with room therefore starts at least one in each aging time.
func (keeper *Keeper) Order(now time.Time, pending []scheduler.PendingTask, limit int) []scheduler.PendingTask {
	var first, aged []scheduler.PendingTask
	queues := map[scheduler.TeamName]*queue{}
	for _, task := range pending {
		within := keeper.share(keeper.team(task.Team), task.Spec.Request) <= 1
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
		if q.tasks[0].WaitTime < keeper.aging || now.Sub(keeper.team(name).started) < keeper.aging {
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
	return keeper.fill(order, queues, limit)
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
func (keeper *Keeper) fill(
	order []scheduler.PendingTask, queues map[scheduler.TeamName]*queue, limit int,
) []scheduler.PendingTask {
	waiting := make(queueHeap, 0, len(queues))
	for _, q := range queues {
		q.share = keeper.share(keeper.team(q.name), q.tasks[0].Spec.Request)
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
		q.share = keeper.share(keeper.team(q.name), q.extra.Plus(q.tasks[0].Spec.Request))
		heap.Fix(&waiting, 0)
	}
	return order
}
