package overseer

import (
	"context"
	"hash/crc32"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// startPlan is a start order built from the replicated state, if the attempt is still wanted.
type startPlan struct {
	worker scheduler.WorkerRef
	order  scheduler.StartOrder
	wanted bool
	// fenced is true if the worker gets no more orders. held is true while its lease must not be extended.
	fenced, held bool
	// prepared is when the state was read from which the order was built.
	prepared time.Duration
}

// start sends the start order of an attempt until it is answered or the attempt is no longer wanted.
func (leadership *leadership) start(instance *worker, id scheduler.RunID) {
	began := leadership.now()
	for failures := 0; leadership.context.Err() == nil; {
		plan := leadership.planStart(instance, id)
		if plan.fenced {
			leadership.settleFenced(instance)
			return
		}
		if !plan.wanted {
			leadership.abandonStart(instance, id)
			return
		}
		if plan.held || !leadership.maySend(plan.prepared) {
			leadership.pause(leaseCheckInterval)
			continue
		}
		response, err := leadership.sendStart(&plan)
		if err != nil {
			failures++
			leadership.handleStartError(instance, id, err)
			leadership.pause(retryDelay(failures))
			continue
		}
		if leadership.handleStartResponse(instance, id, response) {
			leadership.overseer.metrics.startTime.RecordDuration(leadership.now() - began)
			return
		}
		leadership.pause(minRetryDelay)
	}
}

// planStart builds the start order and records that it may take effect from now on. The age of the order counts from the
// time at which the mutex is held: when thousands of starts wait for it, none would be young enough otherwise.
func (leadership *leadership) planStart(instance *worker, id scheduler.RunID) startPlan {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	attempt := instance.attempts[id]
	if instance.fenced {
		return startPlan{fenced: true}
	}
	if !instance.acceptsOrders() || attempt == nil || attempt.recordingEnd || attempt.state != attemptStarting {
		return startPlan{}
	}
	if instance.heartbeat.Phase != scheduler.WorkerReady {
		return startPlan{}
	}
	if !leadership.leaseRecorder.Extendable(instance.name) {
		return startPlan{wanted: true, held: true}
	}
	if leadership.mayExceedCapacity(instance) {
		leadership.recordStartOverCapacity(instance, id)
		return startPlan{}
	}
	plan, withheld := startPlan{prepared: leadership.now(), worker: instance.ref()}, false
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		run, found := state.Run(instance.name, id)
		if !found || !run.Task().IsRunnable() {
			return
		}
		if !instance.isOfKind(run.Task().Step()) {
			return // A later instance of the worker may be of another kind.
		}
		// This state is read at most maxOrderAge before the order is sent, also after a pause of the process.
		if withheld = state.Evacuation(instance.heartbeat.DataCentre).Active(); withheld {
			return
		}
		plan.wanted = true
		plan.order = scheduler.StartOrder{
			Run: id, Payload: run.Task().Step().Job().Workflow().Payload, Token: leadership.term,
			Checkpoint: run.Task().Checkpoint(),
		}
	})
	if withheld {
		leadership.recordWithheldStart(instance, id)
	}
	if !plan.wanted {
		return plan
	}
	plan.order.LeaseEnd = leadership.grantLease(instance, leadership.now())
	plan.order.Approval = attempt.approval
	attempt.startOutstanding, attempt.startSending = true, true
	attempt.timing.measurable = attempt.timing.measurable && plan.order.Checkpoint == ""
	return plan
}

func (leadership *leadership) sendStart(plan *startPlan) (scheduler.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(leadership.context, orderTimeout)
	defer cancel()
	leadership.logStart(plan)
	return leadership.overseer.client.Start(ctx, plan.worker, plan.order)
}

// logStart logs the content of a start order. The level is debug because a large domain starts hundreds of tasks a second.
func (leadership *leadership) logStart(plan *startPlan) {
	event := leadership.logger.Debug()
	if !event.Enabled() {
		return
	}
	order := &plan.order
	event.Str("event", "startSent").Stringer("run", order.Run).Str("worker", string(plan.worker.Worker)).
		Uint64("life", uint64(plan.worker.Instance)).
		Uint32("payloadChecksum", crc32.ChecksumIEEE([]byte(order.Payload))).Str("checkpoint", order.Checkpoint).
		Msg("sending a start order")
}

