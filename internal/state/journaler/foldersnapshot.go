package journaler

import (
	"io"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// SaveSnapshot stores and syncs a snapshot, which write fills, and removes the entries that it covers
// but for the last keep ones. The journal stays usable while write runs. If the log does not hold the
// entry at the snapshot's index and term, the snapshot replaces the whole log. An error that is not of
// class scheduler.ErrJournalFailed, for example because the disk is full, leaves everything as it was.
func (folderJournal *FolderJournal) SaveSnapshot(meta scheduler.SnapshotMeta, keep int, write func(w io.Writer) error) error {
	folderJournal.snapshotMutex.Lock()
	defer folderJournal.snapshotMutex.Unlock()
	header, err := folderJournal.snapshotHeader(meta, keep)
	if err != nil {
		return err
	}
	err = folderJournal.folder.replace(snapshotName(meta.Index), func(w io.Writer) error {
		return writeSnapshot(w, header, write)
	})
	folderJournal.syncMutex.Lock()
	defer folderJournal.syncMutex.Unlock()
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	if err != nil {
		return folderJournal.note(err)
	}
	return folderJournal.useSnapshot(header)
}

// snapshotHeader returns the header for a new snapshot.
func (folderJournal *FolderJournal) snapshotHeader(meta scheduler.SnapshotMeta, keep int) (header snapshotHeader, err error) {
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	if folderJournal.failed != nil {
		return header, folderJournal.failed
	}
	if err := folderJournal.log.checkSnapshot(meta, keep); err != nil {
		return header, err
	}
	meta.Membership = slices.Clone(meta.Membership)
	return snapshotHeader{Meta: meta, First: folderJournal.log.firstAfter(meta, keep)}, nil
}

// useSnapshot brings the log in line with a durable snapshot and removes what it covers. The caller
// holds all mutexes, or is the only user.
func (folderJournal *FolderJournal) useSnapshot(header snapshotHeader) error {
	matches := folderJournal.log.matches(header.Meta)
	folderJournal.log.snapshot = header.Meta
	if matches {
		folderJournal.log.compact(header.First)
	} else if err := folderJournal.replaceLog(header.Meta); err != nil {
		return folderJournal.note(err)
	}
	folderJournal.removeCovered()
	return nil
}

// replaceLog starts a new log after a snapshot.
func (folderJournal *FolderJournal) replaceLog(meta scheduler.SnapshotMeta) error {
	if folderJournal.file != nil {
		if _, err := folderJournal.sync(); err != nil {
			return err
		}
	}
	folderJournal.log.reset(meta.Index, meta.Term)
	markCovered(folderJournal.segments)
	if err := folderJournal.startSegment(true); err != nil {
		return err
	}
	folderJournal.durable, folderJournal.syncing, folderJournal.unsynced = meta.Index, meta.Index, false
	return nil
}

// removeCovered removes segments and snapshots that the newest snapshot makes superfluous. A file that
// cannot be removed does no harm; the next snapshot tries again.
func (folderJournal *FolderJournal) removeCovered() {
	folder := folderJournal.folder
	for len(folderJournal.segments) > 1 && folderJournal.segments[0].last < folderJournal.log.first() {
		if folder.fileSystem.remove(folder.segmentPath(folderJournal.segments[0].number)) != nil {
			return
		}
		folderJournal.segments = folderJournal.segments[1:]
	}
	names, err := folder.names()
	if err != nil {
		return
	}
	for _, number := range numbersOf(names, snapshotSuffix) {
		if scheduler.Index(number) < folderJournal.log.snapshot.Index {
			_ = folder.fileSystem.remove(folder.snapshotPath(scheduler.Index(number)))
		}
	}
}

// OpenSnapshot returns the newest snapshot. ok is false when there is none. The reader returns
// ErrDamaged instead of io.EOF if the file is not whole.
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
