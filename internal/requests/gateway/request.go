package gateway

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/crocusplank/crocusplank/internal/operating/acceptor"
	"github.com/crocusplank/crocusplank/internal/requests/forwarder"
	"github.com/crocusplank/crocusplank/internal/requests/isolator"
	"github.com/crocusplank/crocusplank/internal/requests/limiter"
	"github.com/crocusplank/crocusplank/internal/requests/retrier"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	headerPriority = "Crocusplank-Priority"
	// maxBufferedBytes is the maximum size of a body that is read into memory before it is sent. Such a request can
	// be retried, and its digest covers the body. A larger body, or one of unknown length, is streamed.
	maxBufferedBytes = 64 << 10
	maxKeyLength     = 255
	// noRoomRetryDelay is when a caller may send a body again for which there was no memory.
	noRoomRetryDelay = 2 * time.Second
)

var (
	serviceNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	keyPattern         = regexp.MustCompile(`^[!-~]+$`)
	requestIDPattern   = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
)

// callerRequest is a request of a caller with its parsed headers.
type callerRequest struct {
	incoming   *http.Request
	id         string
	service    scheduler.ServiceName
	target     string
	deadline   time.Time
	idempotent bool
	forwarded  bool
	key        string
	priority   limiter.Priority
	callerID   string
	// body is the body to stream, if any, with its arrival not awaited. buffered is the complete body if it can be sent more than once, else nil.
	body     *callerBody
	buffered []byte
	length   int64
	retry    *retrier.Request
	// leaveQueue removes the request from the count of queued requests. It is called when the request has acquired
	// its first slot or has ended.
	leaveQueue func()
	// keyAcquired is true if the key store has recorded this request as the only one to be executed under its key.
	keyAcquired bool
	// mayHaveRun is true if the outcome of an attempt is unknown.
	mayHaveRun     bool
	triedEndpoints map[scheduler.EndpointName]bool
	// identify returns the fingerprint of the request. It is computed when it is first needed.
	identify func() isolator.Fingerprint
	// broken are the attempts that ended because the endpoint closed the connection.
	broken []*isolator.Run
}

// parseRequest parses and validates a request. It returns a request even on failure, because the error response needs
// its id.
func (gateway *Gateway) parseRequest(w http.ResponseWriter, r *http.Request) (*callerRequest, *failure) {
	request := &callerRequest{
		incoming: r, id: r.Header.Get(forwarder.HeaderRequestID), forwarded: r.Header.Get(forwarder.HeaderForwardedBy) != "",
	}
	if !requestIDPattern.MatchString(request.id) {
		request.id = newRequestID()
	}
	if gateway.stopping.Load() {
		w.Header().Set("Connection", "close")
		return request, reject(http.StatusServiceUnavailable, "stopping", "this gateway is shutting down").
			withRetryAfter(time.Second)
	}
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	if r.Method == http.MethodConnect || !strings.HasPrefix(r.URL.EscapedPath(), "/") ||
		!serviceNamePattern.MatchString(service) {
		return request, reject(http.StatusNotFound, "noService", "the path does not begin with a valid service name")
	}
	request.service, request.target = scheduler.ServiceName(service), "/"+rest
	if r.URL.RawQuery != "" {
		request.target += "?" + r.URL.RawQuery
	}
	if len(r.TransferEncoding) > 0 {
		// net/http accepts a Content-Length header next to a transfer coding and ignores it. The bytes that follow
		// such a request may have been intended as a part of its body, so the connection is closed and they are not
		// parsed as a request. This prevents request smuggling.
		w.Header().Set("Connection", "close")
	}
	request.callerID = gateway.callerID(r)
	for _, parse := range []func(*callerRequest) *failure{
		gateway.parseDeadline, gateway.parseIdempotent, parseKey, parsePriority,
	} {
		if failed := parse(request); failed != nil {
			return request, failed
		}
	}
	if r.ContentLength > gateway.bodyLimit {
		return request, reject(http.StatusRequestEntityTooLarge, "bodyTooLarge",
			fmt.Sprintf("the body is larger than %d bytes", gateway.bodyLimit))
	}
	return request, nil
}

