package experimenter

import (
	"github.com/crocusplank/crocusplank/internal/placement/controller"
	"github.com/crocusplank/crocusplank/internal/placement/estimator"
	"github.com/crocusplank/crocusplank/internal/placement/placer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// controlled is the policy learned plus the interference controller, which throttles, moves and stops running tasks.
func controlled(*simulation) (*policy, error) {
	e := estimator.New()
	p, err := placer.New(placer.WithEstimator(e))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return withController(&policy{placer: p, observe: observeReports(e, p)}, e)
}

// blindControlled places without an estimator and relies on the controller alone against interference.
func blindControlled(*simulation) (*policy, error) {
	p, err := placer.New()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	e := estimator.New()
	return withController(&policy{placer: p, observe: observeReports(e, p)}, e)
}

// withController adds a controller to a policy. The controller decides about a worker each time a usage report of it
// arrives.
func withController(p *policy, e *estimator.Estimator) (*policy, error) {
	c, err := controller.New(e)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	observe := p.observe
	p.observe = func(sim *simulation, report scheduler.UsageReport) {
		observe(sim, report)
		c.Observe(report)
		w := sim.workersByName[report.Worker]
		for _, action := range c.Decide(epoch.Add(sim.now), sim.state(w)) {
			sim.applyAction(action)
		}
	}
	return p, nil
}

// applyAction applies an action of the controller to its task.
func (sim *simulation) applyAction(action controller.Action) {
	t := sim.tasks[action.Task]
	switch action.Kind {
	case controller.ActionThrottle:
		sim.setThrottled(t, true)
	case controller.ActionRelease:
		sim.setThrottled(t, false)
	case controller.ActionMove:
		sim.evict(t, true)
	case controller.ActionStop:
		sim.evict(t, false)
	}
}
