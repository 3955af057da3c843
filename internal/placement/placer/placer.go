// Package placer assigns pending tasks to workers. It is deterministic: the same sequence of updates, times and
// pending tasks yields the same assignments.
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

// Default values of the options.
const (
	// defaultOvercommit limits the requested CPU time of batch tasks to 1.5 times what services leave.
	defaultOvercommit = 1.5
	// defaultInterferenceLimit keeps batch tasks off workers where they would increase the 99th percentile latency
	// of a service by more than 20%.
	defaultInterferenceLimit = 0.2
	// defaultLimitDoublingTime is the wait time after which the interference limit has doubled. The limit grows
	// so that tasks that interfere with every service still start.
	defaultLimitDoublingTime = 10 * time.Minute
	// defaultReservationTimeout is how long an assignment stays reserved without an Update that lists it.
	// It covers the commit of the assignment and the termination of its victims.
	defaultReservationTimeout = 30 * time.Second
	defaultEvictionBudget     = 2
	defaultEvictionWindow     = 10 * time.Minute
	// sweepInterval limits how often expired reservations and eviction records are removed.
	sweepInterval = time.Second
)

// Placer implements scheduler.Placer. It is not safe for concurrent use.
type Placer struct {
	estimator          scheduler.Estimator
	overcommit         float64
	interferenceLimit  float64
	limitDoublingTime  time.Duration
	reservationTimeout time.Duration
	evictionBudget     int
	evictionWindow     time.Duration
	// exhaustiveLimit is maxExhaustiveWorkers, except in benchmarks.
	exhaustiveLimit int

	hosts           map[scheduler.WorkerName]*host
	pools           map[string]*pool
	poolOrder       []*pool
	reservedOn      map[scheduler.TaskID]*host
	spreadCounts    map[scheduler.JobID]*spreadCount
	evictions       map[scheduler.JobID][]time.Time
	random          *rand.Rand
	lastSweep       time.Time
	interferences   map[[2]string]float64
	candidateBuffer []*host
	failureCache    failureCache
}

var _ scheduler.Placer = (*Placer)(nil)

// Option configures a Placer.
type Option func(*Placer)

// WithEstimator sets the source of interference estimates. Without an estimator, interference is taken as zero
// and the least loaded worker is chosen.
func WithEstimator(estimator scheduler.Estimator) Option {
	return func(placer *Placer) { placer.estimator = estimator }
}

// WithOvercommit sets the maximum ratio of the CPU time that batch tasks request to the CPU time that services leave.
// The measured usage must always fit. The minimum of 1 disables overcommitment.
func WithOvercommit(ratio float64) Option {
	return func(placer *Placer) { placer.overcommit = ratio }
}

// WithInterferenceLimit sets the expected relative increase of a service's 99th percentile latency above which a batch
// task waits instead of starting on the service's worker. The limit grows linearly with the wait time of the task and
// has doubled after doublingTime. A limit of 0 disables the check.
func WithInterferenceLimit(limit float64, doublingTime time.Duration) Option {
	return func(placer *Placer) { placer.interferenceLimit, placer.limitDoublingTime = limit, doublingTime }
}

// WithReservationTimeout sets how long an assignment stays reserved until an Update lists it.
func WithReservationTimeout(timeout time.Duration) Option {
	return func(placer *Placer) { placer.reservationTimeout = timeout }
}

// WithEvictionBudget sets how many evictions of tasks of one job are allowed within a sliding window.
func WithEvictionBudget(count int, window time.Duration) Option {
	return func(placer *Placer) { placer.evictionBudget, placer.evictionWindow = count, window }
}

// New returns a Placer without workers, or an error if an option is out of range.
func New(options ...Option) (*Placer, error) {
	placer := &Placer{
		overcommit:         defaultOvercommit,
		interferenceLimit:  defaultInterferenceLimit,
		limitDoublingTime:  defaultLimitDoublingTime,
		reservationTimeout: defaultReservationTimeout,
		evictionBudget:     defaultEvictionBudget,
		evictionWindow:     defaultEvictionWindow,

		exhaustiveLimit: maxExhaustiveWorkers,

		hosts:         map[scheduler.WorkerName]*host{},
		pools:         map[string]*pool{},
		reservedOn:    map[scheduler.TaskID]*host{},
		spreadCounts:  map[scheduler.JobID]*spreadCount{},
		evictions:     map[scheduler.JobID][]time.Time{},
		interferences: map[[2]string]float64{},
		failureCache:  failureCache{classes: map[equivalenceClass]cachedFailure{}},
		// The seed is fixed so that replayed decisions are identical.
		random: rand.New(rand.NewPCG(1, 2)),
	}
	for _, option := range options {
		option(placer)
	}
	switch {
	case placer.overcommit < 1:
		return nil, Error.New("overcommit ratio %v is below 1", placer.overcommit)
	case placer.interferenceLimit < 0 || placer.interferenceLimit > 0 && placer.limitDoublingTime <= 0:
		return nil, Error.New("interference limit %v with doubling time %v is out of range",
			placer.interferenceLimit, placer.limitDoublingTime)
	case placer.reservationTimeout <= 0:
		return nil, Error.New("reservation timeout %v is not positive", placer.reservationTimeout)
	case placer.evictionBudget < 0 || placer.evictionWindow <= 0:
		return nil, Error.New("eviction budget of %d per %v is out of range",
			placer.evictionBudget, placer.evictionWindow)
	}
	return placer, nil
}

