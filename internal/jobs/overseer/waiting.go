package overseer

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/internal/jobs/waitwatcher"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// reasonAccepted is the reason of a task that a worker accepts and that has not been placed, as the member of a gang that
// does not fit as a whole.
const reasonAccepted = "accepted"

// waitingPool is what a planning cycle has left of a pool.
type waitingPool struct {
	// workers accept new tasks. Their capacity is what the placements of the cycle have left. withheld holds those that
	// respond and accept none for the time being, by reason.
	workers  []*packer.Worker
	withheld map[UnavailableReason][]*packer.Worker
	// mostFree is the largest free amount of each resource on any worker.
	mostFree scheduler.Resources
}

func (waitingPool *waitingPool) addFree(free scheduler.Resources) {
	most := &waitingPool.mostFree
	most.MilliCores = max(most.MilliCores, free.MilliCores)
	most.MemoryBytes = max(most.MemoryBytes, free.MemoryBytes)
	most.Accelerators = max(most.Accelerators, free.Accelerators)
}

// watchWaiting looks for tasks that a planning cycle has left waiting although there is room for them, and reports those
// for which there has been room for long. pools holds the workers after the placements. The mutex must be held.
func (leadership *leadership) watchWaiting(
	state *jobkeeper.State, pools map[scheduler.PoolName][]*packer.Worker, steps []*waitingStep, placements []jobkeeper.Placement,
) {
	if now := leadership.now(); leadership.waitWatcher.IsDue(now) {
		leadership.observeWaiting(state, pools, steps, placements, now)
	}
}

// observeWaiting does the work of watchWaiting. The mutex must be held.
func (leadership *leadership) observeWaiting(
	state *jobkeeper.State, pools map[scheduler.PoolName][]*packer.Worker, steps []*waitingStep,
	placements []jobkeeper.Placement, now time.Duration,
) {
	placed := make(map[scheduler.StepTaskID]bool, len(placements))
	for position := range placements {
		placed[placements[position].Task] = true
	}
	candidates := leadership.stepsWithRoom(leadership.waitingPools(state, pools), steps, placed)
	leadership.reportOverdue(leadership.waitWatcher.Observe(now, candidates), now)
}

// stepsWithRoom returns the steps that may have room. In a full pool the comparison with the largest free capacity leaves
// few of them.
func (leadership *leadership) stepsWithRoom(
	pools map[scheduler.PoolName]*waitingPool, steps []*waitingStep, placed map[scheduler.StepTaskID]bool,
) []waitwatcher.Step {
	var candidates []waitwatcher.Step
	for _, waiting := range steps {
		pool := pools[waiting.step.Job().Queue().Pool]
		if pool == nil || !waiting.step.Spec().Reserved().FitsIn(pool.mostFree) {
			continue
		}
		candidates = append(candidates, waitwatcher.Step{
			ID:      waiting.id(),
			Examine: func() waitwatcher.Room { return leadership.examineRoom(pool, waiting, placed) },
		})
	}
	return candidates
}

// id returns the step, as the packer distinguishes it.
func (waiting *waitingStep) id() packer.StepID {
	group := packer.Group{Tasks: []scheduler.StepTaskID{waiting.tasks[0].ID()}, Suspect: waiting.suspect}
	return group.ID()
}

// examineRoom returns the room for the tasks of a step that the planning cycle has not placed.
func (leadership *leadership) examineRoom(
	pool *waitingPool, waiting *waitingStep, placed map[scheduler.StepTaskID]bool,
) waitwatcher.Room {
	room := waitwatcher.Room{
		Queue: waiting.step.Job().Queue().Name, Gang: waiting.step.Spec().Gang, Workers: map[string]int{},
	}
	for _, task := range waiting.tasks {
		if !placed[task.ID()] && (room.Gang || len(room.Tasks) < waitwatcher.MaxTasks) {
			room.Tasks = append(room.Tasks, scheduler.RunID{Task: task.ID(), Attempt: task.LastAttempt()})
		}
	}
	if len(room.Tasks) == 0 {
		return room
	}
	group := leadership.groupWithApprovals(waiting, leadership.validApprovals(waiting.step))
	limit := waitwatcher.RoomFactor * len(room.Tasks)
	addExamined(&room, packer.ExamineRoom(pool.workers, &group, limit), "")
	for reason, workers := range pool.withheld {
		addExamined(&room, packer.ExamineRoom(workers, &group, limit), reason)
	}
	if counts := workerCounts(room.Workers); len(counts) > 0 {
		room.Reason = counts[0].Reason
	}
	return room
}

// addExamined adds the room on some workers. unavailable is why these accept no tasks at all, empty if they do.
func addExamined(room *waitwatcher.Room, found packer.Room, unavailable UnavailableReason) {
	room.Places += found.Places()
	for exclusion, workers := range found.Workers() {
		reason := string(exclusion)
		switch {
		case unavailable != "":
			reason = string(unavailable)
		case exclusion == packer.NotExcluded:
			reason = reasonAccepted
		}
		room.Workers[reason] += workers
	}
}

