package gateway

import (
	"net/http"

	"github.com/crocusplank/crocusplank/internal/requests/forwarder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// unlimitedSource is the scheduler.SlotSource for requests to gateways of other data centres. It imposes no limit,
// because those gateways allocate the slots of their endpoints themselves.
type unlimitedSource struct{}

type unlimitedSlot struct{}

func (unlimitedSlot) Valid() bool { return true }
func (unlimitedSlot) Release()    {}
func (unlimitedSlot) Abandon()    {}

func (unlimitedSource) Acquire(scheduler.EndpointName) (scheduler.Slot, bool) {
	return unlimitedSlot{}, true
}

func (unlimitedSource) AcquireConnection(scheduler.EndpointName) (scheduler.Slot, bool) {
	return unlimitedSlot{}, true
}

func (unlimitedSource) Free(scheduler.EndpointName) int { return 1 }

// selectRemote returns the data centre with the most free slots, to which a request spills if no slot is free locally.
// A request that has already been forwarded is not forwarded again.
func (gateway *Gateway) selectRemote(request *callerRequest) (scheduler.RemoteService, bool) {
	if request.forwarded || gateway.dependencies.Free(request.service) > 0 {
		return scheduler.RemoteService{}, false
	}
	best := scheduler.RemoteService{}
	for _, remote := range gateway.dependencies.Directory.Remotes(request.service) {
		if remote.Free > best.Free {
			best = remote
		}
	}
	return best, best.Free > 0
}

// forwardToRemote sends a request to a gateway of another data centre, which records the key if necessary and reports
// the outcome. It returns false if the request was not executed there and can still be executed locally.
func (gateway *Gateway) forwardToRemote(w http.ResponseWriter, request *callerRequest,
	remote scheduler.RemoteService,
) bool {
	if !request.idempotent && request.key == "" {
		request.key = gateway.dependencies.KeyStore.NewKey()
	}
	incoming := request.incoming.Clone(request.incoming.Context())
	incoming.Header.Set(forwarder.HeaderForwardedBy, string(gateway.vm))
	if request.idempotent {
		incoming.Header.Set(forwarder.HeaderIdempotent, "true")
	} else {
		incoming.Header.Set(forwarder.HeaderIdempotent, "false")
		w.Header().Set(forwarder.HeaderIdempotencyKey, request.key)
	}
	result := gateway.remoteForwarder.Send(forwarder.Call{
		Endpoint: scheduler.Announcement{
			Endpoint: scheduler.EndpointName("gateway " + remote.Address), Address: remote.Address, Slots: 64,
		},
		Slot: unlimitedSlot{}, Incoming: incoming, Target: "/" + string(request.service) + request.target,
		Body: request.nextBody(), Length: request.length, RequestID: request.id, IdempotencyKey: request.key,
	})
	request.endStallCheck()
	if result.Outcome == scheduler.OutcomeNotRun && request.replayable() {
		return false
	}
	if result.Outcome != scheduler.OutcomeDone {
		failed := attemptFailure(request, result)
		failed.code = "remoteFailed"
		gateway.writeFailure(w, request, failed)
		return true
	}
	outcome := scheduler.Outcome(result.Response.Header.Get(forwarder.HeaderOutcome))
	if outcome != scheduler.OutcomeDone && outcome != scheduler.OutcomeNotRun {
		outcome = scheduler.OutcomeUnknown
	}
	if err := forwarder.Relay(w, result.Response, outcome, request.id, nil); err != nil {
		gateway.log.Info().Str("event", "responseBroken").Str("request", request.id).
			Str("dataCentre", string(remote.DataCentre)).Err(err).Msg("response interrupted")
	} else if outcome == scheduler.OutcomeDone {
		gateway.isolator.Clear(request.identify)
	}
	return true
}

var _ http.Handler = (*Gateway)(nil)