// Update implements scheduler.Placer. It keeps the usage measurements of tasks that remain on the worker. An assignment
// made by Place that the state does not list stays reserved until it is listed, cancelled or expired.
func (placer *Placer) Update(state scheduler.WorkerState) {
	placer.failureCache.reset()
	h := placer.hosts[state.Worker.Name]
	if h == nil {
		h = &host{slot: -1}
		placer.hosts[state.Worker.Name] = h
	}
	for i := range h.tasks {
		placer.removeFromSpread(h, &h.tasks[i].PlacedTask)
	}
	for i := range h.reservations {
		placer.removeFromSpread(h, &h.reservations[i].task)
	}
	placer.assignPool(h, state.Worker)
	for i := range h.reservations {
		placer.addToSpread(h, &h.reservations[i].task)
	}
	h.schedulable = state.Schedulable
	tasks := make([]hostedTask, len(state.Tasks))
	var listed amount
	for i, task := range state.Tasks {
		tasks[i] = hostedTask{PlacedTask: task}
		if old := h.hostedTask(task.Task); old != nil {
			tasks[i].measuredCores, tasks[i].measured = old.measuredCores, old.measured
			tasks[i].evictedFor = old.evictedFor
		}
		listed = listed.plus(amountOf(task.Spec.Request))
		placer.addToSpread(h, &task)
		if placer.reservedOn[task.Task] == h {
			placer.release(h, task.Task)
		}
	}
	h.tasks = tasks
	h.unlistedReserved = amountOf(state.Reserved).minus(listed).max(amount{})
	placer.refresh(h)
}

// Remove implements scheduler.Placer.
func (placer *Placer) Remove(worker scheduler.WorkerName) {
	h := placer.hosts[worker]
	if h == nil {
		return
	}
	for i := range h.tasks {
		placer.removeFromSpread(h, &h.tasks[i].PlacedTask)
	}
	for len(h.reservations) > 0 {
		placer.release(h, h.reservations[0].task.Task)
	}
	h.pool.remove(h)
	delete(placer.hosts, worker)
}

// CancelAssignment releases the reservation of an assignment that will not be carried out, for example because its log
// entry was not committed. It does nothing if an Update has already listed the task.
func (placer *Placer) CancelAssignment(task scheduler.TaskID) {
	h := placer.reservedOn[task]
	if h == nil {
		return
	}
	placer.failureCache.reset()
	placer.release(h, task)
	for i := range h.tasks {
		if h.tasks[i].evictedFor == task {
			h.tasks[i].evictedFor = ""
		}
	}
	placer.refresh(h)
}

// Observe records the measured CPU usage of a worker's tasks. An increase takes effect immediately, a decrease over
// several reports, so that tasks are not placed on a worker because of a short pause in its load.
func (placer *Placer) Observe(report scheduler.UsageReport) {
	placer.failureCache.reset()
	h := placer.hosts[report.Worker]
	if h == nil {
		return
	}
	for _, usage := range report.Tasks {
		if hosted := h.hostedTask(usage.Task); hosted != nil {
			hosted.observe(usage.MilliCores)
		}
	}
	placer.refresh(h)
}

// Place implements scheduler.Placer. It handles urgent tasks first, then latency-critical ones, then those with the
// earliest deadline, then those that have waited longest.
func (placer *Placer) Place(
	now time.Time, pending []scheduler.PendingTask,
) ([]scheduler.Assignment, []scheduler.PlacementFailure) {
	placer.failureCache.beginStep(now)
	placer.sweep(now)
	clear(placer.interferences)
	order := make([]*scheduler.PendingTask, len(pending))
	for i := range pending {
		order[i] = &pending[i]
	}
	slices.SortStableFunc(order, compareUrgency)
	var assignments []scheduler.Assignment
	var failures []scheduler.PlacementFailure
	for _, task := range order {
		placer.CancelAssignment(task.Task)
		failure, isCached := placer.failureCache.lookup(task)
		if isCached {
			failures = append(failures, failure)
			continue
		}
		assignment, ok := placer.placeTask(now, task)
		if ok {
			assignments = append(assignments, assignment)
		} else {
			failure = placer.explainFailure(task)
			failures = append(failures, failure)
		}
		placer.failureCache.record(task, failure, !ok)
	}
	return assignments, failures
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
	h.pool.capacityTree.set(h.slot, h.availability())
}

// reserve counts an assignment as reserved on the host until an Update lists it.
func (placer *Placer) reserve(h *host, now time.Time, task *scheduler.PendingTask) {
	placed := scheduler.PlacedTask{Task: task.Task, Job: task.Job, Team: task.Team, Spec: task.Spec, Started: now}
	h.reservations = append(h.reservations, reservation{task: placed, reservedAt: now})
	placer.reservedOn[task.Task] = h
	placer.addToSpread(h, &placed)
	placer.refresh(h)
}

// release removes a reservation. The caller refreshes the totals of the host.
func (placer *Placer) release(h *host, task scheduler.TaskID) {
	for i := range h.reservations {
		if h.reservations[i].task.Task == task {
			placer.removeFromSpread(h, &h.reservations[i].task)
			h.reservations = slices.Delete(h.reservations, i, i+1)
			break
		}
	}
	delete(placer.reservedOn, task)
}

// sweep removes expired reservations and eviction records.
func (placer *Placer) sweep(now time.Time) {
	if now.Sub(placer.lastSweep) < sweepInterval {
		return
	}
	placer.lastSweep = now
	for task, h := range placer.reservedOn {
		if now.Sub(h.reservationOf(task).reservedAt) >= placer.reservationTimeout {
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
