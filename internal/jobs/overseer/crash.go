package overseer

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/crashclassifier"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// crashRetention is how long the end of an instance counts towards the crashes of its rack and pool.
const crashRetention = 10 * time.Second

// crashes holds what is needed to blame tasks for crashes of workers. The leadership's mutex guards it.
type crashes struct {
	// suspects holds the tasks that are suspected of crashing workers, as of the last planning cycle.
	suspects map[scheduler.StepTaskID]bool
	// recent holds the instances that ended after they had closed a connection.
	recent []crash
	// marks holds the marks that are to be proposed, in order. marking is true while they are being proposed.
	marks   []jobkeeper.Mark
	marking bool
	// clearing is true while the blame of tasks that have survived is being cleared.
	clearing bool
	// rates holds for each pool how often its workers crash for other reasons than their tasks.
	rates map[scheduler.PoolName]*crashclassifier.Rate
	// ratesAt is when perSecond, the learned rates, were last computed.
	ratesAt   time.Duration
	perSecond map[scheduler.PoolName]float64
	// evidence holds that of the crashes that are being recorded.
	evidence map[scheduler.RunID]crashclassifier.Evidence
	// ages holds the age at which an attempt of each suspect was lost last.
	ages map[scheduler.StepTaskID]time.Duration
}

type crash struct {
	at   time.Duration
	rack string
	pool scheduler.PoolName
}

func newCrashes() crashes {
	return crashes{
		suspects: map[scheduler.StepTaskID]bool{},
		rates:    map[scheduler.PoolName]*crashclassifier.Rate{}, evidence: map[scheduler.RunID]crashclassifier.Evidence{},
		ages: map[scheduler.StepTaskID]time.Duration{}, perSecond: map[scheduler.PoolName]float64{},
	}
}

// mayReachNextInstance reports whether a start order of the attempt may have reached, or may still reach, the next instance
// of its worker.
func (attempt *attempt) mayReachNextInstance() bool {
	settled := attempt.reported && !attempt.startOutstanding && !attempt.startUnanswered
	return !settled && !attempt.recordingEnd
}

// recordFailure records that a worker has not answered an order. The mutex must be held.
func (leadership *leadership) recordFailure(instance *worker, err error) {
	if instance.failingSince == 0 {
		instance.failingSince = leadership.now()
	}
	if scheduler.ErrConnectionClosed.Has(err) && !instance.connectionClosed && !instance.ended {
		instance.connectionClosed = true
		leadership.markAttempts(instance)
	}
}

// markAttempts marks the attempts that are blamed if the worker has crashed. Once a rack is known to be lost, those of its first
// workers, whose crashes were taken for single ones, are marked anew, with less evidence. The mutex must be held.
func (leadership *leadership) markAttempts(instance *worker) {
	decision := leadership.classifyEnding(instance, true)
	leadership.recordMarks(instance.marksOf(decision))
	if decision.Verdict() != crashclassifier.VerdictRackLost {
		return
	}
	for _, other := range leadership.instances {
		if other.connectionClosed && other != instance && other.rack() == instance.rack() {
			leadership.recordMarks(other.marksOf(leadership.classifyEnding(other, true)))
		}
	}
}

// marksOf sets the marks of the attempts that a decision blames, and returns them.
func (worker *worker) marksOf(decision crashclassifier.Decision) []jobkeeper.Mark {
	var marks []jobkeeper.Mark
	for _, run := range decision.Blamed() {
		worker.attempts[run].mark = decision.Kind(run)
		marks = append(marks, jobkeeper.Mark{Run: run, Kind: decision.Kind(run)})
	}
	return marks
}

// takeUnblamedMarks removes the marks of attempts that a decision does not blame, and returns what clears them in the log.
func (worker *worker) takeUnblamedMarks(decision crashclassifier.Decision) []jobkeeper.Mark {
	var marks []jobkeeper.Mark
	for id, attempt := range worker.attempts {
		if attempt.mark != "" && !attempt.recordingEnd && decision.Kind(id) == scheduler.EndLost {
			attempt.mark = ""
			marks = append(marks, jobkeeper.Mark{Run: id})
		}
	}
	return marks
}

// clearMarks clears the marks of attempts on an instance that has sent a report and has therefore not crashed. The mutex
// must be held.
func (leadership *leadership) clearMarks(instance *worker) {
	var marks []jobkeeper.Mark
	for id, attempt := range instance.attempts {
		if attempt.mark != "" && !attempt.recordingEnd {
			attempt.mark = ""
			delete(leadership.crashes.evidence, id)
			marks = append(marks, jobkeeper.Mark{Run: id})
		}
	}
	leadership.recordMarks(marks)
}

