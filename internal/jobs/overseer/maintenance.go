package overseer

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/maintainer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// maintenanceInterval is how often waves are processed.
	maintenanceInterval = 100 * time.Millisecond
	// maintenanceTimeout is the timeout of one order to the platform. maintenanceRetryDelay is the delay before the
	// order is repeated.
	maintenanceTimeout    = 2 * time.Second
	maintenanceRetryDelay = 500 * time.Millisecond
	// taskDrainTimeout is how long tasks without checkpoints on an evacuating VM may run on before they are stopped.
	taskDrainTimeout = 3 * time.Second
	// returnDelay is how long after an accepted order the heartbeat of a later instance proves that the VM is back.
	// Before that, a delayed heartbeat of an instance that started before the maintenance may still arrive.
	returnDelay = time.Second
	// survivalDelay is how long after an accepted order a worker that still sends heartbeats proves that the VM had
	// already been maintained.
	survivalDelay = 3 * time.Second
)

// maintenance is the state of VM maintenance. The leadership's mutex guards it.
type maintenance struct {
	// evacuating holds the VMs being evacuated and when their evacuation started.
	evacuating map[scheduler.VMName]time.Duration
	// urgent holds the VMs of waves that have no time left.
	urgent map[scheduler.VMName]bool
	// ordering holds the VMs for which an order is in progress. accepted holds the orders that were accepted.
	ordering map[scheduler.VMName]bool
	accepted map[scheduler.VMName]acceptance
}

// acceptance is when an order was accepted, and the worker instance that was known on the VM at that time.
type acceptance struct {
	at          time.Duration
	incarnation scheduler.Incarnation
}

func newMaintenance() maintenance {
	return maintenance{
		evacuating: map[scheduler.VMName]time.Duration{}, urgent: map[scheduler.VMName]bool{},
		ordering: map[scheduler.VMName]bool{}, accepted: map[scheduler.VMName]acceptance{},
	}
}

// evacuateOrdered excludes VMs from placement whose maintenance an earlier leader may have ordered, because that
// order may still arrive.
func (leadership *leadership) evacuateOrdered() {
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		for _, wave := range state.Waves() {
			for _, vm := range wave.VMs() {
				if vm.Phase() == jobkeeper.MaintenanceBegun {
					leadership.maintenance.evacuating[vm.Name()] = leadership.now()
				}
			}
		}
	})
}

// maintain processes maintenance waves until the term ends. It first waits for maintainerLease, because orders of the
// former leader may arrive until then.
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
	evacuating := map[scheduler.VMName]time.Duration{}
	clear(leadership.maintenance.urgent)
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		for _, wave := range state.Waves() {
			if wave.Completed() {
				continue
			}
			steps = append(steps, leadership.completedSteps(wave)...)
			leadership.advanceWave(wave, evacuating)
		}
	})
	leadership.maintenance.evacuating = evacuating
	leadership.evacuateVMs()
	if len(steps) > 0 {
		leadership.goroutines.Go(func() { leadership.recordSteps(steps) })
	}
}

// advanceWave selects the VMs to evacuate and starts the maintenance of those that are due.
func (leadership *leadership) advanceWave(wave *jobkeeper.Wave, evacuating map[scheduler.VMName]time.Duration) {
	plan := maintainer.PlanWave(maintainer.Wave{
		MaxConcurrent: wave.MaxConcurrent(), Remaining: time.Until(wave.Deadline()), VMs: leadership.plannerVMs(wave),
	})
	for _, vm := range plan.Drain {
		since, known := leadership.maintenance.evacuating[vm]
		if !known {
			since = leadership.now()
		}
		evacuating[vm] = since
		leadership.maintenance.urgent[vm] = plan.DrainImmediately
	}
	for _, vm := range plan.Start {
		if _, evacuatingBefore := leadership.maintenance.evacuating[vm]; !evacuatingBefore ||
			leadership.maintenance.ordering[vm] {
			continue // A planning cycle that is in progress may still place tasks there.
		}
		leadership.maintenance.ordering[vm] = true
		step := jobkeeper.MaintenanceStep{Wave: wave.Number(), VM: vm, Phase: jobkeeper.MaintenanceBegun}
		leadership.goroutines.Go(func() { leadership.startMaintenance(step) })
	}
}

