package overseer

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// ensureRenewal starts the renewal of a worker's lease if the worker has attempts, known or unknown, if it did not respond
// and may have ends to report, or if it has not responded or sent a complete report yet, without which it gets no work. The
// mutex must be held.
func (leadership *leadership) ensureRenewal(instance *worker) {
	if instance.renewing || !instance.acceptsOrders() || !instance.needsRenewal() {
		return
	}
	instance.renewing = true
	leadership.goroutines.Go(func() { leadership.renew(instance) })
}

// needsRenewal reports whether the worker has a lease to keep or something to report.
func (worker *worker) needsRenewal() bool {
	return len(worker.attempts) > 0 || worker.unknownAttempts > 0 || worker.consecutiveFailures > 0 || !worker.synced ||
		!worker.responded
}

// renew renews the lease of a worker while it has attempts, and records the ends that it reports.
func (leadership *leadership) renew(instance *worker) {
	for first := true; leadership.context.Err() == nil; first = false {
		plan, more := leadership.nextRenewal(instance, first)
		if !more {
			return
		}
		if !leadership.maySend(plan.prepared) {
			leadership.pause(leaseCheckInterval)
			continue
		}
		leadership.renewOnce(instance, &plan)
		if plan.held {
			leadership.pause(minRetryDelay)
		}
	}
}

// renewalPlan is a renewal for a worker. prepared is when the lease was granted.
type renewalPlan struct {
	worker   scheduler.WorkerRef
	order    scheduler.RenewOrder
	prepared time.Duration
	// held is true if the renewal does not extend the lease.
	held bool
}

// nextRenewal returns the next order, or more = false when the worker has nothing left to report. A worker without
// attempts that does not respond, or whose reports are incomplete, is retried once per heartbeat. After it responds again,
// renewal continues until its ends are acknowledged, because the results of attempts that were given up count only until
// their tasks are placed again.
func (leadership *leadership) nextRenewal(instance *worker, first bool) (plan renewalPlan, more bool) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	reported := instance.endsAcknowledged() && instance.renewalAnswered && instance.unknownAttempts == 0
	if !instance.acceptsOrders() || len(instance.attempts) == 0 &&
		(instance.consecutiveFailures > 0 && !first || reported && (instance.synced || !first)) {
		instance.renewing = false
		return renewalPlan{}, false
	}
	now := leadership.now()
	plan = renewalPlan{worker: instance.ref(), prepared: now, order: scheduler.RenewOrder{
		LeaseEnd: leadership.grantLease(instance, now), Token: leadership.term,
		Acknowledged: instance.ackCursor(), Wait: instance.renewWait(len(leadership.instances)),
	}}
	if !leadership.leaseRecorder.Extendable(instance.name) {
		plan.held, plan.order.Wait = true, 0
	}
	instance.renewalDue = now + plan.order.Wait + renewTimeoutMargin
	return plan, true
}

// ackCursor returns the end up to which the next renewal acknowledges. After an unanswered renewal it is 0: a later
// instance with new end numbers may run under the same name, and responses to other orders do not identify the
// instance.
func (worker *worker) ackCursor() uint64 {
	if !worker.renewalAnswered {
		return 0
	}
	return worker.lastRecordedEnd
}

// endsAcknowledged reports whether all recorded ends have been acknowledged to the worker.
func (worker *worker) endsAcknowledged() bool {
	return worker.lastRecordedEnd == worker.lastAcknowledgedEnd
}

// renewWait returns how long the worker may delay its response to a renewal. workers is the number of workers in the
// domain.
func (worker *worker) renewWait(workers int) time.Duration {
	if !worker.synced || worker.consecutiveFailures > 0 {
		return 0
	}
	if worker.unknownAttempts > 0 {
		return stoppingRenewWait
	}
	if len(worker.attempts) == 0 {
		return 0
	}
	wait := maxRenewWait
	for _, attempt := range worker.attempts {
		if attempt.state == attemptStopping || attempt.state == attemptStopped || attempt.state == attemptUnknown {
			return stoppingRenewWait
		}
		if attempt.spec.LatencyTarget > 0 {
			wait = min(maxRenewWait, max(servingRenewWait, time.Duration(workers)*renewWaitPerWorker))
		}
	}
	return wait
}

// stoppingRenewWait is the renewal wait while it is not certain whether an attempt is running.
const stoppingRenewWait = 150 * time.Millisecond

func (leadership *leadership) renewOnce(instance *worker, plan *renewalPlan) {
	ctx, cancel := context.WithTimeout(leadership.context, plan.order.Wait+renewTimeoutMargin)
	defer cancel()
	sent := leadership.now()
	report, err := leadership.overseer.client.Renew(ctx, plan.worker, plan.order)
	if err != nil {
		leadership.renewFailed(instance, err)
		return
	}
	ends, accepted := leadership.handleReport(instance, plan.order, report, sent)
	if !accepted {
		leadership.pause(minRetryDelay)
		return
	}
	if len(ends) == 0 || leadership.recordEnds(instance, ends) {
		leadership.acknowledge(instance, report)
	}
	if report.Result == scheduler.OrderAcceptedUnreadable {
		leadership.pause(minRetryDelay) // The rest may stay unreadable.
	}
}

