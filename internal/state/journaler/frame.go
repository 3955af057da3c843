package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// frameHeaderBytes is the size of a frame's header: magic number, payload length, payload
	// checksum and header checksum, 4 bytes each, big-endian.
	frameHeaderBytes = 16
	// maxPayloadBytes bounds a payload, so that its length fits the header with room to spare.
	maxPayloadBytes = 1 << 30
	// endMark is the last byte of each payload. Because it is not zero, a last sector of zeros was
	// never written.
	endMark = 0x5e
	// sectorBytes is the smallest unit that a disk writes as a whole.
	sectorBytes = 512
)

var (
	frameMagic = []byte{0xc5, 'p', 'l', 'k'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// record is the payload of a frame. Exactly one field but Synced is set.
type record struct {
	Segment *segmentHeader   `cbor:"segment,omitempty"`
	Entry   *scheduler.Entry `cbor:"entry,omitempty"`
	// Synced is up to which offset the segment was synced when the entry was written. It tells damage from
	// a hole: a loss of power keeps or loses each write behind the last sync by itself.
	Synced    int64                `cbor:"synced,omitempty"`
	HardState *scheduler.HardState `cbor:"hardState,omitempty"`
	Identity  *identityRecord      `cbor:"identity,omitempty"`
	Snapshot  *snapshotHeader      `cbor:"snapshot,omitempty"`
	Part      []byte               `cbor:"part,omitempty"`
	End       *snapshotEnd         `cbor:"end,omitempty"`
}

// place is the position of a frame. Segments are numbered from 1; other files use number 0.
type place struct {
	number uint64
	offset int64
}

// checksum returns the CRC-32C of the place and the data.
func (place place) checksum(data []byte) uint32 {
	var prefix [16]byte
	binary.BigEndian.PutUint64(prefix[:8], place.number)
	binary.BigEndian.PutUint64(prefix[8:], uint64(place.offset))
	return crc32.Update(crc32.Checksum(prefix[:], castagnoli), castagnoli, data)
}

// appendFrame encodes a record for a place and appends its frame to buffer.
func appendFrame(buffer []byte, place place, record record) ([]byte, error) {
	payload, err := cbor.Marshal(record)
	if err != nil {
		return nil, err
	}
	payload = append(payload, endMark)
	if len(payload) > maxPayloadBytes {
		return nil, Error.New("record of %d bytes exceeds the limit of %d", len(payload), maxPayloadBytes)
	}
	start := len(buffer)
	buffer = append(buffer, frameMagic...)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.BigEndian.AppendUint32(buffer, place.checksum(payload))
	buffer = binary.BigEndian.AppendUint32(buffer, place.checksum(buffer[start:]))
	return append(buffer, payload...), nil
}

// readHeader returns the payload's length and checksum if data starts with a valid frame header.
func readHeader(place place, data []byte) (length int, sum uint32, ok bool) {
	if len(data) < frameHeaderBytes || !bytes.HasPrefix(data, frameMagic) {
		return 0, 0, false
	}
	if binary.BigEndian.Uint32(data[12:]) != place.checksum(data[:12]) {
		return 0, 0, false
	}
	size := binary.BigEndian.Uint32(data[4:])
	return int(size), binary.BigEndian.Uint32(data[8:]), size <= maxPayloadBytes
}

// readFrame returns the record at the start of data and the size of its frame.
func readFrame(place place, data []byte) (record record, size int, ok bool) {
	length, sum, ok := readHeader(place, data)
	if !ok || len(data)-frameHeaderBytes < length {
		return record, 0, false
	}
	payload := data[frameHeaderBytes : frameHeaderBytes+length]
	if length == 0 || place.checksum(payload) != sum || cbor.Unmarshal(payload[:length-1], &record) != nil {
		return record, 0, false
	}
	return record, frameHeaderBytes + length, true
}

// readAll reads the frames of a file. It returns the records and the size of the file's valid part.
// An incomplete write at the end is no fault; anything else that is not valid is ErrDamaged.
func readAll(name string, number uint64, data []byte) (records []record, valid int64, err error) {
	for valid < int64(len(data)) {
		at := place{number: number, offset: valid}
		record, size, ok := readFrame(at, data[valid:])
		if !ok {
			return records, valid, checkTail(name, at, data)
		}
		records = append(records, record)
		valid += int64(size)
	}
	return records, valid, nil
}

// checkTail decides whether the bytes from an invalid frame on are writes that were never acknowledged. They
// are not if a later frame states that its segment was synced beyond the invalid one. Where no valid frame
// follows, they are not if the frame is there in full length, since a crash leaves a write short or leaves
// whole sectors zero, but does not flip bits.
func checkTail(name string, at place, data []byte) error {
	next, synced, found := findFrame(at, data)
	switch {
	case found && synced > at.offset:
		return Error.New("%w: %s: invalid record at offset %d, which was synced, valid record follows at offset %d",
			ErrDamaged, name, at.offset, next)
	case !found && !isTorn(at, data):
		return Error.New("%w: %s: invalid record at offset %d", ErrDamaged, name, at.offset)
	}
	return nil
}

// findFrame looks for valid frames behind the one at a place. It returns the offset of the first one and the
// highest offset that any of them states as synced.
func findFrame(at place, data []byte) (first, synced int64, found bool) {
	for offset := at.offset + 1; ; offset++ {
		next := bytes.Index(data[offset:], frameMagic)
		if next < 0 {
			return first, synced, found
		}
		offset += int64(next)
		record, _, ok := readFrame(place{number: at.number, offset: offset}, data[offset:])
		if !ok {
			continue
		}
		if !found {
			first, found = offset, true
		}
		synced = max(synced, record.Synced)
	}
}

// isTorn reports whether the bytes from an invalid frame on look like writes that a loss of power has dropped or
// cut short. What was not stored of a write reads as zeros, or the file ends there.
func isTorn(at place, data []byte) bool {
	rest := data[at.offset:]
	if len(rest) <= frameHeaderBytes || hasZeroStart(rest) {
		return true
	}
	if length, _, ok := readHeader(at, rest); ok {
		end := frameHeaderBytes + length
		if len(rest) < end || rest[end-1] == 0 {
			return true
		}
	}
	return hasZeroEnd(data) || hasZeroSector(at.offset, data)
}

// hasZeroStart reports whether a frame begins with a zero, or its payload does. Neither frameMagic nor a CBOR map
// begins with one, and no flipped bit makes one of their first bytes.
func hasZeroStart(frame []byte) bool {
	return frame[0] == 0 || frame[frameHeaderBytes] == 0
}

// hasZeroEnd reports whether the last byte is zero. Each frame ends with endMark, and a write that is torn
// within a sector leaves zeros behind what it has stored. No flipped bit turns endMark into zero.
func hasZeroEnd(data []byte) bool {
	return len(data) > 0 && data[len(data)-1] == 0
}

// hasZeroSector reports whether a sector, or the part of it that lies behind offset, is all zero.
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
