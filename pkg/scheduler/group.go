package scheduler

import (
	"context"
	"io"
)

// StateMachine is state that a group replicates. The group calls it from one goroutine at a time.
type StateMachine interface {
	// Apply executes a committed command and returns its result for the proposer. It is
	// deterministic: it reads no clock, random source or state outside the machine. A command
	// that is invalid or conflicts returns its refusal as a result; Apply itself never fails.
	Apply(index Index, command []byte) (result []byte)
	// Snapshot writes the whole state to w.
	Snapshot(w io.Writer) error
	// Restore replaces the state by one that Snapshot wrote.
	Restore(r io.Reader) error
}

// Group is a replicated log with a state machine. It is safe for concurrent use.
type Group interface {
	// Name returns the name of the group.
	Name() GroupName
	// Propose replicates command and returns the state machine's result once the command is
	// committed and applied. Any VM of the group may propose; followers forward to the leader.
	// It returns an error of class ErrNotRun when the command was surely not and will never be
	// committed, and of class ErrUnknown when that cannot be told, for example because ctx
	// ended while the command was under way.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns when the local state machine has applied every entry that was
	// committed before the call. It returns an error when no leader with a majority answers.
	ReadBarrier(ctx context.Context) error
	// Status returns the current state of this VM in the group.
	Status() GroupStatus
	// HoldsLeaderLease reports whether this VM is the leader and its leader lease is valid now.
	// Actions outside the log, such as commands to workers and share grants, need it.
	HoldsLeaderLease() bool
}

// GroupRole is the part that a VM plays in a group.
type GroupRole string

// Values of GroupRole.
const (
	GroupLeader    GroupRole = "leader"
	GroupCandidate GroupRole = "candidate"
	GroupFollower  GroupRole = "follower"
	GroupLearner   GroupRole = "learner"
)

// GroupStatus is a view of one VM's state in a group at one moment.
type GroupStatus struct {
	role    GroupRole
	term    Term
	leader  VMName
	commit  Index
	applied Index
	voters  []VMName
}

// NewGroupStatus returns a GroupStatus. The leader is empty when it is not known.
func NewGroupStatus(role GroupRole, term Term, leader VMName, commit, applied Index, voters []VMName) GroupStatus {
	return GroupStatus{role: role, term: term, leader: leader, commit: commit, applied: applied, voters: voters}
}

// Role returns the VM's part in the group.
func (groupStatus GroupStatus) Role() GroupRole { return groupStatus.role }

// Term returns the highest term that the VM has seen.
func (groupStatus GroupStatus) Term() Term { return groupStatus.term }

// Leader returns the leader of the term, or an empty name when it is not known.
func (groupStatus GroupStatus) Leader() VMName { return groupStatus.leader }

// Commit returns the highest index that the VM knows to be committed.
func (groupStatus GroupStatus) Commit() Index { return groupStatus.commit }

// Applied returns the highest index that the local state machine has applied.
func (groupStatus GroupStatus) Applied() Index { return groupStatus.applied }

// Voters returns the names of the group's voters.
func (groupStatus GroupStatus) Voters() []VMName { return groupStatus.voters }
