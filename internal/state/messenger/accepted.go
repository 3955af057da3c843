package messenger

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// acceptedConnection serves the messages and calls of one peer.
type acceptedConnection struct {
	messenger *Messenger
	from      scheduler.VMName
	socket    *websocket.Conn
	sends     chan frame
	answers   chan frame
	slots     chan struct{}
}

func newAcceptedConnection(messenger *Messenger, from scheduler.VMName, socket *websocket.Conn) *acceptedConnection {
	return &acceptedConnection{
		messenger: messenger,
		from:      from,
		socket:    socket,
		sends:     make(chan frame, queueLength),
		answers:   make(chan frame, queueLength),
		slots:     make(chan struct{}, concurrentCalls),
	}
}

// serve runs until the connection ends. Messages run in order in one goroutine, calls side by side.
func (connection *acceptedConnection) serve() {
	ctx, cancel := context.WithCancel(connection.messenger.context)
	var workers sync.WaitGroup
	workers.Go(func() { connection.runSends(ctx) })
	workers.Go(func() {
		defer cancel()
		connection.writeAnswers(ctx)
	})
	connection.read(ctx, &workers)
	cancel()
	_ = connection.socket.CloseNow()
	workers.Wait()
}

func (connection *acceptedConnection) read(ctx context.Context, workers *sync.WaitGroup) {
	reader := frameReader{socket: connection.socket, heartbeat: connection.messenger.heartbeat}
	for {
		frames, err := reader.next(ctx)
		if err != nil {
			return
		}
		for _, next := range frames {
			connection.messenger.counter.received(routeOf(next.frame), next.size)
			switch next.frame.Type {
			case frameSend:
				connection.queueSend(next.frame)
			case frameCall:
				connection.startCall(ctx, next.frame, workers)
			case frameHeartbeat, frameAnswer:
			}
		}
	}
}

// queueSend drops the message when the handlers are too slow, so that heartbeats are still read.
func (connection *acceptedConnection) queueSend(received frame) {
	select {
	case connection.sends <- received:
	default:
		connection.messenger.log.Warn().Str("event", "messageDropped").Str("from", string(connection.from)).
			Str("kind", string(received.Kind)).Msg("handlers are too slow")
	}
}

func (connection *acceptedConnection) runSends(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-connection.sends:
			_, _ = connection.handle(ctx, received)
		}
	}
}

func (connection *acceptedConnection) startCall(ctx context.Context, received frame, workers *sync.WaitGroup) {
	select {
	case connection.slots <- struct{}{}:
	default:
		refusal := frame{Type: frameAnswer, Epoch: received.Epoch, ID: received.ID, answers: routeOf(received)}
		refusal.setError(scheduler.ErrNotRun.New("too many calls at once from %s", connection.from))
		connection.answer(ctx, refusal)
		return
	}
	workers.Go(func() {
		defer func() { <-connection.slots }()
		answer := frame{Type: frameAnswer, Epoch: received.Epoch, ID: received.ID, answers: routeOf(received)}
		body, err := connection.handle(ctx, received)
		if err != nil {
			answer.setError(err)
		}
		answer.Body = body
		connection.answer(ctx, answer)
	})
}

// handle runs the handler of a message. A handler that panics fails its message, not the VM.
func (connection *acceptedConnection) handle(ctx context.Context, received frame) (body []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			connection.messenger.log.Error().Str("event", "handlerPanicked").Str("from", string(connection.from)).
				Str("kind", string(received.Kind)).Interface("cause", cause).Bytes("stack", debug.Stack()).Msg("message failed")
			body, err = nil, scheduler.ErrOutcomeUnknown.Wrap(Error.New("the handler failed: %v", cause))
		}
	}()
	handler := connection.messenger.handler(received.Group, received.Kind)
	if handler == nil {
		return nil, scheduler.ErrNotRun.New("no handler for %s in group %s", received.Kind, received.Group)
	}
	return handler(ctx, connection.from, received.Body)
}

func (connection *acceptedConnection) answer(ctx context.Context, answer frame) {
	select {
	case connection.answers <- answer:
	case <-ctx.Done():
	}
}

// writeAnswers sends the answers that are ready, and heartbeats in between.
func (connection *acceptedConnection) writeAnswers(ctx context.Context) {
	heartbeat := time.NewTicker(connection.messenger.heartbeat)
	defer heartbeat.Stop()
	batch := batch{counter: connection.messenger.counter}
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			err = batch.add(frame{Type: frameHeartbeat})
		case answer := <-connection.answers:
			err = connection.addAnswers(&batch, answer)
		}
		if err != nil || batch.write(ctx, connection.socket, connection.messenger.heartbeat) != nil {
			return
		}
	}
}

// addAnswers adds an answer and those that wait behind it.
func (connection *acceptedConnection) addAnswers(batch *batch, answer frame) error {
	for {
		if err := batch.add(answer); err != nil || batch.full() {
			return err
		}
		select {
		case answer = <-connection.answers:
		default:
			return nil
		}
	}
}
