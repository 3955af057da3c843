package governor

import (
	"maps"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Stats holds the values for the placement metrics. Only the leader has them; on other VMs they are zero.
type Stats struct {
	Throttled   int
	Quarantined int
	// Evictions counts the evictions that the governor has decided on since the process started.
	Evictions map[EvictionCause]uint64
	// DominantShares holds, for each configured team, the largest fraction of a resource of its quota in use.
	DominantShares map[scheduler.TeamName]float64
}

// Stats returns the current values.
func (governor *Governor) Stats() Stats {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.syncTerm()
	stats := Stats{Evictions: maps.Clone(governor.evictions), DominantShares: map[scheduler.TeamName]float64{}}
	for name, state := range governor.leaseTable.states {
		if governor.quarantined[name] {
			stats.Quarantined++
		}
		for _, task := range state.Tasks {
			if task.Throttled {
				stats.Throttled++
			}
		}
	}
	for name := range governor.teams {
		stats.DominantShares[name] = governor.quotas.keeper.DominantShare(name)
	}
	return stats
}
