// Package handler processes the requests of callers, operators and workers to a domain. A Handler processes them on
// the leader; a LeaderClient forwards them to the leader from any VM.
package handler

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/jobs/admitter"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/overseer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns. Its name is part of error texts and logs.
var Error = errs.Class("clerk")

// leaderRetry is the recommended retry delay while there is no leader. An election takes between one and two seconds.
const leaderRetry = time.Second

// Handler processes requests on a VM that holds the replicated state of the domain. It is safe for concurrent use.
type Handler struct {
	group    scheduler.Group
	keeper   *jobkeeper.Keeper
	overseer *overseer.Overseer
	logger   zerolog.Logger
	members  func() []scheduler.VMName
	// dataCentres holds the data centres that may be evacuated. If it is empty, every name is accepted.
	dataCentres []scheduler.DataCentreName
}

// Option configures a Handler.
type Option func(handler *Handler)

// WithDataCentres sets the data centres of the domain. Requests for others are rejected. By default every name is
// accepted.
func WithDataCentres(dataCentres []scheduler.DataCentreName) Option {
	return func(handler *Handler) { handler.dataCentres = dataCentres }
}

// New returns a Handler. members returns the VMs that hold the replicated state.
func New(
	group scheduler.Group, keeper *jobkeeper.Keeper, overseer *overseer.Overseer, members func() []scheduler.VMName,
	logger zerolog.Logger, options ...Option,
) *Handler {
	handler := &Handler{group: group, keeper: keeper, overseer: overseer, members: members, logger: logger}
	for _, option := range options {
		option(handler)
	}
	return handler
}

// Process executes a request if this VM is the leader. Otherwise the request has no effect and the response names the
// leader.
func (handler *Handler) Process(ctx context.Context, request *Request) Response {
	if !handler.overseer.IsLeader() {
		return Response{
			Status: StatusNotLeader, Reason: "this VM is not the leader of the domain",
			Leader: handler.group.Status().Leader(), RetryAfter: leaderRetry,
		}
	}
	switch {
	case request.Submit != nil:
		return handler.submit(ctx, request.Submit, request.Timeout)
	case request.Cancel != nil:
		return handler.cancel(ctx, request.Cancel)
	case request.JobState != nil:
		return handler.state(request.JobState)
	case request.QueueLength != nil:
		return handler.queueLength(request.QueueLength)
	case request.Configure != nil:
		return handler.configure(ctx, request.Configure)
	case request.ReadConfiguration != nil:
		return handler.readConfiguration()
	case request.Heartbeat != nil:
		return handler.workerResponse(handler.overseer.HandleHeartbeat(*request.Heartbeat))
	case request.Heartbeats != nil:
		return handler.heartbeats(request.Heartbeats)
	case request.SubmitWave != nil:
		return handler.submitWave(ctx, request.SubmitWave)
	case request.WaveStatus != nil:
		return handler.waveStatus(request.WaveStatus.Number)
	case request.Evacuate != nil:
		return handler.evacuate(ctx, request.Evacuate)
	case request.EvacuationRevision != nil:
		return handler.evacuationRevision(request.EvacuationRevision)
	case request.Leave != nil:
		return handler.workerResponse(handler.overseer.HandleShutdown(request.Leave.Worker))
	case request.Explain != nil:
		return handler.explain(request.Explain)
	case request.ExplainWait != nil:
		return handler.explainWait(request.ExplainWait)
	case request.Status != nil:
		return handler.status()
	}
	return errorResponse(StatusInvalid, "the request has no operation set", 0)
}

// findQueue returns the queue that serves a route. If there is none, the response holds the error.
func (handler *Handler) findQueue(route QueueRoute) (queue *scheduler.Queue, response Response) {
	var configuration *scheduler.QueueConfiguration
	handler.keeper.View(func(state *jobkeeper.State) { configuration = state.Configuration() })
	if configuration == nil {
		return nil, errorResponse(StatusUnavailable, "no configuration has been applied yet", leaderRetry)
	}
	queue, found := configuration.Find(route.Host, route.Path)
	if !found {
		return nil, errorResponse(StatusNoQueue, "no queue is configured for this host and path", 0)
	}
	return queue, Response{}
}

