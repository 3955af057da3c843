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
func (reign *reign) start(life *worker, id scheduler.RunID) {
	began := reign.now()
	for failures := 0; reign.context.Err() == nil; {
		if !reign.mayAct() {
			reign.pause(leaseCheckInterval)
			continue
		}
		plan := reign.planStart(life, id)
		if !plan.wanted {
			reign.abandonStart(life, id)
			return
		}
		answer, err := reign.sendStart(life, plan.order)
		if err != nil {
			failures++
			reign.startUnanswered(life, id, err)
			reign.pause(retryPause(failures))
			continue
		}
		if reign.takeStartAnswer(life, id, answer) {
			reign.overseer.metrics.startTime.RecordDuration(reign.now() - began)
			return
		}
		reign.pause(firstRetry)
	}
}

// planStart builds the start order and notes that the attempt may take effect from now on.
func (reign *reign) planStart(life *worker, id scheduler.RunID) startPlan {
	reign.mutex.Lock()
	defer reign.mutex.Unlock()
	attempt := life.attempts[id]
	if life.over || attempt == nil || attempt.ending || attempt.state != attemptStarting || !life.known {
		return startPlan{}
	}
	if life.beat.Phase != scheduler.WorkerReady {
		return startPlan{}
	}
	plan := startPlan{}
	reign.overseer.keeper.View(func(state *jobkeeper.State) {
		run, found := state.Run(life.name, id)
		if !found || !run.Task().IsWanted() {
			return
		}
		plan.wanted = true
		plan.order = scheduler.StartOrder{
			Run: id, Payload: run.Task().Step().Job().Workflow().Payload, Token: reign.term, Checkpoint: run.Task().Checkpoint(),
		}
	})
	if !plan.wanted {
		return plan
	}
	plan.order.LeaseEnd = life.grantLease(reign.now(), reign.overseer.leaseDuration, reign.overseer.drift)
	plan.order.Approval = attempt.approval
	attempt.exposed = true
	return plan
}

func (reign *reign) sendStart(life *worker, order scheduler.StartOrder) (scheduler.OrderAnswer, error) {
	ctx, cancel := context.WithTimeout(reign.context, orderTimeout)
	defer cancel()
	return reign.overseer.client.Start(ctx, reign.ref(life), order)
}

// startUnanswered notes that a start may take effect later, unless it surely was not sent.
func (reign *reign) startUnanswered(life *worker, id scheduler.RunID, err error) {
	reign.overseer.metrics.repeated.Inc(1)
	reign.mutex.Lock()
	defer reign.mutex.Unlock()
	if attempt := life.attempts[id]; attempt != nil && !scheduler.ErrNotRun.Has(err) {
		attempt.unanswered = true
	}
	if !life.over {
		life.failing++
		reign.watchWorker(life)
	}
}

// noteAnswer notes that a worker has answered an order about an attempt. It returns nil when the attempt is no
// longer of interest. The mutex is held.
func (reign *reign) noteAnswer(life *worker, id scheduler.RunID, answer scheduler.OrderAnswer) *attempt {
	attempt := life.attempts[id]
	if attempt == nil || life.over {
		return nil
	}
	now := reign.now()
	life.noteAnswered(now)
	life.noteClock(answer.Clock, now)
	attempt.settled = now
	return attempt
}

// takeStartAnswer notes the answer to a start. It returns false when the order must be sent again. An
// attempt that was refused and of which an earlier order may still arrive is stopped first.
func (reign *reign) takeStartAnswer(life *worker, id scheduler.RunID, answer scheduler.OrderAnswer) bool {
	reign.mutex.Lock()
	defer reign.mutex.Unlock()
	attempt := reign.noteAnswer(life, id, answer)
	if attempt == nil {
		return true
	}
	switch answer.Verdict {
	case scheduler.OrderAccepted:
		attempt.exposed = false
		if attempt.state == attemptStarting {
			attempt.state = attemptRunning
		}
		reign.throttle(life, id, attempt)
		reign.overseer.metrics.started.Inc(1)
		reign.watchWorker(life)
		return true
	case scheduler.OrderOutdated:
		// The worker has ended the attempt. The next report lists it, or shows that it is not there.
		attempt.state, attempt.exposed = attemptStopped, false
		reign.watchWorker(life)
		return true
	case scheduler.OrderLate:
		return false
	case scheduler.OrderFenced:
		reign.fenced(life)
		return true
	case scheduler.OrderOtherLife:
		reign.endLife(life, "another worker answers at its address")
		return true
	}
	reign.refused(life, id, attempt, answer.Verdict)
	return true
}

