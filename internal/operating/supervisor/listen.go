package supervisor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// ListenerFailureLimit is how long a listener may fail before the process ends. Other processes cannot be told of
// another address.
const ListenerFailureLimit = 30 * time.Second

// Listener is a part that listens on an address and serves the connections. The first socket may be opened before the
// part runs, so that a wrong address is reported by the start of the process.
type Listener struct {
	open  func(ctx context.Context) (net.Listener, error)
	serve func(socket net.Listener) error

	mutex  sync.Mutex
	socket net.Listener
}

// NewListener returns a Listener. serve returns when the socket is closed or fails, with http.ErrServerClosed after a
// planned shutdown.
func NewListener(
	open func(ctx context.Context) (net.Listener, error), serve func(socket net.Listener) error,
) *Listener {
	return &Listener{open: open, serve: serve}
}

// Open opens the first socket.
func (listener *Listener) Open(ctx context.Context) error {
	socket, err := listener.open(ctx)
	if err != nil {
		return err
	}
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	listener.socket = socket
	return nil
}

// Run serves the open socket, or opens one first. It is a Part. After the server has been closed, Run waits for the end
// of ctx.
func (listener *Listener) Run(ctx context.Context) error {
	listener.mutex.Lock()
	socket := listener.socket
	listener.socket = nil
	listener.mutex.Unlock()
	if socket == nil {
		var err error
		if socket, err = listener.open(ctx); err != nil {
			return err
		}
	}
	// The server may return without closing the socket, which would occupy the address.
	defer func() { _ = socket.Close() }()
	err := listener.serve(socket)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}
