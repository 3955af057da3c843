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

// adoptInterval is how often the log is searched for attempts that this leadership does not know. Placements are
// proposed by the same goroutine, so none is under way then.
const adoptInterval = time.Second

// plan places waiting tasks and stops unwanted attempts until the term ends.
func (leadership *leadership) plan() {
	timer := time.NewTicker(planInterval)
	defer timer.Stop()
	adopted := leadership.now()
	logged := adopted
	for {
		changed := leadership.overseer.keeper.Changed()
		if now := leadership.now(); now > adopted+adoptInterval {
			adopted = now
			leadership.adoptAll()
		}
		if now := leadership.now(); now > logged+loadInterval {
			logged = now
			leadership.logLoad()
		}
		pause := max(planPause, restFactor*leadership.planOnce())
		select {
		case <-leadership.context.Done():
			return
		case <-changed:
		case <-leadership.planning:
		case <-timer.C:
		}
		leadership.pause(pause)
	}
}

// planOnce makes one decision and returns how long that took, without the time until it was recorded.
func (leadership *leadership) planOnce() time.Duration {
	if !leadership.mayAct() {
		return 0
	}
	began := leadership.now()
	leadership.beginDue()
	leadership.observeLoad()
	leadership.expireSilent()
	leadership.stopUnwanted()
	leadership.emptyDraining()
	placements := leadership.choose()
	took := leadership.now() - began
	leadership.overseer.metrics.planTime.RecordDuration(took)
	if len(placements) > 0 {
		leadership.place(placements)
	}
	return took
}

// beginDue begins the occurrences of repeated jobs that are due.
func (leadership *leadership) beginDue() {
	now := time.Now()
	var due []jobkeeper.StartOccurrence
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		state.VisitRepeated(func(job *jobkeeper.Job) {
			if occurrence, at, ok := job.NextDue(); ok && !now.Before(at) {
				due = append(due, jobkeeper.StartOccurrence{Job: job.ID(), Occurrence: occurrence})
			}
		})
	})
	for _, repeat := range due {
		if _, err := leadership.propose(jobkeeper.Command{StartOccurrence: &repeat}); err != nil {
			leadership.logger.Warn().Str("event", "occurrenceNotBegun").Str("job", string(repeat.Job)).Int("occurrence", repeat.Occurrence).
				Err(err).Msg("the occurrence will be begun later")
			return
		}
	}
}

// stopUnwanted stops the attempts of jobs that have ended and of tasks that have finished.
func (leadership *leadership) stopUnwanted() {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		state.VisitObsolete(func(run *jobkeeper.Run) {
			if life := leadership.lives[run.Worker()]; life != nil && life.known {
				leadership.stopAttempt(life, run.ID(), "no longer wanted")
			}
		})
	})
}

// drainReserve is how long before a draining worker may leave its last attempts are stopped, so that their
// progress is saved and reported.
const drainReserve = time.Second

// emptyDraining moves attempts off workers that leave: long-running ones at once, others shortly before the
// worker may end.
func (leadership *leadership) emptyDraining() {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	now := leadership.now()
	for _, life := range leadership.lives {
		if !life.known || life.beat.Phase != scheduler.WorkerDraining {
			continue
		}
		last := now-life.heard > life.beat.DrainRemaining-drainReserve
		for id, attempt := range life.attempts {
			if last || attempt.spec.LongRunning {
				leadership.stopAttempt(life, id, "the worker leaves")
			}
		}
	}
}

// choose decides where waiting tasks go.
func (leadership *leadership) choose() []jobkeeper.Placement {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	clear(leadership.starved)
	var placements []jobkeeper.Placement
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		leadership.overseer.metrics.ready.Update(float64(state.ReadyCount()))
		if state.ReadyCount() == 0 {
			return
		}
		pools := leadership.freeWorkers(state)
		leadership.forgetApprovals(state)
		waiting := waitingSteps(state)
		leadership.journal.noteWaiting(leadership.now(), waiting)
		groups := map[scheduler.PoolName][]packer.Group{}
		for _, candidate := range waiting {
			pool := candidate.step.Job().Queue().Pool
			group := leadership.group(candidate)
			group.Starved = leadership.isStarved(candidate, pool)
			groups[pool] = append(groups[pool], group)
			if group.Starved {
				leadership.noteStarved(group.Tasks)
			}
		}
		for pool, workers := range pools {
			for _, choice := range packer.Pack(workers, groups[pool]) {
				placements = append(placements, jobkeeper.Placement{
					Task: choice.Task, Worker: choice.Worker, Instance: leadership.lives[choice.Worker].life,
				})
			}
		}
	})
	return placements
}

const (
	// starvedAfter is for how long a job may wait with nothing running while its pool is far from full.
	starvedAfter = 1500 * time.Millisecond
	// starvedLoad is the reserved part of a pool from which on waiting is in order.
	starvedLoad = 0.6
	// starvedShare is the share in percent at which a task works that was placed where it may harm, until its
	// effect is known.
	starvedShare = 20
)

// isStarved reports whether nothing of a job runs although it waits and its pool is far from full.
func (leadership *leadership) isStarved(waiting *waitingStep, pool scheduler.PoolName) bool {
	step, watched := waiting.step, leadership.admitters[pool]
	if !step.Spec().Fill || step.Job().Running() > 0 || watched == nil || watched.ReservedFraction() >= starvedLoad {
		return false
	}
	key := stepKey{job: step.Job().ID(), occurrence: step.Occurrence(), step: step.Number()}
	return leadership.now()-leadership.journal.waiting[key].since > starvedAfter
}

func (leadership *leadership) noteStarved(tasks []scheduler.StepTaskID) {
	for _, task := range tasks {
		leadership.starved[task] = true
	}
}

