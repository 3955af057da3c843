package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/state/budgeter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Defaults of the engine, from section 6 of the design page.
const (
	defaultLeaseDuration = 15 * time.Second
	// defaultLeaseMargin covers a drift of the worker's clock of 10% and 1.5 s for a stop that completes late.
	defaultLeaseMargin = 3 * time.Second
	// defaultGrace is the time that a task has to save a checkpoint and stop.
	defaultGrace = 4 * time.Second
	// defaultVictimTimeout is the time after which an unconfirmed eviction is abandoned and the lease of the
	// attempt is no longer renewed.
	defaultVictimTimeout = 6 * time.Second
	// defaultStepInterval is the interval at which the engine processes leases and pending tasks. It counts
	// towards the 9 s within which urgent tasks must start.
	defaultStepInterval = 200 * time.Millisecond
	// defaultRescheduleRate limits the tasks of lost workers that are placed again per second, so that the
	// loss of a rack does not overload the other racks with starting tasks.
	defaultRescheduleRate = 50
	// expiryInterval is the interval of the check for expired leases. With 18,700 leases one check costs about
	// as much as 100 sync exchanges. Detecting an expiry up to 1 s late is safe.
	expiryInterval = time.Second
	// workerSyncTimeout is the time since its last sync exchange after which a worker gets no new tasks. It
	// tolerates three lost exchanges.
	workerSyncTimeout = 4 * time.Second
)

// Engine is the part of the dispatcher that is not replicated: it serves the sync exchanges of workers and proposes
// operations to the group. It runs on every VM of the data centre and acts only while that VM holds the leader lease.
// It is safe for concurrent use.
type Engine struct {
	vm             scheduler.VMName
	group          scheduler.Group
	machine        *Machine
	placer         scheduler.Placer
	log            zerolog.Logger
	batcher        *batcher
	usageHandler   func(worker scheduler.WorkerName, reports []scheduler.AttemptUsage)
	endedHandler   func(worker scheduler.WorkerName, attempts []scheduler.EndedAttempt)
	leaseDuration  time.Duration
	leaseMargin    time.Duration
	grace          time.Duration
	victimTimeout  time.Duration
	stepInterval   time.Duration
	rescheduleRate float64
	// budget divides the room of the disk, and usedBytes returns how much of it the files of the group take.
	budget    budgeter.Budget
	usedBytes func() int64

	// mutex must be acquired before the locks of the group and of the machine.
	mutex sync.Mutex
	// term is the term in which this engine last took over.
	term scheduler.Term
	// leases holds the unreplicated state of each live lease.
	leases   map[scheduler.LeaseNumber]*leaseState
	sessions map[scheduler.WorkerName]*workerSession
	// quarantined holds the workers that get no new tasks.
	quarantined map[scheduler.WorkerName]bool

	// placement and lastExpiryCheck are used only by the goroutine of Run.
	placement       placement
	lastExpiryCheck time.Time
}

// leaseState is the unreplicated state of a live lease.
type leaseState struct {
	// deadline is the time after which the attempt has definitely ended on its worker.
	deadline time.Time
	// expiring means that the lease is no longer renewed, even if proposing its End operation failed.
	expiring bool
	// stopRequestedAt is when the worker was first told to stop the attempt. It is zero until then.
	stopRequestedAt time.Time
	// startSentAt is when the start command was first sent, heldSince when it was first held back. They are zero
	// until then, and for attempts that an earlier leader has started.
	startSentAt, heldSince time.Time
	throttled              bool
	checkpointRequested    bool
}

// workerSession is the unreplicated state of the sync exchanges with a worker.
type workerSession struct {
	incarnation scheduler.Incarnation
	sequence    uint64
	lastSync    time.Time
	// previous is the incarnation before the current one, previousSync its last sync and returned the first sync of
	// the current one. They are zero if this leader has seen only one.
	previous               scheduler.Incarnation
	previousSync, returned time.Time
}

// Option configures an Engine.
type Option func(*Engine)

// WithLogger sets the logger. The default discards everything.
func WithLogger(log zerolog.Logger) Option { return func(engine *Engine) { engine.log = log } }

// WithUsageHandler sets the function that is called with the usage reports of the workers. It must not block.
func WithUsageHandler(handler func(worker scheduler.WorkerName, reports []scheduler.AttemptUsage)) Option {
	return func(engine *Engine) { engine.usageHandler = handler }
}

// WithEndedHandler sets the function that is called with the ends of attempts that workers have reported, after they
// have been recorded. It is not called for ends whose proposal has an unknown outcome. It must not block.
func WithEndedHandler(handler func(worker scheduler.WorkerName, attempts []scheduler.EndedAttempt)) Option {
	return func(engine *Engine) { engine.endedHandler = handler }
}

// WithLease sets the duration of leases at the worker and the margin that the leader adds before it considers a lease
// expired.
func WithLease(duration, margin time.Duration) Option {
	return func(engine *Engine) { engine.leaseDuration, engine.leaseMargin = duration, margin }
}

// WithDiskBudget refuses new jobs while the files of the group on the disk of this VM, log and snapshots, take more than
// the budget leaves to new work. usedBytes returns their size. By default there is no limit.
func WithDiskBudget(budget budgeter.Budget, usedBytes func() int64) Option {
	return func(engine *Engine) { engine.budget, engine.usedBytes = budget, usedBytes }
}

// WithRescheduleRate sets the maximum number of tasks of lost workers that are placed again per second.
func WithRescheduleRate(perSecond float64) Option {
	return func(engine *Engine) { engine.rescheduleRate = perSecond }
}

