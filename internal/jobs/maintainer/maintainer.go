// Package maintainer decides in which order the VMs of a wave have their maintenance. It is pure decision code. The load
// that it answers is a fleet that goes on working while parts of it are taken down: VMs are emptied ahead of their turn, so
// that none is down for longer than its maintenance takes, and tasks that serve move one after the other.
package maintainer

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// cycleTime is how long a VM is expected to be down, with the time until its new worker takes work.
const cycleTime = 4 * time.Second

// Phase tells how far the maintenance of a VM has come.
type Phase string

// Values of Phase.
const (
	PhaseWaiting Phase = "waiting"
	// PhaseOrdered means that an order may have been given by an earlier leader, so that it must be given again.
	PhaseOrdered Phase = "ordered"
	// PhaseDown means that this leader's order was accepted and the VM is not back.
	PhaseDown Phase = "down"
	PhaseDone Phase = "done"
)

// VM is a VM of a wave.
type VM struct {
	Name  scheduler.VMName
	Phase Phase
	// Draining is true when the VM gets no new work already, Attempts counts what is on it.
	Draining  bool
	Attempts int
}

// Wave is what is left to do of a wave.
type Wave struct {
	MaxConcurrent int
	// Remaining is the time until the wave should be completed.
	Remaining time.Duration
	VMs  []VM
}

// Plan tells what to do next for a wave.
type Plan struct {
	// Drain holds the VMs that should get no new work and be emptied.
	Drain []scheduler.VMName
	// Start holds the VMs whose maintenance may begin now.
	Start []scheduler.VMName
	// DrainImmediately is true when there is no time left to wait for tasks that end soon.
	DrainImmediately bool
}

// PlanWave returns the next steps of a wave. A VM that may be down counts as such, so that never more than AtOnce are.
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
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Attempts, b.Attempts), cmp.Compare(a.Name, b.Name))
	})
	free := max(0, wave.MaxConcurrent-down)
	// As many as can be down at a time are emptied ahead of their turn.
	ahead := min(len(waiting), free+wave.MaxConcurrent)
	for _, vm := range waiting[:ahead] {
		plan.Drain = append(plan.Drain, vm.Name)
		if vm.Attempts == 0 && free > 0 {
			free--
			plan.Start = append(plan.Start, vm.Name)
		}
	}
	rounds := (len(waiting) + wave.MaxConcurrent - 1) / max(1, wave.MaxConcurrent)
	plan.DrainImmediately = time.Duration(rounds+1)*cycleTime > wave.Remaining
	return plan
}

// rank puts VMs first that are being emptied already, so that the choice does not change from one look to the next.
func rank(vm VM) int {
	if vm.Draining {
		return 0
	}
	return 1
}
