package replicator

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// diskSchedule configures the faults of disks in a schedule.
type diskSchedule struct {
	// enabled lets disks refuse operations for a while, in addition to the other faults. VMs that leave the group
	// rejoin it in place.
	enabled bool
	// The others are mutations of what happens after a refused operation.
	neverReopens, trustsPages bool
}

// injectDiskFault lets the disks of one or two VMs, most often the leader's, refuse operations for up to 4 s.
func (schedule *schedule) injectDiskFault() {
	vms := []*fakeVM{schedule.randomVM()}
	for name, replicator := range schedule.replicators() {
		if replicator.HoldsLeaderLease() && schedule.random.IntN(3) > 0 {
			vms[0] = schedule.vms[name]
		}
	}
	if schedule.random.IntN(3) == 0 {
		vms = append(vms, schedule.randomVM())
	}
	kind := schedule.random.IntN(5)
	for _, vm := range vms {
		schedule.refuse(vm, kind)
	}
}

// refuse lets the disk of a VM refuse one kind of operations, or all of them.
func (schedule *schedule) refuse(vm *fakeVM, kind int) {
	faults := vm.journal.faults
	set := func(refuses bool) {
		faults.set(func() {
			switch kind {
			case 0:
				faults.append = refuses
			case 1:
				faults.sync = refuses
			case 2:
				faults.hardState = refuses
			case 3:
				faults.snapshot = refuses
			default:
				faults.append, faults.sync, faults.hardState, faults.snapshot = refuses, refuses, refuses, refuses
			}
		})
	}
	set(true)
	schedule.scheduleRepair(4*time.Second, func() { set(false) })
}

// repairDisks ends all faults of disks.
func (schedule *schedule) repairDisks() {
	for _, vm := range schedule.vms {
		faults := vm.journal.faults
		faults.set(func() { faults.append, faults.sync, faults.hardState, faults.snapshot = false, false, false, false })
	}
}

// rejoinFailed makes the VMs that have left the group after a failure rejoin it.
func (schedule *schedule) rejoinFailed() {
	if !schedule.disks.enabled || schedule.disks.neverReopens {
		return
	}
	for _, vm := range schedule.vms {
		if !vm.running || vm.replicator.Err() == nil {
			continue
		}
		schedule.checkFailure(vm)
		if schedule.rejoin(vm, schedule.disks.trustsPages) == nil {
			schedule.rejoins++
		}
	}
}

// checkStopped reports a VM that claims a leadership although it has left the group.
func (schedule *schedule) checkStopped() {
	for name, replicator := range schedule.replicators() {
		node := replicator.node()
		select {
		case <-node.stopped:
		default:
			continue
		}
		if view := node.view.Load(); view.status.Role() == scheduler.GroupLeader || view.responding != nil {
			schedule.addViolation("%s has left the group and still claims to lead it", name)
		}
	}
}

// isDiskFailure reports whether err is a failure that a fault of the disk explains.
func isDiskFailure(err error) bool {
	return scheduler.ErrJournalFailed.Has(err) || errors.Is(err, errRefused)
}

// Guards against lost or doubled commands, two leases and a group that does not recover, when disks refuse writes beside
// other faults and VMs rejoin in place. To repeat a schedule, use -seeds 1 -first-seed N.
func TestRandomDiskFailures(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				for _, violation := range runSchedule(t, seed, hooks{}, diskSchedule{enabled: true}) {
					t.Error(violation)
				}
			})
		})
	}
}

// Checks that the schedules with faults of disks detect faults of the repair: each mutation must cause a violation.
func TestDiskMutationsAreCaught(t *testing.T) {
	tests := map[string]struct {
		hooks hooks
		disks diskSchedule
	}{
		"no reopening":                         {disks: diskSchedule{enabled: true, neverReopens: true}},
		"acknowledgement before the sync":      {hooks: hooks{skipSync: true}, disks: diskSchedule{enabled: true}},
		"a leadership that outlives its group": {hooks: hooks{keepLeadership: true}, disks: diskSchedule{enabled: true}},
		"trust in pages after a failed sync":   {disks: diskSchedule{enabled: true, trustsPages: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed; seed < *firstSeed+*mutations; seed++ {
				var violations []string
				inBubble(t, func(t *testing.T) { violations = runSchedule(t, seed, test.hooks, test.disks) })
				if len(violations) > 0 {
					t.Logf("%s: detected by schedule %d: %s", name, seed-*firstSeed+1, violations[0])
					return
				}
			}
			t.Errorf("not detected by %d seeds", *mutations)
		})
	}
}
