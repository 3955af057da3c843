package journaler

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// logBytesOf returns the number of bytes that Append adds to the newest segment of a folder.
func logBytesOf(t *testing.T, folder string, write func()) int64 {
	t.Helper()
	before := segmentBytes(t, folder)
	write()
	return segmentBytes(t, folder) - before
}

func segmentBytes(t *testing.T, folder string) (bytes int64) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, "groups", "couva", "*"+segmentSuffix))
	must(t, err)
	for _, name := range names {
		info, err := os.Stat(name)
		must(t, err)
		bytes += info.Size()
	}
	return bytes
}

// Guards against a log whose growth since the last snapshot is not seen, or is reported too small.
func TestLogBytesCountFromTheLastSnapshot(t *testing.T) {
	tests := map[string]struct {
		// prepare runs before the counted entries 21 to 30 are written.
		prepare func(t *testing.T, journal *FolderJournal)
		// want is what is counted beside those entries: the first 20 entries, or nothing.
		wantFirst bool
	}{
		"no snapshot": {prepare: func(*testing.T, *FolderJournal) {}, wantFirst: true},
		"snapshot saved": {prepare: func(t *testing.T, journal *FolderJournal) {
			must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 20, Term: 1}, 5, writeText("state")))
		}},
		"snapshot refused": {prepare: func(t *testing.T, journal *FolderJournal) {
			wantRefused(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 20, Term: 1}, 5,
				func(io.Writer) error { return errDiskFull }))
		}, wantFirst: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			journal, err := Open(folder, testIdentity)
			must(t, err)
			defer func() { must(t, journal.Close()) }()
			first := logBytesOf(t, folder, func() { mustAppend(t, journal, 1, 1, 20) })
			test.prepare(t, journal)
			want := logBytesOf(t, folder, func() { mustAppend(t, journal, 1, 21, 30) })
			if test.wantFirst {
				want += first
			}
			if got := journal.LogBytes(); got != want {
				t.Errorf("got %d bytes of log, want %d", got, want)
			}
		})
	}
}

// Guards against a log that counts as empty after a restart, so that its disk fills before a snapshot is due.
func TestLogBytesIncludeTheLogThatWasRead(t *testing.T) {
	folder := t.TempDir()
	journal, err := Open(folder, testIdentity)
	must(t, err)
	written := logBytesOf(t, folder, func() { mustAppend(t, journal, 1, 1, 20) })
	must(t, journal.Close())
	journal, err = Open(folder, testIdentity)
	must(t, err)
	defer func() { must(t, journal.Close()) }()
	if got := journal.LogBytes(); got < written {
		t.Errorf("got %d bytes of log, want at least %d", got, written)
	}
}

// Guards against files that the usage leaves out, such as snapshots and temporary files.
func TestUsageCountsAllFiles(t *testing.T) {
	folder := t.TempDir()
	journal, err := Open(folder, testIdentity)
	must(t, err)
	defer func() { must(t, journal.Close()) }()
	mustAppend(t, journal, 1, 1, 20)
	must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 20, Term: 1}, 5, writeText("state")))
	must(t, os.WriteFile(filepath.Join(folder, "groups", "couva", "30"+snapshotSuffix+temporarySuffix), make([]byte, 4096), 0o600))
	want := int64(0)
	names, err := filepath.Glob(filepath.Join(folder, "groups", "couva", "*"))
	must(t, err)
	for _, name := range names {
		info, err := os.Stat(name)
		must(t, err)
		want += info.Size()
	}
	usage, err := journal.Usage()
	must(t, err)
	if got := usage.FolderBytes(); got != want {
		t.Errorf("got %d bytes, want %d", got, want)
	}
}
