package balancer

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// medianMinimum is below how many endpoints with enough samples no median is taken.
const medianMinimum = 3

// median returns the lower median latency of the candidates with enough samples, and how many are ejected.
func (balancer *Balancer) median(candidates []scheduler.Announcement, now time.Time) (time.Duration, int) {
	var latencies []time.Duration
	ejected := 0
	for _, candidate := range candidates {
		own := balancer.records[candidate.Endpoint]
		switch {
		case own == nil:
		case own.ejected(now):
			ejected++
		case own.samples >= slowSamples:
			latencies = append(latencies, own.latency)
		}
	}
	if len(latencies) < medianMinimum {
		return 0, ejected
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2], ejected
}
