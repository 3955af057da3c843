// Package quarantiner distinguishes faulty workers, on which all jobs fail, from faulty jobs, which fail on all
// workers. Failures of distinct jobs indicate a faulty worker, and failures on distinct workers a faulty job. A failure
// on a worker that is suspected to be faulty does not count against the job, and vice versa.
package quarantiner

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("quarantiner")

// WorkerStatus is the quarantine status of a worker.
type WorkerStatus string

// Values of WorkerStatus.
const (
	// StatusHealthy means that tasks may be placed on the worker without restriction.
	StatusHealthy WorkerStatus = "usable"
	// StatusQuarantined means that no task may start on the worker.
	StatusQuarantined WorkerStatus = "quarantined"
	// StatusProbing means that tasks may start on the worker and decide whether it becomes healthy again.
	StatusProbing WorkerStatus = "probing"
)

const (
	// defaultFailureThreshold is the number of distinct jobs that must have failed on a worker, or of distinct
	// workers on which a job must have failed. With a threshold of two, two faulty jobs that happen to run on the
	// same worker would already quarantine it.
	defaultFailureThreshold = 3
	// defaultInitialQuarantine is the duration of a first quarantine. It doubles with every failed probe, up to
	// maxQuarantine.
	defaultInitialQuarantine = time.Minute
	maxQuarantine            = 30 * time.Minute
	// maxQuarantinedFraction limits the fraction of workers that are not healthy. If more workers seem to be
	// faulty, the cause is probably outside of them, and a fleet without workers would be worse.
	maxQuarantinedFraction = 0.25
	// failureExpiry is how long a failure counts against a worker.
	failureExpiry = 30 * time.Minute
)

// Outcome is the outcome of an attempt.
type Outcome string

// Values of Outcome.
const (
	// OutcomeSucceeded means that the attempt finished successfully.
	OutcomeSucceeded Outcome = "succeeded"
	// OutcomeRunning means that the attempt has been running for some time. It counts as a success for the worker,
	// but not for the job, which can still fail.
	OutcomeRunning Outcome = "survived"
	// OutcomeFailed means that the attempt failed.
	OutcomeFailed Outcome = "failed"
)

// Attempt is an observed attempt. Ended is the time of observation if the attempt is still running.
type Attempt struct {
	Job     scheduler.JobID
	Worker  scheduler.WorkerName
	Started time.Time
	Ended   time.Time
	Outcome Outcome
}

// Quarantiner tracks failures and the status of workers. It is not safe for concurrent use.
type Quarantiner struct {
	threshold int
	// initialDuration is the duration of the first quarantine of a worker.
	initialDuration time.Duration
	workers         map[scheduler.WorkerName]*worker
	jobs            map[scheduler.JobID]*job
}

type worker struct {
	// failures holds the time of the last failure of each job since the last success.
	failures map[scheduler.JobID]time.Time
	// failuresSince is when the first of the failures happened or the probe began. A success of an attempt that
	// started earlier does not clear the failures.
	failuresSince time.Time
	status        WorkerStatus
	until         time.Time
	duration      time.Duration
}

type job struct {
	failures  map[scheduler.WorkerName]time.Time
	succeeded bool
}

// Option configures a Quarantiner.
type Option func(*Quarantiner)

// WithFailureThreshold sets how many distinct jobs must fail on a worker, and on how many distinct workers a job must
// fail. The minimum is 2.
func WithFailureThreshold(count int) Option {
	return func(quarantiner *Quarantiner) { quarantiner.threshold = count }
}

// WithInitialQuarantine sets the duration of the first quarantine of a worker. The default is one minute.
func WithInitialQuarantine(duration time.Duration) Option {
	return func(quarantiner *Quarantiner) { quarantiner.initialDuration = duration }
}

// New returns a Quarantiner without workers, or an error if an option is out of range.
func New(options ...Option) (*Quarantiner, error) {
	quarantiner := &Quarantiner{
		threshold: defaultFailureThreshold, initialDuration: defaultInitialQuarantine,
		workers: map[scheduler.WorkerName]*worker{},
		jobs:    map[scheduler.JobID]*job{},
	}
	for _, option := range options {
		option(quarantiner)
	}
	if quarantiner.threshold < 2 {
		return nil, Error.New("failure threshold %d is below 2", quarantiner.threshold)
	}
	return quarantiner, nil
}

// Add adds a worker. The maximum fraction of quarantined workers refers to the added ones.
func (quarantiner *Quarantiner) Add(name scheduler.WorkerName) {
	if quarantiner.workers[name] == nil {
		quarantiner.workers[name] = &worker{failures: map[scheduler.JobID]time.Time{}, status: StatusHealthy}
	}
}

// Remove removes a worker with its failures and its status.
func (quarantiner *Quarantiner) Remove(name scheduler.WorkerName) { delete(quarantiner.workers, name) }

// RemoveJob removes a job that has ended.
func (quarantiner *Quarantiner) RemoveJob(id scheduler.JobID) { delete(quarantiner.jobs, id) }

