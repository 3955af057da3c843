package replicator

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var (
	firstSeed     = flag.Uint64("first-seed", 1, "first seed of the random failure schedules")
	seedCount     = flag.Uint64("seeds", 6, "number of random failure schedules")
	slowMutations = flag.Bool("slow-mutations", false, "also run mutations that need many seeds to be detected")
	mutations     = flag.Uint64("mutation-seeds", 500, "maximum number of seeds to detect a mutation")
)

const (
	faultDuration   = time.Minute
	recoveryTimeout = 60 * time.Second
)

// schedule runs a group under random faults and collects violations of the invariants.
type schedule struct {
	*fakeCluster
	random *rand.Rand
	mutex  sync.Mutex
	// leaders maps each term to the identity of its leader.
	leaders map[uint64]string
	// longest is the longest sequence of commands that any VM has applied.
	longest    []string
	outcomes   map[string][]string
	violations []string
	// repairs end the faults that are active.
	repairs []repair
	ended   chan struct{}
	clients sync.WaitGroup
	disks   diskSchedule
	// rejoins counts the VMs that have rejoined the group in place.
	rejoins int
}

type repair struct {
	due time.Time
	run func()
}

// scheduleMembers returns one of three memberships: that of a data centre's group, one in which all voters
// have disks, both with two learners, and one with five voters of which two have no disk.
func scheduleMembers(seed uint64) []Member {
	learner := func(vm scheduler.VMName, disk bool) Member {
		member := Member{VM: vm, Disk: disk, StandsForElection: true, Learner: true}
		if disk {
			member.Incarnation = 1
		}
		return member
	}
	switch seed % 3 {
	case 0:
		return append(threeVoters(), learner("d", true), learner("e", false))
	case 1:
		return []Member{disk("a"), disk("b"), disk("c"), learner("d", true), learner("e", false)}
	}
	return []Member{
		disk("a"), disk("b"), disk("c"), {VM: "d", StandsForElection: true}, {VM: "e", StandsForElection: true},
	}
}

// runSchedule runs the failure schedule of a seed and returns the violations.
func runSchedule(t *testing.T, seed uint64, hooks hooks, disks diskSchedule) []string {
	schedule := &schedule{
		fakeCluster: newCluster(t, seed, scheduleMembers(seed), WithSnapshotInterval(40, 5)),
		random:      newRandom(seed), leaders: map[uint64]string{}, outcomes: map[string][]string{},
		ended: make(chan struct{}), disks: disks,
	}
	hooks.electedLeader = schedule.recordLeader
	schedule.hooks = hooks
	// Slow links cause overlapping elections.
	schedule.network.delay = []time.Duration{1, 10, 40}[schedule.random.IntN(3)] * time.Millisecond
	for _, vm := range schedule.vms {
		vm.journal.syncDelay = time.Duration(schedule.random.IntN(20)) * time.Millisecond
		vm.clockRate = 0.95 + schedule.random.Float64()/10
	}
	schedule.startAll()
	go schedule.checkLeases()
	for client := range 8 {
		random := newRandom(seed*10 + uint64(client) + 1)
		schedule.clients.Go(func() { schedule.proposeUntilEnd(client, random) })
	}
	for start := time.Now(); time.Since(start) < faultDuration; {
		schedule.injectFault()
		for next := time.Now().Add(time.Duration(100+schedule.random.IntN(1900)) * time.Millisecond); time.Now().Before(next); {
			schedule.runDueRepairs(time.Now())
			schedule.rejoinFailed()
			time.Sleep(tickInterval)
		}
		schedule.checkSequences()
	}
	close(schedule.ended)
	schedule.clients.Wait()
	schedule.recover()
	schedule.stop()
	t.Logf("%d acknowledged, %d not run, %d unknown, %d terms, %d rejoins", len(schedule.outcomes["done"]),
		len(schedule.outcomes["not run"]), len(schedule.outcomes["unknown"]), len(schedule.leaders), schedule.rejoins)
	return schedule.violations
}

func (schedule *schedule) addViolation(format string, arguments ...any) {
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	schedule.violations = append(schedule.violations, fmt.Sprintf(format, arguments...))
}

func (schedule *schedule) recordLeader(identity string, term uint64) {
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	if other := schedule.leaders[term]; other != "" && other != identity {
		schedule.violations = append(schedule.violations, fmt.Sprintf("term %d has leaders %s and %s", term, other, identity))
	}
	schedule.leaders[term] = identity
}

