package auditor

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// defaultFileBytes is the file size from which the trail rotates to a new file, about 25,000 records.
	defaultFileBytes = 8 << 20
	// indexInterval is the number of records between entries of the sparse index. Read starts at an entry.
	indexInterval = 64
	// maxPageRecords is the maximum number of records that a Read returns.
	maxPageRecords = 1000
)

// Option configures a Trail.
type Option func(trail *Trail)

// WithFileBytes sets the file size from which the trail rotates to a new file. The default is 8 MiB.
func WithFileBytes(bytes int64) Option {
	return func(trail *Trail) { trail.fileBytes = bytes }
}

// Trail is a scheduler.AuditTrail stored in a folder. It is safe for concurrent use. Its errors are of class Error;
// after one that is also of class scheduler.ErrJournalFailed, the trail accepts no further records until Reopen.
type Trail struct {
	folder    string
	fileBytes int64
	lock      io.Closer

	// mutex protects the fields below. It is held while a record is written.
	mutex    sync.Mutex
	file     file
	fileName string
	lines    int
	size     int64
	last     link
	entries  []indexEntry
	failed   error
}

var _ scheduler.AuditTrail = (*Trail)(nil)

// file is the part of os.File that a Trail uses.
type file interface {
	io.WriteCloser
	Sync() error
}

// indexEntry is an entry of the sparse index: the position in a file after the record of link or after the header
// line.
type indexEntry struct {
	link   link
	file   string
	line   int
	offset int64
}

// Open opens the trail in a folder, creates the folder if only its parent exists, and locks it until Close. It
// verifies all records; for a corrupt trail it returns a CorruptionError and does not modify the files. An
// incomplete last record, which was being written when the process ended and was never acknowledged, is truncated.
func Open(folder string, options ...Option) (*Trail, error) {
	if err := os.Mkdir(folder, 0o750); err != nil && !errors.Is(err, os.ErrExist) {
		return nil, Error.Wrap(err)
	}
	if err := syncFolder(filepath.Dir(folder)); err != nil {
		return nil, nonRetryable("sync "+filepath.Dir(folder), err)
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, Error.New("lock %s: %w", folder, err)
	}
	trail := &Trail{folder: folder, fileBytes: defaultFileBytes, lock: lock}
	for _, option := range options {
		option(trail)
	}
	if err := trail.load(); err != nil {
		return nil, Error.Wrap(errors.Join(err, lock.Close()))
	}
	return trail, nil
}

