package replicator

import "github.com/crocusplank/crocusplank/pkg/scheduler"

// incomingSnapshot collects the chunks of a snapshot. A transfer can resume after an interruption or a
// change of the leader, because the content is identified by index, term, size and checksum.
type incomingSnapshot struct {
	index     scheduler.Index
	indexTerm scheduler.Term
	size      uint64
	checksum  uint32
	data      []byte
}

func (incoming *incomingSnapshot) matches(chunk *snapshotChunk) bool {
	return incoming.index == chunk.Index && incoming.indexTerm == chunk.IndexTerm &&
		incoming.size == chunk.Size && incoming.checksum == chunk.Checksum
}

// add adds a chunk. It returns true if the snapshot is complete and its checksum is correct.
func (incoming *incomingSnapshot) add(chunk *snapshotChunk) bool {
	if !incoming.matches(chunk) {
		*incoming = incomingSnapshot{
			index: chunk.Index, indexTerm: chunk.IndexTerm, size: chunk.Size, checksum: chunk.Checksum, data: []byte{},
		}
	}
	held := uint64(len(incoming.data))
	if chunk.Offset == held && held+uint64(len(chunk.Data)) <= incoming.size {
		incoming.data = append(incoming.data, chunk.Data...)
	}
	if uint64(len(incoming.data)) < incoming.size {
		return false
	}
	if snapshotChecksum(incoming.data) != incoming.checksum {
		incoming.data = []byte{}
		return false
	}
	return true
}

func (node *node) handleSnapshotChunk(from scheduler.VMName, chunk *snapshotChunk) error {
	if chunk.Term < node.term {
		node.sendSnapshotResponse(from, chunk, 0)
		return nil
	}
	if err := node.followLeader(from, chunk.Term); err != nil {
		return err
	}
	if node.isInstalling() {
		return nil
	}
	if chunk.Index <= node.commit {
		// The log already contains all entries that the snapshot covers.
		node.follower.verified = max(node.follower.verified, chunk.Index)
		node.sendAppendResponse(from, appendResponse{Match: node.durableMatch(), Sent: chunk.Sent})
		return nil
	}
	complete := node.snapshot.incoming.add(chunk)
	node.sendSnapshotResponse(from, chunk, uint64(len(node.snapshot.incoming.data)))
	if complete {
		return node.beginInstall(chunk)
	}
	return nil
}

func (node *node) sendSnapshotResponse(to scheduler.VMName, chunk *snapshotChunk, offset uint64) {
	node.transport.Send(to, node.name, kindSnapshotResponse, encode(snapshotResponse{
		Term: node.term, Incarnation: node.self.Incarnation, Index: chunk.Index, Checksum: chunk.Checksum,
		Offset: offset, Sent: chunk.Sent,
	}))
}

// beginInstall removes log entries that conflict with the snapshot and schedules its installation.
func (node *node) beginInstall(chunk *snapshotChunk) error {
	if _, err := decodeMembership(chunk.Membership); err != nil {
		return err
	}
	if err := node.truncateConflicting(chunk.Index, chunk.IndexTerm); err != nil {
		return err
	}
	node.logger.Info().Str("event", "snapshotReceived").
		Uint64("index", uint64(chunk.Index)).Int("bytes", len(node.snapshot.incoming.data)).
		Msg("snapshot received")
	node.snapshot.install = &scheduler.SnapshotMeta{
		Index: chunk.Index, Term: chunk.IndexTerm, Membership: chunk.Membership,
	}
	node.snapshot.installData = node.snapshot.incoming.data
	node.snapshot.incoming = incomingSnapshot{}
	return nil
}

// truncateConflicting truncates the log after the index of the snapshot if its entry at that index is of a
// different term. The entries after it can never be committed, but would make the log appear more up to
// date in an election. Appending the entry at that index again removes the entries after it; the entry
// itself is covered by the snapshot.
func (node *node) truncateConflicting(index scheduler.Index, indexTerm scheduler.Term) error {
	if index >= node.log.last {
		return nil
	}
	if term, known := node.log.term(index); known && term == indexTerm {
		return nil
	}
	entries, err := node.log.entries(index, index, 1)
	if err != nil {
		return err
	}
	return node.log.append(entries)
}

// finishInstall resets the state to the installed snapshot and the log entries that follow it.
func (node *node) finishInstall(meta scheduler.SnapshotMeta) error {
	decoded, err := decodeMembership(meta.Membership)
	if err != nil {
		return err
	}
	node.snapshot.install, node.snapshot.retry = nil, snapshotRetry{}
	node.snapshot.index = meta.Index
	node.log.resetTo(meta.Index)
	if err := node.log.loadMemberships(indexedMembership{index: meta.Index, membership: decoded}); err != nil {
		return err
	}
	node.commit = max(node.commit, meta.Index)
	node.setApplied(max(node.applied, meta.Index))
	node.pending.failUpTo(meta.Index)
	node.follower.verified = max(node.follower.verified, meta.Index)
	node.logger.Info().Str("event", "snapshotInstalled").Uint64("index", uint64(meta.Index)).Msg("snapshot installed")
	if node.role == roleFollower && node.leader != "" {
		node.sendAppendResponse(node.leader, appendResponse{Match: node.durableMatch()})
	}
	return nil
}
