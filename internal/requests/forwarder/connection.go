package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	dialTimeout = time.Second
	// idleTimeout is well below the 60 s after which endpoints close idle connections, so that a request is not
	// written to a connection that the endpoint is closing.
	idleTimeout = 20 * time.Second
	// maxResponseHeaderBytes limits the memory for the response headers of an endpoint.
	maxResponseHeaderBytes = 64 << 10
	bufferSize             = 16 << 10
	poolIdleTimeout        = time.Minute
)

// endpointPool is the connection pool of one endpoint.
type endpointPool struct {
	endpoint  scheduler.EndpointName
	address   string
	transport *http.Transport
	lastUsed  time.Time
	probing   atomic.Bool
}

// endpointPool returns the connection pool of an endpoint. It also closes pools that have not been used for a minute.
func (forwarder *Forwarder) endpointPool(endpoint scheduler.Announcement) *endpointPool {
	now := time.Now()
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	if now.Sub(forwarder.lastCleanup) > poolIdleTimeout {
		forwarder.lastCleanup = now
		for name, pool := range forwarder.pools {
			if now.Sub(pool.lastUsed) > poolIdleTimeout {
				pool.transport.CloseIdleConnections()
				delete(forwarder.pools, name)
			}
		}
	}
	pool := forwarder.pools[endpoint.Endpoint]
	if pool == nil || pool.address != endpoint.Address {
		if pool != nil {
			pool.transport.CloseIdleConnections()
		}
		pool = forwarder.newPool(endpoint)
		forwarder.pools[endpoint.Endpoint] = pool
	}
	pool.lastUsed = now
	return pool
}

func (forwarder *Forwarder) newPool(endpoint scheduler.Announcement) *endpointPool {
	pool := &endpointPool{endpoint: endpoint.Endpoint, address: endpoint.Address}
	pool.transport = &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return forwarder.dial(ctx, pool)
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    endpoint.Slots,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  time.Second,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        bufferSize,
		ReadBufferSize:         bufferSize,
	}
	return pool
}

// closePool closes the idle connections of a pool and removes it. Later requests open new connections.
func (forwarder *Forwarder) closePool(pool *endpointPool) {
	forwarder.mutex.Lock()
	if forwarder.pools[pool.endpoint] == pool {
		delete(forwarder.pools, pool.endpoint)
	}
	forwarder.mutex.Unlock()
	pool.transport.CloseIdleConnections()
}

// Close closes the idle connections to all endpoints.
func (forwarder *Forwarder) Close() {
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	for name, pool := range forwarder.pools {
		pool.transport.CloseIdleConnections()
		delete(forwarder.pools, name)
	}
}

// dial opens a connection to an endpoint if this gateway's share of the endpoint allows another one.
func (forwarder *Forwarder) dial(ctx context.Context, pool *endpointPool) (net.Conn, error) {
	permit, ok := forwarder.slots.AcquireConnection(pool.endpoint)
	if !ok {
		return nil, errNoConnection
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := forwarder.dialFunc(ctx, pool.address)
	if err != nil {
		permit.Release()
		return nil, err
	}
	return &connection{Conn: conn, permit: permit}, nil
}

// connection counts the bytes that may have been written. Before the first byte of a request, it calls mayStart to
// check whether the request may still be started.
type connection struct {
	net.Conn
	permit   scheduler.Slot
	written  atomic.Int64
	mayStart atomic.Pointer[func() bool]
	// closedByPeer is true once the endpoint has closed or reset the connection.
	closedByPeer atomic.Bool
}

// Read reads from the connection and records whether the endpoint has closed it.
func (connection *connection) Read(buffer []byte) (int, error) {
	count, err := connection.Conn.Read(buffer)
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		connection.closedByPeer.Store(true)
	}
	return count, err
}

func (connection *connection) Write(buffer []byte) (int, error) {
	if mayStart := connection.mayStart.Swap(nil); mayStart != nil && !(*mayStart)() {
		return 0, errShareExpired
	}
	// The bytes are counted before the write, so that a request that fails during the write is not considered unwritten.
	connection.written.Add(int64(len(buffer)))
	count, err := connection.Conn.Write(buffer)
	connection.written.Add(int64(count - len(buffer)))
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		connection.closedByPeer.Store(true)
	}
	return count, err
}

// Close closes the connection and releases its permit.
func (connection *connection) Close() error {
	err := connection.Conn.Close()
	connection.permit.Release()
	return err
}

// requestTracker records the connections that net/http has acquired for a request. There is more than one if net/http
// switches to another connection because nothing could be written to the first.
type requestTracker struct {
	slotValid     func() bool
	mutex         sync.Mutex
	acquired      []acquiredConnection
	newConnection bool
}

type acquiredConnection struct {
	connection    *connection
	writtenBefore int64
}

func (requestTracker *requestTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*connection)
	if !ok {
		return
	}
	requestTracker.mutex.Lock()
	defer requestTracker.mutex.Unlock()
	requestTracker.newConnection = !info.Reused
	requestTracker.acquired = append(requestTracker.acquired, acquiredConnection{
		connection: conn, writtenBefore: conn.written.Load(),
	})
	conn.mayStart.Store(&requestTracker.slotValid)
}

// reused reports whether the request was sent on a connection that had been used before.
func (requestTracker *requestTracker) reused() bool {
	requestTracker.mutex.Lock()
	defer requestTracker.mutex.Unlock()
	return !requestTracker.newConnection
}

// requestWritten reports whether any byte of the request may have been written.
func (requestTracker *requestTracker) requestWritten() bool {
	requestTracker.mutex.Lock()
	defer requestTracker.mutex.Unlock()
	for _, acquired := range requestTracker.acquired {
		if acquired.connection.written.Load() > acquired.writtenBefore {
			return true
		}
	}
	return false
}

// closedByPeer reports whether the endpoint closed the last connection on which the request was written.
func (requestTracker *requestTracker) closedByPeer() bool {
	requestTracker.mutex.Lock()
	defer requestTracker.mutex.Unlock()
	if len(requestTracker.acquired) == 0 {
		return false
	}
	last := requestTracker.acquired[len(requestTracker.acquired)-1].connection
	return last.closedByPeer.Load()
}
