package replicator

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// sizedJournal is a fakeJournal that counts the bytes of its log since the last snapshot.
type sizedJournal struct {
	*fakeJournal
	logBytes int64
}

func (journal *sizedJournal) Append(entries []scheduler.Entry) error {
	journal.set(func() {
		for _, entry := range entries {
			journal.logBytes += int64(len(entry.Data))
		}
	})
	return journal.fakeJournal.Append(entries)
}

func (journal *sizedJournal) SaveSnapshot(meta scheduler.SnapshotMeta, keep int, write func(io.Writer) error) error {
	journal.set(func() { journal.logBytes = 0 })
	return journal.fakeJournal.SaveSnapshot(meta, keep, write)
}

func (journal *sizedJournal) Usage() (usage scheduler.JournalUsage) {
	journal.set(func() { usage = scheduler.NewJournalUsage(journal.logBytes, journal.logBytes) })
	return usage
}

func (journal *sizedJournal) snapshotIndex() scheduler.Index {
	meta, _, _, _ := journal.OpenSnapshot()
	return meta.Index
}

// Guards against a log of few but large entries that fills the disk before the next snapshot is due, and against
// snapshots that are taken although nothing new was applied.
func TestSnapshotDueByBytes(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const limit, keepBytes, size = 100_000, 20_000, 5_000
		journal := &sizedJournal{fakeJournal: &fakeJournal{}}
		replicator := startSingle(t, journal, WithLogLimit(limit, keepBytes))
		defer func() { _ = replicator.Close(t.Context()) }()
		for number := range 200 {
			command := fmt.Sprint(number, strings.Repeat("x", size))
			if _, err := replicator.Propose(t.Context(), []byte(command)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(tickInterval)
			if got, most := journal.Usage().LogBytes(), int64(limit+2*size+1000); got > most {
				t.Fatalf("log after %d entries: got %d bytes, want at most %d", number, got, most)
			}
		}
		time.Sleep(time.Second)
		kept := journal.snapshotIndex() + 1 - journal.FirstIndex()
		if kept < 1 || kept > keepBytes/size {
			t.Errorf("entries kept before the snapshot: got %d, want 1 to %d", kept, keepBytes/size)
		}
		journal.set(func() { journal.logBytes = limit })
		index := journal.snapshotIndex()
		time.Sleep(time.Minute)
		if got, most := journal.snapshotIndex(), index+keepBytes/size+limit/size; got > most {
			t.Errorf("snapshot of an idle group: got index %d, want at most %d", got, most)
		}
	})
}
