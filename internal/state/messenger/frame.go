package messenger

import (
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
	case scheduler.ErrUnknown.Has(err):
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
		return scheduler.ErrUnknown.New("%s", frame.Error)
	default:
		return Error.New("%s", frame.Error)
	}
}

// readFrame returns a frame with its number of bytes.
func readFrame(ctx context.Context, socket *websocket.Conn, heartbeat time.Duration) (frame, int, error) {
	// Without a limit a connection that the network has forgotten would block for ever.
	ctx, cancel := context.WithTimeout(ctx, silenceLimit*heartbeat)
	defer cancel()
	_, data, err := socket.Read(ctx)
	if err != nil {
		return frame{}, 0, Error.Wrap(err)
	}
	var received frame
	if err := cbor.Unmarshal(data, &received); err != nil {
		return frame{}, 0, Error.New("malformed frame: %v", err)
	}
	return received, len(data), nil
}

func writeFrame(ctx context.Context, socket *websocket.Conn, outgoing frame, counter *counter, heartbeat time.Duration) error {
	data, err := cbor.Marshal(outgoing)
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeLimit*heartbeat)
	defer cancel()
	counted := routeOf(outgoing)
	if outgoing.Type == frameAnswer {
		counted = outgoing.answers
	}
	counter.sent(counted, len(data))
	return Error.Wrap(socket.Write(ctx, websocket.MessageBinary, data))
}
