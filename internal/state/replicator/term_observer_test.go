package replicator

import (
	"fmt"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a state machine that does not learn of a leader, also of one that proposes nothing, or that applies commands
// without knowing their term after a restart or a snapshot.
func TestStateMachineObservesTerms(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startThreeVoters(t, WithSnapshotInterval(10, 2))
		defer cluster.stop()
		haveObserved := func() bool {
			leader := cluster.leader()
			if leader == "" {
				return false
			}
			for _, vm := range cluster.vms {
				term, unobserved := vm.machine.observed()
				if unobserved > 0 {
					t.Fatalf("%s applied %d commands without a term", vm.member.VM, unobserved)
				}
				if term != cluster.vms[leader].replicator.Status().Term() {
					return false
				}
			}
			return true
		}
		cluster.eventually("all observe the first term", haveObserved)
		for round := range 3 {
			for _, name := range []scheduler.VMName{"a", "r"} {
				before := cluster.vms["b"].replicator.Status().Term()
				cluster.crash(name, false)
				for number := range 25 {
					cluster.mustPropose("b", fmt.Sprint(round, name, number))
				}
				cluster.start(name)
				cluster.eventually("all observe the term after a restart", haveObserved)
				cluster.vms["b"].replicator.TransferLeadership()
				cluster.eventually("all observe the term of a leader without proposals", func() bool {
					return cluster.vms["b"].replicator.Status().Term() > before && haveObserved()
				})
			}
		}
		restores := cluster.vms["r"].machine.restores
		cluster.network.isolate("r", true)
		for number := range 100 {
			cluster.mustPropose("b", fmt.Sprint("missed", number))
		}
		cluster.crash("a", false) // The log in its memory is longer than the one on its disk.
		cluster.start("a")
		cluster.eventually("a has the state of b", func() bool { return cluster.sameState("a", "b") })
		cluster.vms["b"].replicator.TransferLeadership()
		cluster.eventually("a leads", func() bool { return cluster.leader() == "a" })
		cluster.network.isolate("r", false)
		cluster.eventually("r has the state of b", func() bool { return cluster.sameState("r", "b") })
		if got, want := cluster.vms["r"].machine.restores, restores+1; got != want {
			t.Errorf("got %d restored snapshots, want %d", got, want)
		}
		cluster.mustPropose("b", "after the snapshot")
		cluster.eventually("all observe the term after a snapshot", haveObserved)
	})
}
