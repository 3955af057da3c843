package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// askToLeave asks the event loop to give up leadership. It returns false when that was asked before.
func (node *node) askToLeave() bool {
	select {
	case node.leave <- struct{}{}:
		return true
	default:
		return false
	}
}

func (node *node) finishLeaving() {
	select {
	case <-node.left:
	default:
		close(node.left)
	}
}

// tickLeaving hands leadership over once every entry is committed and applied. Without a suitable
// target a leader that is about to stop steps down after a time-out, while one that does not stand for
// election goes on bringing the others up to date.
func (node *node) tickLeaving(now time.Duration) error {
	if node.leading.transferUntil > 0 {
		return nil
	}
	if node.leading.leavingSince == 0 {
		node.leading.leavingSince = now
	}
	others := len(node.log.membership().voters()) > 1
	settled := node.commit == node.log.last && node.applied == node.commit
	if target := node.transferTarget(now, true); target != "" && settled {
		node.sendTransfer(target, now)
		return nil
	}
	if node.leaving && (!others || now > node.leading.leavingSince+transferTimeout) {
		return node.stepDown(node.term, "noTransferTarget")
	}
	return nil
}

// transferTarget returns a voter that may lead, answers and holds enough of the log: all of it when
// complete is set, otherwise the most that any voter holds.
func (node *node) transferTarget(now time.Duration, complete bool) scheduler.VMName {
	var target scheduler.VMName
	best := scheduler.Index(0)
	for _, member := range node.log.membership().voters() {
		progress := node.leading.peers[member.VM]
		if member.VM == node.self.VM || !member.StandsForElection || progress == nil ||
			progress.incarnation != member.Incarnation || !progress.isAnswering(now) ||
			complete && progress.match < node.log.last {
			continue
		}
		if target == "" || progress.match > best {
			target, best = member.VM, progress.match
		}
	}
	return target
}

// sendTransfer asks target to stand for election at once. The lease ends first and for the rest of
// the term, because voters do not protect it against this election.
func (node *node) sendTransfer(target scheduler.VMName, now time.Duration) {
	node.leading.leaseRevoked = true
	node.leading.transferUntil = now + transferTimeout
	node.publish()
	node.logger.Info().Str("event", "leadershipTransferred").Uint64("term", uint64(node.term)).Str("target", string(target)).Msg("leadership transferred")
	node.transport.Send(target, node.name, kindTransfer, encode(transferMessage{Term: node.term}))
}

// sendTransferBeforeStepDown saves the followers the election time-out when the leader gives up
// although its messages still arrive.
func (node *node) sendTransferBeforeStepDown(reason string) {
	now := node.clock.now()
	if reason != "stalled" {
		return
	}
	if target := node.transferTarget(now, false); target != "" {
		node.sendTransfer(target, now)
	}
}

func (node *node) handleTransfer(from scheduler.VMName, message *transferMessage) error {
	if message.Term != node.term || node.leader != from || node.role != roleFollower ||
		node.leaving || !node.isCandidateAllowed(node.clock.now()) {
		return nil
	}
	return node.startElection(true)
}
