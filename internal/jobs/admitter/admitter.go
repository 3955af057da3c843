// Package admitter implements admission control for jobs. It contains only decision logic. Admitter is meant for pools
// that fill up with long-running tasks before short jobs arrive or workers are lost: a long-running task that takes the
// last free capacity keeps it for a minute, in which dozens of short jobs could have run. BacklogAdmitter refuses jobs
// that would finish too late to be of use.
package admitter

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// averagingTime is the time constant of the moving averages. It covers the low demand between two bursts of
	// requests.
	averagingTime = 10 * time.Second
	// shortReserveFactor is the capacity reserved for short jobs as a multiple of their average demand. It exceeds 1
	// because short jobs arrive in bursts and their tasks do not pack without fragmentation.
	shortReserveFactor = 1.3
	// minReserveFraction is the minimum fraction of a pool that long-running tasks leave free, even if there are no
	// short jobs. Short jobs may arrive later, and both must still fit after a rack of workers is lost.
	minReserveFraction = 0.25
	// minRetryAfter and maxRetryAfter limit the advised retry time. The load hardly changes in less than minRetryAfter,
	// and callers do not wait longer than maxRetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Load is the load of a pool at one time, in millicores.
type Load struct {
	// Capacity is the total capacity of the workers that accept tasks.
	Capacity int64
	// LongRunning is the total request of the running and pending long-running tasks, Short that of all other tasks.
	LongRunning int64
	Short       int64
}

// Decision is the result of admission control for a job.
type Decision struct {
	admitted   bool
	reason     string
	retryAfter time.Duration
	forecast   Forecast
}

// Admitted returns the decision to admit a job.
func Admitted() Decision { return Decision{admitted: true} }

// Refused returns the decision to refuse a job. retryAfter is zero if a retry is of no use.
func Refused(reason string, retryAfter time.Duration) Decision {
	return Decision{reason: reason, retryAfter: retryAfter}
}

// Admitted reports whether the job is admitted.
func (decision Decision) Admitted() bool { return decision.admitted }

// Reason returns the reason for a rejection.
func (decision Decision) Reason() string { return decision.reason }

// RetryAfter returns the time until a rejected job is expected to fit. It is zero if a retry is of no use.
func (decision Decision) RetryAfter() time.Duration { return decision.retryAfter }

// Forecast returns the forecast on which the decision rests. It is zero if there is none.
func (decision Decision) Forecast() Forecast { return decision.forecast }

// Admitter decides on admission to one pool from the observed load. It is not safe for concurrent use.
type Admitter struct {
	load         Load
	observedAt   time.Duration
	averageShort float64
	releaseRate  float64
	observed     bool
}

// Observe records the load at time now. Calls whose time does not increase are ignored.
func (admitter *Admitter) Observe(now time.Duration, load Load) {
	if !admitter.observed {
		admitter.load, admitter.observedAt, admitter.averageShort, admitter.observed = load, now, float64(load.Short), true
		return
	}
	elapsed := now - admitter.observedAt
	if elapsed <= 0 {
		return
	}
	gain := min(1, float64(elapsed)/float64(averagingTime))
	admitter.averageShort += gain * (float64(load.Short) - admitter.averageShort)
	rate := float64(max(0, admitter.load.LongRunning-load.LongRunning)) / elapsed.Seconds()
	admitter.releaseRate += gain * (rate - admitter.releaseRate)
	admitter.load, admitter.observedAt = load, now
}

// ReservedFraction returns the fraction of the pool's capacity that is requested by running and pending tasks. It
// returns 1 before the first observation and for a pool without workers.
func (admitter *Admitter) ReservedFraction() float64 {
	if !admitter.observed || admitter.load.Capacity <= 0 {
		return 1
	}
	return float64(admitter.load.LongRunning+admitter.load.Short) / float64(admitter.load.Capacity)
}

// Admit decides whether a job is admitted. Short jobs and jobs without a reservation are always admitted, because they
// wait in their queue and end on their own.
func (admitter *Admitter) Admit(workflow *scheduler.Workflow) Decision {
	requested := LongRunningRequest(workflow)
	if requested == 0 || !admitter.observed {
		return Admitted()
	}
	capacity := float64(admitter.load.Capacity)
	free := capacity - max(minReserveFraction*capacity, shortReserveFactor*admitter.averageShort) - float64(admitter.load.LongRunning)
	if float64(requested) <= free {
		return Admitted()
	}
	return Decision{
		reason:     "the remaining capacity is reserved for short jobs",
		retryAfter: admitter.retryAfter(float64(requested) - free),
	}
}

// RecordAdmission adds a job that was admitted since the last observation to the load.
func (admitter *Admitter) RecordAdmission(workflow *scheduler.Workflow) {
	admitter.load.LongRunning += LongRunningRequest(workflow)
}

// retryAfter returns the time until the missing capacity is expected to be released.
func (admitter *Admitter) retryAfter(missing float64) time.Duration {
	if admitter.releaseRate <= 0 {
		return maxRetryAfter
	}
	seconds := missing / admitter.releaseRate
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// LongRunningRequest returns the total CPU reservation of the long-running tasks of a workflow.
func LongRunningRequest(workflow *scheduler.Workflow) int64 {
	var sum int64
	for position := range workflow.Steps {
		step := &workflow.Steps[position]
		if step.LongRunning {
			sum += int64(step.Count) * step.Reserved().MilliCores
		}
	}
	return sum
}
