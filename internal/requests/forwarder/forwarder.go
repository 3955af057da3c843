// Package forwarder sends requests to endpoints over HTTP/1.1 and relays the responses. For a failed request, it
// reports whether the endpoint may have executed it.
package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("forwarder")

// Headers of the protocol between callers, gateways and endpoints.
const (
	HeaderOutcome        = "Crocusplank-Outcome"
	HeaderDeadline       = "Crocusplank-Deadline-Ms"
	HeaderRequestID      = "Crocusplank-Request-Id"
	HeaderGateway        = "Crocusplank-Gateway"
	HeaderForwardedBy    = "Crocusplank-Forwarded-By"
	HeaderIdempotent     = "Crocusplank-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxProbeDelay is the longest time to wait for response headers before the endpoint is probed on a new connection.
const maxProbeDelay = 5 * time.Second

var (
	errShareExpired = errors.New("share expired before the request was sent")
	errNoConnection = errors.New("no connection permit available for the endpoint")
	errStalled      = errors.New("connection stalled")
)

// Forwarder sends requests to endpoints and pools the connections to them. It is safe for concurrent use.
type Forwarder struct {
	gateway        scheduler.GatewayID
	slots          scheduler.SlotSource
	onUnresponsive func(endpoint scheduler.EndpointName)
	log            zerolog.Logger
	dialFunc       func(ctx context.Context, address string) (net.Conn, error)

	mutex       sync.Mutex
	pools       map[scheduler.EndpointName]*endpointPool
	lastCleanup time.Time
}

// Option configures a Forwarder.
type Option func(forwarder *Forwarder)

// WithLogger sets the logger. By default, nothing is logged.
func WithLogger(log zerolog.Logger) Option {
	return func(forwarder *Forwarder) { forwarder.log = log }
}

// WithUnresponsiveHandler sets a function that is called when an endpoint does not respond on a new connection either.
func WithUnresponsiveHandler(handler func(endpoint scheduler.EndpointName)) Option {
	return func(forwarder *Forwarder) { forwarder.onUnresponsive = handler }
}

// WithDial replaces the function that opens TCP connections.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(forwarder *Forwarder) { forwarder.dialFunc = dial }
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// New returns a Forwarder. It opens only as many connections to an endpoint as slots permits.
func New(gateway scheduler.GatewayID, slots scheduler.SlotSource, options ...Option) *Forwarder {
	forwarder := &Forwarder{
		gateway: gateway, slots: slots, onUnresponsive: func(scheduler.EndpointName) {}, log: zerolog.Nop(),
		dialFunc: dialTCP, pools: map[scheduler.EndpointName]*endpointPool{},
	}
	for _, option := range options {
		option(forwarder)
	}
	return forwarder
}

// Call is one attempt to execute a request on an endpoint.
type Call struct {
	Endpoint scheduler.Announcement
	// Slot is released or abandoned by the Forwarder.
	Slot scheduler.Slot
	// Incoming is the caller's request. Its context carries the deadline and is cancelled when the caller
	// disconnects. Its URL is ignored.
	Incoming *http.Request
	// Target is the escaped path and the query of the request to the endpoint.
	Target string
	// Body is sent instead of the body of Incoming. nil means no body. Length is -1 if it is unknown.
	Body           io.Reader
	Length         int64
	RequestID      string
	IdempotencyKey string
	// Restart is called when the connection has stalled. If it returns true, the attempt ends with
	// OutcomeUnknown, so that the request can be retried. nil means false.
	Restart func() bool
}

// Result is the result of a Call. Response is set if and only if Outcome is OutcomeDone. The caller must close its body.
type Result struct {
	Outcome  scheduler.Outcome
	Response *http.Response
	Err      error
	// Refused is true if the endpoint responded that it did not execute the request.
	Refused bool
	// Stalled is true if the attempt was cancelled because the connection had stalled.
	Stalled bool
	// Closed is true if the endpoint closed the connection after the request was written and did not respond.
	Closed bool
	// ConnectionRefused is true if nothing listens at the address of the endpoint.
	ConnectionRefused bool
	Latency           time.Duration
}

// Send sends a request. It returns when the response headers have arrived or the attempt has failed.
func (forwarder *Forwarder) Send(call Call) Result {
	started := time.Now()
	ctx, cancel := context.WithCancelCause(call.Incoming.Context())
	tracker := &requestTracker{slotValid: call.Slot.Valid}
	request, err := forwarder.newRequest(ctx, call, tracker)
	if err != nil {
		cancel(nil)
		call.Slot.Release()
		return Result{Outcome: scheduler.OutcomeNotRun, Err: Error.Wrap(err)}
	}
	pool := forwarder.endpointPool(call.Endpoint)
	stopStallCheck := forwarder.startStallCheck(ctx, cancel, pool, call, tracker)
	response, err := pool.transport.RoundTrip(request)
	stopStallCheck()
	latency := time.Since(started)
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
			err = cause
		}
		cancel(nil)
		return forwarder.classifyFailure(call, tracker, err, latency)
	}
	response.Body = &responseBody{
		ReadCloser: response.Body, slot: call.Slot, cancel: func() { cancel(nil) }, closedByPeer: tracker.closedByPeer,
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderOutcome) == string(scheduler.OutcomeNotRun) {
		call.Slot.Release()
		// The connection is closed rather than drained: a refusal has a short body, if any.
		_ = response.Body.Close()
		return Result{Outcome: scheduler.OutcomeNotRun, Err: Error.New("endpoint refused the request"), Refused: true, Latency: latency}
	}
	return Result{Outcome: scheduler.OutcomeDone, Response: response, Latency: latency}
}

