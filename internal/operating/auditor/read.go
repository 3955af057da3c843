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

// Read returns up to limit records, at most 1000, from an index on, and the index to go on with. It
// returns no records at the end of the trail. It checks the hashes of what it reads.
func (trail *Trail) Read(from uint64, limit int) (records []scheduler.AuditRecord, next uint64, err error) {
	from = max(from, 1)
	trail.mutex.Lock()
	last, marks := trail.last.index, trail.marks
	trail.mutex.Unlock()
	if from > last || limit < 1 {
		return nil, from, nil
	}
	to := min(last, from+uint64(min(limit, maxPageRecords))-1)
	position := sort.Search(len(marks), func(number int) bool { return marks[number].link.index >= from }) - 1
	for len(records) == 0 || records[len(records)-1].Index < to {
		file := marks[position].file
		if records, err = readPage(records, marks[position], from, to); err != nil {
			return nil, from, Error.Wrap(err)
		}
		following := slices.IndexFunc(marks[position:], func(mark mark) bool { return mark.file != file })
		if following < 0 {
			break
		}
		position += following
	}
	return records, from + uint64(len(records)), nil
}

// readPage appends the wanted records of one file, from a mark on.
func readPage(records []scheduler.AuditRecord, mark mark, from, to uint64) (_ []scheduler.AuditRecord, err error) {
	file, err := os.Open(filepath.Clean(mark.file))
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if _, err := file.Seek(mark.offset, io.SeekStart); err != nil {
		return nil, err
	}
	scanner := newScanner(mark.file, file, mark.link)
	scanner.line = mark.line
	for scanner.last.index < to {
		record, err := scanner.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, errTorn) {
			return nil, scanner.damage("%v", err)
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
