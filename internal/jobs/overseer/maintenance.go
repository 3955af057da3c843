package overseer

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/maintainer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// maintenanceInterval is how often waves are looked at.
	maintenanceInterval = 100 * time.Millisecond
	// maintenanceTimeout bounds one order to the platform, maintenanceRetry the pause before it is repeated.
	maintenanceTimeout = 2 * time.Second
	maintenanceRetry   = 500 * time.Millisecond
	// taskPatience is for how long a VM may wait for tasks that do not save their progress.
	taskPatience = 3 * time.Second
	// returnAfter is how long after an accepted order a later worker may show that its VM is back. Until then, a beat of one that
	// had begun before may still be under way.
	returnAfter = time.Second
	// stillThere is how long after an accepted order a worker that still answers shows that its VM had its maintenance
	// before.
	stillThere = 3 * time.Second
)

// maintenance is what a leadership knows of the maintenance of VMs. The leadership's mutex guards it.
type maintenance struct {
	// retired tells since when a VM is being emptied.
	retired map[scheduler.VMName]time.Duration
	// hurried holds the VMs of waves that have no time left.
	hurried map[scheduler.VMName]bool
	// ordering holds the VMs about which an order is under way, accepted when it was accepted.
	ordering map[scheduler.VMName]bool
	accepted map[scheduler.VMName]acceptance
}

// acceptance is when an order was accepted, and the life of the worker that was known on the VM then.
type acceptance struct {
	at   time.Duration
	life scheduler.Incarnation
}

func newMaintenance() maintenance {
	return maintenance{
		retired: map[scheduler.VMName]time.Duration{}, hurried: map[scheduler.VMName]bool{},
		ordering: map[scheduler.VMName]bool{}, accepted: map[scheduler.VMName]acceptance{},
	}
}

// retireOrdered keeps work off VMs whose maintenance a former leader may have ordered: its order may still arrive.
func (leadership *leadership) retireOrdered() {
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		for _, wave := range state.Waves() {
			for _, vm := range wave.VMs() {
				if vm.Phase() == jobkeeper.MaintenanceBegun {
					leadership.maintenance.retired[vm.Name()] = leadership.now()
				}
			}
		}
	})
}

// maintain carries out waves of maintenance until the term ends. Orders for a VM may still come from the former leader for
// the time that its right to give them lasts.
func (leadership *leadership) maintain() {
	leadership.pause(leadership.overseer.maintainerLease)
	for leadership.context.Err() == nil {
		if leadership.mayAct() {
			leadership.maintainOnce()
		}
		leadership.pause(maintenanceInterval)
	}
}

func (leadership *leadership) maintainOnce() {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	var steps []jobkeeper.MaintenanceStep
	retired := map[scheduler.VMName]time.Duration{}
	clear(leadership.maintenance.hurried)
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		for _, wave := range state.Waves() {
			if wave.Completed() {
				continue
			}
			steps = append(steps, leadership.returned(wave)...)
			leadership.advanceWave(wave, retired)
		}
	})
	leadership.maintenance.retired = retired
	leadership.emptyRetired()
	if len(steps) > 0 {
		leadership.workers.Go(func() { leadership.recordSteps(steps) })
	}
}

// advanceWave retires VMs and begins the maintenance of those whose turn it is.
func (leadership *leadership) advanceWave(wave *jobkeeper.Wave, retired map[scheduler.VMName]time.Duration) {
	plan := maintainer.PlanWave(maintainer.Wave{MaxConcurrent: wave.MaxConcurrent(), Remaining: time.Until(wave.Deadline()), VMs: leadership.vmsOf(wave)})
	for _, vm := range plan.Drain {
		since, known := leadership.maintenance.retired[vm]
		if !known {
			since = leadership.now()
		}
		retired[vm] = since
		leadership.maintenance.hurried[vm] = plan.DrainImmediately
	}
	for _, vm := range plan.Start {
		if _, retiredBefore := leadership.maintenance.retired[vm]; !retiredBefore || leadership.maintenance.ordering[vm] {
			continue // A decision that is under way may still place work there.
		}
		leadership.maintenance.ordering[vm] = true
		step := jobkeeper.MaintenanceStep{Wave: wave.Number(), VM: vm, Phase: jobkeeper.MaintenanceBegun}
		leadership.workers.Go(func() { leadership.beginMaintenance(step) })
	}
}

