package auditor

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// maxRecordBytes bounds a line, so that a damaged file cannot fill the memory.
const maxRecordBytes = 256 << 10

// errTorn means that a file ends within a line.
var errTorn = errors.New("the file ends within a record")

// link is the index and hash of a record; it is zero before the first one.
type link struct {
	index uint64
	hash  [sha256.Size]byte
}

// linkRecord is a link in a file.
type linkRecord struct {
	Index uint64 `json:"index"`
	Hash  string `json:"hash"`
}

// line returns a link as a line of a file.
func (link link) line() []byte {
	return fmt.Appendf(nil, "{\"index\":%d,\"hash\":\"%x\"}\n", link.index, link.hash)
}

// parseLink reads what line returns. It accepts no other form, so that each change is noticed.
func parseLink(line []byte) (link, bool) {
	var record linkRecord
	if json.Unmarshal(line, &record) != nil {
		return link{}, false
	}
	result := link{index: record.Index}
	hash, err := hex.DecodeString(record.Hash)
	copy(result.hash[:], hash)
	return result, err == nil && bytes.Equal(result.line(), line)
}

// next returns the link of a record that follows.
func (link link) next(record []byte) link {
	hash := sha256.New()
	hash.Write(link.hash[:])
	hash.Write(record)
	link.index++
	hash.Sum(link.hash[:0])
	return link
}

// recordLine returns a record as a line of a file.
func recordLine(link link, record []byte) []byte {
	return fmt.Appendf(nil, "{\"hash\":\"%x\",\"record\":%s}\n", link.hash, record)
}

// scanner reads the records of one file and checks their chain.
type scanner struct {
	reader *bufio.Reader
	file   string
	line   int
	offset int64
	last   link
}

// newScanner returns a scanner for a file that follows the record of a link.
func newScanner(file string, r io.Reader, last link) *scanner {
	return &scanner{reader: bufio.NewReaderSize(r, 64<<10), file: file, last: last}
}

// readLine returns a line with its end. It returns io.EOF at the end of the file and errTorn if the
// last line has no end.
func (scanner *scanner) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := scanner.reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			scanner.line++
			return line, nil
		case errors.Is(err, io.EOF) && len(line) > 0:
			return nil, errTorn
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(line) > maxRecordBytes:
			scanner.line++
			return nil, scanner.damage("line of more than %d bytes", maxRecordBytes)
		}
	}
}

// damage returns an error for the line that was read last.
func (scanner *scanner) damage(format string, args ...any) error {
	return &CorruptionError{
		file: scanner.file, line: max(scanner.line, 1), index: scanner.last.index + 1, reason: fmt.Sprintf(format, args...),
	}
}

// start reads the first line of a file, which must repeat the link before its first record.
func (scanner *scanner) start() error {
	line, err := scanner.readLine()
	if err != nil {
		return scanner.damage("no start line: %v", err)
	}
	found, ok := parseLink(line)
	switch {
	case !ok:
		return scanner.damage("invalid start line")
	case found.index != scanner.last.index:
		return scanner.damage("the file continues record %d, but the one before ends with record %d", found.index, scanner.last.index)
	case found != scanner.last:
		return scanner.damage("the start line has another hash than record %d", found.index)
	}
	scanner.offset += int64(len(line))
	return nil
}

// next returns the next record, or io.EOF.
func (scanner *scanner) next() (record scheduler.AuditRecord, err error) {
	line, err := scanner.readLine()
	if err != nil {
		return record, err
	}
	var wrapped struct {
		Hash   string          `json:"hash"`
		Record json.RawMessage `json:"record"`
	}
	if err := json.Unmarshal(line, &wrapped); err != nil {
		return record, scanner.damage("invalid JSON: %v", err)
	}
	link := scanner.last.next(wrapped.Record)
	if !bytes.Equal(recordLine(link, wrapped.Record), line) {
		return record, scanner.damage("the hash does not match the record and the one before it")
	}
	if err := json.Unmarshal(wrapped.Record, &record); err != nil {
		return record, scanner.damage("invalid record: %v", err)
	}
	if record.Index != link.index {
		return record, scanner.damage("the record has index %d", record.Index)
	}
	scanner.last = link
	scanner.offset += int64(len(line))
	return record, nil
}
