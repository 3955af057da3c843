package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// defaultStallTimeout leaves room for several retransmissions on a poor line.
const defaultStallTimeout = 15 * time.Second

// pauser is a body whose listener demands that it goes on arriving, until AllowPauses is called.
type pauser interface {
	AllowPauses()
}

// callerBody is the body of a caller's request. Until the endpoint responds, a read fails if the caller sends nothing for
// the stall timeout. Later the endpoint decides how long it waits for the caller.
type callerBody struct {
	source  io.Reader
	control *http.ResponseController
	// deadline is the deadline of the connection for reads that no stall timeout applies to.
	deadline     time.Time
	stallTimeout time.Duration

	mutex     sync.Mutex
	responded bool
	// failed is true if the body cannot be read to its end, and stalled if that is because the caller sent nothing.
	failed  bool
	stalled bool
	// arrived is called when no more of the body is expected.
	arrived     func()
	allowPauses func()
}

// newCallerBody returns the body of a request. source is its body with the limits of the gateway.
func (gateway *Gateway) newCallerBody(
	w http.ResponseWriter, r *http.Request, source io.Reader, deadline time.Time,
) *callerBody {
	body := &callerBody{
		source: source, control: http.NewResponseController(w), deadline: deadline, stallTimeout: gateway.stallTimeout,
		arrived: func() {}, allowPauses: func() {},
	}
	if pausable, ok := r.Body.(pauser); ok {
		body.allowPauses = pausable.AllowPauses
	}
	return body
}

// Read implements io.Reader.
func (body *callerBody) Read(buffer []byte) (int, error) {
	body.limitRead()
	count, err := body.source.Read(buffer)
	if err != nil {
		body.end(err)
	}
	return count, err
}

// limitRead sets the deadline of the connection for the next read.
func (body *callerBody) limitRead() {
	body.mutex.Lock()
	defer body.mutex.Unlock()
	deadline := body.deadline
	if stall := time.Now().Add(body.stallTimeout); !body.responded && stall.Before(deadline) {
		deadline = stall
	}
	_ = body.control.SetReadDeadline(deadline)
}

// end records why no more of the body can be read. The connection waits for the caller's next request as long as before.
func (body *callerBody) end(err error) {
	body.mutex.Lock()
	body.failed = !errors.Is(err, io.EOF)
	body.stalled = errors.Is(err, os.ErrDeadlineExceeded) && !body.responded && time.Now().Before(body.deadline)
	_ = body.control.SetReadDeadline(body.deadline)
	arrived := body.arrived
	body.mutex.Unlock()
	arrived()
}

// endStallCheck lifts the stall timeout, also from a read in progress, because the endpoint has responded.
func (body *callerBody) endStallCheck() {
	body.mutex.Lock()
	defer body.mutex.Unlock()
	body.responded = true
	body.allowPauses()
	_ = body.control.SetReadDeadline(body.deadline)
}

func (body *callerBody) setArrived(arrived func()) {
	body.mutex.Lock()
	defer body.mutex.Unlock()
	body.arrived = arrived
}

// hasStalled reports whether a read has failed because the caller sent nothing.
func (body *callerBody) hasStalled() bool {
	body.mutex.Lock()
	defer body.mutex.Unlock()
	return body.stalled
}

// hasFailed reports whether the body could not be read to its end.
func (body *callerBody) hasFailed() bool {
	body.mutex.Lock()
	defer body.mutex.Unlock()
	return body.failed
}
