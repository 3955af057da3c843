package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/requests/forwarder"
	"github.com/crocusplank/crocusplank/internal/requests/isolator"
	"github.com/crocusplank/crocusplank/internal/requests/limiter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// slowCallerTimeout is how long after the deadline the caller may still read the response or send the body.
const slowCallerTimeout = time.Second

// ServeHTTP handles requests to /{service}/{path...}. The endpoint receives /{path...}.
func (gateway *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	// Without full duplex, net/http reads the rest of the body before it sends the response headers. This would block
	// bidirectional streams and delay error responses. The error is ignored, because response writers without the
	// feature, such as those in tests, work without it.
	_ = control.EnableFullDuplex()
	request, failed := gateway.parseRequest(w, r)
	if failed != nil {
		gateway.writeFailure(w, request, failed)
		return
	}
	gateway.queued.Add(1)
	request.leaveQueue = sync.OnceFunc(func() { gateway.queued.Add(-1) })
	defer request.leaveQueue()
	ctx, cancel := context.WithDeadline(r.Context(), request.deadline)
	defer cancel()
	request.incoming = r.WithContext(ctx)
	// A caller that stalls must not occupy a slot indefinitely after the deadline.
	_ = control.SetReadDeadline(request.deadline.Add(slowCallerTimeout))
	_ = control.SetWriteDeadline(request.deadline.Add(slowCallerTimeout))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()

	if failed := gateway.readBody(w, request); failed != nil {
		gateway.writeFailure(w, request, failed)
		return
	}
	request.identify = sync.OnceValue(request.fingerprint)
	request.retry = gateway.dependencies.Retrier.Begin(request.idempotent, request.forwarded, request.deadline)
	defer request.retry.End()
	mayBeSent := gateway.isolator.Crashes(request.identify) < isolator.CrashLimit
	if remote, ok := gateway.selectRemote(request); ok && mayBeSent && gateway.forwardToRemote(w, request, remote) {
		return
	}
	if request.idempotent {
		gateway.runAttempts(w, request, func(scheduler.Outcome, scheduler.StoredResponse) {})
		return
	}
	gateway.runWithKey(w, request)
}

func (gateway *Gateway) writeFailure(w http.ResponseWriter, request *callerRequest, failed *failure) {
	failed = request.markPossibleResend(failed)
	gateway.log.Debug().Str("event", "requestFailed").Str("request", request.id).Str("service", string(request.service)).
		Str("code", failed.code).Str("outcome", string(failed.outcome)).Msg(failed.message)
	if request.incoming.ContentLength != 0 && len(request.buffered) == 0 {
		// The rest of the body is not read, so the connection cannot be reused.
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(slowCallerTimeout))
	}
	failed.write(w, request.id)
}

// runWithKey executes a non-idempotent request at most once per key. A resend gets the stored response, or a
// failure with the outcome unknown if there is none.
func (gateway *Gateway) runWithKey(w http.ResponseWriter, request *callerRequest) {
	if len(gateway.dependencies.Directory.Endpoints(request.service)) == 0 {
		// Without endpoints the request cannot be executed, so its key need not be recorded.
		gateway.writeFailure(w, request, unknownService(request))
		return
	}
	if request.key == "" {
		request.key = gateway.dependencies.KeyStore.NewKey()
	}
	w.Header().Set(forwarder.HeaderIdempotencyKey, request.key)
	key := request.keyRequest()
	decision, response, err := gateway.dependencies.KeyStore.Begin(request.incoming.Context(), key)
	switch {
	case err != nil:
		// Nothing has been sent to an endpoint, whether or not the key was recorded.
		gateway.writeFailure(w, request, reject(http.StatusServiceUnavailable, "keyNotRecorded",
			"this attempt was not run: "+err.Error()).withRetryAfter(time.Second))
	case decision == scheduler.KeyCompleted:
		replay(w, response, request.id)
	case decision == scheduler.KeyConflict:
		gateway.writeFailure(w, request, reject(http.StatusUnprocessableEntity, "keyConflict",
			"the key has been used for a different request"))
	case decision == scheduler.KeyRun:
		request.keyAcquired = true
		gateway.runAttempts(w, request, func(outcome scheduler.Outcome, response scheduler.StoredResponse) {
			gateway.recordOutcome(request, key, outcome, response)
		})
	default:
		gateway.writeFailure(w, request, &failure{
			status: http.StatusConflict, code: "outcomeUnknown", outcome: scheduler.OutcomeUnknown,
			message: "the first request with this key may have run; its response is not available",
		})
	}
}

// recordOutcome records the outcome in the background, so that the caller does not wait for it. Stop waits for it.
func (gateway *Gateway) recordOutcome(request *callerRequest, key scheduler.KeyRequest, outcome scheduler.Outcome,
	response scheduler.StoredResponse,
) {
	gateway.outcomeWrites.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(request.incoming.Context()), recordTimeout)
		defer cancel()
		if err := gateway.dependencies.KeyStore.Finish(ctx, key, outcome, response); err != nil {
			gateway.log.Warn().Str("event", "outcomeNotRecorded").Str("request", request.id).Err(err).
				Msg("cannot record the outcome; resends will get the outcome unknown")
		}
	})
}

