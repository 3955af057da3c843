package replicator

import "github.com/crocusplank/crocusplank/pkg/scheduler"

// followerState is what a follower knows about the leader of the current term.
type followerState struct {
	// verified is the last index up to which the log is known to equal the leader's.
	verified scheduler.Index
	// owed is set while entries of the leader wait for a sync and have not been answered.
	owed bool
	// sent is the send time of the newest message that carried entries.
	sent int64
}

// handleAppend checks that the log matches the leader's before the new entries and appends them. The
// answer follows once they are durable; a message without new entries is answered at once, so that
// the leader's lease does not depend on this VM's disk.
func (node *node) handleAppend(from scheduler.VMName, message *appendMessage) error {
	if message.Term < node.term && !node.settings.hooks.dropTermCheck {
		node.answerAppend(from, appendAnswer{Reject: true, PrevIndex: message.PrevIndex, Sent: message.Sent})
		return nil
	}
	if err := node.follow(from, message.Term); err != nil {
		return err
	}
	if node.isInstalling() {
		node.answerAppend(from, appendAnswer{Match: 0, Sent: message.Sent})
		return nil
	}
	if hint, matches := node.matchHint(message.PrevIndex, message.PrevTerm); !matches {
		node.answerAppend(from, appendAnswer{
			Reject: true, Match: hint, PrevIndex: message.PrevIndex, Sent: message.Sent,
		})
		return nil
	}
	if err := node.appendNew(message); err != nil {
		return err
	}
	verified := message.PrevIndex + scheduler.Index(len(message.Entries))
	node.follower.verified = max(node.follower.verified, verified)
	node.commit = max(node.commit, min(message.Commit, node.follower.verified))
	if len(message.Entries) > 0 && node.log.durable < verified {
		node.follower.owed, node.follower.sent = true, message.Sent
		return nil
	}
	node.answerAppend(from, appendAnswer{Match: node.durableMatch(), Sent: message.Sent})
	return nil
}

// follow notes that from leads the term.
func (node *node) follow(from scheduler.VMName, term scheduler.Term) error {
	if term > node.term || node.role != roleFollower {
		if err := node.stepDown(term, "leaderFound"); err != nil {
			return err
		}
	}
	if node.leader != from {
		node.follower = followerState{}
		node.leader = from
		node.logger.Info().Str("event", "leaderFollowed").Uint64("term", uint64(term)).Str("leader", string(from)).Msg("leader followed")
	}
	now := node.clock.now()
	node.heardLeader = now
	node.resetElectionDeadline(now)
	return nil
}

// matchHint reports whether the log holds the entry before the message's. If it does not, hint is the
// last index at which the leader's log may be equal.
func (node *node) matchHint(prevIndex scheduler.Index, prevTerm scheduler.Term) (hint scheduler.Index, matches bool) {
	// Committed entries are equal on all VMs.
	if prevIndex <= node.commit && !node.settings.hooks.dropTermCheck {
		return 0, true
	}
	if prevIndex > node.log.last {
		return node.log.last, false
	}
	term, known := node.log.term(prevIndex)
	if known && (term == prevTerm || node.settings.hooks.dropTermCheck) {
		return 0, true
	}
	// Entries of a term higher than the leader's entry at this position cannot match.
	hint = prevIndex - 1
	for hint > node.commit {
		term, known := node.log.term(hint)
		if !known || term <= prevTerm {
			break
		}
		hint--
	}
	return hint, false
}

// appendNew appends the message's entries from the first one on that the log does not hold.
func (node *node) appendNew(message *appendMessage) error {
	for position, received := range message.Entries {
		index := message.PrevIndex + 1 + scheduler.Index(position)
		if index <= node.commit {
			continue
		}
		if term, known := node.log.term(index); known && term == received.Term {
			continue
		}
		entries := make([]scheduler.Entry, 0, len(message.Entries)-position)
		for offset, entry := range message.Entries[position:] {
			entries = append(entries, entry.entry(index+scheduler.Index(offset)))
		}
		return node.log.append(entries)
	}
	return nil
}

func (node *node) durableMatch() scheduler.Index {
	return min(node.follower.verified, node.log.durable)
}

func (node *node) answerAppend(to scheduler.VMName, answer appendAnswer) {
	answer.Term, answer.Incarnation = node.term, node.self.Incarnation
	node.transport.Send(to, node.name, kindAppendAnswer, encode(answer))
}

// answerSynced sends the answer that waited for a sync.
func (node *node) answerSynced() {
	if node.role != roleFollower || node.leader == "" || !node.follower.owed {
		return
	}
	node.follower.owed = node.log.durable < node.follower.verified
	node.answerAppend(node.leader, appendAnswer{Match: node.durableMatch(), Sent: node.follower.sent})
}
