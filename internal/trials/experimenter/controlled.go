package experimenter

import (
	"github.com/crocusplank/crocusplank/internal/placement/controller"
	"github.com/crocusplank/crocusplank/internal/placement/estimator"
	"github.com/crocusplank/crocusplank/internal/placement/placer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// controlled is learned with the controller.
func controlled(*world) (*policy, error) {
	e := estimator.New()
	p, err := placer.New(placer.WithEstimator(e))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return withController(&policy{placer: p, observe: teach(e, p)}, e)
}

// blindControlled places blindly and leaves everything to the controller.
func blindControlled(*world) (*policy, error) {
	p, err := placer.New()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	e := estimator.New()
	return withController(&policy{placer: p, observe: teach(e, p)}, e)
}

// withController lets the controller decide about a worker whenever a report of it arrives.
func withController(p *policy, e *estimator.Estimator) (*policy, error) {
	c, err := controller.New(e)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	observe := p.observe
	p.observe = func(w *world, report scheduler.UsageReport) {
		observe(w, report)
		c.Observe(report)
		v := w.byName[report.Worker]
		for _, action := range c.Decide(epoch.Add(w.now), w.state(v)) {
			w.carryOut(action)
		}
	}
	return p, nil
}

// carryOut gives a command of the controller to the worker.
func (w *world) carryOut(action controller.Action) {
	t := w.tasks[action.Task]
	switch action.Kind {
	case controller.ActionThrottle:
		w.setThrottled(t, true)
	case controller.ActionRelease:
		w.setThrottled(t, false)
	case controller.ActionMove:
		w.evict(t, true)
	case controller.ActionStop:
		w.evict(t, false)
	}
}
