package jobkeeper

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// withdrawalRetention is how long a withdrawal is kept. It is much longer than callers, VMs and the network delay a
	// submission.
	withdrawalRetention = 10 * time.Minute
	// maxWithdrawals is the maximum number of withdrawals that are kept. It bounds the state if callers cancel jobs that
	// do not exist.
	maxWithdrawals = 10_000
)

// Withdraw cancels a job that may not have been submitted yet. If its submission is accepted later, the job is cancelled
// from the beginning.
type Withdraw struct {
	_   struct{} `cbor:",toarray"`
	Job scheduler.JobID
	// Requested is the time of the request by the leader's wall clock.
	Requested time.Time
}

// withdrawal is a job that was cancelled before its submission was accepted.
type withdrawal struct {
	job       scheduler.JobID
	requested time.Time
}

// withdraw cancels a job, or records the withdrawal of a job that is not known.
func (state *State) withdraw(withdraw *Withdraw) Status {
	if status := state.cancel(withdraw.Job); status != StatusUnknownJob {
		return status
	}
	if _, known := state.withdrawn[withdraw.Job]; known {
		return StatusUnknownJob
	}
	state.dropWithdrawals(withdraw.Requested.Add(-withdrawalRetention))
	state.addWithdrawal(withdrawal{job: withdraw.Job, requested: withdraw.Requested})
	return StatusUnknownJob
}

func (state *State) addWithdrawal(added withdrawal) {
	state.withdrawals = append(state.withdrawals, added)
	state.withdrawn[added.job] = struct{}{}
}

// dropWithdrawals drops the oldest withdrawals: those requested before a time, and as many as are needed to add another
// one.
func (state *State) dropWithdrawals(before time.Time) {
	for len(state.withdrawals) > 0 &&
		(len(state.withdrawals) >= maxWithdrawals || state.withdrawals[0].requested.Before(before)) {
		delete(state.withdrawn, state.withdrawals[0].job)
		state.withdrawals = state.withdrawals[1:]
	}
}

// takeWithdrawal reports whether a job was withdrawn. The withdrawal is removed, because from now on the job itself
// records its cancellation.
func (state *State) takeWithdrawal(job scheduler.JobID) bool {
	if _, known := state.withdrawn[job]; !known {
		return false
	}
	delete(state.withdrawn, job)
	state.withdrawals = slices.DeleteFunc(state.withdrawals, func(known withdrawal) bool { return known.job == job })
	return true
}

// storedWithdrawal is the encoding of a withdrawal in a snapshot.
type storedWithdrawal struct {
	_         struct{} `cbor:",toarray"`
	Job       scheduler.JobID
	Requested time.Time
}

func (state *State) storeWithdrawals() []storedWithdrawal {
	var stored []storedWithdrawal
	for _, known := range state.withdrawals {
		stored = append(stored, storedWithdrawal{Job: known.job, Requested: known.requested})
	}
	return stored
}

func (state *State) restoreWithdrawals(stored []storedWithdrawal) {
	for _, known := range stored {
		state.addWithdrawal(withdrawal{job: known.Job, requested: known.Requested})
	}
}
