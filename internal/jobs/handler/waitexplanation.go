package handler

import (
	"errors"

	"github.com/crocusplank/crocusplank/internal/jobs/overseer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// ExplainWaitRequest asks why the tasks of a job wait. It changes nothing.
type ExplainWaitRequest struct {
	Job scheduler.JobID `cbor:"1,keyasint"`
	// Task is the only task to explain, nil for all of the job.
	Task *scheduler.StepTaskID `cbor:"2,keyasint,omitempty"`
}

func (handler *Handler) explainWait(request *ExplainWaitRequest) Response {
	if request.Task != nil && request.Task.Job != request.Job {
		return errorResponse(StatusInvalid, "the task belongs to another job", 0)
	}
	explanation, err := handler.overseer.ExplainWait(request.Job, request.Task)
	switch {
	case err == nil:
	case overseer.ErrNotFound.Has(err):
		return errorResponse(StatusNoJob, errors.Unwrap(err).Error(), 0)
	case overseer.ErrEnded.Has(err):
		return errorResponse(StatusEnded, errors.Unwrap(err).Error(), 0)
	default:
		return errorResponse(StatusUnavailable, err.Error(), leaderRetry)
	}
	handler.logger.Info().Str("event", "waitExplained").Str("job", string(request.Job)).Int("waits", len(explanation.Waits)).
		Msg("wait explained")
	return Response{Status: StatusDone, WaitExplanation: &explanation}
}
