// Package placer decides which worker runs a task. It is pure decision code: the same updates, times
// and pending tasks give the same decisions.
package placer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("placer")

// Defaults of the options.
const (
	// defaultOvercommit bounds the declared batch processors to 1.5 times what services leave.
	defaultOvercommit = 1.5
	// defaultHarmLimit refuses batch that would raise a neighbour's 99th percentile by over 20%.
	defaultHarmLimit = 0.2
	// defaultPatience is the waiting time after which the harm limit has doubled, so that work
	// that harms every service still starts.
	defaultPatience = 10 * time.Minute
	// defaultHoldTime is how long an assignment stays reserved without an Update that lists it.
	// It covers the commit of the assignment and the stop of its victims.
	defaultHoldTime       = 30 * time.Second
	defaultEvictionBudget = 2
	defaultEvictionWindow = 10 * time.Minute
	// sweepInterval limits how often expired holds and eviction records are looked for.
	sweepInterval = time.Second
)

// Placer implements scheduler.Placer. It is used from one goroutine at a time.
type Placer struct {
	estimator      scheduler.Estimator
	overcommit     float64
	harmLimit      float64
	patience       time.Duration
	holdTime       time.Duration
	evictionBudget int
	evictionWindow time.Duration
	// exhaustiveBelow is the constant of this name; measurements change it.
	exhaustiveBelow int

	hosts     map[scheduler.WorkerName]*host
	pools     map[string]*pool
	poolOrder []*pool
	held      map[scheduler.TaskID]*host
	spreads   map[scheduler.JobID]*spread
	evictions map[scheduler.JobID][]time.Time
	random    *rand.Rand
	swept     time.Time
	harms     map[[2]string]float64
	found     []*host
	refusals  refusals
}

var _ scheduler.Placer = (*Placer)(nil)

// Option changes a Placer that New builds.
type Option func(*Placer)

// WithEstimator sets the source of interference estimates. Without it all pairings count as
// harmless and the least loaded worker is chosen.
func WithEstimator(estimator scheduler.Estimator) Option {
	return func(placer *Placer) { placer.estimator = estimator }
}

// WithOvercommit sets how far the declared processors of batch tasks may exceed the processors that
// services leave, provided that the measured use fits. It is at least 1, which allows none.
func WithOvercommit(bound float64) Option {
	return func(placer *Placer) { placer.overcommit = bound }
}

// WithInterferenceLimit sets the expected rise of a service's 99th latency percentile above which batch
// waits instead of starting next to the service. Patience is the waiting time after which the limit
// has doubled. A limit of 0 switches the mechanism off.
func WithInterferenceLimit(limit float64, patience time.Duration) Option {
	return func(placer *Placer) { placer.harmLimit, placer.patience = limit, patience }
}

// WithReservationTimeout sets how long an assignment stays reserved until an Update lists it.
func WithReservationTimeout(holdTime time.Duration) Option {
	return func(placer *Placer) { placer.holdTime = holdTime }
}

// WithEvictionBudget sets how many tasks of one job may be evicted within a window.
func WithEvictionBudget(count int, window time.Duration) Option {
	return func(placer *Placer) { placer.evictionBudget, placer.evictionWindow = count, window }
}

// New returns a Placer without workers. It returns an error when an option is out of range.
func New(options ...Option) (*Placer, error) {
	placer := &Placer{
		overcommit:     defaultOvercommit,
		harmLimit:      defaultHarmLimit,
		patience:       defaultPatience,
		holdTime:       defaultHoldTime,
		evictionBudget: defaultEvictionBudget,
		evictionWindow: defaultEvictionWindow,

		exhaustiveBelow: exhaustiveBelow,

		hosts:     map[scheduler.WorkerName]*host{},
		pools:     map[string]*pool{},
		held:      map[scheduler.TaskID]*host{},
		spreads:   map[scheduler.JobID]*spread{},
		evictions: map[scheduler.JobID][]time.Time{},
		harms:     map[[2]string]float64{},
		refusals:  refusals{shapes: map[shape]refusedShape{}},
		// The seed is fixed, because decisions must be the same when they are replayed.
		random: rand.New(rand.NewPCG(1, 2)),
	}
	for _, option := range options {
		option(placer)
	}
	switch {
	case placer.overcommit < 1:
		return nil, Error.New("overcommit bound %v is below 1", placer.overcommit)
	case placer.harmLimit < 0 || placer.harmLimit > 0 && placer.patience <= 0:
		return nil, Error.New("harm limit %v with patience %v is out of range", placer.harmLimit, placer.patience)
	case placer.holdTime <= 0:
		return nil, Error.New("hold time %v is not positive", placer.holdTime)
	case placer.evictionBudget < 0 || placer.evictionWindow <= 0:
		return nil, Error.New("eviction budget %d in %v is out of range",
			placer.evictionBudget, placer.evictionWindow)
	}
	return placer, nil
}