// submit stores a job. timeout is the total time for which its caller retries, or zero if it is unknown.
func (handler *Handler) submit(ctx context.Context, request *SubmitRequest, timeout time.Duration) Response {
	queue, response := handler.findQueue(request.Route)
	if queue == nil {
		return response
	}
	if err := request.Workflow.Validate(); err != nil {
		return errorResponse(StatusInvalid, err.Error(), 0)
	}
	decision := handler.overseer.Admit(admitter.Submission{
		Job: request.Job, Queue: queue, Workflow: &request.Workflow, Timeout: timeout,
	})
	if !decision.Admitted() {
		return handler.refuse(request, queue, &decision)
	}
	response = handler.command(ctx, jobkeeper.Command{Submit: &jobkeeper.Submit{
		Job: request.Job, Queue: queue.Name, Workflow: request.Workflow, Accepted: time.Now(),
	}})
	handler.overseer.RecordSubmission(request.Job, response.Status != StatusOutcomeUnknown)
	if response.Status == StatusUnavailable && handler.overseer.MayBeStored(request.Job) {
		response = copyPendingResponse()
	}
	handler.logSubmission(request, queue, response.Status, response.Reason)
	return response
}

// copyPendingResponse is the response to a request that has not run itself while another copy of it may store the job. A
// response that says that the job never runs would be false.
func copyPendingResponse() Response {
	return errorResponse(StatusOutcomeUnknown, "another copy of the request may have stored the job", 0)
}

// refuse returns the response to a job that is not admitted. The leader lease is checked after the decision: another
// copy of the request may have been accepted by a later leader. The other copies are checked last, because a pause of the
// process may have come between.
func (handler *Handler) refuse(request *SubmitRequest, queue *scheduler.Queue, decision *admitter.Decision) Response {
	if !handler.overseer.IsLeader() {
		return Response{
			Status: StatusNotLeader, Reason: "this VM lost the leadership during the request",
			Leader: handler.group.Status().Leader(), RetryAfter: leaderRetry,
		}
	}
	if handler.overseer.MayBeStored(request.Job) {
		response := copyPendingResponse()
		handler.logSubmission(request, queue, response.Status, response.Reason)
		return response
	}
	handler.logSubmission(request, queue, StatusRefused, decision.Reason())
	return errorResponse(StatusRefused, decision.Reason(), decision.RetryAfter())
}

func (handler *Handler) logSubmission(request *SubmitRequest, queue *scheduler.Queue, status Status, reason string) {
	handler.logger.Info().Str("event", "jobSubmitted").Str("job", string(request.Job)).Str("queue", string(queue.Name)).
		Int("steps", len(request.Workflow.Steps)).Int64("work", estimatedWork(&request.Workflow)).Str("status", string(status)).Str("reason", reason).Msg("job submitted")
}

// estimatedWork returns the work of a job by its submitter's estimate, in millicore-seconds. Tasks without an estimate,
// and long-running ones, count as a second each.
func estimatedWork(workflow *scheduler.Workflow) int64 {
	var work int64
	for position := range workflow.Steps {
		step := &workflow.Steps[position]
		duration := step.Estimate
		if duration == 0 || step.LongRunning {
			duration = time.Second
		}
		work += int64(float64(int64(step.Count)*step.Request.MilliCores) * duration.Seconds())
	}
	return work
}

