package journaler

import (
	"io"
	"testing"

	"github.com/crocusplank/crocusplank/internal/state/budgeter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// growingLog appends entries at a steady rate to a journal on a disk of limited room and takes snapshots when they are
// due.
type growingLog struct {
	t             *testing.T
	fake          *fakeFileSystem
	journal       *FolderJournal
	budget        budgeter.Budget
	entryBytes    int
	snapshotBytes int
	// keep is the number of entries that are kept before a snapshot.
	keep    int
	applied scheduler.Index
}

// Entries per second of the largest domain, entries in one append, and entries between two snapshots.
const (
	entriesPerSecond = 1100
	entriesPerAppend = 110
	snapshotInterval = 10_000
)

// grow appends the entries of some seconds.
func (log *growingLog) grow(seconds int) {
	data := make([]byte, log.entryBytes)
	for range seconds * entriesPerSecond / entriesPerAppend {
		entries := make([]scheduler.Entry, entriesPerAppend)
		for position := range entries {
			log.applied++
			entries[position] = scheduler.Entry{Index: log.applied, Term: 1, Data: data}
		}
		must(log.t, log.journal.Append(entries))
	}
}

// isSnapshotDue applies the rule of the replicator.
func (log *growingLog) isSnapshotDue() bool {
	meta, reader, found, err := log.journal.OpenSnapshot()
	must(log.t, err)
	if found {
		must(log.t, reader.Close())
	}
	return log.applied-meta.Index >= snapshotInterval || log.journal.Usage().LogBytes() >= log.budget.LogBytes()
}

// save takes a snapshot during which the log grows for some seconds.
func (log *growingLog) save(seconds int) {
	keep := min(log.keep, int(log.budget.KeptBytes())/log.entryBytes)
	err := log.journal.SaveSnapshot(scheduler.SnapshotMeta{Index: log.applied, Term: 1}, keep, func(w io.Writer) error {
		chunk := make([]byte, log.snapshotBytes/seconds)
		for range seconds {
			if _, err := w.Write(chunk); err != nil {
				return err
			}
			log.grow(1)
		}
		return nil
	})
	must(log.t, err)
}

// TestLogThatGrowsForever guards against a log that fills the disk itself, also while a snapshot is being written, and
// against a folder that is larger than the bound that package budgeter states.
func TestLogThatGrowsForever(t *testing.T) {
	const room = 128_000_000
	tests := map[string]struct{ entryBytes, snapshotBytes, saveSeconds, total int }{
		"entries of ordinary size":     {600, 8_000_000, 4, 5 * room / 4},
		"large entries":                {4_000, 16_000_000, 2, 5 * room / 4},
		"slow disk, large snapshot":    {1_000, 24_000_000, 10, 5 * room / 4},
		"very large entries, slow too": {8_000, 8_000_000, 3, 5 * room / 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fake := newFakeFileSystem()
			fake.room = room
			budget := budgeter.New(room, 1)
			journal, err := open(fake, "/data", testIdentity, WithSegmentBytes(budget.SegmentBytes()))
			must(t, err)
			log := &growingLog{
				t: t, fake: fake, journal: journal, budget: budget, keep: 2000,
				entryBytes: test.entryBytes, snapshotBytes: test.snapshotBytes,
			}
			for int(log.applied)*test.entryBytes < test.total {
				log.grow(1)
				if log.isSnapshotDue() {
					log.save(test.saveSeconds)
				}
			}
			// Frames are larger than the data of entries. The log grows for a second before a snapshot can be found due.
			frameBytes := int64(test.entryBytes + 100)
			during := frameBytes * entriesPerSecond * int64(test.saveSeconds+1)
			bound := 2*int64(test.snapshotBytes+1<<16) + max(budget.LogBytes(), during) + budget.KeptBytes()*frameBytes/int64(test.entryBytes) +
				budget.SegmentBytes() + frameBytes*entriesPerAppend + during
			if got := int64(fake.peak); got > bound || got > room {
				t.Errorf("got a folder of %d bytes, want at most %d, in a room of %d", got, bound, room)
			}
			t.Logf("folder of at most %d bytes, bound %d", fake.peak, bound)
		})
	}
}
