package replicator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a VM that never returns to its group after a refused write although its disk takes writes again.
func TestVMReturnsAfterRefusedWrites(t *testing.T) {
	for _, voters := range []int{3, 5} {
		faults := map[string]func(faults *diskFaults, refuses bool){
			"append":     func(faults *diskFaults, refuses bool) { faults.append = refuses },
			"sync":       func(faults *diskFaults, refuses bool) { faults.sync = refuses },
			"hard state": func(faults *diskFaults, refuses bool) { faults.append, faults.hardState = refuses, refuses },
		}
		for name, refuse := range faults {
			t.Run(fmt.Sprintf("%d voters, %s", voters, name), func(t *testing.T) {
				inBubble(t, func(t *testing.T) { refuseLeaderThreeTimes(t, voters, refuse) })
			})
		}
	}
}

// refuseLeaderThreeTimes lets the disks of three leaders, one after the other, refuse operations for 3 s.
func refuseLeaderThreeTimes(t *testing.T, voters int, refuse func(faults *diskFaults, refuses bool)) {
	members := []Member{disk("a"), disk("b"), disk("c"), disk("d"), disk("e")}[:voters]
	cluster := newCluster(t, 1, members)
	defer cluster.stop()
	cluster.startAll()
	incarnation := disk("a").Incarnation
	for round := range 3 {
		vm := cluster.vms[cluster.leader()]
		faults, led := vm.journal.faults, vm.replicator.node()
		faults.set(func() { refuse(faults, true) })
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(tickInterval) {
			_, _ = cluster.propose(vm.member.VM, fmt.Sprintf("during %d", round))
			cluster.rejoinFailed()
		}
		if led.isRunning() {
			t.Errorf("round %d: got a leader in its group, want one that has left it", round)
		}
		faults.set(func() { refuse(faults, false) })
		cluster.eventually("the VM is back in its group", func() bool {
			cluster.rejoinFailed()
			return vm.replicator.node().isRunning() && cluster.isVoter(vm.member.VM)
		})
		if got := vm.replicator.Self().Incarnation; got != incarnation {
			t.Errorf("round %d: incarnation: got %d, want %d", round, got, incarnation)
		}
		result := cluster.mustPropose(vm.member.VM, fmt.Sprintf("after %d", round))
		cluster.eventually("all VMs apply a new command", func() bool { return cluster.haveAllApplied(result) })
	}
}

// Guards against a state machine that is called by two nodes at once.
func TestRejoinWaitsForStateMachine(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := newCluster(t, 1, []Member{disk("a"), disk("b"), disk("c")})
		defer cluster.stop()
		cluster.startAll()
		vm := cluster.vms[cluster.leader()]
		hang := make(chan struct{})
		vm.machine.set(func() { vm.machine.hang = hang })
		go func() { _, _ = cluster.propose(vm.member.VM, "hangs") }()
		time.Sleep(heartbeatInterval)
		vm.journal.set(func() { vm.journal.failed = true })
		go func() { _, _ = cluster.propose(vm.member.VM, "refused") }()
		<-vm.replicator.Stopped()
		if err := cluster.rejoin(vm, false); err == nil {
			t.Error("rejoined while the state machine was in use, want an error")
		}
		vm.machine.set(func() { vm.machine.hang = nil })
		close(hang)
		time.Sleep(tickInterval)
		if err := cluster.rejoin(vm, false); err != nil {
			t.Errorf("rejoin: got %v, want none", err)
		}
	})
}

// Guards against a vote under an incarnation whose stored term and vote are gone.
func TestRejoinRefusesEmptiedFolder(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := newCluster(t, 1, []Member{disk("a"), disk("b"), disk("c")})
		defer cluster.stop()
		cluster.startAll()
		vm := cluster.failJournal(cluster.leader())
		err := vm.replicator.Rejoin(t.Context(), func() (scheduler.Journal, error) { return &fakeJournal{}, nil })
		if !errors.Is(err, ErrStateLost) {
			t.Errorf("got %v, want %v", err, ErrStateLost)
		}
	})
}

