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

// evacuations is the leadership's view of evacuated data centres. The leadership's mutex guards it. Decisions between
// planning cycles, such as planStart, read the replicated state instead.
type evacuations struct {
	// active holds the evacuated data centres, as of the last planning cycle.
	active     map[scheduler.DataCentreName]*evacuationProgress
	observedAt time.Duration
	// waiting holds the waiting steps that were logged because only evacuated workers can run them. searchedAt is when
	// they were last searched for.
	waiting    map[stepKey]bool
	searchedAt time.Duration
}

// evacuationProgress is the progress of one evacuation.
type evacuationProgress struct {
	beganAt time.Time
	// empty is true once no task is left in the data centre.
	empty bool
}

func newEvacuations() evacuations {
	return evacuations{
		active:  map[scheduler.DataCentreName]*evacuationProgress{},
		waiting: map[stepKey]bool{},
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

// resetGauges sets the gauges to 0, because only the leader's values are current.
func (evacuationMetrics *evacuationMetrics) resetGauges() {
	evacuationMetrics.dataCentres.Update(0)
	evacuationMetrics.tasks.Update(0)
}

// refreshEvacuations reads the evacuated data centres from the replicated state. The mutex must be held.
func (leadership *leadership) refreshEvacuations(state *jobkeeper.State) {
	active := leadership.evacuations.active
	state.VisitEvacuations(func(dataCentre scheduler.DataCentreName, evacuation jobkeeper.Evacuation) {
		_, known := active[dataCentre]
		if known == evacuation.Active() {
			return
		}
		if evacuation.Active() {
			active[dataCentre] = &evacuationProgress{beganAt: evacuation.ChangedAt()}
		} else {
			delete(active, dataCentre)
		}
		clear(leadership.evacuations.waiting)
		leadership.overseer.metrics.evacuation.dataCentres.Update(float64(len(active)))
		leadership.logger.Info().Str("event", "evacuationChanged").Str("dataCentre", string(dataCentre)).
			Bool("evacuated", evacuation.Active()).Uint64("revision", evacuation.Revision()).
			Time("changedAt", evacuation.ChangedAt()).Msg("the leader follows the evacuation state of a data centre")
	})
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
		if left[dataCentre] == 0 && !progress.empty {
			leadership.recordEmpty(dataCentre, progress)
		}
	}
}

// recordEmpty records that no task is left in an evacuated data centre. The mutex must be held.
func (leadership *leadership) recordEmpty(dataCentre scheduler.DataCentreName, progress *evacuationProgress) {
	progress.empty = true
	took := time.Since(progress.beganAt)
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

// logStepsWaitingForEvacuations logs each waiting step that only workers in evacuated data centres can run, once for each
// change of the evacuations. The mutex must be held.
func (leadership *leadership) logStepsWaitingForEvacuations(steps []*waitingStep) {
	now := leadership.now()
	if len(leadership.evacuations.active) == 0 || len(steps) == 0 || now < leadership.evacuations.searchedAt+evacuationInterval {
		return
	}
	leadership.evacuations.searchedAt = now
	available, evacuated := map[constraint]bool{}, map[constraint]bool{}
	for _, instance := range leadership.instances {
		if !instance.hasHeartbeat || instance.heartbeat.Phase != scheduler.WorkerReady {
			continue
		}
		constraints := available
		if leadership.isInEvacuatedDataCentre(instance) {
			constraints = evacuated
		}
		constraints[constraint{pool: instance.heartbeat.Pool}] = true
		for _, label := range instance.heartbeat.Labels {
			constraints[constraint{pool: instance.heartbeat.Pool, label: label}] = true
		}
	}
	for _, waiting := range steps {
		step := waiting.step
		constraint := constraint{pool: step.Job().Queue().Pool, label: step.Spec().RequiredLabel}
		key := stepKey{job: step.Job().ID(), occurrence: step.Occurrence(), step: step.Number()}
		if available[constraint] || !evacuated[constraint] || leadership.evacuations.waiting[key] {
			continue
		}
		leadership.evacuations.waiting[key] = true
		leadership.logger.Info().Str("event", "stepWaitsForEvacuation").Str("job", string(key.job)).Int("step", key.step).
			Int("occurrence", key.occurrence).Str("pool", string(constraint.pool)).Str("label", constraint.label).
			Int("tasks", len(waiting.tasks)).Msg("only workers in evacuated data centres can run the step; it waits")
	}
}
