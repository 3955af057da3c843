package handler

import "github.com/crocusplank/crocusplank/pkg/scheduler"

// ExplainRequest asks where the tasks of a job would go if a caller submitted it now. It changes nothing.
type ExplainRequest struct {
	_        struct{} `cbor:",toarray"`
	Route    QueueRoute
	Workflow scheduler.Workflow
}

func (handler *Handler) explain(request *ExplainRequest) Response {
	queue, response := handler.findQueue(request.Route)
	if queue == nil {
		return response
	}
	if err := request.Workflow.Validate(); err != nil {
		return errorResponse(StatusInvalid, err.Error(), 0)
	}
	explanation, err := handler.overseer.ExplainPlacement(queue, &request.Workflow)
	if err != nil {
		return errorResponse(StatusUnavailable, err.Error(), leaderRetry)
	}
	handler.logger.Info().Str("event", "placementExplained").Str("queue", string(queue.Name)).
		Int("steps", len(request.Workflow.Steps)).Bool("admitted", explanation.Admitted).Msg("placement explained")
	return Response{Status: StatusDone, Explanation: &explanation}
}
