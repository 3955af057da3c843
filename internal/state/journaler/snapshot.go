package journaler

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	snapshotSuffix = ".snapshot"
	// partBytes is the size of the parts that are checked one by one.
	partBytes = 64 << 10
)

// snapshotHeader is the first record of a snapshot file. First is the first index that the journal
// keeps after it; older entries that a segment still holds are ignored.
type snapshotHeader struct {
	Meta  scheduler.SnapshotMeta `cbor:"meta"`
	First scheduler.Index        `cbor:"first"`
}

// snapshotEnd is the last record of a snapshot file.
type snapshotEnd struct {
	Bytes int64 `cbor:"bytes"`
}

func snapshotName(index scheduler.Index) string {
	return fmt.Sprintf("%020d%s", index, snapshotSuffix)
}

func (folder folder) snapshotPath(index scheduler.Index) string {
	return folder.path(snapshotName(index))
}

// frameWriter writes records as frames.
type frameWriter struct {
	w      io.Writer
	offset int64
	buffer []byte
}

func (frameWriter *frameWriter) writeRecord(record record) (err error) {
	frameWriter.buffer, err = appendFrame(frameWriter.buffer[:0], place{offset: frameWriter.offset}, record)
	if err != nil {
		return err
	}
	frameWriter.offset += int64(len(frameWriter.buffer))
	_, err = frameWriter.w.Write(frameWriter.buffer)
	return err
}

// partWriter writes what it gets as part records.
type partWriter struct {
	frames *frameWriter
	bytes  int64
}

func (partWriter *partWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		part := data[written:min(written+partBytes, len(data))]
		if err := partWriter.frames.writeRecord(record{Part: part}); err != nil {
			return written, err
		}
		written += len(part)
		partWriter.bytes += int64(len(part))
	}
	return written, nil
}

// writeSnapshot writes a whole snapshot file.
func writeSnapshot(w io.Writer, header snapshotHeader, write func(w io.Writer) error) error {
	frames := &frameWriter{w: w}
	if err := frames.writeRecord(record{Snapshot: &header}); err != nil {
		return err
	}
	parts := &partWriter{frames: frames}
	buffered := bufio.NewWriterSize(parts, partBytes)
	if err := write(buffered); err != nil {
		return err
	}
	if err := buffered.Flush(); err != nil {
		return err
	}
	return frames.writeRecord(record{End: &snapshotEnd{Bytes: parts.bytes}})
}

// snapshotReader returns the contents of a snapshot file and checks each part before it hands it out.
type snapshotReader struct {
	file   io.ReadCloser
	name   string
	offset int64
	bytes  int64
	part   []byte
	done   bool
}

// openSnapshot opens a snapshot file and reads its header.
func (folder folder) openSnapshot(index scheduler.Index) (*snapshotReader, snapshotHeader, error) {
	name := folder.snapshotPath(index)
	file, err := folder.fileSystem.open(name)
	if err != nil {
		return nil, snapshotHeader{}, Error.New("open %s: %w", name, err)
	}
	reader := &snapshotReader{file: file, name: name}
	first, err := reader.next()
	if err == nil && (first.Snapshot == nil || first.Snapshot.Meta.Index != index) {
		err = Error.New("%w: %s: no snapshot header", ErrDamaged, name)
	}
	if err != nil {
		return nil, snapshotHeader{}, errors.Join(err, file.Close())
	}
	return reader, *first.Snapshot, nil
}

// next reads the next record.
func (snapshotReader *snapshotReader) next() (result record, err error) {
	at := place{offset: snapshotReader.offset}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+partBytes)
	if _, err := io.ReadFull(snapshotReader.file, frame); err != nil {
		return result, snapshotReader.damaged(err.Error())
	}
	length, _, ok := readHeader(at, frame)
	if !ok {
		return result, snapshotReader.damaged("invalid record")
	}
	frame = append(frame, make([]byte, length)...)
	if _, err := io.ReadFull(snapshotReader.file, frame[frameHeaderBytes:]); err != nil {
		return result, snapshotReader.damaged(err.Error())
	}
	result, size, ok := readFrame(at, frame)
	if !ok {
		return result, snapshotReader.damaged("invalid record")
	}
	snapshotReader.offset += int64(size)
	return result, nil
}

func (snapshotReader *snapshotReader) damaged(reason string) error {
	return Error.New("%w: %s: %s at offset %d", ErrDamaged, snapshotReader.name, reason, snapshotReader.offset)
}

// Read returns io.EOF only after the end record has confirmed that the snapshot is whole.
func (snapshotReader *snapshotReader) Read(buffer []byte) (int, error) {
	for len(snapshotReader.part) == 0 {
		if snapshotReader.done {
			return 0, io.EOF
		}
		next, err := snapshotReader.next()
		switch {
		case err != nil:
			return 0, err
		case next.End != nil && next.End.Bytes == snapshotReader.bytes:
			snapshotReader.done = true
		case next.Part == nil:
			return 0, snapshotReader.damaged("unexpected record")
		}
		snapshotReader.part = next.Part
		snapshotReader.bytes += int64(len(next.Part))
	}
	count := copy(buffer, snapshotReader.part)
	snapshotReader.part = snapshotReader.part[count:]
	return count, nil
}

// Close closes the file.
func (snapshotReader *snapshotReader) Close() error { return snapshotReader.file.Close() }

// loadSnapshot reads the header of the newest snapshot. found is false when there is none.
func (folder folder) loadSnapshot(names map[string]bool) (header snapshotHeader, found bool, err error) {
	numbers := numbersOf(names, snapshotSuffix)
	if len(numbers) == 0 {
		return header, false, nil
	}
	reader, header, err := folder.openSnapshot(scheduler.Index(numbers[len(numbers)-1]))
	if err != nil {
		return header, false, err
	}
	return header, true, reader.Close()
}
