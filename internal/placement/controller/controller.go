// Package controller protects the latency of latency-critical services after placement. On a worker whose services
// have become slow, it first throttles batch tasks, then moves them, and stops those that cannot be moved. Its
// decisions depend only on usage reports and the time.
package controller

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("controller")

// ActionKind is the kind of an action.
type ActionKind string

// Values of ActionKind, in the order of increasing cost.
const (
	// ActionRelease ends the throttling of a task.
	ActionRelease ActionKind = "release"
	// ActionThrottle reduces the CPUs that a task may use.
	ActionThrottle ActionKind = "throttle"
	// ActionMove checkpoints a task and stops it, so that it is rescheduled.
	ActionMove ActionKind = "move"
	// ActionStop stops a task that has no checkpoint, so that it is restarted from the beginning elsewhere.
	ActionStop ActionKind = "stop"
)

// Action is an action on one task.
type Action struct {
	Kind   ActionKind
	Task   scheduler.TaskID
	Worker scheduler.WorkerName
	Reason string
}

// InterferenceModel estimates interference and provides the baseline latency of services.
type InterferenceModel interface {
	scheduler.Estimator
	// Baseline returns the 99th percentile latency of a service without co-located batch tasks, and whether it
	// is known.
	Baseline(service string, level scheduler.LoadLevel) (time.Duration, bool)
}

// Defaults of the options.
const (
	// defaultSlowdownLimit is the tolerated relative increase of the 99th percentile latency. On a fully loaded
	// cluster, the controller reduced throughput by 4.6% at a limit of 0.5 and by 1.2% at 0.75, which reduces the
	// 99.9th percentile latency too.
	defaultSlowdownLimit = 0.75
	// defaultReleaseDelay is how long a worker must have been calm before a task is released. A worker is calm while
	// no service exceeds releaseFraction of the slowdown limit.
	defaultReleaseDelay = 2 * time.Minute
	// maxReleaseDelay limits the release delay, which is doubled when released tasks have to be throttled again.
	maxReleaseDelay = 30 * time.Minute
	// releaseFraction is the fraction of the slowdown limit up to which a worker is calm. The hysteresis prevents
	// the controller from reacting to noise in the reports.
	releaseFraction = 0.5
	// requiredReports is the number of consecutive reports that must agree before an action is taken.
	requiredReports = 3
	// actionDelay is the time until an action has reached the worker.
	actionDelay = 5 * time.Second
	// throttledFraction is the fraction of its CPUs that a throttled task keeps.
	throttledFraction = 0.25
	// minContribution is the smallest contribution of a task, as a fraction of the excess slowdown, for which an
	// action on the task is worthwhile.
	minContribution = 0.05
)

// Controller decides on actions for each worker. It is not safe for concurrent use.
type Controller struct {
	model         InterferenceModel
	slowdownLimit float64
	releaseDelay  time.Duration
	workers       map[scheduler.WorkerName]*workerMonitor
}

// workerMonitor holds the latency measurements of one worker.
type workerMonitor struct {
	latestReport time.Time
	// slowdowns holds the slowdown of the slowest service relative to its baseline, for each of the most recent
	// reports since the last action.
	slowdowns    []float64
	service      string
	level        scheduler.LoadLevel
	lastAction   time.Time
	calmSince    time.Time
	releaseDelay time.Duration
	// lastRelease is when a task was last released. Throttling again soon after that increases releaseDelay.
	lastRelease time.Time
}

// Option configures a Controller.
type Option func(*Controller)

// WithSlowdownLimit sets the tolerated relative increase of a service's 99th percentile latency.
func WithSlowdownLimit(slowdownLimit float64) Option {
	return func(controller *Controller) { controller.slowdownLimit = slowdownLimit }
}

// WithReleaseDelay sets how long a worker must have been calm before a task is released.
func WithReleaseDelay(releaseDelay time.Duration) Option {
	return func(controller *Controller) { controller.releaseDelay = releaseDelay }
}

