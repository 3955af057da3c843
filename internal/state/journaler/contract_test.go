package journaler

import (
	"bytes"
	"fmt"
	"io"
	"reflect"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var testIdentity = NewIdentity("couva-1", "couva", 7)

// entriesOf returns entries whose data is derived from index and term.
func entriesOf(term scheduler.Term, low, high scheduler.Index) (entries []scheduler.Entry) {
	for index := low; index <= high; index++ {
		data := bytes.Repeat(fmt.Appendf(nil, "%d/%d ", index, term), 1+int(index)%40)
		entries = append(entries, scheduler.Entry{Index: index, Term: term, Kind: scheduler.EntryCommand, Data: data})
	}
	return entries
}

func writeText(text string) func(w io.Writer) error {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("got error %v, want none", err)
	}
}

func mustAppend(t *testing.T, journal scheduler.Journal, term scheduler.Term, low, high scheduler.Index) {
	t.Helper()
	must(t, journal.Append(entriesOf(term, low, high)))
}

// contractCases are the requirements for every Journal. Each case starts with entries 1 to 20 of term 1.
var contractCases = map[string]func(t *testing.T, journal scheduler.Journal){
	// Guards against a follower that keeps entries which the new leader has replaced.
	"append truncates from its first index on": func(t *testing.T, journal scheduler.Journal) {
		mustAppend(t, journal, 2, 11, 12)
		wantLog(t, journal, append(entriesOf(1, 1, 10), entriesOf(2, 11, 12)...))
		if got, err := journal.Sync(); got != 12 || err != nil {
			t.Errorf("got sync %d, %v, want 12", got, err)
		}
	},
	// Guards against holes in the log.
	"append refuses a gap": func(t *testing.T, journal scheduler.Journal) {
		wantRefused(t, journal.Append(entriesOf(1, 22, 23)))
		entries := entriesOf(1, 21, 23)
		wantRefused(t, journal.Append([]scheduler.Entry{entries[0], entries[2]}))
		wantLog(t, journal, entriesOf(1, 1, 20))
	},
	// Guards against losing committed entries to a stale leader.
	"append refuses entries covered by the snapshot": func(t *testing.T, journal scheduler.Journal) {
		must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 15, Term: 1}, 5, writeText("state")))
		wantRefused(t, journal.Append(entriesOf(2, 15, 16)))
		wantLog(t, journal, entriesOf(1, 11, 20))
	},
	// Guards against messages that exceed the size limit, and against sending no entry at all.
	"entries are limited by size": func(t *testing.T, journal scheduler.Journal) {
		all := entriesOf(1, 1, 20)
		got, err := journal.Entries(3, 20, len(all[2].Data)+len(all[3].Data))
		if err != nil || !reflect.DeepEqual(got, all[2:4]) {
			t.Errorf("got %d entries, %v, want 2", len(got), err)
		}
		if got, err := journal.Entries(3, 20, 0); err != nil || len(got) != 1 {
			t.Errorf("got %d entries, %v, want 1", len(got), err)
		}
		_, err = journal.Entries(20, 21, 100)
		wantRefused(t, err)
	},
	// Guards against sending a follower entries after the snapshot with a wrong previous term.
	"snapshot keeps its term and the last entries": func(t *testing.T, journal scheduler.Journal) {
		must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 20, Term: 1, Membership: []byte("m")}, 0, writeText("state")))
		if got, err := journal.Term(20); got != 1 || err != nil || journal.FirstIndex() != 21 || journal.LastIndex() != 20 {
			t.Errorf("got term %d, %v, first %d, last %d, want 1, 21, 20", got, err, journal.FirstIndex(), journal.LastIndex())
		}
		mustAppend(t, journal, 3, 21, 22)
		wantLog(t, journal, entriesOf(3, 21, 22))
		wantSnapshot(t, journal, scheduler.SnapshotMeta{Index: 20, Term: 1, Membership: []byte("m")}, "state")
	},
	// Guards against combining the old log with a snapshot that another VM has sent.
	"snapshot ahead of the log replaces it": func(t *testing.T, journal scheduler.Journal) {
		must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 100, Term: 4}, 50, writeText("far")))
		mustAppend(t, journal, 4, 101, 103)
		wantLog(t, journal, entriesOf(4, 101, 103))
		wantSnapshot(t, journal, scheduler.SnapshotMeta{Index: 100, Term: 4}, "far")
	},
	// Guards against keeping entries of a deposed leader after a snapshot with another term.
	"snapshot of another term replaces the log": func(t *testing.T, journal scheduler.Journal) {
		must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 10, Term: 2}, 5, writeText("other")))
		wantLog(t, journal, nil)
		mustAppend(t, journal, 2, 11, 11)
		wantLog(t, journal, entriesOf(2, 11, 11))
	},
	// Guards against replacing a snapshot with an older one that arrives late.
	"older snapshot is refused": func(t *testing.T, journal scheduler.Journal) {
		must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 10, Term: 1}, 0, writeText("new")))
		wantRefused(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 10, Term: 1}, 0, writeText("old")))
		wantSnapshot(t, journal, scheduler.SnapshotMeta{Index: 10, Term: 1}, "new")
	},
	// Guards against entries being removed for a snapshot that does not exist.
	"failed snapshot changes nothing": func(t *testing.T, journal scheduler.Journal) {
		wantRefused(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 10, Term: 1}, 0,
			func(io.Writer) error { return io.ErrClosedPipe }))
		wantLog(t, journal, entriesOf(1, 1, 20))
		mustAppend(t, journal, 1, 21, 21)
	},
	// Guards against a snapshot that is truncated at a chunk boundary.
	"large snapshot is complete": func(t *testing.T, journal scheduler.Journal) {
		text := string(bytes.Repeat([]byte("0123456789"), 50_000))
		must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 10, Term: 1}, 0, writeText(text)))
		wantSnapshot(t, journal, scheduler.SnapshotMeta{Index: 10, Term: 1}, text)
	},
	// Guards against a lost vote.
	"hard state is kept": func(t *testing.T, journal scheduler.Journal) {
		want := scheduler.HardState{Term: 5, VotedFor: "couva-2", Incarnation: 7}
		must(t, journal.SaveHardState(want))
		if got := journal.HardState(); got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	},
}