// runAttempts sends the request until an attempt succeeds or must not be retried. It calls done once with the outcome.
func (gateway *Gateway) runAttempts(w http.ResponseWriter, request *callerRequest,
	done func(scheduler.Outcome, scheduler.StoredResponse),
) {
	for {
		failed, finished := gateway.runAttempt(w, request, done)
		if finished {
			return
		}
		if failed != nil {
			done(failed.outcome, scheduler.StoredResponse{})
			gateway.writeFailure(w, request, failed)
			return
		}
	}
}

// runAttempt sends the request once. finished is true if the response has been relayed and done has been called. The
// request may be sent again if it is false and failed is nil.
func (gateway *Gateway) runAttempt(w http.ResponseWriter, request *callerRequest,
	done func(scheduler.Outcome, scheduler.StoredResponse),
) (failed *failure, finished bool) {
	suspect, endTurn, failed := gateway.admit(request)
	if failed != nil {
		return failed, false
	}
	defer endTurn()
	attempt, failed := gateway.acquireSlot(request, suspect)
	if failed != nil {
		return failed, false
	}
	result := gateway.send(request, attempt)
	if result.Outcome == scheduler.OutcomeDone {
		gateway.relayResponse(w, request, attempt, result, done)
		return nil, true
	}
	if request.triedEndpoints == nil {
		request.triedEndpoints = map[scheduler.EndpointName]bool{}
	}
	request.triedEndpoints[attempt.endpoint.Endpoint] = true
	if request.idempotent {
		if crashes := gateway.countCrashes(request); crashes >= isolator.CrashLimit {
			return gateway.giveUp(request, crashes), false
		}
	}
	delay, retry := request.retry.Retry(result.Outcome, result.ConnectionRefused || attempt.run.Crashed())
	if retry && request.replayable() && waiter.Sleep(request.incoming.Context(), delay) &&
		gateway.awaitEvidence(request) {
		return nil, false
	}
	return attemptFailure(request, result), false
}

// attemptFailure converts the result of the last attempt into a failure. The outcome is unknown if an earlier attempt
// of an idempotent request may have run.
func attemptFailure(request *callerRequest, result forwarder.Result) *failure {
	failed := &failure{
		status: http.StatusBadGateway, code: "endpointFailed", outcome: result.Outcome, message: result.Err.Error(),
	}
	tooLarge := (*http.MaxBytesError)(nil)
	switch {
	case request.isStreaming() && request.body.hasStalled():
		failed = stalledBody(result.Outcome)
	case errors.As(result.Err, &tooLarge):
		failed.status, failed.code = http.StatusRequestEntityTooLarge, "bodyTooLarge"
	case !time.Now().Before(request.deadline):
		failed.status, failed.code = http.StatusGatewayTimeout, "deadlinePassed"
	case result.Outcome == scheduler.OutcomeNotRun:
		failed.status, failed.code, failed.retryAfter = http.StatusServiceUnavailable, "notRun", time.Second
	}
	if request.mayHaveRun {
		failed.outcome = scheduler.OutcomeUnknown
	}
	return failed
}

func unknownService(request *callerRequest) *failure {
	return reject(http.StatusNotFound, "unknownService",
		"no endpoint of service "+string(request.service)+" is registered")
}

// attempt is a request that has a slot at an endpoint.
type attempt struct {
	endpoint scheduler.Announcement
	slot     scheduler.Slot
	run      *isolator.Run
	// endStream ends the use of the slot by a request whose body is still arriving. Further calls have no effect.
	endStream func()
}

// acquireSlot waits for a slot at one of the candidates of the request.
func (gateway *Gateway) acquireSlot(request *callerRequest, suspect bool) (attempt, *failure) {
	var acquired attempt
	if len(gateway.dependencies.Directory.Endpoints(request.service)) == 0 {
		return acquired, request.markPossibleRun(unknownService(request))
	}
	ctx, cancel := gateway.queueContext(request)
	defer cancel()
	retryAfter, err := gateway.dependencies.Limiter.Wait(ctx, limiter.Request{
		Service: request.service, Caller: request.callerID, Priority: request.priority, Streaming: request.isStreaming(),
		TryAcquire: func() (ok bool) {
			acquired, ok = gateway.tryAcquire(request, suspect)
			return ok
		},
	})
	switch {
	case err == nil:
		request.leaveQueue()
		return acquired, nil
	case limiter.ErrQueueFull.Has(err):
		return acquired, request.markPossibleRun(
			reject(http.StatusServiceUnavailable, "overloaded", err.Error()).withRetryAfter(retryAfter))
	default:
		return acquired, request.markPossibleRun(
			reject(http.StatusServiceUnavailable, "noSlot", err.Error()).withRetryAfter(retryAfter))
	}
}

