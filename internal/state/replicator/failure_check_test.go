package replicator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// checkSequences checks that the sequence of commands applied by each VM is a prefix of the longest one.
func (schedule *schedule) checkSequences() {
	for name, vm := range schedule.vms {
		if vm.machine == nil {
			continue
		}
		applied := vm.machine.list()
		shared := min(len(applied), len(schedule.longest))
		for position := range shared {
			if applied[position] != schedule.longest[position] {
				schedule.addViolation("%s applied %s where another VM applied %s", name, applied[position], schedule.longest[position])
				return
			}
		}
		if len(applied) > shared {
			schedule.longest = applied
		}
	}
}

// recover repairs all faults, waits until the group is available again and checks the outcomes.
func (schedule *schedule) recover() {
	schedule.clearLinkFaults()
	schedule.restoreLinks()
	schedule.repairDisks()
	for _, vm := range schedule.vms {
		vm.resume()
		vm.journal.set(func() { vm.journal.failSync = false })
		schedule.restart(vm)
	}
	for start := time.Now(); !schedule.isCaughtUp(); time.Sleep(tickInterval) {
		schedule.rejoinFailed()
		if time.Since(start) > recoveryTimeout {
			schedule.addViolation("the group is not available %v after the last fault: %s", recoveryTimeout, schedule.describe())
			return
		}
	}
	schedule.checkSequences()
	schedule.checkOutcomes()
}

// isCaughtUp reports whether a leader accepts a proposal and every voter has applied it.
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
	var descriptions []string
	for name, replicator := range schedule.replicators() {
		descriptions = append(descriptions, fmt.Sprintf("%s %+v members %+v err %v", name, replicator.Status(), replicator.Members(), replicator.Err()))
	}
	return strings.Join(descriptions, "; ")
}

func (schedule *schedule) checkOutcomes() {
	count := map[string]int{}
	indexed := map[string]bool{}
	for _, applied := range schedule.longest {
		_, command, _ := strings.Cut(applied, ":")
		count[command]++
		indexed[applied] = true
		if count[command] > 1 && command != "final" {
			schedule.addViolation("%s is applied %d times", command, count[command])
		}
	}
	for _, result := range schedule.outcomes["done"] {
		if !indexed[result] {
			schedule.addViolation("acknowledged %s is lost", result)
		}
	}
	for _, command := range schedule.outcomes["not run"] {
		if count[command] > 0 {
			schedule.addViolation("%s is applied although its proposer got the outcome not run", command)
		}
	}
	if unclassified := schedule.outcomes["unclassified"]; len(unclassified) > 0 {
		schedule.addViolation("errors without a class for %v", unclassified)
	}
}
