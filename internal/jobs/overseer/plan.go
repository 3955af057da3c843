package overseer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// adoptInterval is how often the attempts in the replicated state are compared with those of this leadership. The
// same goroutine proposes placements and launches their attempts, so the search never finds an attempt that has been
// placed but is still to be launched.
const adoptInterval = time.Second

// plan places waiting tasks until the term ends.
func (leadership *leadership) plan() {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	adopted := leadership.now()
	logged := adopted
	for {
		changed := leadership.overseer.keeper.Changed()
		if now := leadership.now(); now > adopted+adoptInterval {
			adopted = now
			leadership.adoptAll()
			leadership.stopUnrecorded()
		}
		if now := leadership.now(); now > logged+loadInterval {
			logged = now
			leadership.logLoad()
		}
		// planOnce runs the planning cycle; the pause after it is proportional to the cycle's duration.
		took := leadership.planOnce()
		leadership.planning.add(took)
		leadership.progress.plans.Add(1)
		pauseDuration := planPause(took)
		select {
		case <-leadership.context.Done():
			return
		case <-changed:
		case <-leadership.replanSignal:
		case <-ticker.C:
		}
		leadership.pause(pauseDuration)
	}
}

// planPause returns the pause after a planning cycle.
func planPause(took time.Duration) time.Duration {
	return min(max(planBatchDelay, planPauseFactor*took), maxPlanPause)
}

// planOnce runs one planning cycle. It returns the cycle's duration without the time to replicate the placements.
func (leadership *leadership) planOnce() time.Duration {
	if !leadership.mayAct() {
		return 0
	}
	began := leadership.now()
	leadership.startDueOccurrences()
	leadership.observeEvacuations()
	leadership.observePools()
	leadership.observeBlame()
	leadership.observeLoad()
	leadership.expireLeases()
	leadership.evacuateDraining()
	placements := leadership.choosePlacements()
	took := leadership.now() - began
	leadership.overseer.metrics.planTime.RecordDuration(took)
	if len(placements) > 0 {
		leadership.commitPlacements(placements)
	}
	return took + leadership.startCopies()
}

// drainMargin is the time between stopping the remaining attempts on a draining worker and the earliest time at which
// the worker may shut down. It lets the worker save and report their progress.
const drainMargin = time.Second

// evacuateDraining stops the attempts on draining workers so that their tasks are placed elsewhere: long-running ones
// immediately, others shortly before the worker may shut down.
func (leadership *leadership) evacuateDraining() {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	now := leadership.now()
	for _, instance := range leadership.instances {
		if !instance.hasHeartbeat || instance.heartbeat.Phase != scheduler.WorkerDraining {
			continue
		}
		stopAll := now-instance.lastHeartbeat > instance.heartbeat.DrainRemaining-drainMargin
		for id, attempt := range instance.attempts {
			if stopAll || attempt.spec.LongRunning {
				leadership.stopAttempt(instance, id, "the worker is draining")
			}
		}
	}
}

// choosePlacements chooses workers for waiting tasks.
func (leadership *leadership) choosePlacements() []jobkeeper.Placement {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	clear(leadership.starved)
	clear(leadership.approvalCandidates)
	var placements []jobkeeper.Placement
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		leadership.overseer.metrics.ready.Update(float64(state.ReadyCount()))
		if state.ReadyCount() == 0 {
			leadership.jobLog.updateWaiting(leadership.now(), nil)
			leadership.suspectsSince = nil
			leadership.watchWaiting(state, nil, nil, nil)
			leadership.logIsolation()
			leadership.dropReservations()
			clear(leadership.evacuations.blocked)
			return
		}
		leadership.refreshEvacuations(state)
		pools := leadership.schedulableWorkers(state)
		leadership.pruneApprovals(state)
		steps := waitingSteps(state)
		leadership.jobLog.updateWaiting(leadership.now(), steps)
		leadership.updateSuspectWaits(steps)
		leadership.logStepsWaitingForEvacuations(steps)
		groups := map[scheduler.PoolName][]packer.Group{}
		stepsByPool := map[scheduler.PoolName][]*waitingStep{}
		for _, waiting := range steps {
			pool := waiting.step.Job().Queue().Pool
			group := leadership.group(waiting)
			group.Starved = leadership.isStarved(waiting, pool)
			groups[pool] = append(groups[pool], group)
			stepsByPool[pool] = append(stepsByPool[pool], waiting)
			if group.Starved {
				leadership.markStarved(group.Tasks)
			}
		}
		for pool, workers := range pools {
			assignments := leadership.pack(state, pool, workers, stepsByPool[pool], groups[pool])
			leadership.recordIsolation(workers, groups[pool], assignments)
			for _, choice := range assignments {
				placements = append(placements, jobkeeper.Placement{
					Task: choice.Task, Worker: choice.Worker, Instance: leadership.instances[choice.Worker].incarnation,
				})
			}
		}
		leadership.watchWaiting(state, pools, steps, placements)
		leadership.logIsolation()
	})
	return placements
}

