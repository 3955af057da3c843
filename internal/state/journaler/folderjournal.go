package journaler

import (
	"errors"
	"io"
	"sync"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// defaultSegmentBytes is the size from which on a new segment is started. At 10,000 entries of 1 KiB
// between snapshots a log then has one or two segments.
const defaultSegmentBytes = 16 << 20

// FolderJournal is a scheduler.Journal in a folder. It is safe for concurrent use; Append and Sync
// run side by side, as do the writing of a snapshot and both of them.
//
// Its errors are of class Error. Those that are also of class scheduler.ErrJournalFailed are final.
type FolderJournal struct {
	folder       folder
	lock         io.Closer
	identity     Identity
	segmentBytes int64

	// The mutexes are locked in the order of the fields. snapshotMutex admits one snapshot at a
	// time; syncMutex protects file against being closed during a sync; mutex protects the rest
	// and is not held during a sync.
	snapshotMutex sync.Mutex
	syncMutex     sync.Mutex
	mutex         sync.Mutex

	file      file
	log       entryLog
	hardState scheduler.HardState
	segments  []segment
	buffer    []byte
	// unsynced is true while the file holds entries that no sync has covered.
	unsynced bool
	// durable is the last index that is synced, syncing the one that a running sync will make
	// durable. Both are lowered when Append replaces entries.
	durable, syncing scheduler.Index
	// durableSize is up to which offset the current segment is synced.
	durableSize int64
	failed      error
}

var _ scheduler.Journal = (*FolderJournal)(nil)

// Identity returns the identity of the folder. Its incarnation is the one of the first start.
func (folderJournal *FolderJournal) Identity() Identity { return folderJournal.identity }

// HardState returns the last saved hard state, zero if none was saved.
func (folderJournal *FolderJournal) HardState() scheduler.HardState {
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	return folderJournal.hardState
}

// SaveHardState stores and syncs the hard state. After an error that is not of class
// scheduler.ErrJournalFailed, for example because the disk is full, the old hard state is in force.
func (folderJournal *FolderJournal) SaveHardState(hardState scheduler.HardState) error {
	folderJournal.syncMutex.Lock()
	defer folderJournal.syncMutex.Unlock()
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	if folderJournal.failed != nil {
		return folderJournal.failed
	}
	folderJournal.mutex.Unlock()
	err := folderJournal.folder.writeOne("hardState", record{HardState: &hardState})
	folderJournal.mutex.Lock()
	if err != nil {
		return folderJournal.note(err)
	}
	folderJournal.hardState = hardState
	return nil
}

// note remembers a final error, after which every write is refused. The caller holds mutex.
func (folderJournal *FolderJournal) note(err error) error {
	if scheduler.ErrJournalFailed.Has(err) && folderJournal.failed == nil {
		folderJournal.failed = err
	}
	return err
}

// FirstIndex returns the index of the first entry kept, LastIndex+1 when none is kept.
func (folderJournal *FolderJournal) FirstIndex() scheduler.Index {
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	return folderJournal.log.first()
}

// LastIndex returns the index of the last entry, or of the snapshot when no entry follows it.
func (folderJournal *FolderJournal) LastIndex() scheduler.Index {
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	return folderJournal.log.last()
}

// Term returns the term of the entry at index. The index of the snapshot is allowed.
func (folderJournal *FolderJournal) Term(index scheduler.Index) (scheduler.Term, error) {
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	return folderJournal.log.term(index)
}

// Entries returns the entries from low up to and including high, cut after maxBytes of data but with
// at least one entry. The caller must not change their data.
func (folderJournal *FolderJournal) Entries(low, high scheduler.Index, maxBytes int) ([]scheduler.Entry, error) {
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	return folderJournal.log.between(low, high, maxBytes)
}

// Append writes entries without syncing them. If the first index is not LastIndex+1, every entry from
// that index on is removed first. The journal keeps the entries' data without a copy. A failed write,
// for example on a full disk, is final; the next start cuts off what was written of it.
func (folderJournal *FolderJournal) Append(entries []scheduler.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := folderJournal.rotateIfFull(); err != nil {
		return err
	}
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	if folderJournal.failed != nil {
		return folderJournal.failed
	}
	if err := folderJournal.log.check(entries); err != nil {
		return err
	}
	active := &folderJournal.segments[len(folderJournal.segments)-1]
	buffer, err := folderJournal.encode(active, entries)
	if err != nil {
		return err
	}
	if _, err := folderJournal.file.Write(buffer); err != nil {
		return folderJournal.note(finalError("append to "+folderJournal.folder.segmentPath(active.number), err))
	}
	folderJournal.unsynced = true
	active.size += int64(len(buffer))
	active.last = max(active.last, entries[len(entries)-1].Index)
	before := entries[0].Index - 1
	folderJournal.durable = min(folderJournal.durable, before)
	folderJournal.syncing = min(folderJournal.syncing, before)
	folderJournal.log.append(entries...)
	return nil
}

// encode returns the frames of entries. The buffer is reused unless one large entry has made it large.
func (folderJournal *FolderJournal) encode(active *segment, entries []scheduler.Entry) (buffer []byte, err error) {
	buffer = folderJournal.buffer[:0]
	for position := range entries {
		at := place{number: active.number, offset: active.size + int64(len(buffer))}
		if buffer, err = appendFrame(buffer, at, record{Entry: &entries[position], Synced: folderJournal.durableSize}); err != nil {
			return nil, err
		}
	}
	if cap(buffer) <= 1<<20 {
		folderJournal.buffer = buffer
	}
	return buffer, nil
}

// Sync makes all appended entries durable and returns the last index that is durable. Entries that
// Append writes while Sync runs are not covered. A failed sync is final.
func (folderJournal *FolderJournal) Sync() (scheduler.Index, error) {
	folderJournal.syncMutex.Lock()
	defer folderJournal.syncMutex.Unlock()
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	return folderJournal.sync()
}

// sync is Sync for callers that hold syncMutex and mutex. It releases mutex during the sync.
func (folderJournal *FolderJournal) sync() (scheduler.Index, error) {
	if folderJournal.failed != nil {
		return 0, folderJournal.failed
	}
	if !folderJournal.unsynced {
		return folderJournal.durable, nil
	}
	folderJournal.syncing, folderJournal.unsynced = folderJournal.log.last(), false
	file, folder := folderJournal.file, folderJournal.folder.name
	size := folderJournal.segments[len(folderJournal.segments)-1].size
	folderJournal.mutex.Unlock()
	err := file.Sync()
	folderJournal.mutex.Lock()
	if err != nil {
		return 0, folderJournal.note(finalError("sync segment in "+folder, err))
	}
	if folderJournal.failed != nil {
		return 0, folderJournal.failed
	}
	folderJournal.durable = max(folderJournal.durable, folderJournal.syncing)
	folderJournal.durableSize = size // syncMutex keeps the segment from being replaced meanwhile.
	return folderJournal.durable, nil
}

// rotateIfFull starts a new segment when the current one is full.
func (folderJournal *FolderJournal) rotateIfFull() error {
	folderJournal.mutex.Lock()
	full := folderJournal.segments[len(folderJournal.segments)-1].size >= folderJournal.segmentBytes
	folderJournal.mutex.Unlock()
	if !full {
		return nil
	}
	folderJournal.syncMutex.Lock()
	defer folderJournal.syncMutex.Unlock()
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	if _, err := folderJournal.sync(); err != nil {
		return err
	}
	return folderJournal.note(folderJournal.startSegment(false))
}

// startSegment closes the current file, if any, and starts a segment after the log's last entry. The
// caller has synced the current file, since only the last segment may end in an incomplete write.
func (folderJournal *FolderJournal) startSegment(reset bool) error {
	if folderJournal.file != nil {
		if err := folderJournal.file.Close(); err != nil {
			return finalError("close segment in "+folderJournal.folder.name, err)
		}
	}
	number := uint64(1)
	if count := len(folderJournal.segments); count > 0 {
		number = folderJournal.segments[count-1].number + 1
	}
	previous := folderJournal.log.last()
	previousTerm, err := folderJournal.log.term(previous)
	if err != nil {
		return err
	}
	header := &segmentHeader{Number: number, Previous: previous, PreviousTerm: previousTerm, Reset: reset}
	frame, err := appendFrame(nil, place{number: number}, record{Segment: header})
	if err != nil {
		return err
	}
	file, err := folderJournal.folder.createSegment(number, frame)
	if err != nil {
		return finalError("create "+folderJournal.folder.segmentPath(number), err)
	}
	folderJournal.file, folderJournal.durableSize = file, int64(len(frame))
	folderJournal.segments = append(folderJournal.segments, segment{number: number, size: int64(len(frame))})
	return nil
}

// createSegment creates a segment file with a header, all of it synced.
func (folder folder) createSegment(number uint64, header []byte) (file, error) {
	file, err := folder.fileSystem.create(folder.segmentPath(number))
	if err != nil {
		return nil, err
	}
	if _, err = file.Write(header); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = folder.fileSystem.syncFolder(folder.name)
	}
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

// markSynced writes a record that states that everything before it is synced, so that later damage to the
// last entries is recognised. The caller holds all mutexes and has synced the file.
func (folderJournal *FolderJournal) markSynced() error {
	active := &folderJournal.segments[len(folderJournal.segments)-1]
	frame, err := appendFrame(nil, place{number: active.number, offset: active.size}, record{Synced: active.size})
	if err != nil {
		return err
	}
	if _, err := folderJournal.file.Write(frame); err != nil {
		return finalError("mark "+folderJournal.folder.segmentPath(active.number), err)
	}
	return folderJournal.file.Sync()
}

// Close syncs and closes the files and releases the folder. It never retries a failed sync.
func (folderJournal *FolderJournal) Close() error {
	folderJournal.snapshotMutex.Lock()
	defer folderJournal.snapshotMutex.Unlock()
	folderJournal.syncMutex.Lock()
	defer folderJournal.syncMutex.Unlock()
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	if folderJournal.lock == nil {
		return nil
	}
	_, err := folderJournal.sync()
	if err == nil {
		err = folderJournal.markSynced()
	}
	err = errors.Join(err, folderJournal.file.Close(), folderJournal.lock.Close())
	folderJournal.lock = nil
	if folderJournal.failed == nil {
		folderJournal.failed = errClosed
	}
	if err != nil {
		return Error.New("close %s: %w", folderJournal.folder.name, err)
	}
	return nil
}
