package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// leaderState is the state that only a leader has.
type leaderState struct {
	peers map[scheduler.VMName]*progress
	// firstIndex is the index of the first entry of the leader's term. Only when it is committed are all
	// earlier entries known to be committed.
	firstIndex    scheduler.Index
	elected       time.Duration
	lastHeartbeat time.Duration
	// leaseRevoked is set once a transfer message has been sent. Its target may then win an election at any
	// time, so the leader holds no lease for the rest of the term.
	leaseRevoked     bool
	transferDeadline time.Duration
	handoverSince    time.Duration
}

func newLeaderState(now time.Duration) leaderState {
	return leaderState{peers: map[scheduler.VMName]*progress{}, elected: now}
}

// updatePeers adds and removes peers to match the newest membership.
func (node *node) updatePeers() {
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

// appendAsLeader assigns index and term to the entries, appends them to the leader's log and updates the
// peers if the membership has changed.
func (node *node) appendAsLeader(entries []scheduler.Entry) error {
	for position := range entries {
		entries[position].Index = node.log.last + 1 + scheduler.Index(position)
		entries[position].Term = node.term
	}
	before := node.log.membership().index
	if err := node.log.append(entries); err != nil {
		return err
	}
	if node.log.membership().index != before {
		node.updatePeers()
	}
	return nil
}

func (node *node) tickLeader(now time.Duration) error {
	if reason := node.stepDownReason(now); reason != "" {
		node.sendTransferBeforeStepDown(reason)
		return node.stepDown(node.term, reason)
	}
	if now >= node.leading.lastHeartbeat+heartbeatInterval {
		node.leading.lastHeartbeat = now
		node.updateCaughtUp(now)
		node.broadcast(true)
	}
	node.tickSnapshots(now)
	if node.closing || !node.standsForElection() {
		return node.tickHandover(now)
	}
	return node.tickMembership(now)
}

// broadcast sends each peer the entries that it lacks. A heartbeat is sent to every peer, even if its send
// window is full.
func (node *node) broadcast(heartbeat bool) {
	for vm, progress := range node.leading.peers {
		node.sendTo(vm, progress, heartbeat)
	}
}

func (node *node) sendTo(vm scheduler.VMName, progress *progress, heartbeat bool) {
	now := node.clock.now()
	if heartbeat {
		progress.probePending = false
		if progress.state == progressReplicating && len(progress.inflight) > 0 && now > progress.lastSent+resendTimeout {
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

// sendProbe asks whether the replica has the entry before the next one to send. Entries are sent only after
// the response, so that a VM that is down causes no more traffic than heartbeats.
func (node *node) sendProbe(vm scheduler.VMName, progress *progress, now time.Duration) {
	if progress.probePending {
		return
	}
	progress.probePending = true
	if _, known := node.log.term(progress.next - 1); !known && progress.isResponding(now) {
		node.startSnapshotTransfer(vm, progress, now)
		return
	}
	node.sendHeartbeat(vm, progress, now)
}

// sendEntries sends one message with entries. If they cannot be read from the log, it starts a snapshot
// transfer instead and returns false.
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
		wire = append(wire, newWireEntry(entry))
		bytes += len(entry.Data)
	}
	node.sendAppend(vm, appendMessage{PrevIndex: prev, PrevTerm: prevTerm, Entries: wire}, now)
	progress.recordSent(prev+scheduler.Index(len(entries)), bytes, now)
	return true
}

// sendHeartbeat sends an append message without entries. Its previous entry is the last entry sent, so that
// a replica that missed entries rejects it. During a snapshot transfer, or if the term of that entry is not
// known, the previous index is 0.
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

func (node *node) handleAppendResponse(from scheduler.VMName, response *appendResponse) error {
	if response.Term > node.term {
		return node.stepDown(response.Term, "higherTerm")
	}
	progress := node.peerProgress(from, response.Term, response.Incarnation)
	if progress == nil {
		return nil
	}
	now := node.clock.now()
	progress.lastResponse = now
	progress.ackedSendTime = max(progress.ackedSendTime, time.Duration(response.Sent))
	switch {
	case response.Reject:
		progress.recordRejected(response.PrevIndex, response.Match)
		node.sendTo(from, progress, false)
	case progress.state == progressSnapshotting:
		node.finishSnapshotTransfer(progress, response.Match)
	case response.Match > 0 || progress.next == 1:
		progress.recordAcknowledged(response.Match)
	}
	return nil
}

// peerProgress returns the progress of a peer that responded in the current term, or nil if the response
// must be ignored. A new incarnation of a VM starts with an empty progress; an old one is ignored.
func (node *node) peerProgress(from scheduler.VMName, term scheduler.Term, incarnation scheduler.Incarnation) *progress {
	if node.role != roleLeader || term != node.term {
		return nil
	}
	known := node.leading.peers[from]
	switch {
	case known == nil || incarnation < known.incarnation:
		return nil
	case incarnation > known.incarnation:
		node.logger.Info().Str("event", "newIncarnationSeen").Str("peer", string(from)).
			Uint64("incarnation", uint64(incarnation)).
			Msg("new incarnation of a member detected")
		known = newProgress(incarnation, node.log.last+1)
		node.leading.peers[from] = known
	}
	return known
}

// advanceCommit advances the commit index to the last entry that a majority of the voters has durably
// stored, if that entry is of the current term. Entries of earlier terms are committed with it.
func (node *node) advanceCommit() {
	var matches []scheduler.Index
	current := node.log.membership()
	for _, member := range current.Members {
		if member.Learner && !node.settings.hooks.countLearners {
			continue
		}
		matches = append(matches, node.matchIndex(member))
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

// matchIndex returns the last index that the member has durably stored under the incarnation in the
// membership.
func (node *node) matchIndex(member Member) scheduler.Index {
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
