package journaler

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// TestRoomReturns refuses each kind of operation from each point on for some operations, closes the journal and opens
// it again in the same process until it succeeds. A power loss follows. It guards against a VM that needs another
// process to come back, and against one that loses what it has acknowledged.
func TestRoomReturns(t *testing.T) {
	faults := map[string]error{
		"write": errDiskFull, "sync": errSync, "create": errDiskFull, "rename": errDiskFull, "remove": errSync,
	}
	for kind, failure := range faults {
		t.Run(kind, func(t *testing.T) {
			for failAt, hit := 1, true; hit; failAt++ {
				for _, failCount := range []int{1, 2, 5} {
					random := rand.New(rand.NewPCG(uint64(failAt), uint64(failCount)))
					fake := newFakeFileSystem()
					fake.onlyKind, fake.failure, fake.failAt, fake.failCount = kind, failure, failAt, failCount
					hit = runUntilRoomReturns(t, fake, random)
				}
			}
		})
	}
}

func runUntilRoomReturns(t *testing.T, fake *fakeFileSystem, random *rand.Rand) (hit bool) {
	t.Helper()
	acknowledged := &acknowledged{terms: map[scheduler.Index]scheduler.Term{}, hardState: []scheduler.HardState{{}}}
	journal, err := open(fake, "/data", testIdentity, WithSegmentBytes(700))
	if err == nil {
		_ = acknowledged.run(journal)
		wantReleased(t, fake, journal)
	}
	for range fake.failCount + 1 {
		if journal, err = open(fake, "/data", testIdentity, WithSegmentBytes(700)); err == nil {
			break
		}
		if errors.Is(err, ErrDamaged) || fake.openFiles > 0 {
			t.Fatalf("got error %v and %d open files during the fault, want no damage and none", err, fake.openFiles)
		}
	}
	if err != nil {
		t.Fatalf("got error %v after the fault, want none", err)
	}
	hit = fake.operations >= fake.failAt
	acknowledged.check(t, journal)
	fake = fake.afterCrash(random)
	if journal, err = open(fake, "/data", testIdentity, WithSegmentBytes(700)); err != nil {
		t.Fatalf("got error %v after the power loss, want none", err)
	}
	acknowledged.check(t, journal)
	next := journal.LastIndex() + 1
	must(t, acknowledged.append(journal, 9, next, next+10, true))
	return hit
}

// wantReleased checks that Close releases the files and the lock, whatever happened before.
func wantReleased(t *testing.T, fake *fakeFileSystem, journal *FolderJournal) {
	t.Helper()
	failed := journal.failure != nil
	syncs := fake.syncsAfterFailure
	err := journal.Close()
	if failed && (err != nil || fake.syncsAfterFailure > syncs) {
		t.Fatalf("got error %v and %d syncs in Close after a failure, want none", err, fake.syncsAfterFailure-syncs)
	}
	if fake.openFiles > 0 || fake.locked["/data/groups/couva/lock"] {
		t.Fatalf("got %d open files, lock %v after Close, want none", fake.openFiles, fake.locked)
	}
}

// TestRefusedCreateThenClose guards against a Close that fails, or that keeps the lock, after a segment could not be
// created.
func TestRefusedCreateThenClose(t *testing.T) {
	fake := newFakeFileSystem()
	journal, err := open(fake, "/data", testIdentity, WithSegmentBytes(700))
	must(t, err)
	fake.refused = map[string]error{"create": errDiskFull}
	index := scheduler.Index(1)
	for ; err == nil; index++ {
		err = journal.Append(entriesOf(1, index, index))
	}
	if !scheduler.ErrJournalFailed.Has(err) || !errors.Is(err, ErrNoRoom) || errors.Is(err, ErrDamaged) {
		t.Errorf("got error %v, want a final one with %v", err, ErrNoRoom)
	}
	wantReleased(t, fake, journal)
	fake.refused = nil
	journal, err = open(fake, "/data", testIdentity, WithSegmentBytes(700))
	must(t, err)
	wantLog(t, journal, entriesOf(1, 1, index-2))
}

// TestPagesOfFailedSyncAreNotTrusted guards against a journal that is opened again and takes entries from the page
// cache for durable although the disk never got them.
func TestPagesOfFailedSyncAreNotTrusted(t *testing.T) {
	fake := newFakeFileSystem()
	journal, err := open(fake, "/data", testIdentity)
	must(t, err)
	mustAppend(t, journal, 1, 1, 10)
	_, err = journal.Sync()
	must(t, err)
	mustAppend(t, journal, 1, 11, 20)
	fake.refused = map[string]error{"sync": errSync}
	if _, err := journal.Sync(); !scheduler.ErrJournalFailed.Has(err) {
		t.Fatalf("got error %v, want a final one", err)
	}
	must(t, journal.Close())
	fake.refused = nil
	journal, err = open(fake, "/data", testIdentity)
	must(t, err)
	wantLog(t, journal, entriesOf(1, 1, 10))
	mustAppend(t, journal, 2, 11, 12)
	_, err = journal.Sync()
	must(t, err)
	after, err := open(fake.afterCrash(rand.New(rand.NewPCG(1, 1))), "/data", testIdentity)
	must(t, err)
	wantLog(t, after, append(entriesOf(1, 1, 10), entriesOf(2, 11, 12)...))
}

// TestNewFolderOnFullDisk guards against a full disk that is reported as a damaged folder, and against a folder that
// stays unusable after its creation was refused.
func TestNewFolderOnFullDisk(t *testing.T) {
	fake := newFakeFileSystem()
	fake.room = 1
	for range 2 {
		if _, err := open(fake, "/data", testIdentity); !errors.Is(err, ErrNoRoom) || errors.Is(err, ErrDamaged) {
			t.Errorf("got error %v, want %v", err, ErrNoRoom)
		}
	}
	fake.room = 0
	journal, err := open(fake, "/data", testIdentity)
	must(t, err)
	mustAppend(t, journal, 1, 1, 2)
}

