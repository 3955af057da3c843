package messenger

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// session is one life of an outgoing connection. Its epoch and the ids of its calls together name a
// call, so that an answer can never reach another call.
type session struct {
	socket  *websocket.Conn
	epoch   uint64
	counter *counter
	// heartbeat is the interval of heartbeats.
	heartbeat time.Duration
	queue     chan *queuedFrame
	done      chan struct{}

	mutex  sync.Mutex
	nextID uint64
	calls  map[uint64]*queuedFrame
}

// queuedFrame is a frame on its way to the peer. The mutex of its session guards written and
// abandoned, which decide together whether the frame can still be taken back.
type queuedFrame struct {
	frame     frame
	answer    chan frame
	written   bool
	abandoned bool
}

func newSession(socket *websocket.Conn, epoch uint64, counter *counter, heartbeat time.Duration) *session {
	return &session{
		socket:  socket,
		epoch:   epoch,
		counter: counter,

		heartbeat: heartbeat,
		queue:     make(chan *queuedFrame, queueLength),
		done:      make(chan struct{}),
		calls:     map[uint64]*queuedFrame{},
	}
}

// enqueue adds a frame unless the queue is full, and reports whether it did.
func (session *session) enqueue(queued *queuedFrame) bool {
	select {
	case session.queue <- queued:
		return true
	default:
		return false
	}
}

func (session *session) call(ctx context.Context, outgoing frame) ([]byte, error) {
	queued := session.register(outgoing)
	defer session.forget(queued)
	if !session.enqueue(queued) {
		return nil, scheduler.ErrNotRun.Wrap(Error.New("the queue to the peer is full"))
	}
	select {
	case answer := <-queued.answer:
		return answer.Body, answer.err()
	case <-ctx.Done():
		return nil, session.abandon(queued, Error.Wrap(ctx.Err()))
	case <-session.done:
	}
	// The answer may have arrived just before the connection ended.
	select {
	case answer := <-queued.answer:
		return answer.Body, answer.err()
	default:
		return nil, session.abandon(queued, Error.New("the connection to the peer ended"))
	}
}

func (session *session) register(outgoing frame) *queuedFrame {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.nextID++
	outgoing.ID = session.nextID
	outgoing.Epoch = session.epoch
	queued := &queuedFrame{frame: outgoing, answer: make(chan frame, 1)}
	session.calls[outgoing.ID] = queued
	return queued
}

func (session *session) forget(queued *queuedFrame) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	delete(session.calls, queued.frame.ID)
}

// abandon takes a call back. The result is of class ErrNotRun only if the writer has not begun with
// the frame, and then the writer will skip it.
func (session *session) abandon(queued *queuedFrame, cause error) error {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if queued.written {
		return scheduler.ErrUnknown.Wrap(cause)
	}
	queued.abandoned = true
	return scheduler.ErrNotRun.Wrap(cause)
}

// claim marks a frame as written and reports whether it is still wanted.
func (session *session) claim(queued *queuedFrame) bool {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if queued.abandoned {
		return false
	}
	queued.written = true
	return true
}

func (session *session) write(ctx context.Context) {
	heartbeat := time.NewTicker(session.heartbeat)
	defer heartbeat.Stop()
	for {
		var outgoing frame
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			outgoing = frame{Type: frameHeartbeat}
		case queued := <-session.queue:
			if !session.claim(queued) {
				continue
			}
			outgoing = queued.frame
		}
		if err := writeFrame(ctx, session.socket, outgoing, session.counter, session.heartbeat); err != nil {
			return
		}
	}
}

// read delivers answers until the connection ends or has been silent for too long.
func (session *session) read(ctx context.Context) error {
	for {
		received, size, err := readFrame(ctx, session.socket, session.heartbeat)
		if err != nil {
			return err
		}
		if received.Type == frameAnswer && received.Epoch == session.epoch {
			session.deliver(received, size)
		} else {
			session.counter.received(routeOf(received), size)
		}
	}
}

// deliver hands an answer to its call. An answer without a call, late or duplicated, is dropped.
func (session *session) deliver(answer frame, size int) {
	session.mutex.Lock()
	queued := session.calls[answer.ID]
	delete(session.calls, answer.ID)
	session.mutex.Unlock()
	if queued != nil {
		session.counter.received(routeOf(queued.frame), size)
		queued.answer <- answer
	}
}

// end releases all waiting calls.
func (session *session) end() { close(session.done) }
