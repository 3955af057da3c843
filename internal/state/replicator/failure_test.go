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
	slowMutations = flag.Bool("slow-mutations", false, "also run mutations that take many seeds")
	mutations     = flag.Uint64("mutation-seeds", 500, "most seeds that a mutation may take to be caught")
)

const (
	chaosTime    = time.Minute
	recoveryTime = 60 * time.Second
)

// schedule runs a group under random faults and collects violations of what must always hold.
type schedule struct {
	*fakeCluster
	random *rand.Rand
	mutex  sync.Mutex
	// leaders holds the identity of each term's leader.
	leaders map[uint64]string
	// longest is the longest sequence that any VM has applied.
	longest    []string
	outcomes   map[string][]string
	violations []string
	// repairs end the faults that were started.
	repairs []repair
	ended   chan struct{}
	clients sync.WaitGroup
}

type repair struct {
	due time.Time
	run func()
}

// arrangement returns the members of a schedule: that of the design page, one with disks only and
// one with five voters; each with learners or diskless voters.
func arrangement(seed uint64) []Member {
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

// runSchedule returns the violations under the schedule of a seed.
func runSchedule(t *testing.T, seed uint64, hooks hooks) []string {
	schedule := &schedule{
		fakeCluster: newCluster(t, seed, arrangement(seed), WithSnapshotInterval(40, 5)),
		random:      newRandom(seed), leaders: map[uint64]string{}, outcomes: map[string][]string{},
		ended: make(chan struct{}),
	}
	hooks.electedLeader = schedule.noteLeader
	schedule.hooks = hooks
	// Slow links let elections overlap.
	schedule.network.delay = []time.Duration{1, 10, 40}[schedule.random.IntN(3)] * time.Millisecond
	for _, vm := range schedule.vms {
		vm.journal.syncDelay = time.Duration(schedule.random.IntN(20)) * time.Millisecond
		vm.rate = 0.95 + schedule.random.Float64()/10
	}
	schedule.startAll()
	go schedule.watchLeases()
	for client := range 8 {
		random := newRandom(seed*10 + uint64(client) + 1)
		schedule.clients.Go(func() { schedule.proposeUntilEnd(client, random) })
	}
	for start := time.Now(); time.Since(start) < chaosTime; {
		schedule.oneEvent()
		for next := time.Now().Add(time.Duration(100+schedule.random.IntN(1900)) * time.Millisecond); time.Now().Before(next); {
			schedule.repairDue(time.Now())
			time.Sleep(tickInterval)
		}
		schedule.checkSequences()
	}
	close(schedule.ended)
	schedule.clients.Wait()
	schedule.recover()
	schedule.stop()
	t.Logf("%d acknowledged, %d not run, %d unknown, %d terms", len(schedule.outcomes["done"]),
		len(schedule.outcomes["not run"]), len(schedule.outcomes["unknown"]), len(schedule.leaders))
	return schedule.violations
}

func (schedule *schedule) violate(format string, arguments ...any) {
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	schedule.violations = append(schedule.violations, fmt.Sprintf(format, arguments...))
}

func (schedule *schedule) noteLeader(identity string, term uint64) {
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	if other := schedule.leaders[term]; other != "" && other != identity {
		schedule.violations = append(schedule.violations, fmt.Sprintf("term %d has leaders %s and %s", term, other, identity))
	}
	schedule.leaders[term] = identity
}

// replicators returns those of the running VMs.
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

func (schedule *schedule) watchLeases() {
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
			schedule.violate("lease is held by %v", holders)
		}
	}
}

// proposeUntilEnd proposes unique commands and records what the proposer was told.
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

// pick returns a random VM.
func (schedule *schedule) pick() *fakeVM {
	return schedule.vms[schedule.initial[schedule.random.IntN(len(schedule.initial))].VM]
}

// repairLater ends a fault after up to limit.
func (schedule *schedule) repairLater(limit time.Duration, run func()) {
	due := time.Now().Add(time.Duration(schedule.random.Int64N(int64(limit))))
	schedule.repairs = append(schedule.repairs, repair{due: due, run: run})
}