// Update implements scheduler.Placer. Measurements of tasks that stay are kept. An assignment of
// Place that the state does not list stays reserved until it is listed, withdrawn or expired.
func (placer *Placer) Update(state scheduler.WorkerState) {
	placer.refusals.forget()
	h := placer.hosts[state.Worker.Name]
	if h == nil {
		h = &host{slot: -1}
		placer.hosts[state.Worker.Name] = h
	}
	for i := range h.tasks {
		placer.unspread(h, &h.tasks[i].PlacedTask)
	}
	for i := range h.holds {
		placer.unspread(h, &h.holds[i].task)
	}
	placer.enlist(h, state.Worker)
	for i := range h.holds {
		placer.spread(h, &h.holds[i].task)
	}
	h.usable = state.Schedulable
	tasks := make([]occupant, len(state.Tasks))
	var listed amount
	for i, task := range state.Tasks {
		tasks[i] = occupant{PlacedTask: task}
		if old := h.occupant(task.Task); old != nil {
			tasks[i].used, tasks[i].measured = old.used, old.measured
			tasks[i].leavingFor = old.leavingFor
		}
		listed = listed.plus(amountOf(task.Spec.Request))
		placer.spread(h, &task)
		if placer.held[task.Task] == h {
			placer.drop(h, task.Task)
		}
	}
	h.tasks = tasks
	h.unlisted = amountOf(state.Reserved).minus(listed).max(amount{})
	placer.refresh(h)
}

// Remove implements scheduler.Placer.
func (placer *Placer) Remove(worker scheduler.WorkerName) {
	h := placer.hosts[worker]
	if h == nil {
		return
	}
	for i := range h.tasks {
		placer.unspread(h, &h.tasks[i].PlacedTask)
	}
	for len(h.holds) > 0 {
		placer.drop(h, h.holds[0].task.Task)
	}
	h.pool.remove(h)
	delete(placer.hosts, worker)
}

// CancelAssignment cancels an assignment that will not be carried out, for example because its entry was
// not committed. It does nothing when an Update has listed the task already.
func (placer *Placer) CancelAssignment(task scheduler.TaskID) {
	h := placer.held[task]
	if h == nil {
		return
	}
	placer.refusals.forget()
	placer.drop(h, task)
	for i := range h.tasks {
		if h.tasks[i].leavingFor == task {
			h.tasks[i].leavingFor = ""
		}
	}
	placer.refresh(h)
}

// Observe takes over the measured processor use of a worker's tasks. A rise counts at once, a fall
// over several reports, so that a short pause of a task does not attract new work.
func (placer *Placer) Observe(report scheduler.UsageReport) {
	placer.refusals.forget()
	h := placer.hosts[report.Worker]
	if h == nil {
		return
	}
	for _, usage := range report.Tasks {
		if o := h.occupant(usage.Task); o != nil {
			o.observe(usage.MilliCores)
		}
	}
	placer.refresh(h)
}

// Place implements scheduler.Placer. Urgent tasks come first, then latency-critical ones, then those
// with the earliest deadline, then those that have waited longest.
func (placer *Placer) Place(
	now time.Time, pending []scheduler.PendingTask,
) ([]scheduler.Assignment, []scheduler.PlacementFailure) {
	placer.refusals.begin(now)
	placer.sweep(now)
	clear(placer.harms)
	order := make([]*scheduler.PendingTask, len(pending))
	for i := range pending {
		order[i] = &pending[i]
	}
	slices.SortStableFunc(order, compareUrgency)
	var assignments []scheduler.Assignment
	var refusals []scheduler.PlacementFailure
	for _, task := range order {
		placer.CancelAssignment(task.Task)
		refusal, isKnown := placer.refusals.known(task)
		if isKnown {
			refusals = append(refusals, refusal)
			continue
		}
		assignment, ok := placer.decide(now, task)
		if ok {
			assignments = append(assignments, assignment)
		} else {
			refusal = placer.refuse(task)
			refusals = append(refusals, refusal)
		}
		placer.refusals.note(task, refusal, !ok)
	}
	return assignments, refusals
}

func compareUrgency(a, b *scheduler.PendingTask) int {
	return cmp.Or(
		-compareBool(a.Urgent, b.Urgent),
		-compareBool(a.Spec.Class == scheduler.ClassLatencyCritical, b.Spec.Class == scheduler.ClassLatencyCritical),
		-compareBool(!a.Deadline.IsZero(), !b.Deadline.IsZero()),
		a.Deadline.Compare(b.Deadline),
		-cmp.Compare(a.WaitTime, b.WaitTime),
		cmp.Compare(a.Task, b.Task),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func (placer *Placer) refresh(h *host) {
	h.refresh(placer.overcommit)
	h.pool.tree.set(h.slot, h.room())
}

// hold reserves an assignment.
func (placer *Placer) hold(h *host, now time.Time, task *scheduler.PendingTask) {
	placed := scheduler.PlacedTask{Task: task.Task, Job: task.Job, Team: task.Team, Spec: task.Spec, Started: now}
	h.holds = append(h.holds, hold{task: placed, since: now})
	placer.held[task.Task] = h
	placer.spread(h, &placed)
	placer.refresh(h)
}

// drop removes a hold without refreshing the sums.
func (placer *Placer) drop(h *host, task scheduler.TaskID) {
	for i := range h.holds {
		if h.holds[i].task.Task == task {
			placer.unspread(h, &h.holds[i].task)
			h.holds = slices.Delete(h.holds, i, i+1)
			break
		}
	}
	delete(placer.held, task)
}

// sweep drops what has expired.
func (placer *Placer) sweep(now time.Time) {
	if now.Sub(placer.swept) < sweepInterval {
		return
	}
	placer.swept = now
	for task, h := range placer.held {
		if now.Sub(h.holdOf(task).since) >= placer.holdTime {
			placer.CancelAssignment(task)
		}
	}
	for job, times := range placer.evictions {
		times = slices.DeleteFunc(times, func(t time.Time) bool { return now.Sub(t) >= placer.evictionWindow })
		if len(times) == 0 {
			delete(placer.evictions, job)
		} else {
			placer.evictions[job] = times
		}
	}
}
