package experimenter

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/placement/estimator"
	"github.com/crocusplank/crocusplank/internal/placement/placer"
)

// without returns the policy controlled with changed options of the placer.
func without(options ...placer.Option) func(*world) (*policy, error) {
	return func(*world) (*policy, error) {
		e := estimator.New()
		p, err := placer.New(append(options, placer.WithEstimator(e))...)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		return withController(&policy{placer: p, observe: teach(e, p)}, e)
	}
}

var (
	withoutHarmLimit  = without(placer.WithInterferenceLimit(0, 0))
	withoutOvercommit = without(placer.WithOvercommit(1))
	// withoutPatience keeps work that harms every service waiting for ever.
	withoutPatience = without(placer.WithInterferenceLimit(0.2, 1000*time.Hour))
)
