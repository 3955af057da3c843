package replicator

import (
	"io"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// snapshotSource is a snapshot read from the journal for sending. It stays in use until every transfer
// from it has ended, even if a newer snapshot is saved in the meantime.
type snapshotSource struct {
	meta     scheduler.SnapshotMeta
	data     []byte
	checksum uint32
}

// snapshotTransfer is the state of one snapshot transfer. Only one chunk is in flight at a time, so that a
// transfer does not saturate the connection, which heartbeats also use.
type snapshotTransfer struct {
	source   *snapshotSource
	offset   uint64
	lastSent time.Duration
}

type snapshotLoaded struct {
	source *snapshotSource
	err    error
}

// startSnapshotTransfer starts to send a snapshot to a replica that needs entries that the log no longer
// has.
func (node *node) startSnapshotTransfer(vm scheduler.VMName, progress *progress, now time.Duration) {
	progress.state = progressSnapshotting
	progress.inflight, progress.inflightBytes, progress.probePending = nil, 0, false
	progress.transfer = snapshotTransfer{}
	if source := node.snapshot.source; source != nil && source.meta.Index == node.snapshot.index {
		node.beginTransfer(vm, progress, source, now)
		return
	}
	node.loadSnapshot()
}

func (node *node) beginTransfer(vm scheduler.VMName, progress *progress, source *snapshotSource, now time.Duration) {
	progress.transfer = snapshotTransfer{source: source}
	node.logger.Info().Str("event", "snapshotTransferStarted").Str("peer", string(vm)).
		Uint64("index", uint64(source.meta.Index)).
		Int("bytes", len(source.data)).Msg("snapshot transfer started")
	node.sendSnapshotChunk(vm, progress, now)
}

// loadSnapshot reads the newest snapshot in the background, without blocking the event loop.
func (node *node) loadSnapshot() {
	if node.snapshot.loading {
		return
	}
	meta, reader, found, err := node.journal.OpenSnapshot()
	if err != nil || !found {
		node.logger.Warn().Str("event", "snapshotNotFound").Err(err).Msg("no snapshot available to send")
		return
	}
	node.snapshot.loading = true
	node.snapshot.loadedCh = make(chan snapshotLoaded, 1)
	results := node.snapshot.loadedCh
	node.running.Go(func() {
		defer func() { _ = reader.Close() }()
		data, err := io.ReadAll(reader)
		results <- snapshotLoaded{source: &snapshotSource{meta: meta, data: data, checksum: snapshotChecksum(data)}, err: err}
	})
}

func (node *node) handleSnapshotLoaded(loaded snapshotLoaded) {
	node.snapshot.loading = false
	if loaded.err != nil {
		node.logger.Warn().Str("event", "snapshotNotRead").Err(loaded.err).Msg("failed to read the snapshot")
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

// sendSnapshotChunk sends the chunk at the offset of the transfer. A replica that does not respond gets an
// empty chunk, which causes little traffic and makes it report the offset at which to resume.
func (node *node) sendSnapshotChunk(vm scheduler.VMName, progress *progress, now time.Duration) {
	transfer := &progress.transfer
	source := transfer.source
	transfer.lastSent = now
	var data []byte
	if progress.isResponding(now) {
		data = source.data[transfer.offset:min(transfer.offset+snapshotChunkBytes, uint64(len(source.data)))]
	}
	node.transport.Send(vm, node.name, kindSnapshotChunk, encode(snapshotChunk{
		Term: node.term, Incarnation: node.self.Incarnation, Index: source.meta.Index,
		IndexTerm: source.meta.Term, Membership: source.meta.Membership, Size: uint64(len(source.data)),
		Checksum: source.checksum, Offset: transfer.offset, Sent: int64(now), Data: data,
	}))
}

func (node *node) handleSnapshotResponse(from scheduler.VMName, response *snapshotResponse) error {
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
	transfer := &progress.transfer
	if progress.state != progressSnapshotting || transfer.source == nil ||
		transfer.source.meta.Index != response.Index || transfer.source.checksum != response.Checksum {
		return nil
	}
	// Only the response to the newest chunk is used, so that a duplicate does not start a second
	// stream of chunks.
	if response.Sent != int64(transfer.lastSent) || response.Offset > uint64(len(transfer.source.data)) {
		return nil
	}
	transfer.offset = response.Offset
	if response.Offset < uint64(len(transfer.source.data)) {
		node.sendSnapshotChunk(from, progress, now)
	}
	return nil
}

// finishSnapshotTransfer resumes sending entries once the replica has durably installed the snapshot.
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

// tickSnapshots resends chunks that got no response and releases a snapshot that no transfer needs.
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
		case now > progress.transfer.lastSent+resendTimeout:
			node.sendSnapshotChunk(vm, progress, now)
		}
	}
	if !needed {
		node.snapshot.source = nil
	}
}
