package overseer

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// evacuationInterval is how often the progress of evacuations is observed and waiting steps are searched for those that
// only evacuated workers can run.
const evacuationInterval = time.Second

// evacuations is the leadership's view of evacuated data centres. The leadership's mutex guards it. planStart reads
// the replicated state itself, because this view may be a planning cycle old.
type evacuations struct {
	// active holds the evacuated data centres, as of the last planning cycle.
	active     map[scheduler.DataCentreName]*evacuationProgress
	observedAt time.Duration
	// adopted is true once the evacuations that began before this leadership have been read.
	adopted bool
	// blocked holds the constraints of waiting steps that only evacuated workers meet, as of the last search at
	// searchedAt. They have been logged.
	blocked    map[constraint]bool
	searchedAt time.Duration
}

// evacuationProgress is the progress of one evacuation.
type evacuationProgress struct {
	beganAt time.Time
	// revision is the revision with which the evacuation began.
	revision uint64
	// observed is true if this leadership has seen the evacuation begin or a task in the data centre. Otherwise an
	// earlier leader may have recorded that the data centre is empty.
	observed bool
	// empty is true once no task is left in the data centre.
	empty bool
}

func newEvacuations() evacuations {
	return evacuations{
		active:  map[scheduler.DataCentreName]*evacuationProgress{},
		blocked: map[constraint]bool{},
	}
}

// evacuationMetrics are the metrics of evacuations.
type evacuationMetrics struct {
	dataCentres tally.Gauge
	tasks       tally.Gauge
	withheld    tally.Counter
	duration    tally.Histogram
}

// Evacuations take from milliseconds, if nothing runs in the data centre, to hours, if long-running tasks stay there.
const (
	evacuationBucketCount = 12
	evacuationBucketMin   = 100 * time.Millisecond
	evacuationBucketRatio = 3
)

func newEvacuationMetrics(scope tally.Scope) evacuationMetrics {
	buckets := tally.MustMakeExponentialDurationBuckets(evacuationBucketMin, evacuationBucketRatio, evacuationBucketCount)
	return evacuationMetrics{
		dataCentres: scope.Gauge("data_centres_evacuated"), tasks: scope.Gauge("tasks_in_evacuated_data_centres"),
		withheld: scope.Counter("starts_withheld"), duration: scope.Histogram("evacuation_duration", buckets),
	}
}

// resetGauges sets the gauges to 0 after a leadership, see metrics.resetGauges.
func (evacuationMetrics *evacuationMetrics) resetGauges() {
	evacuationMetrics.dataCentres.Update(0)
	evacuationMetrics.tasks.Update(0)
}

// refreshEvacuations reads the evacuated data centres from the replicated state. The mutex must be held.
func (leadership *leadership) refreshEvacuations(state *jobkeeper.State) {
	active := leadership.evacuations.active
	state.VisitEvacuations(func(dataCentre scheduler.DataCentreName, evacuation jobkeeper.Evacuation) {
		current := active[dataCentre]
		if current == nil && !evacuation.Active() || current != nil && current.revision == evacuation.Revision() {
			return
		}
		if evacuation.Active() {
			active[dataCentre] = &evacuationProgress{
				beganAt: evacuation.ChangedAt(), revision: evacuation.Revision(), observed: leadership.evacuations.adopted,
			}
		} else {
			delete(active, dataCentre)
		}
		clear(leadership.evacuations.blocked)
		leadership.overseer.metrics.evacuation.dataCentres.Update(float64(len(active)))
		leadership.logger.Info().Str("event", "evacuationChanged").Str("dataCentre", string(dataCentre)).
			Bool("evacuated", evacuation.Active()).Uint64("revision", evacuation.Revision()).
			Time("changedAt", evacuation.ChangedAt()).Msg("evacuation of a data centre began or ended")
	})
	leadership.evacuations.adopted = true
}

// isInEvacuatedDataCentre reports whether a worker gets no new work because its data centre is evacuated. The mutex must
// be held.
func (leadership *leadership) isInEvacuatedDataCentre(instance *worker) bool {
	return leadership.evacuations.active[instance.heartbeat.DataCentre] != nil
}

// observeEvacuations reads the evacuated data centres and observes the tasks that are left there.
func (leadership *leadership) observeEvacuations() {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.overseer.keeper.View(leadership.refreshEvacuations)
	now := leadership.now()
	if now < leadership.evacuations.observedAt+evacuationInterval {
		return
	}
	leadership.evacuations.observedAt = now
	left, total := map[scheduler.DataCentreName]int{}, 0
	unlocated := 0
	for _, instance := range leadership.instances {
		switch {
		case !instance.hasHeartbeat:
			unlocated += len(instance.attempts)
		case leadership.isInEvacuatedDataCentre(instance):
			left[instance.heartbeat.DataCentre] += len(instance.attempts)
			total += len(instance.attempts)
		}
	}
	leadership.overseer.metrics.evacuation.tasks.Update(float64(total))
	if unlocated > 0 {
		return // Tasks whose worker this leader has not heard yet may be in any data centre.
	}
	for dataCentre, progress := range leadership.evacuations.active {
		progress.observed = progress.observed || left[dataCentre] > 0
		if left[dataCentre] == 0 && progress.observed && !progress.empty {
			leadership.recordEmpty(dataCentre, progress)
		}
	}
}