// recordMarks proposes marks after those before them, because a later one replaces an earlier one. The mutex must be held.
func (leadership *leadership) recordMarks(marks []jobkeeper.Mark) {
	if len(marks) == 0 {
		return
	}
	crashes := &leadership.crashes
	crashes.marks = append(crashes.marks, marks...)
	if !crashes.marking {
		crashes.marking = true
		leadership.goroutines.Go(leadership.proposeMarks)
	}
}

// proposeMarks proposes the recorded marks until none is left or the term ends.
func (leadership *leadership) proposeMarks() {
	for marks := leadership.takeMarks(); len(marks) > 0; marks = leadership.takeMarks() {
		leadership.commitMarks(marks)
	}
}

func (leadership *leadership) takeMarks() []jobkeeper.Mark {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	marks := leadership.crashes.marks
	leadership.crashes.marks, leadership.crashes.marking = nil, len(marks) > 0
	return marks
}

// commitMarks proposes marks until they are committed. It returns false if the term ends before.
func (leadership *leadership) commitMarks(marks []jobkeeper.Mark) bool {
	for _, batch := range splitMarks(marks) {
		if !leadership.commitMarkBatch(batch) {
			return false
		}
	}
	return true
}

// commitMarkBatch proposes the marks of one command until they are committed. It returns false if the term ends before.
func (leadership *leadership) commitMarkBatch(marks []jobkeeper.Mark) bool {
	for failures := 1; leadership.context.Err() == nil; failures++ {
		_, err := leadership.propose(jobkeeper.Command{Mark: marks, Evidence: evidenceOf(leadership, marks, runOfMark)})
		if err == nil {
			return true
		}
		leadership.repeatedWarning("marksNotRecorded", err).Int("attempts", len(marks)).
			Msg("could not record which attempts are blamed if their worker has crashed; will retry")
		leadership.pause(retryDelay(failures))
	}
	return false
}

// classifyEnding decides whether an instance that has ended crashed, and which of its attempts are blamed. replaced is
// true if a later instance has started. The mutex must be held.
func (leadership *leadership) classifyEnding(instance *worker, replaced bool) crashclassifier.Decision {
	_, ordered := leadership.maintenance.accepted[instance.heartbeat.VM]
	ending := &crashclassifier.Ending{
		ConnectionClosed: instance.connectionClosed, Replaced: replaced,
		Expected: ordered || leadership.isInMaintenance(instance) || instance.heartbeat.Phase == scheduler.WorkerDraining,
		At:       instance.failingSince,
	}
	ending.Rack, ending.Pool = leadership.failureDomains(instance)
	ending.Rate = leadership.crashesPerSecond(instance.heartbeat.Pool, ending.Pool.Workers)
	for id, attempt := range instance.attempts {
		if attempt.recordingEnd {
			continue
		}
		accepted := attempt.times.acceptedAt > 0
		ending.Attempts = append(ending.Attempts, crashclassifier.Attempt{
			Run: id, Adopted: attempt.adopted,
			Sent:     !attempt.adopted && (accepted || attempt.startSending || attempt.startUnanswered),
			Accepted: accepted, Since: attempt.times.acceptedAt, Suspect: leadership.crashes.suspects[id.Task],
			Marked: attempt.mark, Evidence: leadership.taskEvidence(id.Task),
			CrashedAfter: leadership.crashes.ages[id.Task],
		})
	}
	decision := crashclassifier.Classify(ending)
	maps.Copy(leadership.crashes.evidence, decision.Evidence())
	return decision
}

// failureDomains returns the rack and the pool of an instance, with the crashes in them.
func (leadership *leadership) failureDomains(instance *worker) (rack, pool crashclassifier.FailureDomain) {
	inRack := func(other string) bool { return other != "" && other == instance.rack() }
	for _, other := range leadership.instances {
		if !other.hasHeartbeat || other.heartbeat.Pool != instance.heartbeat.Pool {
			continue
		}
		pool.Workers++
		if other.connectionClosed {
			pool.Crashes = append(pool.Crashes, other.failingSince)
		}
		if !inRack(other.rack()) {
			continue
		}
		rack.Workers++
		if other.connectionClosed {
			rack.Crashes = append(rack.Crashes, other.failingSince)
		}
	}
	for _, crash := range leadership.crashes.recent {
		if crash.pool != instance.heartbeat.Pool {
			continue
		}
		pool.Crashes = append(pool.Crashes, crash.at)
		if inRack(crash.rack) {
			rack.Crashes = append(rack.Crashes, crash.at)
		}
	}
	return rack, pool
}

