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
	// chunkBytes is the maximum size of a chunk of snapshot data. Each chunk is a frame with its own checksum.
	chunkBytes = 64 << 10
)

// snapshotHeader is the first record of a snapshot file. First is the first index that the journal
// keeps with this snapshot; older entries that a segment still contains are ignored.
type snapshotHeader struct {
	Meta  scheduler.SnapshotMeta `cbor:"meta"`
	First scheduler.Index        `cbor:"first"`
}

// snapshotEnd is the last record of a snapshot file. Bytes is the total size of the snapshot data.
type snapshotEnd struct {
	Bytes int64 `cbor:"bytes"`
}

func snapshotName(index scheduler.Index) string {
	return fmt.Sprintf("%020d%s", index, snapshotSuffix)
}

func (folder folder) snapshotPath(index scheduler.Index) string {
	return folder.path(snapshotName(index))
}

// frameWriter encodes records as frames and writes them to w.
type frameWriter struct {
	w      io.Writer
	offset int64
	buffer []byte
}

func (frameWriter *frameWriter) writeRecord(record record) (err error) {
	frameWriter.buffer, err = appendFrame(frameWriter.buffer[:0], framePosition{offset: frameWriter.offset}, record)
	if err != nil {
		return err
	}
	frameWriter.offset += int64(len(frameWriter.buffer))
	_, err = frameWriter.w.Write(frameWriter.buffer)
	return err
}

// chunkWriter is an io.Writer that splits its input into chunk records.
type chunkWriter struct {
	frames     *frameWriter
	totalBytes int64
}

func (chunkWriter *chunkWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		chunk := data[written:min(written+chunkBytes, len(data))]
		if err := chunkWriter.frames.writeRecord(record{Chunk: chunk}); err != nil {
			return written, err
		}
		written += len(chunk)
		chunkWriter.totalBytes += int64(len(chunk))
	}
	return written, nil
}

// writeSnapshot writes a snapshot file: header, the data that write produces, and end record.
func writeSnapshot(w io.Writer, header snapshotHeader, write func(w io.Writer) error) error {
	frames := &frameWriter{w: w}
	if err := frames.writeRecord(record{Snapshot: &header}); err != nil {
		return err
	}
	chunks := &chunkWriter{frames: frames}
	buffered := bufio.NewWriterSize(chunks, chunkBytes)
	if err := write(buffered); err != nil {
		return err
	}
	if err := buffered.Flush(); err != nil {
		return err
	}
	return frames.writeRecord(record{End: &snapshotEnd{Bytes: chunks.totalBytes}})
}

// snapshotReader reads the contents of a snapshot file and verifies each chunk before returning its data.
type snapshotReader struct {
	file       io.ReadCloser
	name       string
	offset     int64
	totalBytes int64
	chunk      []byte
	done       bool
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

// next reads and verifies the next record.
func (snapshotReader *snapshotReader) next() (result record, err error) {
	position := framePosition{offset: snapshotReader.offset}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+chunkBytes)
	if err := snapshotReader.readFull(frame); err != nil {
		return result, err
	}
	length, _, ok := readHeader(position, frame)
	if !ok {
		return result, snapshotReader.damaged("invalid record")
	}
	frame = append(frame, make([]byte, length)...)
	if err := snapshotReader.readFull(frame[frameHeaderBytes:]); err != nil {
		return result, err
	}
	result, size, ok := readFrame(position, frame)
	if !ok {
		return result, snapshotReader.damaged("invalid record")
	}
	snapshotReader.offset += int64(size)
	return result, nil
}

// readFull fills the buffer. Only the end of the file is damage; any other error may pass.
func (snapshotReader *snapshotReader) readFull(buffer []byte) error {
	_, err := io.ReadFull(snapshotReader.file, buffer)
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return snapshotReader.damaged(err.Error())
	case err != nil:
		return Error.New("read %s: %w", snapshotReader.name, err)
	}
	return nil
}

func (snapshotReader *snapshotReader) damaged(reason string) error {
	return Error.New("%w: %s: %s at offset %d", ErrDamaged, snapshotReader.name, reason, snapshotReader.offset)
}

// Read returns io.EOF only after the end record has confirmed that the snapshot is complete.
func (snapshotReader *snapshotReader) Read(buffer []byte) (int, error) {
	for len(snapshotReader.chunk) == 0 {
		if snapshotReader.done {
			return 0, io.EOF
		}
		next, err := snapshotReader.next()
		switch {
		case err != nil:
			return 0, err
		case next.End != nil && next.End.Bytes == snapshotReader.totalBytes:
			snapshotReader.done = true
		case next.Chunk == nil:
			return 0, snapshotReader.damaged("unexpected record")
		}
		snapshotReader.chunk = next.Chunk
		snapshotReader.totalBytes += int64(len(next.Chunk))
	}
	count := copy(buffer, snapshotReader.chunk)
	snapshotReader.chunk = snapshotReader.chunk[count:]
	return count, nil
}

func (snapshotReader *snapshotReader) Close() error { return snapshotReader.file.Close() }

// loadSnapshot reads the header of the newest snapshot. found is false if there is none.
func (folder folder) loadSnapshot(names map[string]bool) (header snapshotHeader, found bool, err error) {
	numbers := fileNumbers(names, snapshotSuffix)
	if len(numbers) == 0 {
		return header, false, nil
	}
	reader, header, err := folder.openSnapshot(scheduler.Index(numbers[len(numbers)-1]))
	if err != nil {
		return header, false, err
	}
	return header, true, reader.Close()
}
