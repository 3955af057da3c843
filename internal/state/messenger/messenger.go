// Package messenger transports messages between the VMs of the system as CBOR frames over WebSocket
// connections. It implements scheduler.Transport.
package messenger

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("messenger")

const (
	// Path is the URL path at which the peer listener serves WebSocket connections.
	Path = "/v1/peer"

	// defaultHeartbeatInterval is the heartbeat interval unless WithHeartbeatInterval sets another one.
	defaultHeartbeatInterval = 500 * time.Millisecond
	// readTimeoutHeartbeats is the read timeout of a connection in heartbeat intervals. TCP alone would keep a
	// connection open for many minutes after the network has lost its state.
	readTimeoutHeartbeats = 4
	// writeTimeoutHeartbeats is the timeout in heartbeat intervals of a write that the peer does not read. It is
	// below readTimeoutHeartbeats so that the writer fails first and knows which frame was truncated.
	writeTimeoutHeartbeats = 3
	dialTimeout            = time.Second
	maxMessageSize         = 16 << 20
	queueLength            = 4096
	// maxConcurrentCalls limits the call handlers that run concurrently for one connection. Some of them block for
	// seconds, such as that of a lease renewal whose response a worker delays.
	maxConcurrentCalls = 4096

	headerFrom = "Crocusplank-From"
)

// route identifies the handler of a message by its group and kind.
type route struct {
	group scheduler.GroupName
	kind  scheduler.MessageKind
}

// Messenger is a scheduler.Transport over WebSocket connections. It has one outgoing connection to each
// peer, which carries this VM's messages and the responses to its calls. It is safe for concurrent use.
type Messenger struct {
	self    scheduler.VMName
	peerKey string
	log     zerolog.Logger
	client  *http.Client
	scheme  string

	mutex             sync.RWMutex
	handlers          map[route]scheduler.MessageHandler
	links             map[scheduler.VMName]*link
	accepted          map[*acceptedConnection]struct{}
	counter           *counter
	heartbeatInterval time.Duration
	// budget bounds the messages of incoming connections.
	budget *budget
	// discovery is true if VMs that were not passed to New may connect.
	discovery bool
	started   bool

	context    context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Option configures a Messenger.
type Option func(messenger *Messenger)

// WithLogger sets the logger. The default logs nothing.
func WithLogger(log zerolog.Logger) Option {
	return func(messenger *Messenger) { messenger.log = log }
}

// WithPeerKey sets the secret that all VMs of the system share. Connections without it are refused.
func WithPeerKey(key string) Option {
	return func(messenger *Messenger) { messenger.peerKey = key }
}

// WithDiscovery accepts connections from VMs that were not passed to New. A VM whose name is an IP:port pair
// becomes a peer when it connects, with that pair as its address.
func WithDiscovery() Option {
	return func(messenger *Messenger) { messenger.discovery = true }
}

// WithMessageBudget bounds the memory of incoming messages that have not been read whole, in bytes over all connections. A
// connection whose message does not fit is closed. There is no bound by default.
func WithMessageBudget(bytes int64) Option {
	return func(messenger *Messenger) { messenger.budget = newBudget(bytes) }
}

// WithHeartbeatInterval sets the interval of heartbeats, 500 ms by default. A connection is closed after four
// intervals without data from the peer. All VMs must use the same interval.
func WithHeartbeatInterval(interval time.Duration) Option {
	return func(messenger *Messenger) { messenger.heartbeatInterval = interval }
}

// WithDialer sets the function that opens connections. The default is a net.Dialer.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(messenger *Messenger) {
		messenger.client = &http.Client{Transport: &http.Transport{DialContext: dial}}
	}
}

// WithClient sets the HTTP client and uses TLS for outgoing connections.
func WithClient(client *http.Client) Option {
	return func(messenger *Messenger) {
		messenger.client = client
		messenger.scheme = "https"
	}
}

// New returns a Messenger for the VM named self. The addresses of the peers are IP:port pairs; an
// entry for self is ignored.
func New(self scheduler.VMName, peers map[scheduler.VMName]string, options ...Option) *Messenger {
	ctx, cancel := context.WithCancel(context.Background())
	messenger := &Messenger{
		self:     self,
		log:      zerolog.Nop(),
		client:   &http.Client{Transport: &http.Transport{}},
		scheme:   "http",
		handlers: map[route]scheduler.MessageHandler{},
		links:    map[scheduler.VMName]*link{},
		accepted: map[*acceptedConnection]struct{}{},
		counter:  newCounter(),

		heartbeatInterval: defaultHeartbeatInterval,
		budget:            unlimited(),
		context:           ctx,
		cancel:            cancel,
	}
	for _, option := range options {
		option(messenger)
	}
	for name, address := range peers {
		if name != self {
			messenger.links[name] = newLink(messenger, name, address)
		}
	}
	return messenger
}

// Self returns the name of the local VM.
func (messenger *Messenger) Self() scheduler.VMName { return messenger.self }

// Handle registers the handler for messages of a kind in a group. It must be called before Start.
func (messenger *Messenger) Handle(group scheduler.GroupName, kind scheduler.MessageKind, handler scheduler.MessageHandler) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	messenger.handlers[route{group: group, kind: kind}] = handler
}

func (messenger *Messenger) handler(group scheduler.GroupName, kind scheduler.MessageKind) scheduler.MessageHandler {
	messenger.mutex.RLock()
	defer messenger.mutex.RUnlock()
	return messenger.handlers[route{group: group, kind: kind}]
}

