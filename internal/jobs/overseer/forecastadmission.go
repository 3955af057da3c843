package overseer

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/jobs/admitter"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// forecastInterval is how often the forecasts are updated. An update visits all running and waiting tasks.
	forecastInterval = 500 * time.Millisecond
	// blindTime is the time at the start of a leadership without forecasts. It covers two heartbeats of each worker.
	blindTime = 3 * time.Second
	// maxUncertainFraction is the fraction of a pool's workers that may take no tasks for an uncertain reason while
	// forecasts are made. One worker may always do so, for the sake of small pools.
	maxUncertainFraction = 0.1
)

// WithForecastAdmission refuses jobs that cannot finish while their result is of use. It applies to queues that have an
// objective and a priority above 0. By default such jobs are admitted and wait.
func WithForecastAdmission() Option {
	return func(overseer *Overseer) { overseer.forecastAdmission = true }
}

// observeForecasts updates the forecasts with the state of their pools. The mutex must be held.
func (leadership *leadership) observeForecasts(now time.Duration) {
	if !leadership.overseer.forecastAdmission || now < leadership.forecastsObservedAt+forecastInterval {
		return
	}
	leadership.forecastsObservedAt = now
	states := map[scheduler.PoolName]*admitter.PoolState{}
	wrong, right, served := 0, 0, 0
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		leadership.collectRooms(states, state, now)
		leadership.collectBacklog(states, state)
	})
	for pool, state := range states {
		state.Blind = leadership.isBlind(pool, now)
		backlogAdmitter := leadership.backlogAdmitter(pool)
		backlogAdmitter.Observe(now, *state)
	}
	for _, backlogAdmitter := range leadership.backlogAdmitters {
		audit := backlogAdmitter.Audit()
		wrong, right, served = wrong+audit.Wrong(), right+audit.Right(), served+backlogAdmitter.ReturnsServed()
	}
	leadership.overseer.metrics.admission.update(wrong, right, served)
}

// backlogAdmitter returns the BacklogAdmitter of a pool. The mutex must be held.
func (leadership *leadership) backlogAdmitter(pool scheduler.PoolName) *admitter.BacklogAdmitter {
	if leadership.backlogAdmitters[pool] == nil {
		leadership.backlogAdmitters[pool] = admitter.NewBacklogAdmitter()
	}
	return leadership.backlogAdmitters[pool]
}

// isBlind reports whether too little is known for a forecast: the leadership has just started, or many workers of the
// pool take no tasks for a reason that may be short or not concern their capacity, such as an order without a response.
// Their capacity is missing from the rooms. The mutex must be held.
func (leadership *leadership) isBlind(pool scheduler.PoolName, now time.Duration) bool {
	if now-leadership.startedAt < blindTime {
		return true
	}
	heartbeatTimeout, wallTime := leadership.heartbeatTimeout(), time.Now()
	schedulable, uncertain := 0, 0
	for _, instance := range leadership.instances {
		switch {
		case instance.hasHeartbeat && instance.heartbeat.Pool != pool || leadership.isAbsent(instance, now, wallTime):
		case leadership.isSchedulable(instance, now, heartbeatTimeout, wallTime):
			schedulable++
		default:
			uncertain++
		}
	}
	return float64(uncertain) > max(1, maxUncertainFraction*float64(schedulable+uncertain))
}

// isAbsent reports whether a worker certainly takes no tasks: it has ended, has been silent for longer than its lease, or
// is withdrawn. The mutex must be held.
func (leadership *leadership) isAbsent(instance *worker, now time.Duration, wallTime time.Time) bool {
	lastContact := max(instance.lastContact(), leadership.startedAt)
	return instance.ended || now-lastContact >= leadership.overseer.leaseDuration ||
		instance.heartbeat.Phase == scheduler.WorkerDraining || leadership.isInMaintenance(instance) ||
		leadership.isInEvacuatedDataCentre(instance) || leadership.failureTracker.isQuarantined(instance.name, wallTime)
}

