// Package reserver reserves workers in time for large tasks. It answers a load of many small tasks beside a few large
// ones: each small task that ends would be replaced by another, and no worker would collect enough free capacity for a
// large one. A reservation names the worker on which a large task is expected to fit first, judged by the predicted ends
// of the tasks there. Until then, small tasks may run on the worker if they end before (backfilling).
//
// The package contains only decision logic: it reads no clock and starts no goroutine, and equal inputs give equal
// decisions.
package reserver

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// defaultMaxIdle is the default of WithMaxIdle.
	defaultMaxIdle = 20 * time.Second
	// defaultMaxFraction is the default of WithMaxFraction.
	defaultMaxFraction = 0.2
	// defaultMaxSteps is the default of WithMaxSteps.
	defaultMaxSteps = 8
	// minWait is how long a step must have waited before it gets a reservation. Most steps start sooner without one.
	minWait = 250 * time.Millisecond
	// agingTime is how long a step waits before it comes ahead of all steps that have waited less, so that a stream of
	// more urgent steps cannot keep it from a reservation for ever.
	agingTime = 10 * time.Second
	// retryInterval is how long a step for which no worker could be reserved is not tried again.
	retryInterval = time.Second
	// interruptionTime is for how long the idle time of a broken reservation counts. It must exceed retryInterval, so that
	// a reservation that is rebuilt after a failed try continues it.
	interruptionTime = 2 * retryInterval
	// maxSlip is by how much the predicted start of a reservation may become later before the workers are chosen again.
	maxSlip = time.Second
	// largeFactor is how many times larger than the mean running task a task must be to get a reservation. If tasks are
	// of similar size, the end of any of them leaves enough capacity.
	largeFactor = 2
	// newStepsPerDecision limits the steps that are tried in one decision and thereby its cost, because each of them
	// takes a look at all workers.
	newStepsPerDecision = 2
	// maxTasksPerStep limits the tasks of a step, other than a gang, that have reservations at the same time.
	maxTasksPerStep = 16
	// minCandidates is the number of workers whose running tasks are considered for a step, at least.
	minCandidates = 256
	// maxGangTasks is the number of tasks above which a gang gets no reservation.
	maxGangTasks = 512
	// maxSlots limits the slots that are collected for a step on all workers together. It bounds the time and the memory
	// of one decision.
	maxSlots = 16384
)

// Reserver keeps the reservations of a pool. It is not safe for concurrent use.
type Reserver struct {
	maxIdle     time.Duration
	maxFraction float64
	maxSteps    int

	// reservations holds the reservations in the order in which they were made.
	reservations []*Reservation
	// plannedAt is when Plan was last called.
	plannedAt time.Duration
	// interrupted holds for how long the workers whose reservations were broken had been idle. A reservation that is made
	// on such a worker within interruptionTime continues the earlier one, so that rebuilding does not extend it.
	interrupted map[scheduler.WorkerName]interruption
	// blockedUntil holds the workers that must not be reserved again yet, because a reservation has expired there.
	blockedUntil map[scheduler.WorkerName]time.Duration
	// retryAt holds the steps for which no worker could be reserved or whose reservations have expired, and when they are
	// tried again.
	retryAt map[packer.StepID]time.Duration
	// records holds the records of steps that have or had reservations.
	records map[packer.StepID]*stepRecord
}

// interruption is the idle time of a reservation that was broken, and until when it counts.
type interruption struct {
	idle, until time.Duration
}

// Option configures a Reserver.
type Option func(reserver *Reserver)

// WithMaxIdle sets the maximum time for which a reservation may hold capacity idle, 20 s by default. While only a part of
// the reserved capacity is idle, the time counts in proportion. It is counted for each worker and for each step. When it is
// reached, the worker is not reserved again for the same time, and nor is any worker for the step, for which the time
// doubles with each further expiry. Tasks that are expected to start later get no reservation.
func WithMaxIdle(maxIdle time.Duration) Option {
	return func(reserver *Reserver) { reserver.maxIdle = maxIdle }
}

// WithMaxFraction sets the maximum fraction of the workers that are reserved at the same time, 0.2 by default. The
// number of workers is rounded down.
func WithMaxFraction(maxFraction float64) Option {
	return func(reserver *Reserver) { reserver.maxFraction = maxFraction }
}