// handleStartError records that a start order may take effect later, unless it was certainly not sent.
func (leadership *leadership) handleStartError(instance *worker, id scheduler.RunID, err error) {
	leadership.overseer.metrics.repeated.Inc(1)
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	if attempt := instance.attempts[id]; attempt != nil {
		attempt.startSending = false
		attempt.startUnanswered = attempt.startUnanswered || !scheduler.ErrNotRun.Has(err)
	}
	if !instance.ended {
		instance.consecutiveFailures++
		leadership.recordFailure(instance, err)
		leadership.ensureRenewal(instance)
	}
}

// recordOrderResponse records a worker's response to an order about an attempt. It returns nil if the attempt or the
// instance has ended. The mutex must be held.
func (leadership *leadership) recordOrderResponse(
	instance *worker, id scheduler.RunID, response scheduler.OrderResponse,
) *attempt {
	attempt := instance.attempts[id]
	if attempt == nil || instance.ended {
		return nil
	}
	now := leadership.now()
	if response.Result != scheduler.OrderIncarnationMismatch { // Otherwise another worker has responded.
		leadership.recordResponse(instance, now)
	}
	instance.updateClock(response.Clock, now)
	attempt.settledAt = now
	return attempt
}

// logUnwantedStart logs a start order that took effect while the attempt was being stopped.
func (leadership *leadership) logUnwantedStart(instance *worker, id scheduler.RunID, attempt *attempt) {
	if attempt.state != attemptStopping && attempt.state != attemptStopped {
		return
	}
	leadership.logger.Info().Str("event", "unwantedStartAccepted").Stringer("run", id).
		Str("worker", string(instance.name)).Str("state", string(attempt.state)).Str("reason", attempt.stopReason).
		Msg("worker accepted a start order while the attempt was being stopped")
}

// handleStartResponse processes the response to a start order. It returns false if the order must be sent again. A
// refused attempt is stopped first if an earlier start order may still arrive.
func (leadership *leadership) handleStartResponse(
	instance *worker, id scheduler.RunID, response scheduler.OrderResponse,
) bool {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	attempt := leadership.recordOrderResponse(instance, id, response)
	if response.Result == scheduler.OrderAccepted {
		leadership.recordStart(id, attempt)
	}
	if attempt == nil {
		return true
	}
	attempt.startSending = false
	switch response.Result {
	case scheduler.OrderAccepted:
		attempt.startOutstanding = false
		leadership.logUnwantedStart(instance, id, attempt)
		attempt.timing.begin(leadership.now())
		if attempt.state == attemptStarting {
			attempt.state = attemptRunning
		}
		leadership.throttle(instance, id, attempt)
		leadership.overseer.metrics.started.Inc(1)
		leadership.ensureRenewal(instance)
		return true
	case scheduler.OrderStaleAttempt:
		// The worker has already ended the attempt. The next report either lists it or shows that it is gone.
		attempt.state, attempt.startOutstanding = attemptStopped, false
		leadership.ensureRenewal(instance)
		return true
	case scheduler.OrderLeaseExpired:
		return false
	case scheduler.OrderFenced:
		leadership.handleFenced(instance)
		return true
	case scheduler.OrderIncarnationMismatch:
		leadership.endInstance(instance, "another worker responds at the address")
		return true
	}
	leadership.handleRefusal(instance, id, attempt, response.Result)
	return true
}

// handleRefusal handles a start order that the worker refused. The mutex must be held.
func (leadership *leadership) handleRefusal(
	instance *worker, id scheduler.RunID, attempt *attempt, result scheduler.OrderResult,
) {
	leadership.overseer.metrics.refused.Inc(1)
	switch result {
	case scheduler.OrderNotApproved:
		leadership.dropProof(id.Task, instance)
	case scheduler.OrderWorkerUnhealthy:
		instance.backoffUntil = max(instance.backoffUntil, leadership.now()+unhealthyBackoff)
	default:
		instance.backoffUntil = max(instance.backoffUntil, leadership.now()+refusalBackoff)
	}
	leadership.logger.Info().Str("event", "startRefused").Stringer("run", id).Str("worker", string(instance.name)).
		Str("verdict", string(result)).Int("attempts", len(instance.attempts)).Msg("worker refused to start an attempt")
	leadership.withdraw(instance, id, attempt)
}

