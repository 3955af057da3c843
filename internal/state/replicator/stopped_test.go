package replicator

import (
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a VM that still names itself, or another VM, as the leader after it has left the group.
func TestStoppedVMClaimsNoLeadership(t *testing.T) {
	tests := map[string]func(cluster *fakeCluster, leader scheduler.VMName) scheduler.VMName{
		"leader": func(_ *fakeCluster, leader scheduler.VMName) scheduler.VMName { return leader },
		"follower": func(cluster *fakeCluster, leader scheduler.VMName) scheduler.VMName {
			return cluster.otherVM(leader)
		},
	}
	for name, choose := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				cluster := newCluster(t, 1, []Member{disk("a"), disk("b"), disk("c")})
				defer cluster.stop()
				cluster.startAll()
				vm := cluster.vms[choose(cluster, cluster.leader())]
				vm.journal.set(func() { vm.journal.failed = true })
				_, _ = cluster.propose(cluster.leader(), "1")
				time.Sleep(time.Second)
				replicator := vm.replicator
				if replicator.Err() == nil {
					t.Fatal("got no failure, want one of the journal")
				}
				status := replicator.Status()
				if got, want := status.Role(), scheduler.GroupFollower; got != want {
					t.Errorf("role: got %s, want %s", got, want)
				}
				if got := status.Leader(); got != "" {
					t.Errorf("leader: got %s, want none", got)
				}
				if got := replicator.RespondingMembers(); len(got) != 0 {
					t.Errorf("responding members: got %v, want none", got)
				}
				if replicator.HoldsLeaderLease() {
					t.Error("got a leader lease, want none")
				}
				if got, want := len(status.Voters()), 3; got != want {
					t.Errorf("voters: got %d, want %d", got, want)
				}
			})
		})
	}
}

// Guards against an event loop that publishes a leadership again after the node was stopped.
func TestStoppedVMPublishesNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := newCluster(t, 1, []Member{disk("a"), disk("b"), disk("c")})
		defer cluster.stop()
		cluster.startAll()
		node := cluster.vms[cluster.leader()].replicator.node()
		node.stop(nil)
		node.publish()
		if got, want := node.view.Load().status.Role(), scheduler.GroupFollower; got != want {
			t.Errorf("role: got %s, want %s", got, want)
		}
	})
}
