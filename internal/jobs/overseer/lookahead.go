package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/internal/jobs/reserver"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// WithLookAhead enables reservations for large tasks, see package reserver. maxIdle is the maximum time for which a
// reservation may hold capacity idle.
func WithLookAhead(maxIdle time.Duration) Option {
	return func(overseer *Overseer) { overseer.maxIdle = maxIdle }
}

const (
	// endQuantile is the quantile at which running tasks are expected to end. A higher quantile would
	// predict later starts and let longer tasks delay the reserved one.
	endQuantile = 0.5
	// runTimeQuantile is the quantile that decides whether a task ends before the start of a reserved one.
	runTimeQuantile = 0.95
	// meanInterval is how often the mean request of a pool's running tasks is computed.
	meanInterval = 200 * time.Millisecond
)

// lookAhead holds the reservations of a leadership. They are not replicated: a new leader makes its own as soon as it
// knows the workers. The leadership's mutex guards it.
type lookAhead struct {
	reservers map[scheduler.PoolName]*reserver.Reserver
	means     map[scheduler.PoolName]meanRequest
	log       reservationLog
}

// meanRequest is what the running tasks of a pool reserve on average.
type meanRequest struct {
	amount     scheduler.Resources
	computedAt time.Duration
}

func newLookAhead() lookAhead {
	return lookAhead{
		reservers: map[scheduler.PoolName]*reserver.Reserver{},
		means:     map[scheduler.PoolName]meanRequest{},
		log:       reservationLog{held: map[scheduler.PoolName]heldIdle{}},
	}
}

// pack assigns the waiting steps of a pool to its workers. groups holds the steps as input for the packer, in the same
// order.
func (leadership *leadership) pack(
	state *jobkeeper.State, name scheduler.PoolName, workers []*packer.Worker, steps []*waitingStep, groups []packer.Group,
) []packer.Assignment {
	if leadership.overseer.maxIdle <= 0 || !usesReservations(state, name, workers) {
		leadership.dropPoolReservations(name)
		return packer.Pack(workers, groups)
	}
	poolReserver := leadership.lookAhead.reservers[name]
	if poolReserver == nil {
		poolReserver = reserver.New(reserver.WithMaxIdle(leadership.overseer.maxIdle))
		leadership.lookAhead.reservers[name] = poolReserver
	}
	pool := leadership.reserverPool(state, name, workers, steps, groups)
	leadership.recordReservations(poolReserver.Plan(pool))
	if len(poolReserver.Reservations()) > 0 {
		leadership.predictRunTimes(steps, groups)
	}
	assignments := packer.Pack(workers, groups)
	leadership.recordReservations(poolReserver.Observe(pool.Now, assignments))
	leadership.recordHeldIdle(name, poolReserver, workers)
	return assignments
}

// usesReservations reports whether large tasks of a pool may get reservations. Where all workers have the same capacity
// and all queues the same priority, large tasks do not wait behind small ones for longer than the order of urgency intends.
func usesReservations(state *jobkeeper.State, name scheduler.PoolName, workers []*packer.Worker) bool {
	return hasUnequalWorkers(workers) || hasUnequalPriorities(state.Configuration(), name)
}

// hasUnequalWorkers reports whether the capacities of the workers differ.
func hasUnequalWorkers(workers []*packer.Worker) bool {
	for _, worker := range workers {
		if worker.Capacity != workers[0].Capacity {
			return true
		}
	}
	return false
}

// hasUnequalPriorities reports whether the priorities of the queues that a pool serves differ.
func hasUnequalPriorities(configuration *scheduler.QueueConfiguration, name scheduler.PoolName) bool {
	if configuration == nil {
		return false
	}
	var first *scheduler.Queue
	for position := range configuration.Queues {
		queue := &configuration.Queues[position]
		switch {
		case queue.Pool != name:
		case first == nil:
			first = queue
		case queue.Priority != first.Priority:
			return true
		}
	}
	return false
}

// reserverPool returns the state of a pool as input for its reserver.
func (leadership *leadership) reserverPool(
	state *jobkeeper.State, name scheduler.PoolName, workers []*packer.Worker, steps []*waitingStep, groups []packer.Group,
) *reserver.Pool {
	pool := &reserver.Pool{
		Now: leadership.now(), Workers: workers, Groups: make([]reserver.Group, len(groups)),
		MeanRequest: func() scheduler.Resources { return leadership.meanRequest(name) },
		Releases:    func(worker scheduler.WorkerName) []reserver.Release { return leadership.releases(state, worker) },
	}
	for position := range groups {
		pool.Groups[position] = reserver.Group{
			Group: &groups[position], Since: steps[position].since, Prospect: steps[position].urgency.Prospect,
		}
	}
	return pool
}

// predictRunTimes sets the run times of the groups. Those of fill tasks are unknown, because their speed depends on the
// other tasks of the worker.
func (leadership *leadership) predictRunTimes(steps []*waitingStep, groups []packer.Group) {
	for position, waiting := range steps {
		spec := waiting.step.Spec()
		if spec.Fill || spec.LongRunning {
			continue
		}
		groups[position].RunTime = leadership.runTimes.RunTime(kindOf(waiting.step), spec.Estimate, runTimeQuantile)
	}
}

// releases returns what the attempts on a worker are expected to release. Those on draining workers and the like do not
// matter, because such workers are not schedulable.
func (leadership *leadership) releases(state *jobkeeper.State, name scheduler.WorkerName) []reserver.Release {
	instance := leadership.instances[name]
	if instance == nil {
		return nil
	}
	now := leadership.now()
	releases := make([]reserver.Release, 0, len(instance.attempts))
	for id, attempt := range instance.attempts {
		release := reserver.Release{Amount: attempt.spec.Reserved()}
		switch {
		case attempt.recordingEnd || attempt.state == attemptStopped:
		case attempt.state == attemptStopping:
			release.After = leadership.overseer.stopTime
		case attempt.spec.LongRunning:
			continue
		default:
			job, found := state.Job(id.Task.Job)
			if !found {
				continue
			}
			kind := scheduler.NewTaskKind(job.Queue().Name, attempt.spec.Image)
			release.After = leadership.runTimes.Remaining(
				kind, attempt.spec.Estimate, attempt.timing.elapsed(now), endQuantile)
		}
		releases = append(releases, release)
	}
	return releases
}

// meanRequest returns what the running tasks of a pool reserve on average, without long-running ones and fill tasks.
func (leadership *leadership) meanRequest(name scheduler.PoolName) scheduler.Resources {
	now := leadership.now()
	if mean, found := leadership.lookAhead.means[name]; found && now < mean.computedAt+meanInterval {
		return mean.amount
	}
	var total scheduler.Resources
	count := int64(0)
	for _, instance := range leadership.instances {
		if instance.heartbeat.Pool != name {
			continue
		}
		for _, attempt := range instance.attempts {
			if !attempt.spec.LongRunning && !attempt.spec.Fill {
				total = total.Plus(attempt.spec.Request)
				count++
			}
		}
	}
	count = max(count, 1)
	mean := scheduler.Resources{
		MilliCores: total.MilliCores / count, MemoryBytes: total.MemoryBytes / count, Accelerators: total.Accelerators / count,
	}
	leadership.lookAhead.means[name] = meanRequest{amount: mean, computedAt: now}
	return mean
}
