package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/requests/isolator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// evidenceTimeout covers the announcement of a restarted endpoint and its exchange between gateways.
	evidenceTimeout      = 2500 * time.Millisecond
	evidencePollInterval = 50 * time.Millisecond
)

// countCrashes returns the number of endpoints that are known to have crashed under the request or under earlier
// requests with the same content.
func (gateway *Gateway) countCrashes(request *callerRequest) int {
	own := 0
	for _, run := range request.broken {
		if run.Blamed() {
			own++
		}
	}
	return max(own, gateway.isolator.Crashes(request.identify))
}

// admit gives up a request under which too many endpoints have crashed, and lets a suspect wait for its turn. endTurn is
// called at the end of the attempt. It is nil if the request failed.
func (gateway *Gateway) admit(request *callerRequest) (suspect bool, endTurn func(), failed *failure) {
	crashes := gateway.countCrashes(request)
	switch {
	case crashes == 0:
		return false, func() {}, nil
	case crashes >= isolator.CrashLimit:
		return true, nil, gateway.giveUp(request, crashes)
	}
	endTurn, ok := gateway.isolator.Turn(request.incoming.Context(), request.service, request.identify(), func() int {
		return len(gateway.dependencies.Directory.Endpoints(request.service))
	})
	if !ok {
		return true, nil, request.markPossibleRun(reject(http.StatusGatewayTimeout, "deadlinePassed",
			"the deadline passed while the request waited to run apart from others"))
	}
	if crashes = gateway.countCrashes(request); crashes >= isolator.CrashLimit {
		endTurn()
		return true, nil, gateway.giveUp(request, crashes)
	}
	return true, endTurn, nil
}

// recordBreak reports that the endpoint closed the connection without an answer, and whether it has ended.
func (gateway *Gateway) recordBreak(request *callerRequest, attempt attempt) {
	refused := gateway.dependencies.Forwarder.Refuses(request.incoming.Context(), attempt.endpoint)
	attempt.run.Broken(refused)
	request.broken = append(request.broken, attempt.run)
}

// awaitEvidence delays a further attempt of a request on which as many connections have been closed as endpoints may
// crash, until it is known whether the endpoints crashed. It returns false if the caller has left or the deadline has
// passed.
func (gateway *Gateway) awaitEvidence(request *callerRequest) bool {
	if len(request.broken) < isolator.CrashLimit {
		return true
	}
	for limit := time.Now().Add(evidenceTimeout); time.Now().Before(limit) && !settled(request.broken); {
		if !waiter.Sleep(request.incoming.Context(), evidencePollInterval) {
			return false
		}
	}
	return true
}

// settled reports whether it is known for each of the runs if its endpoint crashed.
func settled(runs []*isolator.Run) bool {
	for _, run := range runs {
		if !run.Settled() {
			return false
		}
	}
	return true
}

// giveUp returns the failure of a request that is not sent again, because endpoints crashed under it. It has no
// Retry-After: a resend would get the same answer while the crashes are remembered.
func (gateway *Gateway) giveUp(request *callerRequest, crashes int) *failure {
	gateway.isolator.CountGivenUp()
	gateway.log.Warn().Str("event", "requestGivenUp").Str("request", request.id).
		Str("service", string(request.service)).Int("crashes", crashes).
		Msg("request is not sent again because endpoints crashed while they ran it")
	failed := reject(http.StatusUnprocessableEntity, "endpointsCrashed",
		fmt.Sprintf("%d endpoints crashed while they ran this request or one with the same content", crashes))
	if request.idempotent {
		failed.outcome = scheduler.OutcomeUnknown
	}
	return request.markPossibleRun(failed)
}
