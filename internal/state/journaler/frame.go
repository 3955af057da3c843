package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// frameHeaderBytes is the size of a frame header: magic number, payload length, payload
	// checksum and header checksum, 4 bytes each, big-endian.
	frameHeaderBytes = 16
	// maxPayloadBytes limits the payload size, so that the length always fits the 32-bit header field.
	maxPayloadBytes = 1 << 30
	// endMarker is the last byte of each payload. It is not zero, so a final sector of zeros is
	// recognised as one that was never written.
	endMarker = 0x5e
	// sectorBytes is the smallest unit that a disk writes atomically.
	sectorBytes = 512
)

var (
	frameMagic = []byte{0xc5, 'p', 'l', 'k'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// record is the payload of a frame. At most one field other than Synced is set.
type record struct {
	Segment *segmentHeader   `cbor:"segment,omitempty"`
	Entry   *scheduler.Entry `cbor:"entry,omitempty"`
	// Synced is the offset up to which the segment was synced when the entry was written. It distinguishes
	// damage from a hole: a power loss keeps or drops each write after the last sync independently.
	Synced    int64                `cbor:"synced,omitempty"`
	HardState *scheduler.HardState `cbor:"hardState,omitempty"`
	Identity  *identityRecord      `cbor:"identity,omitempty"`
	Snapshot  *snapshotHeader      `cbor:"snapshot,omitempty"`
	Chunk     []byte               `cbor:"part,omitempty"`
	End       *snapshotEnd         `cbor:"end,omitempty"`
}

// framePosition is the file and offset of a frame. Segments are numbered from 1; other files use number 0.
type framePosition struct {
	number uint64
	offset int64
}

// checksum returns the CRC-32C of the position followed by the data.
func (framePosition framePosition) checksum(data []byte) uint32 {
	var prefix [16]byte
	binary.BigEndian.PutUint64(prefix[:8], framePosition.number)
	binary.BigEndian.PutUint64(prefix[8:], uint64(framePosition.offset))
	return crc32.Update(crc32.Checksum(prefix[:], castagnoli), castagnoli, data)
}

// appendFrame encodes a record as a frame for the given position and appends the frame to buffer.
func appendFrame(buffer []byte, framePosition framePosition, record record) ([]byte, error) {
	payload, err := cbor.Marshal(record)
	if err != nil {
		return nil, err
	}
	payload = append(payload, endMarker)
	if len(payload) > maxPayloadBytes {
		return nil, Error.New("record of %d bytes exceeds the limit of %d", len(payload), maxPayloadBytes)
	}
	start := len(buffer)
	buffer = append(buffer, frameMagic...)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.BigEndian.AppendUint32(buffer, framePosition.checksum(payload))
	buffer = binary.BigEndian.AppendUint32(buffer, framePosition.checksum(buffer[start:]))
	return append(buffer, payload...), nil
}

// readHeader returns the payload length and payload checksum if data starts with a valid frame header.
func readHeader(framePosition framePosition, data []byte) (length int, payloadChecksum uint32, ok bool) {
	if len(data) < frameHeaderBytes || !bytes.HasPrefix(data, frameMagic) {
		return 0, 0, false
	}
	if binary.BigEndian.Uint32(data[12:]) != framePosition.checksum(data[:12]) {
		return 0, 0, false
	}
	size := binary.BigEndian.Uint32(data[4:])
	return int(size), binary.BigEndian.Uint32(data[8:]), size <= maxPayloadBytes
}

// readFrame decodes the frame at the start of data and returns its record and its size.
func readFrame(framePosition framePosition, data []byte) (record record, size int, ok bool) {
	length, payloadChecksum, ok := readHeader(framePosition, data)
	if !ok || len(data)-frameHeaderBytes < length {
		return record, 0, false
	}
	payload := data[frameHeaderBytes : frameHeaderBytes+length]
	if length == 0 || framePosition.checksum(payload) != payloadChecksum ||
		cbor.Unmarshal(payload[:length-1], &record) != nil {
		return record, 0, false
	}
	return record, frameHeaderBytes + length, true
}

// readRecords decodes the frames of a file. It returns the records and the size of the valid prefix of the file.
// An incomplete write at the end is not an error; any other invalid data is reported as ErrDamaged.
func readRecords(name string, number uint64, data []byte) (records []record, valid int64, err error) {
	for valid < int64(len(data)) {
		position := framePosition{number: number, offset: valid}
		record, size, ok := readFrame(position, data[valid:])
		if !ok {
			return records, valid, checkTail(name, position, data)
		}
		records = append(records, record)
		valid += int64(size)
	}
	return records, valid, nil
}

// checkTail decides whether the bytes from an invalid frame on are writes that were never acknowledged, and
// returns ErrDamaged if they are not. They are damage if a later frame records a sync offset beyond the invalid
// frame. If no valid frame follows, they are damage if the frame has its full length, because a crash truncates a
// write or leaves parts of it zero, but does not flip bits.
func checkTail(name string, position framePosition, data []byte) error {
	next, synced, found := findFrame(position, data)
	switch {
	case found && synced > position.offset:
		return Error.New("%w: %s: invalid record at offset %d, which was synced, valid record follows at offset %d",
			ErrDamaged, name, position.offset, next)
	case !found && !isTorn(position, data):
		return Error.New("%w: %s: invalid record at offset %d", ErrDamaged, name, position.offset)
	}
	return nil
}

// findFrame searches for valid frames after the given position. It returns the offset of the first one and the
// highest sync offset that any of them records.
func findFrame(position framePosition, data []byte) (first, synced int64, found bool) {
	for offset := position.offset + 1; ; offset++ {
		next := bytes.Index(data[offset:], frameMagic)
		if next < 0 {
			return first, synced, found
		}
		offset += int64(next)
		record, _, ok := readFrame(framePosition{number: position.number, offset: offset}, data[offset:])
		if !ok {
			continue
		}
		if !found {
			first, found = offset, true
		}
		synced = max(synced, record.Synced)
	}
}

// isTorn reports whether the bytes from an invalid frame on look like writes that a power loss has dropped or
// torn. The part of a write that was not stored reads as zeros, or the file ends before it.
func isTorn(position framePosition, data []byte) bool {
	rest := data[position.offset:]
	if len(rest) <= frameHeaderBytes || hasZeroStart(rest) {
		return true
	}
	if length, _, ok := readHeader(position, rest); ok {
		end := frameHeaderBytes + length
		if len(rest) < end || rest[end-1] == 0 {
			return true
		}
	}
	return hasZeroEnd(data) || hasZeroSector(position.offset, data)
}

// hasZeroStart reports whether the first byte of a frame or of its payload is zero. Neither frameMagic nor a CBOR
// map begins with zero, and no single flipped bit turns their first byte into zero.
func hasZeroStart(frame []byte) bool {
	return frame[0] == 0 || frame[frameHeaderBytes] == 0
}

// hasZeroEnd reports whether the last byte is zero. Each frame ends with endMarker, and a write that is torn
// within a sector leaves zeros after the stored part. No single flipped bit turns endMarker into zero.
func hasZeroEnd(data []byte) bool {
	return len(data) > 0 && data[len(data)-1] == 0
}

// hasZeroSector reports whether any sector from offset on, or the part of the first one after offset, is all zero.
func hasZeroSector(offset int64, data []byte) bool {
	size := int64(len(data))
	for start := offset; start < size; {
		end := min(start-start%sectorBytes+sectorBytes, size)
		if len(bytes.Trim(data[start:end], "\x00")) == 0 {
			return true
		}
		start = end
	}
	return false
}