func wantRefused(t *testing.T, err error) {
	t.Helper()
	if !Error.Has(err) || scheduler.ErrJournalFailed.Has(err) {
		t.Errorf("got error %v, want one of class journaler that is not final", err)
	}
}

func wantLog(t *testing.T, journal scheduler.Journal, want []scheduler.Entry) {
	t.Helper()
	var got []scheduler.Entry
	if journal.FirstIndex() <= journal.LastIndex() {
		var err error
		got, err = journal.Entries(journal.FirstIndex(), journal.LastIndex(), 1<<30)
		must(t, err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got entries %d to %d, want other %d entries", journal.FirstIndex(), journal.LastIndex(), len(want))
	}
}

func wantSnapshot(t *testing.T, journal scheduler.Journal, want scheduler.SnapshotMeta, wantText string) {
	t.Helper()
	meta, reader, ok, err := journal.OpenSnapshot()
	must(t, err)
	if !ok || !reflect.DeepEqual(meta, want) {
		t.Fatalf("got snapshot %v, %v, want %v", meta, ok, want)
	}
	text, err := io.ReadAll(reader)
	must(t, err)
	must(t, reader.Close())
	if string(text) != wantText {
		t.Errorf("got snapshot of %d bytes, want %d other bytes", len(text), len(wantText))
	}
}

func TestContract(t *testing.T) {
	for name, check := range contractCases {
		t.Run("memory/"+name, func(t *testing.T) {
			journal := NewMemoryJournal()
			mustAppend(t, journal, 1, 1, 20)
			check(t, journal)
			must(t, journal.Close())
			wantFinal(t, journal)
		})
		t.Run("folder/"+name, func(t *testing.T) {
			folder := t.TempDir()
			journal, err := Open(folder, testIdentity, WithSegmentBytes(500))
			must(t, err)
			mustAppend(t, journal, 1, 1, 20)
			check(t, journal)
			must(t, journal.Close())
			wantFinal(t, journal)
			wantSameAfterRestart(t, folder, journal)
		})
	}
}

// wantFinal checks that every write fails with a final error.
func wantFinal(t *testing.T, journal scheduler.Journal) {
	t.Helper()
	next := journal.LastIndex() + 1
	_, syncErr := journal.Sync()
	meta := scheduler.SnapshotMeta{Index: next, Term: 9}
	for name, err := range map[string]error{
		"append": journal.Append(entriesOf(9, next, next)), "sync": syncErr,
		"hard state": journal.SaveHardState(scheduler.HardState{}),
		"snapshot":   journal.SaveSnapshot(meta, 0, writeText("")),
	} {
		if !scheduler.ErrJournalFailed.Has(err) {
			t.Errorf("%s: got error %v, want one of class %q", name, err, scheduler.ErrJournalFailed)
		}
	}
}

func wantSameAfterRestart(t *testing.T, folder string, before *FolderJournal) {
	t.Helper()
	journal, err := Open(folder, NewIdentity("couva-1", "couva", 99))
	must(t, err)
	wantLog(t, journal, before.log.entries)
	if got, want := journal.FirstIndex(), before.log.firstIndex(); got != want {
		t.Errorf("got first index %d after restart, want %d", got, want)
	}
	if got := journal.HardState(); got != before.hardState || journal.Identity() != testIdentity {
		t.Errorf("got %v, %v after restart, want %v, %v", got, journal.Identity(), before.hardState, testIdentity)
	}
	must(t, journal.Close())
}
