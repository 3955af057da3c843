package overseer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/basics/runner"
	"github.com/crocusplank/crocusplank/internal/jobs/admitter"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/pacer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// leadership is what an Overseer knows and does during one term.
type leadership struct {
	overseer *Overseer
	term     scheduler.Term
	context  context.Context
	logger   zerolog.Logger
	// began is when the term of office began.
	began   time.Duration
	workers runner.Runner
	// deposed is set when a worker has seen a higher fencing token, or after a fault.
	deposed atomic.Bool
	// planning is signalled when there may be something to place.
	planning chan struct{}

	mutex sync.Mutex
	// lives holds the current life of each worker.
	lives map[scheduler.WorkerName]*worker
	// places holds the worker that was heard of last in each place.
	places map[place]scheduler.WorkerName
	// recording holds the attempts whose ends are being recorded for a life that is over.
	recording map[scheduler.RunID]bool
	// effects is what was learned of the effect of fill tasks on serving tasks in this term.
	effects *pacer.Interference
	// approvals holds the answers of the approval service, questions what it is to be asked.
	approvals map[stepKey]*approvals
	questions chan question
	journal   journal
	// starved holds the tasks that were placed where they may harm, because nothing of their job ran.
	starved  map[scheduler.StepTaskID]bool
	failures failures
	// maintenance is about VMs that have their maintenance in waves.
	maintenance maintenance
	// admitters hold the load of each pool. observed is when it was last looked at; only plan uses it.
	admitters map[scheduler.PoolName]*admitter.Admitter
	observed  time.Duration
}

// questionQueue bounds the questions that wait for the approval service.
const questionQueue = 64

func newLeadership(ctx context.Context, overseer *Overseer, term scheduler.Term) *leadership {
	leadership := &leadership{
		overseer: overseer, term: term, context: ctx, began: overseer.watch.Elapsed(), planning: make(chan struct{}, 1),
		logger: overseer.logger.With().Uint64("term", uint64(term)).Logger(),
		lives:  map[scheduler.WorkerName]*worker{}, places: map[place]scheduler.WorkerName{}, effects: pacer.NewInterference(),
		approvals: map[stepKey]*approvals{}, questions: make(chan question, questionQueue),
		starved: map[scheduler.StepTaskID]bool{}, journal: newJournal(), failures: newFailures(),
		recording: map[scheduler.RunID]bool{}, maintenance: newMaintenance(), admitters: map[scheduler.PoolName]*admitter.Admitter{},
	}
	leadership.workers.Panicked = leadership.panicked
	leadership.adoptAll()
	leadership.retireOrdered()
	return leadership
}

// panicked ends this leadership after a fault in one of its goroutines. What it knew may be wrong; the next one starts
// from the log.
func (leadership *leadership) panicked(cause any, stack []byte) {
	leadership.logger.Error().Str("event", "leadershipPanicked").Interface("cause", cause).Bytes("stack", stack).
		Msg("a fault ends this leadership")
	leadership.deposed.Store(true)
}

// adoptAll takes over attempts that this leadership has not placed: those of earlier leaders, and those of a
// proposal whose answer was lost. Their leases may have been renewed until just now, so a worker that is not
// heard from is waited for during a whole lease.
func (leadership *leadership) adoptAll() {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		for _, name := range state.Workers() {
			state.VisitRuns(name, leadership.adopt)
		}
	})
}

// adopt adds an attempt to the latest known life of its worker, where it may be even if it was meant for an
// earlier one.
func (leadership *leadership) adopt(run *jobkeeper.Run) {
	life := leadership.lives[run.Worker()]
	switch {
	case life == nil:
		life = newWorker(run.Worker(), run.Instance())
		life.leaseUntil = leadership.fullLease(leadership.now())
		leadership.lives[run.Worker()] = life
	case life.attempts[run.ID()] != nil || leadership.recording[run.ID()]:
		return
	case life.life < run.Instance():
		life = leadership.succeed(life, run.Instance())
	}
	life.attempts[run.ID()] = &attempt{state: attemptUnknown, spec: *run.Task().Step().Spec(), share: fullShare, wantedShare: fullShare}
	life.synced = false
	leadership.watchWorker(life)
}

// lose records the end of an attempt on a life that is over. The mutex is held.
func (leadership *leadership) lose(id scheduler.RunID, worker scheduler.WorkerName, life scheduler.Incarnation) {
	ended := newWorker(worker, life)
	leadership.recording[id] = true
	leadership.workers.Go(func() { leadership.record(ended, []jobkeeper.End{{Run: id, Kind: scheduler.EndLost}}) })
}

// fullShare is the percentage of an attempt that is not throttled.
const fullShare = 100

// fullLease returns when a lease that was renewed at a time has ended for sure.
func (leadership *leadership) fullLease(from time.Duration) time.Duration {
	overseer := leadership.overseer
	return from + time.Duration(float64(overseer.leaseDuration)/(1-overseer.drift)) + leaseMargin
}

func (leadership *leadership) now() time.Duration { return leadership.overseer.watch.Elapsed() }

// mayAct reports whether orders may be sent now.
func (leadership *leadership) mayAct() bool {
	return leadership.context.Err() == nil && !leadership.deposed.Load() && leadership.overseer.group.HoldsLeaderLease()
}

