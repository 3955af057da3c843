package replicator

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeJournal is an in-memory Journal that tracks which of its entries are durable.
type fakeJournal struct {
	mutex     sync.Mutex
	hardState scheduler.HardState
	entries   []scheduler.Entry
	durable   []scheduler.Entry
	meta      scheduler.SnapshotMeta
	snapshot  []byte
	failed    bool
	failSync  bool
	// stalled blocks Sync until it is closed.
	stalled   chan struct{}
	syncDelay time.Duration
	// saveDelay is how long SaveSnapshot takes.
	saveDelay time.Duration
	// refuseSave is the error with which SaveSnapshot fails without changing the journal, or nil. refusedSaves counts
	// these calls.
	refuseSave   error
	refusedSaves int
	syncs        int
	// faults are shared by the journals that are opened on the same disk one after the other.
	faults *diskFaults
	// syncLost is set by a failed sync: pages that were not written are then marked as written.
	syncLost bool
	// trustsPages makes a reopened journal report entries as durable that only the page cache contains.
	trustsPages bool
}

// diskFaults are the operations that a disk refuses.
type diskFaults struct {
	mutex                             sync.Mutex
	append, sync, hardState, snapshot bool
}

func (faults *diskFaults) set(change func()) {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	change()
}

// refuses reports whether the disk refuses the operation that refused selects.
func (faults *diskFaults) refuses(refused func(faults *diskFaults) bool) bool {
	if faults == nil {
		return false
	}
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	return refused(faults)
}

// errRefused is the error of a refused operation that leaves the journal as it was.
var errRefused = errors.New("no space left on device")

var errJournalFailed = scheduler.ErrJournalFailed.New("the journal has failed")

// crash fails the journal and returns the journal that a restart finds, with the durable entries and, at
// random, some of the entries that were not synced.
func (journal *fakeJournal) crash(random *rand.Rand) *fakeJournal {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.failed = true
	entries := slices.Clone(journal.durable)
	unsynced := journal.entries
	if random != nil && random.IntN(2) == 0 && len(entries) > 0 && len(unsynced) > len(entries) &&
		unsynced[0].Index == entries[0].Index && unsynced[len(entries)-1].Term == entries[len(entries)-1].Term {
		entries = slices.Clone(unsynced[:len(entries)+random.IntN(len(unsynced)-len(entries)+1)])
	}
	if len(entries) > 0 && entries[len(entries)-1].Index < journal.meta.Index {
		entries = nil
	}
	return &fakeJournal{
		hardState: journal.hardState, entries: entries, durable: slices.Clip(entries),
		meta: journal.meta, snapshot: journal.snapshot, syncDelay: journal.syncDelay, faults: journal.faults,
	}
}

// reopen returns the journal that is read back from the disk of a failed one. It fails while the disk refuses syncs.
func (journal *fakeJournal) reopen(random *rand.Rand, trustsPages bool) (*fakeJournal, error) {
	if journal.faults.refuses(func(faults *diskFaults) bool { return faults.sync }) {
		return nil, errRefused
	}
	journal.mutex.Lock()
	entries, durable, syncLost := slices.Clone(journal.entries), journal.durable, journal.syncLost
	journal.mutex.Unlock()
	if syncLost {
		random = nil
	}
	reopened := journal.crash(random)
	if trustsPages && syncLost {
		reopened.entries, reopened.durable, reopened.trustsPages = entries, durable, true
	}
	return reopened, nil
}

// set changes the injected faults of a journal that is in use.
func (journal *fakeJournal) set(change func()) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	change()
}

func (journal *fakeJournal) HardState() scheduler.HardState {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.hardState
}

func (journal *fakeJournal) SaveHardState(hardState scheduler.HardState) error {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if journal.failed {
		return errJournalFailed
	}
	if journal.faults.refuses(func(faults *diskFaults) bool { return faults.hardState }) {
		return errRefused
	}
	journal.hardState = hardState
	return nil
}

func (journal *fakeJournal) FirstIndex() scheduler.Index {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if len(journal.entries) == 0 {
		return journal.meta.Index + 1
	}
	return journal.entries[0].Index
}

