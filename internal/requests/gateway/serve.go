package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/requests/forwarder"
	"github.com/crocusplank/crocusplank/internal/requests/limiter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// slowCallerLimit is how long after the deadline a caller may still take to read or write.
const slowCallerLimit = time.Second

// ServeHTTP serves /{service}/{path...}; the endpoint receives /{path...}.
func (gateway *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	// Without this net/http reads the rest of the caller's body before it sends the response's headers,
	// which stops streams in both directions and holds back refusals. Writers without the feature, as
	// in tests, are served without.
	_ = control.EnableFullDuplex()
	asked, found := gateway.parse(w, r)
	if found != nil {
		gateway.fail(w, asked, found)
		return
	}
	gateway.queued.Add(1)
	asked.admitted = sync.OnceFunc(func() { gateway.queued.Add(-1) })
	defer asked.admitted()
	ctx, cancel := context.WithDeadline(r.Context(), asked.deadline)
	defer cancel()
	asked.incoming = r.WithContext(ctx)
	// A caller that stalls must not hold a slot past its deadline.
	_ = control.SetReadDeadline(asked.deadline.Add(slowCallerLimit))
	_ = control.SetWriteDeadline(asked.deadline.Add(slowCallerLimit))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()

	if found := gateway.readBody(w, asked); found != nil {
		gateway.fail(w, asked, found)
		return
	}
	asked.retry = gateway.parts.Retrier.Begin(asked.idempotent, asked.forwarded, asked.deadline)
	defer asked.retry.End()
	if remote, ok := gateway.spillTo(asked); ok && gateway.forwardTo(w, asked, remote) {
		return
	}
	if asked.idempotent {
		gateway.run(w, asked, func(scheduler.Outcome, scheduler.StoredResponse) {})
		return
	}
	gateway.runOnce(w, asked)
}

func (gateway *Gateway) fail(w http.ResponseWriter, asked *request, found *fault) {
	found = asked.qualify(found)
	gateway.log.Debug().Str("event", "requestFailed").Str("request", asked.id).Str("service", string(asked.service)).
		Str("code", found.code).Str("outcome", string(found.outcome)).Msg(found.message)
	if asked.incoming.ContentLength != 0 && len(asked.buffered) == 0 {
		// The rest of the body is not read, so the connection cannot be used again.
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(slowCallerLimit))
	}
	found.write(w, asked.id)
}

// runOnce runs a non-idempotent request under its key.
func (gateway *Gateway) runOnce(w http.ResponseWriter, asked *request) {
	if len(gateway.parts.Directory.Endpoints(asked.service)) == 0 {
		// Without endpoints nothing can run, and the key need not be recorded.
		gateway.fail(w, asked, unknownService(asked))
		return
	}
	if asked.key == "" {
		asked.key = gateway.parts.Keys.NewKey()
	}
	w.Header().Set(forwarder.HeaderIdempotencyKey, asked.key)
	key := asked.keyRequest()
	decision, answer, err := gateway.parts.Keys.Begin(asked.incoming.Context(), key)
	switch {
	case err != nil:
		// Nothing has been sent to an endpoint, whether or not the begin was recorded.
		gateway.fail(w, asked, refuse(http.StatusServiceUnavailable, "keyNotRecorded", "this attempt was not run: "+err.Error()).after(time.Second))
	case decision == scheduler.KeyCompleted:
		replay(w, answer, asked.id)
	case decision == scheduler.KeyConflict:
		gateway.fail(w, asked, refuse(http.StatusUnprocessableEntity, "keyConflict", "the key belongs to another request"))
	case decision == scheduler.KeyRun:
		asked.begun = true
		gateway.run(w, asked, func(outcome scheduler.Outcome, answer scheduler.StoredResponse) {
			gateway.finish(asked, key, outcome, answer)
		})
	default:
		gateway.fail(w, asked, &fault{
			status: http.StatusConflict, code: "outcomeUnknown", outcome: scheduler.OutcomeUnknown,
			message: "the first request with this key may have run; its answer is not known",
		})
	}
}

// finish records the outcome without holding up the caller. A planned stop waits for it.
func (gateway *Gateway) finish(asked *request, key scheduler.KeyRequest, outcome scheduler.Outcome, answer scheduler.StoredResponse) {
	gateway.finishing.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(asked.incoming.Context()), finishLimit)
		defer cancel()
		if err := gateway.parts.Keys.Finish(ctx, key, outcome, answer); err != nil {
			gateway.log.Warn().Str("event", "outcomeNotRecorded").Str("request", asked.id).Err(err).Msg("resends will be answered as unknown")
		}
	})
}

// run makes attempts until one has an outcome that stands. done is called once with the outcome.
func (gateway *Gateway) run(w http.ResponseWriter, asked *request, done func(scheduler.Outcome, scheduler.StoredResponse)) {
	for {
		endpoint, slot, found := gateway.acquire(asked)
		if found != nil {
			done(found.outcome, scheduler.StoredResponse{})
			gateway.fail(w, asked, found)
			return
		}
		result := gateway.attempt(asked, endpoint, slot)
		if result.Outcome == scheduler.OutcomeDone {
			gateway.relay(w, asked, endpoint.Endpoint, result, done)
			return
		}
		if asked.tried == nil {
			asked.tried = map[scheduler.EndpointName]bool{}
		}
		asked.tried[endpoint.Endpoint] = true
		length, again := asked.retry.Retry(result.Outcome)
		if again && asked.replayable() && waiter.Sleep(asked.incoming.Context(), length) {
			continue
		}
		found = failure(asked, result)
		done(found.outcome, scheduler.StoredResponse{})
		gateway.fail(w, asked, found)
		return
	}
}

