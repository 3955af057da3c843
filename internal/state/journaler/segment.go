package journaler

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const segmentSuffix = ".segment"

// segmentHeader is the first record of a segment. Reset marks a segment that starts a new log after a
// snapshot from another VM has replaced the old one.
type segmentHeader struct {
	Number       uint64          `cbor:"number"`
	PreviousTerm scheduler.Term  `cbor:"previousTerm"`
	Previous     scheduler.Index `cbor:"previous"`
	Reset        bool            `cbor:"reset,omitempty"`
}

// segment is a log file. Its last index is the highest of any entry in it, removed ones included.
type segment struct {
	number uint64
	last   scheduler.Index
	size   int64
}

func (folder folder) segmentPath(number uint64) string {
	return folder.path(fmt.Sprintf("%020d%s", number, segmentSuffix))
}

// numbersOf returns the numbers of the files with a suffix in ascending order.
func numbersOf(names map[string]bool, suffix string) []uint64 {
	var numbers []uint64
	for name := range names {
		digits, found := strings.CutSuffix(name, suffix)
		if number, err := strconv.ParseUint(digits, 10, 64); found && err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// logReader reads the segments of a folder into an entryLog.
type logReader struct {
	folder   folder
	log      *entryLog
	segments []segment
}

// read reads all segments. Only the last one may end in an incomplete write; that end is cut off.
func (logReader *logReader) read(numbers []uint64) error {
	for position, number := range numbers {
		name := logReader.folder.segmentPath(number)
		data, err := logReader.folder.fileSystem.readFile(name)
		if err != nil {
			return Error.New("read %s: %w", name, err)
		}
		records, valid, err := readAll(name, number, data)
		if err != nil {
			return err
		}
		isLast := position == len(numbers)-1
		if valid < int64(len(data)) && !isLast {
			return Error.New("%w: %s: incomplete record at offset %d, but later segments exist", ErrDamaged, name, valid)
		}
		if len(records) == 0 && isLast {
			return logReader.dropEmpty(name)
		}
		if err := logReader.add(name, number, records); err != nil {
			return err
		}
		logReader.segments[len(logReader.segments)-1].size = valid
		if valid < int64(len(data)) {
			return logReader.cut(name, valid)
		}
	}
	return nil
}

// add takes over the records of one segment.
func (logReader *logReader) add(name string, number uint64, records []record) error {
	if len(records) == 0 || records[0].Segment == nil || records[0].Segment.Number != number {
		return Error.New("%w: %s: no segment header", ErrDamaged, name)
	}
	if err := logReader.start(name, records[0].Segment); err != nil {
		return err
	}
	current := segment{number: number}
	for _, record := range records[1:] {
		if record.Entry == nil && record.Synced > 0 {
			continue // A mark of an orderly end.
		}
		if record.Entry == nil {
			return Error.New("%w: %s: record without an entry", ErrDamaged, name)
		}
		if !logReader.addEntry(*record.Entry) {
			return Error.New("%w: %s: entry %d does not follow entry %d",
				ErrDamaged, name, record.Entry.Index, logReader.log.last())
		}
		current.last = max(current.last, record.Entry.Index)
	}
	logReader.segments = append(logReader.segments, current)
	return nil
}

// addEntry adds an entry and reports whether it has a place in the log.
func (logReader *logReader) addEntry(entry scheduler.Entry) bool {
	log := logReader.log
	if entry.Index > log.last()+1 {
		return false
	}
	if entry.Index <= log.base {
		// The entry replaced others that were in segments which the snapshot covers and which
		// are removed. The term before it is not known, but the snapshot covers that too.
		if entry.Index == 0 || entry.Index > log.snapshot.Index {
			return false
		}
		log.reset(entry.Index-1, 0)
	}
	log.append(entry)
	return true
}

// start checks that a segment continues the ones before it. After a gap, or in the first segment, the
// snapshot must cover what is missing: segments that it covers are removed without a sync of the
// folder, so a crash can bring some of them back.
func (logReader *logReader) start(name string, header *segmentHeader) error {
	log := logReader.log
	count := len(logReader.segments)
	follows := count > 0 && logReader.segments[count-1].number+1 == header.Number
	if follows && !header.Reset {
		if term, err := log.term(header.Previous); header.Previous != log.last() || err != nil || term != header.PreviousTerm {
			return Error.New("%w: %s: starts after entry %d, but the segment before ends with entry %d",
				ErrDamaged, name, header.Previous, log.last())
		}
		return nil
	}
	if header.Previous > log.snapshot.Index {
		return Error.New("%w: %s: starts after entry %d, but the entries from %d on are missing",
			ErrDamaged, name, header.Previous, max(log.snapshot.Index, log.last())+1)
	}
	log.reset(header.Previous, header.PreviousTerm)
	markCovered(logReader.segments)
	return nil
}

// markCovered marks segments that hold no entry of the log any more.
func markCovered(segments []segment) {
	for position := range segments {
		segments[position].last = 0
	}
}

// cut removes an incomplete write from the end of the last segment, which is synced when it is opened
// for writing.
func (logReader *logReader) cut(name string, size int64) error {
	file, err := logReader.folder.fileSystem.openEnd(name)
	if err != nil {
		return Error.New("open %s: %w", name, err)
	}
	if err := errors.Join(file.Truncate(size), file.Close()); err != nil {
		return finalError("cut "+name, err)
	}
	return nil
}

// dropEmpty removes a last segment whose creation was interrupted before its header was synced.
func (logReader *logReader) dropEmpty(name string) error {
	if err := logReader.folder.fileSystem.remove(name); err != nil {
		return Error.New("remove %s: %w", name, err)
	}
	if err := logReader.folder.fileSystem.syncFolder(logReader.folder.name); err != nil {
		return finalError("sync "+logReader.folder.name, err)
	}
	return nil
}
