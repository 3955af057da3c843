// Package quarantiner tells workers that fail everything from jobs that fail everywhere. A worker is
// suspected for failures of distinct jobs, a job for failures on distinct workers; neither counts as
// evidence against the other once it is suspected itself.
package quarantiner

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("quarantiner")

// WorkerStatus is the state of a worker.
type WorkerStatus string

// Values of WorkerStatus.
const (
	// StatusHealthy means that the worker may take any work.
	StatusHealthy WorkerStatus = "usable"
	// StatusQuarantined means that the worker may not start anything.
	StatusQuarantined WorkerStatus = "quarantined"
	// StatusProbing means that the worker may start work, which decides whether it returns.
	StatusProbing WorkerStatus = "probing"
)

const (
	// defaultEvidence is the number of distinct jobs, or distinct workers, that must have failed.
	// With two, a chance meeting of two broken jobs would already take a worker away.
	defaultEvidence = 3
	// firstQuarantine doubles with every failed probe up to maxQuarantine.
	firstQuarantine = time.Minute
	maxQuarantine   = 30 * time.Minute
	// maxShare bounds the quarantined part of the workers. If more seem to be broken, the cause
	// is likely to lie elsewhere, and an empty fleet would be worse.
	maxShare = 0.25
	// evidenceAge is how long a failure counts.
	evidenceAge = 30 * time.Minute
)

// Outcome is how an attempt went.
type Outcome string

// Values of Outcome.
const (
	// OutcomeSucceeded means that the attempt ended well.
	OutcomeSucceeded Outcome = "succeeded"
	// OutcomeRunning means that the attempt has run for a while. It speaks for the worker, but
	// not for the job, which can still fail.
	OutcomeRunning Outcome = "survived"
	// OutcomeFailed means that the attempt failed.
	OutcomeFailed Outcome = "failed"
)

// Attempt is what is known of an attempt. Ended is the present for one that survived.
type Attempt struct {
	Job     scheduler.JobID
	Worker  scheduler.WorkerName
	Started time.Time
	Ended   time.Time
	Outcome Outcome
}

// Quarantiner is used from one goroutine at a time.
type Quarantiner struct {
	evidence int
	// first is how long the first quarantine of a worker lasts.
	first   time.Duration
	workers map[scheduler.WorkerName]*worker
	jobs    map[scheduler.JobID]*job
}

type worker struct {
	// failed holds the time of the last failure of each job since the last success.
	failed map[scheduler.JobID]time.Time
	first  time.Time
	status WorkerStatus
	until  time.Time
	length time.Duration
}

type job struct {
	failed map[scheduler.WorkerName]time.Time
	worked bool
}

// Option changes a Quarantiner that New builds.
type Option func(*Quarantiner)

// WithFailureThreshold sets how many distinct jobs, or distinct workers, must fail. It is at least 2.
func WithFailureThreshold(count int) Option {
	return func(quarantiner *Quarantiner) { quarantiner.evidence = count }
}

// WithInitialQuarantine sets how long the first quarantine of a worker lasts, a minute by default.
func WithInitialQuarantine(length time.Duration) Option {
	return func(quarantiner *Quarantiner) { quarantiner.first = length }
}

// New returns a Quarantiner without evidence.
func New(options ...Option) (*Quarantiner, error) {
	quarantiner := &Quarantiner{
		evidence: defaultEvidence, first: firstQuarantine,
		workers: map[scheduler.WorkerName]*worker{},
		jobs:    map[scheduler.JobID]*job{},
	}
	for _, option := range options {
		option(quarantiner)
	}
	if quarantiner.evidence < 2 {
		return nil, Error.New("evidence of %d is below 2", quarantiner.evidence)
	}
	return quarantiner, nil
}

// Add makes a worker known. The share of quarantined workers is taken of the known ones.
func (quarantiner *Quarantiner) Add(name scheduler.WorkerName) {
	if quarantiner.workers[name] == nil {
		quarantiner.workers[name] = &worker{failed: map[scheduler.JobID]time.Time{}, status: StatusHealthy}
	}
}

// Remove forgets a worker.
func (quarantiner *Quarantiner) Remove(name scheduler.WorkerName) { delete(quarantiner.workers, name) }

// RemoveJob drops a job that has ended.
func (quarantiner *Quarantiner) RemoveJob(id scheduler.JobID) { delete(quarantiner.jobs, id) }

