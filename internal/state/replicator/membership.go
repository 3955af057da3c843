package replicator

import (
	"fmt"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Member is one VM's record in a group. It is a wire type.
type Member struct {
	VM          scheduler.VMName      `cbor:"vm"`
	Incarnation scheduler.Incarnation `cbor:"incarnation"`
	// Disk is true if the VM syncs its journal to a disk.
	Disk              bool `cbor:"disk"`
	StandsForElection bool `cbor:"standsForElection"`
	// Learner is true for a replica that stores entries but does not vote.
	Learner bool `cbor:"learner"`
	// PromotionPending is true for a learner that the leader promotes to a voter as soon as it has caught up.
	PromotionPending bool `cbor:"returning,omitempty"`
	// RemovalPending is true for a voter that the leader removes in the next membership change.
	RemovalPending bool `cbor:"leaving,omitempty"`
}

// identity returns the VM and incarnation in the form that the hard state stores as the vote.
func (member Member) identity() string { return identity(member.VM, member.Incarnation) }

func identity(vm scheduler.VMName, incarnation scheduler.Incarnation) string {
	return fmt.Sprintf("%s/%d", vm, incarnation)
}

// membership is the set of members that is effective from one log entry onward. It is a wire type and
// immutable: with and without return a modified copy.
type membership struct {
	Members []Member `cbor:"members"`
}

type indexedMembership struct {
	index scheduler.Index
	membership
}

func newMembership(members []Member) membership {
	return membership{Members: slices.Clone(members)}
}

func (membership membership) encode() []byte { return encode(membership) }

func (membership membership) find(vm scheduler.VMName) (Member, bool) {
	for _, member := range membership.Members {
		if member.VM == vm {
			return member, true
		}
	}
	return Member{}, false
}

func (membership membership) voters() []Member {
	voters := make([]Member, 0, len(membership.Members))
	for _, member := range membership.Members {
		if !member.Learner {
			voters = append(voters, member)
		}
	}
	return voters
}

func (membership membership) voterNames() []scheduler.VMName {
	var names []scheduler.VMName
	for _, voter := range membership.voters() {
		names = append(names, voter.VM)
	}
	return names
}

// isVoter reports whether the VM is a voter with this incarnation.
func (membership membership) isVoter(vm scheduler.VMName, incarnation scheduler.Incarnation) bool {
	member, found := membership.find(vm)
	return found && !member.Learner && member.Incarnation == incarnation
}

func majority(voters int) int { return voters/2 + 1 }

func (membership membership) with(changed Member) membership {
	members := slices.Clone(membership.Members)
	position := slices.IndexFunc(members, func(member Member) bool { return member.VM == changed.VM })
	if position < 0 {
		members = append(members, changed)
	} else {
		members[position] = changed
	}
	membership.Members = members
	return membership
}

func (membership membership) without(vm scheduler.VMName) membership {
	membership.Members = slices.DeleteFunc(slices.Clone(membership.Members),
		func(member Member) bool { return member.VM == vm })
	return membership
}

// validate checks the invariants of a membership that do not depend on the state of the VMs.
func (membership membership) validate() error {
	seen := map[scheduler.VMName]bool{}
	for _, member := range membership.Members {
		if member.VM == "" || seen[member.VM] {
			return Error.New("VM %q is listed twice or has no name", member.VM)
		}
		seen[member.VM] = true
	}
	voters := membership.voters()
	diskless, candidates := 0, 0
	for _, voter := range voters {
		if !voter.Disk {
			diskless++
		}
		if voter.StandsForElection {
			candidates++
		}
	}
	switch {
	case len(voters) == 0:
		return Error.New("membership has no voter")
	case candidates == 0:
		return Error.New("membership has no voter that stands for election")
	case diskless >= majority(len(voters)):
		return Error.New("%d of %d voters have no disk, so a majority without a synced disk is possible",
			diskless, len(voters))
	}
	return nil
}

// quorumValue returns the highest value that a majority of the voters has reached. It sorts values in place.
func quorumValue[T int64 | scheduler.Index](values []T) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-majority(len(values))]
}
