package auditor

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("got error %v, want none", err)
	}
}

func testRecord(index uint64) scheduler.AuditRecord {
	return scheduler.AuditRecord{
		Index: index, Time: time.Date(2026, 12, 1, 8, 0, int(index), 0, time.UTC), Who: "operator-3", Action: "changeConfiguration",
		Base: index, ChangeID: fmt.Sprint("change-", index), Outcome: scheduler.AuditAccepted, Detail: "rule \"prompt\" <sizing>\nadded",
	}
}

// fill opens a trail with a small file size, appends records up to the index last, verifies the trail and closes it.
func fill(t testing.TB, folder string, last uint64) {
	t.Helper()
	trail, err := Open(folder, WithFileBytes(10_000))
	must(t, err)
	for head, _ := trail.Head(); head < last; head++ {
		got, err := trail.Append(testRecord(0))
		must(t, err)
		if got != head+1 {
			t.Fatalf("got index %d, want %d", got, head+1)
		}
	}
	must(t, trail.Verify())
	must(t, trail.Close())
}

// TestPaging guards against pages that skip or repeat records at the boundaries of files and index entries.
func TestPaging(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "audit")
	const last = 200
	for _, step := range []uint64{1, 64, 65, last} {
		fill(t, folder, step)
	}
	if names, err := fileNames(folder); err != nil || len(names) < 4 {
		t.Fatalf("got %d files, %v, want at least 4", len(names), err)
	}
	trail, err := Open(folder)
	must(t, err)
	for limit := 1; limit <= last+1; limit++ {
		var got []uint64
		for from := uint64(0); ; {
			page, next, err := trail.Read(from, limit)
			must(t, err)
			if len(page) == 0 {
				break
			}
			for _, record := range page {
				got = append(got, record.Index)
			}
			from = next
		}
		if len(got) != last || !slices.IsSorted(got) || got[0] != 1 || got[last-1] != last {
			t.Fatalf("limit %d: got %d records, want 1 to %d", limit, len(got), last)
		}
	}
	page, next, err := trail.Read(130, 1)
	want := testRecord(0)
	want.Index = 130
	if err != nil || next != 131 || !reflect.DeepEqual(page, []scheduler.AuditRecord{want}) {
		t.Errorf("got %v, next %d, %v, want %v", page, next, err, want)
	}
	must(t, trail.Close())
}

// TestTimeIsSet guards against records without a time.
func TestTimeIsSet(t *testing.T) {
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		trail, err := Open(folder)
		must(t, err)
		time.Sleep(time.Hour)
		_, err = trail.Append(scheduler.AuditRecord{Who: "operator-1"})
		must(t, err)
		page, _, err := trail.Read(1, 10)
		must(t, err)
		if got, want := page[0].Time, time.Now().UTC(); !got.Equal(want) {
			t.Errorf("got time %s, want %s", got, want)
		}
		must(t, trail.Close())
	})
}

