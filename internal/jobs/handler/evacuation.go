package handler

import (
	"context"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// disconnectDelay lets the server detect that the caller has disconnected. A request may have waited while the VM was
// suspended.
const disconnectDelay = 20 * time.Millisecond

// EvacuateRequest begins or ends the evacuation of a data centre if Revision is the current revision of its evacuation
// state.
type EvacuateRequest struct {
	_          struct{} `cbor:",toarray"`
	Evacuation scheduler.Evacuation
	Revision   uint64
	// Requester is the address from which the operator sent the request. It is logged for audits.
	Requester string
}

// EvacuationRevisionRequest reads the revision of the evacuation state of a data centre.
type EvacuationRevisionRequest struct {
	_          struct{} `cbor:",toarray"`
	DataCentre scheduler.DataCentreName
}

// Evacuate begins or ends the evacuation of a data centre. It reads the current revision first, so that a message that
// arrives after its return cannot undo a later request. Until it returns, it repeats the request with the current
// revision, so the request may be applied again after an opposite one. requester is the address of the operator.
func (leaderClient *LeaderClient) Evacuate(
	ctx context.Context, evacuation scheduler.Evacuation, requester string,
) Response {
	if err := evacuation.Validate(); err != nil {
		return errorResponse(StatusInvalid, err.Error(), 0)
	}
	for {
		response := leaderClient.evacuateOnce(ctx, evacuation, requester)
		switch response.Status {
		case StatusSuperseded, StatusUnavailable, StatusNotLeader:
		default:
			return response
		}
		if !waiter.Sleep(ctx, retryDelay) {
			return response
		}
	}
}

func (leaderClient *LeaderClient) evacuateOnce(
	ctx context.Context, evacuation scheduler.Evacuation, requester string,
) Response {
	current := leaderClient.Do(ctx, &Request{
		EvacuationRevision: &EvacuationRevisionRequest{DataCentre: evacuation.DataCentre},
	})
	if current.Status != StatusDone {
		return current
	}
	if !waiter.Sleep(ctx, disconnectDelay) {
		// The caller has given up and may already have requested the opposite.
		return errorResponse(StatusUnavailable, "the request was cancelled before it took effect", leaderRetry)
	}
	return leaderClient.Do(ctx, &Request{
		Evacuate: &EvacuateRequest{
			Evacuation: evacuation, Revision: current.EvacuationRevision, Requester: requester,
		},
	})
}

// evacuate begins or ends the evacuation of a data centre. Neither admission control nor a queue of jobs delays it.
func (handler *Handler) evacuate(ctx context.Context, request *EvacuateRequest) Response {
	evacuation := request.Evacuation
	response := handler.checkDataCentre(evacuation.DataCentre)
	if response.Status == StatusDone {
		response = handler.command(ctx, jobkeeper.Command{Evacuate: &jobkeeper.Evacuate{
			Evacuation: evacuation, Revision: request.Revision, Accepted: time.Now(),
		}})
	}
	handler.logger.Info().Str("event", "evacuationRequested").Str("dataCentre", string(evacuation.DataCentre)).
		Str("action", string(evacuation.Action)).Uint64("revision", request.Revision).
		Str("requester", request.Requester).Str("status", string(response.Status)).Str("reason", response.Reason).
		Msg("evacuation of a data centre requested")
	return response
}

// evacuationRevision returns the revision of the evacuation state of a data centre. The leader lease is checked after
// the state is read.
func (handler *Handler) evacuationRevision(request *EvacuationRevisionRequest) Response {
	response := handler.checkDataCentre(request.DataCentre)
	if response.Status != StatusDone {
		return response
	}
	handler.keeper.View(func(state *jobkeeper.State) {
		response.EvacuationRevision = state.Evacuation(request.DataCentre).Revision()
	})
	if !handler.overseer.IsLeader() {
		return errorResponse(StatusUnavailable, "this VM lost the leadership during the request", leaderRetry)
	}
	return response
}

// checkDataCentre returns StatusInvalid for a data centre that the settings do not list.
func (handler *Handler) checkDataCentre(name scheduler.DataCentreName) Response {
	if len(handler.dataCentres) > 0 && !slices.Contains(handler.dataCentres, name) {
		return errorResponse(StatusInvalid, "the data centre does not exist", 0)
	}
	return Response{Status: StatusDone}
}