func newRequestID() string {
	id := make([]byte, 12)
	// rand.Read never returns an error; it terminates the process if the system has no source of random numbers.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

func (gateway *Gateway) parseDeadline(request *callerRequest) *failure {
	remaining := gateway.deadline
	if value := request.incoming.Header.Get(forwarder.HeaderDeadline); value != "" {
		number, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return reject(http.StatusBadRequest, "deadlineInvalid",
				forwarder.HeaderDeadline+" is not a number of milliseconds")
		}
		if number <= 0 {
			return reject(http.StatusGatewayTimeout, "deadlinePassed", "the deadline has passed")
		}
		remaining = time.Duration(min(number, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
	}
	request.deadline = time.Now().Add(min(remaining, gateway.maxDeadline))
	return nil
}

// parseIdempotent determines whether the request is idempotent. The header takes precedence over the configuration of
// the service, which takes precedence over the method.
func (gateway *Gateway) parseIdempotent(request *callerRequest) *failure {
	request.idempotent = request.incoming.Method != http.MethodPost && request.incoming.Method != http.MethodPatch
	if idempotent, configured := gateway.idempotent(request.service); configured {
		request.idempotent = idempotent
	}
	switch value := request.incoming.Header.Get(forwarder.HeaderIdempotent); value {
	case "":
	case "true", "false":
		request.idempotent = value == "true"
	default:
		return reject(http.StatusBadRequest, "idempotentInvalid",
			forwarder.HeaderIdempotent+` is neither "true" nor "false"`)
	}
	return nil
}

func parseKey(request *callerRequest) *failure {
	keys := request.incoming.Header.Values(forwarder.HeaderIdempotencyKey)
	if len(keys) == 0 {
		return nil
	}
	request.key = keys[0]
	if len(keys) > 1 || len(request.key) > maxKeyLength || !keyPattern.MatchString(request.key) {
		return reject(http.StatusBadRequest, "keyInvalid",
			"the key must be a single value of 1 to 255 printable ASCII characters")
	}
	return nil
}

func parsePriority(request *callerRequest) *failure {
	priorities := map[string]limiter.Priority{
		"": limiter.PriorityNormal, "low": limiter.PriorityLow,
		"normal": limiter.PriorityNormal, "high": limiter.PriorityHigh,
	}
	priority, ok := priorities[request.incoming.Header.Get(headerPriority)]
	if !ok {
		return reject(http.StatusBadRequest, "priorityInvalid",
			headerPriority+` is none of "low", "normal" and "high"`)
	}
	request.priority = priority
	return nil
}

// readBody reads a body of up to maxBufferedBytes into memory and prepares any other body for streaming.
func (gateway *Gateway) readBody(w http.ResponseWriter, request *callerRequest) *failure {
	incoming := request.incoming
	request.length = incoming.ContentLength
	switch {
	case incoming.Body == nil || incoming.Body == http.NoBody || request.length == 0:
		request.length, request.buffered = 0, []byte{}
	case request.length > 0 && request.length <= maxBufferedBytes:
		buffered, err := acceptor.ReadBody(incoming, maxBufferedBytes)
		if err != nil {
			return unreadBody(err)
		}
		request.buffered = buffered
	default:
		limited := http.MaxBytesReader(w, incoming.Body, gateway.bodyLimit)
		request.body = gateway.newCallerBody(w, incoming, limited, request.deadline.Add(slowCallerTimeout))
	}
	return nil
}

// unreadBody returns the failure of a request whose body was to be read before it is sent.
func unreadBody(err error) *failure {
	switch {
	case acceptor.ErrStalled.Has(err):
		return stalledBody(scheduler.OutcomeNotRun)
	case acceptor.ErrNoRoom.Has(err):
		return reject(http.StatusServiceUnavailable, "overloaded", err.Error()).withRetryAfter(noRoomRetryDelay)
	}
	return reject(http.StatusBadRequest, "bodyIncomplete", "the body is shorter than its Content-Length")
}

// stalledBody returns the failure of a request whose caller has stopped sending the body.
func stalledBody(outcome scheduler.Outcome) *failure {
	return &failure{
		status: http.StatusRequestTimeout, code: "bodyStalled", outcome: outcome, message: "the body stopped arriving",
	}
}

// replayable reports whether the body can be sent more than once.
func (request *callerRequest) replayable() bool { return request.buffered != nil }

// nextBody returns the body for the next attempt.
func (request *callerRequest) nextBody() io.Reader {
	if request.replayable() {
		return bytes.NewReader(request.buffered)
	}
	return request.body
}

// isStreaming reports whether the body is passed on while it arrives.
func (request *callerRequest) isStreaming() bool { return request.body != nil }

// markPossibleResend changes the outcome from notRun to unknown for a request with a key that was rejected before the
// key was looked up: it may be a resend, and the first request may have been executed. The outcome of a malformed
// request remains notRun, because the first request would have been rejected for the same reason.
func (request *callerRequest) markPossibleResend(failed *failure) *failure {
	mayBeResend := !request.idempotent && !request.keyAcquired &&
		request.incoming.Header.Get(forwarder.HeaderIdempotencyKey) != ""
	isTemporary := failed.status == http.StatusNotFound || failed.status == http.StatusRequestTimeout ||
		failed.status >= http.StatusInternalServerError
	if failed.outcome != scheduler.OutcomeNotRun || !mayBeResend || !isTemporary {
		return failed
	}
	marked := *failed
	marked.outcome = scheduler.OutcomeUnknown
	marked.message += "; an earlier request with this key may have run"
	return &marked
}

// digest returns a hash of the request, which tells a resend from another request with the same key. The body is
// included only if it is buffered.
func (request *callerRequest) digest() []byte {
	hash := sha256.New()
	for _, part := range []string{
		request.incoming.Method, string(request.service), request.target, request.incoming.Header.Get("Content-Type"),
		strconv.FormatInt(request.length, 10), string(request.buffered),
	} {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	return hash.Sum(nil)
}

// fingerprint identifies resends of the request. A body that is not buffered is not part of the digest, so that such a
// request is identified only by the key that its caller gave.
func (request *callerRequest) fingerprint() isolator.Fingerprint {
	key := request.incoming.Header.Get(forwarder.HeaderIdempotencyKey)
	switch {
	case request.replayable():
		return isolator.Fingerprint(request.digest())
	case key != "":
		return sha256.Sum256([]byte(string(request.service) + "\x00" + key))
	}
	return isolator.Fingerprint{}
}

// keyRequest returns the arguments for the key store.
func (request *callerRequest) keyRequest() scheduler.KeyRequest {
	return scheduler.KeyRequest{Key: request.key, Digest: request.digest(), Deadline: request.deadline}
}
