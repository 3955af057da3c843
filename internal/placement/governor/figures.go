package governor

import (
	"maps"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Figures are figures for metrics. They are those of the leader; elsewhere they are zero.
type Figures struct {
	Throttled   int
	Quarantined int
	// Evictions counts those that the governor decided since the process started.
	Evictions map[Cause]uint64
	// Shares holds the largest use of each configured team relative to its quota.
	Shares map[scheduler.TeamName]float64
}

// Figures returns the present figures.
func (governor *Governor) Figures() Figures {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.follow()
	figures := Figures{Evictions: maps.Clone(governor.evictions), Shares: map[scheduler.TeamName]float64{}}
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
		figures.Shares[name] = governor.quotas.keeper.DominantShare(name)
	}
	return figures
}