// tryAcquire takes a slot at a candidate, for a streaming request only within the limit for such requests. A suspect
// prefers the endpoints with the fewest requests, because its crash ends them too.
func (gateway *Gateway) tryAcquire(request *callerRequest, suspect bool) (attempt, bool) {
	endStream, ok := gateway.beginStream(request)
	if !ok {
		return attempt{}, false
	}
	candidates := gateway.isolator.Candidates(gateway.candidates(request), suspect)
	choices := [][]scheduler.Announcement{candidates}
	if suspect {
		choices = [][]scheduler.Announcement{gateway.isolator.LeastUsed(candidates), candidates}
	}
	for _, choice := range choices {
		if endpoint, slot, ok := gateway.dependencies.Balancer.Choose(choice); ok {
			return attempt{endpoint, slot, gateway.isolator.Start(endpoint, request.identify, suspect), endStream}, true
		}
	}
	endStream()
	return attempt{}, false
}

// markPossibleRun changes the outcome of a rejection to unknown if an earlier attempt may have run.
func (request *callerRequest) markPossibleRun(failed *failure) *failure {
	if request.mayHaveRun {
		failed.outcome = scheduler.OutcomeUnknown
	}
	return failed
}

// candidates returns the endpoints that the request has not tried, or all endpoints if it has tried all of them.
func (gateway *Gateway) candidates(request *callerRequest) []scheduler.Announcement {
	endpoints := gateway.dependencies.Directory.Endpoints(request.service)
	if len(request.triedEndpoints) == 0 {
		return endpoints
	}
	var untried []scheduler.Announcement
	for _, endpoint := range endpoints {
		if !request.triedEndpoints[endpoint.Endpoint] {
			untried = append(untried, endpoint)
		}
	}
	if len(untried) == 0 {
		return endpoints
	}
	return untried
}

// send sends the request once and reports the result to the balancer and the isolator.
func (gateway *Gateway) send(request *callerRequest, attempt attempt) forwarder.Result {
	if request.isStreaming() {
		request.body.setArrived(func() {
			attempt.endStream()
			gateway.dependencies.Limiter.Wake(0)
		})
	}
	result := gateway.dependencies.Forwarder.Send(forwarder.Call{
		Endpoint: attempt.endpoint, Slot: attempt.slot, Incoming: request.incoming, Target: request.target,
		Body: request.nextBody(), Length: request.length, RequestID: request.id, IdempotencyKey: request.key,
		Restart: func() bool { return request.replayable() && request.retry.Restart() },
	})
	request.endStallCheck()
	attempt.endStream()
	request.mayHaveRun = request.mayHaveRun || result.Outcome == scheduler.OutcomeUnknown
	gateway.dependencies.Balancer.Report(attempt.endpoint.Endpoint, endpointResult(request, result))
	switch {
	case result.Outcome == scheduler.OutcomeDone:
	case result.Closed:
		gateway.recordBreak(request, attempt)
	case result.ConnectionRefused:
		attempt.run.Refused()
	default:
		attempt.run.Abandoned()
	}
	return result
}

// endpointResult returns what the result of an attempt shows about the endpoint.
func endpointResult(request *callerRequest, result forwarder.Result) scheduler.EndpointResult {
	callerFailed := request.incoming.Context().Err() != nil && time.Now().Before(request.deadline) ||
		result.Outcome != scheduler.OutcomeDone && request.isStreaming() && request.body.hasFailed()
	report := scheduler.EndpointResult{
		Failed: result.Outcome != scheduler.OutcomeDone && !result.Refused && !result.Stalled && !callerFailed ||
			result.Response != nil && result.Response.StatusCode >= http.StatusInternalServerError,
		Refused: result.Refused || result.Stalled || callerFailed,
	}
	if !request.isStreaming() {
		// The latency of a streaming request contains the time that its caller took to send the body.
		report.Latency = result.Latency
	}
	return report
}

// relayResponse streams the response of the endpoint to the caller.
func (gateway *Gateway) relayResponse(w http.ResponseWriter, request *callerRequest, attempt attempt,
	result forwarder.Result, done func(scheduler.Outcome, scheduler.StoredResponse),
) {
	if !request.isStreaming() {
		// As in endpointResult.
		gateway.dependencies.Limiter.Observe(request.service, result.Latency)
	}
	recorder := newRecorder(result.Response)
	record := recorder.add
	if request.idempotent {
		record = nil
	}
	// The outcome is recorded in a deferred call, because Relay may reset the connection by a panic.
	outcome := scheduler.OutcomeUnknown
	defer func() {
		done(outcome, recorder.response)
		switch {
		case outcome == scheduler.OutcomeDone:
			attempt.run.Answered()
		case forwarder.Interrupted(result.Response):
			gateway.recordBreak(request, attempt)
		default:
			attempt.run.Abandoned()
		}
	}()
	if err := forwarder.Relay(w, result.Response, scheduler.OutcomeDone, request.id, record); err != nil {
		gateway.log.Info().Str("event", "responseBroken").Str("request", request.id).
			Str("endpoint", string(attempt.endpoint.Endpoint)).Err(err).Msg("response interrupted")
		return
	}
	outcome = scheduler.OutcomeDone
}
