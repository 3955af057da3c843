package experimenter

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/placement/placer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// policy is what a run measures. The functions are nil where a policy lacks the mechanism.
type policy struct {
	placer scheduler.Placer
	// declaresTruth gives the policy the true sizes and run times.
	declaresTruth bool
	observe       func(w *world, report scheduler.UsageReport)
	// order chooses and orders the batch tasks of a round.
	order     func(w *world, pending []scheduler.PendingTask) []scheduler.PendingTask
	cancelled func(w *world, j *job)
	// closing measures what is known at the end of a run.
	closing   func(w *world)
	attached  func(w *world, t *task)
	detached  func(w *world, t *task)
	usable    func(w *world, v *vm) bool
	submitted func(w *world, j *job)
	failed    func(w *world, t *task, v *vm, started time.Duration)
	survived  func(w *world, t *task)
	finished  func(w *world, t *task, v *vm, ran time.Duration, whole bool)
}

// policies builds the policies by name.
var policies = map[string]func(w *world) (*policy, error){
	"firstFit":          func(*world) (*policy, error) { return newBaseline(true, 0), nil },
	"leastLoaded":       func(*world) (*policy, error) { return newBaseline(false, 0), nil },
	"partition":         func(*world) (*policy, error) { return newBaseline(false, 0.3), nil },
	"oracle":            oracle,
	"blindPlacer":       blindPlacer,
	"learned":           learned,
	"constant":          constant,
	"observer":          observer,
	"controlled":        controlled,
	"quarantined":       quarantined,
	"fair":              fair,
	"predicting":        predicting,
	"withoutHarmLimit":  withoutHarmLimit,
	"withoutOvercommit": withoutOvercommit,
	"withoutPatience":   withoutPatience,
	"blindControlled":   blindControlled,
}

func newBaseline(firstFit bool, reserved float64) *policy {
	return &policy{placer: &baseline{
		hosts: map[scheduler.WorkerName]*baselineHost{}, firstFit: firstFit, reserved: reserved,
	}}
}

// oracle places with true sizes, true run times and true interference at the true load.
func oracle(w *world) (*policy, error) {
	p, err := placer.New(placer.WithEstimator(knownTruth{truth: w.truth, load: w.loadOf}))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &policy{placer: p, declaresTruth: true}, nil
}

// blindPlacer is the placer without an estimator.
func blindPlacer(*world) (*policy, error) {
	p, err := placer.New()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &policy{placer: p, observe: func(_ *world, r scheduler.UsageReport) { p.Observe(r) }}, nil
}
