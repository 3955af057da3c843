package multiplexer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
)

// snapshotMagic opens a snapshot and names the version of its format.
const snapshotMagic = "crocusplank-multiplexer-1\n"

// chunkSize is the size of the parts in which a machine's state is written. The length of a state is
// not known before it has been written, and buffering it whole would double the memory needed.
const chunkSize = 32 << 10

// Snapshot writes the state of all machines, one after another in the order of their names.
func (multiplexer *Multiplexer) Snapshot(w io.Writer) error {
	if _, err := io.WriteString(w, snapshotMagic); err != nil {
		return Error.Wrap(err)
	}
	if _, err := w.Write(binary.AppendUvarint(nil, uint64(len(multiplexer.names)))); err != nil {
		return Error.Wrap(err)
	}
	for _, name := range multiplexer.names {
		if err := multiplexer.writeMachine(w, name); err != nil {
			return Error.New("snapshot of %s: %w", name, err)
		}
	}
	return nil
}

func (multiplexer *Multiplexer) writeMachine(w io.Writer, name string) error {
	header := binary.AppendUvarint(nil, uint64(len(name)))
	if _, err := w.Write(append(header, name...)); err != nil {
		return err
	}
	buffer := bufio.NewWriterSize(chunkWriter{w: w}, chunkSize)
	if err := multiplexer.machines[name].Snapshot(buffer); err != nil {
		return err
	}
	if err := buffer.Flush(); err != nil {
		return err
	}
	_, err := w.Write([]byte{0})
	return err
}

// Restore replaces the state of all machines. A machine that the snapshot does not contain, because
// it was added by a later version of the program, restores from an empty reader. A machine in the
// snapshot that is not registered is an error, since its state would be lost. After an error some
// machines have their new state and others their old one; the replica must not continue.
func (multiplexer *Multiplexer) Restore(r io.Reader) error {
	reader := bufio.NewReader(r)
	magic := make([]byte, len(snapshotMagic))
	if _, err := io.ReadFull(reader, magic); err != nil {
		return Error.New("snapshot header: %w", err)
	}
	if string(magic) != snapshotMagic {
		return Error.New("unknown snapshot format %q", magic)
	}
	count, err := binary.ReadUvarint(reader)
	if err != nil {
		return Error.New("number of machines: %w", err)
	}
	restored := map[string]bool{}
	for range count {
		name, err := multiplexer.restoreNext(reader)
		if err != nil {
			return err
		}
		if restored[name] {
			return Error.New("machine %s is in the snapshot twice", name)
		}
		restored[name] = true
	}
	for _, name := range multiplexer.names {
		if restored[name] {
			continue
		}
		if err := multiplexer.machines[name].Restore(bytes.NewReader(nil)); err != nil {
			return Error.New("empty state of %s: %w", name, err)
		}
	}
	return nil
}

func (multiplexer *Multiplexer) restoreNext(reader *bufio.Reader) (string, error) {
	length, err := binary.ReadUvarint(reader)
	if err != nil {
		return "", Error.New("name of a machine: %w", err)
	}
	if length > maxNameLength {
		return "", Error.New("name of a machine has %d bytes", length)
	}
	raw := make([]byte, length)
	if _, err := io.ReadFull(reader, raw); err != nil {
		return "", Error.New("name of a machine: %w", err)
	}
	name := string(raw)
	machine, ok := multiplexer.machines[name]
	if !ok {
		return "", Error.New("snapshot holds the unknown state machine %s", name)
	}
	chunks := &chunkReader{reader: reader}
	if err := machine.Restore(chunks); err != nil {
		return "", Error.New("restore of %s: %w", name, err)
	}
	// A machine may stop before the end of its state, for example when its decoder does not read
	// up to the end of the stream.
	if _, err := io.Copy(io.Discard, chunks); err != nil {
		return "", Error.New("restore of %s: %w", name, err)
	}
	return name, nil
}

// chunkWriter writes each call's data with its length in front. The length 0 ends a machine's state.
type chunkWriter struct{ w io.Writer }

func (writer chunkWriter) Write(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	if _, err := writer.w.Write(binary.AppendUvarint(nil, uint64(len(data)))); err != nil {
		return 0, err
	}
	return writer.w.Write(data)
}

// chunkReader reads what chunkWriter wrote up to and including the length 0.
type chunkReader struct {
	reader *bufio.Reader
	left   uint64
	ended  bool
}

func (reader *chunkReader) Read(data []byte) (int, error) {
	if reader.ended {
		return 0, io.EOF
	}
	if reader.left == 0 {
		length, err := binary.ReadUvarint(reader.reader)
		if err != nil {
			return 0, cutOff(err)
		}
		if length == 0 {
			reader.ended = true
			return 0, io.EOF
		}
		reader.left = length
	}
	n, err := reader.reader.Read(data[:min(uint64(len(data)), reader.left)])
	reader.left -= uint64(n)
	return n, cutOff(err)
}

// cutOff turns the end of the whole snapshot inside a machine's state into an error, so that a
// machine cannot mistake a truncated snapshot for a complete one.
func cutOff(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
