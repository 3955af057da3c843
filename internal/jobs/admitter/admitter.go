// Package admitter decides which jobs a domain takes on. It is pure decision code. The load that it answers is
// a pool that fills with long-running tasks before short jobs come or workers are lost: a long-running task that
// takes the last room keeps it for a minute, in which dozens of short jobs would have been served with it.
package admitter

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// demandTime is the time over which the demand of short work is averaged. It covers the ebb between two
	// waves of requests.
	demandTime = 10 * time.Second
	// reserve is how much more room than the average demand is kept for short work, because it comes in
	// bursts and does not pack without gaps.
	reserve = 1.3
	// standingReserve is the part of a pool that long-running tasks leave free even while there is no short work:
	// it comes later, and the room that is left when a rack of workers is lost must still hold both.
	standingReserve = 0.25
	// The advice to callers is bounded: earlier than minRetry nothing has changed, and later than maxRetry
	// nobody waits.
	minRetry = time.Second
	maxRetry = 30 * time.Second
)

// Load is the load of a pool at one moment, in thousandths of a core.
type Load struct {
	// Capacity is that of the workers that take work.
	Capacity int64
	// LongRunning is what long-running tasks have reserved or wait for, Short the same for other tasks.
	LongRunning int64
	Short       int64
}

// Decision tells whether a job is taken on.
type Decision struct {
	admitted   bool
	reason     string
	retryAfter time.Duration
}

// Admitted reports whether the job is taken on.
func (decision Decision) Admitted() bool { return decision.admitted }

// Reason explains a refusal.
func (decision Decision) Reason() string { return decision.reason }

// RetryAfter returns when room for a refused job is expected, from minRetry to maxRetry.
func (decision Decision) RetryAfter() time.Duration { return decision.retryAfter }

// Admitter watches the load of one pool. It is not safe for concurrent use.
type Admitter struct {
	load   Load
	seen   time.Duration
	short  float64
	freed  float64
	warmed bool
}

// Observe takes the load at a time, which rises from call to call.
func (admitter *Admitter) Observe(now time.Duration, load Load) {
	if !admitter.warmed {
		admitter.load, admitter.seen, admitter.short, admitter.warmed = load, now, float64(load.Short), true
		return
	}
	elapsed := now - admitter.seen
	if elapsed <= 0 {
		return
	}
	gain := min(1, float64(elapsed)/float64(demandTime))
	admitter.short += gain * (float64(load.Short) - admitter.short)
	released := float64(max(0, admitter.load.LongRunning-load.LongRunning)) / elapsed.Seconds()
	admitter.freed += gain * (released - admitter.freed)
	admitter.load, admitter.seen = load, now
}

// ReservedFraction returns the reserved part of the pool, 1 before it was observed or without workers. What waits
// counts as reserved.
func (admitter *Admitter) ReservedFraction() float64 {
	if !admitter.warmed || admitter.load.Capacity <= 0 {
		return 1
	}
	return float64(admitter.load.LongRunning+admitter.load.Short) / float64(admitter.load.Capacity)
}

// Admit decides about a job. Short jobs and those without a reservation are always admitted: they wait in
// their queue and end by themselves.
func (admitter *Admitter) Admit(workflow *scheduler.Workflow) Decision {
	asked := longRunning(workflow)
	if asked == 0 || !admitter.warmed {
		return Decision{admitted: true}
	}
	capacity := float64(admitter.load.Capacity)
	room := capacity - max(standingReserve*capacity, reserve*admitter.short) - float64(admitter.load.LongRunning)
	if float64(asked) <= room {
		return Decision{admitted: true}
	}
	return Decision{
		reason:     "the room that is left is needed for short jobs",
		retryAfter: admitter.retryAfter(float64(asked) - room),
	}
}

// RecordAdmission notes that a job was taken on since the load was observed.
func (admitter *Admitter) RecordAdmission(workflow *scheduler.Workflow) {
	admitter.load.LongRunning += longRunning(workflow)
}

// retryAfter returns when so much room is expected to be free.
func (admitter *Admitter) retryAfter(missing float64) time.Duration {
	if admitter.freed <= 0 {
		return maxRetry
	}
	seconds := missing / admitter.freed
	return min(max(time.Duration(seconds*float64(time.Second)), minRetry), maxRetry)
}

// longRunning returns what the long-running tasks of a workflow reserve.
func longRunning(workflow *scheduler.Workflow) int64 {
	var sum int64
	for position := range workflow.Steps {
		step := &workflow.Steps[position]
		if step.LongRunning {
			sum += int64(step.Count) * step.Reserved().MilliCores
		}
	}
	return sum
}
