package acceptor

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// drainTimeout is the time limit for the rest of a body that a handler has not read.
const drainTimeout = time.Second

// body is the body of a request in progress.
type body struct {
	source     io.ReadCloser
	acceptor   *Acceptor
	connection *connection
	controller *http.ResponseController
	length     int64

	// received is the number of bytes read, and waited the time that reads have waited for the client. Only the handler
	// uses them.
	received int64
	waited   time.Duration
	// waitingSince is when the current read has started, 0 if there is none.
	waitingSince atomic.Int64
	// mayPause is true if the handler decides how long it waits for the client.
	mayPause atomic.Bool
	// slow is how long earlier reads have waited since the body last made progress, that is by progressBytes. recent is what
	// it received since then. Only the handler changes them.
	slow   atomic.Int64
	recent int
	// finished is true once the body has been read to its end, possibly while the handler returns.
	finished atomic.Bool

	// The mutex of the Acceptor guards held and evicted. held is the number of bytes in memory.
	held    int64
	evicted bool
}

func (acceptor *Acceptor) newBody(writer http.ResponseWriter, request *http.Request) *body {
	connection, _ := request.Context().Value(connectionKey{}).(*connection)
	body := &body{
		source: request.Body, acceptor: acceptor, connection: connection,
		controller: http.NewResponseController(writer), length: request.ContentLength,
	}
	acceptor.mutex.Lock()
	defer acceptor.mutex.Unlock()
	acceptor.bodies[body] = struct{}{}
	return body
}

// AllowPauses ends the demand for progress, for example because the client waits for a part of the response before it sends
// more. The handler sets the deadlines of further reads.
func (body *body) AllowPauses() { body.mayPause.Store(true) }

// Read implements io.Reader. It fails if the client sends nothing or too little.
func (body *body) Read(data []byte) (int, error) {
	if body.mayPause.Load() {
		return body.readPausing(data)
	}
	allowed := body.patience()
	if allowed <= 0 {
		return 0, body.fail(os.ErrDeadlineExceeded)
	}
	// A server without deadlines, as in tests of handlers, has no slow clients either.
	_ = body.controller.SetReadDeadline(time.Now().Add(allowed))
	start := body.acceptor.now()
	body.waitingSince.Store(int64(max(start, 1)))
	count, err := body.source.Read(data)
	body.waitingSince.Store(0)
	body.note(count, body.acceptor.now()-start)
	switch {
	case errors.Is(err, io.EOF) || body.received == body.length:
		body.finished.Store(true)
		_ = body.controller.SetReadDeadline(time.Time{}) // As above.
		return count, err
	case err != nil:
		return count, body.fail(err)
	}
	return count, nil
}

// readPausing reads without a demand for progress.
func (body *body) readPausing(data []byte) (int, error) {
	count, err := body.source.Read(data)
	if errors.Is(err, io.EOF) {
		body.finished.Store(true)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = body.fail(err)
	}
	return count, err
}

// note records the result of a read.
func (body *body) note(count int, waited time.Duration) {
	body.received += int64(count)
	body.waited += waited
	body.recent += count
	body.slow.Add(int64(waited))
	if body.recent >= progressBytes {
		body.recent = 0
		body.slow.Store(0)
	}
}

// patience returns how long the next read may wait for the client.
func (body *body) patience() time.Duration {
	limits := &body.acceptor.limits
	earned := time.Duration(min(body.received/limits.MinRate, math.MaxInt32)) * time.Second
	return min(limits.StallTimeout, limits.StallTimeout+earned-body.waited)
}

