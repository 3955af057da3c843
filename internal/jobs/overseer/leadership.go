package overseer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/basics/runner"
	"github.com/crocusplank/crocusplank/internal/basics/suppressor"
	"github.com/crocusplank/crocusplank/internal/jobs/admitter"
	"github.com/crocusplank/crocusplank/internal/jobs/crashclassifier"
	"github.com/crocusplank/crocusplank/internal/jobs/forecaster"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/leaserecorder"
	"github.com/crocusplank/crocusplank/internal/jobs/pacer"
	"github.com/crocusplank/crocusplank/internal/jobs/waitwatcher"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// leadership is the state and the activity of an Overseer during one term.
type leadership struct {
	overseer *Overseer
	term     scheduler.Term
	context  context.Context
	logger   zerolog.Logger
	// startedAt is when the leadership started.
	startedAt  time.Duration
	goroutines runner.Runner
	// deposed is set when a worker or the platform has seen a higher fencing token, or after a panic. It ends the
	// leadership.
	deposed atomic.Bool
	// panicked is set if a panic ended the leadership.
	panicked atomic.Bool
	// progress is what the watcher of the Overseer observes.
	progress progress
	// replanSignal requests a planning cycle.
	replanSignal chan struct{}

	mutex sync.Mutex
	// instances holds the current instance of each worker.
	instances map[scheduler.WorkerName]*worker
	// occupants holds the worker that was seen most recently at each location.
	occupants map[location]scheduler.WorkerName
	// adopted holds the workers whose attempts were adopted, by their recorded locations.
	adopted map[location][]scheduler.WorkerName
	// pendingEnds holds the attempts of ended instances whose ends have not been recorded yet.
	pendingEnds map[scheduler.RunID]bool
	lookAhead   lookAhead
	// interference is the effect of fill tasks on serving tasks, as observed during this term.
	interference *pacer.Interference
	// approvals holds the responses of the approval service. approvalRequests holds the requests to be sent.
	approvals        map[stepKey]*approvals
	approvalRequests chan approvalRequest
	// approvalCandidates is cleared at the start of each decision.
	approvalCandidates approvalCandidates
	jobLog             jobLog
	waitWatcher        *waitwatcher.Watcher
	// planning holds the durations of the planning cycles since the last load event; only plan uses it.
	planning planningTimes
	// starved holds all tasks of the groups that the last planning cycle found starved, from before their placement
	// on. A task is removed when its attempt is launched; the next planning cycle clears the rest.
	starved        map[scheduler.StepTaskID]bool
	failureTracker failureTracker
	// maintenance is the state of maintenance waves.
	maintenance maintenance
	evacuations evacuations
	// guardedPools holds the pools whose workers reject what exceeds their capacity.
	guardedPools map[scheduler.PoolName]bool
	// admitters hold the load of each pool. loadObservedAt is when they were last updated; only plan uses it.
	admitters      map[scheduler.PoolName]*admitter.Admitter
	loadObservedAt time.Duration
	// pendingAdmissions holds the jobs with long-running tasks that this leadership has admitted and that were not stored
	// when the load was last observed.
	pendingAdmissions map[scheduler.JobID]pendingAdmission
	// runTimes predicts run times from the attempts that ended during this term.
	runTimes *forecaster.Forecaster
	// speculation is the state of copies of running tasks.
	speculation speculation
	// backlogAdmitters predict for each pool when a submitted job would finish. forecastsObservedAt is when they were last
	// updated.
	backlogAdmitters    map[scheduler.PoolName]*admitter.BacklogAdmitter
	forecastsObservedAt time.Duration
	// packedWorkers holds for each pool what the waiting tasks cannot use.
	packedWorkers map[scheduler.PoolName]*packedWorkers
	isolationLog  isolationLog
	// suspectsSince holds since when each waiting suspect has been waiting.
	suspectsSince map[scheduler.StepTaskID]time.Duration
	crashes       crashes
	// leaseRecorder holds the leases that must not be extended. leaseSignal requests a record of them.
	leaseRecorder *leaserecorder.Recorder
	leaseSignal   chan struct{}
	// beginnings holds the jobs that have begun and are not recorded as such.
	beginnings *beginnings
	// repeatedWarnings bounds the log lines about failed proposals.
	repeatedWarnings *suppressor.Suppressor
}

