package replicator

import (
	"bytes"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// refuseSaves makes the journal of a VM refuse snapshots, or accept them again.
func (vm *fakeVM) refuseSaves(refuse bool) {
	vm.journal.set(func() {
		vm.journal.refuseSave = nil
		if refuse {
			vm.journal.refuseSave = fmt.Errorf("write snapshot: %w", syscall.ENOSPC)
		}
	})
}

// Guards against a VM that leaves its group because a snapshot could not be saved, although its journal still works.
func TestRefusedSnapshotKeepsVMInGroup(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		output := &bytes.Buffer{}
		cluster := startThreeVoters(t, WithSnapshotInterval(20, 5), WithLogger(zerolog.New(zerolog.SyncWriter(output))))
		defer cluster.stop()
		leader := cluster.vms["a"]
		leader.refuseSaves(true)
		for number := range 100 {
			cluster.mustPropose("a", fmt.Sprint(number))
		}
		time.Sleep(time.Minute)
		if err := leader.replicator.Err(); err != nil || !leader.replicator.HoldsLeaderLease() {
			t.Fatalf("leader after refused snapshots: got error %v, want it in the group", err)
		}
		if got, most := leader.journal.refusedSaves, 20; got < 3 || got > most {
			t.Errorf("attempts within a minute: got %d, want 3 to %d", got, most)
		}
		if got, most := strings.Count(output.String(), `"event":"snapshotNotSaved"`), 7; got < 1 || got > most {
			t.Errorf("log lines within a minute: got %d, want 1 to %d", got, most)
		}
		if !strings.Contains(output.String(), `"kind":"noRoom"`) {
			t.Errorf("log lines do not name the kind of the error")
		}
		leader.refuseSaves(false)
		cluster.eventually("a snapshot is saved", func() bool { return leader.journal.FirstIndex() > 50 })
	})
}

// Guards against a follower that leaves its group, or that lacks the state for good, because its disk had no room for
// the snapshot that the leader sent.
func TestRefusedInstallIsTriedAgain(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := newCluster(t, 1, []Member{disk("a"), disk("b"), disk("c")})
		defer cluster.stop()
		follower := cluster.start("b")
		follower.refuseSaves(true)
		data := encode([]any{[]string{"1:x"}, nil})
		follower.replicator.node().inbox <- inbound{from: "a", message: &snapshotChunk{
			Term: 3, Incarnation: 1, Index: 3, IndexTerm: 2, Membership: newMembership(cluster.initial).encode(),
			Size: uint64(len(data)), Checksum: snapshotChecksum(data), Data: data,
		}}
		time.Sleep(20 * time.Second)
		if err := follower.replicator.Err(); err != nil {
			t.Fatalf("follower after refused installs: got error %v, want it in the group", err)
		}
		if got := len(follower.machine.list()); got > 0 || follower.journal.LastIndex() > 0 {
			t.Errorf("before the install: got %d commands, last index %d, want none", got, follower.journal.LastIndex())
		}
		if got, most := follower.journal.refusedSaves, 10; got < 3 || got > most {
			t.Errorf("attempts within 20 s: got %d, want 3 to %d", got, most)
		}
		follower.refuseSaves(false)
		time.Sleep(5 * time.Second)
		if got, want := fmt.Sprint(follower.machine.list()), "[1:x]"; got != want {
			t.Errorf("state after the install: got %s, want %s", got, want)
		}
		if got, want := follower.journal.LastIndex(), scheduler.Index(3); got != want {
			t.Errorf("last index after the install: got %d, want %d", got, want)
		}
	})
}

// Guards against a VM that goes on with a journal that has failed while it stored a snapshot.
func TestFailedSnapshotEndsParticipation(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startThreeVoters(t, WithSnapshotInterval(20, 5))
		defer cluster.stop()
		vm := cluster.vms["r"]
		vm.journal.set(func() { vm.journal.refuseSave = errJournalFailed })
		for number := range 100 {
			cluster.mustPropose("a", fmt.Sprint(number))
		}
		cluster.eventually("r left the group", func() bool { return scheduler.ErrJournalFailed.Has(vm.replicator.Err()) })
	})
}
