package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	dialLimit = time.Second
	// idleLimit is well below the 60 s after which endpoints close idle connections, so that a request
	// is not written to a connection that is being closed.
	idleLimit = 20 * time.Second
	// responseHeaderLimit bounds the memory that an endpoint's response headers can take.
	responseHeaderLimit = 64 << 10
	bufferSize          = 16 << 10
	poolLife            = time.Minute
)

// pool holds the connections to one endpoint.
type pool struct {
	endpoint  scheduler.EndpointName
	address   string
	transport *http.Transport
	used      time.Time
	probing   atomic.Bool
}

// pool returns the connections to an endpoint. Those to endpoints that have not been used for a minute
// are closed.
func (forwarder *Forwarder) pool(endpoint scheduler.Announcement) *pool {
	now := time.Now()
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	if now.Sub(forwarder.swept) > poolLife {
		forwarder.swept = now
		for name, own := range forwarder.pools {
			if now.Sub(own.used) > poolLife {
				own.transport.CloseIdleConnections()
				delete(forwarder.pools, name)
			}
		}
	}
	own := forwarder.pools[endpoint.Endpoint]
	if own == nil || own.address != endpoint.Address {
		if own != nil {
			own.transport.CloseIdleConnections()
		}
		own = forwarder.newPool(endpoint)
		forwarder.pools[endpoint.Endpoint] = own
	}
	own.used = now
	return own
}

func (forwarder *Forwarder) newPool(endpoint scheduler.Announcement) *pool {
	own := &pool{endpoint: endpoint.Endpoint, address: endpoint.Address}
	own.transport = &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return forwarder.dial(ctx, own)
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    endpoint.Slots,
		IdleConnTimeout:        idleLimit,
		ExpectContinueTimeout:  time.Second,
		MaxResponseHeaderBytes: responseHeaderLimit,
		WriteBufferSize:        bufferSize,
		ReadBufferSize:         bufferSize,
	}
	return own
}

// closePool closes the idle connections to an endpoint. Requests that follow use fresh ones.
func (forwarder *Forwarder) closePool(own *pool) {
	forwarder.mutex.Lock()
	if forwarder.pools[own.endpoint] == own {
		delete(forwarder.pools, own.endpoint)
	}
	forwarder.mutex.Unlock()
	own.transport.CloseIdleConnections()
}

// Close closes the idle connections to all endpoints.
func (forwarder *Forwarder) Close() {
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	for name, own := range forwarder.pools {
		own.transport.CloseIdleConnections()
		delete(forwarder.pools, name)
	}
}

// dial opens a connection within the share.
func (forwarder *Forwarder) dial(ctx context.Context, own *pool) (net.Conn, error) {
	permit, ok := forwarder.shares.AcquireConnection(own.endpoint)
	if !ok {
		return nil, errNoConnection
	}
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	made, err := forwarder.open(ctx, own.address)
	if err != nil {
		permit.Release()
		return nil, err
	}
	return &connection{Conn: made, permit: permit}, nil
}

// connection counts the bytes that may have been written and asks, before the first byte of a request,
// whether the request may still be started.
type connection struct {
	net.Conn
	permit  scheduler.Slot
	written atomic.Int64
	gate    atomic.Pointer[func() bool]
}

func (connection *connection) Write(buffer []byte) (int, error) {
	if gate := connection.gate.Swap(nil); gate != nil && !(*gate)() {
		return 0, errShareExpired
	}
	// Counted before the write, so that a request that fails meanwhile is not taken for unwritten.
	connection.written.Add(int64(len(buffer)))
	count, err := connection.Conn.Write(buffer)
	connection.written.Add(int64(count - len(buffer)))
	return count, err
}

// Close closes the connection and gives its permit back.
func (connection *connection) Close() error {
	err := connection.Conn.Close()
	connection.permit.Release()
	return err
}

// tracker knows the connections that a request has got. There is more than one when net/http takes another
// connection because nothing could be written to the first.
type tracker struct {
	valid func() bool
	mutex sync.Mutex
	got   []gotten
	fresh bool
}

type gotten struct {
	connection *connection
	before     int64
}

func (tracker *tracker) gotConn(info httptrace.GotConnInfo) {
	own, ok := info.Conn.(*connection)
	if !ok {
		return
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.fresh = !info.Reused
	tracker.got = append(tracker.got, gotten{connection: own, before: own.written.Load()})
	own.gate.Store(&tracker.valid)
}

// reused reports whether the request was written to a connection that had been used before.
func (tracker *tracker) reused() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return !tracker.fresh
}

// wrote reports whether a byte of the request may have been written.
func (tracker *tracker) wrote() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, one := range tracker.got {
		if one.connection.written.Load() > one.before {
			return true
		}
	}
	return false
}