func (leadership *leadership) renewFailed(instance *worker, err error) {
	failures := leadership.recordFailedRenewal(instance, err)
	if failures == 1 {
		leadership.logger.Warn().Str("event", "workerSilent").Str("worker", string(instance.name)).Err(err).
			Msg("worker does not respond to lease renewal")
	}
	leadership.pause(retryDelay(failures))
}

// recordFailedRenewal returns the number of consecutive failures.
func (leadership *leadership) recordFailedRenewal(instance *worker, err error) int {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	instance.renewalDue = 0
	instance.consecutiveFailures++
	instance.renewalAnswered = false
	leadership.recordFailure(instance, err)
	return instance.consecutiveFailures
}

// expireLeases ends the attempts of workers whose leases have expired: workers that do not respond, workers that have
// sent this leader no heartbeat and are known only from the log, and fenced workers. It also ends the instances of
// workers that have shut down.
func (leadership *leadership) expireLeases() {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	now := leadership.now()
	for _, instance := range leadership.instances {
		if len(instance.attempts) > 0 && now > instance.leaseExpiry {
			leadership.expireInstance(instance)
		}
		leadership.endShutDown(instance)
	}
}

// expireInstance records the expiry of the lease of a worker that does not respond or is fenced. The mutex must be held.
func (leadership *leadership) expireInstance(instance *worker) {
	ends := instance.expireAttempts(leadership.leaseRecorder.Extendable(instance.name))
	if len(ends) == 0 {
		return
	}
	leadership.overseer.metrics.expired.Inc(int64(len(ends)))
	leadership.logger.Warn().Str("event", "leaseExpired").Str("worker", string(instance.name)).
		Uint64("life", uint64(instance.incarnation)).
		Int("attempts", len(ends)).Dur("silent", leadership.now()-instance.lastResponse).
		Msg("lease of an unresponsive worker has expired")
	leadership.goroutines.Go(func() { leadership.recordEnds(instance, ends) })
}

// expireAttempts marks the attempts that ended with the lease and returns their ends. An attempt whose start order has not
// been sent is skipped: it holds no lease, and the expired lease covered earlier attempts. On a worker that is fenced, or whose
// lease must not be extended, such an attempt ends too, because its start order will not be sent.
func (worker *worker) expireAttempts(extendable bool) []jobkeeper.End {
	var ends []jobkeeper.End
	for id, attempt := range worker.attempts {
		if attempt.recordingEnd || attempt.state == attemptStarting && !attempt.startOutstanding && !worker.fenced && extendable {
			continue
		}
		attempt.recordingEnd = true
		ends = append(ends, attempt.end(id, scheduler.EndLeaseExpired))
	}
	return ends
}

// isComplete reports whether a report lists all attempts of a worker that have ended and are not acknowledged. Only then does
// the absence of an attempt mean anything. The others follow in the next reports, once those listed are acknowledged.
func (leadership *leadership) isComplete(report *scheduler.WorkerReport) bool {
	limit := leadership.overseer.maxReportedEnds
	if report.Result == scheduler.OrderAcceptedUnreadable {
		return false
	}
	return limit <= 0 || len(report.Ended) < limit
}

func (leadership *leadership) logIncompleteReport(instance *worker, report *scheduler.WorkerReport) {
	leadership.overseer.metrics.incompleteReports.Inc(1)
	suppressed, allowed := leadership.repeatedWarnings.Allow("reportIncomplete")
	if !allowed {
		return
	}
	leadership.logger.Info().Str("event", "reportIncomplete").Str("worker", string(instance.name)).
		Str("verdict", string(report.Result)).Int("ends", len(report.Ended)).Int("attempts", len(instance.attempts)).
		Bool("synced", instance.synced).Int("suppressed", suppressed).
		Msg("report does not list all attempts; those that it does not list stay as they are")
}

// handleReport compares the attempts that a worker reports with the expected ones. Nothing is concluded from what an
// incomplete report does not list. It returns the ends to be recorded.
func (leadership *leadership) handleReport(
	instance *worker, order scheduler.RenewOrder, report scheduler.WorkerReport, sent time.Duration,
) (ends []jobkeeper.End, accepted bool) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	instance.renewalDue = 0
	if !leadership.checkReport(instance, report) {
		return nil, false
	}
	instance.lastAcknowledgedEnd = max(instance.lastAcknowledgedEnd, order.Acknowledged)
	listed := map[scheduler.RunID]bool{}
	leadership.observeEndedStarts(instance, report.Ended)
	ends = instance.collectEnds(report.Ended, listed)
	leadership.observeRunTimes(instance, ends)
	leadership.recordListed(instance, ends)
	instance.unknownAttempts = 0
	for _, running := range report.Running {
		listed[running.Run] = true
		leadership.updateRunning(instance, running)
	}
	if leadership.isComplete(&report) {
		ends = append(ends, leadership.collectMissing(instance, listed, sent)...)
		instance.synced = true
	} else {
		leadership.logIncompleteReport(instance, &report)
	}
	leadership.clearMarks(instance)
	instance.renewalAnswered = true
	leadership.adjustShares(instance)
	return ends, true
}