const (
	// starvationDelay is how long a step of a job without running tasks may wait before it counts as starved.
	starvationDelay = 1500 * time.Millisecond
	// starvationMaxLoad is the reserved fraction of a pool from which on waiting steps do not count as starved.
	starvationMaxLoad = 0.6
	// starvedTaskShare is the percentage to which a starved step's task is throttled initially, because its effect on
	// serving tasks is not known yet.
	starvedTaskShare = 20
)

// isStarved reports whether a step is starved: it is a fill step, none of its job's tasks is running, and the step has
// been waiting for longer than starvationDelay although the reserved fraction of its pool is below starvationMaxLoad.
func (leadership *leadership) isStarved(waiting *waitingStep, pool scheduler.PoolName) bool {
	step, poolAdmitter := waiting.step, leadership.admitters[pool]
	if !step.Spec().Fill || step.Job().Running() > 0 || poolAdmitter == nil ||
		poolAdmitter.ReservedFraction() >= starvationMaxLoad {
		return false
	}
	key := keyOfStep(step)
	return leadership.now()-leadership.jobLog.waiting[key].since > starvationDelay
}

// markStarved marks all tasks of a starved group. The packer may place one of them regardless of slack and predicted
// interference, but its result does not say which, so each task of the group that is placed is throttled at first.
func (leadership *leadership) markStarved(tasks []scheduler.StepTaskID) {
	for _, task := range tasks {
		leadership.starved[task] = true
	}
}

// schedulableWorkers returns the workers that accept new work, by pool.
func (leadership *leadership) schedulableWorkers(state *jobkeeper.State) map[scheduler.PoolName][]*packer.Worker {
	now := leadership.now()
	heartbeatTimeout, wallTime := leadership.heartbeatTimeout(), time.Now()
	pools := map[scheduler.PoolName][]*packer.Worker{}
	for _, name := range slices.Sorted(maps.Keys(leadership.instances)) {
		instance := leadership.instances[name]
		if !leadership.isSchedulable(instance, now, heartbeatTimeout, wallTime) {
			continue
		}
		usageSummary := instance.usageSummary(now)
		pools[instance.heartbeat.Pool] = append(pools[instance.heartbeat.Pool], &packer.Worker{
			Name: name, Rack: instance.rack(), Labels: instance.heartbeat.Labels, Capacity: instance.heartbeat.Capacity,
			Free: instance.heartbeat.Capacity.Minus(state.Reserved(name)), Slack: usageSummary.slack,
			Forecast: leadership.forecast(instance, usageSummary),
			Images:   usageSummary.images, ColdRemaining: instance.coldRemaining(now),
			Isolation: usageSummary.isolation,
		})
	}
	return pools
}

// isSchedulable reports whether tasks may be placed on a worker.
func (leadership *leadership) isSchedulable(
	instance *worker, now, heartbeatTimeout time.Duration, wallTime time.Time,
) bool {
	return leadership.unavailableReason(instance, now, heartbeatTimeout, wallTime) == ""
}

// isInMaintenance reports whether the worker's VM is being evacuated for maintenance.
func (leadership *leadership) isInMaintenance(instance *worker) bool {
	_, evacuating := leadership.maintenance.evacuating[instance.heartbeat.VM]
	return evacuating
}

// heartbeatTimeout returns the time without contact after which a worker gets no new work.
func (leadership *leadership) heartbeatTimeout() time.Duration {
	return time.Duration(missedHeartbeatLimit * float64(leadership.overseer.heartbeatInterval))
}

// waitingStep is a step with waiting tasks, which are the tasks that the state of the jobkeeper calls ready.
type waitingStep struct {
	step  *jobkeeper.StepState
	tasks []*jobkeeper.Task
	// suspect is true if the tasks, or members of the gang, are suspected of crashing workers.
	suspect bool
	urgency packer.Urgency
	// since is when the step began to wait, as known to this leadership.
	since time.Duration
}

// waitingSteps returns the steps with waiting tasks in descending order of urgency.
func waitingSteps(state *jobkeeper.State) []*waitingStep {
	now := time.Now()
	steps := map[*jobkeeper.StepState]*waitingStep{}
	state.VisitReady(func(task *jobkeeper.Task) {
		waiting := steps[task.Step()]
		if waiting == nil {
			waiting = &waitingStep{step: task.Step(), urgency: urgencyOf(task.Step(), now)}
			steps[task.Step()] = waiting
		}
		waiting.tasks = append(waiting.tasks, task)
	})
	sorted := slices.SortedFunc(maps.Values(steps), func(a, b *waitingStep) int {
		return cmp.Or(a.urgency.Compare(b.urgency), cmp.Compare(a.step.Job().Sequence(), b.step.Job().Sequence()),
			cmp.Compare(a.step.Occurrence(), b.step.Occurrence()), cmp.Compare(a.step.Number(), b.step.Number()))
	})
	split := make([]*waitingStep, 0, len(sorted))
	for _, waiting := range sorted {
		slices.SortFunc(waiting.tasks, func(a, b *jobkeeper.Task) int { return cmp.Compare(a.ID().Index, b.ID().Index) })
		split = append(split, waiting.splitSuspects()...)
	}
	return split
}