// collectRooms adds the capacity of the workers on which tasks may be placed. What a worker has had until a moment ago
// counts in the total, but not as free. The mutex must be held.
func (leadership *leadership) collectRooms(
	states map[scheduler.PoolName]*admitter.PoolState, state *jobkeeper.State, now time.Duration,
) {
	heartbeatTimeout, wallTime := leadership.heartbeatTimeout(), time.Now()
	for name, instance := range leadership.instances {
		if !leadership.isSchedulable(instance, now, heartbeatTimeout, wallTime) {
			continue
		}
		dip := instance.dip(now)
		reserved := admitter.Room{
			Total: instance.heartbeat.Capacity.MilliCores + dip,
			Free:  instance.heartbeat.Capacity.MilliCores - state.Reserved(name).MilliCores,
		}
		fill := int64(0)
		for _, attempt := range instance.attempts {
			if attempt.spec.LongRunning {
				reserved.Total -= attempt.spec.Reserved().MilliCores
			}
			if attempt.spec.Fill {
				fill += attempt.spec.Request.MilliCores
			}
		}
		slack := instance.usageSummary(leadership.now()).slack
		rooms := poolState(states, instance.heartbeat.Pool).Rooms
		addRoom(rooms, admitter.CapacityReserved, reserved)
		addRoom(rooms, admitter.CapacityFill, admitter.Room{Total: slack + fill + dip, Free: slack})
	}
}

func addRoom(rooms map[admitter.CapacityKind]admitter.Room, kind admitter.CapacityKind, room admitter.Room) {
	sum := rooms[kind]
	sum.Total += max(0, room.Total)
	sum.Free += max(0, room.Free)
	rooms[kind] = sum
}

func poolState(
	states map[scheduler.PoolName]*admitter.PoolState, pool scheduler.PoolName,
) *admitter.PoolState {
	if states[pool] == nil {
		states[pool] = &admitter.PoolState{Rooms: map[admitter.CapacityKind]admitter.Room{}}
	}
	return states[pool]
}

// occurrenceKey identifies one occurrence of a job.
type occurrenceKey struct {
	job        scheduler.JobID
	occurrence int
}

// collectBacklog adds the tasks of accepted jobs that have not started, and records how long steps have been waiting.
// The mutex must be held.
func (leadership *leadership) collectBacklog(states map[scheduler.PoolName]*admitter.PoolState, state *jobkeeper.State) {
	visited := map[occurrenceKey]bool{}
	now, wallTime := leadership.now(), time.Now()
	visit := func(step *jobkeeper.StepState) {
		key := occurrenceKey{job: step.Job().ID(), occurrence: step.Occurrence()}
		if visited[key] || step.Spec().LongRunning {
			return
		}
		visited[key] = true
		pool := poolState(states, step.Job().Queue().Pool)
		pool.Jobs = append(pool.Jobs, backlogOf(step, urgencyOf(step, wallTime))...)
	}
	var oldest waitBySize
	state.VisitReady(func(task *jobkeeper.Task) {
		visit(task.Step())
		if wait, known := leadership.jobLog.waiting[keyOf(task.ID())]; known {
			oldest.add(task.Step(), now-wait.since)
		}
	})
	for _, instance := range leadership.instances {
		for id := range instance.attempts {
			if visited[occurrenceKey{job: id.Task.Job, occurrence: id.Task.Occurrence}] {
				continue
			}
			job, found := state.Job(id.Task.Job)
			if !found || job.State().Ended() {
				continue
			}
			if step := job.Step(id.Task.Occurrence, id.Task.Step); step != nil {
				visit(step)
			}
		}
	}
	leadership.overseer.metrics.admission.updateOldest(oldest)
}

// backlogOf returns the parts of a job's occurrence that have not started, by kind of capacity.
func backlogOf(step *jobkeeper.StepState, urgency packer.Urgency) []admitter.JobBacklog {
	parts := map[admitter.CapacityKind]admitter.JobBacklog{}
	for _, sibling := range step.Siblings() {
		spec := sibling.Spec()
		part := parts[admitter.KindOf(spec)]
		for _, task := range sibling.Tasks() {
			if task.Finished() || len(task.Runs()) > 0 {
				continue
			}
			part.Work += admitter.WorkOf(spec)
			if task.IsRunnable() {
				part.Waiting += spec.Request.MilliCores
			}
		}
		parts[admitter.KindOf(spec)] = part
	}
	var backlog []admitter.JobBacklog
	for kind, part := range parts {
		if part.Work > 0 || part.Waiting > 0 {
			part.Kind, part.Priority, part.Prospect, part.JobWork = kind, urgency.Priority, urgency.Prospect, urgency.RemainingWork
			backlog = append(backlog, part)
		}
	}
	return backlog
}

