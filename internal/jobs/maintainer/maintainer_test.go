package maintainer

import (
	"slices"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against more VMs down at the same time than the wave allows, against maintenance of a VM with running attempts,
// and against VMs that are drained long before their maintenance.
func TestPlanWave(t *testing.T) {
	vm := func(name scheduler.VMName, phase Phase, attempts int) VM {
		return VM{Name: name, Phase: phase, Attempts: attempts}
	}
	tests := map[string]struct {
		vms   []VM
		drain []scheduler.VMName
		start []scheduler.VMName
	}{
		"all waiting":                {[]VM{vm("a", PhaseWaiting, 3), vm("b", PhaseWaiting, 1), vm("c", PhaseWaiting, 2), vm("d", PhaseWaiting, 9), vm("e", PhaseWaiting, 8)}, []scheduler.VMName{"b", "c", "a", "e"}, nil},
		"drained VMs":                {[]VM{vm("a", PhaseWaiting, 0), vm("b", PhaseWaiting, 0), vm("c", PhaseWaiting, 0)}, []scheduler.VMName{"a", "b", "c"}, []scheduler.VMName{"a", "b"}},
		"one VM down":                {[]VM{vm("a", PhaseDown, 0), vm("b", PhaseWaiting, 0), vm("c", PhaseWaiting, 0), vm("d", PhaseWaiting, 0)}, []scheduler.VMName{"a", "b", "c", "d"}, []scheduler.VMName{"b"}},
		"maximum number down":        {[]VM{vm("a", PhaseDown, 0), vm("b", PhaseDown, 0), vm("c", PhaseWaiting, 0)}, []scheduler.VMName{"a", "b", "c"}, nil},
		"order of an earlier leader": {[]VM{vm("a", PhaseOrdered, 2), vm("b", PhaseOrdered, 0), vm("c", PhaseWaiting, 0)}, []scheduler.VMName{"a", "b", "c"}, []scheduler.VMName{"b"}},
		"done":                       {[]VM{vm("a", PhaseDone, 5), vm("b", PhaseDone, 0)}, nil, nil},
		"draining VM kept":           {[]VM{{Name: "z", Phase: PhaseWaiting, Draining: true, Attempts: 9}, vm("a", PhaseWaiting, 1), vm("b", PhaseWaiting, 1), vm("c", PhaseWaiting, 1), vm("d", PhaseWaiting, 1)}, []scheduler.VMName{"z", "a", "b", "c"}, nil},
		"more down than allowed":     {[]VM{vm("a", PhaseDown, 0), vm("b", PhaseDown, 0), vm("c", PhaseDown, 0), vm("d", PhaseWaiting, 0)}, []scheduler.VMName{"a", "b", "c", "d"}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plan := PlanWave(Wave{MaxConcurrent: 2, Remaining: time.Hour, VMs: test.vms})
			if !slices.Equal(plan.Drain, test.drain) || !slices.Equal(plan.Start, test.start) || plan.DrainImmediately {
				t.Errorf("got %+v, want to drain %v and start %v with time remaining", plan, test.drain, test.start)
			}
		})
	}
}

// Guards against a wave that misses its deadline because it waits for running tasks.
func TestDrainImmediately(t *testing.T) {
	wave := Wave{MaxConcurrent: 2, VMs: make([]VM, 9)}
	for position := range wave.VMs {
		wave.VMs[position].Phase = PhaseWaiting
	}
	for remaining, want := range map[time.Duration]bool{time.Minute: false, 6 * restartTime: false, 6*restartTime - 1: true, -time.Second: true} {
		wave.Remaining = remaining
		if got := PlanWave(wave).DrainImmediately; got != want {
			t.Errorf("%v remaining: got immediate drain %v, want %v", remaining, got, want)
		}
	}
}
