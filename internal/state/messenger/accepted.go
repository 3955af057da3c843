package messenger

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// acceptedConnection is an incoming connection. It handles the messages and calls of one peer.
type acceptedConnection struct {
	messenger *Messenger
	from      scheduler.VMName
	socket    *websocket.Conn
	// The queues hold pointers, because a queue takes its memory when it is made.
	sends     chan *frame
	responses chan *frame
	callSlots chan struct{}
}

func newAcceptedConnection(messenger *Messenger, from scheduler.VMName, socket *websocket.Conn) *acceptedConnection {
	return &acceptedConnection{
		messenger: messenger,
		from:      from,
		socket:    socket,
		sends:     make(chan *frame, queueLength),
		responses: make(chan *frame, queueLength),
		callSlots: make(chan struct{}, maxConcurrentCalls),
	}
}

// serve runs until the connection ends. One goroutine handles messages in order; calls are handled concurrently.
func (connection *acceptedConnection) serve() {
	ctx, cancel := context.WithCancel(connection.messenger.context)
	var goroutines sync.WaitGroup
	goroutines.Go(func() { connection.handleSends(ctx) })
	goroutines.Go(func() {
		defer cancel()
		connection.writeResponses(ctx)
	})
	connection.read(ctx, &goroutines)
	cancel()
	_ = connection.socket.CloseNow()
	goroutines.Wait()
}

func (connection *acceptedConnection) read(ctx context.Context, goroutines *sync.WaitGroup) {
	reader := newFrameReader(connection.socket, connection.messenger.heartbeatInterval, connection.messenger.budget)
	for {
		frames, err := reader.next(ctx)
		if err != nil {
			connection.messenger.log.Debug().Str("event", "peerConnectionEnded").Str("from", string(connection.from)).Err(err).
				Msg("incoming connection ended")
			return
		}
		for _, next := range frames {
			connection.messenger.counter.countReceived(routeOf(next.frame), next.size)
			switch next.frame.Type {
			case frameSend:
				connection.queueSend(&next.frame)
			case frameCall:
				connection.startCall(ctx, next.frame, goroutines)
			case frameHeartbeat, frameResponse:
			}
		}
	}
}

// queueSend queues a message for handleSends. It drops the message if the queue is full instead of blocking, so that
// heartbeats are still read.
func (connection *acceptedConnection) queueSend(received *frame) {
	select {
	case connection.sends <- received:
	default:
		connection.messenger.log.Warn().Str("event", "messageDropped").Str("from", string(connection.from)).
			Str("kind", string(received.Kind)).Msg("handler queue is full; message dropped")
	}
}

func (connection *acceptedConnection) handleSends(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-connection.sends:
			_, _ = connection.handle(ctx, *received)
		}
	}
}

func (connection *acceptedConnection) startCall(ctx context.Context, received frame, goroutines *sync.WaitGroup) {
	select {
	case connection.callSlots <- struct{}{}:
	default:
		refusal := frame{Type: frameResponse, Epoch: received.Epoch, ID: received.ID, callRoute: routeOf(received)}
		refusal.setError(scheduler.ErrNotRun.New("too many calls at once from %s", connection.from))
		connection.respond(ctx, &refusal)
		return
	}
	goroutines.Go(func() {
		defer func() { <-connection.callSlots }()
		response := frame{Type: frameResponse, Epoch: received.Epoch, ID: received.ID, callRoute: routeOf(received)}
		body, err := connection.handle(ctx, received)
		if err != nil {
			response.setError(err)
		}
		response.Body = body
		connection.respond(ctx, &response)
	})
}

// handle calls the handler of a message. A panic in the handler fails the message, not the VM.
func (connection *acceptedConnection) handle(ctx context.Context, received frame) (body []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			connection.messenger.log.Error().Str("event", "handlerPanicked").Str("from", string(connection.from)).
				Str("kind", string(received.Kind)).Interface("cause", cause).Bytes("stack", debug.Stack()).Msg("message handler panicked")
			body, err = nil, scheduler.ErrOutcomeUnknown.Wrap(Error.New("handler panicked: %v", cause))
		}
	}()
	handler := connection.messenger.handler(received.Group, received.Kind)
	if handler == nil {
		return nil, scheduler.ErrNotRun.New("no handler for %s in group %s", received.Kind, received.Group)
	}
	return handler(ctx, connection.from, received.Body)
}

func (connection *acceptedConnection) respond(ctx context.Context, response *frame) {
	select {
	case connection.responses <- response:
	case <-ctx.Done():
	}
}

// writeResponses writes queued responses, and heartbeats at every interval, until the connection ends.
func (connection *acceptedConnection) writeResponses(ctx context.Context) {
	ticker := time.NewTicker(connection.messenger.heartbeatInterval)
	defer ticker.Stop()
	batch := batch{counter: connection.messenger.counter}
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			err = batch.add(frame{Type: frameHeartbeat})
		case response := <-connection.responses:
			err = connection.addResponses(&batch, response)
		}
		if err != nil || batch.write(ctx, connection.socket, connection.messenger.heartbeatInterval) != nil {
			return
		}
	}
}

// addResponses adds a response and the ones queued after it, until the batch is full or the queue is empty.
func (connection *acceptedConnection) addResponses(batch *batch, response *frame) error {
	for {
		if err := batch.add(*response); err != nil || batch.full() {
			return err
		}
		select {
		case response = <-connection.responses:
		default:
			return nil
		}
	}
}
