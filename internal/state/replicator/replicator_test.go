package replicator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// startThreeVoters starts the members of threeVoters and waits until the diskless voter is readmitted and a
// is the leader.
func startThreeVoters(t *testing.T, options ...Option) *fakeCluster {
	t.Helper()
	cluster := newCluster(t, 1, threeVoters(), options...)
	cluster.startAll()
	cluster.eventually("b is a voter", func() bool { return cluster.isVoter("b") })
	cluster.leader()
	if got, want := cluster.leader(), scheduler.VMName("a"); got != want {
		t.Fatalf("first leader: got %s, want %s", got, want)
	}
	return cluster
}

// Checks that proposals on the leader and on followers return their own result, and that a read after
// ReadBarrier sees all committed entries.
func TestProposeAndRead(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startThreeVoters(t)
		defer cluster.stop()
		for _, name := range []scheduler.VMName{"a", "b", "r"} {
			result := cluster.mustPropose(name, "from-"+string(name))
			for reader, vm := range cluster.vms {
				if err := vm.replicator.ReadBarrier(t.Context()); err != nil {
					t.Fatalf("ReadBarrier on %s: %v", reader, err)
				}
				applied := vm.machine.list()
				if got, want := applied[len(applied)-1], result; got != want {
					t.Errorf("last command on %s: got %s, want %s", reader, got, want)
				}
			}
		}
	})
}

// Checks that a command that may still be committed is not reported as "not run", and that "unknown" is not
// reported if the caller can safely retry.
func TestProposeOutcomeUnderFaults(t *testing.T) {
	tests := map[string]struct {
		fault func(cluster *fakeCluster)
		on    scheduler.VMName
		size  int
		want  string
	}{
		"leader without majority appends": {
			fault: func(cluster *fakeCluster) { cluster.network.isolate("a", true) }, on: "a", want: "unknown",
		},
		"forwarding to a silent leader": {
			fault: func(cluster *fakeCluster) { cluster.network.isolate("b", true) }, on: "b", want: "unknown",
		},
		"connection refused and no new leader": {
			fault: func(cluster *fakeCluster) { cluster.crash("a", false); cluster.crash("r", false) },
			on:    "b", want: "not run",
		},
		"too large": {on: "a", size: maxCommandBytes + 1, want: "not run"},
		"stopped": {
			fault: func(cluster *fakeCluster) { cluster.vms["a"].replicator.node().stop(nil) }, on: "a", want: "not run",
		},
		"follower takes over": {fault: func(cluster *fakeCluster) { cluster.crash("a", false) }, on: "b", want: ""},
		"lost follower":       {fault: func(cluster *fakeCluster) { cluster.crash("r", false) }, on: "a", want: ""},
		"replaced by the next leader's entry": {
			fault: func(cluster *fakeCluster) {
				cluster.network.isolate("a", true)
				go func() {
					time.Sleep(4 * time.Second)
					cluster.network.isolate("a", false)
				}()
			},
			on: "a", want: "not run",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				cluster := startThreeVoters(t)
				defer cluster.stop()
				if test.fault != nil {
					test.fault(cluster)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				_, err := cluster.vms[test.on].replicator.Propose(ctx, make([]byte, test.size))
				if got, want := classOf(err), test.want; got != want {
					t.Errorf("class of %v: got %q, want %q", err, got, want)
				}
			})
		})
	}
}

func classOf(err error) string {
	switch {
	case err == nil:
		return ""
	case scheduler.ErrNotRun.Has(err) && !scheduler.ErrOutcomeUnknown.Has(err):
		return "not run"
	case scheduler.ErrOutcomeUnknown.Has(err) && !scheduler.ErrNotRun.Has(err):
		return "unknown"
	}
	return "unclassified"
}

// Checks that proposals share syncs, and that syncs on a slow disk do not delay heartbeats and thereby make
// the leader lose its lease.
func TestGroupCommitOnSlowDisk(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startThreeVoters(t)
		defer cluster.stop()
		journal := cluster.vms["a"].journal
		journal.mutex.Lock()
		journal.syncDelay = 900 * time.Millisecond
		before := journal.syncs
		journal.mutex.Unlock()
		var proposals sync.WaitGroup
		for number := range 200 {
			proposals.Go(func() { cluster.mustPropose("a", fmt.Sprint(number)) })
		}
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			if !cluster.vms["a"].replicator.HoldsLeaderLease() {
				t.Fatalf("lease lost while the disk was slow")
			}
		}
		proposals.Wait()
		journal.mutex.Lock()
		defer journal.mutex.Unlock()
		if got, want := journal.syncs-before, 3; got > want {
			t.Errorf("syncs for 200 proposals: got %d, want at most %d", got, want)
		}
	})
}

