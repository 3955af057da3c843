// Package maintainer decides the order in which the VMs of a maintenance wave are taken down. It contains only decision
// logic. It is meant for a fleet that stays in service during maintenance: VMs are drained before it is their turn,
// so that none is down for longer than its maintenance takes, and serving tasks move one after another.
package maintainer

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// restartTime is the expected time from the shutdown of a VM until its new worker accepts tasks.
const restartTime = 4 * time.Second

// Phase is the phase of the maintenance of a VM.
type Phase string

// Values of Phase.
const (
	// PhaseWaiting means that the maintenance has not been ordered.
	PhaseWaiting Phase = "waiting"
	// PhaseOrdered means that an earlier leader may have ordered the maintenance, so that the order must be repeated.
	PhaseOrdered Phase = "ordered"
	// PhaseDown means that the VM has accepted this leader's order and has not returned yet.
	PhaseDown Phase = "down"
	// PhaseDone means that the maintenance is complete.
	PhaseDone Phase = "done"
)

// VM is the state of a VM of a wave.
type VM struct {
	Name  scheduler.VMName
	Phase Phase
	// Draining is true if the VM already accepts no new tasks. Attempts is the number of attempts on it.
	Draining bool
	Attempts int
}

// Wave is the state of a maintenance wave.
type Wave struct {
	// MaxConcurrent is the maximum number of VMs that may be down at the same time.
	MaxConcurrent int
	// Remaining is the time until the deadline of the wave.
	Remaining time.Duration
	VMs       []VM
}

// Plan holds the next actions for a wave.
type Plan struct {
	// Drain holds the VMs that must accept no new tasks and whose attempts must be moved elsewhere.
	Drain []scheduler.VMName
	// Start holds the VMs whose maintenance may start now.
	Start []scheduler.VMName
	// DrainImmediately is true if there is no time left to let running tasks finish.
	DrainImmediately bool
}

// PlanWave returns the next actions for a wave. A VM that may be down counts as down, so that the number of VMs that are
// down never exceeds MaxConcurrent.
func PlanWave(wave Wave) Plan {
	var plan Plan
	var waiting []VM
	down := 0
	for _, vm := range wave.VMs {
		switch vm.Phase {
		case PhaseDown:
			down++
			plan.Drain = append(plan.Drain, vm.Name)
		case PhaseOrdered:
			down++
			plan.Drain = append(plan.Drain, vm.Name)
			if vm.Attempts == 0 {
				plan.Start = append(plan.Start, vm.Name)
			}
		case PhaseWaiting:
			waiting = append(waiting, vm)
		case PhaseDone:
		}
	}
	slices.SortStableFunc(waiting, func(a, b VM) int {
		return cmp.Or(cmp.Compare(drainRank(a), drainRank(b)), cmp.Compare(a.Attempts, b.Attempts), cmp.Compare(a.Name, b.Name))
	})
	free := max(0, wave.MaxConcurrent-down)
	// MaxConcurrent further VMs are drained in advance, so that their maintenance can start without delay.
	ahead := min(len(waiting), free+wave.MaxConcurrent)
	for _, vm := range waiting[:ahead] {
		plan.Drain = append(plan.Drain, vm.Name)
		if vm.Attempts == 0 && free > 0 {
			free--
			plan.Start = append(plan.Start, vm.Name)
		}
	}
	rounds := (len(waiting) + wave.MaxConcurrent - 1) / max(1, wave.MaxConcurrent)
	plan.DrainImmediately = time.Duration(rounds+1)*restartTime > wave.Remaining
	return plan
}

// drainRank sorts VMs that are already draining first, so that the selection stays stable between calls.
func drainRank(vm VM) int {
	if vm.Draining {
		return 0
	}
	return 1
}
