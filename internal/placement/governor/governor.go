// Package governor connects the placement components to the dispatcher: the placer, the interference estimator,
// the latency controller, worker quarantine and team quotas. The dispatcher's engine uses it as its placer and
// executes its actions.
package governor

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/placement/controller"
	"github.com/crocusplank/crocusplank/internal/placement/estimator"
	"github.com/crocusplank/crocusplank/internal/placement/placer"
	"github.com/crocusplank/crocusplank/internal/placement/quarantiner"
	"github.com/crocusplank/crocusplank/internal/placement/quotakeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("governor")

// Governor implements scheduler.Placer. It is safe for concurrent use.
//
// Lock order: the engine's mutex, which the engine holds when it calls Remove, then the governor's mutex, then the
// locks of the group. The governor must therefore not call the engine while it holds its own mutex.
type Governor struct {
	group scheduler.Group
	log   zerolog.Logger

	mutex         sync.Mutex
	estimator     *estimator.Estimator
	estimateCache *estimateCache
	placer        *placer.Placer
	revision      scheduler.Revision
	teams         map[scheduler.TeamName]scheduler.Team
	evictions     map[EvictionCause]uint64
	// quarantined holds the quarantine state last sent to the engine. It is kept across terms because the engine
	// keeps its state across terms too.
	quarantined map[scheduler.WorkerName]bool

	// The fields below are reset when the term changes.
	term        scheduler.Term
	termStart   time.Time
	controller  *controller.Controller
	quarantiner *quarantiner.Quarantiner
	quotas      quotas
	leaseTable  leaseTable
	// failures holds the time of the last failure of each job. It determines when the job's outcomes are removed
	// from the quarantiner.
	failures map[scheduler.JobID]time.Time
	removals map[scheduler.WorkerName]*removal
}

var _ scheduler.Placer = (*Governor)(nil)

// Option configures a Governor.
type Option func(*Governor)

// WithLogger sets the logger. By default, nothing is logged.
func WithLogger(log zerolog.Logger) Option { return func(governor *Governor) { governor.log = log } }

// New returns a Governor for the data centre's group.
func New(group scheduler.Group, options ...Option) (*Governor, error) {
	governor := &Governor{
		group: group, log: zerolog.Nop(), estimator: estimator.New(),
		teams: map[scheduler.TeamName]scheduler.Team{}, evictions: map[EvictionCause]uint64{},
		quarantined: map[scheduler.WorkerName]bool{},
	}
	for _, option := range options {
		option(governor)
	}
	governor.estimateCache = &estimateCache{Estimator: governor.estimator}
	var err error
	if governor.placer, err = placer.New(placer.WithEstimator(governor.estimateCache)); err != nil {
		return nil, Error.Wrap(err)
	}
	return governor, Error.Wrap(governor.reset(0))
}

// reset clears the per-term state at the start of a term. The engine lists the running tasks again through Update
// after a change of leader. Usage reports from before the start of the term do not trigger actions, because the
// previous leader may already have acted on them.
func (governor *Governor) reset(term scheduler.Term) error {
	control, err := controller.New(governor.estimator)
	if err != nil {
		return err
	}
	quarantine, err := quarantiner.New()
	if err != nil {
		return err
	}
	keeper, err := quotakeeper.New(scheduler.Resources{})
	if err != nil {
		return err
	}
	governor.term, governor.termStart = term, time.Now()
	governor.controller, governor.quarantiner = control, quarantine
	governor.quotas = newQuotas(keeper)
	for _, team := range governor.teams {
		keeper.SetQuota(team.Name, team.Quota)
	}
	governor.leaseTable = newLeaseTable()
	governor.failures = map[scheduler.JobID]time.Time{}
	governor.removals = map[scheduler.WorkerName]*removal{}
	return nil
}

// syncTerm resets the per-term state when the term of the group has changed.
func (governor *Governor) syncTerm() {
	term := governor.group.Status().Term()
	if term == governor.term {
		return
	}
	if err := governor.reset(term); err != nil {
		governor.log.Error().Str("event", "governorNotReset").Err(err).Msg("failed to reset the governor for a new term")
	}
}

// Update implements scheduler.Placer.
func (governor *Governor) Update(state scheduler.WorkerState) {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.syncTerm()
	governor.placer.Update(state)
	governor.quarantiner.Add(state.Worker.Name)
	governor.updateWorker(state)
}

// Remove implements scheduler.Placer.
func (governor *Governor) Remove(worker scheduler.WorkerName) {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.syncTerm()
	governor.placer.Remove(worker)
	governor.controller.Remove(worker)
	governor.quarantiner.Remove(worker)
	if old, known := governor.leaseTable.states[worker]; known {
		old.Tasks = nil
		governor.updateWorker(old)
		governor.quotas.updateCapacity(old.Worker.Capacity, scheduler.Resources{})
		delete(governor.leaseTable.states, worker)
	}
}

// Place implements scheduler.Placer. It rejects tasks of faulty jobs, and tasks that would exceed the quota of a
// team that may not borrow. It places the other tasks in the order given by the quotas.
func (governor *Governor) Place(
	now time.Time, pending []scheduler.PendingTask,
) ([]scheduler.Assignment, []scheduler.PlacementFailure) {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.syncTerm()
	pending, rejections := governor.rejectFaultyJobs(now, pending)
	assignments, failures := governor.placeByQuota(now, pending)
	for _, assignment := range assignments {
		if len(assignment.Evict) > 0 {
			governor.evictions[CauseUrgent] += uint64(len(assignment.Evict))
		}
	}
	return assignments, append(rejections, failures...)
}

// estimateCache caches interference estimates between usage reports. Placing by quota calls the placer once per
// task, and the placer caches estimates only for the duration of one call.
type estimateCache struct {
	*estimator.Estimator
	estimates map[scheduler.Colocation]scheduler.Estimate
}

// Interference implements scheduler.Estimator.
func (estimateCache *estimateCache) Interference(colocation scheduler.Colocation) scheduler.Estimate {
	estimate, ok := estimateCache.estimates[colocation]
	if !ok {
		estimate = estimateCache.Estimator.Interference(colocation)
		if estimateCache.estimates == nil {
			estimateCache.estimates = map[scheduler.Colocation]scheduler.Estimate{}
		}
		estimateCache.estimates[colocation] = estimate
	}
	return estimate
}

// invalidate clears the cache. It is called after each usage report.
func (estimateCache *estimateCache) invalidate() { estimateCache.estimates = nil }
