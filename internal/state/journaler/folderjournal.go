package journaler

import (
	"errors"
	"io"
	"sync"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// defaultSegmentBytes is the default size at which a new segment is started. With 10,000 entries of 1 KiB
// between snapshots, a log then has one or two segments.
const defaultSegmentBytes = 16 << 20

// FolderJournal is a scheduler.Journal that is stored in a folder. It is safe for concurrent use. Append, Sync and
// the writing of a snapshot can run concurrently.
//
// Its errors are of class Error. After one that is also of class scheduler.ErrJournalFailed, every write fails.
type FolderJournal struct {
	folder       folder
	lock         io.Closer
	identity     Identity
	segmentBytes int64

	// The mutexes are locked in the order of the fields. snapshotMutex serialises snapshots;
	// syncMutex prevents file from being closed during a sync; mutex guards all other fields and
	// is not held during a sync.
	snapshotMutex sync.Mutex
	syncMutex     sync.Mutex
	mutex         sync.Mutex

	file      file
	log       entryLog
	hardState scheduler.HardState
	segments  []segment
	buffer    []byte
	// unsynced is true while the file contains entries that no sync has covered.
	unsynced bool
	// durableIndex is the last index that is synced, syncingIndex the last one that a running sync
	// covers. Both are lowered when Append replaces entries.
	durableIndex, syncingIndex scheduler.Index
	// durableSize is the offset up to which the current segment is synced.
	durableSize int64
	usage       usageMeter
	// failure is the final error after which every write fails, or nil.
	failure error
}

var _ scheduler.Journal = (*FolderJournal)(nil)

// Identity returns the identity of the folder, with the incarnation that was stored when the folder was created.
func (folderJournal *FolderJournal) Identity() Identity { return folderJournal.identity }

// HardState returns the last saved hard state, or the zero value if none was saved.
func (folderJournal *FolderJournal) HardState() scheduler.HardState {
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	return folderJournal.hardState
}

// SaveHardState stores and syncs the hard state. After an error that is not of class
// scheduler.ErrJournalFailed, for example because the disk is full, the previous hard state remains valid.
func (folderJournal *FolderJournal) SaveHardState(hardState scheduler.HardState) error {
	folderJournal.syncMutex.Lock()
	defer folderJournal.syncMutex.Unlock()
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	if folderJournal.failure != nil {
		return folderJournal.failure
	}
	folderJournal.mutex.Unlock()
	err := folderJournal.folder.writeRecordFile("hardState", record{HardState: &hardState})
	folderJournal.mutex.Lock()
	if err != nil {
		return folderJournal.recordFailure(err)
	}
	folderJournal.hardState = hardState
	return nil
}

// recordFailure stores the first final error, after which every write fails, and returns err. The caller holds
// mutex.
func (folderJournal *FolderJournal) recordFailure(err error) error {
	if scheduler.ErrJournalFailed.Has(err) && folderJournal.failure == nil {
		folderJournal.failure = err
	}
	return err
}

// FirstIndex returns the index of the first entry kept, or LastIndex+1 if none is kept.
func (folderJournal *FolderJournal) FirstIndex() scheduler.Index {
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	return folderJournal.log.firstIndex()
}

// LastIndex returns the index of the last entry, or of the snapshot if no entry follows it.
func (folderJournal *FolderJournal) LastIndex() scheduler.Index {
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	return folderJournal.log.lastIndex()
}

// Term returns the term of the entry at index, which may also be the index of the snapshot.
func (folderJournal *FolderJournal) Term(index scheduler.Index) (scheduler.Term, error) {
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	return folderJournal.log.term(index)
}

// Entries returns the entries from low to high inclusive, limited to maxBytes of data but at least one
// entry. The caller must not modify their data.
func (folderJournal *FolderJournal) Entries(low, high scheduler.Index, maxBytes int) ([]scheduler.Entry, error) {
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	return folderJournal.log.entriesBetween(low, high, maxBytes)
}

// Append writes entries without syncing them. If the first index is not LastIndex+1, the log is truncated from
// that index on first. The journal keeps a reference to the entries' data instead of copying it. A failed write,
// for example on a full disk, is final; the next Open truncates the part that was written.
func (folderJournal *FolderJournal) Append(entries []scheduler.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := folderJournal.rotateIfFull(); err != nil {
		return err
	}
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	if folderJournal.failure != nil {
		return folderJournal.failure
	}
	if err := folderJournal.log.checkAppend(entries); err != nil {
		return err
	}
	active := &folderJournal.segments[len(folderJournal.segments)-1]
	buffer, err := folderJournal.encode(active, entries)
	if err != nil {
		return err
	}
	if _, err := folderJournal.file.Write(buffer); err != nil {
		return folderJournal.recordFailure(finalError("append to "+folderJournal.folder.segmentPath(active.number), err))
	}
	folderJournal.unsynced = true
	folderJournal.usage.addLog(int64(len(buffer)))
	active.size += int64(len(buffer))
	active.lastIndex = max(active.lastIndex, entries[len(entries)-1].Index)
	before := entries[0].Index - 1
	folderJournal.durableIndex = min(folderJournal.durableIndex, before)
	folderJournal.syncingIndex = min(folderJournal.syncingIndex, before)
	folderJournal.log.append(entries...)
	return nil
}

// encode returns the frames of entries. The buffer is reused unless it has grown beyond 1 MiB.
func (folderJournal *FolderJournal) encode(active *segment, entries []scheduler.Entry) (buffer []byte, err error) {
	buffer = folderJournal.buffer[:0]
	for index := range entries {
		position := framePosition{number: active.number, offset: active.size + int64(len(buffer))}
		if buffer, err = appendFrame(buffer, position, record{
			Entry: &entries[index], Synced: folderJournal.durableSize,
		}); err != nil {
			return nil, err
		}
	}
	if cap(buffer) <= 1<<20 {
		folderJournal.buffer = buffer
	}
	return buffer, nil
}

// Sync makes all appended entries durable and returns the last durable index. Entries that are appended while
// Sync runs are not covered. A failed sync is final.
func (folderJournal *FolderJournal) Sync() (scheduler.Index, error) {
	folderJournal.syncMutex.Lock()
	defer folderJournal.syncMutex.Unlock()
	folderJournal.mutex.Lock()
	defer folderJournal.mutex.Unlock()
	return folderJournal.sync()
}

// sync implements Sync. The caller holds syncMutex and mutex; mutex is released during the sync.
func (folderJournal *FolderJournal) sync() (scheduler.Index, error) {
	if folderJournal.failure != nil {
		return 0, folderJournal.failure
	}
	if !folderJournal.unsynced {
		return folderJournal.durableIndex, nil
	}
	folderJournal.syncingIndex, folderJournal.unsynced = folderJournal.log.lastIndex(), false
	file, folder := folderJournal.file, folderJournal.folder.name
	size := folderJournal.segments[len(folderJournal.segments)-1].size
	folderJournal.mutex.Unlock()
	err := file.Sync()
	folderJournal.mutex.Lock()
	if err != nil {
		return 0, folderJournal.recordFailure(finalError("sync segment in "+folder, err))
	}
	if folderJournal.failure != nil {
		return 0, folderJournal.failure
	}
	folderJournal.durableIndex = max(folderJournal.durableIndex, folderJournal.syncingIndex)
	folderJournal.durableSize = size // syncMutex prevents a change of the segment during the sync.
	return folderJournal.durableIndex, nil
}

// rotateIfFull starts a new segment if the current one is full.
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
	return folderJournal.recordFailure(folderJournal.startSegment(false))
}