// Start connects to the peers and reconnects whenever a connection ends, until Close.
func (messenger *Messenger) Start() {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	messenger.started = true
	for _, link := range messenger.links {
		messenger.goroutines.Go(link.run)
	}
}

// AddPeer adds a peer and connects to it, or does so on Start if that has not been called yet. A known peer
// keeps its address.
func (messenger *Messenger) AddPeer(name scheduler.VMName, address string) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	if name == messenger.self || messenger.links[name] != nil || messenger.context.Err() != nil {
		return
	}
	link := newLink(messenger, name, address)
	messenger.links[name] = link
	if messenger.started {
		messenger.goroutines.Go(link.run)
	}
}

// RemovePeer removes a peer and closes the connection to it.
func (messenger *Messenger) RemovePeer(name scheduler.VMName) {
	messenger.mutex.Lock()
	link := messenger.links[name]
	delete(messenger.links, name)
	messenger.mutex.Unlock()
	if link != nil {
		link.cancel()
	}
}

// Peers returns the names of the peers, in no order.
func (messenger *Messenger) Peers() []scheduler.VMName {
	messenger.mutex.RLock()
	defer messenger.mutex.RUnlock()
	names := make([]scheduler.VMName, 0, len(messenger.links))
	for name := range messenger.links {
		names = append(names, name)
	}
	return names
}

func (messenger *Messenger) link(name scheduler.VMName) *link {
	messenger.mutex.RLock()
	defer messenger.mutex.RUnlock()
	return messenger.links[name]
}

// Close closes all connections and waits for their goroutines.
func (messenger *Messenger) Close() {
	messenger.cancel()
	messenger.mutex.Lock()
	for connection := range messenger.accepted {
		_ = connection.socket.CloseNow()
	}
	messenger.mutex.Unlock()
	messenger.goroutines.Wait()
}

// Send queues a message without blocking. The message is dropped if the queue is full, the connection is
// down or the peer is unknown. The local VM is not a peer.
func (messenger *Messenger) Send(to scheduler.VMName, group scheduler.GroupName, kind scheduler.MessageKind, body []byte) {
	link := messenger.link(to)
	if link == nil {
		messenger.log.Debug().Str("event", "messageDropped").Str("to", string(to)).
			Msg("message to an unknown peer dropped")
		return
	}
	link.send(frame{Type: frameSend, Kind: kind, Group: group, Body: body})
}

// Call sends a request and waits for its response. The error is of class scheduler.ErrNotRun if no byte of the
// request was written, and of class scheduler.ErrOutcomeUnknown if the connection was lost or ctx ended after
// that. An error of the remote handler keeps its class.
func (messenger *Messenger) Call(ctx context.Context, to scheduler.VMName, group scheduler.GroupName, kind scheduler.MessageKind, body []byte) ([]byte, error) {
	link := messenger.link(to)
	if link == nil {
		return nil, scheduler.ErrNotRun.Wrap(Error.New("unknown peer %q", to))
	}
	return link.call(ctx, frame{Type: frameCall, Kind: kind, Group: group, Body: body})
}

// Connected reports whether the connection to a peer is currently established.
func (messenger *Messenger) Connected(to scheduler.VMName) bool {
	link := messenger.link(to)
	return link != nil && link.connected()
}

// ServeHTTP accepts a WebSocket connection from a peer and serves it until it ends.
func (messenger *Messenger) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !messenger.isAuthorized(request) {
		messenger.log.Warn().Str("event", "peerRefused").Str("address", request.RemoteAddr).Msg("wrong peer key")
		http.Error(writer, "wrong peer key", http.StatusUnauthorized)
		return
	}
	from := scheduler.VMName(request.Header.Get(headerFrom))
	if !messenger.admit(from) {
		http.Error(writer, "unknown peer", http.StatusForbidden)
		return
	}
	socket, err := websocket.Accept(writer, request, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		messenger.log.Warn().Str("event", "peerRefused").Err(err).Msg("WebSocket handshake failed")
		return
	}
	socket.SetReadLimit(maxMessageSize)
	connection := newAcceptedConnection(messenger, from, socket)
	if !messenger.track(connection) {
		_ = socket.CloseNow()
		return
	}
	defer messenger.untrack(connection)
	connection.serve()
}

// admit reports whether a VM may connect. A discovered VM whose name is an address is added as a peer, so that
// messages can be sent to it.
func (messenger *Messenger) admit(from scheduler.VMName) bool {
	if messenger.link(from) != nil {
		return true
	}
	if !messenger.discovery || from == "" {
		return false
	}
	if _, err := netip.ParseAddrPort(string(from)); err == nil {
		messenger.AddPeer(from, string(from))
	}
	return true
}

func (messenger *Messenger) isAuthorized(request *http.Request) bool {
	// HTTP trims header values, so with an empty key the scheme arrives without the space after it.
	given := strings.TrimSpace(strings.TrimPrefix(request.Header.Get("Authorization"), "Bearer"))
	return subtle.ConstantTimeCompare([]byte(given), []byte(messenger.peerKey)) == 1
}

// track registers a connection unless the messenger is closing.
func (messenger *Messenger) track(connection *acceptedConnection) bool {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	if messenger.context.Err() != nil {
		return false
	}
	messenger.accepted[connection] = struct{}{}
	return true
}

func (messenger *Messenger) untrack(connection *acceptedConnection) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	delete(messenger.accepted, connection)
}

// newEpoch returns a random number that identifies a connection, also across restarts of the process.
func newEpoch() uint64 {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:]) // crypto/rand.Read never returns an error; it terminates the process instead.
	return binary.BigEndian.Uint64(bytes[:])
}