// Checks that a voter that has lost its log does not count towards a majority until it has been readmitted,
// and that it is readmitted.
func TestNewIncarnationIsReadmitted(t *testing.T) {
	for name, lost := range map[string]struct {
		vm       scheduler.VMName
		loseDisk bool
	}{
		"diskless voter": {"b", false},
		"lost disk":      {"r", true},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				cluster := startThreeVoters(t)
				defer cluster.stop()
				cluster.mustPropose("a", "before")
				cluster.crash(lost.vm, lost.loseDisk)
				// Isolate the other follower, so that only the new incarnation could complete a
				// majority. It must not count.
				other := map[scheduler.VMName]scheduler.VMName{"b": "r", "r": "b"}[lost.vm]
				cluster.network.isolate(other, true)
				vm := cluster.start(lost.vm)
				_, err := cluster.propose("a", "alone")
				if got, want := classOf(err), "unknown"; got != want {
					t.Errorf("proposal without a majority: got %q, want %q", got, want)
				}
				if cluster.isVoter(lost.vm) {
					t.Errorf("%s votes before it was readmitted", vm.member.identity())
				}
				cluster.network.isolate(other, false)
				cluster.eventually("readmitted", func() bool { return cluster.isVoter(lost.vm) })
				cluster.mustPropose("a", "after")
			})
		})
	}
}

// Checks that delayed messages of an earlier incarnation are not counted as responses of the current one.
func TestDelayedResponseOfOldIncarnation(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startThreeVoters(t)
		defer cluster.stop()
		old := cluster.vms["b"].member.Incarnation
		cluster.crash("b", false)
		cluster.start("b")
		cluster.eventually("readmitted", func() bool { return cluster.isVoter("b") })
		cluster.network.isolate("r", true)
		cluster.network.isolate("b", true)
		node := cluster.vms["a"].replicator.node()
		proposal := newProposal(proposeMessage{Command: []byte("alone")})
		node.proposals <- proposal
		time.Sleep(10 * time.Millisecond)
		node.inbox <- inbound{from: "b", message: &appendResponse{
			Term: node.view.Load().status.Term(), Incarnation: old, Match: 1 << 20,
		}}
		time.Sleep(500 * time.Millisecond)
		select {
		case response := <-proposal.done:
			t.Errorf("proposal without a majority: got %+v, want no response", response)
		default:
		}
	})
}

// Checks that a leader is elected if the only VM with the newest acknowledged entry does not normally stand
// for election, and that this VM then transfers leadership.
func TestTemporaryLeaderTransfersLeadership(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startThreeVoters(t)
		defer cluster.stop()
		cluster.network.block("a", "b", true)
		// The leader has a majority only with r.
		cluster.mustPropose("a", "held by a and r")
		cluster.crash("a", false)
		cluster.network.block("a", "b", false)
		if got, want := cluster.leader(), scheduler.VMName("b"); got != want {
			t.Errorf("leader: got %s, want %s", got, want)
		}
		if err := cluster.vms["b"].replicator.ReadBarrier(t.Context()); err != nil {
			t.Fatalf("ReadBarrier: %v", err)
		}
		if got := cluster.vms["b"].machine.list(); !strings.HasSuffix(got[len(got)-1], "held by a and r") {
			t.Errorf("acknowledged entry is lost: got %v", got)
		}
	})
}

// Checks that a leader is elected if the voter that stands for election lacks the entry that made it a voter,
// and the voter that has the entry does not normally stand for election.
func TestVoterUnawareOfItsPromotion(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := newCluster(t, 1, threeVoters())
		defer cluster.stop()
		cluster.start("r")
		view := &cluster.start("a").replicator.node().view
		cluster.network.filter = func(_, to scheduler.VMName, kind scheduler.MessageKind) bool {
			b, _ := membership{Members: view.Load().members}.find("b")
			return to != "b" || kind != kindAppend || b.Incarnation == 0
		}
		cluster.start("b")
		cluster.eventually("b votes", func() bool {
			current := view.Load()
			return current.membershipCommitted &&
				membership{Members: current.members}.isVoter("b", cluster.vms["b"].member.Incarnation)
		})
		if cluster.isVoter("b") {
			t.Fatalf("b knows that it votes")
		}
		cluster.crash("a", false)
		cluster.network.mutex.Lock()
		cluster.network.filter = nil
		cluster.network.mutex.Unlock()
		if got, want := cluster.leader(), scheduler.VMName("b"); got != want {
			t.Errorf("leader: got %s, want %s", got, want)
		}
	})
}

// Checks that New rejects invalid memberships and identities.
func TestNewRejectsInvalidArguments(t *testing.T) {
	tests := map[string]struct {
		self    Member
		members []Member
	}{
		"no incarnation":           {Member{VM: "a"}, threeVoters()},
		"another VM's transport":   {disk("x"), threeVoters()},
		"VM listed twice":          {disk("a"), []Member{disk("a"), disk("a")}},
		"no voter":                 {disk("a"), nil},
		"no voter stands":          {disk("a"), []Member{{VM: "a", Disk: true}}},
		"majority without disks":   {disk("a"), []Member{disk("a"), {VM: "b", StandsForElection: true}, {VM: "c"}}},
		"only voter without disks": {disk("a"), []Member{{VM: "a", StandsForElection: true}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			transport := newFakeNetwork(1, 0).connect("a")
			_, err := New(testGroup, test.self, test.members, &fakeJournal{}, transport, &fakeMachine{})
			if !Error.Has(err) {
				t.Errorf("New: got %v, want an error", err)
			}
		})
	}
}