// TestLeftoverTemporaryFiles guards against a temporary file of a refused write that makes the next write fail, or that
// stays and takes up room.
func TestLeftoverTemporaryFiles(t *testing.T) {
	fake := newFakeFileSystem()
	journal, err := open(fake, "/data", testIdentity)
	must(t, err)
	mustAppend(t, journal, 1, 1, 20)
	fake.refused = map[string]error{"write": errDiskFull, "remove": errSync}
	if err := journal.SaveHardState(scheduler.HardState{Term: 2}); err == nil || scheduler.ErrJournalFailed.Has(err) {
		t.Errorf("got error %v, want one that is not final", err)
	}
	err = journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 10, Term: 1}, 0, writeText("state"))
	if err == nil || scheduler.ErrJournalFailed.Has(err) || !errors.Is(err, ErrNoRoom) {
		t.Errorf("got error %v, want one with %v that is not final", err, ErrNoRoom)
	}
	fake.refused = nil
	must(t, journal.SaveHardState(scheduler.HardState{Term: 3}))
	must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 20, Term: 1}, 0, writeText("state")))
	left := fmt.Sprintf("/data/groups/couva/%s%s", snapshotName(10), temporarySuffix)
	if _, found := fake.current[left]; found {
		t.Errorf("got %s after the next snapshot, want it removed", left)
	}
}

// TestOpenOnFullDisk fills the disk after each step of a journal's life and opens the folder again. It guards against a
// VM that cannot start, and so cannot free space, because its disk is full.
func TestOpenOnFullDisk(t *testing.T) {
	fake := newFakeFileSystem()
	journal, err := open(fake, "/data", testIdentity, WithSegmentBytes(700))
	must(t, err)
	mustAppend(t, journal, 1, 1, 60)
	must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 30, Term: 1}, 0, writeText("state")))
	mustAppend(t, journal, 1, 61, 70)
	_, err = journal.Sync()
	must(t, err)
	fake.current["/data/groups/couva/hardState.temporary"] = &fakeFile{data: make([]byte, 20)}
	fake.current["/data/groups/couva/"+snapshotName(65)+temporarySuffix] = &fakeFile{data: make([]byte, 2000)}
	fake.refused = map[string]error{"write": errSync}
	if err := journal.Append(entriesOf(1, 71, 71)); !scheduler.ErrJournalFailed.Has(err) {
		t.Fatalf("got error %v, want a final one", err)
	}
	must(t, journal.Close())
	fake.refused, fake.room = nil, fake.used()
	journal, err = open(fake, "/data", testIdentity, WithSegmentBytes(700))
	must(t, err)
	wantLog(t, journal, entriesOf(1, 31, 70))
	must(t, journal.SaveHardState(scheduler.HardState{Term: 3, Incarnation: 7}))
	must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 70, Term: 1}, 0, writeText("state")))
	mustAppend(t, journal, 2, 71, 72)
}

// TestReplacedLogFreesRoomFirst installs a snapshot from another VM of which only the file was stored, on a full disk.
// It guards against a restart that needs room before it has removed what the snapshot makes obsolete.
func TestReplacedLogFreesRoomFirst(t *testing.T) {
	fake := newFakeFileSystem()
	journal, err := open(fake, "/data", testIdentity, WithSegmentBytes(700))
	must(t, err)
	for _, entry := range entriesOf(1, 1, 60) {
		must(t, journal.Append([]scheduler.Entry{entry}))
	}
	must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 30, Term: 1}, 0, writeText("old state")))
	err = journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 200, Term: 4}, 0, func(w io.Writer) error {
		fake.refused = map[string]error{"create": errDiskFull, "remove": errSync}
		return writeText("new state")(w)
	})
	if !scheduler.ErrJournalFailed.Has(err) {
		t.Fatalf("got error %v, want a final one", err)
	}
	must(t, journal.Close())
	fake.refused, fake.room = nil, fake.used()
	journal, err = open(fake, "/data", testIdentity, WithSegmentBytes(700))
	must(t, err)
	must(t, journal.Close())
	journal, err = open(fake, "/data", testIdentity, WithSegmentBytes(700))
	must(t, err)
	mustAppend(t, journal, 4, 201, 210)
	wantLog(t, journal, entriesOf(4, 201, 210))
}

// TestReplacedLongerLog installs a snapshot that contradicts a longer log and refuses the segment that follows. It guards
// against a folder that cannot be read because segments were removed before the new log had started.
func TestReplacedLongerLog(t *testing.T) {
	fake := newFakeFileSystem()
	journal, err := open(fake, "/data", testIdentity, WithSegmentBytes(700))
	must(t, err)
	for _, entry := range entriesOf(1, 1, 60) {
		must(t, journal.Append([]scheduler.Entry{entry}))
	}
	err = journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 30, Term: 4}, 0, func(w io.Writer) error {
		fake.refused = map[string]error{"create": errDiskFull}
		return writeText("state")(w)
	})
	if !scheduler.ErrJournalFailed.Has(err) {
		t.Fatalf("got error %v, want a final one", err)
	}
	must(t, journal.Close())
	fake.refused = nil
	for range 2 {
		journal, err = open(fake, "/data", testIdentity, WithSegmentBytes(700))
		must(t, err)
		if got, want := journal.LastIndex(), scheduler.Index(30); got != want {
			t.Errorf("got last index %d, want %d", got, want)
		}
		must(t, journal.Close())
	}
}