func (trail *Trail) load() error {
	if err := trail.createFiles(); err != nil {
		return err
	}
	// The names of files that a failed process or an earlier user of the folder has created may not be durable yet.
	if err := errors.Join(syncFolder(trail.folder), dropPages(trail.folder)); err != nil {
		return err
	}
	head, end, torn, err := scanFolder(trail.folder, trail.addEntry)
	if err != nil {
		return err
	}
	trail.fileName, trail.size, trail.lines, trail.last = end.file, end.offset, end.line, end.last
	file, err := os.OpenFile(filepath.Clean(end.file), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	if torn {
		err = file.Truncate(end.offset)
	}
	if err == nil {
		err = file.Sync()
	}
	if err == nil && end.last != head {
		err = trail.writeHead(end.last)
	}
	if err != nil {
		return nonRetryable("repair "+end.file, errors.Join(err, file.Close()))
	}
	trail.file = file
	return nil
}

// createFiles writes the first files of a new trail. The head is written last: a folder without a head is new if it
// has no records, and corrupt otherwise.
func (trail *Trail) createFiles() error {
	_, found, err := readHead(trail.folder)
	if err != nil || found {
		return err
	}
	names, err := fileNames(trail.folder)
	if err != nil {
		return err
	}
	first := fileName(trail.folder, 1)
	for _, name := range names {
		info, err := os.Stat(name)
		if err != nil {
			return err
		}
		if name != first || info.Size() > int64(len(link{}.line())) {
			return &CorruptionError{file: filepath.Join(trail.folder, headName), line: 1, reason: "missing, but records exist"}
		}
	}
	if err := writeFileAtomic(first, link{}.line()); err != nil {
		return nonRetryable("create "+first, err)
	}
	if err := trail.writeHead(link{}); err != nil {
		return nonRetryable("create the head in "+trail.folder, err)
	}
	return nil
}

func (trail *Trail) writeHead(head link) error {
	return writeFileAtomic(filepath.Join(trail.folder, headName), head.line())
}

// addEntry adds the position of a scanner to the sparse index at the start of a file and every indexInterval records.
func (trail *Trail) addEntry(scanner *scanner) {
	if scanner.line == 1 || scanner.last.index%indexInterval == 0 {
		trail.entries = append(trail.entries, indexEntry{
			link: scanner.last, file: scanner.file, line: scanner.line, offset: scanner.offset,
		})
	}
}

// Append stores a record durably and returns its index. It sets the record's index, and its time if that is zero.
// After an error of class scheduler.ErrJournalFailed the trail rejects further records until Reopen, since the last one
// may or may not have been stored; the next Reopen or Open recovers it if it was.
func (trail *Trail) Append(record scheduler.AuditRecord) (index uint64, err error) {
	trail.mutex.Lock()
	defer trail.mutex.Unlock()
	if trail.failed != nil {
		return 0, trail.failed
	}
	record.Index = trail.last.index + 1
	if record.Time.IsZero() {
		record.Time = time.Now()
	}
	record.Time = record.Time.UTC()
	data, err := json.Marshal(record)
	if err != nil {
		return 0, Error.New("encode record: %w", err)
	}
	next := trail.last.next(data)
	line := recordLine(next, data)
	if len(line) > maxRecordBytes {
		return 0, Error.New("record of %d bytes exceeds the limit of %d", len(line), maxRecordBytes)
	}
	if err := trail.write(next, line); err != nil {
		trail.failed = nonRetryable("append to "+trail.fileName, err)
		return 0, trail.failed
	}
	return record.Index, nil
}

// write syncs a line before it writes the head, so that the head never refers to a record that is not durable.
func (trail *Trail) write(next link, line []byte) error {
	if trail.size >= trail.fileBytes && trail.lines > 1 {
		if err := trail.rotate(); err != nil {
			return err
		}
	}
	if _, err := trail.file.Write(line); err != nil {
		return err
	}
	if err := trail.file.Sync(); err != nil {
		return err
	}
	if err := trail.writeHead(next); err != nil {
		return err
	}
	trail.last = next
	trail.size += int64(len(line))
	trail.lines++
	trail.addEntry(&scanner{file: trail.fileName, line: trail.lines, offset: trail.size, last: next})
	return nil
}

// rotate starts a new file. All records of the old file are synced already.
func (trail *Trail) rotate() error {
	name, start := fileName(trail.folder, trail.last.index+1), trail.last.line()
	if err := writeFileAtomic(name, start); err != nil {
		return err
	}
	file, err := os.OpenFile(filepath.Clean(name), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	before := trail.file
	trail.file, trail.fileName, trail.size, trail.lines = file, name, int64(len(start)), 1
	trail.addEntry(&scanner{file: name, line: 1, offset: trail.size, last: trail.last})
	return before.Close()
}

// Reopen makes a trail that has failed accept records again, once the disk does. It reads the files as Open does, so that
// an incomplete last record is truncated, and a complete one that was not acknowledged is kept. Head then tells whether
// the record of the failed Append was stored. After an error the trail stays as it was and Reopen may be called again.
func (trail *Trail) Reopen() error {
	trail.mutex.Lock()
	defer trail.mutex.Unlock()
	switch {
	case trail.lock == nil:
		return trail.failed
	case trail.failed == nil:
		return nil
	}
	next := &Trail{folder: trail.folder, fileBytes: trail.fileBytes}
	if err := next.load(); err != nil {
		return Error.Wrap(err)
	}
	// Nothing is lost with an error here: what the file contains was read back and synced.
	_ = trail.file.Close()
	trail.file, trail.fileName, trail.lines, trail.size = next.file, next.fileName, next.lines, next.size
	trail.last, trail.entries, trail.failed = next.last, next.entries, nil
	return nil
}

// Err returns the failure because of which the trail accepts no records, or nil.
func (trail *Trail) Err() error {
	trail.mutex.Lock()
	defer trail.mutex.Unlock()
	return trail.failed
}

// Head returns the index and the hash of the last record.
func (trail *Trail) Head() (index uint64, hash string) {
	trail.mutex.Lock()
	defer trail.mutex.Unlock()
	return trail.last.index, hex.EncodeToString(trail.last.hash[:])
}

// Verify verifies the whole trail. The error wraps a CorruptionError for the first corrupt record.
func (trail *Trail) Verify() error {
	trail.mutex.Lock()
	head := trail.last
	trail.mutex.Unlock()
	scan := &folderScan{head: head}
	if _, _, err := scan.run(trail.folder); err != nil {
		return Error.Wrap(err)
	}
	return nil
}

// Close closes the files and unlocks the folder. Append rejects records from then on.
func (trail *Trail) Close() error {
	trail.mutex.Lock()
	defer trail.mutex.Unlock()
	if trail.lock == nil {
		return nil
	}
	err := trail.file.Close()
	if trail.failed != nil {
		err = nil // The failure was reported by Append.
	}
	err = errors.Join(err, trail.lock.Close())
	trail.lock = nil
	if trail.failed == nil {
		trail.failed = scheduler.ErrJournalFailed.Wrap(Error.New("trail is closed"))
	}
	return Error.Wrap(err)
}