// TestCorruption modifies a trail of 100 records in several files. Each case guards against a modification that is
// not detected, or that is reported at the wrong record.
func TestCorruption(t *testing.T) {
	// change modifies the lines of the second file. The first line is the header.
	cases := map[string]struct {
		change func(lines [][]byte) [][]byte
		want   uint64 // offset of the first corrupt record from the first record of the file
	}{
		"edited": {func(lines [][]byte) [][]byte {
			lines[3] = bytes.Replace(lines[3], []byte("operator-3"), []byte("operator-4"), 1)
			return lines
		}, 2},
		"edited spacing": {func(lines [][]byte) [][]byte {
			lines[3] = bytes.Replace(lines[3], []byte(`,"record"`), []byte(`, "record"`), 1)
			return lines
		}, 2},
		"edited with a new hash": {func(lines [][]byte) [][]byte {
			record := bytes.Replace(lines[3][len(`{"hash":"","record":`)+64:len(lines[3])-2], []byte("operator-3"), []byte("operator-4"), 1)
			previous, _ := parseLink(fmt.Appendf(nil, "{\"index\":0,\"hash\":%q}\n", lines[2][9:73]))
			lines[3] = recordLine(previous.next(record), record)
			return lines
		}, 3},
		"hash edited":    {func(lines [][]byte) [][]byte { lines[3][10] ^= 1; return lines }, 2},
		"removed":        {func(lines [][]byte) [][]byte { return slices.Delete(lines, 3, 4) }, 2},
		"repeated":       {func(lines [][]byte) [][]byte { return slices.Insert(lines, 3, lines[2]) }, 2},
		"reordered":      {func(lines [][]byte) [][]byte { lines[3], lines[4] = lines[4], lines[3]; return lines }, 2},
		"first removed":  {func(lines [][]byte) [][]byte { return slices.Delete(lines, 1, 2) }, 0},
		"header removed": {func(lines [][]byte) [][]byte { return lines[1:] }, 0},
		"header edited":  {func(lines [][]byte) [][]byte { lines[0][25] ^= 1; return lines }, 0},
		"end removed":    {func(lines [][]byte) [][]byte { return lines[:5] }, 4},
		"truncated line": {func(lines [][]byte) [][]byte { lines[5] = lines[5][:20]; return lines[:6] }, 4},
		"not JSON":       {func(lines [][]byte) [][]byte { lines[5] = []byte("{\n"); return lines }, 4},
		"long line":      {func(lines [][]byte) [][]byte { lines[5] = make([]byte, 2*maxRecordBytes); return lines }, 4},
		"empty":          {func([][]byte) [][]byte { return nil }, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			fill(t, folder, 100)
			names, err := fileNames(folder)
			must(t, err)
			data, err := os.ReadFile(names[1])
			must(t, err)
			lines := bytes.SplitAfter(data, []byte("\n"))
			start, _ := parseLink(lines[0])
			must(t, os.WriteFile(names[1], bytes.Join(test.change(lines), nil), 0o600))
			file := names[1]
			if name == "end removed" {
				file = names[2]
			}
			wantCorruption(t, folder, file, start.index+1+test.want)
		})
	}
}

// wantCorruption checks that Verify and Open report the first corrupt record and, unless file is empty, the
// file, and that Open modifies nothing.
func wantCorruption(t *testing.T, folder, file string, want uint64) {
	t.Helper()
	_, verifyErr := Verify(folder)
	_, openErr := Open(folder)
	_, againErr := Verify(folder)
	for name, err := range map[string]error{"verify": verifyErr, "open": openErr, "verify after open": againErr} {
		var corruptionError *CorruptionError
		if !errors.As(err, &corruptionError) || !Error.Has(err) {
			t.Fatalf("%s: got error %v, want a CorruptionError", name, err)
		}
		if corruptionError.Index() != want || file != "" && corruptionError.File() != file {
			t.Errorf("%s: got %v, want record %d in %s", name, err, want, file)
		}
	}
}

// TestFolderCorruption guards against removal of whole files, of the last record or of the head, and against a
// replaced head, that is not detected or is reported at the wrong record.
func TestFolderCorruption(t *testing.T) {
	cases := map[string]struct {
		change func(folder string, names []string) error
		want   func(names []string) uint64
	}{
		"first file removed":  {func(_ string, names []string) error { return os.Remove(names[0]) }, func([]string) uint64 { return 1 }},
		"second file removed": {func(_ string, names []string) error { return os.Remove(names[1]) }, firstOf(1)},
		"last file removed":   {func(_ string, names []string) error { return os.Remove(names[len(names)-1]) }, func(names []string) uint64 { return firstOf(len(names) - 1)(names) }},
		"last record removed": {func(_ string, names []string) error {
			name := names[len(names)-1]
			data, err := os.ReadFile(name)
			return errors.Join(err, os.WriteFile(name, data[:bytes.LastIndexByte(data[:len(data)-1], '\n')+1], 0o600))
		}, func([]string) uint64 { return 100 }},
		"head removed": {func(folder string, _ []string) error { return os.Remove(filepath.Join(folder, headName)) }, func([]string) uint64 { return 0 }},
		"head of another trail": {func(folder string, _ []string) error {
			return os.WriteFile(filepath.Join(folder, headName), link{index: 100}.line(), 0o600)
		}, func([]string) uint64 { return 100 }},
		"outdated head": {func(folder string, names []string) error {
			data, err := os.ReadFile(names[1])
			return errors.Join(err, os.WriteFile(filepath.Join(folder, headName), data[:bytes.IndexByte(data, '\n')+1], 0o600))
		}, func(names []string) uint64 { return firstOf(1)(names) + 1 }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			fill(t, folder, 100)
			names, err := fileNames(folder)
			must(t, err)
			must(t, test.change(folder, names))
			wantCorruption(t, folder, "", test.want(names))
		})
	}
}