// New returns a Controller. It returns an error if an option is out of range.
func New(model InterferenceModel, options ...Option) (*Controller, error) {
	controller := &Controller{
		model: model, slowdownLimit: defaultSlowdownLimit, releaseDelay: defaultReleaseDelay,
		workers: map[scheduler.WorkerName]*workerMonitor{},
	}
	for _, option := range options {
		option(controller)
	}
	if controller.slowdownLimit <= 0 || controller.releaseDelay <= 0 || controller.releaseDelay > maxReleaseDelay {
		return nil, Error.New("slowdown limit %v or release delay %v is out of range",
			controller.slowdownLimit, controller.releaseDelay)
	}
	return controller, nil
}

// Remove removes a worker and its measurements.
func (controller *Controller) Remove(worker scheduler.WorkerName) {
	delete(controller.workers, worker)
}

// ActionCompleted records that an action on a worker has taken effect only now, some time after Decide returned it.
// Reports from before now are ignored.
func (controller *Controller) ActionCompleted(worker scheduler.WorkerName, now time.Time) {
	if monitor := controller.workers[worker]; monitor != nil {
		monitor.lastAction, monitor.slowdowns, monitor.calmSince = now, monitor.slowdowns[:0], time.Time{}
	}
}

// Observe processes a usage report. It ignores reports from before the last action on the worker took effect, because
// they do not show the effect, and reports that are not newer than the latest one.
func (controller *Controller) Observe(report scheduler.UsageReport) {
	monitor := controller.workers[report.Worker]
	if monitor == nil {
		monitor = &workerMonitor{releaseDelay: controller.releaseDelay}
		controller.workers[report.Worker] = monitor
	}
	if !report.Until.After(monitor.latestReport) || report.From.Before(monitor.lastAction.Add(actionDelay)) {
		return
	}
	worst, known := -1.0, false
	for _, task := range report.Tasks {
		if task.Class != scheduler.ClassLatencyCritical || task.Latency <= 0 {
			continue
		}
		level := scheduler.LoadLevelOf(task.Load)
		baseline, ok := controller.model.Baseline(task.Kind, level)
		if !ok {
			continue
		}
		if slowdown := float64(task.Latency)/float64(baseline) - 1; !known || slowdown > worst {
			worst, known = slowdown, true
			monitor.service, monitor.level = task.Kind, level
		}
	}
	monitor.latestReport = report.Until
	if !known {
		worst = 0
	}
	monitor.slowdowns = append(monitor.slowdowns, worst)
	if len(monitor.slowdowns) > requiredReports {
		monitor.slowdowns = monitor.slowdowns[1:]
	}
	if worst > releaseFraction*controller.slowdownLimit {
		monitor.calmSince = time.Time{}
	} else if monitor.calmSince.IsZero() {
		monitor.calmSince = report.From
	}
}

// Decide returns the actions for one worker. It returns none until enough reports since the last action have arrived.
func (controller *Controller) Decide(now time.Time, state scheduler.WorkerState) []Action {
	monitor := controller.workers[state.Worker.Name]
	if monitor == nil || len(monitor.slowdowns) < requiredReports {
		return nil
	}
	var actions []Action
	if slowdown := monitor.minSlowdown(); slowdown > controller.slowdownLimit {
		actions = controller.reduceInterference(now, monitor, state, slowdown)
	} else if !monitor.calmSince.IsZero() && monitor.latestReport.Sub(monitor.calmSince) >= monitor.releaseDelay {
		actions = controller.release(now, monitor, state)
	}
	if len(actions) > 0 {
		monitor.lastAction, monitor.slowdowns, monitor.calmSince = now, monitor.slowdowns[:0], time.Time{}
	}
	return actions
}

// minSlowdown returns the smallest slowdown of the recent reports.
func (monitor *workerMonitor) minSlowdown() float64 {
	minimum := monitor.slowdowns[0]
	for _, slowdown := range monitor.slowdowns[1:] {
		minimum = min(minimum, slowdown)
	}
	return minimum
}
