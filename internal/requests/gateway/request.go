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

	"github.com/crocusplank/crocusplank/internal/requests/forwarder"
	"github.com/crocusplank/crocusplank/internal/requests/limiter"
	"github.com/crocusplank/crocusplank/internal/requests/retrier"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	headerPriority = "Crocusplank-Priority"
	// bufferLimit is the size of the largest body that is read before it is sent. Such a request can be
	// tried again, and its digest covers the body. A larger body, or one of unknown length, is streamed.
	bufferLimit = 64 << 10
	keyLimit    = 255
)

var (
	serviceName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	printable   = regexp.MustCompile(`^[!-~]+$`)
	requestName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
)

// request is a caller's request that has been checked.
type request struct {
	incoming   *http.Request
	id         string
	service    scheduler.ServiceName
	target     string
	deadline   time.Time
	idempotent bool
	forwarded  bool
	key        string
	priority   limiter.Priority
	caller     string
	// body is nil when there is none. buffered is the whole body when it can be sent again.
	body     io.Reader
	buffered []byte
	length   int64
	retry    *retrier.Request
	// admitted states that the request has got its first slot, or needs none any more.
	admitted func()
	// begun is true when the key store has decided that this request is the one that runs.
	begun bool
	// maybeRun is true when an attempt had an unknown outcome.
	maybeRun bool
	tried    map[scheduler.EndpointName]bool
}

// parse checks a request. It returns the request even with a fault, for its id.
func (gateway *Gateway) parse(w http.ResponseWriter, r *http.Request) (*request, *fault) {
	asked := &request{incoming: r, id: r.Header.Get(forwarder.HeaderRequestID), forwarded: r.Header.Get(forwarder.HeaderForwardedBy) != ""}
	if !requestName.MatchString(asked.id) {
		asked.id = newID()
	}
	if gateway.stopping.Load() {
		w.Header().Set("Connection", "close")
		return asked, refuse(http.StatusServiceUnavailable, "stopping", "this gateway is stopping").after(time.Second)
	}
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	if r.Method == http.MethodConnect || !strings.HasPrefix(r.URL.EscapedPath(), "/") || !serviceName.MatchString(service) {
		return asked, refuse(http.StatusNotFound, "noService", "the path does not begin with the name of a service")
	}
	asked.service, asked.target = scheduler.ServiceName(service), "/"+rest
	if r.URL.RawQuery != "" {
		asked.target += "?" + r.URL.RawQuery
	}
	if len(r.TransferEncoding) > 0 {
		// net/http accepts a length next to a transfer coding and hides it. What follows such a request
		// on its connection may be meant as a part of it, so it is not read as a request.
		w.Header().Set("Connection", "close")
	}
	asked.caller = gateway.caller(r)
	for _, read := range []func(*request) *fault{gateway.readDeadline, gateway.readIdempotent, readKey, readPriority} {
		if found := read(asked); found != nil {
			return asked, found
		}
	}
	if r.ContentLength > gateway.bodyLimit {
		return asked, refuse(http.StatusRequestEntityTooLarge, "bodyTooLarge", fmt.Sprintf("the body is larger than %d bytes", gateway.bodyLimit))
	}
	return asked, nil
}

func newID() string {
	made := make([]byte, 12)
	// rand.Read never fails; it ends the process when the system has no random source.
	_, _ = rand.Read(made)
	return hex.EncodeToString(made)
}

