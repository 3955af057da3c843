package acceptor

import (
	"bytes"
	"net"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/basics/suppressor"
)

// reason is why a client is refused or its connection closed.
type reason string

const (
	// reasonConnections stands for too many connections.
	reasonConnections reason = "connections"
	// reasonBodies stands for too many bytes of bodies.
	reasonBodies reason = "bodies"
	// reasonHeaders stands for too much memory of headers.
	reasonHeaders reason = "headers"
	// reasonStalled stands for a body that came too slowly.
	reasonStalled reason = "stalled"
)

// logInterval is the minimum interval between two log lines of the same kind.
const logInterval = 10 * time.Second

// monitor logs and counts what an Acceptor refuses.
type monitor struct {
	name        string
	logger      zerolog.Logger
	suppressor  *suppressor.Suppressor
	scope       tally.Scope
	connections tally.Gauge
	bodyBytes   tally.Gauge
}

func newMonitor(name string) *monitor {
	monitor := &monitor{name: name, logger: zerolog.Nop(), suppressor: suppressor.New(logInterval)}
	monitor.setScope(tally.NoopScope)
	return monitor
}

func (monitor *monitor) setScope(scope tally.Scope) {
	monitor.scope = scope.Tagged(map[string]string{"listener": monitor.name})
	monitor.connections = monitor.scope.Gauge("connections_open")
	monitor.bodyBytes = monitor.scope.Gauge("body_bytes_held")
}

// refuse records a client that is refused.
func (monitor *monitor) refuse(reason reason, source string) {
	monitor.record("connections_refused", "clientRefused", reason, source)
}

// evict records a client whose connection is closed in favour of another one.
func (monitor *monitor) evict(reason reason, source string) {
	monitor.record("connections_evicted", "clientEvicted", reason, source)
}

func (monitor *monitor) record(counter, event string, reason reason, source string) {
	monitor.scope.Tagged(map[string]string{"reason": string(reason)}).Counter(counter).Inc(1)
	suppressed, allowed := monitor.suppressor.Allow(event + "/" + string(reason))
	if !allowed {
		return
	}
	monitor.logger.Warn().Str("event", event).Str("listener", monitor.name).Str("reason", string(reason)).
		Str("source", source).Int("suppressed", suppressed).Msg("client limited")
}

// sourceOf returns the address of a client without its port.
func sourceOf(client net.Conn) string {
	host, _, err := net.SplitHostPort(client.RemoteAddr().String())
	if err != nil {
		return client.RemoteAddr().String()
	}
	return host
}

// Write implements io.Writer for the messages of the HTTP server, such as failed handshakes and panics of handlers.
func (monitor *monitor) Write(message []byte) (int, error) {
	kind := "serverMessage"
	if bytes.Contains(message, []byte("panic")) {
		kind = "handlerPanicked"
	}
	if suppressed, allowed := monitor.suppressor.Allow(kind); allowed {
		monitor.logger.Warn().Str("event", kind).Str("listener", monitor.name).Int("suppressed", suppressed).
			Bytes("text", message).Msg("message of the HTTP server")
	}
	return len(message), nil
}
