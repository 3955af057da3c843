// Package controller keeps latency-critical services prompt after placement: it throttles batch tasks
// on a worker whose services have become slow, then moves them, then stops them. It decides from
// usage reports and time only.
package controller

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("controller")

// ActionKind is what to do with a task.
type ActionKind string

// Values of ActionKind, from the cheapest to the dearest.
const (
	// ActionRelease ends the throttling of a task.
	ActionRelease ActionKind = "release"
	// ActionThrottle reduces the processors of a task.
	ActionThrottle ActionKind = "throttle"
	// ActionMove checkpoints a task and stops it, so that it is placed again.
	ActionMove ActionKind = "move"
	// ActionStop stops a task that cannot be checkpointed, so that it starts again elsewhere.
	ActionStop ActionKind = "stop"
)

// Action is a decision about one task.
type Action struct {
	Kind   ActionKind
	Task   scheduler.TaskID
	Worker scheduler.WorkerName
	Reason string
}

// InterferenceModel is what the controller needs to know of interference.
type InterferenceModel interface {
	scheduler.Estimator
	// Baseline returns the 99th latency percentile of a service without neighbours, and whether
	// it is known.
	Baseline(service string, level scheduler.LoadLevel) (time.Duration, bool)
}

// Defaults of the options.
const (
	// defaultLimit is the rise of the 99th percentile that is tolerated. At 0.5 the controller cost
	// 4.6% throughput on a full fleet, at 0.75 it costs 1.2% and cuts the 99.9th percentile as well.
	defaultLimit = 0.75
	// defaultHold is how long a worker must have been calm before a task is released.
	defaultHold = 2 * time.Minute
	// maxHold bounds the growth of the hold after releases that had to be taken back.
	maxHold = 30 * time.Minute
	// releaseShare is the share of the limit below which a worker counts as calm. The gap
	// between the two keeps the controller from switching on the noise of the reports.
	releaseShare = 0.5
	// confirmations is the number of successive reports that must agree before an action.
	confirmations = 3
	// effectTime is how long an action takes to reach the worker.
	effectTime = 5 * time.Second
	// throttledShare is the share of its processors that a throttled task keeps.
	throttledShare = 0.25
	// significant is the share of the excess below which acting on a task is not worth it.
	significant = 0.05
)

// Controller keeps what it knows of each worker. It is used from one goroutine at a time.
type Controller struct {
	source  InterferenceModel
	limit   float64
	hold    time.Duration
	workers map[scheduler.WorkerName]*watch
}

// watch is the controller's view of one worker.
type watch struct {
	newest time.Time
	// excess holds, for the last reports from after the last action, how far the slowest
	// service was above its baseline.
	excess  []float64
	service string
	level   scheduler.LoadLevel
	acted   time.Time
	calm    time.Time
	hold    time.Duration
	// released is when the last release was; throttling again soon after lengthens the hold.
	released time.Time
}

// Option changes a Controller that New builds.
type Option func(*Controller)

// WithSlowdownLimit sets the tolerated relative rise of a service's 99th latency percentile.
func WithSlowdownLimit(limit float64) Option {
	return func(controller *Controller) { controller.limit = limit }
}

// WithReleaseDelay sets how long a worker must have been calm before a task is released.
func WithReleaseDelay(hold time.Duration) Option {
	return func(controller *Controller) { controller.hold = hold }
}

// New returns a Controller. It returns an error when an option is out of range.
func New(source InterferenceModel, options ...Option) (*Controller, error) {
	controller := &Controller{
		source: source, limit: defaultLimit, hold: defaultHold, workers: map[scheduler.WorkerName]*watch{},
	}
	for _, option := range options {
		option(controller)
	}
	if controller.limit <= 0 || controller.hold <= 0 || controller.hold > maxHold {
		return nil, Error.New("limit %v or hold %v is out of range", controller.limit, controller.hold)
	}
	return controller, nil
}

// Remove forgets a worker.
func (controller *Controller) Remove(worker scheduler.WorkerName) {
	delete(controller.workers, worker)
}

// ActionCompleted tells that an action on a worker has had its effect now, later than Decide returned it. Reports
// from before do not count.
func (controller *Controller) ActionCompleted(worker scheduler.WorkerName, now time.Time) {
	if w := controller.workers[worker]; w != nil {
		w.acted, w.excess, w.calm = now, w.excess[:0], time.Time{}
	}
}

// Observe takes over a report. Reports from before the last action on the worker, and reports older
// than one already seen, do not count: they cannot show what the action did.
func (controller *Controller) Observe(report scheduler.UsageReport) {
	w := controller.workers[report.Worker]
	if w == nil {
		w = &watch{hold: controller.hold}
		controller.workers[report.Worker] = w
	}
	if !report.Until.After(w.newest) || report.From.Before(w.acted.Add(effectTime)) {
		return
	}
	worst, known := -1.0, false
	for _, task := range report.Tasks {
		if task.Class != scheduler.ClassLatencyCritical || task.Latency <= 0 {
			continue
		}
		level := scheduler.LoadLevelOf(task.Load)
		baseline, ok := controller.source.Baseline(task.Kind, level)
		if !ok {
			continue
		}
		if excess := float64(task.Latency)/float64(baseline) - 1; !known || excess > worst {
			worst, known = excess, true
			w.service, w.level = task.Kind, level
		}
	}
	w.newest = report.Until
	if !known {
		worst = 0
	}
	w.excess = append(w.excess, worst)
	if len(w.excess) > confirmations {
		w.excess = w.excess[1:]
	}
	if worst > releaseShare*controller.limit {
		w.calm = time.Time{}
	} else if w.calm.IsZero() {
		w.calm = report.From
	}
}

// Decide returns the actions for one worker, none while reports from after the last action are
// missing.
func (controller *Controller) Decide(now time.Time, state scheduler.WorkerState) []Action {
	w := controller.workers[state.Worker.Name]
	if w == nil || len(w.excess) < confirmations {
		return nil
	}
	var actions []Action
	if slow := w.confirmed(); slow > controller.limit {
		actions = controller.relieve(now, w, state, slow)
	} else if !w.calm.IsZero() && w.newest.Sub(w.calm) >= w.hold {
		actions = controller.release(now, w, state)
	}
	if len(actions) > 0 {
		w.acted, w.excess, w.calm = now, w.excess[:0], time.Time{}
	}
	return actions
}

// confirmed returns the excess that all recent reports reached.
func (w *watch) confirmed() float64 {
	least := w.excess[0]
	for _, excess := range w.excess[1:] {
		least = min(least, excess)
	}
	return least
}