// fail returns the error of a read.
func (body *body) fail(err error) error {
	body.acceptor.mutex.Lock()
	evicted := body.evicted
	body.acceptor.mutex.Unlock()
	switch {
	case evicted:
		return ErrNoRoom.Wrap(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		body.acceptor.monitor.refuse(reasonStalled, body.client())
		return ErrStalled.Wrap(err)
	default:
		return err
	}
}

// Close implements io.Closer.
func (body *body) Close() error { return body.source.Close() }

// reserve counts more bytes of the body as held. If there is no room, it closes the connections of larger bodies that are
// stalled, or fails.
func (body *body) reserve(bytes int64) error {
	acceptor := body.acceptor
	acceptor.mutex.Lock()
	defer acceptor.mutex.Unlock()
	if body.evicted {
		return ErrNoRoom.New("connection closed in favour of others")
	}
	needed := acceptor.counted(body.held+bytes) - acceptor.counted(body.held)
	if !acceptor.makeRoom(needed, body, body.connection) {
		acceptor.monitor.refuse(reasonBodies, body.client())
		return ErrNoRoom.New("%d bytes of requests are in progress", acceptor.bodyBytes)
	}
	body.held += bytes
	acceptor.count(needed)
	return nil
}

// release ends the request. The rest of its body, if any, must come soon, because the server reads it before it responds.
func (body *body) release() {
	acceptor := body.acceptor
	acceptor.mutex.Lock()
	delete(acceptor.bodies, body)
	acceptor.count(-acceptor.counted(body.held))
	body.held = 0
	if !body.finished.Load() && body.connection != nil {
		body.connection.draining = true
	}
	acceptor.mutex.Unlock()
	if !body.finished.Load() {
		_ = body.controller.SetReadDeadline(time.Now().Add(drainTimeout)) // It fails only if the connection is closed.
	}
}

// counted returns the part of the bytes of a body that counts towards Limits.BodyBytes.
func (acceptor *Acceptor) counted(held int64) int64 {
	return max(held-acceptor.limits.SmallBodyBytes, 0)
}

// count changes the sum of the bytes of all bodies. The caller must hold the mutex.
func (acceptor *Acceptor) count(bytes int64) {
	if bytes != 0 {
		acceptor.bodyBytes += bytes
		acceptor.monitor.bodyBytes.Update(float64(acceptor.bodyBytes))
	}
}

// evict closes the connection of the body and frees its bytes. The caller must hold the mutex of the Acceptor.
func (body *body) evict(reason reason) {
	body.acceptor.count(-body.acceptor.counted(body.held))
	body.held, body.evicted = 0, true
	body.connection.evict(reason)
}

// client returns the address of the client, for logs.
func (body *body) client() string {
	if body.connection == nil {
		return ""
	}
	return sourceOf(body.connection)
}

// makeRoom closes connections with the largest stalled bodies, then those with the largest stalled headers, until there is
// room for more bytes, and reports whether there is. The body and the connection that need the room are spared. The caller
// must hold the mutex.
func (acceptor *Acceptor) makeRoom(bytes int64, body *body, connection *connection) bool {
	for bytes > 0 && acceptor.bodyBytes+bytes > acceptor.limits.BodyBytes {
		if stalled := acceptor.largestStalled(body); stalled != nil && acceptor.counted(stalled.held) > 0 {
			stalled.evict(reasonBodies)
			continue
		}
		stalled := acceptor.largestStalledHeader(connection)
		if stalled == nil {
			return false
		}
		stalled.evict(reasonHeaders)
	}
	return true
}

// largestStalledHeader returns the connection with the most memory of an unfinished header whose client has sent nothing
// for evictionAge, or nil. The caller must hold the mutex.
func (acceptor *Acceptor) largestStalledHeader(except *connection) *connection {
	var largest *connection
	now := acceptor.now()
	for candidate := range acceptor.connections {
		if candidate == except || candidate.held == 0 || !candidate.inHeader.Load() || now-candidate.heldSince < evictionAge {
			continue
		}
		if largest == nil || candidate.held > largest.held {
			largest = candidate
		}
	}
	return largest
}

// largestStalled returns the unfinished body with the most bytes whose reads have waited for evictionAge without progress,
// or nil. The caller must hold the mutex.
func (acceptor *Acceptor) largestStalled(except *body) *body {
	var largest *body
	now := acceptor.now()
	for candidate := range acceptor.bodies {
		if candidate == except || candidate.evicted || candidate.connection == nil || !candidate.isStalled(now) {
			continue
		}
		if largest == nil || candidate.held > largest.held {
			largest = candidate
		}
	}
	return largest
}

func (body *body) isStalled(now time.Duration) bool {
	since := body.waitingSince.Load()
	return since > 0 && !body.mayPause.Load() && now-time.Duration(since)+time.Duration(body.slow.Load()) >= evictionAge
}
