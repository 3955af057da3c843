// Package governor joins the parts that decide on placement to the running system: placement,
// interference, the control loop, quarantine and quotas. The dispatcher's engine asks it as its placer
// and carries out its actions.
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
// Its mutex is taken after the engine's, which is held when the engine calls Remove, and before the
// locks of the group. The governor therefore never calls the engine with its own mutex held.
type Governor struct {
	group scheduler.Group
	log   zerolog.Logger

	mutex     sync.Mutex
	estimator *estimator.Estimator
	harms     *harms
	placer    *placer.Placer
	revision  scheduler.Revision
	teams     map[scheduler.TeamName]scheduler.Team
	evictions map[EvictionCause]uint64
	// quarantined holds what the engine was last told. It outlives a term, because the engine's
	// record does so as well.
	quarantined map[scheduler.WorkerName]bool

	// What follows is dropped when the term changes.
	term        scheduler.Term
	since       time.Time
	controller  *controller.Controller
	quarantiner *quarantiner.Quarantiner
	quotas      quotas
	ledger      ledger
	// failures holds the time of the last failure of each job, for the sweep of the quarantiner.
	failures map[scheduler.JobID]time.Time
	removals map[scheduler.WorkerName]*removal
}

var _ scheduler.Placer = (*Governor)(nil)

// Option changes a Governor that New builds.
type Option func(*Governor)

// WithLogger sets the logger. The default discards everything.
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
	governor.harms = &harms{Estimator: governor.estimator}
	var err error
	if governor.placer, err = placer.New(placer.WithEstimator(governor.harms)); err != nil {
		return nil, Error.Wrap(err)
	}
	return governor, Error.Wrap(governor.reset(0))
}

// reset begins a term. What the workers run is listed again by the Updates that follow a take-over;
// reports of what happened before it do not lead to actions, because the earlier leader may have
// acted on them.
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
	governor.term, governor.since = term, time.Now()
	governor.controller, governor.quarantiner = control, quarantine
	governor.quotas = newQuotas(keeper)
	for _, team := range governor.teams {
		keeper.SetQuota(team.Name, team.Quota)
	}
	governor.ledger = newLedger()
	governor.failures = map[scheduler.JobID]time.Time{}
	governor.removals = map[scheduler.WorkerName]*removal{}
	return nil
}

// follow resets the governor when the group has a new term.
func (governor *Governor) follow() {
	term := governor.group.Status().Term()
	if term == governor.term {
		return
	}
	if err := governor.reset(term); err != nil {
		governor.log.Error().Str("event", "governorNotReset").Err(err).Msg("governor not reset")
	}
}

// Update implements scheduler.Placer.
func (governor *Governor) Update(state scheduler.WorkerState) {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.follow()
	governor.placer.Update(state)
	governor.quarantiner.Add(state.Worker.Name)
	governor.record(state)
}

// Remove implements scheduler.Placer.
func (governor *Governor) Remove(worker scheduler.WorkerName) {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.follow()
	governor.placer.Remove(worker)
	governor.controller.Remove(worker)
	governor.quarantiner.Remove(worker)
	if old, known := governor.ledger.states[worker]; known {
		old.Tasks = nil
		governor.record(old)
		governor.quotas.resize(old.Worker.Capacity, scheduler.Resources{})
		delete(governor.ledger.states, worker)
	}
}

// Place implements scheduler.Placer. It refuses tasks of hopeless jobs and of teams beyond quota that
// may not borrow, and asks for the others in the order of the quotas.
func (governor *Governor) Place(
	now time.Time, pending []scheduler.PendingTask,
) ([]scheduler.Assignment, []scheduler.PlacementFailure) {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.follow()
	pending, refusals := governor.withoutHopeless(now, pending)
	assignments, more := governor.placeByQuota(now, pending)
	for _, assignment := range assignments {
		if len(assignment.Evict) > 0 {
			governor.evictions[CauseUrgent] += uint64(len(assignment.Evict))
		}
	}
	return assignments, append(refusals, more...)
}

// harms keeps the estimates between reports, because placing by quota asks the placer for one task at a
// time and the placer's own memory lasts for one call.
type harms struct {
	*estimator.Estimator
	known map[scheduler.Colocation]scheduler.Estimate
}

// Interference implements scheduler.Estimator.
func (harms *harms) Interference(pairing scheduler.Colocation) scheduler.Estimate {
	estimate, ok := harms.known[pairing]
	if !ok {
		estimate = harms.Estimator.Interference(pairing)
		if harms.known == nil {
			harms.known = map[scheduler.Colocation]scheduler.Estimate{}
		}
		harms.known[pairing] = estimate
	}
	return estimate
}

// forget drops the estimates after a report.
func (harms *harms) forget() { harms.known = nil }