// plannerVMs returns the VMs of a wave as input for the maintenance planner.
func (leadership *leadership) plannerVMs(wave *jobkeeper.Wave) []maintainer.VM {
	vms := make([]maintainer.VM, 0, len(wave.VMs()))
	for _, vm := range wave.VMs() {
		_, evacuating := leadership.maintenance.evacuating[vm.Name()]
		planned := maintainer.VM{Name: vm.Name(), Phase: maintainer.PhaseWaiting, Draining: evacuating}
		planned.Attempts = leadership.attemptCount(vm.Name())
		_, accepted := leadership.maintenance.accepted[vm.Name()]
		switch {
		case vm.Phase() == jobkeeper.MaintenanceDone:
			planned.Phase = maintainer.PhaseDone
		case accepted || leadership.maintenance.ordering[vm.Name()]:
			planned.Phase = maintainer.PhaseDown
		case vm.Phase() == jobkeeper.MaintenanceBegun:
			planned.Phase = maintainer.PhaseOrdered
		}
		vms = append(vms, planned)
	}
	return vms
}

// attemptCount returns the number of attempts on a VM. A VM without a known worker may have some until all leases of
// former leaders have expired.
func (leadership *leadership) attemptCount(vm scheduler.VMName) int {
	if instance := leadership.instanceOn(vm); instance != nil {
		return len(instance.attempts)
	}
	if leadership.now() < leadership.leaseExpiryFrom(leadership.startedAt) {
		return 1
	}
	return 0
}

// instanceOn returns the worker instance on a VM, or nil if none is known.
func (leadership *leadership) instanceOn(vm scheduler.VMName) *worker {
	return leadership.instances[leadership.occupants[vmLocation(vm)]]
}

func (leadership *leadership) incarnationOn(vm scheduler.VMName) scheduler.Incarnation {
	if instance := leadership.instanceOn(vm); instance != nil {
		return instance.incarnation
	}
	return 0
}

// completedSteps returns the steps of VMs whose maintenance is complete: a later instance was seen there, or the
// instance from before the order is still running.
func (leadership *leadership) completedSteps(wave *jobkeeper.Wave) []jobkeeper.MaintenanceStep {
	var steps []jobkeeper.MaintenanceStep
	for _, vm := range wave.VMs() {
		accepted, ordered := leadership.maintenance.accepted[vm.Name()]
		instance := leadership.instanceOn(vm.Name())
		if !ordered || vm.Phase() != jobkeeper.MaintenanceBegun || instance == nil {
			continue
		}
		replaced := instance.incarnation > accepted.incarnation && instance.lastHeartbeat > accepted.at+returnDelay
		if replaced || instance.lastHeartbeat > accepted.at+survivalDelay {
			steps = append(steps, jobkeeper.MaintenanceStep{
				Wave: wave.Number(), VM: vm.Name(), Phase: jobkeeper.MaintenanceDone,
			})
		}
	}
	return steps
}

// evacuateVMs stops the attempts on evacuating VMs. The attempts of long-running steps are stopped only within the
// step's limit of unavailable tasks.
func (leadership *leadership) evacuateVMs() {
	now := leadership.now()
	for vm, since := range leadership.maintenance.evacuating {
		instance := leadership.instanceOn(vm)
		if instance == nil || !instance.hasHeartbeat {
			continue
		}
		waiting := now-since < taskDrainTimeout && !leadership.maintenance.urgent[vm]
		for id, attempt := range instance.attempts {
			switch {
			case attempt.spec.LongRunning && !leadership.mayBecomeUnavailable(id):
			case !attempt.spec.LongRunning && !attempt.spec.Checkpointing && waiting:
			default:
				leadership.stopAttempt(instance, id, "the VM is being evacuated for maintenance")
			}
		}
	}
}

