package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/rs/zerolog"
)

// Defaults of the engine, from section 6 of the design page.
const (
	defaultLeaseDuration = 15 * time.Second
	// defaultLeaseMargin covers 10% of drift of the worker's clock and 1.5 s for a stop that ends
	// late.
	defaultLeaseMargin = 3 * time.Second
	// defaultGrace is what a task may take to save its work and stop.
	defaultGrace = 4 * time.Second
	// defaultVictimTimeout is when an eviction that is not confirmed is given up and its lease
	// is left to expire.
	defaultVictimTimeout = 6 * time.Second
	// defaultTick is how often leases and pending tasks are looked at. It is a part of the 9 s
	// within which urgent work starts.
	defaultTick = 200 * time.Millisecond
	// defaultReplacementRate limits the tasks that are placed again per second after workers
	// were lost, so that a lost rack does not overload the others with starting tasks.
	defaultReplacementRate = 50
	// expiryPeriod is how often leases are looked at; with 18,700 leases this costs about as much
	// as 100 exchanges, and an expiry 1 s later is safe.
	expiryPeriod = time.Second
	// heardWithin is how recently a worker must have synced to get new work. It allows for three
	// lost exchanges.
	heardWithin = 4 * time.Second
)

// Engine is the part of the dispatcher that acts outside the log. It runs on every VM of the data
// centre and acts only where the leader lease is held. It is safe for concurrent use.
type Engine struct {
	vm              scheduler.VMName
	group           scheduler.Group
	machine         *Machine
	placer          scheduler.Placer
	log             zerolog.Logger
	batcher         *batcher
	usage           func(worker scheduler.WorkerName, reports []scheduler.AttemptUsage)
	ended           func(worker scheduler.WorkerName, attempts []scheduler.EndedAttempt)
	leaseDuration   time.Duration
	leaseMargin     time.Duration
	grace           time.Duration
	victimTimeout   time.Duration
	tick            time.Duration
	replacementRate float64

	// mutex is taken before the locks of the group and of the machine.
	mutex sync.Mutex
	// term is the term in which this engine has taken over.
	term scheduler.Term
	// leases holds what the engine knows of each live lease.
	leases map[scheduler.LeaseNumber]*leaseView
	views  map[scheduler.WorkerName]*view
	// quarantined workers get no new work.
	quarantined map[scheduler.WorkerName]bool

	// placement and expiredAt are used by the goroutine of Run only.
	placement placement
	expiredAt time.Time
}

// leaseView is what the engine knows of a live lease besides the log.
type leaseView struct {
	// deadline is when the attempt surely has ended at its worker.
	deadline time.Time
	// expiring leases are not renewed any more, even if the End operation could not be logged.
	expiring bool
	// stopping is when the worker was first told to stop, zero before.
	stopping  time.Time
	throttled bool
	saving    bool
}

// view is what the engine knows of a worker besides the log.
type view struct {
	incarnation scheduler.Incarnation
	sequence    uint64
	heard       time.Time
}

// Option configures an Engine.
type Option func(*Engine)

// WithLogger sets the logger. The default discards everything.
func WithLogger(log zerolog.Logger) Option { return func(engine *Engine) { engine.log = log } }

// WithUsageHandler sets the function that gets the workers' usage reports. It must not block.
func WithUsageHandler(usage func(worker scheduler.WorkerName, reports []scheduler.AttemptUsage)) Option {
	return func(engine *Engine) { engine.usage = usage }
}

// WithEndedHandler sets the function that gets the ends of attempts that workers reported, once each is
// recorded. It gets none whose outcome of the proposal stayed unknown. It must not block.
func WithEndedHandler(ended func(worker scheduler.WorkerName, attempts []scheduler.EndedAttempt)) Option {
	return func(engine *Engine) { engine.ended = ended }
}

// WithLease sets the duration of leases at the worker and the leader's margin on top of it.
func WithLease(duration, margin time.Duration) Option {
	return func(engine *Engine) { engine.leaseDuration, engine.leaseMargin = duration, margin }
}

// WithRescheduleRate sets how many tasks of lost workers are placed again per second.
func WithRescheduleRate(perSecond float64) Option {
	return func(engine *Engine) { engine.replacementRate = perSecond }
}