// startSegment creates a segment after the last entry of the log and closes the current file, if any. The caller must
// have synced the current file, since only the last segment may end in an incomplete write.
func (folderJournal *FolderJournal) startSegment(reset bool) error {
	number := uint64(1)
	if count := len(folderJournal.segments); count > 0 {
		number = folderJournal.segments[count-1].number + 1
	}
	previous := folderJournal.log.lastIndex()
	previousTerm, err := folderJournal.log.term(previous)
	if err != nil {
		return err
	}
	header := &segmentHeader{Number: number, Previous: previous, PreviousTerm: previousTerm, Reset: reset}
	frame, err := appendFrame(nil, framePosition{number: number}, record{Segment: header})
	if err != nil {
		return err
	}
	file, err := folderJournal.folder.createSegment(number, frame)
	if err != nil {
		return finalError("create "+folderJournal.folder.segmentPath(number), err)
	}
	before := folderJournal.file
	folderJournal.file, folderJournal.durableSize = file, int64(len(frame))
	folderJournal.usage.addLog(int64(len(frame)))
	folderJournal.segments = append(folderJournal.segments, segment{
		number: number, previous: previous, size: int64(len(frame)),
	})
	if before == nil {
		return nil
	}
	if err := before.Close(); err != nil {
		return finalError("close segment in "+folderJournal.folder.name, err)
	}
	return nil
}

// createSegment creates a segment file with a header and syncs the file and the folder.
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

// writeSyncMarker writes a record which states that everything before it is synced, so that later damage to the
// last entries is detected. The caller holds all mutexes and has synced the file.
func (folderJournal *FolderJournal) writeSyncMarker() error {
	active := &folderJournal.segments[len(folderJournal.segments)-1]
	frame, err := appendFrame(nil, framePosition{number: active.number, offset: active.size}, record{Synced: active.size})
	if err != nil {
		return err
	}
	if _, err := folderJournal.file.Write(frame); err != nil {
		return finalError("write sync marker to "+folderJournal.folder.segmentPath(active.number), err)
	}
	return folderJournal.file.Sync()
}

// Close syncs and closes the files and unlocks the folder. After a failure it only releases the files and the lock,
// because pages that a failed sync has marked as clean would pass another one. The folder can then be opened again.
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
	var err error
	if folderJournal.failure == nil {
		err = folderJournal.finish()
	}
	err = errors.Join(err, folderJournal.file.Close(), folderJournal.lock.Close())
	folderJournal.lock = nil
	if folderJournal.failure == nil {
		folderJournal.failure = errClosed
	}
	if err != nil {
		return Error.New("close %s: %w", folderJournal.folder.name, err)
	}
	return nil
}

// finish makes all entries durable and marks the end of the log. The caller holds all mutexes.
func (folderJournal *FolderJournal) finish() error {
	if _, err := folderJournal.sync(); err != nil {
		return err
	}
	return folderJournal.writeSyncMarker()
}