func (gateway *Gateway) readDeadline(asked *request) *fault {
	remaining := gateway.deadline
	if stated := asked.incoming.Header.Get(forwarder.HeaderDeadline); stated != "" {
		number, err := strconv.ParseInt(stated, 10, 64)
		if err != nil {
			return refuse(http.StatusBadRequest, "deadlineInvalid", forwarder.HeaderDeadline+" is not a number of milliseconds")
		}
		if number <= 0 {
			return refuse(http.StatusGatewayTimeout, "deadlinePassed", "the deadline has passed")
		}
		remaining = time.Duration(min(number, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
	}
	asked.deadline = time.Now().Add(min(remaining, gateway.longest))
	return nil
}

// readIdempotent takes the header before the service's configuration, and that before the method.
func (gateway *Gateway) readIdempotent(asked *request) *fault {
	asked.idempotent = asked.incoming.Method != http.MethodPost && asked.incoming.Method != http.MethodPatch
	if idempotent, configured := gateway.idempotent(asked.service); configured {
		asked.idempotent = idempotent
	}
	switch stated := asked.incoming.Header.Get(forwarder.HeaderIdempotent); stated {
	case "":
	case "true", "false":
		asked.idempotent = stated == "true"
	default:
		return refuse(http.StatusBadRequest, "idempotentInvalid", forwarder.HeaderIdempotent+` is neither "true" nor "false"`)
	}
	return nil
}

func readKey(asked *request) *fault {
	keys := asked.incoming.Header.Values(forwarder.HeaderIdempotencyKey)
	if len(keys) == 0 {
		return nil
	}
	asked.key = keys[0]
	if len(keys) > 1 || len(asked.key) > keyLimit || !printable.MatchString(asked.key) {
		return refuse(http.StatusBadRequest, "keyInvalid", "the key is not one value of 1 to 255 printable ASCII characters")
	}
	return nil
}

func readPriority(asked *request) *fault {
	known := map[string]limiter.Priority{"": limiter.PriorityNormal, "low": limiter.PriorityLow, "normal": limiter.PriorityNormal, "high": limiter.PriorityHigh}
	priority, ok := known[asked.incoming.Header.Get(headerPriority)]
	if !ok {
		return refuse(http.StatusBadRequest, "priorityInvalid", headerPriority+` is none of "low", "normal" and "high"`)
	}
	asked.priority = priority
	return nil
}

// readBody buffers a short body and prepares a long one for streaming.
func (gateway *Gateway) readBody(w http.ResponseWriter, asked *request) *fault {
	incoming := asked.incoming
	asked.length = incoming.ContentLength
	switch {
	case incoming.Body == nil || incoming.Body == http.NoBody || asked.length == 0:
		asked.length, asked.buffered = 0, []byte{}
	case asked.length > 0 && asked.length <= bufferLimit:
		asked.buffered = make([]byte, asked.length)
		if _, err := io.ReadFull(incoming.Body, asked.buffered); err != nil {
			return refuse(http.StatusBadRequest, "bodyIncomplete", "the body ended early")
		}
	default:
		asked.body = http.MaxBytesReader(w, incoming.Body, gateway.bodyLimit)
	}
	return nil
}

// replayable reports whether the body can be sent again.
func (asked *request) replayable() bool { return asked.buffered != nil }

// nextBody returns the body for the next attempt.
func (asked *request) nextBody() io.Reader {
	if asked.replayable() {
		return bytes.NewReader(asked.buffered)
	}
	return asked.body
}

// qualify turns "not run" into "unknown" for a request that came with a key and was refused before its key
// was looked up: it may be a resend, and the first request may have run. Refusals of malformed requests
// stand, since the first request would have met the same one.
func (asked *request) qualify(found *fault) *fault {
	mayBeResend := !asked.idempotent && !asked.begun && asked.incoming.Header.Get(forwarder.HeaderIdempotencyKey) != ""
	isTemporary := found.status == http.StatusNotFound || found.status >= http.StatusInternalServerError
	if found.outcome != scheduler.OutcomeNotRun || !mayBeResend || !isTemporary {
		return found
	}
	qualified := *found
	qualified.outcome = scheduler.OutcomeUnknown
	qualified.message += "; an earlier request with this key may have run"
	return &qualified
}

// digest identifies what the key stands for. The body is part of it only when it is buffered.
func (asked *request) digest() []byte {
	hash := sha256.New()
	for _, part := range []string{
		asked.incoming.Method, string(asked.service), asked.target, asked.incoming.Header.Get("Content-Type"),
		strconv.FormatInt(asked.length, 10), string(asked.buffered),
	} {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	return hash.Sum(nil)
}

// keyRequest returns what the key store needs.
func (asked *request) keyRequest() scheduler.KeyRequest {
	return scheduler.KeyRequest{Key: asked.key, Digest: asked.digest(), Deadline: asked.deadline}
}
