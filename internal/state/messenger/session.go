package messenger

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// session is one established connection of a link. Its epoch and the ID of a call together identify the call, so
// that a response can never be delivered to another call.
type session struct {
	socket            *websocket.Conn
	epoch             uint64
	counter           *counter
	heartbeatInterval time.Duration
	queue             chan *queuedFrame
	done              chan struct{}

	mutex  sync.Mutex
	nextID uint64
	calls  map[uint64]*queuedFrame
}

// queuedFrame is a frame that is queued for the peer. The mutex of its session guards written and abandoned,
// which together decide whether the frame can still be cancelled.
type queuedFrame struct {
	frame     frame
	response  chan frame
	written   bool
	abandoned bool
}

func newSession(socket *websocket.Conn, epoch uint64, counter *counter, heartbeatInterval time.Duration) *session {
	return &session{
		socket:  socket,
		epoch:   epoch,
		counter: counter,

		heartbeatInterval: heartbeatInterval,
		queue:             make(chan *queuedFrame, queueLength),
		done:              make(chan struct{}),
		calls:             map[uint64]*queuedFrame{},
	}
}

// enqueue adds a frame to the queue and reports whether there was room.
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
	defer session.unregister(queued)
	if !session.enqueue(queued) {
		return nil, scheduler.ErrNotRun.Wrap(Error.New("the send queue to the peer is full"))
	}
	select {
	case response := <-queued.response:
		return response.Body, response.err()
	case <-ctx.Done():
		return nil, session.abandon(queued, Error.Wrap(ctx.Err()))
	case <-session.done:
	}
	// The response may have arrived just before the connection ended.
	select {
	case response := <-queued.response:
		return response.Body, response.err()
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
	queued := &queuedFrame{frame: outgoing, response: make(chan frame, 1)}
	session.calls[outgoing.ID] = queued
	return queued
}

func (session *session) unregister(queued *queuedFrame) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	delete(session.calls, queued.frame.ID)
}

// abandon cancels a call. The result is of class ErrNotRun only if the writer has not started on the frame;
// the writer then skips it.
func (session *session) abandon(queued *queuedFrame, cause error) error {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if queued.written {
		return scheduler.ErrOutcomeUnknown.Wrap(cause)
	}
	queued.abandoned = true
	return scheduler.ErrNotRun.Wrap(cause)
}

// startWrite marks a frame as written and returns true, or returns false if its call was abandoned.
func (session *session) startWrite(queued *queuedFrame) bool {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if queued.abandoned {
		return false
	}
	queued.written = true
	return true
}

// write writes queued frames, and heartbeats at every interval, until the connection ends.
func (session *session) write(ctx context.Context) {
	ticker := time.NewTicker(session.heartbeatInterval)
	defer ticker.Stop()
	batch := batch{counter: session.counter}
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			err = batch.add(frame{Type: frameHeartbeat})
		case queued := <-session.queue:
			err = session.addQueued(&batch, queued)
		}
		if err != nil || batch.write(ctx, session.socket, session.heartbeatInterval) != nil {
			return
		}
	}
}

// addQueued adds a frame and the frames queued after it, until the batch is full or the queue is empty.
func (session *session) addQueued(batch *batch, queued *queuedFrame) error {
	for {
		if session.startWrite(queued) {
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

// read delivers responses until the connection ends or the read timeout expires.
func (session *session) read(ctx context.Context) error {
	reader := newFrameReader(session.socket, session.heartbeatInterval, unlimited())
	for {
		frames, err := reader.next(ctx)
		if err != nil {
			return err
		}
		for _, next := range frames {
			if next.frame.Type == frameResponse && next.frame.Epoch == session.epoch {
				session.deliver(next.frame, next.size)
			} else {
				session.counter.countReceived(routeOf(next.frame), next.size)
			}
		}
	}
}

// deliver passes a response to its call. A response without a pending call, late or duplicated, is dropped.
func (session *session) deliver(response frame, size int) {
	session.mutex.Lock()
	queued := session.calls[response.ID]
	delete(session.calls, response.ID)
	session.mutex.Unlock()
	if queued != nil {
		session.counter.countReceived(routeOf(queued.frame), size)
		queued.response <- response
	}
}

// end fails all pending calls.
func (session *session) end() { close(session.done) }
