package messenger

import (
	"bytes"
	"context"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

type frameType string

const (
	frameSend      frameType = "send"
	frameCall      frameType = "call"
	frameAnswer    frameType = "answer"
	frameHeartbeat frameType = "heartbeat"
)

// errorClass carries the class of a handler's error to the caller's side.
type errorClass string

const (
	classNotRun  errorClass = "notRun"
	classUnknown errorClass = "unknown"
	classOther   errorClass = "other"
)

// frame is the envelope of every message between VMs. It is a wire type.
type frame struct {
	Type  frameType             `cbor:"type"`
	Epoch uint64                `cbor:"epoch,omitempty"`
	ID    uint64                `cbor:"id,omitempty"`
	Kind  scheduler.MessageKind `cbor:"kind,omitempty"`
	Group scheduler.GroupName   `cbor:"group,omitempty"`
	Body  []byte                `cbor:"body,omitempty"`
	Error string                `cbor:"error,omitempty"`
	Class errorClass            `cbor:"class,omitempty"`

	// answers is the route of the call that an outgoing answer belongs to. It is not sent.
	answers route
}

// setError stores a handler's error in an answer.
func (frame *frame) setError(err error) {
	frame.Error = err.Error()
	switch {
	case scheduler.ErrNotRun.Has(err):
		frame.Class = classNotRun
	case scheduler.ErrOutcomeUnknown.Has(err):
		frame.Class = classUnknown
	default:
		frame.Class = classOther
	}
}

// err returns the handler's error that an answer carries, nil when the handler succeeded.
func (frame *frame) err() error {
	switch frame.Class {
	case "":
		return nil
	case classNotRun:
		return scheduler.ErrNotRun.New("%s", frame.Error)
	case classUnknown:
		return scheduler.ErrOutcomeUnknown.New("%s", frame.Error)
	default:
		return Error.New("%s", frame.Error)
	}
}

// maxBatchSize is how many bytes of frames a message carries before it is written. One larger frame is a message
// of its own.
const maxBatchSize = 64 << 10

// received is a frame with its number of bytes.
type received struct {
	frame frame
	size  int
}

// frameReader reads the messages of a connection into one buffer.
type frameReader struct {
	socket    *websocket.Conn
	heartbeat time.Duration
	buffer    bytes.Buffer
}

// next returns the frames of the next message, which is a CBOR sequence.
func (frameReader *frameReader) next(ctx context.Context) ([]received, error) {
	// Without a limit a connection that the network has forgotten would block for ever.
	ctx, cancel := context.WithTimeout(ctx, silenceLimit*frameReader.heartbeat)
	defer cancel()
	_, message, err := frameReader.socket.Reader(ctx)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	frameReader.buffer.Reset()
	if _, err := frameReader.buffer.ReadFrom(message); err != nil {
		return nil, Error.Wrap(err)
	}
	return decodeFrames(frameReader.buffer.Bytes())
}

// decodeFrames returns the frames of a message. They share no memory with it.
func decodeFrames(data []byte) ([]received, error) {
	var frames []received
	for len(data) > 0 {
		var next frame
		rest, err := cbor.UnmarshalFirst(data, &next)
		if err != nil {
			return nil, Error.New("malformed frame: %v", err)
		}
		frames = append(frames, received{frame: next, size: len(data) - len(rest)})
		data = rest
	}
	return frames, nil
}

// encoding writes frames into the buffer of a batch.
var encoding = func() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // Only a fault in the constant options can cause it.
	}
	return mode
}()

// batch collects encoded frames that are written as one message, so that many small frames cost one system call.
type batch struct {
	buffer  bytes.Buffer
	counter *counter
}

// add encodes a frame. A frame that cannot be encoded is an error of its sender and ends the connection.
func (batch *batch) add(outgoing frame) error {
	before := batch.buffer.Len()
	if err := encoding.MarshalToBuffer(outgoing, &batch.buffer); err != nil {
		return Error.Wrap(err)
	}
	counted := routeOf(outgoing)
	if outgoing.Type == frameAnswer {
		counted = outgoing.answers
	}
	batch.counter.sent(counted, batch.buffer.Len()-before)
	return nil
}

func (batch *batch) full() bool { return batch.buffer.Len() >= maxBatchSize }

// write sends the frames that were added and empties the batch.
func (batch *batch) write(ctx context.Context, socket *websocket.Conn, heartbeat time.Duration) error {
	if batch.buffer.Len() == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeLimit*heartbeat)
	defer cancel()
	err := socket.Write(ctx, websocket.MessageBinary, batch.buffer.Bytes())
	batch.buffer.Reset()
	return Error.Wrap(err)
}