func (schedule *schedule) repairDue(now time.Time) {
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

// oneEvent starts a fault or asks for a membership change.
func (schedule *schedule) oneEvent() {
	vm := schedule.pick()
	name := vm.member.VM
	switch schedule.random.IntN(11) {
	case 0, 1, 2:
		schedule.crashOne(vm, schedule.random.IntN(2) == 0)
	case 3:
		schedule.network.isolate(name, true)
		schedule.repairLater(8*time.Second, schedule.heal)
	case 4:
		other := schedule.pick().member.VM
		schedule.network.block(name, other, true)
		schedule.network.block(other, name, schedule.random.IntN(3) > 0)
		schedule.repairLater(8*time.Second, schedule.heal)
	case 5:
		schedule.split()
		schedule.repairLater(8*time.Second, schedule.heal)
	case 6:
		vm.freeze()
		schedule.repairLater(4*time.Second, vm.thaw)
	case 7, 8:
		schedule.changeMembership()
	case 9:
		schedule.setLinkFaults()
		schedule.repairLater(8*time.Second, schedule.endLinkFaults)
	case 10:
		if schedule.random.IntN(2) == 0 {
			schedule.failSync(vm)
			return
		}
		// The power of all VMs with disks fails at once.
		for _, member := range schedule.initial {
			if vm := schedule.vms[member.VM]; vm.member.Disk {
				schedule.crashOne(vm, false)
			}
		}
	}
}

func (schedule *schedule) failSync(vm *fakeVM) {
	if vm.member.Disk {
		vm.journal.set(func() { vm.journal.failSync = true })
		schedule.repairLater(4*time.Second, func() { schedule.restart(vm) })
	}
}

func (schedule *schedule) setLinkFaults() {
	schedule.network.mutex.Lock()
	defer schedule.network.mutex.Unlock()
	schedule.network.dropPercent = schedule.random.IntN(30)
	schedule.network.duplicatePercent = schedule.random.IntN(30)
	schedule.network.reorder = schedule.random.IntN(3) > 0
}

func (schedule *schedule) endLinkFaults() {
	schedule.network.mutex.Lock()
	defer schedule.network.mutex.Unlock()
	schedule.network.dropPercent, schedule.network.duplicatePercent, schedule.network.reorder = 0, 0, false
}

// split cuts the VMs into two parts.
func (schedule *schedule) split() {
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

func (schedule *schedule) heal() {
	for from := range schedule.vms {
		for to := range schedule.vms {
			schedule.network.block(from, to, false)
		}
	}
}

func (schedule *schedule) restart(vm *fakeVM) {
	if vm.running && vm.replicator.isRunning() {
		return
	}
	if vm.running {
		schedule.checkFailure(vm)
		schedule.crashOne(vm, false)
	}
	if !vm.running {
		schedule.mutex.Lock()
		defer schedule.mutex.Unlock()
		schedule.start(vm.member.VM)
	}
}

// checkFailure reports a VM that left the group for another reason than a failed sync.
func (schedule *schedule) checkFailure(vm *fakeVM) {
	if err := vm.replicator.Err(); err != nil && !scheduler.ErrJournalFailed.Has(err) {
		schedule.violate("%s left the group: %v", vm.member.VM, err)
	}
}

// crashOne ends a VM's life. One that would lose its log is spared while the group is not repaired
// from the previous loss, because the arrangement does not promise to withstand that.
func (schedule *schedule) crashOne(vm *fakeVM, loseDisk bool) {
	if !vm.running || (!vm.member.Disk || loseDisk) && !schedule.isRepaired() {
		return
	}
	schedule.checkSequences()
	schedule.checkFailure(vm)
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	schedule.crash(vm.member.VM, loseDisk)
	schedule.repairLater(5*time.Second, func() { schedule.restart(vm) })
}

// isRepaired reports whether a leader has committed a membership of at least three voters in which
// every voter's present incarnation takes part.
func (schedule *schedule) isRepaired() bool {
	for _, replicator := range schedule.replicators() {
		view := replicator.node.view.Load()
		voters := membership{Members: view.members}.voters()
		if !replicator.HoldsLeaderLease() || !view.settled || len(voters) < 3 {
			continue
		}
		return !slices.ContainsFunc(voters, func(voter Member) bool {
			return schedule.vms[voter.VM].member.Incarnation != voter.Incarnation
		})
	}
	return false
}

// changeMembership asks for a change, which the group may refuse.
func (schedule *schedule) changeMembership() {
	replicators := schedule.replicators()
	caller, target := schedule.pick(), schedule.pick()
	replicator := replicators[caller.member.VM]
	if replicator == nil {
		return
	}
	kind, outgoing := schedule.random.IntN(5), schedule.pick().member.VM
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

// Guards against every violation above under random schedules. Repeat one by -seeds 1 -first-seed N.
func TestRandomFailures(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				for _, violation := range runSchedule(t, seed, hooks{}) {
					t.Error(violation)
				}
			})
		})
	}
}

// Guards against schedules and checks that would not notice a fault of the protocol.
func TestMutationsAreCaught(t *testing.T) {
	// The slow ones take up to some hundred seeds and run on demand.
	tests := map[string]struct {
		hooks hooks
		slow  bool
	}{
		"skip a sync":                 {hooks{skipSync: true}, false},
		"count a learner as a voter":  {hooks{countLearners: true}, false},
		"drop the term check":         {hooks{dropTermCheck: true}, false},
		"forget a vote":               {hooks{forgetVote: true}, false},
		"count an old incarnation":    {hooks{ignoreIncarnation: true}, true},
		"vote although a leader runs": {hooks{ignoreHeardLeader: true}, true},
		"twice the lease":             {hooks{longLease: true}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if test.slow && !*slowMutations {
				t.Skip("needs -slow-mutations")
			}
			for seed := *firstSeed; seed < *firstSeed+*mutations; seed++ {
				var violations []string
				inBubble(t, func(t *testing.T) { violations = runSchedule(t, seed, test.hooks) })
				if len(violations) > 0 {
					t.Logf("%s: caught by schedule %d: %s", name, seed-*firstSeed+1, violations[0])
					return
				}
			}
			t.Errorf("not caught by %d seeds", *mutations)
		})
	}
}