// refused handles a start that the worker will not run. The mutex is held.
func (reign *reign) refused(life *worker, id scheduler.RunID, attempt *attempt, verdict scheduler.OrderVerdict) {
	reign.overseer.metrics.refused.Inc(1)
	switch verdict {
	case scheduler.OrderNotApproved:
		reign.dropProof(id.Task, life)
	case scheduler.OrderUnhealthy:
		life.restedUntil = max(life.restedUntil, reign.now()+unhealthyPause)
	default:
		life.restedUntil = max(life.restedUntil, reign.now()+refusalPause)
	}
	reign.logger.Info().Str("event", "startRefused").Stringer("run", id).Str("worker", string(life.name)).
		Str("verdict", string(verdict)).Int("attempts", len(life.attempts)).Msg("the worker has refused an attempt")
	reign.withdraw(life, id, attempt)
}

// withdraw ends an attempt that does not run. Where an unanswered start may still take effect, the attempt
// is stopped first, after which the worker refuses that start. The mutex is held.
func (reign *reign) withdraw(life *worker, id scheduler.RunID, attempt *attempt) {
	if attempt.unanswered {
		attempt.state = attemptStopping
		reign.workers.Go(func() { reign.stop(life, id) })
		return
	}
	attempt.ending = true
	reign.workers.Go(func() {
		reign.record(life, []jobkeeper.End{{Run: id, Kind: scheduler.EndRefused}})
	})
}

// abandonStart ends an attempt that is no longer wanted before its start was answered.
func (reign *reign) abandonStart(life *worker, id scheduler.RunID) {
	reign.mutex.Lock()
	defer reign.mutex.Unlock()
	attempt := life.attempts[id]
	if life.over || attempt == nil || attempt.ending || attempt.state != attemptStarting {
		return
	}
	reign.withdraw(life, id, attempt)
}

// stop sends the stop of an attempt until it is answered. The end shows in a later report.
func (reign *reign) stop(life *worker, id scheduler.RunID) {
	for failures := 0; reign.context.Err() == nil; {
		if !reign.mayAct() {
			reign.pause(leaseCheckInterval)
			continue
		}
		if !reign.isStopping(life, id) {
			return
		}
		answer, err := reign.stopOnce(life, id)
		if err == nil && reign.takeStopAnswer(life, id, answer) {
			return
		}
		failures++
		reign.pause(retryPause(failures))
	}
}

func (reign *reign) isStopping(life *worker, id scheduler.RunID) bool {
	reign.mutex.Lock()
	defer reign.mutex.Unlock()
	attempt := life.attempts[id]
	return !life.over && life.known && attempt != nil && !attempt.ending && attempt.state == attemptStopping
}

func (reign *reign) stopOnce(life *worker, id scheduler.RunID) (scheduler.OrderAnswer, error) {
	ctx, cancel := context.WithTimeout(reign.context, orderTimeout)
	defer cancel()
	return reign.overseer.client.Stop(ctx, reign.ref(life), id, reign.term)
}

// takeStopAnswer notes the answer to a stop. It returns false when the order must be sent again.
func (reign *reign) takeStopAnswer(life *worker, id scheduler.RunID, answer scheduler.OrderAnswer) bool {
	reign.mutex.Lock()
	defer reign.mutex.Unlock()
	attempt := reign.noteAnswer(life, id, answer)
	if attempt == nil {
		return true
	}
	switch answer.Verdict {
	case scheduler.OrderAccepted, scheduler.OrderOutdated:
		attempt.state, attempt.exposed, attempt.unanswered = attemptStopped, false, false
		attempt.settled += reign.overseer.stopTime
		reign.watchWorker(life)
		return true
	case scheduler.OrderFenced:
		reign.fenced(life)
		return true
	case scheduler.OrderOtherLife:
		reign.endLife(life, "another worker answers at its address")
		return true
	}
	return false
}

// stopAttempt begins to stop an attempt, unless that is under way. The mutex is held.
func (reign *reign) stopAttempt(life *worker, id scheduler.RunID, reason string) {
	attempt := life.attempts[id]
	if attempt == nil || attempt.ending || attempt.state == attemptStopping || attempt.state == attemptStopped {
		return
	}
	reign.logger.Debug().Str("event", "attemptStopped").Stringer("run", id).Str("worker", string(life.name)).
		Str("reason", reason).Msg("attempt is stopped")
	attempt.state = attemptStopping
	reign.workers.Go(func() { reign.stop(life, id) })
	life.signal()
}

// stopStray stops an attempt that is not in the log. If that fails, the next report lists it again.
func (reign *reign) stopStray(life *worker, id scheduler.RunID) {
	if _, err := reign.stopOnce(life, id); err != nil {
		reign.logger.Warn().Str("event", "strayNotStopped").Stringer("run", id).Str("worker", string(life.name)).Err(err).
			Msg("the stop will be sent again")
	}
}
