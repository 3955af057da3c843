// Package clerk answers what callers, operators and workers ask of a domain. A Clerk answers on the VM that
// leads; a Courier finds that VM from any other one.
package clerk

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/overseer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("clerk")

// leaderRetry is the advice to callers while no VM leads: an election takes between one and two seconds.
const leaderRetry = time.Second

// Clerk answers requests on a VM that holds the state of the domain. It is safe for concurrent use.
type Clerk struct {
	group    scheduler.Group
	keeper   *jobkeeper.Keeper
	overseer *overseer.Overseer
	logger   zerolog.Logger
	members  func() []scheduler.VMName
}

// New returns a Clerk. members returns the VMs that hold the state.
func New(group scheduler.Group, keeper *jobkeeper.Keeper, overseer *overseer.Overseer, members func() []scheduler.VMName, logger zerolog.Logger) *Clerk {
	return &Clerk{group: group, keeper: keeper, overseer: overseer, members: members, logger: logger}
}

// Answer answers a request if this VM leads. Otherwise nothing is done and the answer names the leader.
func (clerk *Clerk) Answer(ctx context.Context, request *Request) Answer {
	if !clerk.overseer.Leads() {
		return Answer{Status: StatusNotLeader, Reason: "this VM does not lead the domain", Leader: clerk.group.Status().Leader(), RetryAfter: leaderRetry}
	}
	switch {
	case request.Submit != nil:
		return clerk.submit(ctx, request.Submit)
	case request.Cancel != nil:
		return clerk.cancel(ctx, request.Cancel)
	case request.State != nil:
		return clerk.state(request.State)
	case request.Queue != nil:
		return clerk.queue(request.Queue)
	case request.Configure != nil:
		return clerk.configure(ctx, request.Configure)
	case request.Read != nil:
		return clerk.read()
	case request.Beat != nil:
		return clerk.workerAnswer(clerk.overseer.Beat(*request.Beat))
	case request.Heard != nil:
		return clerk.heard(request.Heard)
	case request.Maintain != nil:
		return clerk.maintain(ctx, request.Maintain)
	case request.Wave != nil:
		return clerk.wave(request.Wave.Number)
	case request.Leave != nil:
		return clerk.workerAnswer(clerk.overseer.Leave(request.Leave.Worker))
	case request.Status != nil:
		return clerk.status()
	}
	return refusal(StatusInvalid, "the request is empty", 0)
}

// find returns the queue at a place. The answer is set when there is none.
func (clerk *Clerk) find(place PlaceRequest) (queue *scheduler.Queue, answer Answer) {
	var configuration *scheduler.QueueConfiguration
	clerk.keeper.View(func(state *jobkeeper.State) { configuration = state.Configuration() })
	if configuration == nil {
		return nil, refusal(StatusUnavailable, "there is no configuration yet", leaderRetry)
	}
	queue, found := configuration.Find(place.Host, place.Path)
	if !found {
		return nil, refusal(StatusNoQueue, "no queue is configured for this host and path", 0)
	}
	return queue, Answer{}
}

func (clerk *Clerk) submit(ctx context.Context, request *SubmitRequest) Answer {
	queue, answer := clerk.find(request.Place)
	if queue == nil {
		return answer
	}
	if err := request.Workflow.Validate(); err != nil {
		return refusal(StatusInvalid, err.Error(), 0)
	}
	if _, known := clerk.job(queue, request.Job); !known {
		if decision := clerk.overseer.Admit(queue.Pool, &request.Workflow); !decision.Admitted() {
			clerk.logSubmission(request, queue, StatusRefused, decision.Reason())
			return refusal(StatusRefused, decision.Reason(), decision.RetryAfter())
		}
	}
	answer = clerk.command(ctx, jobkeeper.Command{Submit: &jobkeeper.Submit{
		Job: request.Job, Queue: queue.Name, Workflow: request.Workflow, Accepted: time.Now(),
	}})
	clerk.logSubmission(request, queue, answer.Status, answer.Reason)
	return answer
}

func (clerk *Clerk) logSubmission(request *SubmitRequest, queue *scheduler.Queue, status Status, reason string) {
	clerk.logger.Info().Str("event", "jobSubmitted").Str("job", string(request.Job)).Str("queue", string(queue.Name)).
		Int("steps", len(request.Workflow.Steps)).Str("status", string(status)).Str("reason", reason).Msg("job submitted")
}

func (clerk *Clerk) cancel(ctx context.Context, request *JobRequest) Answer {
	queue, answer := clerk.find(request.Place)
	if queue == nil {
		return answer
	}
	if _, found := clerk.job(queue, request.Job); !found {
		return refusal(StatusNoJob, "there is no such job", 0)
	}
	answer = clerk.command(ctx, jobkeeper.Command{Cancel: &request.Job})
	clerk.logger.Info().Str("event", "jobCancelled").Str("job", string(request.Job)).Str("status", string(answer.Status)).
		Str("reason", answer.Reason).Msg("job cancelled")
	return answer
}

func (clerk *Clerk) job(queue *scheduler.Queue, id scheduler.JobID) (state scheduler.WorkflowState, found bool) {
	clerk.keeper.View(func(view *jobkeeper.State) {
		job, known := view.Job(id)
		if known && job.Queue().Name == queue.Name {
			state, found = job.State(), true
		}
	})
	return state, found
}