// cancel cancels a job. The cancellation of an unknown job is replicated too, because a copy of its submission may be
// accepted later.
func (handler *Handler) cancel(ctx context.Context, request *JobRequest) Response {
	queue, response := handler.findQueue(request.Route)
	if queue == nil {
		return response
	}
	command, otherQueue := handler.cancellation(queue, request.Job)
	if otherQueue {
		return errorResponse(StatusNoJob, "the job belongs to another queue", 0)
	}
	response = handler.command(ctx, command)
	handler.logger.Info().Str("event", "jobCancelled").Str("job", string(request.Job)).
		Bool("submitted", command.Cancel != nil).Str("status", string(response.Status)).Str("reason", response.Reason).
		Msg("job cancelled")
	return response
}

// cancellation returns the command that cancels a job of a queue, or otherQueue if the job belongs to another one. A job
// that is stored after this view is cancelled by the withdrawal.
func (handler *Handler) cancellation(
	queue *scheduler.Queue, id scheduler.JobID,
) (command jobkeeper.Command, otherQueue bool) {
	command = jobkeeper.Command{Withdraw: &jobkeeper.Withdraw{Job: id, Requested: time.Now()}}
	handler.keeper.View(func(view *jobkeeper.State) {
		job, known := view.Job(id)
		switch {
		case !known:
		case isQueueOf(job, queue):
			command = jobkeeper.Command{Cancel: &id}
		default:
			otherQueue = true
		}
	})
	return command, otherQueue
}

// isQueueOf reports whether a job belongs to a queue. A queue with another name for the same host and path is the renamed
// queue of the job.
func isQueueOf(job *jobkeeper.Job, queue *scheduler.Queue) bool {
	submitted := job.Queue()
	return submitted.Name == queue.Name || submitted.HasRouteOf(queue)
}

// job returns the response to a query of a job.
func (handler *Handler) job(queue *scheduler.Queue, id scheduler.JobID) (response Response, found bool) {
	handler.keeper.View(func(view *jobkeeper.State) {
		job, known := view.Job(id)
		if known && isQueueOf(job, queue) {
			found = true
			response = Response{Status: StatusDone, JobState: job.State(), FailureReason: job.FailureReason()}
		}
	})
	return response, found
}

func (handler *Handler) state(request *JobRequest) Response {
	queue, response := handler.findQueue(request.Route)
	if queue == nil {
		return response
	}
	response, found := handler.job(queue, request.Job)
	if !handler.overseer.IsLeader() {
		return errorResponse(StatusUnavailable, "this VM lost the leadership during the request", leaderRetry)
	}
	if !found {
		return errorResponse(StatusNoJob, "the job does not exist", 0)
	}
	return response
}

func (handler *Handler) queueLength(request *QueueRoute) Response {
	queue, response := handler.findQueue(*request)
	if queue == nil {
		return response
	}
	handler.keeper.View(func(state *jobkeeper.State) {
		response = Response{Status: StatusDone, QueuedJobs: state.Queued(queue)}
	})
	if !handler.overseer.IsLeader() {
		return errorResponse(StatusUnavailable, "this VM lost the leadership during the request", leaderRetry)
	}
	return response
}

func (handler *Handler) configure(ctx context.Context, configuration *scheduler.QueueConfiguration) Response {
	if err := configuration.Validate(); err != nil {
		return errorResponse(StatusInvalid, err.Error(), 0)
	}
	response := handler.command(ctx, jobkeeper.Command{Configure: configuration})
	handler.logger.Info().Str("event", "configurationSubmitted").Uint64("version", configuration.Version).
		Int("queues", len(configuration.Queues)).Str("status", string(response.Status)).Str("reason", response.Reason).
		Msg("configuration submitted")
	return response
}

// readConfiguration returns the current configuration. The leader lease is checked after the state is read, so that
// no newer configuration can have been accepted elsewhere.
func (handler *Handler) readConfiguration() Response {
	var configuration *scheduler.QueueConfiguration
	handler.keeper.View(func(state *jobkeeper.State) { configuration = state.Configuration() })
	switch {
	case !handler.overseer.IsLeader():
		return errorResponse(StatusUnavailable, "this VM lost the leadership during the request", leaderRetry)
	case configuration == nil:
		return errorResponse(StatusUnavailable, "no configuration has been applied yet", leaderRetry)
	}
	return Response{Status: StatusDone, Source: configuration.Source, Version: configuration.Version}
}