// waitingPools returns what a planning cycle has left of each pool.
func (leadership *leadership) waitingPools(
	state *jobkeeper.State, pools map[scheduler.PoolName][]*packer.Worker,
) map[scheduler.PoolName]*waitingPool {
	waitingPools := map[scheduler.PoolName]*waitingPool{}
	poolOf := func(name scheduler.PoolName) *waitingPool {
		if waitingPools[name] == nil {
			waitingPools[name] = &waitingPool{withheld: map[UnavailableReason][]*packer.Worker{}}
		}
		return waitingPools[name]
	}
	for name, workers := range pools {
		pool := poolOf(name)
		pool.workers = workers
		for _, worker := range workers {
			pool.addFree(worker.Free)
		}
	}
	now, wallTime, heartbeatTimeout := leadership.now(), time.Now(), leadership.heartbeatTimeout()
	for _, instance := range leadership.instances {
		reason := leadership.unavailableReason(instance, now, heartbeatTimeout, wallTime)
		if reason.isSoft() && instance.isReachable(now, heartbeatTimeout) {
			pool, worker := poolOf(instance.heartbeat.Pool), withheldWorker(state, instance, now)
			pool.withheld[reason] = append(pool.withheld[reason], worker)
			pool.addFree(worker.Free)
		}
	}
	return waitingPools
}

// withheldWorker returns a worker that accepts no tasks for the time being, as far as hard limits need it.
func withheldWorker(state *jobkeeper.State, instance *worker, now time.Duration) *packer.Worker {
	return &packer.Worker{
		Name: instance.name, Rack: instance.rack(), Labels: instance.heartbeat.Labels, Capacity: instance.heartbeat.Capacity,
		Free: instance.heartbeat.Capacity.Minus(state.Reserved(instance.name)), Slack: instance.usageSummary(now).slack,
	}
}

// isSoft reports whether the reason is a precaution of the leader that may yield. The others are the worker's state or an
// operator's will.
func (unavailableReason UnavailableReason) isSoft() bool {
	switch unavailableReason {
	case UnavailableQuarantined, UnavailableUnsynced, UnavailableBackingOff, UnavailableOutdated, UnavailableUnknownAttempts:
		return true
	default:
		return false
	}
}

// reportOverdue updates the metrics of overdue tasks and logs them. The age starts over with each leader.
func (leadership *leadership) reportOverdue(overdue []waitwatcher.Overdue, now time.Duration) {
	leadership.overseer.metrics.waiting.update(overdue)
	for position := range overdue {
		found := &overdue[position]
		event := "taskOverdue"
		suppressed, allowed := leadership.repeatedWarnings.Allow(event + "/" + string(found.Queue()) + "/" + found.Reason())
		if !allowed {
			continue
		}
		leadership.logger.Warn().Str("event", event).Str("queue", string(found.Queue())).Str("reason", found.Reason()).
			Int("tasks", found.Tasks()).Stringer("oldest", found.Oldest()).Dur("age", found.Age()).
			Dict("workersWithRoom", countsDict(found.Workers())).Int("places", found.Places()).
			Dur("leadingFor", now-leadership.startedAt).Int("suppressed", suppressed).
			Msg("tasks wait although there has been room for them for long")
	}
}

func countsDict(counts map[string]int) *zerolog.Event {
	dict := zerolog.Dict()
	for _, count := range workerCounts(counts) {
		dict.Int(count.Reason, count.Workers)
	}
	return dict
}

// waitingMetrics are the metrics of overdue tasks, by queue and reason.
type waitingMetrics struct {
	scope   tally.Scope
	buckets tally.Buckets
	// gauges holds the gauges that have been set.
	gauges map[overdueKey]tally.Gauge
}

type overdueKey struct {
	queue  scheduler.QueueName
	reason string
}

func newWaitingMetrics(scope tally.Scope) *waitingMetrics {
	return &waitingMetrics{
		scope: scope, buckets: tally.MustMakeExponentialDurationBuckets(time.Second, 2, 10),
		gauges: map[overdueKey]tally.Gauge{},
	}
}

// update sets the gauges to the given tasks, and those of other queues and reasons to 0.
func (waitingMetrics *waitingMetrics) update(overdue []waitwatcher.Overdue) {
	tasks := map[overdueKey]int{}
	for position := range overdue {
		found := &overdue[position]
		key := overdueKey{queue: found.Queue(), reason: found.Reason()}
		tasks[key] = found.Tasks()
		scope := waitingMetrics.scope.Tagged(map[string]string{"queue": string(key.queue), "reason": key.reason})
		waitingMetrics.gauges[key] = scope.Gauge("tasks_overdue")
		scope.Histogram("oldest_overdue_age", waitingMetrics.buckets).RecordDuration(found.Age())
	}
	for key, gauge := range waitingMetrics.gauges {
		gauge.Update(float64(tasks[key]))
	}
}
