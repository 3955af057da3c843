package balancer

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// minMedianEndpoints is the minimum number of endpoints with enough samples for a median.
const minMedianEndpoints = 3

// latencyMedian returns the lower median latency of the candidates with enough samples, or 0 if there are too few, and
// the number of ejected candidates.
func (balancer *Balancer) latencyMedian(candidates []scheduler.Announcement, now time.Time) (time.Duration, int) {
	var latencies []time.Duration
	ejected := 0
	for _, candidate := range candidates {
		state := balancer.states[candidate.Endpoint]
		switch {
		case state == nil:
		case state.ejected(now):
			ejected++
		case state.samples >= minLatencySamples:
			latencies = append(latencies, state.latency)
		}
	}
	if len(latencies) < minMedianEndpoints {
		return 0, ejected
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2], ejected
}
