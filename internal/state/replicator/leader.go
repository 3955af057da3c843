package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// leaderState is what only a leader has.
type leaderState struct {
	peers map[scheduler.VMName]*progress
	// firstIndex is the index of the first entry of the leader's own term. Only its commit shows
	// that everything before it is committed.
	firstIndex scheduler.Index
	elected    time.Duration
	heartbeat  time.Duration
	// leaseRevoked is set once a transfer has been sent: its target may then win an election at
	// any later time of this term, so the lease never returns.
	leaseRevoked  bool
	transferUntil time.Duration
	leavingSince  time.Duration
}

func newLeaderState(now time.Duration) leaderState {
	return leaderState{peers: map[scheduler.VMName]*progress{}, elected: now}
}

// syncPeers makes the set of peers equal to the other members.
func (node *node) syncPeers() {
	current := node.log.membership()
	for vm := range node.leading.peers {
		if _, found := current.find(vm); !found {
			delete(node.leading.peers, vm)
		}
	}
	for _, member := range current.Members {
		if member.VM != node.self.VM && node.leading.peers[member.VM] == nil {
			node.leading.peers[member.VM] = newProgress(member.Incarnation, node.log.last+1)
		}
	}
}

// appendOwn gives the entries index and term, appends them to the leader's log and shows new
// memberships to the replication.
func (node *node) appendOwn(entries []scheduler.Entry) error {
	for position := range entries {
		entries[position].Index = node.log.last + 1 + scheduler.Index(position)
		entries[position].Term = node.term
	}
	before := node.log.membership().index
	if err := node.log.append(entries); err != nil {
		return err
	}
	if node.log.membership().index != before {
		node.syncPeers()
	}
	return nil
}

func (node *node) tickLeader(now time.Duration) error {
	if reason := node.stepDownReason(now); reason != "" {
		node.sendTransferBeforeStepDown(reason)
		return node.stepDown(node.term, reason)
	}
	if now >= node.leading.heartbeat+heartbeatInterval {
		node.leading.heartbeat = now
		node.noteCaughtUp(now)
		node.broadcast(true)
	}
	node.tickSnapshots(now)
	if node.leaving || !node.standsForElection() {
		return node.tickLeaving(now)
	}
	return node.tickMembership(now)
}

// broadcast sends each peer what it lacks. A heartbeat goes to every peer, whatever its window.
func (node *node) broadcast(heartbeat bool) {
	for vm, progress := range node.leading.peers {
		node.sendTo(vm, progress, heartbeat)
	}
}

func (node *node) sendTo(vm scheduler.VMName, progress *progress, heartbeat bool) {
	now := node.clock.now()
	if heartbeat {
		progress.probed = false
		if progress.state == progressReplicating && len(progress.flights) > 0 && now > progress.sent+resendTimeout {
			progress.probe(progress.match + 1)
		}
	}
	if progress.state == progressProbing {
		node.sendProbe(vm, progress, now)
		return
	}
	sent := false
	for progress.state == progressReplicating && progress.next <= node.log.last && !progress.isWindowFull() {
		if !node.sendEntries(vm, progress, now) {
			break
		}
		sent = true
	}
	if heartbeat && !sent {
		node.sendHeartbeat(vm, progress, now)
	}
}

// sendProbe asks whether the replica holds the entry before the next one. Entries follow once it has
// answered, so that a VM that is down costs no more than heartbeats.
func (node *node) sendProbe(vm scheduler.VMName, progress *progress, now time.Duration) {
	if progress.probed {
		return
	}
	progress.probed = true
	if _, known := node.log.term(progress.next - 1); !known && progress.isAnswering(now) {
		node.startSnapshotTransfer(vm, progress, now)
		return
	}
	node.sendHeartbeat(vm, progress, now)
}

