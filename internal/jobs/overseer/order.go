package overseer

import (
	"context"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// startPlan is what a start order needs of the replicated state.
type startPlan struct {
	order  scheduler.StartOrder
	wanted bool
}

// start sends the start of an attempt until it is answered, or until the attempt is no longer wanted.
func (leadership *leadership) start(life *worker, id scheduler.RunID) {
	began := leadership.now()
	for failures := 0; leadership.context.Err() == nil; {
		prepared := leadership.now()
		plan := leadership.planStart(life, id)
		if !plan.wanted {
			leadership.abandonStart(life, id)
			return
		}
		if !leadership.maySend(prepared) {
			leadership.pause(leaseCheckInterval)
			continue
		}
		answer, err := leadership.sendStart(life, plan.order)
		if err != nil {
			failures++
			leadership.startUnanswered(life, id, err)
			leadership.pause(retryPause(failures))
			continue
		}
		if leadership.takeStartAnswer(life, id, answer) {
			leadership.overseer.metrics.startTime.RecordDuration(leadership.now() - began)
			return
		}
		leadership.pause(firstRetry)
	}
}

// planStart builds the start order and notes that the attempt may take effect from now on.
func (leadership *leadership) planStart(life *worker, id scheduler.RunID) startPlan {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	attempt := life.attempts[id]
	if life.over || attempt == nil || attempt.ending || attempt.state != attemptStarting || !life.known {
		return startPlan{}
	}
	if life.beat.Phase != scheduler.WorkerReady {
		return startPlan{}
	}
	plan := startPlan{}
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		run, found := state.Run(life.name, id)
		if !found || !run.Task().IsRunnable() {
			return
		}
		plan.wanted = true
		plan.order = scheduler.StartOrder{
			Run: id, Payload: run.Task().Step().Job().Workflow().Payload, Token: leadership.term, Checkpoint: run.Task().Checkpoint(),
		}
	})
	if !plan.wanted {
		return plan
	}
	plan.order.LeaseEnd = life.grantLease(leadership.now(), leadership.overseer.leaseDuration, leadership.overseer.drift)
	plan.order.Approval = attempt.approval
	attempt.exposed = true
	return plan
}

func (leadership *leadership) sendStart(life *worker, order scheduler.StartOrder) (scheduler.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(leadership.context, orderTimeout)
	defer cancel()
	return leadership.overseer.client.Start(ctx, leadership.ref(life), order)
}

// startUnanswered notes that a start may take effect later, unless it surely was not sent.
func (leadership *leadership) startUnanswered(life *worker, id scheduler.RunID, err error) {
	leadership.overseer.metrics.repeated.Inc(1)
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	if attempt := life.attempts[id]; attempt != nil && !scheduler.ErrNotRun.Has(err) {
		attempt.unanswered = true
	}
	if !life.over {
		life.failing++
		leadership.watchWorker(life)
	}
}

// noteAnswer notes that a worker has answered an order about an attempt. It returns nil when the attempt is no
// longer of interest. The mutex is held.
func (leadership *leadership) noteAnswer(life *worker, id scheduler.RunID, answer scheduler.OrderResponse) *attempt {
	attempt := life.attempts[id]
	if attempt == nil || life.over {
		return nil
	}
	now := leadership.now()
	life.noteAnswered(now)
	life.noteClock(answer.Clock, now)
	attempt.settled = now
	return attempt
}

// takeStartAnswer notes the answer to a start. It returns false when the order must be sent again. An
// attempt that was refused and of which an earlier order may still arrive is stopped first.
func (leadership *leadership) takeStartAnswer(life *worker, id scheduler.RunID, answer scheduler.OrderResponse) bool {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	attempt := leadership.noteAnswer(life, id, answer)
	if attempt == nil {
		return true
	}
	switch answer.Result {
	case scheduler.OrderAccepted:
		attempt.exposed = false
		if attempt.state == attemptStarting {
			attempt.state = attemptRunning
		}
		leadership.throttle(life, id, attempt)
		leadership.overseer.metrics.started.Inc(1)
		leadership.watchWorker(life)
		return true
	case scheduler.OrderStaleAttempt:
		// The worker has ended the attempt. The next report lists it, or shows that it is not there.
		attempt.state, attempt.exposed = attemptStopped, false
		leadership.watchWorker(life)
		return true
	case scheduler.OrderLeaseExpired:
		return false
	case scheduler.OrderFenced:
		leadership.fenced(life)
		return true
	case scheduler.OrderIncarnationMismatch:
		leadership.endLife(life, "another worker answers at its address")
		return true
	}
	leadership.refused(life, id, attempt, answer.Result)
	return true
}

