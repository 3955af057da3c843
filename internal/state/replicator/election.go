package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

func (node *node) resetElectionDeadline(now time.Duration) {
	spread := node.random.Int64N(int64(maxElectionTimeout - minElectionTimeout))
	node.electionDeadline = now + minElectionTimeout + time.Duration(spread)
}

// isCandidateAllowed reports whether this VM may stand for election now. A VM whose disk or state
// machine makes no progress would step down at once.
func (node *node) isCandidateAllowed(now time.Duration) bool {
	member, found := node.log.membership().find(node.self.VM)
	return found && !member.Learner && member.Incarnation == node.self.Incarnation &&
		(node.standsForElection() || now < node.temporaryCandidateUntil) &&
		!node.isInstalling() && !node.stall.isStalled(now)
}

// standsForElection reports whether this VM may lead on its own account.
func (node *node) standsForElection() bool {
	member, found := node.log.membership().find(node.self.VM)
	return found && member.StandsForElection && node.self.StandsForElection
}

// startPreVote asks whether the voters would grant a vote, without raising the term. A VM behind a
// bad link or back from a long isolation therefore cannot depose a working leader.
func (node *node) startPreVote() error {
	node.role, node.leader = rolePreCandidate, ""
	node.votes = map[scheduler.VMName]bool{node.self.VM: true}
	node.logger.Debug().Str("event", "preVoteStarted").Uint64("term", uint64(node.term)).Msg("pre vote started")
	if node.hasVoteMajority() {
		return node.startElection(false)
	}
	node.requestVotes(kindPreVote, node.term+1)
	return nil
}

// repeatVoteRequests asks again while an election is open: a request may have been lost, and a voter
// may have ignored it because it had heard from the old leader a moment later than the others.
func (node *node) repeatVoteRequests(now time.Duration) {
	if now < node.askedVotes+heartbeatInterval {
		return
	}
	switch node.role {
	case rolePreCandidate:
		node.requestVotes(kindPreVote, node.term+1)
	case roleCandidate:
		node.requestVotes(kindVote, node.term)
	}
}

func (node *node) startElection(transfer bool) error {
	node.role, node.leader, node.transferred = roleCandidate, "", transfer
	node.term++
	node.votedFor = node.self.identity()
	if err := node.saveHardState(); err != nil {
		return err
	}
	node.resetElectionDeadline(node.clock.now())
	node.votes = map[scheduler.VMName]bool{node.self.VM: true}
	node.logger.Info().Str("event", "electionStarted").Uint64("term", uint64(node.term)).Msg("election started")
	if node.hasVoteMajority() {
		return node.becomeLeader()
	}
	node.requestVotes(kindVote, node.term)
	return nil
}

func (node *node) requestVotes(kind scheduler.MessageKind, term scheduler.Term) {
	node.askedVotes = node.clock.now()
	body := encode(voteMessage{
		Term: term, Incarnation: node.self.Incarnation, LastIndex: node.log.last,
		LastTerm: node.log.lastTerm(), Transfer: kind == kindVote && node.transferred,
	})
	for _, member := range node.log.membership().Members {
		if member.VM != node.self.VM && (!member.Learner || node.settings.hooks.countLearners) {
			node.transport.Send(member.VM, node.name, kind, body)
		}
	}
}

// hasVoteMajority counts the votes of voters only; handleVoteAnswer admits a vote only from the
// incarnation that the membership names.
func (node *node) hasVoteMajority() bool {
	voters, granted := 0, 0
	for _, member := range node.log.membership().Members {
		if member.Learner && !node.settings.hooks.countLearners {
			continue
		}
		if !member.Learner {
			voters++
		}
		if node.votes[member.VM] {
			granted++
		}
	}
	return granted >= majority(voters)
}

// ignoresVotes reports whether a vote request must be ignored, because a leader may hold its lease on
// the strength of this VM's answers. A leader steps down by itself when it loses its majority.
func (node *node) ignoresVotes(now time.Duration) bool {
	if node.settings.hooks.ignoreHeardLeader {
		return false
	}
	return node.role == roleLeader || now < node.heardLeader+minElectionTimeout
}

func (node *node) handlePreVote(from scheduler.VMName, message *voteMessage) {
	granted := message.Term > node.term && !node.ignoresVotes(node.clock.now()) &&
		node.log.isUpToDate(message.LastIndex, message.LastTerm)
	node.considerCaretaking(message)
	node.transport.Send(from, node.name, kindPreVoteAnswer, encode(voteAnswer{
		Term: node.term, Asked: message.Term, Incarnation: node.self.Incarnation, Granted: granted,
	}))
}