// urgencyOf returns the urgency of a waiting step.
func urgencyOf(step *jobkeeper.StepState, now time.Time) packer.Urgency {
	job := step.Job()
	workflow := job.Workflow()
	input := packer.UrgencyInput{Queue: job.Queue(), ReleaseTime: job.Accepted(), LongRunning: step.Spec().LongRunning}
	if repeat := workflow.Repeat; repeat != nil {
		input.ReleaseTime = repeat.Due(step.Occurrence())
	}
	// CriticalPath and RemainingPath are durations: the estimated durations of the longest dependency chain of all steps
	// and of the unfinished steps.
	input.CriticalPath = packer.CriticalPath(workflow.Steps, func(position int) time.Duration {
		return workflow.Steps[position].Estimate
	})
	siblings := step.Siblings()
	input.RemainingPath = packer.CriticalPath(workflow.Steps, func(position int) time.Duration {
		if siblings[position].Finished() {
			return 0
		}
		return workflow.Steps[position].Estimate
	})
	input.RemainingWork = remainingWork(siblings)
	return packer.UrgencyOf(input, now)
}

// remainingWork returns the estimated work of the tasks that have not finished, see packer.Urgency.
func remainingWork(steps []*jobkeeper.StepState) int64 {
	var work int64
	for _, step := range steps {
		spec := step.Spec()
		work += int64(step.UnfinishedTasks()) * spec.Estimate.Milliseconds() * spec.Request.MilliCores
	}
	return work
}

// group returns a step as input for the packer. It requests approvals that are missing.
func (leadership *leadership) group(waiting *waitingStep) packer.Group {
	return leadership.groupWithApprovals(waiting, leadership.approvedWorkers(waiting.step, len(waiting.tasks)))
}

// groupWithApprovals returns a step as input for the packer. approved holds the workers that may run it, nil if every
// worker may.
func (leadership *leadership) groupWithApprovals(
	waiting *waitingStep, approved map[scheduler.WorkerName]bool,
) packer.Group {
	group := packer.Group{
		Step: waiting.step.Spec(), Approved: approved, Priority: waiting.step.Job().Queue().Priority,
		Avoid: leadership.failureTracker.avoidedWorkers(waiting.tasks, time.Now()), Suspect: waiting.suspect,
		Waited: leadership.suspectsWaited(waiting),
	}
	for _, task := range waiting.tasks {
		group.Tasks = append(group.Tasks, task.ID())
	}
	if group.Step.MaxPerWorker > 0 {
		group.AttemptsByWorker = attemptsByWorker(waiting.step)
	}
	return group
}

// attemptsByWorker returns the number of attempts of a step on each worker.
func attemptsByWorker(step *jobkeeper.StepState) map[scheduler.WorkerName]int {
	attempts := map[scheduler.WorkerName]int{}
	for _, task := range step.Tasks() {
		for _, run := range task.Runs() {
			attempts[run.Worker()]++
		}
	}
	return attempts
}

// commitPlacementBatch replicates the placements of one command and then launches the attempts that were accepted. It
// returns false if they could not be replicated.
func (leadership *leadership) commitPlacementBatch(placements []jobkeeper.Placement) bool {
	command := jobkeeper.Command{Place: placements, Locations: leadership.unrecordedLocations(placements)}
	result, err := leadership.proposeWithBeginnings(command)
	leadership.progress.plans.Add(1)
	if err != nil {
		leadership.repeatedWarning("placementsNotRecorded", err).Int("placements", len(placements)).
			Msg("could not record placements; tasks will be placed again")
		return false
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.logPlacements(placements, result.Attempts)
	for position, placement := range placements {
		if position >= len(result.Attempts) || result.Attempts[position] == 0 {
			continue
		}
		run := scheduler.RunID{Task: placement.Task, Attempt: result.Attempts[position]}
		leadership.launch(placement, run)
	}
	return true
}

// launch sends the start order of a placed attempt. The mutex must be held.
func (leadership *leadership) launch(placement jobkeeper.Placement, id scheduler.RunID) {
	var spec scheduler.Step
	found, suspect := false, false
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		if run, known := state.Run(placement.Worker, id); known {
			spec, found, suspect = *run.Task().Step().Spec(), true, isSuspect(run.Task())
		}
	})
	if !found {
		return
	}
	instance := leadership.instances[placement.Worker]
	if instance == nil || instance.incarnation != placement.Instance {
		// The instance ended between the decision and its replication.
		leadership.recordLost(id, placement.Worker, placement.Instance)
		return
	}
	instance.attempts[id] = &attempt{
		state: attemptStarting, spec: spec, share: fullShare, targetShare: fullShare,
		// The start order carries the approval service's proof that the step may run on this worker.
		approval: leadership.proofFor(id.Task, instance), timing: timing{measurable: true},
		times: attemptTimes{placedAt: leadership.now()}, suspect: suspect,
	}
	if leadership.starved[id.Task] {
		delete(leadership.starved, id.Task)
		instance.attempts[id].starved, instance.attempts[id].targetShare = true, starvedTaskShare
	}
	leadership.goroutines.Go(func() { leadership.start(instance, id) })
}