// approvalQueueSize is the maximum number of queued requests to the approval service.
const approvalQueueSize = 64

func newLeadership(ctx context.Context, overseer *Overseer, term scheduler.Term) *leadership {
	leadership := &leadership{
		overseer: overseer, term: term, context: ctx, startedAt: overseer.clock.Elapsed(),
		replanSignal: make(chan struct{}, 1),
		logger:       overseer.logger.With().Uint64("term", uint64(term)).Logger(),
		lookAhead:    newLookAhead(),
		instances:    map[scheduler.WorkerName]*worker{}, occupants: map[location]scheduler.WorkerName{},
		adopted:      map[location][]scheduler.WorkerName{},
		interference: pacer.NewInterference(),
		approvals:    map[stepKey]*approvals{}, approvalRequests: make(chan approvalRequest, approvalQueueSize),
		approvalCandidates: approvalCandidates{},
		starved:            map[scheduler.StepTaskID]bool{}, jobLog: newJobLog(), waitWatcher: waitwatcher.New(), failureTracker: newFailureTracker(),
		pendingEnds: map[scheduler.RunID]bool{}, maintenance: newMaintenance(),
		evacuations: newEvacuations(), guardedPools: map[scheduler.PoolName]bool{}, runTimes: forecaster.New(),
		admitters:         map[scheduler.PoolName]*admitter.Admitter{},
		pendingAdmissions: map[scheduler.JobID]pendingAdmission{},
		backlogAdmitters:  map[scheduler.PoolName]*admitter.BacklogAdmitter{},
		packedWorkers:     map[scheduler.PoolName]*packedWorkers{}, crashes: newCrashes(),
		repeatedWarnings: suppressor.New(repeatedWarningInterval), leaseSignal: make(chan struct{}, 1),
		beginnings: newBeginnings(),
	}
	leadership.leaseRecorder = leaserecorder.New(overseer.leaseRecords.term.Load() == uint64(term))
	leadership.speculation = newSpeculation(leadership.runTimes)
	leadership.goroutines.OnPanic = leadership.handlePanic
	leadership.adoptAll()
	leadership.inheritLeases()
	leadership.evacuateOrdered()
	return leadership
}

// handlePanic ends this leadership after a panic in one of its goroutines. Its state may be inconsistent; the next
// leadership starts from the log.
func (leadership *leadership) handlePanic(cause any, stack []byte) {
	leadership.logger.Error().Str("event", "leadershipPanicked").Interface("cause", cause).Bytes("stack", stack).
		Msg("panic in a goroutine; the leadership ends")
	leadership.panicked.Store(true)
	leadership.deposed.Store(true)
}

// adoptAll takes over attempts from the log that this leadership has not launched: those of earlier leaders, and
// those of a proposal whose response was lost. Their leases may have been renewed until now, so an unresponsive
// worker's attempts are kept for a whole lease.
func (leadership *leadership) adoptAll() {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		for _, name := range state.Workers() {
			state.VisitRuns(name, leadership.adopt)
			if recorded, known := state.Location(name); known {
				leadership.adoptLocation(&recorded)
			}
		}
	})
}

// adopt adds an attempt to the latest known instance of its worker. The attempt may be running there even if its
// start order was sent to an earlier instance. An attempt whose end is being recorded is not adopted: once the end is in
// the log, its task is placed again.
func (leadership *leadership) adopt(run *jobkeeper.Run) {
	if leadership.pendingEnds[run.ID()] {
		return
	}
	instance := leadership.instances[run.Worker()]
	switch {
	case instance == nil:
		instance = newWorker(run.Worker(), run.Instance())
		instance.leaseExpiry = leadership.leaseExpiryFrom(leadership.now())
		leadership.instances[run.Worker()] = instance
	case instance.attempts[run.ID()] != nil:
		return
	case instance.incarnation < run.Instance():
		instance = leadership.replaceInstance(instance, run.Instance())
	}
	instance.attempts[run.ID()] = &attempt{
		state: attemptUnknown, mayHaveStarted: true, adopted: true, mark: run.Mark(), spec: *run.Task().Step().Spec(),
		share: fullShare, targetShare: fullShare, shareUnknown: run.Task().Step().Spec().Fill,
		times: attemptTimes{placedAt: leadership.now()}, suspect: isSuspect(run.Task()),
	}
	instance.synced = false
	leadership.ensureRenewal(instance)
}