func (clerk *Clerk) state(request *JobRequest) Answer {
	queue, answer := clerk.find(request.Place)
	if queue == nil {
		return answer
	}
	state, found := clerk.job(queue, request.Job)
	if !clerk.overseer.Leads() {
		return refusal(StatusUnavailable, "leadership was lost meanwhile", leaderRetry)
	}
	if !found {
		return refusal(StatusNoJob, "there is no such job", 0)
	}
	return Answer{Status: StatusDone, State: state}
}

func (clerk *Clerk) queue(request *PlaceRequest) Answer {
	queue, answer := clerk.find(*request)
	if queue == nil {
		return answer
	}
	clerk.keeper.View(func(state *jobkeeper.State) {
		answer = Answer{Status: StatusDone, Waiting: state.Queued(queue.Name)}
	})
	return answer
}

func (clerk *Clerk) configure(ctx context.Context, configuration *scheduler.QueueConfiguration) Answer {
	if err := configuration.Validate(); err != nil {
		return refusal(StatusInvalid, err.Error(), 0)
	}
	answer := clerk.command(ctx, jobkeeper.Command{Configure: configuration})
	clerk.logger.Info().Str("event", "configurationSubmitted").Uint64("version", configuration.Version).
		Int("queues", len(configuration.Queues)).Str("status", string(answer.Status)).Str("reason", answer.Reason).Msg("configuration submitted")
	return answer
}

// read returns the configuration in force. The leader lease is checked after the state was read, so that no
// newer configuration can have been accepted elsewhere.
func (clerk *Clerk) read() Answer {
	var configuration *scheduler.QueueConfiguration
	clerk.keeper.View(func(state *jobkeeper.State) { configuration = state.Configuration() })
	switch {
	case !clerk.overseer.Leads():
		return refusal(StatusUnavailable, "leadership was lost meanwhile", leaderRetry)
	case configuration == nil:
		return refusal(StatusUnavailable, "there is no configuration yet", leaderRetry)
	}
	return Answer{Status: StatusDone, Source: configuration.Source, Version: configuration.Version}
}

func (clerk *Clerk) status() Answer {
	answer := Answer{Status: StatusDone, Leader: clerk.group.Status().Leader(), Members: clerk.members()}
	clerk.keeper.View(func(state *jobkeeper.State) {
		if configuration := state.Configuration(); configuration != nil {
			answer.Version, answer.Limits = configuration.Version, configuration.Limits
		}
	})
	return answer
}

func (clerk *Clerk) workerAnswer(err error) Answer {
	if err != nil {
		return refusal(StatusNotLeader, err.Error(), leaderRetry)
	}
	return Answer{Status: StatusDone, Leader: clerk.group.Status().Leader()}
}

func (clerk *Clerk) heard(request *HeardRequest) Answer {
	unknown, err := clerk.overseer.Heard(request.Workers, request.Beats)
	answer := clerk.workerAnswer(err)
	answer.Unknown = unknown
	return answer
}

// maintain takes on a wave of maintenance.
func (clerk *Clerk) maintain(ctx context.Context, wave *scheduler.Wave) Answer {
	if err := wave.Validate(); err != nil {
		return refusal(StatusInvalid, err.Error(), 0)
	}
	if !clerk.overseer.Maintains() {
		return refusal(StatusInvalid, "the VMs of this domain have no maintenance", 0)
	}
	answer := clerk.command(ctx, jobkeeper.Command{SubmitWave: &jobkeeper.SubmitWave{Wave: *wave, Accepted: time.Now()}})
	clerk.logger.Info().Str("event", "waveSubmitted").Uint64("wave", wave.Number).Int("vms", len(wave.VMs)).Int("atOnce", wave.MaxConcurrent).
		Dur("duration", wave.Duration).Str("status", string(answer.Status)).Str("reason", answer.Reason).Msg("wave of maintenance submitted")
	return answer
}

// wave tells whether a wave is completed. The leader lease is checked after the state was read.
func (clerk *Clerk) wave(number uint64) Answer {
	answer := refusal(StatusNoWave, "there is no such wave", 0)
	clerk.keeper.View(func(state *jobkeeper.State) {
		if wave, found := state.Wave(number); found {
			answer = Answer{Status: StatusDone, Completed: wave.Completed()}
		}
	})
	if !clerk.overseer.Leads() {
		return refusal(StatusUnavailable, "leadership was lost meanwhile", leaderRetry)
	}
	return answer
}

// command replicates a command and turns its result into an answer.
func (clerk *Clerk) command(ctx context.Context, command jobkeeper.Command) Answer {
	result, err := clerk.overseer.Propose(ctx, command)
	switch {
	case scheduler.ErrNotRun.Has(err):
		return refusal(StatusUnavailable, err.Error(), leaderRetry)
	case err != nil:
		return refusal(StatusUnknown, err.Error(), 0)
	}
	switch result.Status {
	case jobkeeper.StatusDone, jobkeeper.StatusUnchanged:
		return Answer{Status: StatusDone}
	case jobkeeper.StatusUnknownQueue:
		return refusal(StatusNoQueue, "the queue was removed meanwhile", 0)
	case jobkeeper.StatusUnknownJob:
		return refusal(StatusNoJob, "there is no such job", 0)
	}
	return refusal(StatusInvalid, "the command is not valid", 0)
}