// mayBecomeUnavailable reports whether a task of a long-running step may be stopped, which holds if fewer other tasks
// of the step are unavailable than the step allows. A task is unavailable unless it was reported as operational.
func (leadership *leadership) mayBecomeUnavailable(id scheduler.RunID) bool {
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
		unavailable := 0
		for _, task := range step.Tasks() {
			if task.ID() != id.Task && !leadership.isOperational(task) {
				unavailable++
			}
		}
		allowed = unavailable < step.Spec().MaxUnavailable
	})
	return allowed
}

// operationalProgress is the progress that a long-running task reports once it is operational.
const operationalProgress = 100

// isOperational reports whether a task is certain to be operational. On a worker that does not respond it may have ended,
// whatever the worker reported last.
func (leadership *leadership) isOperational(task *jobkeeper.Task) bool {
	now, timeout := leadership.now(), leadership.heartbeatTimeout()
	for _, run := range task.Runs() {
		instance := leadership.instances[run.Worker()]
		if instance == nil || !instance.isInContact(now, timeout) {
			continue
		}
		attempt := instance.attempts[run.ID()]
		if attempt != nil && attempt.state == attemptRunning && !attempt.recordingEnd &&
			attempt.running.Progress >= operationalProgress {
			return true
		}
	}
	return false
}

// startMaintenance records the start of a VM's maintenance and then repeats the order until it is answered.
func (leadership *leadership) startMaintenance(step jobkeeper.MaintenanceStep) {
	defer leadership.clearOrdering(step.VM)
	if !leadership.recordSteps([]jobkeeper.MaintenanceStep{step}) {
		return
	}
	for leadership.context.Err() == nil {
		if !leadership.maySend(leadership.now()) {
			leadership.pause(leaseCheckInterval)
			continue
		}
		result, err := leadership.orderMaintenance(step)
		leadership.logger.Info().Str("event", "maintenanceOrdered").Str("peer", string(step.VM)).Uint64("wave", step.Wave).
			Str("verdict", string(result)).Err(err).Msg("maintenance order sent")
		if err == nil && leadership.handleMaintenanceResult(step, result) {
			return
		}
		leadership.pause(maintenanceRetryDelay)
	}
}

func (leadership *leadership) orderMaintenance(step jobkeeper.MaintenanceStep) (scheduler.MaintenanceResult, error) {
	ctx, cancel := context.WithTimeout(leadership.context, maintenanceTimeout)
	defer cancel()
	return leadership.overseer.maintainer.Maintain(ctx, scheduler.MaintenanceOrder{
		VM: step.VM, Wave: step.Wave, Holder: leadership.overseer.self, Token: leadership.term,
	})
}

// handleMaintenanceResult processes the result of an order. It returns false if the order must be repeated. That
// includes MaintenanceBusy, because an earlier unanswered order may have started the maintenance.
func (leadership *leadership) handleMaintenanceResult(
	step jobkeeper.MaintenanceStep, result scheduler.MaintenanceResult,
) bool {
	switch result {
	case scheduler.MaintenanceAccepted:
		leadership.mutex.Lock()
		defer leadership.mutex.Unlock()
		leadership.maintenance.accepted[step.VM] = acceptance{
			at:          leadership.now(),
			incarnation: leadership.incarnationOn(step.VM),
		}
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

func (leadership *leadership) clearOrdering(vm scheduler.VMName) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	delete(leadership.maintenance.ordering, vm)
}

// recordSteps replicates the progress of VM maintenance.
func (leadership *leadership) recordSteps(steps []jobkeeper.MaintenanceStep) bool {
	if _, err := leadership.propose(jobkeeper.Command{MaintenanceSteps: steps}); err != nil {
		leadership.repeatedWarning("maintenanceNotRecorded", err).Int("steps", len(steps)).
			Msg("could not record maintenance steps; will retry")
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