// refused handles a start that the worker will not run. The mutex is held.
func (leadership *leadership) refused(life *worker, id scheduler.RunID, attempt *attempt, verdict scheduler.OrderResult) {
	leadership.overseer.metrics.refused.Inc(1)
	switch verdict {
	case scheduler.OrderNotApproved:
		leadership.dropProof(id.Task, life)
	case scheduler.OrderWorkerUnhealthy:
		life.restedUntil = max(life.restedUntil, leadership.now()+unhealthyPause)
	default:
		life.restedUntil = max(life.restedUntil, leadership.now()+refusalPause)
	}
	leadership.logger.Info().Str("event", "startRefused").Stringer("run", id).Str("worker", string(life.name)).
		Str("verdict", string(verdict)).Int("attempts", len(life.attempts)).Msg("the worker has refused an attempt")
	leadership.withdraw(life, id, attempt)
}

// withdraw ends an attempt that does not run. Where an unanswered start may still take effect, the attempt
// is stopped first, after which the worker refuses that start. The mutex is held.
func (leadership *leadership) withdraw(life *worker, id scheduler.RunID, attempt *attempt) {
	if attempt.unanswered {
		attempt.state = attemptStopping
		leadership.workers.Go(func() { leadership.stop(life, id) })
		return
	}
	attempt.ending = true
	leadership.workers.Go(func() {
		leadership.record(life, []jobkeeper.End{{Run: id, Kind: scheduler.EndRefused}})
	})
}

// abandonStart ends an attempt that is no longer wanted before its start was answered.
func (leadership *leadership) abandonStart(life *worker, id scheduler.RunID) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	attempt := life.attempts[id]
	if life.over || attempt == nil || attempt.ending || attempt.state != attemptStarting {
		return
	}
	leadership.withdraw(life, id, attempt)
}

// stop sends the stop of an attempt until it is answered. The end shows in a later report.
func (leadership *leadership) stop(life *worker, id scheduler.RunID) {
	for failures := 0; leadership.context.Err() == nil; {
		if !leadership.mayAct() {
			leadership.pause(leaseCheckInterval)
			continue
		}
		if !leadership.isStopping(life, id) {
			return
		}
		answer, err := leadership.stopOnce(life, id)
		if err == nil && leadership.takeStopAnswer(life, id, answer) {
			return
		}
		failures++
		leadership.pause(retryPause(failures))
	}
}

func (leadership *leadership) isStopping(life *worker, id scheduler.RunID) bool {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	attempt := life.attempts[id]
	return !life.over && life.known && attempt != nil && !attempt.ending && attempt.state == attemptStopping
}

func (leadership *leadership) stopOnce(life *worker, id scheduler.RunID) (scheduler.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(leadership.context, orderTimeout)
	defer cancel()
	return leadership.overseer.client.Stop(ctx, leadership.ref(life), id, leadership.term)
}

// takeStopAnswer notes the answer to a stop. It returns false when the order must be sent again.
func (leadership *leadership) takeStopAnswer(life *worker, id scheduler.RunID, answer scheduler.OrderResponse) bool {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	attempt := leadership.noteAnswer(life, id, answer)
	if attempt == nil {
		return true
	}
	switch answer.Result {
	case scheduler.OrderAccepted, scheduler.OrderStaleAttempt:
		attempt.state, attempt.exposed, attempt.unanswered = attemptStopped, false, false
		attempt.settled += leadership.overseer.stopTime
		leadership.watchWorker(life)
		return true
	case scheduler.OrderFenced:
		leadership.fenced(life)
		return true
	case scheduler.OrderIncarnationMismatch:
		leadership.endLife(life, "another worker answers at its address")
		return true
	}
	return false
}

// stopAttempt begins to stop an attempt, unless that is under way. The mutex is held.
func (leadership *leadership) stopAttempt(life *worker, id scheduler.RunID, reason string) {
	attempt := life.attempts[id]
	if attempt == nil || attempt.ending || attempt.state == attemptStopping || attempt.state == attemptStopped {
		return
	}
	leadership.logger.Debug().Str("event", "attemptStopped").Stringer("run", id).Str("worker", string(life.name)).
		Str("reason", reason).Msg("attempt is stopped")
	attempt.state = attemptStopping
	leadership.workers.Go(func() { leadership.stop(life, id) })
}

// stopStray stops an attempt that is not in the log. If that fails, the next report lists it again.
func (leadership *leadership) stopStray(life *worker, id scheduler.RunID) {
	if _, err := leadership.stopOnce(life, id); err != nil {
		leadership.logger.Warn().Str("event", "strayNotStopped").Stringer("run", id).Str("worker", string(life.name)).Err(err).
			Msg("the stop will be sent again")
	}
}