// sendEntries sends one message with entries. It returns false when it could not.
func (node *node) sendEntries(vm scheduler.VMName, progress *progress, now time.Duration) bool {
	prev := progress.next - 1
	prevTerm, known := node.log.term(prev)
	if !known {
		node.startSnapshotTransfer(vm, progress, now)
		return false
	}
	entries, err := node.log.entries(progress.next, node.log.last, maxMessageBytes)
	if err != nil {
		node.startSnapshotTransfer(vm, progress, now)
		return false
	}
	wire := make([]wireEntry, 0, len(entries))
	bytes := 0
	for _, entry := range entries {
		wire = append(wire, toWire(entry))
		bytes += len(entry.Data)
	}
	node.sendAppend(vm, appendMessage{PrevIndex: prev, PrevTerm: prevTerm, Entries: wire}, now)
	progress.sentEntries(prev+scheduler.Index(len(entries)), bytes, now)
	return true
}

// sendHeartbeat sends an empty append. Its position is the last entry sent, so that a replica that
// missed entries rejects it, and the position before the log while that entry is not known.
func (node *node) sendHeartbeat(vm scheduler.VMName, progress *progress, now time.Duration) {
	message := appendMessage{}
	if prevTerm, known := node.log.term(progress.next - 1); known && progress.state != progressSnapshotting {
		message.PrevIndex, message.PrevTerm = progress.next-1, prevTerm
	}
	node.sendAppend(vm, message, now)
}

func (node *node) sendAppend(vm scheduler.VMName, message appendMessage, now time.Duration) {
	message.Term, message.Incarnation = node.term, node.self.Incarnation
	message.Commit, message.Sent = node.commit, int64(now)
	node.transport.Send(vm, node.name, kindAppend, encode(message))
}

func (node *node) handleAppendAnswer(from scheduler.VMName, answer *appendAnswer) error {
	if answer.Term > node.term {
		return node.stepDown(answer.Term, "higherTerm")
	}
	progress := node.progressOf(from, answer.Term, answer.Incarnation)
	if progress == nil {
		return nil
	}
	now := node.clock.now()
	progress.heard = now
	progress.answered = max(progress.answered, time.Duration(answer.Sent))
	switch {
	case answer.Reject:
		progress.rejected(answer.PrevIndex, answer.Match)
		node.sendTo(from, progress, false)
	case progress.state == progressSnapshotting:
		node.finishSnapshotTransfer(progress, answer.Match)
	case answer.Match > 0 || progress.next == 1:
		progress.acknowledged(answer.Match)
	}
	return nil
}

// progressOf returns the progress of a peer that answered in the current term, nil if the answer does
// not count. A new incarnation of a VM starts from nothing; an old one is ignored.
func (node *node) progressOf(from scheduler.VMName, term scheduler.Term, incarnation scheduler.Incarnation) *progress {
	if node.role != roleLeader || term != node.term {
		return nil
	}
	known := node.leading.peers[from]
	switch {
	case known == nil || incarnation < known.incarnation:
		return nil
	case incarnation > known.incarnation:
		node.logger.Info().Str("event", "newIncarnationSeen").Str("peer", string(from)).Uint64("incarnation", uint64(incarnation)).
			Msg("new incarnation seen")
		known = newProgress(incarnation, node.log.last+1)
		node.leading.peers[from] = known
	}
	return known
}

// advanceCommit commits the last entry that a majority of the voters holds, if it is of the current
// term. Entries of earlier terms are committed with it.
func (node *node) advanceCommit() {
	var matches []scheduler.Index
	current := node.log.membership()
	for _, member := range current.Members {
		if member.Learner && !node.settings.hooks.countLearners {
			continue
		}
		matches = append(matches, node.matchOf(member))
	}
	index := quorumValue(matches)
	if node.settings.hooks.countLearners {
		index = matches[len(matches)-majority(len(current.voters()))]
	}
	if index <= node.commit {
		return
	}
	if term, known := node.log.term(index); !known || term != node.term && !node.settings.hooks.dropTermCheck {
		return
	}
	node.commit = index
}

// matchOf returns what the member's own incarnation durably holds.
func (node *node) matchOf(member Member) scheduler.Index {
	if member.VM == node.self.VM {
		if member.Incarnation != node.self.Incarnation {
			return 0
		}
		return node.log.durable
	}
	progress := node.leading.peers[member.VM]
	if progress == nil || progress.incarnation != member.Incarnation && !node.settings.hooks.ignoreIncarnation {
		return 0
	}
	return progress.match
}