// stopUnrecorded stops attempts that the log no longer holds although this leadership has not recorded their ends: a
// proposal of a former leader may be committed late. An attempt must be missing in two successive calls, because the end
// of one member of a gang removes all members from the log before the workers of the others report it.
func (leadership *leadership) stopUnrecorded() {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		for _, instance := range leadership.instances {
			for id, attempt := range instance.attempts {
				_, recorded := state.Run(instance.name, id)
				if !recorded && !attempt.recordingEnd && attempt.unrecorded && instance.hasHeartbeat {
					leadership.stopAttempt(instance, id, "its end is recorded already")
				}
				attempt.unrecorded = !recorded
			}
		}
	})
}

// recordLost records the loss of an attempt on an instance that has ended. The mutex must be held.
func (leadership *leadership) recordLost(
	id scheduler.RunID, worker scheduler.WorkerName, incarnation scheduler.Incarnation,
) {
	ended := newWorker(worker, incarnation)
	leadership.pendingEnds[id] = true
	leadership.goroutines.Go(func() { leadership.recordEnds(ended, []jobkeeper.End{{Run: id, Kind: scheduler.EndLost}}) })
}

// fullShare is the percentage at which an attempt runs when it is not throttled.
const fullShare = 100

// leaseExpiryFrom returns the latest time at which a lease that was renewed at the given time expires.
func (leadership *leadership) leaseExpiryFrom(from time.Duration) time.Duration {
	overseer := leadership.overseer
	return from + time.Duration(float64(overseer.leaseDuration)/(1-overseer.clockDrift)) + leaseMargin
}

func (leadership *leadership) now() time.Duration { return leadership.overseer.clock.Elapsed() }

// mayAct reports whether orders may be sent now.
func (leadership *leadership) mayAct() bool {
	return leadership.context.Err() == nil && !leadership.deposed.Load() && leadership.overseer.group.HoldsLeaderLease()
}

// maySend reports whether an order that was prepared at the given time may still be sent. The leader lease is checked
// after the worker's lease was granted: even if the process was stalled in between, the worker's lease ends as if the
// order had been sent while this VM led, and the next leader waits for that. An order older than maxOrderAge must be
// prepared again, because a later instance of the worker may have started in the meantime.
func (leadership *leadership) maySend(prepared time.Duration) bool {
	return leadership.mayAct() && leadership.now()-prepared < maxOrderAge
}

// replan requests a planning cycle.
func (leadership *leadership) replan() {
	select {
	case leadership.replanSignal <- struct{}{}:
	default:
	}
}

// propose replicates a command. A command that no VM can apply is an error: ends that were not recorded must not be
// acknowledged.
func (leadership *leadership) propose(command jobkeeper.Command) (jobkeeper.Result, error) {
	ctx, cancel := context.WithTimeout(leadership.context, proposeTimeout)
	defer cancel()
	result, err := leadership.overseer.Propose(ctx, command)
	if err == nil && result.Status == jobkeeper.StatusInvalid {
		err = scheduler.ErrNotRun.Wrap(Error.New("the command cannot be applied"))
	}
	return result, err
}

// replaceInstance replaces an instance of a worker with a later one of the same name. Attempts that the earlier instance
// never reported, or whose start order is still unanswered, are carried over: the next report shows whether they run, and
// if not, their start order is repeated.
func (leadership *leadership) replaceInstance(earlier *worker, incarnation scheduler.Incarnation) *worker {
	later := newWorker(earlier.name, incarnation)
	decision := leadership.classifyEnding(earlier, true)
	leadership.recordCarried(earlier, decision)
	for id, candidate := range earlier.attempts {
		if !candidate.mayReachNextInstance() {
			continue
		}
		delete(earlier.attempts, id)
		later.attempts[id] = &attempt{
			state: attemptUnknown, mayHaveStarted: true, adopted: candidate.adopted, spec: candidate.spec,
			// If the later instance carries out the order and crashes, the attempt must be blamed.
			startUnanswered: candidate.startUnanswered || candidate.startOutstanding,
			withdrawn:       candidate.withdrawn || decision.Kind(id) != scheduler.EndLost,
			approval:        candidate.approval, share: fullShare, targetShare: fullShare, times: attemptTimes{placedAt: candidate.times.placedAt},
		}
	}
	later.synced = len(later.attempts) == 0
	later.leaseExpiry = leadership.leaseExpiryFrom(leadership.now() + earlier.lateOrderTime())
	leadership.endClassified(earlier, "a later instance of the worker has started", decision)
	leadership.instances[later.name] = later
	return later
}