// recordFinishedWork adds the work of a finished attempt to the drain rate of its pool. The mutex must be held.
func (leadership *leadership) recordFinishedWork(instance *worker, ended *attempt, end jobkeeper.End) {
	if !leadership.overseer.forecastAdmission || ended == nil || end.Kind != scheduler.EndFinished ||
		ended.spec.LongRunning || leadership.isInEvacuatedDataCentre(instance) {
		return
	}
	leadership.backlogAdmitter(instance.heartbeat.Pool).RecordFinished(admitter.KindOf(&ended.spec), admitter.WorkOf(&ended.spec))
}

// logRefusal logs the inputs of a refusal that rests on a forecast, and counts it. The mutex must be held.
func (leadership *leadership) logRefusal(submission *admitter.Submission, decision *admitter.Decision) {
	forecast := decision.Forecast()
	leadership.overseer.metrics.admission.refusals(decision.Reason()).Inc(1)
	leadership.logger.Info().Str("event", "jobRefused").Str("job", string(submission.Job)).
		Str("queue", string(submission.Queue.Name)).Str("reason", decision.Reason()).
		Str("capacity", string(forecast.Kind())).Int64("backlog", forecast.Ahead()).Float64("rate", forecast.Rate()).
		Int64("room", forecast.Free()).Dur("forecast", forecast.End()).Dur("useful", forecast.Useful()).
		Dur("rateAge", forecast.RateAge()).Dur("loadAge", leadership.now()-leadership.forecastsObservedAt).
		Dur("retryAfter", decision.RetryAfter()).Msg("job refused by forecast")
}

// sizeClass groups steps by their number of tasks.
type sizeClass string

// Values of sizeClass, and the numbers of tasks from which on a step is of medium size or large.
const (
	sizeSmall  sizeClass = "small"
	sizeMedium sizeClass = "medium"
	sizeLarge  sizeClass = "large"

	minMediumTasks = 10
	minLargeTasks  = 40
)

// sizeClasses lists the size classes in ascending order.
var sizeClasses = [...]sizeClass{sizeSmall, sizeMedium, sizeLarge}

// waitBySize is the longest wait of a step of each size class, in the order of sizeClasses.
type waitBySize [len(sizeClasses)]time.Duration

func (waitBySize *waitBySize) add(step *jobkeeper.StepState, wait time.Duration) {
	class := 0
	switch tasks := step.Spec().Count; {
	case tasks >= minLargeTasks:
		class = 2
	case tasks >= minMediumTasks:
		class = 1
	}
	waitBySize[class] = max(waitBySize[class], wait)
}

// admissionMetrics are the metrics of admission by forecast.
type admissionMetrics struct {
	scope tally.Scope
	// wrong and right count the checked refusals, served the jobs that were admitted after a refusal.
	wrong, right, served tally.Gauge
}

func newAdmissionMetrics(scope tally.Scope) *admissionMetrics {
	return &admissionMetrics{
		scope: scope, wrong: scope.Gauge("refusals_wrong"), right: scope.Gauge("refusals_right"),
		served: scope.Gauge("returns_served"),
	}
}

func (admissionMetrics *admissionMetrics) refusals(reason string) tally.Counter {
	return admissionMetrics.scope.Tagged(map[string]string{"reason": reason}).Counter("jobs_refused")
}

func (admissionMetrics *admissionMetrics) update(wrong, right, served int) {
	admissionMetrics.wrong.Update(float64(wrong))
	admissionMetrics.right.Update(float64(right))
	admissionMetrics.served.Update(float64(served))
}

func (admissionMetrics *admissionMetrics) updateOldest(oldest waitBySize) {
	for position, class := range sizeClasses {
		admissionMetrics.scope.Tagged(map[string]string{"size": string(class)}).Gauge("oldest_waiting_seconds").
			Update(oldest[position].Seconds())
	}
}
