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
	firstRedial = 50 * time.Millisecond
	lastRedial  = time.Second
)

// link is the outgoing connection to one peer. It dials again whenever the connection ends.
type link struct {
	messenger *Messenger
	peer      scheduler.VMName
	address   string
	context   context.Context
	cancel    context.CancelFunc

	mutex   sync.Mutex
	session *session // nil while the connection is down
}

func newLink(messenger *Messenger, peer scheduler.VMName, address string) *link {
	ctx, cancel := context.WithCancel(messenger.context)
	return &link{messenger: messenger, peer: peer, address: address, context: ctx, cancel: cancel}
}

func (link *link) run() {
	ctx := link.context
	pause := firstRedial
	for ctx.Err() == nil {
		socket, epoch, err := link.dial(ctx)
		if err != nil {
			// Jitter keeps the VMs of a healed data centre from dialling all at once.
			if !waiter.Sleep(ctx, pause/2+rand.N(pause/2)) {
				return
			}
			pause = min(2*pause, lastRedial)
			continue
		}
		pause = firstRedial
		link.serve(ctx, newSession(socket, epoch, link.messenger.counter, link.messenger.heartbeat))
		waiter.Sleep(ctx, firstRedial)
	}
}

func (link *link) dial(ctx context.Context) (*websocket.Conn, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
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
	socket.SetReadLimit(maxFrameSize)
	return socket, epoch, nil
}

// serve runs a session until it ends.
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

func (link *link) current() *session {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.session
}

func (link *link) connected() bool { return link.current() != nil }

func (link *link) send(outgoing frame) {
	if session := link.current(); session != nil {
		session.enqueue(&queuedFrame{frame: outgoing})
	}
}

func (link *link) call(ctx context.Context, outgoing frame) ([]byte, error) {
	session := link.current()
	if session == nil {
		return nil, scheduler.ErrNotRun.Wrap(Error.New("no connection to %s", link.peer))
	}
	return session.call(ctx, outgoing)
}