// recordEmpty records that no task is left in an evacuated data centre. The mutex must be held.
func (leadership *leadership) recordEmpty(dataCentre scheduler.DataCentreName, progress *evacuationProgress) {
	progress.empty = true
	took := max(time.Since(progress.beganAt), 0) // The wall clock of the VM that accepted the request may be ahead.
	leadership.overseer.metrics.evacuation.duration.RecordDuration(took)
	leadership.logger.Info().Str("event", "dataCentreEmpty").Str("dataCentre", string(dataCentre)).Dur("took", took).
		Msg("no task is left in an evacuated data centre")
}

// coldRemaining returns how much longer the worker remains slow after its start.
func (worker *worker) coldRemaining(now time.Duration) time.Duration {
	return max(0, worker.heartbeat.ColdRemaining-(now-worker.lastHeartbeat))
}

// recordWithheldStart records that a start was not sent because its data centre is evacuated.
func (leadership *leadership) recordWithheldStart(instance *worker, id scheduler.RunID) {
	leadership.overseer.metrics.evacuation.withheld.Inc(1)
	leadership.logger.Info().Str("event", "startWithheld").Stringer("run", id).Str("worker", string(instance.name)).
		Str("dataCentre", string(instance.heartbeat.DataCentre)).
		Msg("start withheld because the data centre is evacuated; the task is placed elsewhere")
}

// constraint is what limits the workers on which a step can run: its pool and its required label, which may be empty.
type constraint struct {
	pool  scheduler.PoolName
	label string
}

// logStepsWaitingForEvacuations logs the constraints of waiting steps that only workers in evacuated data centres meet,
// each one once until no such step waits or the evacuations change. The mutex must be held.
func (leadership *leadership) logStepsWaitingForEvacuations(steps []*waitingStep) {
	now := leadership.now()
	if len(leadership.evacuations.active) == 0 || now < leadership.evacuations.searchedAt+evacuationInterval {
		return
	}
	leadership.evacuations.searchedAt = now
	blocked := leadership.blockedSteps(steps)
	for constraint, count := range blocked {
		if leadership.evacuations.blocked[constraint] {
			continue
		}
		leadership.logger.Info().Str("event", "stepWaitsForEvacuation").Str("pool", string(constraint.pool)).
			Str("label", constraint.label).Int("steps", count.steps).Int("tasks", count.tasks).
			Msg("only workers in evacuated data centres can run the steps; they wait")
	}
	clear(leadership.evacuations.blocked)
	for constraint := range blocked {
		leadership.evacuations.blocked[constraint] = true
	}
}

// stepCount is a number of steps and of their waiting tasks.
type stepCount struct {
	steps int
	tasks int
}

// blockedSteps counts the steps that only workers in evacuated data centres can run, by constraint. The mutex must be
// held.
func (leadership *leadership) blockedSteps(steps []*waitingStep) map[constraint]stepCount {
	blocked := map[constraint]stepCount{}
	if len(steps) == 0 {
		return blocked
	}
	available, evacuated := leadership.metConstraints()
	for _, waiting := range steps {
		constraint := constraint{pool: waiting.step.Job().Queue().Pool, label: waiting.step.Spec().RequiredLabel}
		if available[constraint] || !evacuated[constraint] {
			continue
		}
		count := blocked[constraint]
		count.steps++
		count.tasks += len(waiting.tasks)
		blocked[constraint] = count
	}
	return blocked
}

// metConstraints returns the constraints that ready workers meet, outside and inside evacuated data centres. The mutex
// must be held.
func (leadership *leadership) metConstraints() (available, evacuated map[constraint]bool) {
	available, evacuated = map[constraint]bool{}, map[constraint]bool{}
	for _, instance := range leadership.instances {
		if !instance.hasHeartbeat || instance.heartbeat.Phase != scheduler.WorkerReady {
			continue
		}
		met := available
		if leadership.isInEvacuatedDataCentre(instance) {
			met = evacuated
		}
		met[constraint{pool: instance.heartbeat.Pool}] = true
		for _, label := range instance.heartbeat.Labels {
			met[constraint{pool: instance.heartbeat.Pool, label: label}] = true
		}
	}
	return available, evacuated
}
