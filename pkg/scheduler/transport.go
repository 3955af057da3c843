package scheduler

import "context"

// MessageKind is the type of a message between VMs, for example "append".
type MessageKind string

// Transport carries messages between the VMs of the system. It is safe for concurrent use.
type Transport interface {
	// Self returns the name of the local VM.
	Self() VMName
	// Send enqueues a message without blocking. The message is dropped if the queue is full or the connection is
	// down. The protocol of the sender must tolerate loss, delay and duplication.
	Send(to VMName, group GroupName, kind MessageKind, body []byte)
	// Call sends a request and waits for the response to this request until ctx ends or the connection is lost.
	// An error of class ErrNotRun means that the request was not sent.
	Call(ctx context.Context, to VMName, group GroupName, kind MessageKind, body []byte) ([]byte, error)
	// Handle registers the handler for a message kind in a group. It must be called before the transport starts.
	// The result of the handler is returned to Call and ignored for Send. Messages that one VM sent with Send are
	// handled sequentially, in order.
	Handle(group GroupName, kind MessageKind, handler MessageHandler)
}

// MessageHandler processes a message and returns the body of the response. An error is transmitted to the caller as
// its text and its classes.
type MessageHandler func(ctx context.Context, from VMName, body []byte) ([]byte, error)
