package admitter

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// observationGap is the time without an observation after which the state of a pool counts as unknown.
	observationGap = 2 * time.Second
	// minMeasuringTime is how long the drain rate must have been measured before a forecast relies on it. It covers the
	// run time of several tasks.
	minMeasuringTime = 5 * time.Second
	// maxRateAge is the age from which on a drain rate is measured anew.
	maxRateAge = time.Minute
	// overloadEntry and overloadExit are how long a pool must have had too little or enough free capacity before it
	// counts as overloaded or no longer does, so that a short burst is queued and not refused.
	overloadEntry = 2 * time.Second
	overloadExit  = time.Second
	// maxRefusals is how often a job that returns when it was told to is refused before it is admitted regardless.
	maxRefusals = 3
)

// Submission is a job that asks for admission.
type Submission struct {
	Job      scheduler.JobID
	Queue    *scheduler.Queue
	Workflow *scheduler.Workflow
	// Timeout is the total time for which the caller retries, or zero if it is unknown.
	Timeout time.Duration
	// FitsNow reports whether workers would accept the job's first tasks after all waiting tasks have been placed. It is
	// called only before a refusal, and may reserve that capacity. If it is nil, no worker would.
	FitsNow func() bool
}

func (submission *Submission) fitsNow() bool {
	return submission.FitsNow != nil && submission.FitsNow()
}

// BacklogAdmitter refuses jobs whose result would no longer be of use when they finish. It is meant for a pool whose queue
// has become longer than what it can serve in time. Without it a caller waits for a result that comes too late, and
// the job uses capacity that others need. It is not safe for concurrent use.
type BacklogAdmitter struct {
	backlog    backlog
	arrivals   arrivals
	supplies   map[CapacityKind]*supply
	tickets    tickets
	audit      audit
	blind      bool
	observed   bool
	observedAt time.Duration
}

// NewBacklogAdmitter returns a BacklogAdmitter that admits every job until it has measured the drain rate of an overloaded pool.
func NewBacklogAdmitter() *BacklogAdmitter {
	return &BacklogAdmitter{
		supplies: map[CapacityKind]*supply{CapacityReserved: {}, CapacityFill: {}},
		arrivals: newArrivals(), tickets: newTickets(), audit: newAudit(),
	}
}

// Observe records the state of the pool at time now. Calls whose time does not increase are ignored.
func (backlogAdmitter *BacklogAdmitter) Observe(now time.Duration, state PoolState) {
	elapsed := now - backlogAdmitter.observedAt
	if backlogAdmitter.observed && elapsed <= 0 {
		return
	}
	continuous := backlogAdmitter.observed && !backlogAdmitter.blind && !state.Blind && elapsed < observationGap
	backlogAdmitter.observed, backlogAdmitter.observedAt, backlogAdmitter.blind = true, now, state.Blind
	backlogAdmitter.backlog = newBacklog(state.Jobs)
	for kind, supply := range backlogAdmitter.supplies {
		supply.observe(now, elapsed, state.Rooms[kind], backlogAdmitter.backlog.waiting(kind), continuous)
	}
	backlogAdmitter.tickets.expire(now)
	if !continuous {
		backlogAdmitter.audit.dropUnobserved(now)
	}
	if !state.Blind {
		backlogAdmitter.audit.check(now, backlogAdmitter.startsNow)
	}
}

// RecordFinished adds the estimated work of a task that has finished.
func (backlogAdmitter *BacklogAdmitter) RecordFinished(kind CapacityKind, work int64) {
	backlogAdmitter.supplies[kind].finished += work
}

// Audit returns how the past refusals compare with what the queue did afterwards.
func (backlogAdmitter *BacklogAdmitter) Audit() Audit { return backlogAdmitter.audit.summary() }

// ReturnsServed returns the number of jobs that were admitted after a refusal.
func (backlogAdmitter *BacklogAdmitter) ReturnsServed() int { return backlogAdmitter.tickets.served }

// Admit decides whether a job is admitted at time now.
func (backlogAdmitter *BacklogAdmitter) Admit(now time.Duration, submission Submission) Decision {
	if !isForecastable(submission.Workflow) {
		return Admitted()
	}
	demand := newDemand(&submission)
	if !mayBeRefused(&submission) {
		backlogAdmitter.record(now, &demand)
		return Admitted()
	}
	ticket, known := backlogAdmitter.tickets.find(submission.Job, now)
	if known && now < ticket.returnAt {
		// A copy of the request that was refused may arrive late. Admitting it would make that answer false.
		decision := refuse(&submission, Forecast{}, ticket.returnAt-now, ReasonEarlyReturn)
		ticket.returning = decision.retryAfter > 0
		return decision
	}
	forecast := backlogAdmitter.forecast(now, &demand, known)
	mayRefuse := !known || ticket.refusals < maxRefusals
	if mayRefuse && backlogAdmitter.isTooLate(&demand, &forecast) && !submission.fitsNow() {
		retryAfter := backlogAdmitter.tickets.add(now, &demand, forecast.end-demand.useful)
		backlogAdmitter.audit.add(now, &demand, forecast)
		decision := refuse(&submission, forecast, retryAfter, ReasonTooLate)
		if decision.retryAfter == 0 {
			backlogAdmitter.tickets.markNotReturning(submission.Job)
		}
		return decision
	}
	backlogAdmitter.tickets.remove(submission.Job)
	backlogAdmitter.record(now, &demand)
	return Decision{admitted: true, forecast: forecast}
}

