package messenger

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
)

// link is the outgoing connection to one peer. It reconnects whenever the connection ends.
type link struct {
	messenger *Messenger
	peer      scheduler.VMName
	address   string
	context   context.Context
	cancel    context.CancelFunc

	mutex   sync.Mutex
	session *session // nil while disconnected
}

func newLink(messenger *Messenger, peer scheduler.VMName, address string) *link {
	ctx, cancel := context.WithCancel(messenger.context)
	return &link{messenger: messenger, peer: peer, address: address, context: ctx, cancel: cancel}
}

func (link *link) run() {
	ctx := link.context
	delay := minRedialDelay
	for ctx.Err() == nil {
		socket, epoch, err := link.dial(ctx)
		if err != nil {
			// Jitter prevents the VMs of a data centre from dialling all at once after a partition ends.
			if !waiter.Sleep(ctx, delay/2+rand.N(delay/2)) {
				return
			}
			delay = min(2*delay, maxRedialDelay)
			continue
		}
		delay = minRedialDelay
		link.serve(ctx, newSession(socket, epoch, link.messenger.counter, link.messenger.heartbeatInterval))
		waiter.Sleep(ctx, minRedialDelay)
	}
}

func (link *link) dial(ctx context.Context) (*websocket.Conn, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	epoch := newEpoch()
	header := http.Header{}
	header.Set("Authorization", "Bearer "+link.messenger.peerKey)
	header.Set(headerFrom, string(link.messenger.self))
	url := link.messenger.scheme + "://" + link.address + Path
	socket, response, err := websocket.Dial(ctx, url, &websocket.DialOptions{
		HTTPClient:      link.messenger.client,
		HTTPHeader:      header,
		CompressionMode: websocket.CompressionDisabled,
	})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	socket.SetReadLimit(maxMessageSize)
	return socket, epoch, nil
}

// serve runs the reader and the writer of a session until the connection ends.
func (link *link) serve(ctx context.Context, session *session) {
	link.messenger.log.Info().Str("event", "peerConnected").Str("peer", string(link.peer)).Msg("connected to peer")
	link.setSession(session)
	ctx, cancel := context.WithCancel(ctx)
	var writer sync.WaitGroup
	writer.Go(func() {
		defer cancel()
		session.write(ctx)
	})
	err := session.read(ctx)
	cancel()
	_ = session.socket.CloseNow()
	writer.Wait()
	link.setSession(nil)
	session.end()
	link.messenger.log.Info().Str("event", "peerDisconnected").Str("peer", string(link.peer)).Err(err).Msg("connection to peer ended")
}

func (link *link) setSession(session *session) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.session = session
}

func (link *link) currentSession() *session {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.session
}

func (link *link) connected() bool { return link.currentSession() != nil }

func (link *link) send(outgoing frame) {
	if session := link.currentSession(); session != nil {
		session.enqueue(&queuedFrame{frame: outgoing})
	}
}

func (link *link) call(ctx context.Context, outgoing frame) ([]byte, error) {
	session := link.currentSession()
	if session == nil {
		return nil, scheduler.ErrNotRun.Wrap(Error.New("no connection to %s", link.peer))
	}
	return session.call(ctx, outgoing)
}