// classifyFailure returns the result for an attempt that failed before the response headers arrived. The outcome is
// OutcomeNotRun only if no byte of the request was written to a connection.
func (forwarder *Forwarder) classifyFailure(call Call, tracker *requestTracker, err error, latency time.Duration) Result {
	result := Result{Outcome: scheduler.OutcomeUnknown, Err: Error.Wrap(err), Latency: latency, Stalled: errors.Is(err, errStalled)}
	if !tracker.requestWritten() {
		result.Outcome, result.ConnectionRefused = scheduler.OutcomeNotRun, errors.Is(err, syscall.ECONNREFUSED)
		call.Slot.Release()
		return result
	}
	result.Closed = !result.Stalled && call.Incoming.Context().Err() == nil && tracker.closedByPeer()
	// The endpoint may still be executing the request.
	call.Slot.Abandon()
	return result
}

// newRequest returns the request to send to the endpoint.
func (forwarder *Forwarder) newRequest(ctx context.Context, call Call, tracker *requestTracker) (*http.Request, error) {
	// The target is split here because url.Parse would interpret a path that begins with two slashes as a host.
	rawPath, query, _ := strings.Cut(call.Target, "?")
	path, err := url.PathUnescape(rawPath)
	if err != nil {
		return nil, err
	}
	target := &url.URL{Scheme: "http", Host: call.Endpoint.Address, Path: path, RawPath: rawPath, RawQuery: query}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn})
	request := (&http.Request{
		Method: call.Incoming.Method, URL: target, Host: call.Incoming.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: endToEndHeaders(call.Incoming.Header), Trailer: call.Incoming.Trailer,
	}).WithContext(ctx)
	setBody(request, call)
	request.Header.Set(HeaderRequestID, call.RequestID)
	request.Header.Set(HeaderGateway, string(forwarder.gateway))
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(HeaderDeadline, strconv.FormatInt(max(0, time.Until(deadline).Milliseconds()), 10))
	}
	if request.Header.Get("User-Agent") == "" {
		// An empty value prevents net/http from sending its default User-Agent.
		request.Header.Set("User-Agent", "")
	}
	request.Header.Del(HeaderIdempotencyKey)
	request.Header.Del("X-" + HeaderIdempotencyKey)
	if call.IdempotencyKey != "" {
		// net/http retries a request that has one of these headers when a reused connection breaks. It checks
		// only for the canonical spelling, so the lower-case spelling prevents the retry.
		request.Header["idempotency-key"] = []string{call.IdempotencyKey}
	}
	return request, nil
}

// setBody sets the body of a request such that net/http does not retry it. When a reused connection breaks, net/http
// retries GET, HEAD, OPTIONS and TRACE requests without a body, although the endpoint may have executed them. A non-nil
// body that cannot be rewound prevents the retry; if it is empty, no body is sent.
func setBody(request *http.Request, call Call) {
	switch {
	case call.Body != nil && call.Length != 0:
		request.Body, request.ContentLength = io.NopCloser(call.Body), call.Length
	case request.Method == http.MethodGet, request.Method == http.MethodHead, request.Method == http.MethodOptions, request.Method == http.MethodTrace:
		request.Body = emptyBody{}
	default:
		request.Body = http.NoBody
	}
}

type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// responseBody ends the use of the slot with the response. It releases the slot when the response has been read to its
// end. Otherwise it abandons the slot, because the endpoint may still be executing the request.
type responseBody struct {
	io.ReadCloser
	slot         scheduler.Slot
	cancel       func()
	closedByPeer func() bool
	// interrupted is true if the endpoint closed the connection before the end of the body.
	interrupted bool
}

// Interrupted reports whether the endpoint closed the connection before the end of the response.
func Interrupted(response *http.Response) bool {
	body, ok := response.Body.(*responseBody)
	return ok && body.interrupted
}

func (responseBody *responseBody) Read(buffer []byte) (int, error) {
	count, err := responseBody.ReadCloser.Read(buffer)
	switch {
	case errors.Is(err, io.EOF):
		responseBody.slot.Release()
	case err != nil:
		responseBody.interrupted = responseBody.closedByPeer()
		responseBody.slot.Abandon()
	}
	return count, err
}

func (responseBody *responseBody) Close() error {
	err := responseBody.ReadCloser.Close()
	responseBody.cancel()
	responseBody.slot.Abandon()
	return err
}