// WithMaxSteps sets the maximum number of steps with reservations, 8 by default.
func WithMaxSteps(maxSteps int) Option {
	return func(reserver *Reserver) { reserver.maxSteps = maxSteps }
}

// New returns a Reserver without reservations.
func New(options ...Option) *Reserver {
	reserver := &Reserver{
		maxIdle: defaultMaxIdle, maxFraction: defaultMaxFraction, maxSteps: defaultMaxSteps,
		interrupted:  map[scheduler.WorkerName]interruption{},
		blockedUntil: map[scheduler.WorkerName]time.Duration{}, retryAt: map[packer.StepID]time.Duration{},
		records: map[packer.StepID]*stepRecord{},
	}
	for _, option := range options {
		option(reserver)
	}
	return reserver
}

// Group is a group of waiting tasks.
type Group struct {
	*packer.Group
	// Since is when the step began to wait.
	Since time.Duration
	// Prospect is the predicted outcome of the job.
	Prospect packer.Prospect
}

// age returns for how long the group has waited if that brings it ahead of more urgent groups, or zero otherwise. Jobs
// that will finish too late to be of use stay in the order of urgency. If they came first, those that can still be in
// time would wait behind them until they are too late as well.
func (group *Group) age(now time.Duration) time.Duration {
	if now-group.Since < agingTime || group.Prospect == packer.ProspectLost {
		return 0
	}
	return now - group.Since
}

// Release is capacity that a running task is expected to release.
type Release struct {
	// After is the time from now until the expected end of the task.
	After  time.Duration
	Amount scheduler.Resources
}

// Pool is the state of a pool at the time of a decision.
type Pool struct {
	Now     time.Duration
	Workers []*packer.Worker
	// Groups holds the waiting groups in descending order of urgency.
	Groups []Group
	// MeanRequest returns the mean amount that the running tasks reserve, without long-running ones. It is called at most
	// once in a decision, and only if a step has waited for long enough.
	MeanRequest func() scheduler.Resources
	// Releases returns what the running tasks of a worker are expected to release, in any order. It contains no
	// long-running tasks.
	Releases func(worker scheduler.WorkerName) []Release
}

// Plan checks the reservations against the state of the pool, makes new ones and sets the holds of the workers. It
// returns what has changed.
func (reserver *Reserver) Plan(pool *Pool) []Event {
	elapsed := pool.Now - reserver.plannedAt
	reserver.plannedAt = pool.Now
	reserver.pruneRecords(pool.Groups)
	large := reserver.largeGroups(pool)
	if len(large) == 0 && len(reserver.reservations) == 0 {
		return nil
	}
	reserver.prune(pool.Now)
	events := reserver.check(pool, elapsed)
	events = append(events, reserver.reserveNew(pool, large)...)
	reserver.SetHolds(pool.Now, pool.Workers)
	return events
}

// Observe records the assignments of a decision. It returns an event for each task that was assigned to a worker that is
// reserved for it.
func (reserver *Reserver) Observe(now time.Duration, assignments []packer.Assignment) []Event {
	if len(reserver.reservations) == 0 {
		return nil
	}
	byWorker := reserver.byWorker()
	var events []Event
	for _, assignment := range assignments {
		reservation := byWorker[assignment.Worker]
		if reservation == nil || reservation.tasks == 0 || reservation.step != assignment.Step() {
			continue
		}
		events = append(events, newEvent(EventUsed, reservation, now, ""))
		reservation.tasks--
		delete(reserver.records, reservation.step)
	}
	reserver.reservations = slices.DeleteFunc(reserver.reservations, func(reservation *Reservation) bool {
		return reservation.tasks == 0
	})
	return events
}

// Reservations returns the current reservations.
func (reserver *Reserver) Reservations() []*Reservation { return reserver.reservations }

