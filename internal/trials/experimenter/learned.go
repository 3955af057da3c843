package experimenter

import (
	"fmt"
	"math"
	"slices"

	"github.com/crocusplank/crocusplank/internal/placement/estimator"
	"github.com/crocusplank/crocusplank/internal/placement/placer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// learned is the placer with the interference model, without any other mechanism.
func learned(*world) (*policy, error) {
	e := estimator.New()
	p, err := placer.New(placer.WithEstimator(e))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &policy{placer: p, observe: teach(e, p)}, nil
}

// constant is learned without the learning: every pairing counts with the same prior.
func constant(*world) (*policy, error) {
	p, err := placer.New(placer.WithEstimator(estimator.New()))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &policy{placer: p, observe: func(_ *world, r scheduler.UsageReport) { p.Observe(r) }}, nil
}

// observer places like leastLoaded and only measures the estimator, whose error then does not depend
// on what the policy avoids.
func observer(*world) (*policy, error) {
	p, err := placer.New()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	base := newBaseline(false, 0)
	base.observe = teach(estimator.New(), p)
	return base, nil
}

// teach passes reports to the estimator and the placer and measures the estimator's error.
func teach(e *estimator.Estimator, p *placer.Placer) func(*world, scheduler.UsageReport) {
	reports := 0
	return func(w *world, report scheduler.UsageReport) {
		p.Observe(report)
		if err := e.Observe(report, w.byName[report.Worker].worker.Capacity.MilliCores); err != nil {
			return
		}
		reports++
		if slices.Contains(errorAfter, reports) {
			w.measure.extra[fmt.Sprintf("estimateError%d", reports)] = estimateError(w, e)
		}
	}
}

// errorAfter lists the numbers of reports after which the estimator's error is measured.
var errorAfter = []int{1, 100, 300, 1000, 3000, 10000, 30000}

// estimateError returns the mean absolute error over all pairings at the present load, relative to the
// mean true harm. Always answering the prior of 0.5 is the figure after one report.
func estimateError(w *world, e *estimator.Estimator) float64 {
	var wrong, sum float64
	for s := range serviceCount {
		load := w.loadOf(s)
		for k := range kindCount {
			want := w.truth.at(s, k, load)
			got := e.Interference(scheduler.Colocation{
				Service: serviceName(s), Kind: kindName(k), Load: scheduler.LoadLevelOf(load),
			})
			wrong += math.Abs(got.Interference - want)
			sum += want
		}
	}
	return wrong / sum
}
