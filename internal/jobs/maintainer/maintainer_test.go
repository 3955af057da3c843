package maintainer

import (
	"slices"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against more VMs down at a time than a wave allows, against maintenance of a VM with work on it, and against a
// wave that takes VMs out of service long before their turn.
func TestPlanWave(t *testing.T) {
	vm := func(name scheduler.VMName, phase Phase, attempts int) VM {
		return VM{Name: name, Phase: phase, Attempts: attempts}
	}
	tests := map[string]struct {
		vms    []VM
		retire []scheduler.VMName
		begin  []scheduler.VMName
	}{
		"all wait":            {[]VM{vm("a", PhaseWaiting, 3), vm("b", PhaseWaiting, 1), vm("c", PhaseWaiting, 2), vm("d", PhaseWaiting, 9), vm("e", PhaseWaiting, 8)}, []scheduler.VMName{"b", "c", "a", "e"}, nil},
		"empty ones":          {[]VM{vm("a", PhaseWaiting, 0), vm("b", PhaseWaiting, 0), vm("c", PhaseWaiting, 0)}, []scheduler.VMName{"a", "b", "c"}, []scheduler.VMName{"a", "b"}},
		"one is down":         {[]VM{vm("a", PhaseDown, 0), vm("b", PhaseWaiting, 0), vm("c", PhaseWaiting, 0), vm("d", PhaseWaiting, 0)}, []scheduler.VMName{"a", "b", "c", "d"}, []scheduler.VMName{"b"}},
		"as many as may be":   {[]VM{vm("a", PhaseDown, 0), vm("b", PhaseDown, 0), vm("c", PhaseWaiting, 0)}, []scheduler.VMName{"a", "b", "c"}, nil},
		"of another leader":   {[]VM{vm("a", PhaseOrdered, 2), vm("b", PhaseOrdered, 0), vm("c", PhaseWaiting, 0)}, []scheduler.VMName{"a", "b", "c"}, []scheduler.VMName{"b"}},
		"done":                {[]VM{vm("a", PhaseDone, 5), vm("b", PhaseDone, 0)}, nil, nil},
		"retired ones stay":   {[]VM{{Name: "z", Phase: PhaseWaiting, Draining: true, Attempts: 9}, vm("a", PhaseWaiting, 1), vm("b", PhaseWaiting, 1), vm("c", PhaseWaiting, 1), vm("d", PhaseWaiting, 1)}, []scheduler.VMName{"z", "a", "b", "c"}, nil},
		"more down than asks": {[]VM{vm("a", PhaseDown, 0), vm("b", PhaseDown, 0), vm("c", PhaseDown, 0), vm("d", PhaseWaiting, 0)}, []scheduler.VMName{"a", "b", "c", "d"}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plan := PlanWave(Wave{MaxConcurrent: 2, Remaining: time.Hour, VMs: test.vms})
			if !slices.Equal(plan.Drain, test.retire) || !slices.Equal(plan.Start, test.begin) || plan.DrainImmediately {
				t.Errorf("got %+v, want to retire %v and begin %v without hurry", plan, test.retire, test.begin)
			}
		})
	}
}

// Guards against a wave that waits for tasks until it is late.
func TestHurry(t *testing.T) {
	wave := Wave{MaxConcurrent: 2, VMs: make([]VM, 9)}
	for position := range wave.VMs {
		wave.VMs[position].Phase = PhaseWaiting
	}
	for left, want := range map[time.Duration]bool{time.Minute: false, 6 * cycleTime: false, 6*cycleTime - 1: true, -time.Second: true} {
		wave.Remaining = left
		if got := PlanWave(wave).DrainImmediately; got != want {
			t.Errorf("%v left: got hurry %v, want %v", left, got, want)
		}
	}
}
