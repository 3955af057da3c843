package replicator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// checkSequences compares what the VMs have applied. Each sequence must be a prefix of the longest.
func (schedule *schedule) checkSequences() {
	for name, vm := range schedule.vms {
		if vm.machine == nil {
			continue
		}
		applied := vm.machine.list()
		shared := min(len(applied), len(schedule.longest))
		for position := range shared {
			if applied[position] != schedule.longest[position] {
				schedule.violate("%s applied %s where another VM applied %s", name, applied[position], schedule.longest[position])
				return
			}
		}
		if len(applied) > shared {
			schedule.longest = applied
		}
	}
}

// recover ends all faults, waits until the group works again and checks the outcomes.
func (schedule *schedule) recover() {
	schedule.endLinkFaults()
	schedule.heal()
	for _, vm := range schedule.vms {
		vm.thaw()
		vm.journal.set(func() { vm.journal.failSync = false })
		schedule.restart(vm)
	}
	for start := time.Now(); !schedule.isCaughtUp(); time.Sleep(tickInterval) {
		if time.Since(start) > recoveryTime {
			schedule.violate("the group does not work %v after the last fault: %s", recoveryTime, schedule.describe())
			return
		}
	}
	schedule.checkSequences()
	schedule.checkOutcomes()
}

// isCaughtUp reports whether a leader takes proposals and every voter has applied the last one.
func (schedule *schedule) isCaughtUp() bool {
	for _, replicator := range schedule.replicators() {
		if !replicator.HoldsLeaderLease() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		result, err := replicator.Propose(ctx, []byte("final"))
		if err != nil {
			return false
		}
		for _, voter := range replicator.Status().Voters() {
			vm := schedule.vms[voter]
			if vm.replicator.ReadBarrier(ctx) != nil || !slices.Contains(vm.machine.list(), string(result)) {
				return false
			}
		}
		return true
	}
	return false
}

func (schedule *schedule) describe() string {
	var parts []string
	for name, replicator := range schedule.replicators() {
		parts = append(parts, fmt.Sprintf("%s %+v members %+v err %v", name, replicator.Status(), replicator.Members(), replicator.Err()))
	}
	return strings.Join(parts, "; ")
}

func (schedule *schedule) checkOutcomes() {
	count := map[string]int{}
	indexed := map[string]bool{}
	for _, applied := range schedule.longest {
		_, command, _ := strings.Cut(applied, ":")
		count[command]++
		indexed[applied] = true
		if count[command] > 1 && command != "final" {
			schedule.violate("%s is applied %d times", command, count[command])
		}
	}
	for _, result := range schedule.outcomes["done"] {
		if !indexed[result] {
			schedule.violate("acknowledged %s is lost", result)
		}
	}
	for _, command := range schedule.outcomes["not run"] {
		if count[command] > 0 {
			schedule.violate("%s is applied although its proposer was told not run", command)
		}
	}
	if unclassified := schedule.outcomes["unclassified"]; len(unclassified) > 0 {
		schedule.violate("errors without a class for %v", unclassified)
	}
}