// maySend reports whether an order that was prepared at a time may be sent now. The leader lease is checked after the
// worker's lease was granted: however long the process stood still in between, the worker's lease ends as if the order
// had been sent while this VM led, which is what the next leader waits for. An order that has become old is prepared
// again, because the worker may have begun a later life meanwhile.
func (leadership *leadership) maySend(prepared time.Duration) bool {
	return leadership.mayAct() && leadership.now()-prepared < orderAge
}

// replan asks for a new decision.
func (leadership *leadership) replan() {
	select {
	case leadership.planning <- struct{}{}:
	default:
	}
}

func (leadership *leadership) propose(command jobkeeper.Command) (jobkeeper.Result, error) {
	ctx, cancel := context.WithTimeout(leadership.context, proposeTimeout)
	defer cancel()
	return leadership.overseer.Propose(ctx, command)
}

// succeed replaces a life of a worker by a later one of the same name. An order that was meant for the
// earlier life may have reached the later one, so attempts that the earlier life has not listed, or of which a start is
// still unanswered, are looked for there: the next report shows them, or their start is repeated.
func (leadership *leadership) succeed(earlier *worker, life scheduler.Incarnation) *worker {
	later := newWorker(earlier.name, life)
	for id, unseen := range earlier.attempts {
		settled := unseen.seen && !unseen.exposed && !unseen.unanswered
		if settled || unseen.ending {
			continue
		}
		delete(earlier.attempts, id)
		later.attempts[id] = &attempt{state: attemptUnknown, spec: unseen.spec, approval: unseen.approval, share: fullShare, wantedShare: fullShare}
	}
	later.synced = len(later.attempts) == 0
	// An order to the earlier life that got no answer may still take effect, and its end of the lease lies far
	// ahead by the clock of the later life.
	later.leaseUntil = leadership.fullLease(leadership.now() + lateOrder)
	leadership.endLife(earlier, "a later life of the worker has begun")
	leadership.lives[later.name] = later
	return later
}

// lateOrder is for how long an order that got no answer may still take effect.
const lateOrder = 12 * time.Second

// leave takes the statement of a draining worker that it ends now. One of an earlier life, which arrives
// late, finds a worker that does not drain.
func (leadership *leadership) leave(name scheduler.WorkerName) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	life := leadership.lives[name]
	if life == nil || life.over || life.beat.Phase != scheduler.WorkerDraining {
		return
	}
	life.restedUntil = leadership.now() + time.Hour
	leadership.workers.Go(func() {
		select {
		case <-leadership.context.Done():
			return
		case <-time.After(leaveDelay):
		}
		leadership.mutex.Lock()
		defer leadership.mutex.Unlock()
		if !life.over {
			leadership.endLife(life, "the worker has left")
		}
	})
}

// leaveDelay is how long after its last statement a worker that leaves has ended for sure.
const leaveDelay = time.Second

// endLife records that a life of a worker is over: nothing that was placed on it runs any more. The mutex
// is held.
func (leadership *leadership) endLife(life *worker, reason string) {
	if life.over {
		return
	}
	life.over = true
	delete(leadership.lives, life.name)
	leadership.failures.quarantiner.Remove(life.name)
	leadership.logger.Info().Str("event", "workerLifeOver").Str("worker", string(life.name)).Uint64("life", uint64(life.life)).
		Int("attempts", len(life.attempts)).Str("reason", reason).Msg("attempts on the worker are lost")
	var ends []jobkeeper.End
	for id, attempt := range life.attempts {
		attempt.ending = true
		leadership.recording[id] = true
		ends = append(ends, attempt.end(id, scheduler.EndLost))
	}
	if len(ends) > 0 {
		leadership.workers.Go(func() { leadership.record(life, ends) })
	}
	leadership.replan()
}

// record replicates ends until it succeeds or the term ends.
func (leadership *leadership) record(life *worker, ends []jobkeeper.End) bool {
	for failures := 1; leadership.context.Err() == nil; failures++ {
		_, err := leadership.propose(jobkeeper.Command{End: ends})
		if err == nil {
			leadership.forget(life, ends)
			return true
		}
		leadership.logger.Warn().Str("event", "endsNotRecorded").Str("worker", string(life.name)).Int("ends", len(ends)).
			Err(err).Msg("ends of attempts will be proposed again")
		leadership.pause(retryPause(failures))
	}
	return false
}

func (leadership *leadership) pause(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-leadership.context.Done():
	}
}

// forget removes attempts whose ends are recorded.
func (leadership *leadership) forget(life *worker, ends []jobkeeper.End) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	for _, end := range ends {
		ended := life.attempts[end.Run]
		delete(life.attempts, end.Run)
		leadership.failures.observe(life, ended, end, time.Now())
		delete(leadership.recording, end.Run)
		leadership.overseer.metrics.ended.Inc(1)
		if end.Kind != scheduler.EndFinished {
			leadership.logger.Info().Str("event", "attemptEnded").Stringer("run", end.Run).Str("worker", string(life.name)).
				Str("kind", string(end.Kind)).Bool("checkpoint", end.Checkpoint != "").Msg("attempt ended without result")
		}
	}
	leadership.logEnded(ends)
	leadership.replan()
}
