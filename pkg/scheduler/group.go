package scheduler

import (
	"context"
	"io"
)

// StateMachine is the state machine that a group replicates. The group calls it from one goroutine at a time.
type StateMachine interface {
	// Apply executes a committed command and returns its result to the proposer. It must be deterministic:
	// it must not read a clock, a random source or any state outside the state machine. Apply never fails;
	// for an invalid or conflicting command, the result states why it was rejected.
	Apply(index Index, command []byte) (result []byte)
	// Snapshot writes the complete state to w.
	Snapshot(w io.Writer) error
	// Restore replaces the state with one that Snapshot has written.
	Restore(r io.Reader) error
}

// TermObserver is implemented by a state machine that depends on which leaders there have been.
type TermObserver interface {
	// ObserveTerm is called before the first entry of a term is applied, whether or not that entry is a command. After a
	// start or a restored snapshot it may be called again with a term that it knows. Like Apply, it must be deterministic.
	ObserveTerm(term Term)
}

// Group is a replicated log with a state machine. It is safe for concurrent use.
type Group interface {
	// Name returns the name of the group.
	Name() GroupName
	// Propose replicates command and returns the result of the state machine once the command has been
	// committed and applied. Any VM of the group may propose; followers forward to the leader. Propose
	// returns an error of class ErrNotRun if the command has not been committed and never will be, and of
	// class ErrOutcomeUnknown if that cannot be determined, for example because ctx ended while the command
	// was in flight.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier blocks until the local state machine has applied every entry that was committed before the
	// call, so that a subsequent local read is linearizable. It returns an error if no leader with a majority
	// responds.
	ReadBarrier(ctx context.Context) error
	// Status returns the current status of this VM in the group.
	Status() GroupStatus
	// HoldsLeaderLease reports whether this VM is the leader and currently holds a valid leader lease.
	// Actions that bypass the log, such as commands to workers and grants of shares, require it.
	HoldsLeaderLease() bool
}

// Candidacy lets a VM withdraw from leading its group, for example because a part of it that a leader needs stands still.
// It is safe for concurrent use.
type Candidacy interface {
	// Withdraw makes the VM hand over the leadership, if it has it, and not stand for election until Restore. It does not
	// wait for that. The VM still replicates and votes.
	Withdraw(reason string)
	// Restore lets the VM lead again.
	Restore()
}

// GroupRole is the role of a VM in a group.
type GroupRole string

// Values of GroupRole.
const (
	GroupLeader    GroupRole = "leader"
	GroupCandidate GroupRole = "candidate"
	GroupFollower  GroupRole = "follower"
	GroupLearner   GroupRole = "learner"
)

// GroupStatus is a point-in-time view of the status of one VM in a group.
type GroupStatus struct {
	role    GroupRole
	term    Term
	leader  VMName
	commit  Index
	applied Index
	voters  []VMName
}

// NewGroupStatus returns a GroupStatus. The leader is empty if it is unknown.
func NewGroupStatus(role GroupRole, term Term, leader VMName, commit, applied Index, voters []VMName) GroupStatus {
	return GroupStatus{role: role, term: term, leader: leader, commit: commit, applied: applied, voters: voters}
}

// Role returns the role of the VM in the group.
func (groupStatus GroupStatus) Role() GroupRole { return groupStatus.role }

// Term returns the highest term that the VM has seen.
func (groupStatus GroupStatus) Term() Term { return groupStatus.term }

// Leader returns the leader of the term, or an empty name if it is unknown.
func (groupStatus GroupStatus) Leader() VMName { return groupStatus.leader }

// Commit returns the highest index that the VM knows to be committed.
func (groupStatus GroupStatus) Commit() Index { return groupStatus.commit }

// Applied returns the highest index that the local state machine has applied.
func (groupStatus GroupStatus) Applied() Index { return groupStatus.applied }

// Voters returns the names of the group's voters.
func (groupStatus GroupStatus) Voters() []VMName { return groupStatus.voters }