// Observe records the outcome of an attempt and updates the status of its worker.
func (quarantiner *Quarantiner) Observe(attempt Attempt) {
	quarantiner.Add(attempt.Worker)
	w := quarantiner.workers[attempt.Worker]
	j := quarantiner.jobs[attempt.Job]
	if j == nil {
		j = &job{failures: map[scheduler.WorkerName]time.Time{}}
		quarantiner.jobs[attempt.Job] = j
	}
	if attempt.Outcome != OutcomeFailed {
		quarantiner.recordSuccess(w, j, attempt)
		return
	}
	j.failures[attempt.Worker] = attempt.Ended
	if len(w.failures) == 0 {
		w.failuresSince = attempt.Ended
	}
	w.failures[attempt.Job] = attempt.Ended
	switch {
	case w.status == StatusProbing && !quarantiner.isJobAtFault(attempt.Job, attempt.Worker):
		w.duration = min(2*w.duration, maxQuarantine)
		w.status, w.until = StatusQuarantined, attempt.Ended.Add(w.duration)
	case w.status == StatusHealthy && quarantiner.isSuspect(attempt.Worker, attempt.Ended) && quarantiner.mayQuarantine():
		w.duration = quarantiner.initialDuration
		w.status, w.until = StatusQuarantined, attempt.Ended.Add(w.duration)
	}
}

// recordSuccess clears the failures of the worker and ends its probe, unless the attempt started before the first
// failure: the success of such an attempt does not show that new attempts succeed on the worker.
func (quarantiner *Quarantiner) recordSuccess(w *worker, j *job, attempt Attempt) {
	j.succeeded = j.succeeded || attempt.Outcome == OutcomeSucceeded
	if len(w.failures) > 0 && attempt.Started.Before(w.failuresSince) {
		return
	}
	clear(w.failures)
	if w.status == StatusProbing {
		w.status = StatusHealthy
	}
}

// isSuspect reports whether enough distinct jobs that are not at fault themselves have failed on the worker.
func (quarantiner *Quarantiner) isSuspect(name scheduler.WorkerName, now time.Time) bool {
	count := 0
	for id, at := range quarantiner.workers[name].failures {
		if now.Sub(at) < failureExpiry && !quarantiner.isJobAtFault(id, name) {
			count++
		}
	}
	return count >= quarantiner.threshold
}

// isJobAtFault reports whether the job has never succeeded and has failed on enough other workers that run other jobs.
func (quarantiner *Quarantiner) isJobAtFault(id scheduler.JobID, except scheduler.WorkerName) bool {
	j := quarantiner.jobs[id]
	if j == nil || j.succeeded {
		return false
	}
	return quarantiner.countHealthyWorkers(id, except) >= quarantiner.threshold-1
}

// countHealthyWorkers returns the number of healthy workers on which the job has failed and other attempts have
// succeeded since, which cleared the failure of the job from the worker.
func (quarantiner *Quarantiner) countHealthyWorkers(id scheduler.JobID, except scheduler.WorkerName) int {
	count := 0
	for name := range quarantiner.jobs[id].failures {
		w := quarantiner.workers[name]
		if name == except || w == nil || w.status != StatusHealthy {
			continue
		}
		if _, remains := w.failures[id]; !remains {
			count++
		}
	}
	return count
}

// mayQuarantine reports whether one more quarantined worker stays within maxQuarantinedFraction. A single
// one is always allowed.
func (quarantiner *Quarantiner) mayQuarantine() bool {
	unhealthy := 0
	for _, w := range quarantiner.workers {
		if w.status != StatusHealthy {
			unhealthy++
		}
	}
	return float64(unhealthy+1) <= max(1, maxQuarantinedFraction*float64(len(quarantiner.workers)))
}

// Status returns the status of a worker. A worker whose quarantine has expired changes to StatusProbing.
func (quarantiner *Quarantiner) Status(name scheduler.WorkerName, now time.Time) WorkerStatus {
	w := quarantiner.workers[name]
	if w == nil {
		return StatusHealthy
	}
	if w.status == StatusQuarantined && !now.Before(w.until) {
		w.status, w.failuresSince = StatusProbing, now
		clear(w.failures)
	}
	return w.status
}

// QuarantinedUntil returns when the quarantine of a worker ends. ok is false if the worker is not quarantined.
func (quarantiner *Quarantiner) QuarantinedUntil(name scheduler.WorkerName) (until time.Time, ok bool) {
	w := quarantiner.workers[name]
	if w == nil || w.status != StatusQuarantined {
		return time.Time{}, false
	}
	return w.until, true
}

// JobFault reports whether a job is faulty, because it has never succeeded and has failed on enough workers that run
// other jobs.
func (quarantiner *Quarantiner) JobFault(id scheduler.JobID) (reason string, faulty bool) {
	j := quarantiner.jobs[id]
	if j == nil || j.succeeded {
		return "", false
	}
	count := quarantiner.countHealthyWorkers(id, "")
	if count < quarantiner.threshold {
		return "", false
	}
	return fmt.Sprintf("the job failed on %d workers that run other jobs, and never succeeded", count), true
}