// NewEngine returns an engine. group is the data centre's group whose commands machine applies. placer must be used
// only by this engine.
func NewEngine(
	vm scheduler.VMName, group scheduler.Group, machine *Machine, placer scheduler.Placer, options ...Option,
) *Engine {
	engine := &Engine{
		vm: vm, group: group, machine: machine, placer: placer, log: zerolog.Nop(),
		batcher:       &batcher{group: group, delay: batchDelay},
		usageHandler:  func(scheduler.WorkerName, []scheduler.AttemptUsage) {},
		endedHandler:  func(scheduler.WorkerName, []scheduler.EndedAttempt) {},
		usedBytes:     func() int64 { return 0 },
		leaseDuration: defaultLeaseDuration, leaseMargin: defaultLeaseMargin, grace: defaultGrace,
		victimTimeout: defaultVictimTimeout, stepInterval: defaultStepInterval, rescheduleRate: defaultRescheduleRate,
	}
	for _, option := range options {
		option(engine)
	}
	engine.quarantined = map[scheduler.WorkerName]bool{}
	engine.placement = newPlacement()
	engine.clearSessions()
	return engine
}

// clearSessions discards the unreplicated state of leases and workers from an earlier term.
func (engine *Engine) clearSessions() {
	engine.leases = map[scheduler.LeaseNumber]*leaseState{}
	engine.sessions = map[scheduler.WorkerName]*workerSession{}
}

// Run runs the engine until ctx ends. Its steps have an effect only while this VM holds the leader lease.
func (engine *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(engine.stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := engine.step(ctx); err != nil && ctx.Err() == nil {
			engine.log.Warn().Str("event", "dispatcherStepFailed").Err(err).Str("group", string(engine.group.Name())).
				Msg("dispatcher step failed")
		}
	}
}

func (engine *Engine) step(ctx context.Context) error {
	if !engine.group.HoldsLeaderLease() {
		return nil
	}
	if term := engine.group.Status().Term(); term != engine.actingTerm() {
		if err := engine.takeOver(ctx, term); err != nil {
			return err
		}
	}
	if err := engine.expire(ctx); err != nil {
		return err
	}
	return engine.place(ctx)
}

func (engine *Engine) actingTerm() scheduler.Term {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.term
}

// mayAct reports whether this engine has taken over in term and this VM still leads in it.
func (engine *Engine) mayAct(term scheduler.Term) bool {
	return term != 0 && engine.term == term && engine.group.HoldsLeaderLease() && engine.group.Status().Term() == term
}

// takeOver proposes the new term, so that late operations of the previous leader's engine are refused. It then treats
// every live lease as renewed now, because the previous leader may have renewed it until its leader lease ended.
func (engine *Engine) takeOver(ctx context.Context, term scheduler.Term) error {
	if err := engine.group.ReadBarrier(ctx); err != nil {
		return Error.Wrap(err)
	}
	results, err := engine.batcher.propose(ctx, []Operation{{Term: term, TakeOver: &TakeOver{VM: engine.vm}}})
	if err != nil {
		return err
	}
	// The operation is refused if an earlier attempt of this engine was committed although its outcome was
	// unknown.
	if results[0].Outcome == ResultRefused && engine.machine.Term() != term {
		return Error.New("take-over refused: %s", results[0].Reason)
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.clearSessions()
	engine.placement = newPlacement()
	now := time.Now()
	for _, lease := range engine.machine.liveLeases() {
		engine.renew(lease, now)
	}
	engine.machine.markAllChanged()
	engine.term = term
	engine.log.Info().Str("event", "dispatcherTookOver").Uint64("term", uint64(term)).Int("leases", len(engine.leases)).
		Str("group", string(engine.group.Name())).Msg("dispatcher took over")
	return nil
}

// expire ends the attempts whose leases have expired.
func (engine *Engine) expire(ctx context.Context) error {
	now := time.Now()
	if now.Sub(engine.lastExpiryCheck) < expiryInterval {
		return nil
	}
	engine.lastExpiryCheck = now
	term, expired := engine.expiredLeases(now)
	if len(expired) == 0 {
		return nil
	}
	var operations []Operation
	for _, lease := range expired {
		operations = append(operations, Operation{Term: term, End: &End{Lease: lease, Outcome: scheduler.AttemptExpired}})
	}
	engine.log.Warn().Str("event", "leasesExpired").Int("leases", len(expired)).Str("group", string(engine.group.Name())).
		Msg("leases expired")
	_, err := engine.batcher.propose(ctx, operations)
	return err
}

// expiredLeases returns the sorted numbers of the expired leases. It also adds missing live leases to engine.leases
// and removes those that are no longer live.
func (engine *Engine) expiredLeases(now time.Time) (scheduler.Term, []scheduler.LeaseNumber) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.machine.mutex.RLock()
	defer engine.machine.mutex.RUnlock()
	live := engine.machine.leases
	var expired []scheduler.LeaseNumber
	for lease := range live {
		leaseState, ok := engine.leases[lease]
		if !ok {
			engine.renew(lease, now)
		} else if now.After(leaseState.deadline) {
			leaseState.expiring = true
			expired = append(expired, lease)
		}
	}
	for lease := range engine.leases {
		if _, ok := live[lease]; !ok {
			delete(engine.leases, lease)
		}
	}
	slices.Sort(expired)
	return engine.term, expired
}

// renew restarts the duration of a lease at now and returns its state, which it creates if necessary.
func (engine *Engine) renew(lease scheduler.LeaseNumber, now time.Time) *leaseState {
	state, ok := engine.leases[lease]
	if !ok {
		state = &leaseState{}
		engine.leases[lease] = state
	}
	state.deadline = now.Add(engine.leaseDuration + engine.leaseMargin)
	return state
}
