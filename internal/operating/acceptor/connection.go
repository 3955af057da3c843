package acceptor

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// smallHeaderBytes is the part of a header that is always admitted. It fits the first read of a request.
	smallHeaderBytes = 4 << 10
	// headerFactor is the memory that a header takes for each of its bytes when its fields are as short as possible.
	headerFactor = 16
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// connection is an admitted connection.
type connection struct {
	net.Conn
	acceptor *Acceptor
	// writeDeadline is the deadline that the handler has set for writes.
	writeDeadline atomic.Pointer[time.Time]
	// inHeader is true until the header of a request has been read.
	inHeader atomic.Bool
	// headerBytes is the number of bytes read of the header. Only the server's goroutine for the connection uses it.
	headerBytes int64

	// The mutex of the Acceptor guards the fields below.
	state http.ConnState
	// since is when the state has changed.
	since time.Duration
	// draining is true while the server reads the rest of a body that its handler has not read.
	draining bool
	// held is the memory of the header that counts towards Limits.BodyBytes, and heldSince when it last grew.
	held      int64
	heldSince time.Duration
	// forgotten is true once the connection no longer counts.
	forgotten bool
}

// connectionOf returns the admitted connection below a connection of the server, or nil.
func connectionOf(socket net.Conn) *connection {
	for {
		switch known := socket.(type) {
		case *connection:
			return known
		case interface{ NetConn() net.Conn }:
			socket = known.NetConn()
		default:
			return nil
		}
	}
}

// Read implements net.Conn. It counts the memory of headers.
func (connection *connection) Read(data []byte) (int, error) {
	count, err := connection.Conn.Read(data)
	if count == 0 || !connection.inHeader.Load() {
		return count, err
	}
	connection.headerBytes += int64(count)
	if connection.headerBytes > smallHeaderBytes {
		if refusal := connection.reserveHeader(int64(count) * headerFactor); refusal != nil {
			return 0, refusal
		}
	}
	return count, err
}

// reserveHeader counts memory of a header, or fails if there is no room.
func (connection *connection) reserveHeader(bytes int64) error {
	acceptor := connection.acceptor
	acceptor.mutex.Lock()
	defer acceptor.mutex.Unlock()
	if connection.forgotten {
		return net.ErrClosed
	}
	if !acceptor.makeRoom(bytes, nil, connection) {
		acceptor.monitor.refuse(reasonHeaders, sourceOf(connection))
		return ErrNoRoom.New("%d bytes of requests are in progress", acceptor.bodyBytes)
	}
	acceptor.count(bytes)
	connection.held += bytes
	connection.heldSince = acceptor.now()
	return nil
}

// Write implements net.Conn. A client that does not read its response must not hold the connection.
func (connection *connection) Write(data []byte) (int, error) {
	limits := &connection.acceptor.limits
	timeout := limits.WriteTimeout + time.Duration(int64(len(data))/limits.MinRate)*time.Second
	deadline := time.Now().Add(timeout)
	if set := connection.writeDeadline.Load(); set != nil && !set.IsZero() && set.Before(deadline) {
		deadline = *set
	}
	if err := connection.Conn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	return connection.Conn.Write(data)
}

// SetWriteDeadline implements net.Conn.
func (connection *connection) SetWriteDeadline(deadline time.Time) error {
	connection.writeDeadline.Store(&deadline)
	return connection.Conn.SetWriteDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (connection *connection) SetDeadline(deadline time.Time) error {
	connection.writeDeadline.Store(&deadline)
	return connection.Conn.SetDeadline(deadline)
}

// NetConn returns the connection of the socket.
func (connection *connection) NetConn() net.Conn { return connection.Conn }

// Close implements net.Conn.
func (connection *connection) Close() error {
	connection.acceptor.mutex.Lock()
	connection.forget()
	connection.acceptor.mutex.Unlock()
	return connection.Conn.Close()
}

// forget frees the room of the connection. The caller must hold the mutex of the Acceptor.
func (connection *connection) forget() {
	acceptor := connection.acceptor
	connection.releaseHeader()
	connection.forgotten = true
	delete(acceptor.connections, connection)
	acceptor.monitor.connections.Update(float64(len(acceptor.connections)))
}

// releaseHeader frees the memory of the header. The caller must hold the mutex of the Acceptor.
func (connection *connection) releaseHeader() {
	connection.acceptor.count(-connection.held)
	connection.held = 0
}

// evict closes the connection in favour of others. The caller must hold the mutex of the Acceptor.
func (connection *connection) evict(reason reason) {
	connection.forget()
	connection.acceptor.monitor.evict(reason, sourceOf(connection))
	_ = connection.Conn.Close() // The server learns it from its next read.
}

// changeState records the state that the server reports for a connection.
func (acceptor *Acceptor) changeState(socket net.Conn, state http.ConnState) {
	connection := connectionOf(socket)
	if connection == nil {
		return
	}
	acceptor.mutex.Lock()
	defer acceptor.mutex.Unlock()
	connection.state, connection.since, connection.draining = state, acceptor.now(), false
	inHeader := state == http.StateNew || state == http.StateIdle
	connection.inHeader.Store(inHeader)
	if inHeader {
		connection.headerBytes = 0
		connection.releaseHeader()
	}
}

// listener admits the connections of a socket.
type listener struct {
	net.Listener
	acceptor *Acceptor
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		socket, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := listener.acceptor.admit(socket); admitted != nil {
			return admitted, nil
		}
		_ = socket.Close() // The client learns it either way.
	}
}

// admit returns the admitted connection, or nil if there is no room.
func (acceptor *Acceptor) admit(socket net.Conn) net.Conn {
	acceptor.mutex.Lock()
	defer acceptor.mutex.Unlock()
	if len(acceptor.connections) >= acceptor.limits.Connections && !acceptor.evictConnection() {
		acceptor.monitor.refuse(reasonConnections, sourceOf(socket))
		return nil
	}
	admitted := &connection{Conn: socket, acceptor: acceptor, since: acceptor.now()}
	admitted.inHeader.Store(true)
	acceptor.connections[admitted] = struct{}{}
	acceptor.monitor.connections.Update(float64(len(acceptor.connections)))
	return admitted
}

// evictConnection closes the connection of the largest stalled body, or else the one that has sent no request for longest.
// It returns false if all have a request in progress or are new. The caller must hold the mutex.
func (acceptor *Acceptor) evictConnection() bool {
	if stalled := acceptor.largestStalled(nil); stalled != nil {
		stalled.evict(reasonConnections)
		return true
	}
	var idlest *connection
	now := acceptor.now()
	for candidate := range acceptor.connections {
		if candidate.isEvictable(now) && (idlest == nil || candidate.isIdlerThan(idlest)) {
			idlest = candidate
		}
	}
	if idlest == nil {
		return false
	}
	idlest.evict(reasonConnections)
	return true
}

// isEvictable reports whether the connection may be closed: no request was read from it that was not answered.
func (connection *connection) isEvictable(now time.Duration) bool {
	switch connection.state {
	case http.StateIdle:
		return true
	case http.StateNew:
		return now-connection.since >= evictionAge
	default:
		return connection.draining
	}
}

// isIdlerThan orders connections for eviction: first those with the rest of a body that nobody reads, then those that have
// never sent a request, then those that wait for the next one.
func (connection *connection) isIdlerThan(other *connection) bool {
	if connection.draining != other.draining {
		return connection.draining
	}
	if connection.state != other.state {
		return connection.state == http.StateNew
	}
	return connection.since < other.since
}
