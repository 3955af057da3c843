package replicator

import (
	"context"
	"fmt"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Kinds of membership changes.
const (
	changeAdd     = "add"
	changePromote = "promote"
	changeReplace = "replace"
	changeRemove  = "remove"
)

// change is a request to the leader to change the membership. It is a wire type.
type change struct {
	_      struct{} `cbor:",toarray"`
	Kind   string
	Member Member
	// Old is the voter that a replacement removes.
	Old scheduler.VMName
}

// AddLearner adds a replica that stores entries and does not vote, or changes the settings of one. It
// returns an error of class ErrNotRun with the reason when the leader refuses.
func (replicator *Replicator) AddLearner(ctx context.Context, member Member) error {
	member.Learner, member.PromotionPending, member.RemovalPending = true, false, false
	return replicator.change(ctx, change{Kind: changeAdd, Member: member})
}

// Promote makes a learner that has caught up a voter. Refusals are as for AddLearner.
func (replicator *Replicator) Promote(ctx context.Context, vm scheduler.VMName) error {
	return replicator.change(ctx, change{Kind: changePromote, Member: Member{VM: vm}})
}

// Remove removes a voter or learner other than the leader. Refusals are as for AddLearner.
func (replicator *Replicator) Remove(ctx context.Context, vm scheduler.VMName) error {
	return replicator.change(ctx, change{Kind: changeRemove, Member: Member{VM: vm}})
}

// Replace makes the learner incoming a voter in place of the voter outgoing, in two changes. A voter
// that still answers leaves after the promotion, a lost one before it, because the group then needs
// one VM less for a majority. The second change is logged with the first, so that a new leader
// completes it. Replace returns when both are in force; it returns ErrUnknown when ctx ends between
// them. Refusals are as for AddLearner.
func (replicator *Replicator) Replace(ctx context.Context, outgoing, incoming scheduler.VMName) error {
	err := replicator.change(ctx, change{Kind: changeReplace, Member: Member{VM: incoming}, Old: outgoing})
	if err != nil {
		return err
	}
	for {
		current := membership{Members: replicator.Members()}
		_, remains := current.find(outgoing)
		member, found := current.find(incoming)
		if !remains && found && !member.Learner {
			return nil
		}
		if !replicator.waitToRetry(ctx) {
			return unknown("replacement of %s by %s is under way", outgoing, incoming)
		}
	}
}

func (replicator *Replicator) change(ctx context.Context, change change) error {
	_, err := replicator.submit(ctx, proposeMessage{Change: &change})
	return err
}

// handleChange appends the new membership or refuses with the reason.
func (node *node) handleChange(request *call) error {
	next, reason := node.planChange(*request.change, node.clock.now())
	if reason != "" {
		request.finish(outcomeNotRun, reason, nil)
		return nil
	}
	node.logger.Info().Str("event", "membershipChangeStarted").Str("change", request.change.Kind).Str("member", string(request.change.Member.VM)).
		Msg("membership change started")
	entry := scheduler.Entry{Kind: scheduler.EntryMembership, Data: next.encode()}
	return node.appendFor([]*call{request}, []scheduler.Entry{entry})
}

// changeBlocked returns why no change can be made now, empty if one can. A leader that has committed
// nothing yet might otherwise override a change of the previous leader.
func (node *node) changeBlocked() string {
	switch {
	case node.commit < node.leading.firstIndex:
		return "the leader has not committed an entry in its term yet"
	case node.log.membership().index > node.commit:
		return "another membership change is in progress"
	}
	return ""
}

// planChange returns the membership after a change, or the reason why it is refused.
func (node *node) planChange(change change, now time.Duration) (next membership, reason string) {
	if reason := node.changeBlocked(); reason != "" {
		return membership{}, reason
	}
	current := node.log.membership().membership
	member, found := current.find(change.Member.VM)
	switch change.Kind {
	case changeAdd:
		if found && !member.Learner {
			return membership{}, fmt.Sprintf("%s is a voter", member.VM)
		}
		next = current.with(change.Member)
	case changePromote:
		next, reason = node.planPromotion(current, change.Member.VM, now)
	case changeRemove:
		next, reason = node.planRemoval(current, change.Member.VM)
	case changeReplace:
		next, reason = node.planReplacement(current, change, now)
	default:
		reason = fmt.Sprintf("unknown change %q", change.Kind)
	}
	if reason != "" {
		return membership{}, reason
	}
	return next, node.safetyReason(next, now)
}

func (node *node) planPromotion(current membership, vm scheduler.VMName, now time.Duration) (membership, string) {
	member, found := current.find(vm)
	if !found || !member.Learner {
		return membership{}, fmt.Sprintf("%s is not a learner", vm)
	}
	progress := node.leading.peers[vm]
	if progress == nil || progress.incarnation != member.Incarnation || !progress.isCaughtUp(now, node.commit) {
		held := scheduler.Index(0)
		if progress != nil {
			held = progress.match
		}
		return membership{}, fmt.Sprintf("%s has not caught up: it has synced %d of %d entries", vm, held, node.commit)
	}
	member.Learner, member.PromotionPending = false, false
	return current.with(member), ""
}

func (node *node) planRemoval(current membership, vm scheduler.VMName) (membership, string) {
	if _, found := current.find(vm); !found {
		return membership{}, fmt.Sprintf("%s is not a member", vm)
	}
	if vm == node.self.VM {
		return membership{}, fmt.Sprintf("%s leads the group; close it first, which transfers leadership", vm)
	}
	return current.without(vm), ""
}

func (node *node) planReplacement(current membership, change change, now time.Duration) (membership, string) {
	old, found := current.find(change.Old)
	if !found || old.Learner {
		return membership{}, fmt.Sprintf("%s is not a voter", change.Old)
	}
	promoted, reason := node.planPromotion(current, change.Member.VM, now)
	if reason != "" {
		return membership{}, reason
	}
	removed, reason := node.planRemoval(current, change.Old)
	if reason != "" {
		return membership{}, reason
	}
	if final := promoted.without(change.Old).validate(); final != nil {
		return membership{}, final.Error()
	}
	if progress := node.leading.peers[change.Old]; progress != nil &&
		progress.incarnation == old.Incarnation && progress.isAnswering(now) {
		old.RemovalPending = true
		return promoted.with(old), ""
	}
	member, _ := current.find(change.Member.VM)
	member.PromotionPending = true
	return removed.with(member), ""
}

// safetyReason returns why a membership must not come into force, empty if it may. A majority of its
// voters must answer now, because the change itself can only be committed by them.
func (node *node) safetyReason(next membership, now time.Duration) string {
	if err := next.validate(); err != nil {
		return err.Error()
	}
	answering := 0
	voters := next.voters()
	for _, voter := range voters {
		progress := node.leading.peers[voter.VM]
		if voter.VM == node.self.VM || progress != nil && progress.incarnation == voter.Incarnation &&
			progress.isAnswering(now) {
			answering++
		}
	}
	if answering < majority(len(voters)) {
		return fmt.Sprintf("only %d of %d voters answer, which is no majority", answering, len(voters))
	}
	return ""
}

// noteCaughtUp is called at each heartbeat.
func (node *node) noteCaughtUp(now time.Duration) {
	for _, progress := range node.leading.peers {
		progress.noteCaughtUp(now, node.commit)
	}
}

// tickMembership makes the changes that need no operator: it admits new incarnations of members,
// promotes returning learners and removes voters that were replaced.
func (node *node) tickMembership(now time.Duration) error {
	if node.changeBlocked() != "" || node.leading.leaseRevoked {
		return nil
	}
	current := node.log.membership().membership
	for _, member := range current.Members {
		next, name := node.planAutomatic(current, member, now)
		if name == "" || node.safetyReason(next, now) != "" {
			continue
		}
		node.logger.Info().Str("event", "membershipChangeStarted").Str("change", name).Str("member", string(member.VM)).
			Msg("membership change started")
		return node.appendOwn([]scheduler.Entry{{Kind: scheduler.EntryMembership, Data: next.encode()}})
	}
	return nil
}

// planAutomatic returns the next automatic change of a member. A new incarnation of a voter is
// admitted in two changes, first as a learner in place of the old identity and then as a voter. With
// one change only, the majorities before and after it need not overlap: the old identity and the new
// one could each form a majority with a different second voter.
func (node *node) planAutomatic(current membership, member Member, now time.Duration) (next membership, name string) {
	progress := node.leading.peers[member.VM]
	switch {
	case progress == nil:
		return membership{}, ""
	case member.RemovalPending:
		return current.without(member.VM), "removeReplaced"
	case !progress.isCaughtUp(now, node.commit):
		return membership{}, ""
	case progress.incarnation > member.Incarnation:
		member.PromotionPending = member.PromotionPending || !member.Learner
		member.Learner, member.Incarnation = true, progress.incarnation
		return current.with(member), "readmitAsLearner"
	case member.Learner && member.PromotionPending && progress.incarnation == member.Incarnation:
		member.Learner, member.PromotionPending = false, false
		return current.with(member), "promoteReturning"
	}
	return membership{}, ""
}
