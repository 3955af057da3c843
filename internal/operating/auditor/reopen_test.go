package auditor

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// refusingFile is a file that accepts only some bytes of a write, or refuses a sync.
type refusingFile struct {
	file
	accepted   int
	refuseSync bool
}

func (refusingFile *refusingFile) Write(data []byte) (int, error) {
	if refusingFile.accepted >= len(data) {
		return refusingFile.file.Write(data)
	}
	count, _ := refusingFile.file.Write(data[:refusingFile.accepted])
	return count, syscall.ENOSPC
}

func (refusingFile *refusingFile) Sync() error {
	if refusingFile.refuseSync {
		return syscall.EIO
	}
	return refusingFile.file.Sync()
}

// TestTrailAcceptsRecordsAgain refuses the write, the sync, the head or the next file of one record after another and opens
// the trail again in the same process. It guards against a trail that one refused write ends, and against records that
// are then lost, written twice or out of order.
func TestTrailAcceptsRecordsAgain(t *testing.T) {
	// Each fault makes the next Append fail and returns how to end the fault.
	faults := map[string]func(t *testing.T, trail *Trail) (end func()){
		"write": func(_ *testing.T, trail *Trail) func() {
			trail.file = &refusingFile{file: trail.file}
			return func() {}
		},
		"torn write": func(_ *testing.T, trail *Trail) func() {
			trail.file = &refusingFile{file: trail.file, accepted: 60}
			return func() {}
		},
		"sync": func(_ *testing.T, trail *Trail) func() {
			trail.file = &refusingFile{file: trail.file, accepted: maxRecordBytes, refuseSync: true}
			return func() {}
		},
		// A folder in the place of a temporary file refuses the create, as a full disk does.
		"head": func(t *testing.T, trail *Trail) func() {
			return blockFile(t, filepath.Join(trail.folder, headName))
		},
		"next file": func(t *testing.T, trail *Trail) func() {
			trail.size = trail.fileBytes
			return blockFile(t, fileName(trail.folder, trail.last.index+1))
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			trail, err := Open(folder, WithFileBytes(3000))
			must(t, err)
			const last = 40
			for index := uint64(1); index <= last; index++ {
				if trail.lines > 1 && trail.size < trail.fileBytes {
					end := fault(t, trail)
					if _, err := trail.Append(testRecord(0)); !scheduler.ErrJournalFailed.Has(err) {
						t.Fatalf("got error %v, want one of class %q", err, scheduler.ErrJournalFailed)
					}
					if _, err := trail.Append(testRecord(0)); !scheduler.ErrJournalFailed.Has(err) {
						t.Fatalf("got error %v before Reopen, want one of class %q", err, scheduler.ErrJournalFailed)
					}
					if err := trail.Reopen(); err != nil && !Error.Has(err) {
						t.Fatalf("got error %v, want none or one of class auditor", err)
					}
					end()
					must(t, trail.Reopen())
				}
				head, _ := trail.Head()
				if head != index && head != index-1 {
					t.Fatalf("got head %d after record %d was refused, want it or the one before", head, index)
				}
				if head < index {
					_, err := trail.Append(testRecord(0))
					must(t, err)
				}
			}
			must(t, trail.Verify())
			must(t, trail.Close())
			if got, err := Verify(folder); got != last || err != nil {
				t.Errorf("got %d records, %v, want %d", got, err, last)
			}
		})
	}
}

// blockFile makes it impossible to replace a file until the returned function is called.
func blockFile(t *testing.T, name string) (end func()) {
	t.Helper()
	must(t, os.Mkdir(name+temporarySuffix, 0o750))
	return func() { must(t, os.Remove(name+temporarySuffix)) }
}

// TestReopenAfterClose guards against a trail that is used after its folder was unlocked.
func TestReopenAfterClose(t *testing.T) {
	trail, err := Open(t.TempDir())
	must(t, err)
	must(t, trail.Reopen())
	must(t, trail.Close())
	if err := trail.Reopen(); !scheduler.ErrJournalFailed.Has(err) {
		t.Errorf("got error %v, want one of class %q", err, scheduler.ErrJournalFailed)
	}
}