func (node *node) handleVote(from scheduler.VMName, message *voteMessage) error {
	now := node.clock.now()
	if !message.Transfer && node.ignoresVotes(now) {
		return nil
	}
	if message.Term > node.term {
		if err := node.stepDown(message.Term, "higherTerm"); err != nil {
			return err
		}
	}
	candidate := identity(from, message.Incarnation)
	granted := message.Term == node.term && node.role != roleLeader &&
		(node.votedFor == "" || node.votedFor == candidate) &&
		node.log.isUpToDate(message.LastIndex, message.LastTerm)
	if granted && node.votedFor == "" {
		if !node.settings.hooks.forgetVote {
			node.votedFor = candidate
			if err := node.saveHardState(); err != nil {
				return err
			}
		}
		node.resetElectionDeadline(node.clock.now())
	}
	node.transport.Send(from, node.name, kindVoteAnswer, encode(voteAnswer{
		Term: node.term, Asked: message.Term, Incarnation: node.self.Incarnation, Granted: granted,
	}))
	return nil
}

func (node *node) handleVoteAnswer(from scheduler.VMName, answer *voteAnswer, preVote bool) error {
	if answer.Term > node.term {
		return node.stepDown(answer.Term, "higherTerm")
	}
	current := node.log.membership()
	member, found := current.find(from)
	identified := found && (member.Incarnation == answer.Incarnation || node.settings.hooks.ignoreIncarnation)
	if !answer.Granted || !identified {
		return nil
	}
	switch {
	case preVote && node.role == rolePreCandidate && answer.Asked == node.term+1:
		node.votes[from] = true
		if node.hasVoteMajority() {
			return node.startElection(false)
		}
	case !preVote && node.role == roleCandidate && answer.Asked == node.term:
		node.votes[from] = true
		if node.hasVoteMajority() {
			return node.becomeLeader()
		}
	}
	return nil
}

// stepDown makes this VM a follower of an unknown leader. A higher term is stored first.
func (node *node) stepDown(term scheduler.Term, reason string) error {
	if node.role == roleLeader {
		node.logger.Info().Str("event", "leaderSteppedDown").Uint64("term", uint64(node.term)).Str("reason", reason).Msg("leader stepped down")
		node.waiting.orphan(node.clock.now() + orphanTimeout)
		node.waiting.failReads(Error.New("leader %s stepped down", node.self.VM))
		node.leading = leaderState{}
	}
	node.role, node.leader = roleFollower, ""
	node.follower = followerState{}
	// The lease must end before the store of the new term, which can take long.
	node.publish()
	if term > node.term {
		node.term, node.votedFor = term, ""
		if err := node.saveHardState(); err != nil {
			return err
		}
	}
	node.resetElectionDeadline(node.clock.now())
	return nil
}

func (node *node) becomeLeader() error {
	now := node.clock.now()
	node.role, node.leader = roleLeader, node.self.VM
	node.leading = newLeaderState(now)
	node.logger.Info().Str("event", "leaderElected").Uint64("term", uint64(node.term)).Msg("leader elected")
	if elected := node.settings.hooks.electedLeader; elected != nil {
		elected(node.self.identity(), uint64(node.term))
	}
	entry := scheduler.Entry{Kind: scheduler.EntryNoOp}
	if current := node.log.membership(); current.index == 0 {
		// The initial membership comes from the settings; the log must hold it for replicas
		// that join later.
		entry.Kind, entry.Data = scheduler.EntryMembership, current.encode()
	}
	node.leading.firstIndex = node.log.last + 1
	if err := node.appendOwn([]scheduler.Entry{entry}); err != nil {
		return err
	}
	node.syncPeers()
	node.broadcast(true)
	return nil
}

// A voter that does not stand for election does so for a while in two cases: a candidate lacks entries
// that this VM holds, or there has been no leader for long. The entries may have been committed by the
// lost leader and this VM alone, and the other voter may lack even the entry that made it a voter, so
// that it does not stand either. Without this exception nobody could be elected. As leader this VM
// takes no proposals and no lease, and hands over to the first candidate that has caught up.

// considerCaretaking is called when a candidate asks for a vote.
func (node *node) considerCaretaking(message *voteMessage) {
	now := node.clock.now()
	if node.standsForElection() || node.ignoresVotes(now) ||
		node.log.isUpToDate(message.LastIndex, message.LastTerm) {
		return
	}
	if now >= node.temporaryCandidateUntil {
		node.logger.Info().Str("event", "temporaryCandidacyAllowed").Uint64("term", uint64(node.term)).Str("reason", "candidateBehind").Msg("temporary candidacy allowed")
		node.electionDeadline = min(node.electionDeadline, now+heartbeatInterval)
	}
	node.temporaryCandidateUntil = now + maxElectionTimeout
}

// considerSilence is called when the election time-out has passed.
func (node *node) considerSilence(now time.Duration) {
	if node.standsForElection() || now < node.heardLeader+silenceTimeout {
		return
	}
	node.logger.Info().Str("event", "temporaryCandidacyAllowed").Uint64("term", uint64(node.term)).Str("reason", "noLeader").Msg("temporary candidacy allowed")
	node.temporaryCandidateUntil = now + maxElectionTimeout
}
