package replicator

import (
	"io"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// snapshotSource is a snapshot read from the journal for sending. It stays unchanged until every
// transfer from it has ended, even when a newer one is saved meanwhile.
type snapshotSource struct {
	meta scheduler.SnapshotMeta
	data []byte
	sum  uint32
}

// snapshotTransfer is the state of one transfer. One part is under way at a time, so a transfer never
// fills the connection that heartbeats use.
type snapshotTransfer struct {
	source *snapshotSource
	offset uint64
	sent   time.Duration
}

type snapshotLoaded struct {
	source *snapshotSource
	err    error
}

// startSnapshotTransfer switches a replica whose entries the log no longer holds to a snapshot.
func (node *node) startSnapshotTransfer(vm scheduler.VMName, progress *progress, now time.Duration) {
	progress.state = progressSnapshotting
	progress.flights, progress.flightBytes, progress.probed = nil, 0, false
	progress.transfer = snapshotTransfer{}
	if source := node.snapshot.source; source != nil && source.meta.Index == node.snapshot.index {
		node.beginTransfer(vm, progress, source, now)
		return
	}
	node.loadSnapshot()
}

func (node *node) beginTransfer(vm scheduler.VMName, progress *progress, source *snapshotSource, now time.Duration) {
	progress.transfer = snapshotTransfer{source: source}
	node.logger.Info().Str("event", "snapshotTransferStarted").Str("peer", string(vm)).Uint64("index", uint64(source.meta.Index)).
		Int("bytes", len(source.data)).Msg("snapshot transfer started")
	node.sendSnapshotPart(vm, progress, now)
}

// loadSnapshot reads the newest snapshot without holding up the event loop.
func (node *node) loadSnapshot() {
	if node.snapshot.loading {
		return
	}
	meta, reader, found, err := node.journal.OpenSnapshot()
	if err != nil || !found {
		node.logger.Warn().Str("event", "snapshotNotFound").Err(err).Msg("snapshot not found")
		return
	}
	node.snapshot.loading = true
	node.snapshot.loadedCh = make(chan snapshotLoaded, 1)
	results := node.snapshot.loadedCh
	node.running.Go(func() {
		defer func() { _ = reader.Close() }()
		data, err := io.ReadAll(reader)
		results <- snapshotLoaded{source: &snapshotSource{meta: meta, data: data, sum: snapshotSum(data)}, err: err}
	})
}

func (node *node) handleSnapshotLoaded(loaded snapshotLoaded) {
	node.snapshot.loading = false
	if loaded.err != nil {
		node.logger.Warn().Str("event", "snapshotNotRead").Err(loaded.err).Msg("snapshot not read")
		return
	}
	if node.role != roleLeader {
		return
	}
	node.snapshot.source = loaded.source
	now := node.clock.now()
	for vm, progress := range node.leading.peers {
		if progress.state == progressSnapshotting && progress.transfer.source == nil {
			node.beginTransfer(vm, progress, loaded.source, now)
		}
	}
}

// sendSnapshotPart sends the part at the transfer's offset. A replica that does not answer gets an
// empty part, which costs little and makes it report where to resume.
func (node *node) sendSnapshotPart(vm scheduler.VMName, progress *progress, now time.Duration) {
	transfer := &progress.transfer
	source := transfer.source
	transfer.sent = now
	var data []byte
	if progress.isAnswering(now) {
		data = source.data[transfer.offset:min(transfer.offset+snapshotPartBytes, uint64(len(source.data)))]
	}
	node.transport.Send(vm, node.name, kindSnapshotPart, encode(snapshotPart{
		Term: node.term, Incarnation: node.self.Incarnation, Index: source.meta.Index,
		IndexTerm: source.meta.Term, Membership: source.meta.Membership, Size: uint64(len(source.data)),
		Sum: source.sum, Offset: transfer.offset, Sent: int64(now), Data: data,
	}))
}

func (node *node) handleSnapshotAnswer(from scheduler.VMName, answer *snapshotAnswer) error {
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
	transfer := &progress.transfer
	if progress.state != progressSnapshotting || transfer.source == nil ||
		transfer.source.meta.Index != answer.Index || transfer.source.sum != answer.Sum {
		return nil
	}
	// Only the answer to the newest part counts, so that a duplicate does not start a second
	// stream of parts.
	if answer.Sent != int64(transfer.sent) || answer.Offset > uint64(len(transfer.source.data)) {
		return nil
	}
	transfer.offset = answer.Offset
	if answer.Offset < uint64(len(transfer.source.data)) {
		node.sendSnapshotPart(from, progress, now)
	}
	return nil
}

// finishSnapshotTransfer goes on with entries once the replica durably holds the snapshot.
func (node *node) finishSnapshotTransfer(progress *progress, match scheduler.Index) {
	source := progress.transfer.source
	if source == nil || match < source.meta.Index {
		return
	}
	progress.transfer = snapshotTransfer{}
	progress.match = max(progress.match, match)
	progress.probe(progress.match + 1)
	progress.state = progressReplicating
}

// tickSnapshots repeats parts that were not answered and frees a snapshot that nobody needs.
func (node *node) tickSnapshots(now time.Duration) {
	needed := false
	for vm, progress := range node.leading.peers {
		if progress.state != progressSnapshotting {
			continue
		}
		needed = true
		switch {
		case progress.transfer.source == nil:
			node.loadSnapshot()
		case now > progress.transfer.sent+resendTimeout:
			node.sendSnapshotPart(vm, progress, now)
		}
	}
	if !needed {
		node.snapshot.source = nil
	}
}
