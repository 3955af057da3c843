// Package speculator decides which running tasks get a copy, a second attempt that runs beside the first one on another
// worker until one of them finishes (speculative execution). It contains only decision logic. It is meant for steps of
// which a few tasks run many times as long as the others, or sit on a worker that is silent, slow or throttled, while
// the job waits for the last of them and the pool has free capacity.
package speculator

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// benefitFactor is how many times as long as a fresh run an attempt must be expected to remain to get a copy. It
	// exceeds 1 because a copy costs a whole run.
	benefitFactor = 1.5
	// minGain is the least time that a copy must be expected to save. Starting a copy takes part of it.
	minGain = 200 * time.Millisecond
	// maxFraction is the maximum number of copies of a queue as a fraction of its running tasks that allow copies, but
	// minBudget copies are allowed even if fewer tasks are running: stragglers remain when the others have finished.
	maxFraction = 0.1
	minBudget   = 8
	// maxPoolLoad is the reserved fraction of a pool from which on no copies are started, so that capacity is left for
	// tasks that arrive.
	maxPoolLoad = 0.8
	// medianQuantile is the quantile at which the remaining time of an attempt and a fresh run are compared.
	medianQuantile = 0.5
	// learningRate is the weight of one copy in the success rate of a queue.
	learningRate = 0.1
	// fullShare is the percentage at which an attempt runs when it is not throttled, minShare the least that is assumed
	// for one that is.
	fullShare = 100
	minShare  = 5
)

// Reason is why a task gets a copy.
type Reason string

// Values of Reason.
const (
	// ReasonLong means that the attempt has run so much longer than other tasks that a fresh run is expected to finish
	// first.
	ReasonLong Reason = "long"
	// ReasonSlowWorker means that tasks take longer on the worker of the attempt than on others.
	ReasonSlowWorker Reason = "slowWorker"
	// ReasonThrottled means that the attempt is throttled.
	ReasonThrottled Reason = "throttled"
	// ReasonSilentWorker means that the worker of the attempt does not respond.
	ReasonSilentWorker Reason = "silentWorker"
)

// Attempt is a running attempt of a task that has no copy.
type Attempt struct {
	Task     scheduler.StepTaskID
	Kind     scheduler.TaskKind
	Estimate time.Duration
	// Elapsed is how long the attempt has been running, converted to full speed.
	Elapsed time.Duration
	// Share is the percentage of its full speed at which the attempt runs.
	Share int
	// Slowness is the factor by which tasks run longer on its worker than on others.
	Slowness float64
	// Silent is true if the worker does not respond. LeaseRemaining is the time until the lease of such a worker
	// expires. Only then would the task be placed again without a copy.
	Silent         bool
	LeaseRemaining time.Duration
}

// QueueLoad is the load of a queue and of its pool.
type QueueLoad struct {
	// Running is the number of attempts of tasks that allow copies. Copies is the number of those that are copies.
	Running int
	Copies  int
	// WaitingTasks is the number of tasks in the pool that wait for CPU to reserve.
	WaitingTasks int
	// PoolLoad is the reserved fraction of the pool.
	PoolLoad float64
}

// Candidate is a task that should get a copy.
type Candidate struct {
	attempt  *Attempt
	position int
	reason   Reason
	gain     time.Duration
}

// Task returns the task.
func (candidate Candidate) Task() scheduler.StepTaskID { return candidate.attempt.Task }

// Position returns the position of the attempt in the argument of Choose.
func (candidate Candidate) Position() int { return candidate.position }

// Queue returns the queue of the task.
func (candidate Candidate) Queue() scheduler.QueueName { return candidate.attempt.Kind.Queue() }

// Reason returns why the task should get a copy.
func (candidate Candidate) Reason() Reason { return candidate.reason }

// Gain returns the time that the copy is expected to save.
func (candidate Candidate) Gain() time.Duration { return candidate.gain }

// Speculator chooses the tasks that get copies. It is not safe for concurrent use.
type Speculator struct {
	predictor scheduler.RunTimePredictor
	// successRates holds the moving average of the fraction of copies that finished first, by queue. It is 1 for a queue
	// without an entry.
	successRates map[scheduler.QueueName]float64
}

// New returns a Speculator that uses the predictions of predictor.
func New(predictor scheduler.RunTimePredictor) *Speculator {
	return &Speculator{predictor: predictor, successRates: map[scheduler.QueueName]float64{}}
}

// Choose returns the tasks that should get a copy, those with the highest gain first. The caller starts at most
// Allowance copies of each queue.
func (speculator *Speculator) Choose(attempts []Attempt) []Candidate {
	var candidates []Candidate
	for position := range attempts {
		attempt := &attempts[position]
		gain, reason := speculator.assess(attempt)
		if gain > 0 {
			candidates = append(candidates, Candidate{attempt: attempt, position: position, reason: reason, gain: gain})
		}
	}
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), compareTasks(a.Task(), b.Task()))
	})
	return candidates
}

// compareTasks orders tasks, so that equal inputs give equal decisions.
func compareTasks(a, b scheduler.StepTaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index))
}

// assess returns the time that a copy is expected to save, or 0 if it is not worthwhile.
func (speculator *Speculator) assess(attempt *Attempt) (time.Duration, Reason) {
	fresh := speculator.predictor.RunTime(attempt.Kind, attempt.Estimate, medianQuantile)
	if fresh <= 0 {
		return 0, "" // Nothing is known about such tasks.
	}
	remaining, reason := speculator.remaining(attempt, fresh)
	gain := remaining - fresh
	if gain < minGain || float64(remaining) < benefitFactor*float64(fresh) {
		return 0, ""
	}
	return gain, reason
}

// remaining returns the expected time until the task finishes without a copy.
func (speculator *Speculator) remaining(attempt *Attempt, fresh time.Duration) (time.Duration, Reason) {
	if attempt.Silent {
		return max(attempt.LeaseRemaining, 0) + fresh, ReasonSilentWorker
	}
	slowness := max(attempt.Slowness, 1)
	share := min(max(attempt.Share, minShare), fullShare)
	elapsed := time.Duration(float64(attempt.Elapsed) / slowness)
	healthy := speculator.predictor.Remaining(attempt.Kind, attempt.Estimate, elapsed, medianQuantile)
	remaining := time.Duration(float64(healthy) * slowness * fullShare / float64(share))
	switch {
	case float64(healthy) >= benefitFactor*float64(fresh):
		return remaining, ReasonLong
	case share < fullShare:
		return remaining, ReasonThrottled
	}
	return remaining, ReasonSlowWorker
}

// Allowance returns how many further copies a queue may have. Each copy that does not finish first lowers it, down to
// one copy at a time.
func (speculator *Speculator) Allowance(queue scheduler.QueueName, load QueueLoad) int {
	if load.WaitingTasks > 0 || load.PoolLoad >= maxPoolLoad || load.Running == 0 {
		return 0
	}
	budget := max(maxFraction*float64(load.Running), minBudget)
	allowed := max(int(speculator.successRate(queue)*budget), 1)
	return max(allowed-load.Copies, 0)
}

func (speculator *Speculator) successRate(queue scheduler.QueueName) float64 {
	if rate, known := speculator.successRates[queue]; known {
		return rate
	}
	return 1
}

// RecordResult records whether a copy finished before the attempt that it was a copy of.
func (speculator *Speculator) RecordResult(queue scheduler.QueueName, won bool) {
	target := 0.0
	if won {
		target = 1
	}
	rate := speculator.successRate(queue)
	speculator.successRates[queue] = rate + learningRate*(target-rate)
}
