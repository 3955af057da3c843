package journaler

import (
	"bytes"
	"io"
	"slices"
	"sync"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// MemoryJournal is a scheduler.Journal for a VM without a disk. Its contents are lost when the process
// ends, so a diskless voter restarts with a new incarnation. It is safe for concurrent use.
type MemoryJournal struct {
	mutex     sync.Mutex
	log       entryLog
	hardState scheduler.HardState
	snapshot  []byte
	closed    bool
}

var _ scheduler.Journal = (*MemoryJournal)(nil)

// NewMemoryJournal returns an empty MemoryJournal.
func NewMemoryJournal() *MemoryJournal { return &MemoryJournal{} }

// HardState returns the last saved hard state, or the zero value if none was saved.
func (memoryJournal *MemoryJournal) HardState() scheduler.HardState {
	memoryJournal.mutex.Lock()
	defer memoryJournal.mutex.Unlock()
	return memoryJournal.hardState
}

// SaveHardState stores the hard state.
func (memoryJournal *MemoryJournal) SaveHardState(hardState scheduler.HardState) error {
	memoryJournal.mutex.Lock()
	defer memoryJournal.mutex.Unlock()
	if memoryJournal.closed {
		return errClosed
	}
	memoryJournal.hardState = hardState
	return nil
}

// FirstIndex returns the index of the first entry kept, or LastIndex+1 if none is kept.
func (memoryJournal *MemoryJournal) FirstIndex() scheduler.Index {
	memoryJournal.mutex.Lock()
	defer memoryJournal.mutex.Unlock()
	return memoryJournal.log.firstIndex()
}

// LastIndex returns the index of the last entry, or of the snapshot if no entry follows it.
func (memoryJournal *MemoryJournal) LastIndex() scheduler.Index {
	memoryJournal.mutex.Lock()
	defer memoryJournal.mutex.Unlock()
	return memoryJournal.log.lastIndex()
}

// Term returns the term of the entry at index, which may also be the index of the snapshot.
func (memoryJournal *MemoryJournal) Term(index scheduler.Index) (scheduler.Term, error) {
	memoryJournal.mutex.Lock()
	defer memoryJournal.mutex.Unlock()
	return memoryJournal.log.term(index)
}

// Entries returns the entries from low to high inclusive, limited to maxBytes of data but at least one
// entry. The caller must not modify their data.
func (memoryJournal *MemoryJournal) Entries(low, high scheduler.Index, maxBytes int) ([]scheduler.Entry, error) {
	memoryJournal.mutex.Lock()
	defer memoryJournal.mutex.Unlock()
	return memoryJournal.log.entriesBetween(low, high, maxBytes)
}

// Append truncates the log from the first of the entries on and adds them. It keeps a reference to the
// entries' data instead of copying it.
func (memoryJournal *MemoryJournal) Append(entries []scheduler.Entry) error {
	memoryJournal.mutex.Lock()
	defer memoryJournal.mutex.Unlock()
	if memoryJournal.closed {
		return errClosed
	}
	if len(entries) == 0 {
		return nil
	}
	if err := memoryJournal.log.checkAppend(entries); err != nil {
		return err
	}
	memoryJournal.log.append(entries...)
	return nil
}

// Sync returns the last index. Memory needs no sync.
func (memoryJournal *MemoryJournal) Sync() (scheduler.Index, error) {
	memoryJournal.mutex.Lock()
	defer memoryJournal.mutex.Unlock()
	if memoryJournal.closed {
		return 0, errClosed
	}
	return memoryJournal.log.lastIndex(), nil
}

// SaveSnapshot stores a snapshot, whose contents write produces, and removes the entries that it covers
// except the last keep ones.
func (memoryJournal *MemoryJournal) SaveSnapshot(meta scheduler.SnapshotMeta, keep int, write func(w io.Writer) error) error {
	memoryJournal.mutex.Lock()
	closed, err := memoryJournal.closed, memoryJournal.log.checkSnapshot(meta, keep)
	memoryJournal.mutex.Unlock()
	if closed {
		return errClosed
	}
	if err != nil {
		return err
	}
	var buffer bytes.Buffer
	if err := write(&buffer); err != nil {
		return Error.New("write snapshot at %d: %w", meta.Index, err)
	}
	memoryJournal.mutex.Lock()
	defer memoryJournal.mutex.Unlock()
	first := memoryJournal.log.firstKept(meta, keep)
	if !memoryJournal.log.matches(meta) {
		memoryJournal.log.reset(meta.Index, meta.Term)
	}
	meta.Membership = slices.Clone(meta.Membership)
	memoryJournal.log.snapshot = meta
	memoryJournal.log.compact(first)
	memoryJournal.snapshot = buffer.Bytes()
	return nil
}

// OpenSnapshot returns the newest snapshot. ok is false if there is none.
func (memoryJournal *MemoryJournal) OpenSnapshot() (meta scheduler.SnapshotMeta, r io.ReadCloser, ok bool, err error) {
	memoryJournal.mutex.Lock()
	defer memoryJournal.mutex.Unlock()
	if memoryJournal.log.snapshot.Index == 0 {
		return meta, nil, false, nil
	}
	return memoryJournal.log.snapshot, io.NopCloser(bytes.NewReader(memoryJournal.snapshot)), true, nil
}

// Close closes the journal. Later writes fail.
func (memoryJournal *MemoryJournal) Close() error {
	memoryJournal.mutex.Lock()
	defer memoryJournal.mutex.Unlock()
	memoryJournal.closed = true
	return nil
}