// withdraw ends an attempt that is not running. If an earlier start order may still take effect, the attempt is stopped
// first, after which the worker rejects that start order. The mutex must be held.
func (leadership *leadership) withdraw(instance *worker, id scheduler.RunID, attempt *attempt) {
	if attempt.startUnanswered || attempt.mayHaveStarted {
		attempt.state = attemptStopping
		leadership.goroutines.Go(func() { leadership.stop(instance, id) })
		return
	}
	attempt.recordingEnd = true
	leadership.goroutines.Go(func() {
		leadership.recordEnds(instance, []jobkeeper.End{{Run: id, Kind: scheduler.EndRefused}})
	})
}

// abandonStart ends an attempt whose start is no longer wanted.
func (leadership *leadership) abandonStart(instance *worker, id scheduler.RunID) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	attempt := instance.attempts[id]
	if instance.ended || attempt == nil || attempt.recordingEnd || attempt.state != attemptStarting {
		return
	}
	leadership.withdraw(instance, id, attempt)
}

// stop sends the stop order of an attempt until it is answered. A later report contains the end.
func (leadership *leadership) stop(instance *worker, id scheduler.RunID) {
	for failures := 0; leadership.context.Err() == nil; {
		if !leadership.mayAct() {
			leadership.pause(leaseCheckInterval)
			continue
		}
		if !leadership.isStopping(instance, id) {
			return
		}
		response, err := leadership.sendStop(instance, id)
		if err == nil && leadership.handleStopResponse(instance, id, response) {
			return
		}
		failures++
		leadership.pause(retryDelay(failures))
	}
}

func (leadership *leadership) isStopping(instance *worker, id scheduler.RunID) bool {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	attempt := instance.attempts[id]
	return instance.acceptsOrders() && attempt != nil && !attempt.recordingEnd && attempt.state == attemptStopping
}

func (leadership *leadership) sendStop(instance *worker, id scheduler.RunID) (scheduler.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(leadership.context, orderTimeout)
	defer cancel()
	return leadership.overseer.client.Stop(ctx, leadership.ref(instance), id, leadership.term)
}

// handleStopResponse processes the response to a stop order. It returns false if the order must be sent again.
func (leadership *leadership) handleStopResponse(
	instance *worker, id scheduler.RunID, response scheduler.OrderResponse,
) bool {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	attempt := leadership.recordOrderResponse(instance, id, response)
	if attempt == nil {
		return true
	}
	switch response.Result {
	case scheduler.OrderAccepted, scheduler.OrderStaleAttempt:
		attempt.state, attempt.startOutstanding = attemptStopped, false
		attempt.startUnanswered, attempt.mayHaveStarted = false, false
		attempt.settledAt += leadership.overseer.stopTime
		leadership.ensureRenewal(instance)
		return true
	case scheduler.OrderFenced:
		leadership.handleFenced(instance)
		return true
	case scheduler.OrderIncarnationMismatch:
		leadership.endInstance(instance, "another worker responds at the address")
		return true
	}
	return false
}

// stopAttempt starts to stop an attempt unless it is already being stopped. The mutex must be held.
func (leadership *leadership) stopAttempt(instance *worker, id scheduler.RunID, reason string) {
	attempt := instance.attempts[id]
	if attempt == nil || attempt.recordingEnd || attempt.state == attemptStopping || attempt.state == attemptStopped {
		return
	}
	leadership.logger.Debug().Str("event", "attemptStopped").Stringer("run", id).Str("worker", string(instance.name)).
		Str("reason", reason).Msg("stopping attempt")
	attempt.state, attempt.stopReason = attemptStopping, reason
	leadership.goroutines.Go(func() { leadership.stop(instance, id) })
}

// stopUnknown stops an attempt that is not in the log. If that fails, the next report lists the attempt again.
func (leadership *leadership) stopUnknown(instance *worker, id scheduler.RunID) {
	leadership.mutex.Lock()
	accepts := instance.acceptsOrders()
	leadership.mutex.Unlock()
	if !accepts {
		return
	}
	if _, err := leadership.sendStop(instance, id); err != nil {
		leadership.logger.Warn().Str("event", "strayNotStopped").Stringer("run", id).
			Str("worker", string(instance.name)).Err(err).
			Msg("could not stop an unknown attempt; will retry after the next report")
	}
}