// freeWorkers returns the workers that take new work, by pool.
func (leadership *leadership) freeWorkers(state *jobkeeper.State) map[scheduler.PoolName][]*packer.Worker {
	now := leadership.now()
	silence, wall := leadership.silence(), time.Now()
	pools := map[scheduler.PoolName][]*packer.Worker{}
	for _, name := range slices.Sorted(maps.Keys(leadership.lives)) {
		life := leadership.lives[name]
		if !life.mayTakeWork(now, silence) || !life.synced || leadership.isRetired(life) || leadership.failures.isQuarantined(name, wall) {
			continue
		}
		survey := life.survey()
		pools[life.beat.Pool] = append(pools[life.beat.Pool], &packer.Worker{
			Name: name, Rack: life.rack(), Labels: life.beat.Labels, Capacity: life.beat.Capacity,
			Free: life.beat.Capacity.Minus(state.Reserved(name)), Slack: survey.slack, Forecast: leadership.forecast(life, survey),
			Images: survey.images,
		})
	}
	return pools
}

// isRetired reports whether a worker's VM is being emptied for its maintenance.
func (leadership *leadership) isRetired(life *worker) bool {
	_, retired := leadership.maintenance.retired[life.beat.VM]
	return retired
}

// silence is after how long without a sign of life a worker gets no new work.
func (leadership *leadership) silence() time.Duration {
	return time.Duration(beatsUntilSilent * float64(leadership.overseer.beatInterval))
}

// waitingStep is a step with tasks that wait for an attempt.
type waitingStep struct {
	step    *jobkeeper.StepState
	tasks   []*jobkeeper.Task
	urgency packer.Urgency
}

// waitingSteps returns the steps with waiting tasks, the most urgent one first.
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
	for _, waiting := range sorted {
		slices.SortFunc(waiting.tasks, func(a, b *jobkeeper.Task) int { return cmp.Compare(a.ID().Index, b.ID().Index) })
	}
	return sorted
}

// urgencyOf returns the urgency of a step that waits.
func urgencyOf(step *jobkeeper.StepState, now time.Time) packer.Urgency {
	job := step.Job()
	workflow := job.Workflow()
	work := packer.UrgencyInput{Queue: job.Queue(), ReleaseTime: job.Accepted(), LongRunning: step.Spec().LongRunning}
	if repeat := workflow.Repeat; repeat != nil {
		work.ReleaseTime = repeat.Due(step.Occurrence())
	}
	work.CriticalPath = packer.CriticalPath(workflow.Steps, func(position int) time.Duration { return workflow.Steps[position].Estimate })
	siblings := step.Siblings()
	work.RemainingPath = packer.CriticalPath(workflow.Steps, func(position int) time.Duration {
		if siblings[position].Finished() {
			return 0
		}
		return workflow.Steps[position].Estimate
	})
	work.RemainingWork = remainingLoad(siblings)
	return packer.UrgencyOf(work, now)
}

// remainingLoad returns the estimated work of the tasks that have not finished, see packer.Urgency.
func remainingLoad(steps []*jobkeeper.StepState) int64 {
	var load int64
	for _, step := range steps {
		spec := step.Spec()
		load += int64(step.UnfinishedTasks()) * spec.Estimate.Milliseconds() * spec.Request.MilliCores
	}
	return load
}

// group returns the packer's view of a step.
func (leadership *leadership) group(waiting *waitingStep) packer.Group {
	group := packer.Group{
		Step: waiting.step.Spec(), Approved: leadership.approved(waiting.step, len(waiting.tasks)), Avoid: leadership.failures.avoid(waiting.tasks),
	}
	for _, task := range waiting.tasks {
		group.Tasks = append(group.Tasks, task.ID())
	}
	if group.Step.MaxPerWorker > 0 {
		group.AttemptsByWorker = map[scheduler.WorkerName]int{}
		for _, task := range waiting.step.Tasks() {
			for _, run := range task.Runs() {
				group.AttemptsByWorker[run.Worker()]++
			}
		}
	}
	return group
}

// place replicates placements and then sends the starts of those that were accepted.
func (leadership *leadership) place(placements []jobkeeper.Placement) {
	result, err := leadership.propose(jobkeeper.Command{Place: placements})
	if err != nil {
		leadership.logger.Warn().Str("event", "placementsNotRecorded").Int("placements", len(placements)).Err(err).
			Msg("tasks will be placed again")
		return
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.logPlaced(placements, result.Attempts)
	for position, placement := range placements {
		if position >= len(result.Attempts) || result.Attempts[position] == 0 {
			continue
		}
		run := scheduler.RunID{Task: placement.Task, Attempt: result.Attempts[position]}
		leadership.launch(placement, run)
	}
}

// launch sends the start of a placed attempt. The mutex is held.
func (leadership *leadership) launch(placement jobkeeper.Placement, id scheduler.RunID) {
	var spec scheduler.Step
	found := false
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		if run, known := state.Run(placement.Worker, id); known {
			spec, found = *run.Task().Step().Spec(), true
		}
	})
	if !found {
		return
	}
	life := leadership.lives[placement.Worker]
	if life == nil || life.life != placement.Instance {
		leadership.lose(id, placement.Worker, placement.Instance) // The life ended between the decision and its record.
		return
	}
	life.attempts[id] = &attempt{
		state: attemptStarting, spec: spec, share: fullShare, wantedShare: fullShare, approval: leadership.proofFor(id.Task, life),
	}
	if leadership.starved[id.Task] {
		delete(leadership.starved, id.Task)
		life.attempts[id].starved, life.attempts[id].wantedShare = true, starvedShare
	}
	leadership.workers.Go(func() { leadership.start(life, id) })
}