// Guards against a VM that joins its group again after it was closed.
func TestRejoinAfterClose(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := newCluster(t, 1, []Member{disk("a"), disk("b"), disk("c")})
		defer cluster.stop()
		cluster.startAll()
		vm := cluster.failJournal(cluster.leader())
		if err := vm.replicator.Close(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := cluster.rejoin(vm, false); err == nil || vm.replicator.node().isRunning() {
			t.Errorf("got error %v, running %v, want an error and a VM that stays out", err, vm.replicator.node().isRunning())
		}
	})
}

// Guards against a VM that joins its group after it was closed, because the start of its replica was slower than its stop.
func TestStartAfterClose(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := newCluster(t, 1, []Member{disk("a"), disk("b"), disk("c")})
		defer cluster.stop()
		vm := cluster.vms["a"]
		replicator, err := New(testGroup, vm.member, cluster.initial, vm.journal, cluster.network.connect("a"), &fakeMachine{})
		if err != nil {
			t.Fatal(err)
		}
		if err := replicator.Close(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := replicator.Start(); !errors.Is(got, ErrClosed) {
			t.Errorf("Start: got %v, want %v", got, ErrClosed)
		}
		if got := vm.journal.HardState(); got.Incarnation != 0 {
			t.Errorf("stored state: got %v, want none", got)
		}
	})
}

// Guards against a second node beside one that runs.
func TestRejoinOfRunningVM(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := newCluster(t, 1, []Member{disk("a"), disk("b"), disk("c")})
		defer cluster.stop()
		cluster.startAll()
		vm := cluster.vms[cluster.leader()]
		before := vm.replicator.node()
		if err := cluster.rejoin(vm, false); err == nil || vm.replicator.node() != before {
			t.Errorf("got error %v, want one and the same node", err)
		}
	})
}

// Guards against a caller that waits for its deadline when the VM leaves its group.
func TestWaitersOfFailedVMGetErrors(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := newCluster(t, 1, []Member{disk("a"), disk("b"), disk("c")})
		defer cluster.stop()
		cluster.startAll()
		leader := cluster.leader()
		cluster.network.isolate(leader, true)
		results := make(chan error, 2)
		replicator := cluster.vms[leader].replicator
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		go func() { _, err := replicator.Propose(ctx, []byte("waits")); results <- err }()
		time.Sleep(tickInterval)
		cluster.failJournal(leader)
		start := time.Now()
		if err := <-results; classOf(err) != "unknown" {
			t.Errorf("proposal that was appended: got %v, want an unknown outcome", err)
		}
		if _, err := replicator.Propose(ctx, []byte("late")); classOf(err) != "not run" {
			t.Errorf("proposal after the failure: got %v, want not run", err)
		}
		go func() { results <- replicator.ReadBarrier(ctx) }()
		if err := <-results; err == nil {
			t.Error("read after the failure: got none, want an error")
		}
		if got := time.Since(start); got > tickInterval {
			t.Errorf("answers after %v, want at once", got)
		}
	})
}

// Guards against a log that fills with the failure of a disk that lets the VM rejoin and refuses the next entries.
func TestRepeatedFailureIsLoggedSeldom(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		var output bytes.Buffer
		cluster := newCluster(t, 1, []Member{disk("a"), disk("b"), disk("c")},
			WithLogger(zerolog.New(zerolog.SyncWriter(&output)).Level(zerolog.InfoLevel)))
		defer cluster.stop()
		cluster.startAll()
		vm := cluster.vms[cluster.otherVM(cluster.leader())]
		faults, left := vm.journal.faults, 0
		faults.set(func() { faults.append = true })
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(tickInterval) {
			if vm.replicator.Err() != nil {
				left++
			}
			cluster.rejoinFailed()
			_, _ = cluster.propose(cluster.leader(), "entry")
		}
		faults.set(func() { faults.append = false })
		lines := strings.Count(output.String(), "groupLeftAfterFailure")
		if want := int(time.Minute/repeatedLogInterval) + 1; left < 100 || lines == 0 || lines > want {
			t.Errorf("left the group %d times, lines: got %d, want 1 to %d", left, lines, want)
		}
	})
}
