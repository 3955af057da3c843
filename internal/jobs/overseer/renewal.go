package overseer

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// watchWorker starts the renewal of a worker if it has attempts, or if it has not answered and may have
// ends to report. The mutex is held.
func (leadership *leadership) watchWorker(life *worker) {
	if life.renewing || life.over || !life.known || len(life.attempts) == 0 && life.failing == 0 {
		return
	}
	life.renewing = true
	leadership.workers.Go(func() { leadership.renew(life) })
}

// renew keeps the lease of a worker while it has attempts, and records the ends that it reports.
func (leadership *leadership) renew(life *worker) {
	for first := true; leadership.context.Err() == nil; first = false {
		prepared := leadership.now()
		order, more := leadership.nextRenewal(life, first)
		if !more {
			return
		}
		if !leadership.maySend(prepared) {
			leadership.pause(leaseCheckInterval)
			continue
		}
		leadership.renewOnce(life, order)
	}
}

// nextRenewal returns the next order, or ends the renewal when the worker has nothing left to report. A
// worker without attempts that does not answer is tried once for each of its beats. One that answers again is
// asked until it has listed what it holds: results of attempts that were given up count only until their tasks
// are placed again.
func (leadership *leadership) nextRenewal(life *worker, first bool) (order scheduler.RenewOrder, more bool) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	if life.over || len(life.attempts) == 0 && (life.failing > 0 && !first || life.reported() && life.listed) {
		life.renewing = false
		return scheduler.RenewOrder{}, false
	}
	now := leadership.now()
	order = scheduler.RenewOrder{
		LeaseEnd: life.grantLease(now, leadership.overseer.leaseDuration, leadership.overseer.drift), Token: leadership.term,
		Acknowledged: life.cursor(), Wait: life.renewWait(len(leadership.lives)),
	}
	return order, true
}

// cursor returns which ends the next renewal acknowledges. A worker that has not answered the last one may
// have begun a later life under its name, whose ends are numbered anew, so nothing is acknowledged to it. An
// answer to another order does not tell the life.
func (worker *worker) cursor() uint64 {
	if !worker.listed {
		return 0
	}
	return worker.acknowledged
}

// reported reports whether the last recorded ends have been acknowledged to the worker.
func (worker *worker) reported() bool { return worker.acknowledged == worker.confirmed }

// renewWait returns for how long the worker, one of a number, may hold its answer back.
func (worker *worker) renewWait(workers int) time.Duration {
	if !worker.synced || worker.failing > 0 || len(worker.attempts) == 0 {
		return 0
	}
	wait := maxWait
	for _, attempt := range worker.attempts {
		if attempt.state == attemptStopping || attempt.state == attemptStopped || attempt.state == attemptUnknown {
			return stopLook
		}
		if attempt.spec.LatencyTarget > 0 {
			wait = min(maxWait, max(watchWait, time.Duration(workers)*lookCost))
		}
	}
	return wait
}

// stopLook is how soon the worker is looked at again while the fate of an attempt is open.
const stopLook = 150 * time.Millisecond

func (leadership *leadership) renewOnce(life *worker, order scheduler.RenewOrder) {
	ctx, cancel := context.WithTimeout(leadership.context, order.Wait+renewSlack)
	defer cancel()
	sent := leadership.now()
	report, err := leadership.overseer.client.Renew(ctx, leadership.ref(life), order)
	if err != nil {
		leadership.renewFailed(life, err)
		return
	}
	ends, accepted := leadership.takeReport(life, order, report, sent)
	if !accepted {
		leadership.pause(firstRetry)
		return
	}
	if len(ends) == 0 || leadership.record(life, ends) {
		leadership.acknowledge(life, report)
	}
}

func (leadership *leadership) renewFailed(life *worker, err error) {
	leadership.mutex.Lock()
	life.failing++
	life.listed = false
	failures := life.failing
	leadership.mutex.Unlock()
	if failures == 1 {
		leadership.logger.Warn().Str("event", "workerSilent").Str("worker", string(life.name)).Err(err).Msg("no answer from the worker")
	}
	leadership.pause(retryPause(failures))
}

// expireSilent ends the attempts of workers whose leases have run out: of those that do not answer, and of
// those that this leader has only read of in the log and never heard.
func (leadership *leadership) expireSilent() {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	now := leadership.now()
	for _, life := range leadership.lives {
		if len(life.attempts) > 0 && now > life.leaseUntil {
			leadership.expire(life)
		}
	}
}

// expire records that the lease of a worker that does not answer has run out. The mutex is held.
func (leadership *leadership) expire(life *worker) {
	ends := life.expiredAttempts()
	if len(ends) == 0 {
		return
	}
	leadership.overseer.metrics.expired.Inc(int64(len(ends)))
	leadership.logger.Warn().Str("event", "leaseExpired").Str("worker", string(life.name)).Uint64("life", uint64(life.life)).
		Int("attempts", len(ends)).Dur("silent", leadership.now()-life.answered).Msg("the lease of a silent worker has run out")
	leadership.workers.Go(func() { leadership.record(life, ends) })
}