// observeEnding records and logs the end of an instance that had closed a connection.
func (leadership *leadership) observeEnding(instance *worker, decision crashclassifier.Decision) {
	if !instance.connectionClosed {
		return
	}
	now := leadership.now()
	leadership.crashes.recent = slices.DeleteFunc(leadership.crashes.recent, func(crash crash) bool {
		return now-crash.at > crashRetention
	})
	leadership.crashes.recent = append(leadership.crashes.recent, crash{
		at: instance.failingSince, rack: instance.rack(), pool: instance.heartbeat.Pool,
	})
	leadership.recordAges(instance, decision)
	switch decision.Verdict() {
	case crashclassifier.VerdictCrash:
		leadership.overseer.metrics.crashes.Inc(1)
		leadership.crashRate(instance.heartbeat.Pool).AddCrash(instance.failingSince, tasksOf(decision.Blamed()))
	default:
	}
	var likely []string
	for _, run := range decision.Blamed() {
		if decision.Kind(run) == scheduler.EndCrashedStarting {
			likely = append(likely, run.String())
		}
	}
	others := len(decision.Blamed()) - len(likely)
	leadership.overseer.metrics.blamedStarting.Inc(int64(len(likely)))
	leadership.overseer.metrics.blamedRunning.Inc(int64(others))
	leadership.logger.Warn().Str("event", "workerCrashed").Str("worker", string(instance.name)).
		Uint64("life", uint64(instance.incarnation)).Str("verdict", string(decision.Verdict())).
		Dur("failingFor", now-instance.failingSince).Dur("answeredBefore", instance.failingSince-instance.lastResponse).
		Int("starting", decision.Starting()).Int("suspects", decision.Suspects()).Strs("likelyCauses", likely).
		Int("otherBlamed", others).Float64("crashRate", decision.Rate()).Dict("evidence", evidenceDict(decision)).
		Msg("worker closed its connections and was replaced")
}

// recordCarried marks the attempts that are blamed but carried over to the next instance of their worker, and therefore do
// not end yet. The mutex must be held.
func (leadership *leadership) recordCarried(earlier *worker, decision crashclassifier.Decision) {
	var marks []jobkeeper.Mark
	for _, run := range decision.Blamed() {
		if earlier.attempts[run].mayReachNextInstance() {
			marks = append(marks, jobkeeper.Mark{Run: run, Kind: decision.Kind(run)})
		}
	}
	if len(marks) == 0 {
		return
	}
	leadership.goroutines.Go(func() { leadership.commitMarks(marks) })
}

// observeBlame updates the suspects and clears the blame of those that have survived.
func (leadership *leadership) observeBlame() {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	clear(leadership.crashes.suspects)
	var survivors []scheduler.RunID
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		state.VisitBlamed(func(task *jobkeeper.Task) {
			if task.IsSuspect() {
				leadership.crashes.suspects[task.ID()] = true
			}
			for _, run := range task.Runs() {
				if leadership.hasSurvived(run) {
					survivors = append(survivors, run.ID())
				}
			}
		})
	})
	if len(survivors) > 0 && !leadership.crashes.clearing {
		leadership.crashes.clearing = true
		leadership.goroutines.Go(func() { leadership.clearBlame(survivors) })
	}
}

// hasSurvived reports whether the attempt was running for crashclassifier.SurvivalTime when its worker last responded.
func (leadership *leadership) hasSurvived(run *jobkeeper.Run) bool {
	instance := leadership.instances[run.Worker()]
	if instance == nil {
		return false
	}
	attempt := instance.attempts[run.ID()]
	return attempt != nil && attempt.reported && attempt.times.acceptedAt > 0 &&
		instance.lastResponse-attempt.times.acceptedAt >= crashclassifier.SurvivalTime
}

// clearBlame clears the blame of tasks with the given attempts. If that fails, the next planning cycle tries again.
func (leadership *leadership) clearBlame(survivors []scheduler.RunID) {
	var err error
	for _, batch := range splitRuns(survivors) {
		if _, err = leadership.propose(jobkeeper.Command{ClearBlame: batch}); err != nil {
			break
		}
	}
	leadership.logger.Info().Str("event", "blameCleared").Int("tasks", len(survivors)).Err(err).
		Msg("suspected tasks have survived")
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	if err == nil {
		for _, survivor := range survivors {
			leadership.clearCrashSuspect(survivor.Task)
		}
	}
	leadership.crashes.clearing = false
}
