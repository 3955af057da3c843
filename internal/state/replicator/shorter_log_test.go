package replicator

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// shortenLog makes a follower apply entries that its disk has not synced, loses them, and returns the follower before
// it rejoins. Its state machine then contains more than its log.
func shortenLog(t *testing.T, cluster *fakeCluster, commands int) *fakeVM {
	t.Helper()
	leader := cluster.leader()
	vm := cluster.vms[cluster.otherVM(leader)]
	const delay = 2 * time.Second
	vm.journal.set(func() { vm.journal.syncDelay, vm.journal.saveDelay = delay, delay })
	var last string
	for number := range commands {
		last = cluster.mustPropose(leader, fmt.Sprint("unsynced ", number))
	}
	cluster.eventually("the follower applies what it has not synced", func() bool { return cluster.haveAllApplied(last) })
	cluster.failJournal(vm.member.VM)
	vm.journal.set(func() { vm.journal.syncLost, vm.journal.syncDelay, vm.journal.saveDelay = true, 0, 0 })
	time.Sleep(2 * delay)
	return vm
}

func startThreeDisks(t *testing.T, options ...Option) *fakeCluster {
	cluster := newCluster(t, 1, []Member{disk("a"), disk("b"), disk("c")}, options...)
	cluster.startAll()
	cluster.mustPropose(cluster.leader(), "first")
	time.Sleep(time.Second)
	return cluster
}

// Guards against an entry that is applied twice, or a state that goes back, after a VM has rejoined with a shorter log.
func TestRejoinWithShorterLog(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startThreeDisks(t)
		defer cluster.stop()
		vm := shortenLog(t, cluster, 3)
		before := vm.machine.list()
		if err := cluster.rejoin(vm, false); err != nil {
			t.Fatal(err)
		}
		node := vm.replicator.node()
		if node.applied <= node.log.last {
			t.Fatalf("applied %d, log ends at %d: want a shorter log", node.applied, node.log.last)
		}
		if got, want := vm.replicator.Status().Commit(), node.snapshot.index; got != want {
			t.Errorf("commit index after the rejoin: got %d, want that of the snapshot, %d", got, want)
		}
		result := cluster.mustPropose(cluster.leader(), "after")
		cluster.eventually("all VMs apply the next command", func() bool { return cluster.haveAllApplied(result) })
		got, want := vm.machine.list(), cluster.vms[cluster.leader()].machine.list()
		if fmt.Sprint(got) != fmt.Sprint(want) || fmt.Sprint(got[:len(before)]) != fmt.Sprint(before) {
			t.Errorf("applied: got %v, want %v", got, want)
		}
		if err := vm.replicator.ReadBarrier(t.Context()); err != nil {
			t.Errorf("ReadBarrier: got %v, want none", err)
		}
	})
}

// Guards against an entry that was overwritten without a sync and counts as committed after it was read back.
func TestRejoinWithOverwrittenEntry(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startThreeDisks(t)
		defer cluster.stop()
		vm := shortenLog(t, cluster, 1)
		journal := vm.journal
		journal.set(func() {
			// The disk holds an entry of an older term where this VM has applied another one.
			stale := scheduler.Entry{Index: journal.lastIndex(), Kind: scheduler.EntryCommand, Data: []byte("stale")}
			last := len(journal.durable) - 1
			for last >= 0 && journal.durable[last].Index >= stale.Index {
				last--
			}
			journal.durable = append(journal.durable[:last+1:last+1], stale)
		})
		if err := cluster.rejoin(vm, false); err != nil {
			t.Fatal(err)
		}
		result := cluster.mustPropose(cluster.leader(), "after")
		cluster.eventually("all VMs apply the next command", func() bool { return cluster.haveAllApplied(result) })
		for _, entry := range vm.journal.entries {
			if string(entry.Data) == "stale" {
				t.Errorf("entry %d: got the overwritten one, want the committed one", entry.Index)
			}
		}
	})
}

// Guards against a snapshot with the term of an entry that is not the applied one.
func TestNoSnapshotAboveCommitIndex(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startThreeDisks(t)
		defer cluster.stop()
		vm := cluster.failJournal(cluster.otherVM(cluster.leader()))
		time.Sleep(time.Second)
		vm.replicator.node().settings.snapshotInterval = 1
		cluster.network.isolate(vm.member.VM, true)
		if err := cluster.rejoin(vm, false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(heartbeatInterval)
		node := vm.replicator.node()
		if node.applied <= node.commit || node.applied > node.log.last {
			t.Fatalf("applied %d, commit %d, last %d: want the applied index between the others", node.applied, node.commit, node.log.last)
		}
		if _, _, found, _ := vm.journal.OpenSnapshot(); found {
			t.Error("got a snapshot, want none")
		}
		cluster.network.isolate(vm.member.VM, false)
		result := cluster.mustPropose(cluster.leader(), "after")
		cluster.eventually("all VMs apply the next command", func() bool { return cluster.haveAllApplied(result) })
		cluster.eventually("a snapshot is saved", func() bool {
			_, _, found, _ := vm.journal.OpenSnapshot()
			return found
		})
	})
}

// Guards against a state that goes back to a received snapshot which contains less than the VM has applied.
func TestSnapshotBelowAppliedIndex(t *testing.T) {
	tests := map[string]struct {
		snapshot     scheduler.Index
		wantRestores int
		wantApplied  scheduler.Index
	}{
		"below the applied index": {snapshot: 3, wantRestores: 0, wantApplied: 5},
		"at the applied index":    {snapshot: 5, wantRestores: 0, wantApplied: 5},
		"above the applied index": {snapshot: 7, wantRestores: 1, wantApplied: 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			machine := &fakeMachine{}
			var snapshot bytes.Buffer
			if err := machine.Snapshot(&snapshot); err != nil {
				t.Fatal(err)
			}
			transport := newFakeNetwork(1, 0).connect("a")
			node := newNode(testGroup, disk("a"), &fakeJournal{}, transport, machine, defaultSettings())
			initial := newMembership([]Member{disk("a"), disk("b"), disk("c")})
			if err := node.load(initial, 5); err != nil {
				t.Fatal(err)
			}
			meta := scheduler.SnapshotMeta{Index: test.snapshot, Term: 1, Membership: initial.encode()}
			node.snapshot.install = &meta
			result := node.perform(applyWork{install: &meta, data: snapshot.Bytes()})
			if err := node.handleApplied(result); err != nil {
				t.Fatal(err)
			}
			if got := machine.restores; got != test.wantRestores {
				t.Errorf("restored snapshots: got %d, want %d", got, test.wantRestores)
			}
			if got := node.applied; got != test.wantApplied {
				t.Errorf("applied index: got %d, want %d", got, test.wantApplied)
			}
			if got, want := node.commit, test.snapshot; got != want {
				t.Errorf("commit index: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a VM that counts as stalled because it has applied more than its log contains.
func TestShorterLogIsNoStall(t *testing.T) {
	detector := newStallDetector(0)
	log := &groupLog{last: 3, durable: 3}
	detector.observe(10*stallTimeout, log, 3, 5)
	if detector.isStalled(10 * stallTimeout) {
		t.Error("got a stall with applied index 5 and commit index 3, want none")
	}
}