func (handler *Handler) status() Response {
	response := Response{Status: StatusDone, Leader: handler.group.Status().Leader(), Members: handler.members()}
	handler.keeper.View(func(state *jobkeeper.State) {
		if configuration := state.Configuration(); configuration != nil {
			response.Version, response.Limits = configuration.Version, configuration.Limits
		}
	})
	return response
}

func (handler *Handler) workerResponse(err error) Response {
	if err != nil {
		return errorResponse(StatusNotLeader, err.Error(), leaderRetry)
	}
	return Response{Status: StatusDone, Leader: handler.group.Status().Leader()}
}

func (handler *Handler) heartbeats(request *HeartbeatBatch) Response {
	unknown, err := handler.overseer.HandleRelayedHeartbeats(request.Repeated, request.Full)
	response := handler.workerResponse(err)
	response.UnknownWorkers = unknown
	return response
}

// submitWave stores a maintenance wave in the replicated state.
func (handler *Handler) submitWave(ctx context.Context, wave *scheduler.Wave) Response {
	if err := wave.Validate(); err != nil {
		return errorResponse(StatusInvalid, err.Error(), 0)
	}
	if !handler.overseer.CanMaintain() {
		return errorResponse(StatusInvalid, "maintenance is not enabled in this domain", 0)
	}
	response := handler.command(ctx, jobkeeper.Command{
		SubmitWave: &jobkeeper.SubmitWave{Wave: *wave, Accepted: time.Now()},
	})
	handler.logger.Info().Str("event", "waveSubmitted").Uint64("wave", wave.Number).Int("vms", len(wave.VMs)).
		Int("atOnce", wave.MaxConcurrent).Dur("duration", wave.Duration).Str("status", string(response.Status)).
		Str("reason", response.Reason).Msg("maintenance wave submitted")
	return response
}

// waveStatus returns whether a maintenance wave is completed. The leader lease is checked after the state is read.
func (handler *Handler) waveStatus(number uint64) Response {
	response := errorResponse(StatusNoWave, "the maintenance wave does not exist", 0)
	handler.keeper.View(func(state *jobkeeper.State) {
		if wave, found := state.Wave(number); found {
			response = Response{Status: StatusDone, Completed: wave.Completed()}
		}
	})
	if !handler.overseer.IsLeader() {
		return errorResponse(StatusUnavailable, "this VM lost the leadership during the request", leaderRetry)
	}
	return response
}

// command proposes a command for replication and maps its result to a response.
func (handler *Handler) command(ctx context.Context, command jobkeeper.Command) Response {
	result, err := handler.overseer.Propose(ctx, command)
	switch {
	case scheduler.ErrNotRun.Has(err):
		return errorResponse(StatusUnavailable, err.Error(), leaderRetry)
	case err != nil:
		return errorResponse(StatusOutcomeUnknown, err.Error(), 0)
	}
	switch result.Status {
	case jobkeeper.StatusDone, jobkeeper.StatusUnchanged:
		return Response{Status: StatusDone}
	case jobkeeper.StatusSuperseded:
		return errorResponse(StatusSuperseded, "another request was accepted first; this copy had no effect", 0)
	case jobkeeper.StatusUnknownQueue:
		return errorResponse(StatusNoQueue, "the queue was removed during the request", 0)
	case jobkeeper.StatusOtherQueue:
		return errorResponse(StatusRefused, "the id belongs to a job of another queue; this one was not accepted", 0)
	case jobkeeper.StatusUnknownJob:
		return errorResponse(StatusNoJob, "the job does not exist", 0)
	}
	return errorResponse(StatusInvalid, "the command is invalid", 0)
}
