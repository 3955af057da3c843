package multiplexer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
)

// snapshotMagic is the header of a snapshot. It includes the version of the format.
const snapshotMagic = "crocusplank-multiplexer-1\n"

// chunkSize is the size of the chunks in which the state of a state machine is written. The length of a
// state is not known before it has been written, and buffering all of it would double the memory needed.
const chunkSize = 32 << 10

// Snapshot writes the states of all state machines in the order of their names.
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

// Restore replaces the states of all state machines. A state machine that is missing from the snapshot,
// because it was added in a later version of the program, restores from an empty reader. A state machine
// in the snapshot that is not registered is an error, because its state would be lost. After an error
// some state machines have their new state and others the old one, so the replica must not continue.
func (multiplexer *Multiplexer) Restore(r io.Reader) error {
	reader := bufio.NewReader(r)
	magic := make([]byte, len(snapshotMagic))
	if _, err := io.ReadFull(reader, magic); err != nil {
		return Error.New("read snapshot header: %w", err)
	}
	if string(magic) != snapshotMagic {
		return Error.New("unknown snapshot format %q", magic)
	}
	count, err := binary.ReadUvarint(reader)
	if err != nil {
		return Error.New("read number of state machines: %w", err)
	}
	restored := map[string]bool{}
	for range count {
		name, err := multiplexer.restoreMachine(reader)
		if err != nil {
			return err
		}
		if restored[name] {
			return Error.New("state machine %s is in the snapshot twice", name)
		}
		restored[name] = true
	}
	for _, name := range multiplexer.names {
		if restored[name] {
			continue
		}
		if err := multiplexer.machines[name].Restore(bytes.NewReader(nil)); err != nil {
			return Error.New("restore initial state of %s: %w", name, err)
		}
	}
	return nil
}

func (multiplexer *Multiplexer) restoreMachine(reader *bufio.Reader) (string, error) {
	length, err := binary.ReadUvarint(reader)
	if err != nil {
		return "", Error.New("read name of a state machine: %w", err)
	}
	if length > maxNameLength {
		return "", Error.New("name of a state machine has %d bytes", length)
	}
	raw := make([]byte, length)
	if _, err := io.ReadFull(reader, raw); err != nil {
		return "", Error.New("read name of a state machine: %w", err)
	}
	name := string(raw)
	machine, ok := multiplexer.machines[name]
	if !ok {
		return "", Error.New("snapshot contains the unknown state machine %s", name)
	}
	chunks := &chunkReader{reader: reader}
	if err := machine.Restore(chunks); err != nil {
		return "", Error.New("restore of %s: %w", name, err)
	}
	// A state machine may stop reading before the end of its state, for example if its decoder does not
	// read until the end of the stream.
	if _, err := io.Copy(io.Discard, chunks); err != nil {
		return "", Error.New("restore of %s: %w", name, err)
	}
	return name, nil
}

// chunkWriter writes the data of each call as a chunk with a length prefix. A chunk with length 0 terminates
// the state of a state machine.
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

// chunkReader reads the chunks that were written by chunkWriter, including the terminating one.
type chunkReader struct {
	reader    *bufio.Reader
	remaining uint64
	done      bool
}

func (reader *chunkReader) Read(data []byte) (int, error) {
	if reader.done {
		return 0, io.EOF
	}
	if reader.remaining == 0 {
		length, err := binary.ReadUvarint(reader.reader)
		if err != nil {
			return 0, unexpectedEOF(err)
		}
		if length == 0 {
			reader.done = true
			return 0, io.EOF
		}
		reader.remaining = length
	}
	n, err := reader.reader.Read(data[:min(uint64(len(data)), reader.remaining)])
	reader.remaining -= uint64(n)
	return n, unexpectedEOF(err)
}

// unexpectedEOF replaces io.EOF within the state of a state machine by io.ErrUnexpectedEOF, so that a
// truncated snapshot is not mistaken for a complete one.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
