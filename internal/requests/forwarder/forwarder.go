// Package forwarder sends requests to endpoints over HTTP/1.1 and relays the responses. It reports truly
// whether an endpoint can have run a request.
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
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("forwarder")

// Headers of the project's own protocol.
const (
	HeaderOutcome        = "Crocusplank-Outcome"
	HeaderDeadline       = "Crocusplank-Deadline-Ms"
	HeaderRequestID      = "Crocusplank-Request-Id"
	HeaderGateway        = "Crocusplank-Gateway"
	HeaderForwardedBy    = "Crocusplank-Forwarded-By"
	HeaderIdempotent     = "Crocusplank-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// probeLimit is the longest wait for response headers before the connection is doubted.
const probeLimit = 5 * time.Second

var (
	errShareExpired = errors.New("share expired before the request was sent")
	errNoConnection = errors.New("no connection to the endpoint is free")
	errSilent       = errors.New("connection is silent")
)

// Forwarder holds the connections to the endpoints. It is safe for concurrent use.
type Forwarder struct {
	gateway scheduler.GatewayID
	shares  scheduler.SlotSource
	bad     func(endpoint scheduler.EndpointName)
	log     zerolog.Logger
	open    func(ctx context.Context, address string) (net.Conn, error)

	mutex sync.Mutex
	pools map[scheduler.EndpointName]*pool
	swept time.Time
}

// Option changes a Forwarder at its creation.
type Option func(forwarder *Forwarder)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option {
	return func(forwarder *Forwarder) { forwarder.log = log }
}

// WithUnresponsiveHandler sets a function that is called when an endpoint does not answer on a fresh connection either.
func WithUnresponsiveHandler(bad func(endpoint scheduler.EndpointName)) Option {
	return func(forwarder *Forwarder) { forwarder.bad = bad }
}

// WithDial replaces the way to open a TCP connection.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(forwarder *Forwarder) { forwarder.open = dial }
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// New returns a Forwarder that opens connections within the shares.
func New(gateway scheduler.GatewayID, shares scheduler.SlotSource, options ...Option) *Forwarder {
	forwarder := &Forwarder{
		gateway: gateway, shares: shares, bad: func(scheduler.EndpointName) {}, log: zerolog.Nop(),
		open: dialTCP, pools: map[scheduler.EndpointName]*pool{},
	}
	for _, option := range options {
		option(forwarder)
	}
	return forwarder
}

// Call is one attempt to have an endpoint run a request.
type Call struct {
	Endpoint scheduler.Announcement
	// Slot is released or abandoned by the Forwarder.
	Slot scheduler.Slot
	// Incoming is the caller's request. Its context carries the deadline and ends when the caller goes
	// away. Its URL is not used.
	Incoming *http.Request
	// Target is the escaped path with the query that the endpoint receives.
	Target string
	// Body is sent instead of the body of Incoming, nil for none. Length is -1 when unknown.
	Body           io.Reader
	Length         int64
	RequestID      string
	IdempotencyKey string
	// Restart is asked when the connection has proved silent. When it returns true the attempt ends as
	// unknown, so that it can be tried again. nil counts as false.
	Restart func() bool
}

// Result is what became of a Call. Response is set exactly when Outcome is OutcomeDone; its body must be
// closed.
type Result struct {
	Outcome  scheduler.Outcome
	Response *http.Response
	Err      error
	// Refused is true when the endpoint itself answered that it did not run the request.
	Refused bool
	// Stalled is true when the attempt was ended because the connection was silent.
	Stalled bool
	Latency time.Duration
}

// Send sends a request and returns when the response's headers have arrived or the attempt has failed.
func (forwarder *Forwarder) Send(call Call) Result {
	started := time.Now()
	ctx, cancel := context.WithCancelCause(call.Incoming.Context())
	watched := &tracker{valid: call.Slot.Valid}
	request, err := forwarder.outgoing(ctx, call, watched)
	if err != nil {
		cancel(nil)
		call.Slot.Release()
		return Result{Outcome: scheduler.OutcomeNotRun, Err: Error.Wrap(err)}
	}
	own := forwarder.pool(call.Endpoint)
	stopDoubting := forwarder.doubt(ctx, cancel, own, call, watched)
	response, err := own.transport.RoundTrip(request)
	stopDoubting()
	latency := time.Since(started)
	if err != nil {
		if silent := context.Cause(ctx); errors.Is(silent, errSilent) {
			err = silent
		}
		cancel(nil)
		return forwarder.failed(call, watched, err, latency)
	}
	response.Body = &body{ReadCloser: response.Body, slot: call.Slot, cancel: func() { cancel(nil) }}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderOutcome) == string(scheduler.OutcomeNotRun) {
		call.Slot.Release()
		// The connection is closed rather than drained: a refusal has a short body, if any.
		_ = response.Body.Close()
		return Result{Outcome: scheduler.OutcomeNotRun, Err: Error.New("endpoint refused the request"), Refused: true, Latency: latency}
	}
	return Result{Outcome: scheduler.OutcomeDone, Response: response, Latency: latency}
}

