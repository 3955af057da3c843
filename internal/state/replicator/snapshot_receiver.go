package replicator

import "github.com/crocusplank/crocusplank/pkg/scheduler"

// incomingSnapshot collects the parts of a snapshot. It outlives interruptions and changes of the
// leader, since its contents are identified by index, term, size and checksum.
type incomingSnapshot struct {
	index     scheduler.Index
	indexTerm scheduler.Term
	size      uint64
	sum       uint32
	data      []byte
}

func (incoming *incomingSnapshot) matches(part *snapshotPart) bool {
	return incoming.index == part.Index && incoming.indexTerm == part.IndexTerm &&
		incoming.size == part.Size && incoming.sum == part.Sum
}

// add takes a part. It returns true when the snapshot is complete and intact.
func (incoming *incomingSnapshot) add(part *snapshotPart) bool {
	if !incoming.matches(part) {
		*incoming = incomingSnapshot{
			index: part.Index, indexTerm: part.IndexTerm, size: part.Size, sum: part.Sum, data: []byte{},
		}
	}
	held := uint64(len(incoming.data))
	if part.Offset == held && held+uint64(len(part.Data)) <= incoming.size {
		incoming.data = append(incoming.data, part.Data...)
	}
	if uint64(len(incoming.data)) < incoming.size {
		return false
	}
	if snapshotSum(incoming.data) != incoming.sum {
		incoming.data = []byte{}
		return false
	}
	return true
}

func (node *node) handleSnapshotPart(from scheduler.VMName, part *snapshotPart) error {
	if part.Term < node.term {
		node.answerSnapshot(from, part, 0)
		return nil
	}
	if err := node.follow(from, part.Term); err != nil {
		return err
	}
	if node.isInstalling() {
		return nil
	}
	if part.Index <= node.commit {
		// The log already holds what the snapshot covers.
		node.follower.verified = max(node.follower.verified, part.Index)
		node.answerAppend(from, appendAnswer{Match: node.durableMatch(), Sent: part.Sent})
		return nil
	}
	complete := node.snapshot.incoming.add(part)
	node.answerSnapshot(from, part, uint64(len(node.snapshot.incoming.data)))
	if complete {
		return node.beginInstall(part)
	}
	return nil
}

func (node *node) answerSnapshot(to scheduler.VMName, part *snapshotPart, offset uint64) {
	node.transport.Send(to, node.name, kindSnapshotAnswer, encode(snapshotAnswer{
		Term: node.term, Incarnation: node.self.Incarnation, Index: part.Index, Sum: part.Sum,
		Offset: offset, Sent: part.Sent,
	}))
}

// beginInstall removes entries that contradict the snapshot and hands it to the applier.
func (node *node) beginInstall(part *snapshotPart) error {
	if _, err := decodeMembership(part.Membership); err != nil {
		return err
	}
	if err := node.removeContradicting(part.Index, part.IndexTerm); err != nil {
		return err
	}
	node.logger.Info().Str("event", "snapshotReceived").Uint64("index", uint64(part.Index)).Int("bytes", len(node.snapshot.incoming.data)).
		Msg("snapshot received")
	node.snapshot.install = &scheduler.SnapshotMeta{
		Index: part.Index, Term: part.IndexTerm, Membership: part.Membership,
	}
	node.snapshot.installData = node.snapshot.incoming.data
	node.snapshot.incoming = incomingSnapshot{}
	return nil
}

// removeContradicting cuts the log behind the snapshot when its entry at the snapshot's index is of
// another term. What follows there can never be committed, but would make a log look longer than it
// is in an election. Appending the entry at that index again removes what follows it; the entry
// itself is covered by the snapshot.
func (node *node) removeContradicting(index scheduler.Index, indexTerm scheduler.Term) error {
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

// finishInstall continues from the installed snapshot and the entries that follow it in the log.
func (node *node) finishInstall(meta scheduler.SnapshotMeta) error {
	decoded, err := decodeMembership(meta.Membership)
	if err != nil {
		return err
	}
	node.snapshot.install = nil
	node.snapshot.index = meta.Index
	node.log.resetTo(meta.Index)
	if err := node.log.loadMemberships(indexedMembership{index: meta.Index, membership: decoded}); err != nil {
		return err
	}
	node.commit = max(node.commit, meta.Index)
	node.applying.reached.Store(uint64(meta.Index))
	node.setApplied(meta.Index)
	node.waiting.passOver(meta.Index)
	node.follower.verified = max(node.follower.verified, meta.Index)
	node.logger.Info().Str("event", "snapshotInstalled").Uint64("index", uint64(meta.Index)).Msg("snapshot installed")
	if node.role == roleFollower && node.leader != "" {
		node.answerAppend(node.leader, appendAnswer{Match: node.durableMatch()})
	}
	return nil
}