// vmsOf returns the planner's view of the VMs of a wave.
func (leadership *leadership) vmsOf(wave *jobkeeper.Wave) []maintainer.VM {
	vms := make([]maintainer.VM, 0, len(wave.VMs()))
	for _, vm := range wave.VMs() {
		_, retired := leadership.maintenance.retired[vm.Name()]
		view := maintainer.VM{Name: vm.Name(), Phase: maintainer.PhaseWaiting, Draining: retired}
		view.Attempts = leadership.attemptsOn(vm.Name())
		_, accepted := leadership.maintenance.accepted[vm.Name()]
		switch {
		case vm.Phase() == jobkeeper.MaintenanceDone:
			view.Phase = maintainer.PhaseDone
		case accepted || leadership.maintenance.ordering[vm.Name()]:
			view.Phase = maintainer.PhaseDown
		case vm.Phase() == jobkeeper.MaintenanceBegun:
			view.Phase = maintainer.PhaseOrdered
		}
		vms = append(vms, view)
	}
	return vms
}

// attemptsOn returns how many attempts are on a VM. Until all leases of former leaders have ended, a VM of which nothing was
// heard may have some.
func (leadership *leadership) attemptsOn(vm scheduler.VMName) int {
	if life := leadership.workerOn(vm); life != nil {
		return len(life.attempts)
	}
	if leadership.now() < leadership.fullLease(leadership.began) {
		return 1
	}
	return 0
}

// workerOn returns the worker that runs on a VM, nil if none is known.
func (leadership *leadership) workerOn(vm scheduler.VMName) *worker {
	return leadership.lives[leadership.places[vmPlace(vm)]]
}

func (leadership *leadership) lifeOn(vm scheduler.VMName) scheduler.Incarnation {
	if life := leadership.workerOn(vm); life != nil {
		return life.life
	}
	return 0
}

// returned returns the VMs that are back: a later worker was heard there, or the one that was there goes on.
func (leadership *leadership) returned(wave *jobkeeper.Wave) []jobkeeper.MaintenanceStep {
	var steps []jobkeeper.MaintenanceStep
	for _, vm := range wave.VMs() {
		accepted, ordered := leadership.maintenance.accepted[vm.Name()]
		life := leadership.workerOn(vm.Name())
		if !ordered || vm.Phase() != jobkeeper.MaintenanceBegun || life == nil {
			continue
		}
		replaced := life.life > accepted.life && life.heard > accepted.at+returnAfter
		if replaced || life.heard > accepted.at+stillThere {
			steps = append(steps, jobkeeper.MaintenanceStep{Wave: wave.Number(), VM: vm.Name(), Phase: jobkeeper.MaintenanceDone})
		}
	}
	return steps
}

// emptyRetired stops what runs on retired VMs, as far as the steps of long-running tasks allow absences.
func (leadership *leadership) emptyRetired() {
	now := leadership.now()
	for vm, since := range leadership.maintenance.retired {
		life := leadership.workerOn(vm)
		if life == nil || !life.known {
			continue
		}
		patient := now-since < taskPatience && !leadership.maintenance.hurried[vm]
		for id, attempt := range life.attempts {
			switch {
			case attempt.spec.LongRunning && !leadership.mayBeAway(id):
			case !attempt.spec.LongRunning && !attempt.spec.Checkpointing && patient:
			default:
				leadership.stopAttempt(life, id, "the VM has its maintenance")
			}
		}
	}
}

