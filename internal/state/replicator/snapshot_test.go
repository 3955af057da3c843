package replicator

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

func (cluster *fakeCluster) sameState(left, right scheduler.VMName) bool {
	return fmt.Sprint(cluster.vms[left].machine.list()) == fmt.Sprint(cluster.vms[right].machine.list())
}

// Checks that a snapshot transfer resumes after an interruption, because a transfer that always restarts
// would never complete over an unreliable link. It also checks that the leader keeps its lease and that the
// entries after the snapshot are not lost.
func TestSnapshotTransferResumes(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startThreeVoters(t, WithSnapshotInterval(100, 10))
		defer cluster.stop()
		const chunks = 32
		cluster.vms["a"].machine.padding = make([]byte, chunks*snapshotChunkBytes)
		cluster.crash("r", true)
		for number := range 250 {
			cluster.mustPropose("a", fmt.Sprint(number))
		}
		var sent atomic.Int64
		cluster.network.filter = func(_, to scheduler.VMName, kind scheduler.MessageKind) bool {
			// Every eighth chunk is followed by an interruption of 3 s.
			if kind == kindSnapshotChunk && to == "r" && sent.Add(1)%8 == 0 {
				go func() {
					cluster.network.isolate("r", true)
					time.Sleep(3 * time.Second)
					cluster.network.isolate("r", false)
				}()
			}
			return true
		}
		cluster.start("r")
		for number := range 100 {
			cluster.mustPropose("a", fmt.Sprint("tail", number))
			time.Sleep(tickInterval)
			if !cluster.vms["a"].replicator.HoldsLeaderLease() {
				t.Fatalf("the leader lost its lease during the transfer")
			}
		}
		cluster.eventually("r is a voter", func() bool { return cluster.isVoter("r") })
		cluster.eventually("r has the state of a", func() bool { return cluster.sameState("r", "a") })
		// Each of the four interruptions may cost a few chunks, most of them empty.
		if got, want := sent.Load(), int64(2*chunks); got > want {
			t.Errorf("chunks sent for a snapshot of %d: got %d, want at most %d", chunks, got, want)
		}
	})
}

// Checks that the leader processes proposals while a snapshot is being stored, and that a restart neither
// loses nor repeats the commands that the snapshot covers.
func TestSnapshotWhileServing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startThreeVoters(t, WithSnapshotInterval(50, 5))
		defer cluster.stop()
		for _, vm := range cluster.vms {
			vm.journal.set(func() { vm.journal.saveDelay = 5 * time.Second })
		}
		start := time.Now()
		for number := range 500 {
			cluster.mustPropose("a", fmt.Sprint(number))
		}
		if got, want := time.Since(start), 5*time.Second; got >= want {
			t.Errorf("500 proposals during a save of 5 s: got %v, want less", got)
		}
		time.Sleep(20 * time.Second)
		if first := cluster.vms["a"].journal.FirstIndex(); first < 100 {
			t.Errorf("first entry kept: got %d, want one behind a snapshot", first)
		}
		for _, name := range []scheduler.VMName{"r", "a"} {
			before := cluster.vms[name].machine.list()
			cluster.crash(name, false)
			cluster.start(name)
			cluster.eventually("state is restored", func() bool {
				return fmt.Sprint(cluster.vms[name].machine.list()) == fmt.Sprint(before)
			})
		}
	})
}

// Checks that installing a snapshot removes the log entries that conflict with it, which would make the log
// appear more up to date in an election, and keeps the entries that do not conflict.
func TestInstallSnapshotOverLog(t *testing.T) {
	tests := map[string]struct {
		logTerms []scheduler.Term
		want     scheduler.Index
	}{
		"empty log":           {nil, 3},
		"shorter log":         {[]scheduler.Term{1, 1}, 3},
		"contradicting log":   {[]scheduler.Term{1, 1, 1, 1, 1}, 3},
		"log with equal term": {[]scheduler.Term{1, 1, 2, 2, 2}, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				cluster := newCluster(t, 1, []Member{disk("a"), disk("b"), disk("c")})
				defer cluster.stop()
				vm := cluster.vms["b"]
				for position, term := range test.logTerms {
					entry := scheduler.Entry{Index: scheduler.Index(position + 1), Term: term, Kind: scheduler.EntryNoOp}
					_ = vm.journal.Append([]scheduler.Entry{entry})
				}
				node := cluster.start("b").replicator.node()
				data := encode([]any{[]string{"1:x"}, nil})
				node.inbox <- inbound{from: "a", message: &snapshotChunk{
					Term: 3, Incarnation: 1, Index: 3, IndexTerm: 2, Membership: newMembership(cluster.initial).encode(),
					Size: uint64(len(data)), Checksum: snapshotChecksum(data), Data: data,
				}}
				time.Sleep(100 * time.Millisecond)
				if got := vm.journal.LastIndex(); got != test.want {
					t.Errorf("last index: got %d, want %d", got, test.want)
				}
				if got, want := fmt.Sprint(vm.machine.list()), "[1:x]"; got != want {
					t.Errorf("state: got %s, want %s", got, want)
				}
			})
		})
	}
}

// Checks that a snapshot is complete only if no chunk is lost, damaged or of another snapshot, and that
// repeated chunks have no effect.
func TestIncomingSnapshotChunks(t *testing.T) {
	data := []byte("abcdef")
	chunk := func(offset uint64, data string, checksum uint32) *snapshotChunk {
		return &snapshotChunk{Index: 5, IndexTerm: 1, Size: 6, Offset: offset, Data: []byte(data), Checksum: checksum}
	}
	good := snapshotChecksum(data)
	tests := map[string]struct {
		chunks []*snapshotChunk
		held   int
		want   bool
	}{
		"in order":         {[]*snapshotChunk{chunk(0, "abc", good), chunk(3, "def", good)}, 6, true},
		"repeated":         {[]*snapshotChunk{chunk(0, "abc", good), chunk(0, "abc", good), chunk(3, "def", good)}, 6, true},
		"gap":              {[]*snapshotChunk{chunk(0, "ab", good), chunk(3, "def", good)}, 2, false},
		"beyond the end":   {[]*snapshotChunk{chunk(0, "abc", good), chunk(3, "defg", good)}, 3, false},
		"damaged":          {[]*snapshotChunk{chunk(0, "abc", good), chunk(3, "xyz", good)}, 0, false},
		"another snapshot": {[]*snapshotChunk{chunk(0, "abc", good), chunk(3, "def", good+1)}, 0, false},
		"empty chunk":      {[]*snapshotChunk{chunk(0, "abc", good), chunk(0, "", good)}, 3, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var incoming incomingSnapshot
			complete := false
			for _, chunk := range test.chunks {
				complete = incoming.add(chunk)
			}
			if complete != test.want || len(incoming.data) != test.held {
				t.Errorf("complete %v, held %d: want %v, %d", complete, len(incoming.data), test.want, test.held)
			}
		})
	}
}