// Observe takes over an outcome.
func (quarantiner *Quarantiner) Observe(attempt Attempt) {
	quarantiner.Add(attempt.Worker)
	w := quarantiner.workers[attempt.Worker]
	j := quarantiner.jobs[attempt.Job]
	if j == nil {
		j = &job{failed: map[scheduler.WorkerName]time.Time{}}
		quarantiner.jobs[attempt.Job] = j
	}
	if attempt.Outcome != OutcomeFailed {
		quarantiner.succeed(w, j, attempt)
		return
	}
	j.failed[attempt.Worker] = attempt.Ended
	if len(w.failed) == 0 {
		w.first = attempt.Ended
	}
	w.failed[attempt.Job] = attempt.Ended
	switch {
	case w.status == StatusProbing && !quarantiner.blamesJob(attempt.Job, attempt.Worker):
		w.length = min(2*w.length, maxQuarantine)
		w.status, w.until = StatusQuarantined, attempt.Ended.Add(w.length)
	case w.status == StatusHealthy && quarantiner.isSuspect(attempt.Worker, attempt.Ended) && quarantiner.mayQuarantine():
		w.length = quarantiner.first
		w.status, w.until = StatusQuarantined, attempt.Ended.Add(w.length)
	}
}

// succeed clears evidence. An attempt that started before the first failure says nothing about what
// the worker does to new work.
func (quarantiner *Quarantiner) succeed(w *worker, j *job, attempt Attempt) {
	j.worked = j.worked || attempt.Outcome == OutcomeSucceeded
	if len(w.failed) > 0 && attempt.Started.Before(w.first) {
		return
	}
	clear(w.failed)
	if w.status == StatusProbing {
		w.status = StatusHealthy
	}
}

// isSuspect reports whether enough distinct jobs that are not to blame themselves failed.
func (quarantiner *Quarantiner) isSuspect(name scheduler.WorkerName, now time.Time) bool {
	count := 0
	for id, at := range quarantiner.workers[name].failed {
		if now.Sub(at) < evidenceAge && !quarantiner.blamesJob(id, name) {
			count++
		}
	}
	return count >= quarantiner.evidence
}

// blamesJob reports whether the job failed on enough workers other than the given one that work for
// others.
func (quarantiner *Quarantiner) blamesJob(id scheduler.JobID, besides scheduler.WorkerName) bool {
	j := quarantiner.jobs[id]
	if j == nil || j.worked {
		return false
	}
	return quarantiner.healthyFailures(id, besides) >= quarantiner.evidence-1
}

// healthyFailures counts the usable workers on which the job failed and that have run other work since,
// which removed the failure from the worker's evidence.
func (quarantiner *Quarantiner) healthyFailures(id scheduler.JobID, besides scheduler.WorkerName) int {
	count := 0
	for name := range quarantiner.jobs[id].failed {
		w := quarantiner.workers[name]
		if name == besides || w == nil || w.status != StatusHealthy {
			continue
		}
		if _, standing := w.failed[id]; !standing {
			count++
		}
	}
	return count
}

func (quarantiner *Quarantiner) mayQuarantine() bool {
	away := 0
	for _, w := range quarantiner.workers {
		if w.status != StatusHealthy {
			away++
		}
	}
	return float64(away+1) <= max(1, maxShare*float64(len(quarantiner.workers)))
}

// Status returns the state of a worker. A quarantine that has ended becomes a probe.
func (quarantiner *Quarantiner) Status(name scheduler.WorkerName, now time.Time) WorkerStatus {
	w := quarantiner.workers[name]
	if w == nil {
		return StatusHealthy
	}
	if w.status == StatusQuarantined && !now.Before(w.until) {
		w.status, w.first = StatusProbing, now
		clear(w.failed)
	}
	return w.status
}

// JobFault reports whether a job failed on enough workers that work for others, with the reason.
func (quarantiner *Quarantiner) JobFault(id scheduler.JobID) (reason string, hopeless bool) {
	j := quarantiner.jobs[id]
	if j == nil || j.worked {
		return "", false
	}
	count := quarantiner.healthyFailures(id, "")
	if count < quarantiner.evidence {
		return "", false
	}
	return fmt.Sprintf("the job failed on %d workers that run other jobs, and never succeeded", count), true
}
