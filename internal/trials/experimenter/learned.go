package experimenter

import (
	"fmt"
	"math"
	"slices"

	"github.com/crocusplank/crocusplank/internal/placement/estimator"
	"github.com/crocusplank/crocusplank/internal/placement/placer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// learned is the placer with an estimator that learns interference from usage reports, without any other mechanism.
func learned(*simulation) (*policy, error) {
	e := estimator.New()
	p, err := placer.New(placer.WithEstimator(e))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &policy{placer: p, observe: observeReports(e, p)}, nil
}

// constant is learned with an estimator that gets no reports, so that it answers the same prior for every pairing.
func constant(*simulation) (*policy, error) {
	p, err := placer.New(placer.WithEstimator(estimator.New()))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &policy{placer: p, observe: func(_ *simulation, r scheduler.UsageReport) { p.Observe(r) }}, nil
}

// observer places like leastLoaded and only measures the estimator's error, which then does not depend on the pairings
// that a policy avoids.
func observer(*simulation) (*policy, error) {
	p, err := placer.New()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	base := newBaseline(false, 0)
	base.observe = observeReports(estimator.New(), p)
	return base, nil
}

// observeReports returns an observe function that passes reports to the placer and the estimator and records the
// estimator's error.
func observeReports(e *estimator.Estimator, p *placer.Placer) func(*simulation, scheduler.UsageReport) {
	reports := 0
	return func(sim *simulation, report scheduler.UsageReport) {
		p.Observe(report)
		if err := e.Observe(report, sim.workersByName[report.Worker].worker.Capacity.MilliCores); err != nil {
			return
		}
		reports++
		if slices.Contains(errorSampleCounts, reports) {
			sim.recorder.extra[fmt.Sprintf("estimateError%d", reports)] = estimateError(sim, e)
		}
	}
}

// errorSampleCounts lists the numbers of reports after which the estimator's error is recorded.
var errorSampleCounts = []int{1, 100, 300, 1000, 3000, 10000, 30000}

// estimateError returns the mean absolute error over all pairings at the current load, relative to the mean actual
// interference. Its value after one report is that of an estimator that always answers the prior of 0.5.
func estimateError(sim *simulation, e *estimator.Estimator) float64 {
	var wrong, sum float64
	for s := range serviceCount {
		load := sim.serviceLoad(s)
		for k := range kindCount {
			want := sim.interferenceTable.at(s, k, load)
			got := e.Interference(scheduler.Colocation{
				Service: serviceName(s), Kind: kindName(k), Load: scheduler.LoadLevelOf(load),
			})
			wrong += math.Abs(got.Interference - want)
			sum += want
		}
	}
	return wrong / sum
}
