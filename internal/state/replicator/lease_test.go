package replicator

import (
	"context"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Checks that an isolated leader loses its lease before the next leader obtains one, even if the old
// leader's clock is slow and the clocks of the voters are fast.
func TestLeaseEndsBeforeNextLeader(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := newCluster(t, 1, threeVoters())
		defer cluster.stop()
		cluster.vms["a"].clockRate = 0.95
		cluster.vms["b"].clockRate, cluster.vms["r"].clockRate = 1.05, 1.05
		cluster.startAll()
		cluster.eventually("b is a voter", func() bool { return cluster.isVoter("b") })
		first := cluster.leader()
		cluster.network.isolate(first, true)
		ended, replaced := time.Duration(0), time.Duration(0)
		for start := time.Now(); replaced == 0 && time.Since(start) < 5*time.Second; time.Sleep(time.Millisecond) {
			for name, vm := range cluster.vms {
				holds := vm.replicator.HoldsLeaderLease()
				switch {
				case name == first && !holds && ended == 0:
					ended = time.Since(start)
				case name != first && holds:
					replaced = time.Since(start)
				}
			}
		}
		if ended == 0 || replaced == 0 || ended >= replaced {
			t.Errorf("lease of the old leader ended after %v, next one began after %v", ended, replaced)
		}
		// The design allows at most 3 s without a leader.
		if got, want := replaced, 3*time.Second; got > want {
			t.Errorf("time without a leader: got %v, want at most %v", got, want)
		}
	})
}

// Checks that a leader whose disk or state machine hangs steps down although it still sends heartbeats, and
// that a VM in that state is not elected.
func TestStalledLeaderStepsDown(t *testing.T) {
	tests := map[string]func(vm *fakeVM, hang chan struct{}){
		"disk": func(vm *fakeVM, hang chan struct{}) {
			vm.journal.set(func() { vm.journal.stalled = hang })
		},
		"state machine": func(vm *fakeVM, hang chan struct{}) {
			vm.machine.mutex.Lock()
			defer vm.machine.mutex.Unlock()
			vm.machine.hang = hang
		},
	}
	for name, stall := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				cluster := startThreeVoters(t)
				defer cluster.stop()
				hang := make(chan struct{})
				defer close(hang)
				stall(cluster.vms["a"], hang)
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				_, _ = cluster.vms["a"].replicator.Propose(ctx, []byte("waits"))
				cluster.eventually("b leads", func() bool { return cluster.vms["b"].replicator.HoldsLeaderLease() })
				for range 100 {
					time.Sleep(tickInterval)
					if cluster.vms["a"].replicator.HoldsLeaderLease() {
						t.Fatalf("the stalled VM is the leader again")
					}
				}
				cluster.mustPropose("b", "goes on")
			})
		})
	}
}

// Checks that a planned stop does not wait for an election timeout, and that leadership is not transferred
// to a voter that is behind or does not stand for election.
func TestCloseTransfersLeadership(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startThreeVoters(t)
		defer cluster.stop()
		cluster.mustPropose("a", "before")
		start := time.Now()
		if err := cluster.vms["a"].replicator.Close(t.Context()); err != nil {
			t.Fatalf("Close: %v", err)
		}
		if cluster.vms["a"].replicator.HoldsLeaderLease() {
			t.Errorf("the closed VM holds the lease")
		}
		if got, want := cluster.leader(), scheduler.VMName("b"); got != want {
			t.Errorf("leader: got %s, want %s", got, want)
		}
		if got, want := time.Since(start), minElectionTimeout; got >= want {
			t.Errorf("leadership transfer took %v, want less than %v", got, want)
		}
		if _, err := cluster.propose("a", "late"); classOf(err) != "not run" {
			t.Errorf("proposal on the closed VM: got %v, want not run", err)
		}
	})
}

