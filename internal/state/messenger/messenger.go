// Package messenger carries messages between the VMs of the system over WebSocket connections with
// CBOR frames. It implements scheduler.Transport.
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
	// Path is where the peer listener serves WebSocket connections.
	Path = "/v1/peer"

	// heartbeatInterval is the default of WithHeartbeatInterval.
	heartbeatInterval = 500 * time.Millisecond
	// silenceLimit is after how many lost heartbeats a connection is given up. TCP alone would keep one
	// that the network has forgotten for many minutes.
	silenceLimit = 4
	// writeLimit ends a write that the peer does not read, in heartbeats. It is below silenceLimit so
	// that the writer notices first and knows which frame was cut.
	writeLimit   = 3
	dialLimit    = time.Second
	maxFrameSize = 16 << 20
	queueLength  = 4096
	// concurrentCalls bounds the handlers of one connection that run at once. Some wait for seconds, such as a
	// renewal that a worker holds back.
	concurrentCalls = 4096

	headerFrom = "Crocusplank-From"
)

type route struct {
	group scheduler.GroupName
	kind  scheduler.MessageKind
}

// Messenger is a scheduler.Transport over WebSocket connections: one outgoing connection to each
// peer, which carries this VM's messages and the answers to its calls. It is safe for concurrent use.
type Messenger struct {
	self    scheduler.VMName
	peerKey string
	log     zerolog.Logger
	client  *http.Client
	scheme  string

	mutex    sync.RWMutex
	handlers map[route]scheduler.MessageHandler
	links    map[scheduler.VMName]*link
	accepted map[*acceptedConnection]struct{}
	counter  *counter
	// heartbeat is the interval of heartbeats.
	heartbeat time.Duration
	// discovers is true when peers may appear that New did not name.
	discovers bool
	started   bool

	context context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
}

// Option changes a Messenger under construction.
type Option func(messenger *Messenger)

// WithLogger sets the logger. The default logs nothing.
func WithLogger(log zerolog.Logger) Option {
	return func(messenger *Messenger) { messenger.log = log }
}

// WithPeerKey sets the secret that every VM of the system shares. Connections without it are refused.
func WithPeerKey(key string) Option {
	return func(messenger *Messenger) { messenger.peerKey = key }
}

// WithDiscovery accepts connections from VMs that New did not name. A VM whose name is an IP:port pair
// becomes a peer when it connects, and that pair is its address.
func WithDiscovery() Option {
	return func(messenger *Messenger) { messenger.discovers = true }
}

// WithHeartbeatInterval sets the interval of heartbeats, 500 ms by default. A connection is given up when it has been
// silent for four of them. It is the same on all VMs.
func WithHeartbeatInterval(interval time.Duration) Option {
	return func(messenger *Messenger) { messenger.heartbeat = interval }
}

// WithDialer sets how connections are opened. The default is a net.Dialer.
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

// New returns a Messenger of the VM named self. The addresses of the peers are IP:port pairs; an
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

		heartbeat: heartbeatInterval,
		context:   ctx,
		cancel:    cancel,
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

// Handle registers the handler of a kind in a group. It is called before Start.
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

// Start dials the peers and keeps dialling until Close.
func (messenger *Messenger) Start() {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	messenger.started = true
	for _, link := range messenger.links {
		messenger.workers.Go(link.run)
	}
}

// AddPeer adds a peer, which is dialled from now on, or from Start on. A peer that is known keeps its
// address.
func (messenger *Messenger) AddPeer(name scheduler.VMName, address string) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	if name == messenger.self || messenger.links[name] != nil || messenger.context.Err() != nil {
		return
	}
	link := newLink(messenger, name, address)
	messenger.links[name] = link
	if messenger.started {
		messenger.workers.Go(link.run)
	}
}

// RemovePeer forgets a peer and closes the connection to it.
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

// Close ends all connections and waits for their goroutines.
func (messenger *Messenger) Close() {
	messenger.cancel()
	messenger.mutex.Lock()
	for connection := range messenger.accepted {
		_ = connection.socket.CloseNow()
	}
	messenger.mutex.Unlock()
	messenger.workers.Wait()
}

// Send queues a message without waiting. It is dropped when the queue is full, the connection is
// down or the peer is unknown. A message to the local VM goes straight to its handler.
func (messenger *Messenger) Send(to scheduler.VMName, group scheduler.GroupName, kind scheduler.MessageKind, body []byte) {
	link := messenger.link(to)
	if link == nil {
		messenger.log.Debug().Str("event", "messageDropped").Str("to", string(to)).Msg("unknown peer")
		return
	}
	link.send(frame{Type: frameSend, Kind: kind, Group: group, Body: body})
}

// Call sends a request and waits for the answer to exactly this request. The error is of class
// scheduler.ErrNotRun when no byte of the request was written, and of class scheduler.ErrUnknown
// when the connection broke or ctx ended after that. An error of the remote handler keeps its class.
func (messenger *Messenger) Call(ctx context.Context, to scheduler.VMName, group scheduler.GroupName, kind scheduler.MessageKind, body []byte) ([]byte, error) {
	link := messenger.link(to)
	if link == nil {
		return nil, scheduler.ErrNotRun.Wrap(Error.New("unknown peer %q", to))
	}
	return link.call(ctx, frame{Type: frameCall, Kind: kind, Group: group, Body: body})
}

// Connected reports whether the connection to a peer is up now.
func (messenger *Messenger) Connected(to scheduler.VMName) bool {
	link := messenger.link(to)
	return link != nil && link.connected()
}

// ServeHTTP accepts the WebSocket connection of a peer and serves it until it ends.
func (messenger *Messenger) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !messenger.authorized(request) {
		messenger.log.Warn().Str("event", "peerRefused").Str("address", request.RemoteAddr).Msg("wrong peer key")
		http.Error(writer, "wrong peer key", http.StatusUnauthorized)
		return
	}
	from := scheduler.VMName(request.Header.Get(headerFrom))
	if !messenger.admits(from) {
		http.Error(writer, "unknown peer", http.StatusForbidden)
		return
	}
	socket, err := websocket.Accept(writer, request, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		messenger.log.Warn().Str("event", "peerRefused").Err(err).Msg("no WebSocket handshake")
		return
	}
	socket.SetReadLimit(maxFrameSize)
	connection := newAcceptedConnection(messenger, from, socket)
	if !messenger.track(connection) {
		_ = socket.CloseNow()
		return
	}
	defer messenger.untrack(connection)
	connection.serve()
}

// admits reports whether a VM may connect. A discovered VM with an address becomes a peer, so that
// messages can be sent back to it.
func (messenger *Messenger) admits(from scheduler.VMName) bool {
	if messenger.link(from) != nil {
		return true
	}
	if !messenger.discovers || from == "" {
		return false
	}
	if _, err := netip.ParseAddrPort(string(from)); err == nil {
		messenger.AddPeer(from, string(from))
	}
	return true
}

func (messenger *Messenger) authorized(request *http.Request) bool {
	// The header is trimmed on the way, so the scheme may arrive without the space after it.
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

// newEpoch returns a number that distinguishes connections, also across restarts of the process.
func newEpoch() uint64 {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:]) // crypto/rand.Read never fails; it ends the process instead.
	return binary.BigEndian.Uint64(bytes[:])
}
