package experimenter

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/placement/placer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// policy is the placement policy of a run. A function is nil if the policy lacks the mechanism.
type policy struct {
	placer scheduler.Placer
	// exactDeclarations replaces the declared sizes and run times by the actual ones.
	exactDeclarations bool
	observe           func(sim *simulation, report scheduler.UsageReport)
	// order selects and orders the batch tasks of a round.
	order     func(sim *simulation, pending []scheduler.PendingTask) []scheduler.PendingTask
	cancelled func(sim *simulation, j *job)
	// runEnded records metrics at the end of a run.
	runEnded  func(sim *simulation)
	attached  func(sim *simulation, t *task)
	detached  func(sim *simulation, t *task)
	usable    func(sim *simulation, w *simulatedWorker) bool
	submitted func(sim *simulation, j *job)
	failed    func(sim *simulation, t *task, w *simulatedWorker, started time.Duration)
	survived  func(sim *simulation, t *task)
	finished  func(sim *simulation, t *task, w *simulatedWorker, ran time.Duration, whole bool)
}

// policies maps names to constructors of policies.
var policies = map[string]func(sim *simulation) (*policy, error){
	"firstFit":          func(*simulation) (*policy, error) { return newBaseline(true, 0), nil },
	"leastLoaded":       func(*simulation) (*policy, error) { return newBaseline(false, 0), nil },
	"partition":         func(*simulation) (*policy, error) { return newBaseline(false, 0.3), nil },
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
		workers: map[scheduler.WorkerName]*baselineWorker{}, firstFit: firstFit, serviceShare: reserved,
	}}
}

// oracle is the placer with the actual sizes, run times, loads and interference.
func oracle(sim *simulation) (*policy, error) {
	p, err := placer.New(placer.WithEstimator(
		oracleEstimator{interferenceTable: sim.interferenceTable, load: sim.serviceLoad},
	))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &policy{placer: p, exactDeclarations: true}, nil
}

// blindPlacer is the placer without an estimator.
func blindPlacer(*simulation) (*policy, error) {
	p, err := placer.New()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &policy{placer: p, observe: func(_ *simulation, r scheduler.UsageReport) { p.Observe(r) }}, nil
}