// expiredAttempts marks the attempts that have ended with the lease and returns their ends. An attempt whose start
// was not sent yet holds no lease: the one that is over is that of earlier attempts.
func (worker *worker) expiredAttempts() []jobkeeper.End {
	var ends []jobkeeper.End
	for id, attempt := range worker.attempts {
		if attempt.ending || attempt.state == attemptStarting && !attempt.exposed {
			continue
		}
		attempt.ending = true
		ends = append(ends, attempt.end(id, scheduler.EndLeaseExpired))
	}
	return ends
}

// takeReport compares what a worker runs with what it should run. It returns the ends to be recorded.
func (leadership *leadership) takeReport(life *worker, order scheduler.RenewOrder, report scheduler.WorkerReport, sent time.Duration) (ends []jobkeeper.End, accepted bool) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	if !leadership.acceptReport(life, report) {
		return nil, false
	}
	life.confirmed = max(life.confirmed, order.Acknowledged)
	listed := map[scheduler.RunID]bool{}
	ends = life.listEnds(report.Ended, listed)
	for _, running := range report.Running {
		listed[running.Run] = true
		leadership.noteRunning(life, running)
	}
	ends = append(ends, leadership.missing(life, listed, sent)...)
	life.synced, life.listed = true, true
	leadership.control(life)
	return ends, true
}

// acceptReport reports whether a report comes from this life of the worker and is answered in full.
func (leadership *leadership) acceptReport(life *worker, report scheduler.WorkerReport) bool {
	now := leadership.now()
	switch {
	case life.over:
		return false
	case report.Instance > life.life:
		leadership.succeed(life, report.Instance)
		return false
	case report.Result == scheduler.OrderIncarnationMismatch:
		leadership.endLife(life, "another worker answers at its address")
		return false
	case report.Instance != 0 && report.Instance < life.life:
		return false
	case report.Result == scheduler.OrderFenced:
		leadership.fenced(life)
		return false
	case report.Result == scheduler.OrderLeaseExpired:
		// The lease has ended and the worker answers: the next renewal grants a new one.
		life.noteAnswered(now)
		life.noteClock(report.Clock, now)
		return false
	case report.Result != scheduler.OrderAccepted:
		life.failing++
		return false
	}
	life.noteAnswered(now)
	life.noteClock(report.Clock, now)
	return true
}

// fenced ends the term: another leader has sent orders to a worker. The mutex is held.
func (leadership *leadership) fenced(life *worker) {
	if !leadership.deposed.Swap(true) {
		leadership.logger.Warn().Str("event", "tokenOutdated").Str("worker", string(life.name)).
			Msg("a worker has seen a higher fencing token")
	}
}

// listEnds returns the ends that are not recorded yet. A result counts also when its attempt was given up
// meanwhile, unless the task has been placed again.
func (worker *worker) listEnds(ended []scheduler.AttemptEnd, listed map[scheduler.RunID]bool) []jobkeeper.End {
	var ends []jobkeeper.End
	for _, end := range ended {
		listed[end.Run] = true
		attempt := worker.attempts[end.Run]
		if (attempt == nil || attempt.ending) && end.Kind != scheduler.EndFinished {
			continue
		}
		if attempt != nil {
			attempt.ending = true
		}
		ends = append(ends, jobkeeper.End{Run: end.Run, Kind: end.Kind, Checkpoint: end.Checkpoint})
	}
	return ends
}

// noteRunning notes an attempt that the worker runs. One that is not in the log, because its lease had
// run out, is stopped.
func (leadership *leadership) noteRunning(life *worker, running scheduler.RunningAttempt) {
	known := life.attempts[running.Run]
	if known == nil {
		leadership.logger.Warn().Str("event", "unknownAttempt").Stringer("run", running.Run).Str("worker", string(life.name)).
			Msg("the worker runs an attempt that is not in the log; it will be stopped")
		leadership.workers.Go(func() { leadership.stopStray(life, running.Run) })
		return
	}
	known.running, known.seen = running, true
	if known.state == attemptUnknown || known.state == attemptStarting {
		known.state = attemptRunning
	}
}

// missing looks at attempts that a worker lists neither as running nor as ended. One whose last order was
// answered before the worker was asked does not run and will not start. The start of an attempt of an
// earlier leader is repeated, because the order may never have been sent.
func (leadership *leadership) missing(life *worker, listed map[scheduler.RunID]bool, sent time.Duration) []jobkeeper.End {
	var ends []jobkeeper.End
	for id, attempt := range life.attempts {
		if listed[id] || attempt.ending {
			continue
		}
		switch attempt.state {
		case attemptUnknown:
			attempt.state = attemptStarting
			leadership.workers.Go(func() { leadership.start(life, id) })
		case attemptRunning, attemptStopped:
			if attempt.settled < sent && !attempt.exposed {
				attempt.ending = true
				ends = append(ends, jobkeeper.End{Run: id, Kind: scheduler.EndLost})
			}
		case attemptStarting, attemptStopping:
		}
	}
	return ends
}

// acknowledge lets the next renewal acknowledge the ends of a report, which are recorded now.
func (leadership *leadership) acknowledge(life *worker, report scheduler.WorkerReport) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	for _, end := range report.Ended {
		if attempt := life.attempts[end.Run]; attempt != nil {
			return // Not recorded: the worker reports it again.
		}
		life.acknowledged = max(life.acknowledged, end.Number)
	}
}
