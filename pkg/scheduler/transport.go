package scheduler

import "context"

// MessageKind names the kind of a message between VMs, for example "append".
type MessageKind string

// Transport carries messages between the VMs of the system. It is safe for concurrent use.
type Transport interface {
	// Self returns the name of the local VM.
	Self() VMName
	// Send queues a message without waiting. It is dropped when the queue is full or the
	// connection is down; the sender's protocol must tolerate loss, delay and duplicates.
	Send(to VMName, group GroupName, kind MessageKind, body []byte)
	// Call sends a request and waits for the answer to exactly this request, until ctx ends or
	// the connection breaks. An error of class ErrNotRun means that the request was not sent.
	Call(ctx context.Context, to VMName, group GroupName, kind MessageKind, body []byte) ([]byte, error)
	// Handle registers the handler of a kind in a group. It is called before the transport
	// starts. The handler's result is returned to Call and ignored for Send. Handlers of
	// messages that came by Send from one VM run one after another, in order.
	Handle(group GroupName, kind MessageKind, handler MessageHandler)
}

// MessageHandler processes a message and returns the answer's body. Its error reaches the caller as
// text and class.
type MessageHandler func(ctx context.Context, from VMName, body []byte) ([]byte, error)