// Preview returns the decision on a job that is submitted for the first time, without recording it.
func (backlogAdmitter *BacklogAdmitter) Preview(now time.Duration, submission Submission) Decision {
	if !mayBeRefused(&submission) {
		return Admitted()
	}
	demand := newDemand(&submission)
	forecast := backlogAdmitter.forecast(now, &demand, false)
	if !backlogAdmitter.isTooLate(&demand, &forecast) || submission.fitsNow() {
		return Decision{admitted: true, forecast: forecast}
	}
	retryAfter := returnDelay(demand.job, forecast.end-demand.useful)
	return refuse(&submission, forecast, retryAfter, ReasonTooLate)
}

// isTooLate reports whether a job is forecast to finish when its result is no longer of use.
func (backlogAdmitter *BacklogAdmitter) isTooLate(demand *demand, forecast *Forecast) bool {
	return forecast.certain && forecast.end > backlogAdmitter.audit.refusalLimit(demand.useful)
}

// mayBeRefused reports whether a job may be refused because of a forecast: its queue has an objective and gives way to
// others, and the job starts now and ends by itself.
func mayBeRefused(submission *Submission) bool {
	queue := submission.Queue
	hasObjective := queue.Slowdown > 0 || queue.LatencyTarget > 0
	return queue.Priority > 0 && hasObjective && isForecastable(submission.Workflow)
}

// isForecastable reports whether a job starts now and ends by itself. Others add no work to the backlog at a known time.
func isForecastable(workflow *scheduler.Workflow) bool {
	return workflow.Repeat == nil && LongRunningRequest(workflow) == 0
}

// refuse returns a refusal. A caller that does not wait until the return time gets no time.
func refuse(
	submission *Submission, forecast Forecast, retryAfter time.Duration, reason string,
) Decision {
	switch {
	case submission.Timeout == 0 || retryAfter < submission.Timeout:
		return Decision{reason: reason, retryAfter: roundUp(retryAfter), forecast: forecast}
	case reason == ReasonTooLate:
		reason = ReasonNoReturn
	}
	return Decision{reason: reason, forecast: forecast}
}

// record adds an admitted job to the backlog, so that jobs submitted before the next observation see it.
func (backlogAdmitter *BacklogAdmitter) record(now time.Duration, demand *demand) {
	for kind, part := range demand.parts {
		backlogAdmitter.arrivals.add(now, kind, demand.rank, part.work)
		backlogAdmitter.backlog.add(JobBacklog{
			Kind: kind, Priority: demand.rank.priority, Prospect: packer.ProspectTimely, JobWork: demand.rank.work,
			Work: part.work, Waiting: part.initial,
		})
	}
}

// startsNow reports whether the pool has free capacity for a part of a job of the given rank after all waiting tasks
// that are more urgent.
func (backlogAdmitter *BacklogAdmitter) startsNow(kind CapacityKind, rank rank, initial int64) bool {
	_, waiting := backlogAdmitter.backlog.ahead(kind, rank)
	return backlogAdmitter.supplies[kind].room.Free-waiting >= initial
}

// wait predicts the time until the work ahead of a job of the given rank has started. returns is the work of returning
// jobs that precede it.
func (backlogAdmitter *BacklogAdmitter) wait(
	now time.Duration, kind CapacityKind, rank rank, returns int64,
) (wait time.Duration, ahead int64) {
	supply := backlogAdmitter.supplies[kind]
	ahead, _ = backlogAdmitter.backlog.ahead(kind, rank)
	// Part of the work has started since the observation.
	started := int64(supply.rate() * (now - backlogAdmitter.observedAt).Seconds())
	ahead = max(0, ahead-started) + returns
	arriving := backlogAdmitter.arrivals.rate(now, kind, rank)
	return waitTime(ahead, supply.rate(), arriving, now-supply.overloadedSince), ahead
}

// forecast predicts when a job that is admitted now finishes. returning is true for a job that was refused before.
func (backlogAdmitter *BacklogAdmitter) forecast(now time.Duration, demand *demand, returning bool) Forecast {
	if !backlogAdmitter.observed || backlogAdmitter.blind || now-backlogAdmitter.observedAt >= observationGap {
		return Forecast{}
	}
	longest := Forecast{useful: demand.useful}
	for kind, part := range demand.parts {
		supply := backlogAdmitter.supplies[kind]
		if !supply.isReliable(now) || backlogAdmitter.startsNow(kind, demand.rank, part.initial) {
			continue
		}
		returns := int64(0)
		if !returning {
			returns = backlogAdmitter.tickets.ahead(now, kind, demand)
		}
		service := max(demand.path, workTime(part.work, supply.rate()))
		wait, ahead := backlogAdmitter.wait(now, kind, demand.rank, returns)
		if end := wait + service; end > longest.end {
			longest = Forecast{
				certain: true, kind: kind, ahead: ahead, rate: supply.rate(), free: supply.room.Free, end: end, service: service,
				useful: demand.useful, age: now - supply.measuredAt,
			}
		}
	}
	return longest
}
