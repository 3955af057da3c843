package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// view is an immutable copy of the state of a node for other goroutines. The event loop replaces it, and stop
// removes the leader from the last one.
type view struct {
	status  scheduler.GroupStatus
	members []Member
	// membershipCommitted is true if the newest membership is committed.
	membershipCommitted bool
	// responding holds the members that respond to the leader. It is nil on other VMs.
	responding map[scheduler.VMName]bool
	// leaseUntil is the end of the leader lease, or zero if the node has none.
	leaseUntil time.Duration
}

// withoutLeader returns the view of a VM that has left the group.
func (view view) withoutLeader() *view {
	status := view.status
	view.status = scheduler.NewGroupStatus(scheduler.GroupFollower, status.Term(), "", status.Commit(), status.Applied(),
		status.Voters())
	view.responding, view.leaseUntil = nil, 0
	return &view
}

func (node *node) publish() {
	role := scheduler.GroupFollower
	current := node.log.membership()
	switch {
	case node.role == roleLeader:
		role = scheduler.GroupLeader
	case node.role != roleFollower:
		role = scheduler.GroupCandidate
	case !current.isVoter(node.self.VM, node.self.Incarnation):
		role = scheduler.GroupLearner
	}
	status := scheduler.NewGroupStatus(role, node.term, node.leader, node.commit, node.applied,
		current.voterNames())
	node.setView(&view{
		status: status, members: current.Members, membershipCommitted: current.index <= node.commit,
		leaseUntil: node.leaseUntil(), responding: node.responding(),
	})
	select {
	case node.changed <- struct{}{}:
	default:
	}
}

// responding returns the members that currently respond, or nil if this VM is not the leader.
func (node *node) responding() map[scheduler.VMName]bool {
	if node.role != roleLeader {
		return nil
	}
	now := node.clock.now()
	responding := map[scheduler.VMName]bool{node.self.VM: true}
	for vm, progress := range node.leading.peers {
		if progress.isResponding(now) {
			responding[vm] = true
		}
	}
	return responding
}

// setView publishes a view unless the node has stopped. The last view of a stopped node must not name a leader.
func (node *node) setView(view *view) {
	node.viewMutex.Lock()
	defer node.viewMutex.Unlock()
	select {
	case <-node.stopped:
	default:
		node.view.Store(view)
	}
}
