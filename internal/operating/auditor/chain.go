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

// maxRecordBytes limits the length of a line, so that a corrupt file cannot exhaust the memory.
const maxRecordBytes = 256 << 10

// errTorn means that a file ends with an incomplete line.
var errTorn = errors.New("the file ends with an incomplete record")

// link is the index and hash of a record in the hash chain. The zero value precedes the first record.
type link struct {
	index uint64
	hash  [sha256.Size]byte
}

// linkJSON is the JSON form of a link.
type linkJSON struct {
	Index uint64 `json:"index"`
	Hash  string `json:"hash"`
}

// line encodes a link as a line of a file.
func (link link) line() []byte {
	return fmt.Appendf(nil, "{\"index\":%d,\"hash\":\"%x\"}\n", link.index, link.hash)
}

// parseLink decodes a line that link.line encoded. It rejects any other encoding of the same link, so that every
// modification is detected.
func parseLink(line []byte) (link, bool) {
	var record linkJSON
	if json.Unmarshal(line, &record) != nil {
		return link{}, false
	}
	result := link{index: record.Index}
	hash, err := hex.DecodeString(record.Hash)
	copy(result.hash[:], hash)
	return result, err == nil && bytes.Equal(result.line(), line)
}

// next returns the link of the next record.
func (link link) next(record []byte) link {
	hash := sha256.New()
	hash.Write(link.hash[:])
	hash.Write(record)
	link.index++
	hash.Sum(link.hash[:0])
	return link
}

// recordLine encodes a record as a line of a file.
func recordLine(link link, record []byte) []byte {
	return fmt.Appendf(nil, "{\"hash\":\"%x\",\"record\":%s}\n", link.hash, record)
}

// scanner reads the records of one file and verifies their hash chain.
type scanner struct {
	reader *bufio.Reader
	file   string
	line   int
	offset int64
	last   link
}

// newScanner returns a scanner for a file whose first record follows last in the chain.
func newScanner(file string, r io.Reader, last link) *scanner {
	return &scanner{reader: bufio.NewReaderSize(r, 64<<10), file: file, last: last}
}

// readLine returns a line including its newline. It returns io.EOF at the end of the file and errTorn if the last
// line has no newline.
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
			return nil, scanner.corruption("line of more than %d bytes", maxRecordBytes)
		}
	}
}

// corruption returns a CorruptionError for the line that was read last.
func (scanner *scanner) corruption(format string, args ...any) error {
	return &CorruptionError{
		file: scanner.file, line: max(scanner.line, 1), index: scanner.last.index + 1, reason: fmt.Sprintf(format, args...),
	}
}

// readHeader reads the header line of a file, which must repeat the link of the last record in the previous file.
func (scanner *scanner) readHeader() error {
	line, err := scanner.readLine()
	if err != nil {
		return scanner.corruption("no header line: %v", err)
	}
	found, ok := parseLink(line)
	switch {
	case !ok:
		return scanner.corruption("invalid header line")
	case found.index != scanner.last.index:
		return scanner.corruption("the file continues after record %d, but the previous file ends with record %d", found.index, scanner.last.index)
	case found != scanner.last:
		return scanner.corruption("the hash in the header line differs from that of record %d", found.index)
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
		return record, scanner.corruption("invalid JSON: %v", err)
	}
	link := scanner.last.next(wrapped.Record)
	if !bytes.Equal(recordLine(link, wrapped.Record), line) {
		return record, scanner.corruption("the hash does not match the record and its predecessor")
	}
	if err := json.Unmarshal(wrapped.Record, &record); err != nil {
		return record, scanner.corruption("invalid record: %v", err)
	}
	if record.Index != link.index {
		return record, scanner.corruption("the record has index %d", record.Index)
	}
	scanner.last = link
	scanner.offset += int64(len(line))
	return record, nil
}
