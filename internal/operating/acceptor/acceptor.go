// Package acceptor builds HTTP servers for clients that are not trusted. An Acceptor bounds the connections of a
// listener and the bytes of request bodies in memory, demands progress from clients, and closes the connections of those
// that hold most and send nothing when others need the room.
package acceptor

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("acceptor")

const (
	// evictionAge is how long a client must have made no progress before its connection may be closed in favour of others.
	evictionAge = time.Second
	// progressBytes is the part of a body that counts as progress, so that single bytes do not keep a connection open.
	progressBytes = 4 << 10
)

// Acceptor admits the clients of one listener. It is safe for concurrent use.
type Acceptor struct {
	limits  Limits
	monitor *monitor
	// started is the origin of all times, which are durations so that changes of the time of day have no effect.
	started time.Time

	mutex       sync.Mutex
	connections map[*connection]struct{}
	bodies      map[*body]struct{}
	// bodyBytes is the sum of the bytes of all bodies that count towards Limits.BodyBytes.
	bodyBytes int64
}

// Option configures an Acceptor.
type Option func(acceptor *Acceptor)

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger zerolog.Logger) Option {
	return func(acceptor *Acceptor) { acceptor.monitor.logger = logger }
}

// WithScope sets the scope of the metrics. The default collects none.
func WithScope(scope tally.Scope) Option {
	return func(acceptor *Acceptor) { acceptor.monitor.setScope(scope) }
}

// New returns an Acceptor for the listener with the given name, which appears in logs and metrics.
func New(name string, limits Limits, options ...Option) (*Acceptor, error) {
	if err := limits.Validate(); err != nil {
		return nil, Error.New("listener %s: %w", name, err)
	}
	acceptor := &Acceptor{
		limits: limits, monitor: newMonitor(name), started: time.Now(),
		connections: map[*connection]struct{}{}, bodies: map[*body]struct{}{},
	}
	for _, option := range options {
		option(acceptor)
	}
	return acceptor, nil
}

// Limits returns the limits of the Acceptor.
func (acceptor *Acceptor) Limits() Limits { return acceptor.limits }

// now returns the time since the start of the Acceptor.
func (acceptor *Acceptor) now() time.Duration { return time.Since(acceptor.started) }

// Server is an HTTP server whose connections and bodies an Acceptor admits.
type Server struct {
	*http.Server
	acceptor *Acceptor
}

// Server returns a server for a handler.
func (acceptor *Acceptor) Server(handler http.Handler) *Server {
	return &Server{acceptor: acceptor, Server: &http.Server{
		Handler: acceptor.guard(handler), ReadHeaderTimeout: acceptor.limits.HeaderTimeout,
		IdleTimeout: acceptor.limits.IdleTimeout, MaxHeaderBytes: acceptor.limits.HeaderBytes,
		ConnState: acceptor.changeState, ErrorLog: log.New(acceptor.monitor, "", 0),
		ConnContext: func(ctx context.Context, socket net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, connectionOf(socket))
		},
	}}
}

// Serve serves the connections of a socket.
func (server *Server) Serve(socket net.Listener) error {
	return server.Server.Serve(server.acceptor.Listener(socket))
}

// Listener returns a listener that admits the connections of a socket. A TLS listener is built on top of it.
func (acceptor *Acceptor) Listener(socket net.Listener) net.Listener {
	return &listener{Listener: socket, acceptor: acceptor}
}

// guard returns a handler that bounds the bodies of requests.
func (acceptor *Acceptor) guard(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Body != nil && request.Body != http.NoBody {
			body := acceptor.newBody(writer, request)
			defer body.release()
			request.Body = body
			// The server reads the rest of a body that the handler has not read before it sends a long response.
			_ = body.controller.SetReadDeadline(time.Now().Add(acceptor.limits.StallTimeout)) // As in Read.
		}
		handler.ServeHTTP(writer, request)
	})
}