// checkReport reports whether a report comes from this instance of the worker and is complete.
func (leadership *leadership) checkReport(instance *worker, report scheduler.WorkerReport) bool {
	now := leadership.now()
	switch {
	case instance.ended:
		return false
	case report.Instance > instance.incarnation:
		leadership.replaceInstance(instance, report.Instance).respondedAt = instance.heartbeat.Address
		return false
	case report.Result == scheduler.OrderIncarnationMismatch:
		leadership.endInstance(instance, "another worker responds at the address")
		return false
	case report.Instance != 0 && report.Instance < instance.incarnation:
		return false
	case report.Result == scheduler.OrderFenced:
		leadership.handleFenced(instance)
		return false
	case report.Result == scheduler.OrderLeaseExpired:
		// The lease has expired but the worker responds: the next renewal grants a new lease.
		leadership.recordReport(instance, report.Clock, now)
		return false
	case report.Result != scheduler.OrderAccepted && report.Result != scheduler.OrderAcceptedUnreadable:
		instance.consecutiveFailures++
		return false
	}
	leadership.recordReport(instance, report.Clock, now)
	return true
}

// recordReport records that the worker has sent a report. After the first one it may get work.
func (leadership *leadership) recordReport(instance *worker, clock, now time.Duration) {
	if !instance.responded {
		leadership.replan()
	}
	leadership.recordResponse(instance, now)
	instance.updateClock(clock, now)
}

// collectEnds returns the ends that have not been recorded yet. The result of an attempt that was given up in the
// meantime still counts unless the task has been placed again.
func (worker *worker) collectEnds(ended []scheduler.AttemptEnd, listed map[scheduler.RunID]bool) []jobkeeper.End {
	var ends []jobkeeper.End
	for _, end := range ended {
		listed[end.Run] = true
		attempt := worker.attempts[end.Run]
		if (attempt == nil || attempt.recordingEnd) && end.Kind != scheduler.EndFinished {
			continue
		}
		if attempt != nil {
			attempt.recordingEnd = true
		}
		ends = append(ends, jobkeeper.End{Run: end.Run, Kind: end.Kind, Checkpoint: end.Checkpoint})
	}
	return ends
}

// updateRunning updates the status of an attempt that the worker is running. An attempt that is not in the log,
// because its lease had expired, is stopped.
func (leadership *leadership) updateRunning(instance *worker, running scheduler.RunningAttempt) {
	known := instance.attempts[running.Run]
	if known == nil {
		instance.unknownAttempts++
		leadership.logger.Warn().Str("event", "unknownAttempt").Stringer("run", running.Run).
			Str("worker", string(instance.name)).
			Msg("worker runs an attempt that is not in the log; stopping it")
		leadership.recordStart(running.Run, nil)
		leadership.goroutines.Go(func() { leadership.stopUnknown(instance, running.Run) })
		return
	}
	known.running, known.reported = running, true
	known.timing.begin(leadership.now())
	leadership.recordStart(running.Run, known)
	if known.state == attemptUnknown || known.state == attemptStarting {
		known.state = attemptRunning
	}
}

// collectMissing handles attempts that a worker reports neither as running nor as ended. If the last order about an
// attempt was answered before the report was requested, the attempt is not running and will not start, so its loss is
// returned. For an attempt of an earlier leader or instance the start order is repeated, because it may never have been sent.
// A suspect is placed again instead, because other attempts may be starting on the worker. Other attempts wait while the
// start of a suspect is recent: it may have been placed before this leadership knew of them.
func (leadership *leadership) collectMissing(
	instance *worker, listed map[scheduler.RunID]bool, sent time.Duration,
) []jobkeeper.End {
	var ends []jobkeeper.End
	for id, attempt := range instance.attempts {
		if listed[id] || attempt.recordingEnd {
			continue
		}
		switch attempt.state {
		case attemptUnknown:
			if attempt.withdrawn || leadership.isSuspectAttempt(id, attempt) {
				leadership.stopAttempt(instance, id, "a worker crashed under the task")
				continue
			}
			if instance.hasRecentSuspect(id, leadership.now()) {
				continue
			}
			attempt.state, attempt.adopted = attemptStarting, false
			leadership.goroutines.Go(func() { leadership.start(instance, id) })
		case attemptRunning, attemptStopped:
			if attempt.settledAt < sent && !attempt.startOutstanding {
				attempt.recordingEnd = true
				ends = append(ends, jobkeeper.End{Run: id, Kind: scheduler.EndLost})
			}
		case attemptStarting, attemptStopping:
		}
	}
	return ends
}

// acknowledge lets the next renewal acknowledge the ends of a report, which have been recorded.
func (leadership *leadership) acknowledge(instance *worker, report scheduler.WorkerReport) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	for _, end := range report.Ended {
		if attempt := instance.attempts[end.Run]; attempt != nil {
			return // Not recorded; the worker reports it again.
		}
		instance.lastRecordedEnd = max(instance.lastRecordedEnd, end.Number)
	}
}
