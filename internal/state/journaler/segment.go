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

// segmentHeader is the first record of a segment. Previous and PreviousTerm identify the entry before the segment.
// Reset marks a segment that starts a new log after a snapshot from another VM has replaced the old log.
type segmentHeader struct {
	Number       uint64          `cbor:"number"`
	PreviousTerm scheduler.Term  `cbor:"previousTerm"`
	Previous     scheduler.Index `cbor:"previous"`
	Reset        bool            `cbor:"reset,omitempty"`
}

// segment is a log file. previous is the index of the entry before it, and lastIndex the highest index of any entry in it,
// including entries that later ones have replaced.
type segment struct {
	number    uint64
	previous  scheduler.Index
	lastIndex scheduler.Index
	size      int64
}

func (folder folder) segmentPath(number uint64) string {
	return folder.path(fmt.Sprintf("%020d%s", number, segmentSuffix))
}

// fileNumbers returns the numbers of the files with the given suffix in ascending order.
func fileNumbers(names map[string]bool, suffix string) []uint64 {
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

// read reads all segments. Only the last one may end in an incomplete write, which is truncated.
func (logReader *logReader) read(numbers []uint64) error {
	for position, number := range numbers {
		name := logReader.folder.segmentPath(number)
		data, err := logReader.folder.fileSystem.readFile(name)
		if err != nil {
			return Error.New("read %s: %w", name, err)
		}
		records, valid, err := readRecords(name, number, data)
		if err != nil {
			return err
		}
		isLast := position == len(numbers)-1
		if valid < int64(len(data)) && !isLast {
			return Error.New("%w: %s: incomplete record at offset %d, but later segments exist", ErrDamaged, name, valid)
		}
		if len(records) == 0 && isLast {
			return logReader.removeEmpty(name)
		}
		if err := logReader.addSegment(name, number, records); err != nil {
			return err
		}
		logReader.segments[len(logReader.segments)-1].size = valid
		if valid < int64(len(data)) {
			return logReader.truncateTail(name, valid)
		}
	}
	return nil
}

// addSegment adds the entries of one segment to the log.
func (logReader *logReader) addSegment(name string, number uint64, records []record) error {
	if len(records) == 0 || records[0].Segment == nil || records[0].Segment.Number != number {
		return Error.New("%w: %s: no segment header", ErrDamaged, name)
	}
	if err := logReader.applyHeader(name, records[0].Segment); err != nil {
		return err
	}
	current := segment{number: number, previous: records[0].Segment.Previous}
	for _, record := range records[1:] {
		if record.Entry == nil && record.Synced > 0 {
			continue // The sync marker that Close writes.
		}
		if record.Entry == nil {
			return Error.New("%w: %s: record without an entry", ErrDamaged, name)
		}
		if !logReader.addEntry(*record.Entry) {
			return Error.New("%w: %s: entry %d does not follow entry %d",
				ErrDamaged, name, record.Entry.Index, logReader.log.lastIndex())
		}
		current.lastIndex = max(current.lastIndex, record.Entry.Index)
	}
	logReader.segments = append(logReader.segments, current)
	return nil
}

// addEntry appends an entry and reports whether it fits into the log.
func (logReader *logReader) addEntry(entry scheduler.Entry) bool {
	log := logReader.log
	if entry.Index > log.lastIndex()+1 {
		return false
	}
	if entry.Index <= log.baseIndex {
		// The entry replaced entries in segments that the snapshot covers and that are removed.
		// The term of the entry before it is unknown, but the snapshot covers that entry too.
		if entry.Index == 0 || entry.Index > log.snapshot.Index {
			return false
		}
		log.reset(entry.Index-1, 0)
	}
	log.append(entry)
	return true
}

// applyHeader checks that a segment continues the previous one. After a gap, or in the first segment, the snapshot
// must cover the missing entries, and the log restarts at the segment. Gaps occur because covered segments are
// removed without a sync of the folder, so some of them can reappear after a crash.
func (logReader *logReader) applyHeader(name string, header *segmentHeader) error {
	log := logReader.log
	count := len(logReader.segments)
	follows := count > 0 && logReader.segments[count-1].number+1 == header.Number
	if follows && !header.Reset {
		if term, err := log.term(header.Previous); header.Previous != log.lastIndex() || err != nil || term != header.PreviousTerm {
			return Error.New("%w: %s: starts after entry %d, but the segment before ends with entry %d",
				ErrDamaged, name, header.Previous, log.lastIndex())
		}
		return nil
	}
	if header.Previous > log.snapshot.Index {
		return Error.New("%w: %s: starts after entry %d, but the entries from %d on are missing",
			ErrDamaged, name, header.Previous, max(log.snapshot.Index, log.lastIndex())+1)
	}
	log.reset(header.Previous, header.PreviousTerm)
	markObsolete(logReader.segments)
	return nil
}

// markObsolete marks segments that no longer contain entries of the log, so that they are removed.
func markObsolete(segments []segment) {
	for position := range segments {
		segments[position].lastIndex = 0
	}
}

// truncateTail removes an incomplete write from the end of the last segment. The truncation is synced when the
// segment is opened for writing.
func (logReader *logReader) truncateTail(name string, size int64) error {
	file, err := logReader.folder.fileSystem.openAppend(name)
	if err != nil {
		return Error.New("open %s: %w", name, err)
	}
	if err := errors.Join(file.Truncate(size), file.Close()); err != nil {
		return finalError("truncate "+name, err)
	}
	return nil
}

// removeEmpty removes the last segment if its creation was interrupted before its header was synced.
func (logReader *logReader) removeEmpty(name string) error {
	if err := logReader.folder.fileSystem.remove(name); err != nil {
		return Error.New("remove %s: %w", name, err)
	}
	if err := logReader.folder.fileSystem.syncFolder(logReader.folder.name); err != nil {
		return finalError("sync "+logReader.folder.name, err)
	}
	return nil
}
