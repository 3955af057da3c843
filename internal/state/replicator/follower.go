package replicator

import "github.com/crocusplank/crocusplank/pkg/scheduler"

// followerState holds a follower's replication state for the leader of the current term.
type followerState struct {
	// verified is the last index up to which the log is known to match the leader's log.
	verified scheduler.Index
	// responsePending is set while the response to appended entries waits for a sync.
	responsePending bool
	// pendingSent is the send time of the newest message that carried entries.
	pendingSent int64
}

// handleAppend checks that the log matches the leader's log up to the new entries and appends them. The
// response is sent once the entries are durable. A message without new entries is acknowledged
// immediately, so that the leader's lease does not depend on this VM's disk.
func (node *node) handleAppend(from scheduler.VMName, message *appendMessage) error {
	if message.Term < node.term && !node.settings.hooks.dropTermCheck {
		node.sendAppendResponse(from, appendResponse{Reject: true, PrevIndex: message.PrevIndex, Sent: message.Sent})
		return nil
	}
	if err := node.followLeader(from, message.Term); err != nil {
		return err
	}
	if node.isInstalling() {
		node.sendAppendResponse(from, appendResponse{Match: 0, Sent: message.Sent})
		return nil
	}
	if hint, matches := node.checkPreviousEntry(message.PrevIndex, message.PrevTerm); !matches {
		node.sendAppendResponse(from, appendResponse{
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
		node.follower.responsePending, node.follower.pendingSent = true, message.Sent
		return nil
	}
	node.sendAppendResponse(from, appendResponse{Match: node.durableMatch(), Sent: message.Sent})
	return nil
}

// followLeader records from as the leader of the term and resets the election deadline.
func (node *node) followLeader(from scheduler.VMName, term scheduler.Term) error {
	if term > node.term || node.role != roleFollower {
		if err := node.stepDown(term, "leaderFound"); err != nil {
			return err
		}
	}
	if node.leader != from {
		node.follower = followerState{}
		node.leader = from
		node.logger.Info().Str("event", "leaderFollowed").Uint64("term", uint64(term)).Str("leader", string(from)).
			Msg("following leader")
	}
	now := node.clock.now()
	node.lastLeaderContact = now
	node.resetElectionDeadline(now)
	return nil
}

// checkPreviousEntry reports whether the log contains the entry that precedes the entries of the
// message. If it does not, hint is the last index at which the leader's log may match.
func (node *node) checkPreviousEntry(prevIndex scheduler.Index, prevTerm scheduler.Term) (
	hint scheduler.Index, matches bool,
) {
	// Committed entries are identical on all VMs.
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
	// Entries with a higher term than the leader's entry at this index cannot match.
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

// appendNew appends the entries of the message, starting at the first one that the log does not contain.
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

func (node *node) sendAppendResponse(to scheduler.VMName, response appendResponse) {
	response.Term, response.Incarnation = node.term, node.self.Incarnation
	node.transport.Send(to, node.name, kindAppendResponse, encode(response))
}

// sendSyncedResponse sends the append response that was deferred until the entries were synced.
func (node *node) sendSyncedResponse() {
	if node.role != roleFollower || node.leader == "" || !node.follower.responsePending {
		return
	}
	node.follower.responsePending = node.log.durable < node.follower.verified
	node.sendAppendResponse(node.leader, appendResponse{Match: node.durableMatch(), Sent: node.follower.pendingSent})
}
