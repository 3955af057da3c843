package jobkeeper

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/leaserecorder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// ObserveTerm implements scheduler.TermObserver.
func (keeper *Keeper) ObserveTerm(term scheduler.Term) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.state.leases = keeper.state.leases.Observe(term)
}

// recordLeases replaces the record of leases. The time at which this replica applies it is no part of the replicated state.
func (state *State) recordLeases(record *leaserecorder.Record) Status {
	leases, recorded := state.leases.Append(record, time.Now())
	if !recorded {
		return StatusSuperseded
	}
	state.leases = leases
	return StatusDone
}

// VisitLeaseBounds calls visit for each recorded bound of a lease that holds for the leader of a term. remaining is the time
// from now on after which the lease has expired for certain, and may be negative.
func (state *State) VisitLeaseBounds(
	leader scheduler.Term, visit func(bound *leaserecorder.Bound, remaining time.Duration),
) {
	state.leases.VisitBounds(leader, time.Now(), visit)
}

// restoreLeases takes over the record of a snapshot. Snapshots of earlier builds have none.
func (state *State) restoreLeases(stored *leaserecorder.History) {
	if stored == nil {
		state.leases = leaserecorder.Unknown()
		return
	}
	state.leases = stored.Restored(time.Now())
}