// NewEngine returns an engine. group is the data centre's group as the machine sees it, and placer is
// used by this engine only.
func NewEngine(vm scheduler.VMName, group scheduler.Group, machine *Machine, placer scheduler.Placer, options ...Option) *Engine {
	engine := &Engine{
		vm: vm, group: group, machine: machine, placer: placer, log: zerolog.Nop(),
		batcher:       &batcher{group: group, delay: batchDelay},
		usage:         func(scheduler.WorkerName, []scheduler.AttemptUsage) {},
		ended:         func(scheduler.WorkerName, []scheduler.EndedAttempt) {},
		leaseDuration: defaultLeaseDuration, leaseMargin: defaultLeaseMargin, grace: defaultGrace,
		victimTimeout: defaultVictimTimeout, tick: defaultTick, replacementRate: defaultReplacementRate,
	}
	for _, option := range options {
		option(engine)
	}
	engine.quarantined = map[scheduler.WorkerName]bool{}
	engine.placement = newPlacement()
	engine.forget()
	return engine
}

// forget drops everything that was known of workers in an earlier term.
func (engine *Engine) forget() {
	engine.leases = map[scheduler.LeaseNumber]*leaseView{}
	engine.views = map[scheduler.WorkerName]*view{}
}

// Run acts for the data centre until ctx ends, whenever this VM holds the leader lease.
func (engine *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(engine.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := engine.step(ctx); err != nil && ctx.Err() == nil {
			engine.log.Warn().Str("event", "dispatcherStepFailed").Err(err).Str("group", string(engine.group.Name())).Msg("dispatcher step failed")
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

// acts reports whether this engine may act in term now.
func (engine *Engine) acts(term scheduler.Term) bool {
	return term != 0 && engine.term == term && engine.group.HoldsLeaderLease() && engine.group.Status().Term() == term
}

// takeOver logs the term, so that late operations of the old leader's engine are refused, and then
// counts every live lease as renewed now: the old leader may have renewed it until its leader lease
// ended.
func (engine *Engine) takeOver(ctx context.Context, term scheduler.Term) error {
	if err := engine.group.ReadBarrier(ctx); err != nil {
		return Error.Wrap(err)
	}
	results, err := engine.batcher.propose(ctx, []Operation{{Term: term, TakeOver: &TakeOver{VM: engine.vm}}})
	if err != nil {
		return err
	}
	// The operation is refused when an earlier try of this engine was logged although its
	// outcome was unknown.
	if results[0].Outcome == ResultRefused && engine.machine.Term() != term {
		return Error.New("take-over refused: %s", results[0].Reason)
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.forget()
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

// expire ends the attempts whose leases have run out.
func (engine *Engine) expire(ctx context.Context) error {
	now := time.Now()
	if now.Sub(engine.expiredAt) < expiryPeriod {
		return nil
	}
	engine.expiredAt = now
	term, expired := engine.overdue(now)
	if len(expired) == 0 {
		return nil
	}
	var operations []Operation
	for _, lease := range expired {
		operations = append(operations, Operation{Term: term, End: &End{Lease: lease, Outcome: scheduler.AttemptExpired}})
	}
	engine.log.Warn().Str("event", "leasesExpired").Int("leases", len(expired)).Str("group", string(engine.group.Name())).Msg("leases expired")
	_, err := engine.batcher.propose(ctx, operations)
	return err
}

// overdue returns the expired leases in the order of their numbers and keeps the engine's memory in
// step with the live leases.
func (engine *Engine) overdue(now time.Time) (scheduler.Term, []scheduler.LeaseNumber) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.machine.mutex.RLock()
	defer engine.machine.mutex.RUnlock()
	live := engine.machine.leases
	var expired []scheduler.LeaseNumber
	for lease := range live {
		view, ok := engine.leases[lease]
		if !ok {
			engine.renew(lease, now)
		} else if now.After(view.deadline) {
			view.expiring = true
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

// renew counts a lease from now and returns its record, which it creates if necessary.
func (engine *Engine) renew(lease scheduler.LeaseNumber, now time.Time) *leaseView {
	view, ok := engine.leases[lease]
	if !ok {
		view = &leaseView{}
		engine.leases[lease] = view
	}
	view.deadline = now.Add(engine.leaseDuration + engine.leaseMargin)
	return view
}
