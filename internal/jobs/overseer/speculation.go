package overseer

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/internal/jobs/speculator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// speculationInterval is the minimum time between two decisions on copies.
	speculationInterval = 500 * time.Millisecond
	// speculationPauseFactor is the pause after a decision as a multiple of its duration. It bounds the CPU time that
	// decisions take in a large fleet.
	speculationPauseFactor = 30
	// maxCopiesPerDecision is the maximum number of tasks for which one decision looks for a worker among all workers.
	maxCopiesPerDecision = 16
)

// speculation is the state of copies of running tasks. Whether a task has a copy is replicated: it then has two
// attempts. What is held here serves metrics and the success rate of copies. The leadership's mutex guards it.
type speculation struct {
	speculator *speculator.Speculator
	// nextDecision is when copies are decided on next; only plan uses it.
	nextDecision time.Duration
	// unplaced holds the tasks for which recent decisions found no worker. They are tried again after all others, so that
	// they don't use up maxCopiesPerDecision each time.
	unplaced map[scheduler.StepTaskID]bool
	// copies holds the tasks that have a copy, or had one of which an attempt has not ended.
	copies map[scheduler.StepTaskID]*copiedTask
}

func newSpeculation(predictor scheduler.RunTimePredictor) speculation {
	return speculation{
		speculator: speculator.New(predictor), copies: map[scheduler.StepTaskID]*copiedTask{},
		unplaced: map[scheduler.StepTaskID]bool{},
	}
}

// runningAttempts holds the attempts that may get a copy. All slices have one element for each attempt.
type runningAttempts struct {
	inputs    []speculator.Attempt
	steps     []*jobkeeper.StepState
	instances []*worker
}

// copyPlacement is the decision to start a copy.
type copyPlacement struct {
	placement jobkeeper.Placement
	candidate speculator.Candidate
}

// startCopies starts copies of tasks whose attempts are expected to remain much longer than a fresh run. It returns the
// duration of the decision. It is called after placement, so that waiting tasks come first.
func (leadership *leadership) startCopies() time.Duration {
	began := leadership.now()
	if began < leadership.speculation.nextDecision {
		return 0
	}
	copies := leadership.chooseCopies()
	took := leadership.now() - began
	leadership.speculation.nextDecision = began + max(speculationInterval, speculationPauseFactor*took)
	if len(copies) > 0 {
		leadership.commitCopies(copies)
	}
	return took
}

// chooseCopies chooses the tasks that get a copy, and the workers for them.
func (leadership *leadership) chooseCopies() []copyPlacement {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	clear(leadership.approvalCandidates)
	var copies []copyPlacement
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		leadership.speculation.prune(state)
		running, loads := leadership.speculativeAttempts(state)
		candidates := leadership.speculation.speculator.Choose(running.inputs)
		if len(candidates) == 0 {
			return
		}
		workers := leadership.schedulableWorkers(state)
		leadership.addPoolLoads(state, loads, workers)
		copies = leadership.placeCopies(candidates, running, loads, workers)
	})
	return copies
}

// speculativeAttempts returns the running attempts that may get a copy, and counts the attempts and copies of each queue.
func (leadership *leadership) speculativeAttempts(
	state *jobkeeper.State,
) (running runningAttempts, loads queueLoads) {
	loads = queueLoads{}
	for _, instance := range leadership.instances {
		for id, attempt := range instance.attempts {
			if !attempt.mayHaveCopy() {
				continue
			}
			run, found := state.Run(instance.name, id)
			if !found || !run.Task().IsRunnable() || run.Task().Blame() > 0 {
				continue // A copy of a task that crashes its workers would crash two.
			}
			step := run.Task().Step()
			load := loads.of(step.Job().Queue())
			load.Running++
			if runs := run.Task().Runs(); len(runs) > 1 {
				leadership.speculation.adopt(id.Task, runs)
				if id.Attempt == leadership.speculation.copies[id.Task].copy {
					load.Copies++
				}
				continue
			}
			running.inputs = append(running.inputs, leadership.speculatorInput(instance, id.Task, attempt, step))
			running.steps = append(running.steps, step)
			running.instances = append(running.instances, instance)
		}
	}
	return running, loads
}

