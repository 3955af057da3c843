// Package quotakeeper shares the fleet among teams by dominant resource fairness: the team with the lowest dominant
// share of its quota is served first. Teams may borrow capacity that others do not use. They return it as their tasks
// end, because the teams within quota are then served first.
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
	// defaultAging is the time without a task start after which a team's oldest task is prioritised.
	defaultAging = 30 * time.Minute
)

// Quotakeeper tracks the usage of the teams and orders their pending tasks. It is not safe for concurrent use.
type Quotakeeper struct {
	aging    time.Duration
	capacity scheduler.Resources
	teams    map[scheduler.TeamName]*team
	tasks    map[scheduler.TaskID]taskUsage
}

type team struct {
	quota, used scheduler.Resources
	lastStart   time.Time
}

type taskUsage struct {
	team    scheduler.TeamName
	request scheduler.Resources
}

// Option configures a Quotakeeper.
type Option func(*Quotakeeper)

// WithAging sets the time without a task start after which a team's oldest task precedes those ordered by share.
func WithAging(wait time.Duration) Option {
	return func(quotakeeper *Quotakeeper) { quotakeeper.aging = wait }
}

// New returns a Quotakeeper for a fleet of the given capacity. A team without a quota can only borrow.
func New(capacity scheduler.Resources, options ...Option) (*Quotakeeper, error) {
	quotakeeper := &Quotakeeper{
		aging: defaultAging, capacity: capacity,
		teams: map[scheduler.TeamName]*team{}, tasks: map[scheduler.TaskID]taskUsage{},
	}
	for _, option := range options {
		option(quotakeeper)
	}
	if quotakeeper.aging <= 0 {
		return nil, Error.New("aging time %v is not positive", quotakeeper.aging)
	}
	return quotakeeper, nil
}

// SetCapacity sets the capacity of the fleet, which determines the share of teams without a quota.
func (quotakeeper *Quotakeeper) SetCapacity(capacity scheduler.Resources) {
	quotakeeper.capacity = capacity
}

// SetQuota sets the resources that a team may use without borrowing.
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

// TaskStarted adds the request of an assigned task to the usage of its team. It does nothing if the task is already
// counted.
func (quotakeeper *Quotakeeper) TaskStarted(
	now time.Time, id scheduler.TaskID, name scheduler.TeamName, request scheduler.Resources,
) {
	if _, known := quotakeeper.tasks[id]; known {
		return
	}
	quotakeeper.tasks[id] = taskUsage{team: name, request: request}
	t := quotakeeper.team(name)
	t.used, t.lastStart = t.used.Plus(request), now
}

// TaskEnded subtracts the request of a task whose attempt has finished, failed or been evicted from the usage of its
// team.
func (quotakeeper *Quotakeeper) TaskEnded(id scheduler.TaskID) {
	if usage, known := quotakeeper.tasks[id]; known {
		t := quotakeeper.team(usage.team)
		t.used = t.used.Minus(usage.request)
		delete(quotakeeper.tasks, id)
	}
}

// DominantShare returns the highest usage of a team relative to its quota over all resources. A team with a share above
// 1 borrows.
func (quotakeeper *Quotakeeper) DominantShare(name scheduler.TeamName) float64 {
	return quotakeeper.dominantShare(quotakeeper.team(name), scheduler.Resources{})
}

// minQuotaFraction is the lower limit of a quota as a fraction of the fleet. It gives teams without a quota a finite
// share, so that they come after all others and are still ordered among themselves.
const minQuotaFraction = 1e-6

func (quotakeeper *Quotakeeper) dominantShare(t *team, additional scheduler.Resources) float64 {
	used := t.used.Plus(additional)
	ratio := func(used, quota, capacity int64) float64 {
		if used <= 0 {
			return 0
		}
		return float64(used) / max(float64(quota), minQuotaFraction*float64(max(1, capacity)))
	}
	return max(
		ratio(used.MilliCores, t.quota.MilliCores, quotakeeper.capacity.MilliCores),
		ratio(used.MemoryBytes, t.quota.MemoryBytes, quotakeeper.capacity.MemoryBytes),
		ratio(used.Accelerators, t.quota.Accelerators, quotakeeper.capacity.Accelerators),
	)
}