func (journal *fakeJournal) LastIndex() scheduler.Index {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.lastIndex()
}

func (journal *fakeJournal) lastIndex() scheduler.Index {
	if len(journal.entries) == 0 {
		return journal.meta.Index
	}
	return journal.entries[len(journal.entries)-1].Index
}

func (journal *fakeJournal) Term(index scheduler.Index) (scheduler.Term, error) {
	if entries, err := journal.Entries(index, index, 1); err == nil {
		return entries[0].Term, nil
	}
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if index != journal.meta.Index {
		return 0, Error.New("no entry %d", index)
	}
	return journal.meta.Term, nil
}

func (journal *fakeJournal) Entries(low, high scheduler.Index, maxBytes int) ([]scheduler.Entry, error) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if len(journal.entries) == 0 || low < journal.entries[0].Index || high > journal.lastIndex() || low > high {
		return nil, Error.New("no entries %d to %d", low, high)
	}
	first := journal.entries[0].Index
	var entries []scheduler.Entry
	for _, entry := range journal.entries[low-first : high-first+1] {
		maxBytes -= len(entry.Data)
		if maxBytes < 0 && len(entries) > 0 {
			break
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

func (journal *fakeJournal) Append(entries []scheduler.Entry) error {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if journal.failed {
		return errJournalFailed
	}
	if keep := int(entries[0].Index) - int(journal.lastIndex()) - 1; keep < 0 {
		journal.entries = slices.Clone(journal.entries[:max(0, len(journal.entries)+keep)])
	} else if keep > 0 {
		return Error.New("gap between %d and %d", journal.lastIndex(), entries[0].Index)
	}
	if journal.faults.refuses(func(faults *diskFaults) bool { return faults.append }) {
		// A part of a refused write may reach the file.
		journal.entries = append(journal.entries, entries[:len(entries)/2]...)
		journal.failed = true
		return errJournalFailed
	}
	journal.entries = append(journal.entries, entries...)
	return nil
}

func (journal *fakeJournal) Sync() (scheduler.Index, error) {
	journal.mutex.Lock()
	entries, stalled, delay := slices.Clip(journal.entries), journal.stalled, journal.syncDelay
	journal.mutex.Unlock()
	if stalled != nil {
		<-stalled
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if journal.failed || journal.failSync || journal.faults.refuses(func(faults *diskFaults) bool { return faults.sync }) {
		journal.syncLost = journal.syncLost || !journal.failed
		journal.failed = true
		return 0, errJournalFailed
	}
	journal.syncs++
	if !journal.trustsPages {
		journal.durable = entries
	}
	if len(entries) == 0 {
		return journal.meta.Index, nil
	}
	return entries[len(entries)-1].Index, nil
}

func (journal *fakeJournal) SaveSnapshot(meta scheduler.SnapshotMeta, keep int, write func(io.Writer) error) error {
	journal.mutex.Lock()
	delay := journal.saveDelay
	journal.mutex.Unlock()
	time.Sleep(delay)
	buffer := &bytes.Buffer{}
	if err := write(buffer); err != nil {
		return err
	}
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if journal.failed {
		return errJournalFailed
	}
	if journal.refuseSave != nil {
		journal.refusedSaves++
		return journal.refuseSave
	}
	if journal.faults.refuses(func(faults *diskFaults) bool { return faults.snapshot }) {
		return errRefused
	}
	journal.meta, journal.snapshot = meta, buffer.Bytes()
	cut := func(entries []scheduler.Entry) []scheduler.Entry {
		if len(entries) > 0 && entries[len(entries)-1].Index < meta.Index {
			return nil
		}
		for len(entries) > 0 && entries[0].Index+scheduler.Index(keep) <= meta.Index {
			entries = entries[1:]
		}
		return entries
	}
	journal.entries, journal.durable = cut(journal.entries), cut(journal.durable)
	return nil
}

func (journal *fakeJournal) OpenSnapshot() (scheduler.SnapshotMeta, io.ReadCloser, bool, error) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	found := journal.meta.Index > 0
	return journal.meta, io.NopCloser(bytes.NewReader(journal.snapshot)), found, nil
}

func (journal *fakeJournal) Close() error { return nil }
