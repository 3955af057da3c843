package replicator

import (
	"hash/crc32"
	"io"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/basics/suppressor"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// snapshotState is the state of the event loop for saving, sending and receiving snapshots.
type snapshotState struct {
	// index is the index of the newest snapshot in the journal.
	index    scheduler.Index
	saving   bool
	savedCh  chan snapshotSaved
	loading  bool
	loadedCh chan snapshotLoaded
	// source is the snapshot that the leader sends, or nil if no transfer needs it.
	source   *snapshotSource
	incoming incomingSnapshot
	// install is the received snapshot that replaces the local state, or nil if there is none.
	install *scheduler.SnapshotMeta
	// installData is the content of that snapshot. It is passed to the applier once and then released.
	installData []byte
	// retry delays the next snapshot after the journal has refused to save one.
	retry snapshotRetry
	// refusals bounds the log lines about refused snapshots.
	refusals *suppressor.Suppressor
}

type snapshotSaved struct {
	index scheduler.Index
	// bytes is the size of the snapshot, logBytes that of the log since the one before, and folderBytes that of the
	// folder afterwards. The last two are zero without a disk.
	bytes, logBytes, folderBytes int64
	err                          error
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (snapshotSaved snapshotSaved) MarshalZerologObject(event *zerolog.Event) {
	event.Uint64("index", uint64(snapshotSaved.index)).Int64("bytes", snapshotSaved.bytes).
		Int64("logBytes", snapshotSaved.logBytes).Int64("folderBytes", snapshotSaved.folderBytes)
}

// saved returns a channel that receives the result of saving a snapshot.
func (snapshotState *snapshotState) saved() <-chan snapshotSaved { return snapshotState.savedCh }

// loaded returns a channel that receives the snapshot read from the journal.
func (snapshotState *snapshotState) loaded() <-chan snapshotLoaded { return snapshotState.loadedCh }

// isInstalling reports whether a received snapshot is replacing the local state. The log accepts no entries
// until that is finished.
func (node *node) isInstalling() bool { return node.snapshot.install != nil }

// nextWork returns the snapshot task that the state machine must perform before it applies more entries.
func (snapshotState *snapshotState) nextWork(node *node) *applyWork {
	if !snapshotState.retry.isDue(node.clock.now()) {
		return nil
	}
	switch {
	case snapshotState.install != nil:
		if snapshotState.saving || snapshotState.installData == nil || node.syncing.busy {
			return nil
		}
		data := snapshotState.installData
		snapshotState.installData = nil
		return &applyWork{install: snapshotState.install, data: data}
	case snapshotState.saving || !node.isSnapshotDue():
		return nil
	case node.applied > node.commit:
		// After a rejoin, the log may not contain the applied entry but an older one at its index.
		return nil
	}
	term, known := node.log.term(node.applied)
	if !known {
		return nil
	}
	return &applyWork{take: &scheduler.SnapshotMeta{
		Index: node.applied, Term: term, Membership: node.log.membershipAt(node.applied).encode(),
	}}
}

// saveSnapshot stores a snapshot in the background, without blocking the event loop and the state machine.
func (node *node) saveSnapshot(meta scheduler.SnapshotMeta, data []byte) {
	if node.isInstalling() {
		return
	}
	keep := node.keptEntries(meta.Index)
	node.snapshot.saving = true
	node.snapshot.savedCh = make(chan snapshotSaved, 1)
	results := node.snapshot.savedCh
	node.running.Go(func() {
		logBytes := node.journalUsage().LogBytes()
		err := node.journal.SaveSnapshot(meta, keep, func(w io.Writer) error {
			_, err := w.Write(data)
			return err
		})
		results <- snapshotSaved{
			index: meta.Index, bytes: int64(len(data)), logBytes: logBytes,
			folderBytes: node.journalUsage().FolderBytes(), err: err,
		}
	})
}

// handleSnapshotSaved ends the participation of this VM in the group only if the journal has failed. After any other
// error, for example on a full disk, the journal is unchanged and a later snapshot is tried.
func (node *node) handleSnapshotSaved(saved snapshotSaved) error {
	node.snapshot.saving = false
	switch {
	case scheduler.ErrJournalFailed.Has(saved.err):
		return Error.Wrap(saved.err)
	case saved.err != nil:
		node.delaySnapshot("snapshotNotSaved", saved.index, saved.err)
	default:
		node.recordSavedSnapshot(saved)
	}
	return nil
}

func (node *node) recordSavedSnapshot(saved snapshotSaved) {
	node.snapshot.retry = snapshotRetry{}
	node.snapshot.index = max(node.snapshot.index, saved.index)
	node.log.discardMembershipsBefore(saved.index)
	node.logger.Info().Str("event", "snapshotSaved").EmbedObject(saved).Msg("snapshot saved")
}

// snapshotChecksum returns the checksum that identifies the content of a snapshot.
func snapshotChecksum(data []byte) uint32 { return crc32.ChecksumIEEE(data) }
