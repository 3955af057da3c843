package journaler

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// logBytesOf returns the number of bytes that write adds to the segments of a folder.
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
		// wantFirst is true if the first segment with the entries 1 to 20 is counted beside those entries.
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
			mustAppend(t, journal, 1, 1, 20)
			first := segmentBytes(t, folder)
			test.prepare(t, journal)
			want := logBytesOf(t, folder, func() { mustAppend(t, journal, 1, 21, 30) })
			if test.wantFirst {
				want += first
			}
			if got := journal.Usage().LogBytes(); got != want {
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
	mustAppend(t, journal, 1, 1, 20)
	written := segmentBytes(t, folder)
	must(t, journal.Close())
	journal, err = Open(folder, testIdentity)
	must(t, err)
	defer func() { must(t, journal.Close()) }()
	if got := journal.Usage().LogBytes(); got < written {
		t.Errorf("got %d bytes of log, want at least %d", got, written)
	}
}

// Guards against files that the usage leaves out, such as snapshots and temporary files, and against a size that only
// grows.
func TestFolderBytesCountAllFiles(t *testing.T) {
	tests := map[string]func(t *testing.T, journal *FolderJournal){
		"new folder": func(*testing.T, *FolderJournal) {},
		"several segments": func(t *testing.T, journal *FolderJournal) {
			for first := scheduler.Index(1); first < 200; first += 20 {
				mustAppend(t, journal, 1, first, first+19)
			}
		},
		"snapshot that replaces segments": func(t *testing.T, journal *FolderJournal) {
			mustAppend(t, journal, 1, 1, 200)
			must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 200, Term: 1}, 5, writeText("state")))
		},
		"refused snapshot": func(t *testing.T, journal *FolderJournal) {
			wantRefused(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 20, Term: 1}, 5,
				func(io.Writer) error { return errDiskFull }))
		},
	}
	for name, write := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			journal, err := Open(folder, testIdentity, WithSegmentBytes(2048))
			must(t, err)
			defer func() { must(t, journal.Close()) }()
			write(t, journal)
			if got, want := journal.Usage().FolderBytes(), sizeOnDisk(t, folder); got != want {
				t.Errorf("got %d bytes, want %d", got, want)
			}
		})
	}
}

func sizeOnDisk(t *testing.T, folder string) (bytes int64) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, "groups", "couva", "*"))
	must(t, err)
	for _, name := range names {
		info, err := os.Stat(name)
		must(t, err)
		bytes += info.Size()
	}
	return bytes
}