// Order returns at most limit of the pending tasks in the order in which they are to be placed: urgent and
// latency-critical tasks of teams within quota, then the oldest task of each team whose oldest task has waited for the
// aging time and that has started no task within it, then by dominant share. An urgent task of a team that would exceed
// its quota is returned as not urgent, because it could otherwise evict tasks of teams within quota. Every team with a
// task that fits on a worker therefore starts at least one task per aging time.
func (quotakeeper *Quotakeeper) Order(
	now time.Time, pending []scheduler.PendingTask, limit int,
) []scheduler.PendingTask {
	var prioritised, aged []scheduler.PendingTask
	queues := map[scheduler.TeamName]*teamQueue{}
	for _, task := range pending {
		withinQuota := quotakeeper.dominantShare(quotakeeper.team(task.Team), task.Spec.Request) <= 1
		if !withinQuota {
			task.Urgent = false
		}
		switch {
		case task.Urgent || withinQuota && task.Spec.Class == scheduler.ClassLatencyCritical:
			prioritised = append(prioritised, task)
		default:
			if queues[task.Team] == nil {
				queues[task.Team] = &teamQueue{name: task.Team}
			}
			queues[task.Team].tasks = append(queues[task.Team].tasks, task)
		}
	}
	slices.SortStableFunc(prioritised, compareWaitTime)
	for name, q := range queues {
		slices.SortStableFunc(q.tasks, compareWaitTime)
		if q.tasks[0].WaitTime < quotakeeper.aging || now.Sub(quotakeeper.team(name).lastStart) < quotakeeper.aging {
			continue
		}
		aged = append(aged, q.tasks[0])
		if q.tasks = q.tasks[1:]; len(q.tasks) == 0 {
			delete(queues, name)
		}
	}
	slices.SortStableFunc(aged, compareWaitTime)
	order := slices.Concat(prioritised, aged)
	if len(order) >= limit {
		return order[:limit]
	}
	return quotakeeper.fillByShare(order, queues, limit)
}

func compareWaitTime(a, b scheduler.PendingTask) int {
	return cmp.Or(cmp.Compare(b.WaitTime, a.WaitTime), cmp.Compare(a.Task, b.Task))
}

// teamQueue holds the pending tasks of a team and the share that the team would have once the tasks selected so far and
// the next one have started.
type teamQueue struct {
	name          scheduler.TeamName
	tasks         []scheduler.PendingTask
	selected      scheduler.Resources
	dominantShare float64
}

type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, j int) bool {
	return h[i].dominantShare < h[j].dominantShare || h[i].dominantShare == h[j].dominantShare && h[i].name < h[j].name
}
func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *teamHeap) Push(x any) {
	if q, ok := x.(*teamQueue); ok {
		*h = append(*h, q)
	}
}

func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	*h = (*h)[:last]
	return q
}

// fillByShare appends the next task of the team with the lowest share until there are limit tasks.
func (quotakeeper *Quotakeeper) fillByShare(
	order []scheduler.PendingTask, queues map[scheduler.TeamName]*teamQueue, limit int,
) []scheduler.PendingTask {
	teams := make(teamHeap, 0, len(queues))
	for _, q := range queues {
		q.dominantShare = quotakeeper.dominantShare(quotakeeper.team(q.name), q.tasks[0].Spec.Request)
		teams = append(teams, q)
	}
	heap.Init(&teams)
	for len(teams) > 0 && len(order) < limit {
		q := teams[0]
		order = append(order, q.tasks[0])
		q.selected = q.selected.Plus(q.tasks[0].Spec.Request)
		if q.tasks = q.tasks[1:]; len(q.tasks) == 0 {
			heap.Pop(&teams)
			continue
		}
		q.dominantShare = quotakeeper.dominantShare(quotakeeper.team(q.name), q.selected.Plus(q.tasks[0].Spec.Request))
		heap.Fix(&teams, 0)
	}
	return order
}
