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
		return scheduler.ErrOutcomeUnknown.Wrap(cause)
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

// write sends what is queued, and heartbeats in between.
func (session *session) write(ctx context.Context) {
	heartbeat := time.NewTicker(session.heartbeat)
	defer heartbeat.Stop()
	batch := batch{counter: session.counter}
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			err = batch.add(frame{Type: frameHeartbeat})
		case queued := <-session.queue:
			err = session.addQueued(&batch, queued)
		}
		if err != nil || batch.write(ctx, session.socket, session.heartbeat) != nil {
			return
		}
	}
}

// addQueued adds a frame and those that wait behind it.
func (session *session) addQueued(batch *batch, queued *queuedFrame) error {
	for {
		if session.claim(queued) {
			if err := batch.add(queued.frame); err != nil {
				return err
			}
		}
		if batch.full() {
			return nil
		}
		select {
		case queued = <-session.queue:
		default:
			return nil
		}
	}
}

// read delivers answers until the connection ends or has been silent for too long.
func (session *session) read(ctx context.Context) error {
	reader := frameReader{socket: session.socket, heartbeat: session.heartbeat}
	for {
		frames, err := reader.next(ctx)
		if err != nil {
			return err
		}
		for _, next := range frames {
			if next.frame.Type == frameAnswer && next.frame.Epoch == session.epoch {
				session.deliver(next.frame, next.size)
			} else {
				session.counter.received(routeOf(next.frame), next.size)
			}
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
