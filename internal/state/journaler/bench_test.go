package journaler

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// benchEntries returns entries with 256 bytes of data each.
func benchEntries(low scheduler.Index, count int) []scheduler.Entry {
	entries := make([]scheduler.Entry, count)
	for position := range entries {
		entries[position] = scheduler.Entry{
			Index: low + scheduler.Index(position), Term: 1, Kind: scheduler.EntryCommand,
			Data: bytes.Repeat([]byte{byte(position)}, 256),
		}
	}
	return entries
}

func benchOpen(b *testing.B, folder string) *FolderJournal {
	b.Helper()
	journal, err := Open(folder, testIdentity)
	if err != nil {
		b.Fatal(err)
	}
	return journal
}

func BenchmarkGroupCommit(b *testing.B) {
	for _, count := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			journal := benchOpen(b, b.TempDir())
			for b.Loop() {
				if err := journal.Append(benchEntries(journal.LastIndex()+1, count)); err != nil {
					b.Fatal(err)
				}
				if _, err := journal.Sync(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N*count)/b.Elapsed().Seconds(), "entries/s")
			if err := journal.Close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}

func BenchmarkHardState(b *testing.B) {
	journal := benchOpen(b, b.TempDir())
	for b.Loop() {
		if err := journal.SaveHardState(scheduler.HardState{Term: 1, VotedFor: "couva-1"}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRestart opens a folder that contains entries. With a snapshot, the folder contains the last 1000
// entries and a snapshot of 1 MiB.
func BenchmarkRestart(b *testing.B) {
	for _, count := range []int{100, 10_000, 1_000_000} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/snapshot=%v", count, snapshot), func(b *testing.B) {
				folder := b.TempDir()
				fillFolder(b, folder, count, snapshot)
				for b.Loop() {
					if err := benchOpen(b, folder).Close(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(folderBytes(b, folder)), "bytes")
			})
		}
	}
}

func fillFolder(b *testing.B, folder string, count int, snapshot bool) {
	b.Helper()
	journal := benchOpen(b, folder)
	for int(journal.LastIndex()) < count {
		if err := journal.Append(benchEntries(journal.LastIndex()+1, 100)); err != nil {
			b.Fatal(err)
		}
	}
	if snapshot {
		meta := scheduler.SnapshotMeta{Index: journal.LastIndex(), Term: 1}
		if err := journal.SaveSnapshot(meta, 1000, writeText(string(make([]byte, 1<<20)))); err != nil {
			b.Fatal(err)
		}
	}
	if err := journal.Close(); err != nil {
		b.Fatal(err)
	}
}

func folderBytes(b *testing.B, folder string) (bytes int64) {
	b.Helper()
	names, err := filepath.Glob(filepath.Join(folder, "groups/couva/*"))
	if err != nil {
		b.Fatal(err)
	}
	for _, name := range names {
		info, err := os.Stat(name)
		if err != nil {
			b.Fatal(err)
		}
		bytes += info.Size()
	}
	return bytes
}