// replicators returns the replicators of the running VMs.
func (schedule *schedule) replicators() map[scheduler.VMName]*Replicator {
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	running := map[scheduler.VMName]*Replicator{}
	for name, vm := range schedule.vms {
		if vm.running {
			running[name] = vm.replicator
		}
	}
	return running
}

func (schedule *schedule) checkLeases() {
	for {
		select {
		case <-schedule.ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		var holders []string
		for name, replicator := range schedule.replicators() {
			if replicator.HoldsLeaderLease() {
				holders = append(holders, string(name))
			}
		}
		if len(holders) > 1 {
			schedule.addViolation("lease is held by %v", holders)
		}
		schedule.checkStopped()
	}
}

// proposeUntilEnd proposes unique commands and records their outcomes.
func (schedule *schedule) proposeUntilEnd(client int, random *rand.Rand) {
	for number := 0; ; number++ {
		select {
		case <-schedule.ended:
			return
		case <-time.After(time.Duration(random.IntN(100)) * time.Millisecond):
		}
		running := schedule.replicators()
		names := []scheduler.VMName{"a", "b", "c", "d", "e", "r"}
		replicator := running[names[random.IntN(len(names))]]
		if replicator == nil {
			continue
		}
		command := fmt.Sprintf("%d-%d", client, number)
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(100+random.IntN(3000))*time.Millisecond)
		result, err := replicator.Propose(ctx, []byte(command))
		cancel()
		outcome := classOf(err)
		schedule.mutex.Lock()
		if outcome == "" {
			outcome, command = "done", string(result)
		}
		schedule.outcomes[outcome] = append(schedule.outcomes[outcome], command)
		schedule.mutex.Unlock()
	}
}

func (schedule *schedule) randomVM() *fakeVM {
	return schedule.vms[schedule.initial[schedule.random.IntN(len(schedule.initial))].VM]
}

// scheduleRepair schedules the repair of a fault after a random time of at most limit.
func (schedule *schedule) scheduleRepair(limit time.Duration, run func()) {
	due := time.Now().Add(time.Duration(schedule.random.Int64N(int64(limit))))
	schedule.repairs = append(schedule.repairs, repair{due: due, run: run})
}

func (schedule *schedule) runDueRepairs(now time.Time) {
	var due, later []repair
	for _, repair := range schedule.repairs {
		if now.Before(repair.due) {
			later = append(later, repair)
		} else {
			due = append(due, repair)
		}
	}
	schedule.repairs = later
	for _, repair := range due {
		repair.run()
	}
}

// injectFault starts a random fault or requests a random membership change.
func (schedule *schedule) injectFault() {
	if schedule.disks.enabled && schedule.random.IntN(2) == 0 {
		schedule.injectDiskFault()
		return
	}
	vm := schedule.randomVM()
	name := vm.member.VM
	switch schedule.random.IntN(11) {
	case 0, 1, 2:
		schedule.crashVM(vm, schedule.random.IntN(2) == 0)
	case 3:
		schedule.network.isolate(name, true)
		schedule.scheduleRepair(8*time.Second, schedule.restoreLinks)
	case 4:
		other := schedule.randomVM().member.VM
		schedule.network.block(name, other, true)
		schedule.network.block(other, name, schedule.random.IntN(3) > 0)
		schedule.scheduleRepair(8*time.Second, schedule.restoreLinks)
	case 5:
		schedule.partition()
		schedule.scheduleRepair(8*time.Second, schedule.restoreLinks)
	case 6:
		vm.suspend()
		schedule.scheduleRepair(4*time.Second, vm.resume)
	case 7, 8:
		schedule.changeMembership()
	case 9:
		schedule.setLinkFaults()
		schedule.scheduleRepair(8*time.Second, schedule.clearLinkFaults)
	case 10:
		if schedule.random.IntN(2) == 0 {
			schedule.failSync(vm)
			return
		}
		// Simulate a power failure of all VMs with disks.
		for _, member := range schedule.initial {
			if vm := schedule.vms[member.VM]; vm.member.Disk {
				schedule.crashVM(vm, false)
			}
		}
	}
}

