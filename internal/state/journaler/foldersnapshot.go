package journaler

import (
	"io"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// SaveSnapshot stores and syncs a snapshot, whose contents write produces, and removes the entries that it
// covers except the last keep ones. The journal stays usable while write runs. If the log does not contain the
// entry with the snapshot's index and term, the snapshot replaces the whole log. An error that is not of class
// scheduler.ErrJournalFailed, for example because the disk is full, leaves the journal unchanged.
func (folderJournal *FolderJournal) SaveSnapshot(meta scheduler.SnapshotMeta, keep int, write func(w io.Writer) error) error {
	folderJournal.snapshotMutex.Lock()
	defer folderJournal.snapshotMutex.Unlock()
	defer folderJournal.measureFolder()
	header, err := folderJournal.snapshotHeader(meta, keep)
	if err != nil {
		return err
	}
	folderJournal.folder.removeTemporary(snapshotSuffix + temporarySuffix)
	err = folderJournal.folder.replaceFile(snapshotName(meta.Index), func(w io.Writer) error {
		return writeSnapshot(w, header, write)
	})
	folderJournal.syncMutex.Lock()
	defer folderJournal.syncMutex.Unlock()
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	if err != nil {
		return folderJournal.recordFailure(err)
	}
	folderJournal.usage.finishSnapshot()
	return folderJournal.applySnapshot(header)
}

// snapshotHeader checks a new snapshot and returns its header.
func (folderJournal *FolderJournal) snapshotHeader(meta scheduler.SnapshotMeta, keep int) (header snapshotHeader, err error) {
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	if folderJournal.failure != nil {
		return header, folderJournal.failure
	}
	if err := folderJournal.log.checkSnapshot(meta, keep); err != nil {
		return header, err
	}
	meta.Membership = slices.Clone(meta.Membership)
	folderJournal.usage.startSnapshot()
	return snapshotHeader{Meta: meta, First: folderJournal.log.firstKept(meta, keep)}, nil
}

// applySnapshot updates the log after a snapshot became durable and removes the entries and files that the snapshot
// covers. The caller holds all mutexes, or has exclusive use of the journal.
func (folderJournal *FolderJournal) applySnapshot(header snapshotHeader) error {
	matches := folderJournal.log.matches(header.Meta)
	folderJournal.log.snapshot = header.Meta
	if matches {
		folderJournal.log.compact(header.First)
	} else if err := folderJournal.replaceLog(header.Meta); err != nil {
		return folderJournal.recordFailure(err)
	}
	folderJournal.removeObsoleteFiles()
	return nil
}

// replaceLog discards the log and starts a new one after the snapshot. Files that the snapshot makes obsolete are removed
// first, because the new segment needs room.
func (folderJournal *FolderJournal) replaceLog(meta scheduler.SnapshotMeta) error {
	if folderJournal.file != nil {
		if _, err := folderJournal.sync(); err != nil {
			return err
		}
	}
	folderJournal.log.reset(meta.Index, meta.Term)
	markObsolete(folderJournal.segments)
	folderJournal.removeObsoleteFiles()
	if err := folderJournal.startSegment(true); err != nil {
		return err
	}
	folderJournal.durableIndex, folderJournal.syncingIndex, folderJournal.unsynced = meta.Index, meta.Index, false
	return nil
}

// removeObsoleteFiles removes segments and snapshots that the newest snapshot makes obsolete. A file that cannot be
// removed is harmless; the next snapshot retries the removal.
func (folderJournal *FolderJournal) removeObsoleteFiles() {
	folderJournal.folder.removeSnapshotsBefore(folderJournal.log.snapshot.Index)
	for folderJournal.isFirstSegmentObsolete() {
		if folderJournal.folder.fileSystem.remove(folderJournal.folder.segmentPath(folderJournal.segments[0].number)) != nil {
			return
		}
		folderJournal.segments = folderJournal.segments[1:]
	}
}

// isFirstSegmentObsolete reports whether the first segment has no entry that is kept, and the next one can be read
// without it: the entries before the next segment are covered by the snapshot.
func (folderJournal *FolderJournal) isFirstSegmentObsolete() bool {
	segments := folderJournal.segments
	return len(segments) > 1 && segments[0].lastIndex < folderJournal.log.firstIndex() &&
		segments[1].previous <= folderJournal.log.snapshot.Index
}

// removeSnapshotsBefore removes snapshots that a newer one replaces.
func (folder folder) removeSnapshotsBefore(index scheduler.Index) {
	names, err := folder.names()
	if err != nil {
		return
	}
	for _, number := range fileNumbers(names, snapshotSuffix) {
		if scheduler.Index(number) < index {
			_ = folder.fileSystem.remove(folder.snapshotPath(scheduler.Index(number)))
		}
	}
}

// OpenSnapshot returns the newest snapshot. ok is false if there is none. The reader returns ErrDamaged instead of
// io.EOF if the file is incomplete or damaged.
func (folderJournal *FolderJournal) OpenSnapshot() (meta scheduler.SnapshotMeta, r io.ReadCloser, ok bool, err error) {
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	index := folderJournal.log.snapshot.Index
	if index == 0 {
		return meta, nil, false, nil
	}
	reader, header, err := folderJournal.folder.openSnapshot(index)
	if err != nil {
		return meta, nil, false, err
	}
	return header.Meta, reader, true, nil
}
