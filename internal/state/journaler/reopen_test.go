package journaler

import (
	"math/rand/v2"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

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
	if !scheduler.ErrJournalFailed.Has(err) {
		t.Errorf("got error %v, want a final one", err)
	}
	wantReleased(t, fake, journal)
	fake.refused = nil
	journal, err = open(fake, "/data", testIdentity, WithSegmentBytes(700))
	must(t, err)
	wantLog(t, journal, entriesOf(1, 1, index-2))
}

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
