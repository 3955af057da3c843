package auditor

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sort"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Read returns up to limit records, at most 1000, starting at the index from, and the index of the next record. It
// returns no records at the end of the trail. It verifies the hashes of the records that it reads.
func (trail *Trail) Read(from uint64, limit int) (records []scheduler.AuditRecord, next uint64, err error) {
	from = max(from, 1)
	trail.mutex.Lock()
	last, entries := trail.last.index, trail.entries
	trail.mutex.Unlock()
	if from > last || limit < 1 {
		return nil, from, nil
	}
	to := min(last, from+uint64(min(limit, maxPageRecords))-1)
	position := sort.Search(len(entries), func(number int) bool { return entries[number].link.index >= from }) - 1
	for len(records) == 0 || records[len(records)-1].Index < to {
		file := entries[position].file
		if records, err = readPage(records, entries[position], from, to); err != nil {
			return nil, from, Error.Wrap(err)
		}
		following := slices.IndexFunc(entries[position:], func(indexEntry indexEntry) bool { return indexEntry.file != file })
		if following < 0 {
			break
		}
		position += following
	}
	return records, from + uint64(len(records)), nil
}

// readPage appends the records of one file whose index is from or higher, up to index to. It starts reading at
// indexEntry.
func readPage(records []scheduler.AuditRecord, indexEntry indexEntry, from, to uint64) (_ []scheduler.AuditRecord, err error) {
	file, err := os.Open(filepath.Clean(indexEntry.file))
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if _, err := file.Seek(indexEntry.offset, io.SeekStart); err != nil {
		return nil, err
	}
	scanner := newScanner(indexEntry.file, file, indexEntry.link)
	scanner.line = indexEntry.line
	for scanner.last.index < to {
		record, err := scanner.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, errTorn) {
			return nil, scanner.corruption("%v", err)
		}
		if err != nil {
			return nil, err
		}
		if record.Index >= from {
			records = append(records, record)
		}
	}
	return records, nil
}