// lateOrderWindow is how long an unanswered order may still take effect.
const lateOrderWindow = 12 * time.Second

// lateOrderTime returns for how long an unanswered order to the instance may still take effect on the next one, whose lease it
// would then extend: its lease end is far ahead on that one's clock. Only orders that name no incarnation can, see
// scheduler.WorkerClient.
func (worker *worker) lateOrderTime() time.Duration {
	if worker.incarnation == 0 {
		return lateOrderWindow
	}
	return 0
}

// endInstance marks a worker instance as ended because a later one has started: none of its attempts is running any more.
// The mutex must be held.
func (leadership *leadership) endInstance(instance *worker, reason string) {
	if !instance.ended {
		leadership.endClassified(instance, reason, leadership.classifyEnding(instance, true))
	}
}

// endClassified marks a worker instance as ended. The mutex must be held.
func (leadership *leadership) endClassified(instance *worker, reason string, decision crashclassifier.Decision) {
	if instance.ended {
		return
	}
	instance.ended = true
	leadership.observeEnding(instance, decision)
	delete(leadership.instances, instance.name)
	leadership.failureTracker.quarantiner.Remove(instance.name)
	leadership.logger.Info().Str("event", "workerLifeOver").Str("worker", string(instance.name)).
		Uint64("life", uint64(instance.incarnation)).
		Int("attempts", len(instance.attempts)).Str("reason", reason).Msg("worker instance ended; its attempts are lost")
	marks := instance.takeUnblamedMarks(decision)
	var ends []jobkeeper.End
	for id, attempt := range instance.attempts {
		attempt.recordingEnd = true
		leadership.pendingEnds[id] = true
		ends = append(ends, attempt.end(id, decision.Kind(id)))
	}
	if len(ends) > 0 {
		leadership.goroutines.Go(func() {
			// A mark that is still in the log would blame an attempt whose end is only a loss.
			if len(marks) == 0 || leadership.commitMarks(marks) {
				leadership.recordEnds(instance, ends)
			}
		})
	}
	leadership.replan()
}

// recordEndBatch proposes the attempt ends of one command until they are committed or the term ends.
func (leadership *leadership) recordEndBatch(instance *worker, ends []jobkeeper.End) bool {
	for failures := 1; leadership.context.Err() == nil; failures++ {
		_, err := leadership.proposeWithBeginnings(jobkeeper.Command{
			End: ends, Evidence: evidenceOf(leadership, ends, runOfEnd),
		})
		if err == nil {
			leadership.removeAttempts(instance, ends)
			return true
		}
		leadership.repeatedWarning("endsNotRecorded", err).Str("worker", string(instance.name)).
			Int("ends", len(ends)).Msg("could not record attempt ends; will retry")
		leadership.pause(retryDelay(failures))
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

// removeAttempts removes attempts whose ends have been recorded.
func (leadership *leadership) removeAttempts(instance *worker, ends []jobkeeper.End) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	for _, end := range ends {
		ended := instance.attempts[end.Run]
		delete(instance.attempts, end.Run)
		leadership.observeCrashSuspects(&end)
		leadership.failureTracker.observe(instance, ended, end, time.Now())
		delete(leadership.pendingEnds, end.Run)
		leadership.overseer.metrics.ended.Inc(1)
		if repeated := leadership.recordCopyEnd(end, ended); repeated {
			continue // The other attempt has finished before, so the task and its work have been counted.
		}
		leadership.recordFinishedWork(instance, ended, end)
		leadership.logAttemptEnd(instance, ended, end)
	}
	leadership.logEndedJobs(ends)
	leadership.replan()
}