// failed classifies a failure before the response's headers: notRun only when no byte of the request was
// written to a connection.
func (forwarder *Forwarder) failed(call Call, watched *tracker, err error, latency time.Duration) Result {
	result := Result{Outcome: scheduler.OutcomeUnknown, Err: Error.Wrap(err), Latency: latency, Stalled: errors.Is(err, errSilent)}
	if !watched.wrote() {
		result.Outcome = scheduler.OutcomeNotRun
		call.Slot.Release()
		return result
	}
	// The endpoint may go on running the request.
	call.Slot.Abandon()
	return result
}

// outgoing makes the request for the endpoint.
func (forwarder *Forwarder) outgoing(ctx context.Context, call Call, watched *tracker) (*http.Request, error) {
	// The target is taken apart by hand: url.Parse would take a path that begins with two slashes for a
	// host.
	raw, query, _ := strings.Cut(call.Target, "?")
	path, err := url.PathUnescape(raw)
	if err != nil {
		return nil, err
	}
	target := &url.URL{Scheme: "http", Host: call.Endpoint.Address, Path: path, RawPath: raw, RawQuery: query}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: watched.gotConn})
	request := (&http.Request{
		Method: call.Incoming.Method, URL: target, Host: call.Incoming.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: endToEnd(call.Incoming.Header), Trailer: call.Incoming.Trailer,
	}).WithContext(ctx)
	setBody(request, call)
	request.Header.Set(HeaderRequestID, call.RequestID)
	request.Header.Set(HeaderGateway, string(forwarder.gateway))
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(HeaderDeadline, strconv.FormatInt(max(0, time.Until(deadline).Milliseconds()), 10))
	}
	if request.Header.Get("User-Agent") == "" {
		// An empty value keeps net/http from sending its own name.
		request.Header.Set("User-Agent", "")
	}
	request.Header.Del(HeaderIdempotencyKey)
	request.Header.Del("X-" + HeaderIdempotencyKey)
	if call.IdempotencyKey != "" {
		// net/http repeats a request with one of these headers when a reused connection breaks. It
		// looks for the canonical spelling only.
		request.Header["idempotency-key"] = []string{call.IdempotencyKey}
	}
	return request, nil
}

// setBody keeps net/http from repeating a request on its own. It repeats a GET, HEAD, OPTIONS or TRACE
// without a body when a reused connection breaks, although the endpoint may have run it; a body that is
// not nil and cannot be read again prevents this and is not sent when it is empty.
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

// body gives the slot back at the end of the response. A response that was not read to its end leaves the
// endpoint perhaps still running.
type body struct {
	io.ReadCloser
	slot   scheduler.Slot
	cancel func()
}

func (body *body) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	switch {
	case errors.Is(err, io.EOF):
		body.slot.Release()
	case err != nil:
		body.slot.Abandon()
	}
	return count, err
}

func (body *body) Close() error {
	err := body.ReadCloser.Close()
	body.cancel()
	body.slot.Abandon()
	return err
}
