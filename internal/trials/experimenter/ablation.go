package experimenter

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/placement/estimator"
	"github.com/crocusplank/crocusplank/internal/placement/placer"
)

// controlledWith returns a variant of the policy controlled with additional placer options. It serves ablation studies,
// in which one mechanism at a time is disabled.
func controlledWith(options ...placer.Option) func(*simulation) (*policy, error) {
	return func(*simulation) (*policy, error) {
		e := estimator.New()
		p, err := placer.New(append(options, placer.WithEstimator(e))...)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		return withController(&policy{placer: p, observe: observeReports(e, p)}, e)
	}
}

var (
	withoutHarmLimit  = controlledWith(placer.WithInterferenceLimit(0, 0))
	withoutOvercommit = controlledWith(placer.WithOvercommit(1))
	// withoutPatience keeps the interference limit practically constant instead of raising it with the wait time. A batch
	// task that exceeds the limit with every service then waits forever.
	withoutPatience = controlledWith(placer.WithInterferenceLimit(0.2, 1000*time.Hour))
)