func (schedule *schedule) failSync(vm *fakeVM) {
	if vm.member.Disk && !schedule.disks.enabled {
		vm.journal.set(func() { vm.journal.failSync = true })
		schedule.scheduleRepair(4*time.Second, func() { schedule.restart(vm) })
	}
}

func (schedule *schedule) setLinkFaults() {
	schedule.network.mutex.Lock()
	defer schedule.network.mutex.Unlock()
	schedule.network.dropPercent = schedule.random.IntN(30)
	schedule.network.duplicatePercent = schedule.random.IntN(30)
	schedule.network.reorder = schedule.random.IntN(3) > 0
}

func (schedule *schedule) clearLinkFaults() {
	schedule.network.mutex.Lock()
	defer schedule.network.mutex.Unlock()
	schedule.network.dropPercent, schedule.network.duplicatePercent, schedule.network.reorder = 0, 0, false
}

// partition splits the VMs into two network partitions.
func (schedule *schedule) partition() {
	side := map[scheduler.VMName]bool{}
	for _, member := range schedule.initial {
		side[member.VM] = schedule.random.IntN(2) == 0
	}
	for from := range side {
		for to := range side {
			schedule.network.block(from, to, side[from] != side[to])
		}
	}
}

func (schedule *schedule) restoreLinks() {
	for from := range schedule.vms {
		for to := range schedule.vms {
			schedule.network.block(from, to, false)
		}
	}
}

func (schedule *schedule) restart(vm *fakeVM) {
	if vm.running && (schedule.disks.enabled || vm.replicator.node().isRunning()) {
		return
	}
	if vm.running {
		schedule.checkFailure(vm)
		schedule.crashVM(vm, false)
	}
	if !vm.running {
		schedule.mutex.Lock()
		defer schedule.mutex.Unlock()
		schedule.start(vm.member.VM)
	}
}

// checkFailure reports a VM that left the group for a reason other than a fault of its disk.
func (schedule *schedule) checkFailure(vm *fakeVM) {
	if err := vm.replicator.Err(); err != nil && !isDiskFailure(err) {
		schedule.addViolation("%s left the group: %v", vm.member.VM, err)
	}
}

// crashVM crashes a VM. It does not crash a VM that would lose its log while the group has not recovered
// from the previous loss, because the replication does not guarantee to survive that.
func (schedule *schedule) crashVM(vm *fakeVM, loseDisk bool) {
	if !vm.running || (!vm.member.Disk || loseDisk) && !schedule.isRepaired() {
		return
	}
	schedule.checkSequences()
	schedule.checkFailure(vm)
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	schedule.crash(vm.member.VM, loseDisk)
	schedule.scheduleRepair(5*time.Second, func() { schedule.restart(vm) })
}

// isRepaired reports whether a leader has committed a membership with at least three voters, all of them
// with the current incarnation of their VM.
func (schedule *schedule) isRepaired() bool {
	for _, replicator := range schedule.replicators() {
		view := replicator.node().view.Load()
		voters := membership{Members: view.members}.voters()
		if !replicator.HoldsLeaderLease() || !view.membershipCommitted || len(voters) < 3 {
			continue
		}
		return !slices.ContainsFunc(voters, func(voter Member) bool {
			return schedule.vms[voter.VM].member.Incarnation != voter.Incarnation
		})
	}
	return false
}

// changeMembership requests a membership change, which the group may reject.
func (schedule *schedule) changeMembership() {
	replicators := schedule.replicators()
	caller, target := schedule.randomVM(), schedule.randomVM()
	replicator := replicators[caller.member.VM]
	if replicator == nil {
		return
	}
	kind, outgoing := schedule.random.IntN(5), schedule.randomVM().member.VM
	member := target.member
	schedule.clients.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		switch kind {
		case 0:
			_ = replicator.AddLearner(ctx, member)
		case 1, 2:
			_ = replicator.Promote(ctx, member.VM)
		case 3:
			_ = replicator.Replace(ctx, outgoing, member.VM)
		case 4:
			if len(replicator.Status().Voters()) > 3 {
				_ = replicator.Remove(ctx, member.VM)
			}
		}
	})
}

// Checks the invariants under random failure schedules. To repeat one, use -seeds 1 -first-seed N.
func TestRandomFailures(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				for _, violation := range runSchedule(t, seed, hooks{}, diskSchedule{}) {
					t.Error(violation)
				}
			})
		})
	}
}