// Guards against a leader that keeps its lease, or stays out of the group, after it was asked to hand over, and against a
// follower whose request disturbs the leader.
func TestLeadershipIsTransferredOnRequest(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startThreeVoters(t)
		defer cluster.stop()
		cluster.vms["b"].replicator.TransferLeadership()
		time.Sleep(time.Second)
		if got, want := cluster.leader(), scheduler.VMName("a"); got != want {
			t.Fatalf("leader after the request of a follower: got %s, want %s", got, want)
		}
		former := cluster.vms["a"].replicator
		former.TransferLeadership()
		time.Sleep(minElectionTimeout / 2)
		if got, want := cluster.leader(), scheduler.VMName("b"); got != want || former.HoldsLeaderLease() {
			t.Errorf("leader: got %s, want %s; the former one holds the lease: %t", got, want, former.HoldsLeaderLease())
		}
		cluster.mustPropose("a", "after")
	})
}

// Checks that a VM that cannot receive, cannot send, or returns from a long isolation does not disrupt a
// healthy leader.
func TestBadLinkDoesNotDisrupt(t *testing.T) {
	tests := map[string]func(network *fakeNetwork, cut bool){
		"receives nothing": func(network *fakeNetwork, cut bool) {
			network.block("a", "b", cut)
			network.block("r", "b", cut)
		},
		"does not hear the leader": func(network *fakeNetwork, cut bool) { network.block("a", "b", cut) },
		"sends nothing": func(network *fakeNetwork, cut bool) {
			network.block("b", "a", cut)
			network.block("b", "r", cut)
		},
		"isolated": func(network *fakeNetwork, cut bool) { network.isolate("b", cut) },
	}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				cluster := startThreeVoters(t)
				defer cluster.stop()
				term := cluster.vms["a"].replicator.Status().Term()
				for round, isCut := range []bool{true, false} {
					cut(cluster.network, isCut)
					for range 3000 {
						time.Sleep(tickInterval)
						if !cluster.vms["a"].replicator.HoldsLeaderLease() {
							t.Fatalf("round %d: the leader lost its lease", round)
						}
					}
				}
				if got, want := cluster.vms["b"].replicator.Status().Term(), term; got != want {
					t.Errorf("term: got %d, want %d", got, want)
				}
			})
		})
	}
}

// Checks that a VM leaves the group after a failed sync, because the content of its disk is then unknown.
func TestFailedSyncEndsParticipation(t *testing.T) {
	for name, vm := range map[string]scheduler.VMName{"leader": "a", "follower": "r"} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				cluster := startThreeVoters(t)
				defer cluster.stop()
				failing := cluster.vms[vm]
				failing.journal.set(func() { failing.journal.failSync = true })
				_, _ = cluster.propose("a", "first")
				<-failing.replicator.Stopped()
				if err := failing.replicator.Err(); !scheduler.ErrJournalFailed.Has(err) {
					t.Errorf("Err: got %v, want class %s", err, scheduler.ErrJournalFailed)
				}
				failing.journal.set(func() { failing.journal.failSync, failing.journal.failed = false, false })
				cluster.eventually("b leads or follows a", func() bool {
					_, err := cluster.propose("b", "goes on")
					return err == nil
				})
				if _, err := cluster.propose(vm, "late"); classOf(err) != "not run" {
					t.Errorf("proposal on the failed VM: got %v, want not run", err)
				}
			})
		})
	}
}

// Checks that a restarted voter does not vote immediately. Its vote could violate a lease that is based on
// its responses before the restart.
func TestRestartedVoterWaitsBeforeVoting(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startThreeVoters(t)
		defer cluster.stop()
		node := cluster.vms["r"].replicator.node()
		term := node.view.Load().status.Term()
		cluster.crash("r", false)
		cluster.network.isolate("r", true)
		restarted := cluster.start("r").replicator.node()
		restarted.inbox <- inbound{from: "b", message: &voteMessage{
			Term: term + 1, Incarnation: cluster.vms["b"].member.Incarnation, LastIndex: 1 << 20, LastTerm: term,
		}}
		time.Sleep(minElectionTimeout - tickInterval)
		if got, want := restarted.view.Load().status.Term(), term; got != want {
			t.Errorf("term after a vote request in the first second: got %d, want %d", got, want)
		}
	})
}