// HeldIdle returns the CPU, in millicores, that the reservations keep from other tasks: what is free on the reserved
// workers, up to what is reserved there.
func (reserver *Reserver) HeldIdle(workers []*packer.Worker) int64 {
	if len(reserver.reservations) == 0 {
		return 0
	}
	byWorker := reserver.byWorker()
	var held int64
	for _, worker := range workers {
		if reservation := byWorker[worker.Name]; reservation != nil {
			held += max(0, min(worker.Free.MilliCores, reservation.total().MilliCores))
		}
	}
	return held
}

// byWorker returns the reservations by their worker. A worker has one at most.
func (reserver *Reserver) byWorker() map[scheduler.WorkerName]*Reservation {
	byWorker := make(map[scheduler.WorkerName]*Reservation, len(reserver.reservations))
	for _, reservation := range reserver.reservations {
		byWorker[reservation.worker] = reservation
	}
	return byWorker
}

// largeGroups returns the waiting groups that qualify for a reservation. Fill tasks and long-running tasks
// never qualify: the former reserve no CPU, and package packer holds workers for the latter. Nor do gangs of more than
// maxGangTasks tasks.
func (reserver *Reserver) largeGroups(pool *Pool) []*Group {
	var large []*Group
	var mean *scheduler.Resources
	for position := range pool.Groups {
		group := &pool.Groups[position]
		if group.Step.Fill || group.Step.LongRunning || len(group.Tasks) == 0 || pool.Now-group.Since < minWait {
			continue
		}
		if mean == nil {
			request := pool.MeanRequest()
			mean = &request
		}
		if group.Step.Gang && len(group.Tasks) > maxGangTasks {
			continue
		}
		isGang := group.Step.Gang && len(group.Tasks) > 1
		if isGang || isLarge(group.Step.Reserved(), *mean) {
			large = append(large, group)
		}
	}
	return large
}

// isLarge reports whether a request is much larger than the mean in a resource that running tasks use.
func isLarge(request, mean scheduler.Resources) bool {
	return mean.MilliCores > 0 && request.MilliCores >= largeFactor*mean.MilliCores ||
		mean.MemoryBytes > 0 && request.MemoryBytes >= largeFactor*mean.MemoryBytes
}

// prune removes outdated entries of interrupted, blockedUntil and retryAt.
func (reserver *Reserver) prune(now time.Duration) {
	for worker, interruption := range reserver.interrupted {
		if now >= interruption.until {
			delete(reserver.interrupted, worker)
		}
	}
	for worker, until := range reserver.blockedUntil {
		if now >= until {
			delete(reserver.blockedUntil, worker)
		}
	}
	for step, at := range reserver.retryAt {
		if now >= at {
			delete(reserver.retryAt, step)
		}
	}
}

// reserveNew makes reservations for large groups that have none. Those that have waited for agingTime come first, the
// oldest before the others.
func (reserver *Reserver) reserveNew(pool *Pool, large []*Group) []Event {
	reserved := map[packer.StepID]bool{}
	for _, reservation := range reserver.reservations {
		reserved[reservation.step] = true
	}
	var candidates []*Group
	for _, group := range large {
		if _, failed := reserver.retryAt[group.ID()]; !failed && !reserved[group.ID()] {
			candidates = append(candidates, group)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Group) int { return cmp.Compare(b.age(pool.Now), a.age(pool.Now)) })
	candidates = candidates[:min(len(candidates), newStepsPerDecision, max(reserver.maxSteps-len(reserved), 0))]
	var events []Event
	for _, group := range candidates {
		made := reserver.reserve(pool, group)
		if len(made) == 0 {
			reserver.retryAt[group.ID()] = pool.Now + retryInterval
		}
		for _, reservation := range made {
			events = append(events, newEvent(EventMade, reservation, pool.Now, ""))
		}
		reserver.reservations = append(reserver.reservations, made...)
	}
	return events
}

// SetHolds sets the holds of the workers that are reserved.
func (reserver *Reserver) SetHolds(now time.Duration, workers []*packer.Worker) {
	if len(reserver.reservations) == 0 {
		return
	}
	byWorker := reserver.byWorker()
	for _, worker := range workers {
		if reservation := byWorker[worker.Name]; reservation != nil {
			worker.Hold = packer.NewHold(reservation.step, reservation.priority, reservation.tasks,
				reservation.start-now, reservation.spare)
		}
	}
}
