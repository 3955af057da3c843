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
// machine is stalled, or that has withdrawn, may not, because it would step down immediately after winning.
func (node *node) isCandidateAllowed(now time.Duration) bool {
	member, found := node.log.membership().find(node.self.VM)
	return found && !member.Learner && member.Incarnation == node.self.Incarnation &&
		(node.standsForElection() || now < node.temporaryCandidateUntil) &&
		!node.isInstalling() && !node.stall.isStalled(now) && !node.settings.candidacy.isWithdrawn()
}

// standsForElection reports whether this VM is configured, by its membership entry and its own settings,
// to be a regular leader.
func (node *node) standsForElection() bool {
	member, found := node.log.membership().find(node.self.VM)
	return found && member.StandsForElection && node.self.StandsForElection
}

// startPreVote asks whether the voters would grant a vote, without increasing the term. A VM with a faulty
// link, or one that returns from a network partition, therefore cannot disrupt a healthy leader.
func (node *node) startPreVote() error {
	node.role, node.leader = rolePreCandidate, ""
	node.votes = map[scheduler.VMName]bool{node.self.VM: true}
	node.logger.Debug().Str("event", "preVoteStarted").Uint64("term", uint64(node.term)).Msg("pre-vote started")
	if node.hasVoteMajority() {
		return node.startElection(false)
	}
	node.requestVotes(kindPreVote, node.term+1)
	return nil
}

// resendVoteRequests repeats the vote requests while an election is undecided. A request may have been
// lost, or a voter may have ignored it because its last contact with the old leader was slightly later than
// that of the others.
func (node *node) resendVoteRequests(now time.Duration) {
	if now < node.lastVoteRequest+heartbeatInterval {
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
	node.role, node.leader, node.byTransfer = roleCandidate, "", transfer
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
	node.lastVoteRequest = node.clock.now()
	body := encode(voteMessage{
		Term: term, Incarnation: node.self.Incarnation, LastIndex: node.log.last,
		LastTerm: node.log.lastTerm(), Transfer: kind == kindVote && node.byTransfer,
	})
	for _, member := range node.log.membership().Members {
		if member.VM != node.self.VM && (!member.Learner || node.settings.hooks.countLearners) {
			node.transport.Send(member.VM, node.name, kind, body)
		}
	}
}

// hasVoteMajority reports whether a majority of the voters has granted its vote. handleVoteResponse has
// already rejected votes from incarnations other than the one in the membership.
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

// ignoresVoteRequests reports whether vote requests must be ignored because a leader may hold a lease that
// is based on responses of this VM. A leader that loses its majority steps down on its own.
func (node *node) ignoresVoteRequests(now time.Duration) bool {
	if node.settings.hooks.ignoreLeaderContact {
		return false
	}
	return node.role == roleLeader || now < node.lastLeaderContact+minElectionTimeout
}

func (node *node) handlePreVote(from scheduler.VMName, message *voteMessage) {
	granted := message.Term > node.term && !node.ignoresVoteRequests(node.clock.now()) &&
		node.log.isUpToDate(message.LastIndex, message.LastTerm)
	node.checkCandidateBehind(message)
	node.transport.Send(from, node.name, kindPreVoteResponse, encode(voteResponse{
		Term: node.term, RequestTerm: message.Term, Incarnation: node.self.Incarnation, Granted: granted,
	}))
}

func (node *node) handleVote(from scheduler.VMName, message *voteMessage) error {
	now := node.clock.now()
	if !message.Transfer && node.ignoresVoteRequests(now) {
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
	node.transport.Send(from, node.name, kindVoteResponse, encode(voteResponse{
		Term: node.term, RequestTerm: message.Term, Incarnation: node.self.Incarnation, Granted: granted,
	}))
	return nil
}

func (node *node) handleVoteResponse(from scheduler.VMName, response *voteResponse, preVote bool) error {
	if response.Term > node.term {
		return node.stepDown(response.Term, "higherTerm")
	}
	current := node.log.membership()
	member, found := current.find(from)
	identified := found && (member.Incarnation == response.Incarnation || node.settings.hooks.ignoreIncarnation)
	if !response.Granted || !identified {
		return nil
	}
	switch {
	case preVote && node.role == rolePreCandidate && response.RequestTerm == node.term+1:
		node.votes[from] = true
		if node.hasVoteMajority() {
			return node.startElection(false)
		}
	case !preVote && node.role == roleCandidate && response.RequestTerm == node.term:
		node.votes[from] = true
		if node.hasVoteMajority() {
			return node.becomeLeader()
		}
	}
	return nil
}

// stepDown makes this VM a follower without a known leader. A higher term is stored before stepDown returns.
func (node *node) stepDown(term scheduler.Term, reason string) error {
	if node.role == roleLeader {
		node.logger.Info().Str("event", "leaderSteppedDown").Uint64("term", uint64(node.term)).Str("reason", reason).
			Msg("leader stepped down")
		node.pending.setDeadline(node.clock.now() + uncommittedTimeout)
		node.pending.failReads(Error.New("leader %s stepped down", node.self.VM))
		node.leading = leaderState{}
	}
	node.role, node.leader = roleFollower, ""
	node.follower = followerState{}
	// The lease must end before the new term is stored, because storing it can take a long time.
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
		// The initial membership comes from the settings. The log must contain it for replicas
		// that join later.
		entry.Kind, entry.Data = scheduler.EntryMembership, current.encode()
	}
	node.leading.firstIndex = node.log.last + 1
	if err := node.appendAsLeader([]scheduler.Entry{entry}); err != nil {
		return err
	}
	node.updatePeers()
	node.broadcast(true)
	return nil
}

// Temporary candidacy: a voter that normally does not stand for election does so temporarily in two cases,
// when a candidate lacks entries that this VM has, or when there has been no leader for a long time. The
// entries may have been committed by only the lost leader and this VM, and the other voter may lack even
// the entry that made it a voter, so that it does not stand for election either. Without this exception no
// leader could be elected. As a temporary leader, this VM accepts no proposals and holds no lease, and it
// transfers leadership to the first candidate that has caught up.

// checkCandidateBehind allows a temporary candidacy if the log of the candidate that requests a vote is
// behind this VM's log.
func (node *node) checkCandidateBehind(message *voteMessage) {
	now := node.clock.now()
	if node.standsForElection() || node.ignoresVoteRequests(now) ||
		node.log.isUpToDate(message.LastIndex, message.LastTerm) {
		return
	}
	if now >= node.temporaryCandidateUntil {
		node.logger.Info().Str("event", "temporaryCandidacyAllowed").Uint64("term", uint64(node.term)).
			Str("reason", "candidateBehind").Msg("temporary candidacy allowed")
		node.electionDeadline = min(node.electionDeadline, now+heartbeatInterval)
	}
	node.temporaryCandidateUntil = now + maxElectionTimeout
}

// checkLeaderAbsent is called when the election timeout has expired. It allows a temporary candidacy if
// there has been no leader for leaderAbsenceTimeout.
func (node *node) checkLeaderAbsent(now time.Duration) {
	if node.standsForElection() || now < node.lastLeaderContact+leaderAbsenceTimeout {
		return
	}
	node.logger.Info().Str("event", "temporaryCandidacyAllowed").Uint64("term", uint64(node.term)).
		Str("reason", "noLeader").Msg("temporary candidacy allowed")
	node.temporaryCandidateUntil = now + maxElectionTimeout
}
