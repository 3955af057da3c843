package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// requestClose asks the event loop to transfer leadership before the node stops. It returns false if a
// request is already queued.
func (node *node) requestClose() bool {
	select {
	case node.closeRequests <- struct{}{}:
		return true
	default:
		return false
	}
}

// requestTransfer asks the event loop to transfer leadership, unless a request is already queued.
func (node *node) requestTransfer() {
	select {
	case node.transferRequests <- struct{}{}:
	default:
	}
}

// transferOnRequest transfers leadership unless a transfer is under way or no voter responds.
func (node *node) transferOnRequest() {
	if node.role == roleLeader && node.leading.transferDeadline == 0 {
		node.sendTransferToLongestLog(node.clock.now())
	}
}

func (node *node) signalLeadershipReleased() {
	select {
	case <-node.leadershipReleased:
	default:
		close(node.leadershipReleased)
	}
}

// tickHandover transfers leadership once every entry is committed and applied. If there is no suitable
// target, a closing leader steps down after transferTimeout, while a temporary leader, which does not
// normally stand for election, continues to replicate entries to the other voters.
func (node *node) tickHandover(now time.Duration) error {
	if node.leading.transferDeadline > 0 {
		return nil
	}
	if node.leading.handoverSince == 0 {
		node.leading.handoverSince = now
	}
	hasOtherVoters := len(node.log.membership().voters()) > 1
	allApplied := node.commit == node.log.last && node.applied == node.commit
	if target := node.transferTarget(now, true); target != "" && allApplied {
		node.sendTransfer(target, now)
		return nil
	}
	if node.closing && (!hasOtherVoters || now > node.leading.handoverSince+transferTimeout) {
		return node.stepDown(node.term, "noTransferTarget")
	}
	return nil
}

// transferTarget returns the voter that stands for election, responds and has stored the most entries, or
// an empty name if there is none. If complete is set, the voter must have stored the whole log.
func (node *node) transferTarget(now time.Duration, complete bool) scheduler.VMName {
	var target scheduler.VMName
	best := scheduler.Index(0)
	for _, member := range node.log.membership().voters() {
		progress := node.leading.peers[member.VM]
		if member.VM == node.self.VM || !member.StandsForElection || progress == nil ||
			progress.incarnation != member.Incarnation || !progress.isResponding(now) ||
			complete && progress.match < node.log.last {
			continue
		}
		if target == "" || progress.match > best {
			target, best = member.VM, progress.match
		}
	}
	return target
}

// sendTransfer asks target to start an election immediately. The lease is revoked first, for the rest of the
// term, because voters grant their vote in this election even if they recently heard from the leader.
func (node *node) sendTransfer(target scheduler.VMName, now time.Duration) {
	node.leading.leaseRevoked = true
	node.leading.transferDeadline = now + transferTimeout
	node.publish()
	node.logger.Info().Str("event", "leadershipTransferred").Uint64("term", uint64(node.term)).
		Str("target", string(target)).Msg("leadership transferred")
	node.transport.Send(target, node.name, kindTransfer, encode(transferMessage{Term: node.term}))
}

// sendTransferBeforeStepDown transfers leadership when a leader steps down because it is stalled or has withdrawn. Its
// messages still reach the followers, so they need not wait for the election timeout.
func (node *node) sendTransferBeforeStepDown(reason string) {
	now := node.clock.now()
	if reason != "stalled" && reason != "withdrawn" {
		return
	}
	node.sendTransferToLongestLog(now)
}

// transferAfterFailure transfers leadership when this VM leaves the group after a failure, for example because its
// disk refuses writes. An election needs nothing from this VM: its event loop handles no more proposals, and sendTransfer
// ends its lease first.
func (node *node) transferAfterFailure() {
	if node.role == roleLeader {
		node.sendTransferToLongestLog(node.clock.now())
	}
}

// sendTransferToLongestLog transfers leadership without waiting until the target has the whole log.
func (node *node) sendTransferToLongestLog(now time.Duration) {
	if target := node.transferTarget(now, false); target != "" {
		node.sendTransfer(target, now)
	}
}

func (node *node) handleTransfer(from scheduler.VMName, message *transferMessage) error {
	if message.Term != node.term || node.leader != from || node.role != roleFollower ||
		node.closing || !node.isCandidateAllowed(node.clock.now()) {
		return nil
	}
	return node.startElection(true)
}