// failure turns the result of the last attempt into a fault. An idempotent request that was tried before
// may have run then.
func failure(asked *request, result forwarder.Result) *fault {
	found := &fault{status: http.StatusBadGateway, code: "endpointFailed", outcome: result.Outcome, message: result.Err.Error()}
	tooLarge := (*http.MaxBytesError)(nil)
	switch {
	case errors.As(result.Err, &tooLarge):
		found.status, found.code = http.StatusRequestEntityTooLarge, "bodyTooLarge"
	case !time.Now().Before(asked.deadline):
		found.status, found.code = http.StatusGatewayTimeout, "deadlinePassed"
	case result.Outcome == scheduler.OutcomeNotRun:
		found.status, found.code, found.retryAfter = http.StatusServiceUnavailable, "notRun", time.Second
	}
	if asked.maybeRun {
		found.outcome = scheduler.OutcomeUnknown
	}
	return found
}

func unknownService(asked *request) *fault {
	return refuse(http.StatusNotFound, "unknownService", "no endpoint of service "+string(asked.service)+" is known")
}

// acquire waits for a slot at an endpoint that has not been tried.
func (gateway *Gateway) acquire(asked *request) (scheduler.Announcement, scheduler.Slot, *fault) {
	var endpoint scheduler.Announcement
	var slot scheduler.Slot
	if len(gateway.parts.Directory.Endpoints(asked.service)) == 0 {
		return endpoint, nil, asked.mark(unknownService(asked))
	}
	retryAfter, err := gateway.parts.Limiter.Wait(asked.incoming.Context(), limiter.Ask{
		Service: asked.service, Caller: asked.caller, Priority: asked.priority,
		Try: func() (ok bool) {
			endpoint, slot, ok = gateway.parts.Balancer.Choose(gateway.candidates(asked))
			return ok
		},
	})
	switch {
	case err == nil:
		asked.admitted()
		return endpoint, slot, nil
	case limiter.ErrFull.Has(err):
		return endpoint, nil, asked.mark(refuse(http.StatusServiceUnavailable, "overloaded", err.Error()).after(retryAfter))
	default:
		return endpoint, nil, asked.mark(refuse(http.StatusServiceUnavailable, "noSlot", err.Error()).after(retryAfter))
	}
}

// mark changes the outcome of a refusal when an earlier attempt may have run.
func (asked *request) mark(found *fault) *fault {
	if asked.maybeRun {
		found.outcome = scheduler.OutcomeUnknown
	}
	return found
}

// candidates returns the endpoints that have not been tried, or all when all have been.
func (gateway *Gateway) candidates(asked *request) []scheduler.Announcement {
	endpoints := gateway.parts.Directory.Endpoints(asked.service)
	if len(asked.tried) == 0 {
		return endpoints
	}
	var untried []scheduler.Announcement
	for _, endpoint := range endpoints {
		if !asked.tried[endpoint.Endpoint] {
			untried = append(untried, endpoint)
		}
	}
	if len(untried) == 0 {
		return endpoints
	}
	return untried
}

// attempt sends the request once and tells the balancer what became of it.
func (gateway *Gateway) attempt(asked *request, endpoint scheduler.Announcement, slot scheduler.Slot) forwarder.Result {
	result := gateway.parts.Forwarder.Send(forwarder.Call{
		Endpoint: endpoint, Slot: slot, Incoming: asked.incoming, Target: asked.target,
		Body: asked.nextBody(), Length: asked.length, RequestID: asked.id, IdempotencyKey: asked.key,
		Restart: func() bool { return asked.replayable() && asked.retry.Restart() },
	})
	asked.maybeRun = asked.maybeRun || result.Outcome == scheduler.OutcomeUnknown
	gone := asked.incoming.Context().Err() != nil && time.Now().Before(asked.deadline)
	gateway.parts.Balancer.Report(endpoint.Endpoint, scheduler.EndpointResult{
		Failed:  result.Outcome != scheduler.OutcomeDone && !result.Refused && !result.Stalled && !gone || result.Response != nil && result.Response.StatusCode >= http.StatusInternalServerError,
		Refused: result.Refused || result.Stalled || gone,
		Latency: result.Latency,
	})
	return result
}

// relay sends the endpoint's response to the caller.
func (gateway *Gateway) relay(w http.ResponseWriter, asked *request, endpoint scheduler.EndpointName, result forwarder.Result,
	done func(scheduler.Outcome, scheduler.StoredResponse),
) {
	gateway.parts.Limiter.Observe(asked.service, result.Latency)
	kept := newRecorder(result.Response)
	seen := kept.add
	if asked.idempotent {
		seen = nil
	}
	// The outcome is recorded also when the connection is reset by a panic.
	outcome := scheduler.OutcomeUnknown
	defer func() { done(outcome, kept.answer) }()
	if err := forwarder.Relay(w, result.Response, scheduler.OutcomeDone, asked.id, seen); err != nil {
		gateway.log.Info().Str("event", "responseBroken").Str("request", asked.id).Str("endpoint", string(endpoint)).Err(err).Msg("response broke off")
		return
	}
	outcome = scheduler.OutcomeDone
}