// firstOf returns a function that returns the index of the first record of a file.
func firstOf(position int) func(names []string) uint64 {
	return func(names []string) (first uint64) {
		_, _ = fmt.Sscanf(strings.TrimLeft(filepath.Base(names[position]), "0"), "%d", &first)
		return first
	}
}

// TestInterruptedAppend guards against a trail that cannot be opened after a crash during an append, and against a
// lost or duplicated record. It truncates the file at each byte of the last record.
func TestInterruptedAppend(t *testing.T) {
	folder := t.TempDir()
	fill(t, folder, 10)
	before, err := os.ReadFile(filepath.Join(folder, headName))
	must(t, err)
	name := fileName(folder, 1)
	old, err := os.ReadFile(name)
	must(t, err)
	fill(t, folder, 11)
	whole, err := os.ReadFile(name)
	must(t, err)
	for size := len(old); size <= len(whole); size++ {
		must(t, os.WriteFile(name, whole[:size], 0o600))
		must(t, os.WriteFile(filepath.Join(folder, headName), before, 0o600))
		fill(t, folder, 11)
		if head, _, err := readHead(folder); head.index != 11 || err != nil {
			t.Fatalf("truncated at %d: got head %d, %v, want 11", size, head.index, err)
		}
		fill(t, folder, 12)
		if got, err := Verify(folder); got != 12 || err != nil {
			t.Fatalf("truncated at %d: got %d records, %v, want 12", size, got, err)
		}
	}
}

type failingFile struct{ failWrite, failSync error }

func (failingFile *failingFile) Write(data []byte) (int, error) {
	return len(data), failingFile.failWrite
}
func (failingFile *failingFile) Sync() error { return failingFile.failSync }
func (*failingFile) Close() error            { return nil }

// TestFailedWrite guards against a trail that accepts records after one that may or may not have been stored.
func TestFailedWrite(t *testing.T) {
	for name, failing := range map[string]*failingFile{
		"write": {failWrite: os.ErrClosed}, "sync": {failSync: os.ErrClosed},
	} {
		t.Run(name, func(t *testing.T) {
			trail, err := Open(t.TempDir())
			must(t, err)
			good := trail.file
			trail.file = failing
			_, first := trail.Append(testRecord(0))
			trail.file = good
			_, second := trail.Append(testRecord(0))
			if !scheduler.ErrJournalFailed.Has(first) || !scheduler.ErrJournalFailed.Has(second) {
				t.Errorf("got errors %v, %v, want two of class %q", first, second, scheduler.ErrJournalFailed)
			}
			must(t, trail.Close())
		})
	}
}

// TestLock guards against two processes that write the same trail.
func TestLock(t *testing.T) {
	folder := t.TempDir()
	trail, err := Open(folder)
	must(t, err)
	if _, err := Open(folder); !Error.Has(err) {
		t.Errorf("got error %v, want one of class auditor", err)
	}
	must(t, trail.Close())
	if _, err := trail.Append(testRecord(0)); !scheduler.ErrJournalFailed.Has(err) {
		t.Errorf("got error %v after close, want one of class %q", err, scheduler.ErrJournalFailed)
	}
}

// TestConcurrentUse guards against data races between Append, Read and Verify, against a Verify that reports a record
// that is being written as corrupt, and against a Read that stops at a file that has just been created.
func TestConcurrentUse(t *testing.T) {
	trail, err := Open(t.TempDir(), WithFileBytes(2000))
	must(t, err)
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			for range 50 {
				if _, err := trail.Append(testRecord(0)); err != nil {
					t.Errorf("got error %v, want none", err)
				}
			}
		})
		group.Go(func() {
			for range 20 {
				_, _, err := trail.Read(1, 1000)
				if err := errors.Join(err, trail.Verify()); err != nil {
					t.Errorf("got error %v, want none", err)
				}
			}
		})
	}
	group.Wait()
	if got, next, err := trail.Read(1, 1000); len(got) != 100 || next != 101 || err != nil {
		t.Errorf("got %d records, next %d, %v, want 100, 101", len(got), next, err)
	}
	must(t, trail.Close())
}

func BenchmarkAppend(b *testing.B) {
	trail, err := Open(b.TempDir())
	must(b, err)
	for b.Loop() {
		_, err := trail.Append(testRecord(0))
		must(b, err)
	}
	must(b, trail.Close())
}

func BenchmarkVerify(b *testing.B) {
	folder := b.TempDir()
	fill(b, folder, 10_000)
	for b.Loop() {
		_, err := Verify(folder)
		must(b, err)
	}
}