// mayBeAway reports whether a task of a long-running step may be stopped: fewer others of its step are away than the step
// allows. A task is away unless it was reported to be at work.
func (leadership *leadership) mayBeAway(id scheduler.RunID) bool {
	allowed := true
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		job, found := state.Job(id.Task.Job)
		if !found {
			return
		}
		step := job.Step(id.Task.Occurrence, id.Task.Step)
		if step == nil || step.Spec().MaxUnavailable <= 0 {
			return
		}
		away := 0
		for _, task := range step.Tasks() {
			if task.ID() != id.Task && !leadership.isAtWork(task) {
				away++
			}
		}
		allowed = away < step.Spec().MaxUnavailable
	})
	return allowed
}

// fullProgress is the progress of a long-running task that is at work.
const fullProgress = 100

func (leadership *leadership) isAtWork(task *jobkeeper.Task) bool {
	for _, run := range task.Runs() {
		life := leadership.lives[run.Worker()]
		if life == nil {
			continue
		}
		attempt := life.attempts[run.ID()]
		if attempt != nil && attempt.state == attemptRunning && !attempt.ending && attempt.running.Progress >= fullProgress {
			return true
		}
	}
	return false
}

// beginMaintenance records that the maintenance of a VM begins and orders it until that is answered.
func (leadership *leadership) beginMaintenance(step jobkeeper.MaintenanceStep) {
	defer leadership.endOrdering(step.VM)
	if !leadership.recordSteps([]jobkeeper.MaintenanceStep{step}) {
		return
	}
	for leadership.context.Err() == nil {
		if !leadership.maySend(leadership.now()) {
			leadership.pause(leaseCheckInterval)
			continue
		}
		verdict, err := leadership.orderMaintenance(step)
		leadership.logger.Info().Str("event", "maintenanceOrdered").Str("peer", string(step.VM)).Uint64("wave", step.Wave).
			Str("verdict", string(verdict)).Err(err).Msg("maintenance of a VM")
		if err == nil && leadership.takeMaintenanceAnswer(step, verdict) {
			return
		}
		leadership.pause(maintenanceRetry)
	}
}

func (leadership *leadership) orderMaintenance(step jobkeeper.MaintenanceStep) (scheduler.MaintenanceResult, error) {
	ctx, cancel := context.WithTimeout(leadership.context, maintenanceTimeout)
	defer cancel()
	return leadership.overseer.maintainer.Maintain(ctx, scheduler.MaintenanceOrder{
		VM: step.VM, Wave: step.Wave, Holder: leadership.overseer.self, Token: leadership.term,
	})
}

// takeMaintenanceAnswer notes the answer to an order. It returns false when the order must be given again: while a VM is
// busy, an earlier order that got no answer may still have begun its maintenance.
func (leadership *leadership) takeMaintenanceAnswer(step jobkeeper.MaintenanceStep, verdict scheduler.MaintenanceResult) bool {
	switch verdict {
	case scheduler.MaintenanceAccepted:
		leadership.mutex.Lock()
		defer leadership.mutex.Unlock()
		leadership.maintenance.accepted[step.VM] = acceptance{at: leadership.now(), life: leadership.lifeOn(step.VM)}
		return true
	case scheduler.MaintenanceNotApplicable:
		step.Phase = jobkeeper.MaintenanceDone
		return leadership.recordSteps([]jobkeeper.MaintenanceStep{step})
	case scheduler.MaintenanceFenced:
		leadership.deposed.Store(true)
		return true
	case scheduler.MaintenanceBusy:
	}
	return false
}

func (leadership *leadership) endOrdering(vm scheduler.VMName) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	delete(leadership.maintenance.ordering, vm)
}

// recordSteps replicates how far the maintenance of VMs has come.
func (leadership *leadership) recordSteps(steps []jobkeeper.MaintenanceStep) bool {
	if _, err := leadership.propose(jobkeeper.Command{MaintenanceSteps: steps}); err != nil {
		leadership.logger.Warn().Str("event", "maintenanceNotRecorded").Int("steps", len(steps)).Err(err).Msg("steps will be proposed again")
		return false
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	for _, step := range steps {
		if step.Phase == jobkeeper.MaintenanceDone {
			delete(leadership.maintenance.accepted, step.VM)
		}
	}
	return true
}