// mayHaveCopy reports whether a copy of the attempt is allowed and could be of use. A copy of one member of a gang makes
// no progress.
func (attempt *attempt) mayHaveCopy() bool {
	spec := &attempt.spec
	return spec.Speculative && !spec.Gang && !spec.LongRunning && !attempt.recordingEnd &&
		attempt.state != attemptStopping && attempt.state != attemptStopped
}

func (leadership *leadership) speculatorInput(
	instance *worker, task scheduler.StepTaskID, attempt *attempt, step *jobkeeper.StepState,
) speculator.Attempt {
	now := leadership.now()
	// A new leader has not heard of most workers yet, which does not make them silent.
	lastContact := max(instance.lastHeartbeat, instance.lastResponse, leadership.startedAt)
	return speculator.Attempt{
		Task: task, Kind: kindOf(step), Estimate: attempt.spec.Estimate,
		Elapsed: attempt.timing.elapsed(now), Share: attempt.share,
		Slowness:       leadership.runTimes.Slowness(instance.name),
		Silent:         now-lastContact >= leadership.heartbeatTimeout(),
		LeaseRemaining: instance.leaseExpiry - now,
	}
}

// placeCopies chooses workers for the candidates, within the allowance of their queues.
func (leadership *leadership) placeCopies(
	candidates []speculator.Candidate, running runningAttempts, loads queueLoads,
	workers map[scheduler.PoolName][]*packer.Worker,
) []copyPlacement {
	var copies []copyPlacement
	attempts := stepAttempts{}
	tried, unplaced := 0, leadership.speculation.unplaced
	if len(unplaced) > len(candidates) {
		clear(unplaced) // Most of them are no longer candidates.
	}
	for _, candidate := range candidates {
		load := loads[candidate.Queue()]
		if load == nil || unplaced[candidate.Task()] ||
			leadership.speculation.speculator.Allowance(candidate.Queue(), load.QueueLoad) == 0 {
			continue
		}
		if tried == maxCopiesPerDecision {
			return copies
		}
		tried++
		step, instance := running.steps[candidate.Position()], running.instances[candidate.Position()]
		pool := step.Job().Queue().Pool
		worker, found := leadership.placeCopy(candidate.Task(), step, instance, workers[pool], attempts)
		if !found {
			unplaced[candidate.Task()] = true
			continue
		}
		load.Copies++
		copies = append(copies, copyPlacement{candidate: candidate, placement: jobkeeper.Placement{
			Task: candidate.Task(), Worker: worker, Instance: leadership.instances[worker].incarnation, Speculative: true,
		}})
	}
	clear(unplaced) // All candidates have been tried.
	return copies
}

// stepAttempts holds the attempts of steps by worker, with the copies that one decision has placed so far.
type stepAttempts map[*jobkeeper.StepState]map[scheduler.WorkerName]int

// of returns the attempts of a step by worker.
func (stepAttempts stepAttempts) of(step *jobkeeper.StepState) map[scheduler.WorkerName]int {
	if stepAttempts[step] == nil {
		stepAttempts[step] = attemptsByWorker(step)
	}
	return stepAttempts[step]
}

// placeCopy chooses a worker for a copy: one that the constraints of the step allow, in the rack where its tasks run
// fast, and neither slow nor the one on which the original runs or the task has failed.
func (leadership *leadership) placeCopy(
	task scheduler.StepTaskID, step *jobkeeper.StepState, original *worker, workers []*packer.Worker,
	attempts stepAttempts,
) (scheduler.WorkerName, bool) {
	spec := step.Spec()
	rack := spec.PreferredRack
	if rack == "" && spec.RackLocal {
		rack = original.rack()
	}
	failedOn := leadership.failureTracker.lastFailures[task].worker
	workers = slices.DeleteFunc(slices.Clone(workers), func(worker *packer.Worker) bool {
		return worker.Name == original.name || worker.Name == failedOn || rack != "" && worker.Rack != rack ||
			leadership.runTimes.IsSlow(worker.Name)
	})
	group := packer.Group{
		Step: spec, Tasks: []scheduler.StepTaskID{task}, Approved: leadership.approvedWorkers(step, 1),
	}
	if spec.MaxPerWorker > 0 {
		group.AttemptsByWorker = attempts.of(step)
	}
	assignments := packer.Pack(workers, []packer.Group{group})
	if len(assignments) == 0 {
		return "", false
	}
	if spec.MaxPerWorker > 0 {
		attempts.of(step)[assignments[0].Worker]++
	}
	return assignments[0].Worker, true
}

