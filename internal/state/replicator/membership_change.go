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

// change is a membership change requested from the leader. It is a wire type.
type change struct {
	_      struct{} `cbor:",toarray"`
	Kind   string
	Member Member
	// Old is the voter that changeReplace removes.
	Old scheduler.VMName
}

// AddLearner adds a non-voting replica, or changes the settings of one. If the leader rejects the change,
// the error is of class ErrNotRun and contains the reason.
func (replicator *Replicator) AddLearner(ctx context.Context, member Member) error {
	member.Learner, member.PromotionPending, member.RemovalPending = true, false, false
	return replicator.change(ctx, change{Kind: changeAdd, Member: member})
}

// Promote promotes a learner that has caught up to a voter. Rejections are reported as by AddLearner.
func (replicator *Replicator) Promote(ctx context.Context, vm scheduler.VMName) error {
	return replicator.change(ctx, change{Kind: changePromote, Member: Member{VM: vm}})
}

// Remove removes a voter or learner other than the leader. Rejections are reported as by AddLearner.
func (replicator *Replicator) Remove(ctx context.Context, vm scheduler.VMName) error {
	return replicator.change(ctx, change{Kind: changeRemove, Member: Member{VM: vm}})
}

// Replace replaces the voter outgoing by the learner incoming in two membership changes. A voter that
// still responds is removed after the promotion. A voter that does not respond is removed first, because
// the group then needs one VM less for a majority. The first change records that the second is pending, so
// that a new leader completes it. Replace returns when both changes have taken effect. If ctx ends between
// them, it returns an error of class ErrOutcomeUnknown. Rejections are reported as by AddLearner.
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
			return unknown("replacement of %s by %s is not complete", outgoing, incoming)
		}
	}
}

func (replicator *Replicator) change(ctx context.Context, change change) error {
	_, err := replicator.submit(ctx, proposeMessage{Change: &change})
	return err
}

// handleChange appends the new membership, or rejects the request with a reason.
func (node *node) handleChange(request *proposal) error {
	next, reason := node.planChange(*request.change, node.clock.now())
	if reason != "" {
		request.finish(outcomeNotRun, reason, nil)
		return nil
	}
	node.logger.Info().Str("event", "membershipChangeStarted").Str("change", request.change.Kind).
		Str("member", string(request.change.Member.VM)).
		Msg("membership change started")
	entry := scheduler.Entry{Kind: scheduler.EntryMembership, Data: next.encode()}
	return node.appendProposals([]*proposal{request}, []scheduler.Entry{entry})
}

// changeBlockedReason returns why no membership change is possible now, or an empty string if one is. A
// leader that has not yet committed an entry in its term must wait, because it could otherwise overwrite a
// change of the previous leader.
func (node *node) changeBlockedReason() string {
	switch {
	case node.commit < node.leading.firstIndex:
		return "the leader has not committed an entry in its term yet"
	case node.log.membership().index > node.commit:
		return "another membership change is in progress"
	}
	return ""
}

// planChange returns the membership that results from a change, or the reason why the change is rejected.
func (node *node) planChange(change change, now time.Duration) (next membership, reason string) {
	if reason := node.changeBlockedReason(); reason != "" {
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
	return next, node.unsafeReason(next, now)
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
		return membership{}, fmt.Sprintf("%s has not caught up: synced %d of %d entries", vm, held, node.commit)
	}
	member.Learner, member.PromotionPending = false, false
	return current.with(member), ""
}

func (node *node) planRemoval(current membership, vm scheduler.VMName) (membership, string) {
	if _, found := current.find(vm); !found {
		return membership{}, fmt.Sprintf("%s is not a member", vm)
	}
	if vm == node.self.VM {
		return membership{}, fmt.Sprintf("%s leads the group; close it first to transfer leadership", vm)
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
		progress.incarnation == old.Incarnation && progress.isResponding(now) {
		old.RemovalPending = true
		return promoted.with(old), ""
	}
	member, _ := current.find(change.Member.VM)
	member.PromotionPending = true
	return removed.with(member), ""
}

// unsafeReason returns why a membership must not take effect, or an empty string if it may. A majority of
// its voters must respond now, because only they can commit the change.
func (node *node) unsafeReason(next membership, now time.Duration) string {
	if err := next.validate(); err != nil {
		return err.Error()
	}
	responding := 0
	voters := next.voters()
	for _, voter := range voters {
		progress := node.leading.peers[voter.VM]
		if voter.VM == node.self.VM || progress != nil && progress.incarnation == voter.Incarnation &&
			progress.isResponding(now) {
			responding++
		}
	}
	if responding < majority(len(voters)) {
		return fmt.Sprintf("only %d of %d voters respond, which is not a majority", responding, len(voters))
	}
	return ""
}

// updateCaughtUp is called on each heartbeat.
func (node *node) updateCaughtUp(now time.Duration) {
	for _, progress := range node.leading.peers {
		progress.updateCaughtUp(now, node.commit)
	}
}

// tickMembership makes the membership changes that need no operator: it readmits new incarnations of
// members, promotes learners with a pending promotion and removes voters that were replaced.
func (node *node) tickMembership(now time.Duration) error {
	if node.changeBlockedReason() != "" || node.leading.leaseRevoked {
		return nil
	}
	current := node.log.membership().membership
	for _, member := range current.Members {
		next, name := node.planAutomaticChange(current, member, now)
		if name == "" || node.unsafeReason(next, now) != "" {
			continue
		}
		node.logger.Info().Str("event", "membershipChangeStarted").Str("change", name).Str("member", string(member.VM)).
			Msg("membership change started")
		return node.appendAsLeader([]scheduler.Entry{{Kind: scheduler.EntryMembership, Data: next.encode()}})
	}
	return nil
}

// planAutomaticChange returns the next automatic change for a member. A new incarnation of a voter is
// readmitted in two changes: it first replaces the old incarnation as a learner and is then promoted to a
// voter. With a single change, the majorities before and after it need not overlap: the old and the new
// incarnation could each form a majority with a different second voter.
func (node *node) planAutomaticChange(current membership, member Member, now time.Duration) (
	next membership, name string,
) {
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
