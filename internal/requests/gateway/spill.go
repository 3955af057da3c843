package gateway

import (
	"net/http"

	"github.com/crocusplank/crocusplank/internal/requests/forwarder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// unlimited is the ShareSource of requests to other gateways, which divide their own endpoints' slots.
type unlimited struct{}

type openSlot struct{}

func (openSlot) Valid() bool { return true }
func (openSlot) Release()    {}
func (openSlot) Abandon()    {}

func (unlimited) Acquire(scheduler.EndpointName) (scheduler.Slot, bool) { return openSlot{}, true }

func (unlimited) AcquireConnection(scheduler.EndpointName) (scheduler.Slot, bool) {
	return openSlot{}, true
}

func (unlimited) Free(scheduler.EndpointName) int { return 1 }

// spillTo returns the data centre that takes a request for which no slot is free here. A request that has
// been forwarded once stays.
func (gateway *Gateway) spillTo(asked *request) (scheduler.RemoteService, bool) {
	if asked.forwarded || gateway.parts.Free(asked.service) > 0 {
		return scheduler.RemoteService{}, false
	}
	best := scheduler.RemoteService{}
	for _, remote := range gateway.parts.Directory.Remotes(asked.service) {
		if remote.Free > best.Free {
			best = remote
		}
	}
	return best, best.Free > 0
}

// forwardTo sends a request to a gateway of another data centre, which records the key if need be and
// states the outcome. It returns false when the request was not run there and can still be run here.
func (gateway *Gateway) forwardTo(w http.ResponseWriter, asked *request, remote scheduler.RemoteService) bool {
	if !asked.idempotent && asked.key == "" {
		asked.key = gateway.parts.Keys.NewKey()
	}
	incoming := asked.incoming.Clone(asked.incoming.Context())
	incoming.Header.Set(forwarder.HeaderForwardedBy, string(gateway.vm))
	if asked.idempotent {
		incoming.Header.Set(forwarder.HeaderIdempotent, "true")
	} else {
		incoming.Header.Set(forwarder.HeaderIdempotent, "false")
		w.Header().Set(forwarder.HeaderIdempotencyKey, asked.key)
	}
	result := gateway.spill.Send(forwarder.Call{
		Endpoint: scheduler.Announcement{Endpoint: scheduler.EndpointName("gateway " + remote.Address), Address: remote.Address, Slots: 64},
		Slot:     openSlot{}, Incoming: incoming, Target: "/" + string(asked.service) + asked.target,
		Body: asked.nextBody(), Length: asked.length, RequestID: asked.id, IdempotencyKey: asked.key,
	})
	if result.Outcome == scheduler.OutcomeNotRun && asked.replayable() {
		return false
	}
	if result.Outcome != scheduler.OutcomeDone {
		found := failure(asked, result)
		found.code = "remoteFailed"
		gateway.fail(w, asked, found)
		return true
	}
	outcome := scheduler.Outcome(result.Response.Header.Get(forwarder.HeaderOutcome))
	if outcome != scheduler.OutcomeDone && outcome != scheduler.OutcomeNotRun {
		outcome = scheduler.OutcomeUnknown
	}
	if err := forwarder.Relay(w, result.Response, outcome, asked.id, nil); err != nil {
		gateway.log.Info().Str("event", "responseBroken").Str("request", asked.id).Str("dataCentre", string(remote.DataCentre)).Err(err).Msg("response broke off")
	}
	return true
}

var _ http.Handler = (*Gateway)(nil)
