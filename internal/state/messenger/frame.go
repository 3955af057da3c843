package messenger

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

type frameType string

const (
	frameSend      frameType = "send"
	frameCall      frameType = "call"
	frameResponse  frameType = "answer"
	frameHeartbeat frameType = "heartbeat"
)

// errorClass is the class of a handler's error as transmitted to the calling VM.
type errorClass string

const (
	classNotRun  errorClass = "notRun"
	classUnknown errorClass = "unknown"
	classOther   errorClass = "other"
)

// frame is the envelope of all messages between VMs. It is a wire type.
type frame struct {
	Type  frameType             `cbor:"type"`
	Epoch uint64                `cbor:"epoch,omitempty"`
	ID    uint64                `cbor:"id,omitempty"`
	Kind  scheduler.MessageKind `cbor:"kind,omitempty"`
	Group scheduler.GroupName   `cbor:"group,omitempty"`
	Body  []byte                `cbor:"body,omitempty"`
	Error string                `cbor:"error,omitempty"`
	Class errorClass            `cbor:"class,omitempty"`
	// Closed is true if the error is also of class ErrConnectionClosed.
	Closed bool `cbor:"closed,omitempty"`

	// callRoute is the route of the call to which an outgoing response belongs. It is not sent.
	callRoute route
}

// setError stores a handler's error in a response.
func (frame *frame) setError(err error) {
	frame.Error, frame.Closed = err.Error(), scheduler.ErrConnectionClosed.Has(err)
	switch {
	case scheduler.ErrNotRun.Has(err):
		frame.Class = classNotRun
	case scheduler.ErrOutcomeUnknown.Has(err):
		frame.Class = classUnknown
	default:
		frame.Class = classOther
	}
}

// err returns the handler's error from a response, or nil if the handler succeeded.
func (frame *frame) err() error {
	cause := errors.New(frame.Error)
	if frame.Closed {
		cause = scheduler.ErrConnectionClosed.Wrap(cause)
	}
	switch frame.Class {
	case "":
		return nil
	case classNotRun:
		return scheduler.ErrNotRun.Wrap(cause)
	case classUnknown:
		return scheduler.ErrOutcomeUnknown.Wrap(cause)
	default:
		return Error.Wrap(cause)
	}
}

// maxBatchSize is the number of bytes from which on a batch is full and is written as one message. A single frame
// may be larger.
const maxBatchSize = 64 << 10

// receivedFrame is a frame with its number of bytes.
type receivedFrame struct {
	frame frame
	size  int
}

// frameReader reads the messages of a connection. It reuses one buffer for all of them.
type frameReader struct {
	socket            *websocket.Conn
	heartbeatInterval time.Duration
	buffer            messageBuffer
}

func newFrameReader(socket *websocket.Conn, heartbeatInterval time.Duration, budget *budget) *frameReader {
	return &frameReader{socket: socket, heartbeatInterval: heartbeatInterval, buffer: messageBuffer{budget: budget}}
}

// next reads the next message, which is a CBOR sequence, and returns its frames.
func (frameReader *frameReader) next(ctx context.Context) ([]receivedFrame, error) {
	// Without a timeout, a connection whose state the network has lost would block forever.
	ctx, cancel := context.WithTimeout(ctx, readTimeoutHeartbeats*frameReader.heartbeatInterval)
	defer cancel()
	_, message, err := frameReader.socket.Reader(ctx)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer frameReader.buffer.release()
	if err := frameReader.buffer.readFrom(message); err != nil {
		return nil, Error.Wrap(err)
	}
	return decodeFrames(frameReader.buffer.data)
}

// decodeFrames decodes the frames of a message. They share no memory with data.
func decodeFrames(data []byte) ([]receivedFrame, error) {
	var frames []receivedFrame
	for len(data) > 0 {
		var next frame
		rest, err := cbor.UnmarshalFirst(data, &next)
		if err != nil {
			return nil, Error.New("malformed frame: %v", err)
		}
		frames = append(frames, receivedFrame{frame: next, size: len(data) - len(rest)})
		data = rest
	}
	return frames, nil
}

// encodingMode writes frames into the buffer of a batch.
var encodingMode = func() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // Only invalid options can cause this, and they are constant.
	}
	return mode
}()

// batch collects encoded frames and writes them as one message, so that many small frames need one system call.
type batch struct {
	buffer  bytes.Buffer
	counter *counter
}

// add encodes a frame and counts it. If a frame cannot be encoded, its sender is at fault, and the error ends the
// connection.
func (batch *batch) add(outgoing frame) error {
	before := batch.buffer.Len()
	if err := encodingMode.MarshalToBuffer(outgoing, &batch.buffer); err != nil {
		return Error.Wrap(err)
	}
	key := routeOf(outgoing)
	if outgoing.Type == frameResponse {
		key = outgoing.callRoute
	}
	batch.counter.countSent(key, batch.buffer.Len()-before)
	return nil
}

func (batch *batch) full() bool { return batch.buffer.Len() >= maxBatchSize }

// write writes the frames of the batch as one message and resets the batch.
func (batch *batch) write(ctx context.Context, socket *websocket.Conn, heartbeatInterval time.Duration) error {
	if batch.buffer.Len() == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeoutHeartbeats*heartbeatInterval)
	defer cancel()
	err := socket.Write(ctx, websocket.MessageBinary, batch.buffer.Bytes())
	batch.buffer.Reset()
	return Error.Wrap(err)
}