// commitCopies replicates the placements of copies and then launches those that were accepted.
func (leadership *leadership) commitCopies(copies []copyPlacement) {
	var placements []jobkeeper.Placement
	for _, copied := range copies {
		placements = append(placements, copied.placement)
	}
	command := jobkeeper.Command{Place: placements, Locations: leadership.unrecordedLocations(placements)}
	result, err := leadership.propose(command)
	if err != nil {
		leadership.repeatedWarning("placementsNotRecorded", err).Int("placements", len(placements)).
			Msg("could not record copies of running tasks; they will be decided again")
		return
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	for position, copied := range copies {
		if position >= len(result.Attempts) || result.Attempts[position] == 0 {
			continue // The attempt has ended in the meantime.
		}
		run := scheduler.RunID{Task: copied.placement.Task, Attempt: result.Attempts[position]}
		leadership.overseer.keeper.View(func(state *jobkeeper.State) { leadership.speculation.track(state, run) })
		leadership.overseer.metrics.queueScope(copied.candidate.Queue()).Counter("copies_started").Inc(1)
		leadership.logger.Info().Str("event", "copyStarted").Stringer("run", run).
			Str("worker", string(copied.placement.Worker)).Str("reason", string(copied.candidate.Reason())).
			Dur("expectedGain", copied.candidate.Gain()).Msg("starting a copy of a running task")
		leadership.launch(copied.placement, run)
	}
}

// recordCopyEnd records the end of an attempt of a task with a copy. The first attempt that finishes decides which one
// has won; what the other one ran is wasted. A copy that failed or was lost has not won; one that was refused or stopped
// shows nothing. repeated is true if the attempt has finished after the other one. The mutex must be held.
func (leadership *leadership) recordCopyEnd(end jobkeeper.End, ended *attempt) (repeated bool) {
	copied := leadership.speculation.copies[end.Run.Task]
	if copied == nil {
		return false
	}
	repeated = end.Kind == scheduler.EndFinished && copied.decided
	if delete(copied.open, end.Run.Attempt); len(copied.open) == 0 {
		delete(leadership.speculation.copies, end.Run.Task)
	}
	queue, found := leadership.queueOf(end.Run.Task.Job)
	if !found {
		return repeated
	}
	scope := leadership.overseer.metrics.queueScope(queue)
	if end.Kind != scheduler.EndFinished || copied.decided {
		if !copied.decided && end.Run.Attempt == copied.copy && isUnsuccessful(end.Kind) {
			leadership.speculation.speculator.RecordResult(queue, false)
		}
		if ended != nil {
			wasted := ended.timing.elapsed(leadership.now()).Milliseconds() * ended.spec.Request.MilliCores
			scope.Counter("copies_wasted_core_milliseconds").Inc(wasted / milliCoresPerCore)
		}
		return repeated
	}
	copied.decided = true
	won := end.Run.Attempt == copied.copy
	leadership.speculation.speculator.RecordResult(queue, won)
	if won {
		scope.Counter("copies_won").Inc(1)
	}
	leadership.logger.Info().Str("event", "copyDecided").Stringer("run", end.Run).Bool("copyWon", won).
		Msg("one attempt of a task with a copy has finished")
	return false
}

// isUnsuccessful reports whether a copy that ended without finishing lowers the success rate.
func isUnsuccessful(kind scheduler.EndKind) bool {
	return kind != scheduler.EndStopped && kind != scheduler.EndRefused
}

const milliCoresPerCore = 1000

// queueOf returns the queue of a job.
func (leadership *leadership) queueOf(id scheduler.JobID) (queue scheduler.QueueName, found bool) {
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		if job, known := state.Job(id); known {
			queue, found = job.Queue().Name, true
		}
	})
	return queue, found
}
