package governor

import (
	"maps"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Stats are figures for metrics. They are those of the leader; elsewhere they are zero.
type Stats struct {
	Throttled   int
	Quarantined int
	// Evictions counts those that the governor decided since the process started.
	Evictions map[EvictionCause]uint64
	// DominantShares holds the largest use of each configured team relative to its quota.
	DominantShares map[scheduler.TeamName]float64
}

// Stats returns the present figures.
func (governor *Governor) Stats() Stats {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.follow()
	figures := Stats{Evictions: maps.Clone(governor.evictions), DominantShares: map[scheduler.TeamName]float64{}}
	for name, state := range governor.ledger.states {
		if governor.quarantined[name] {
			figures.Quarantined++
		}
		for _, task := range state.Tasks {
			if task.Throttled {
				figures.Throttled++
			}
		}
	}
	for name := range governor.teams {
		figures.DominantShares[name] = governor.quotas.keeper.Share(name)
	}
	return figures
}
