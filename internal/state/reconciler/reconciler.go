// Package reconciler maintains the membership of a group automatically: VMs that know only a few seeds join
// it, and a failed voter is replaced by a learner that has caught up.
package reconciler

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns. Its name is part of error texts and logs.
var Error = errs.Class("steward")

// kindJoin is a request to the leader to add a VM to the group.
const kindJoin scheduler.MessageKind = "join"

const (
	reconcileInterval = 200 * time.Millisecond
	// voterTimeout is how long a voter must be unresponsive before it may be replaced. It exceeds the
	// gap in heartbeats while a VM restarts.
	voterTimeout = 2 * time.Second
	// learnerTimeout is how long a learner must be unresponsive before it is removed. A failed learner
	// does not affect the majority, so its removal is not urgent.
	learnerTimeout = 30 * time.Second
	// rejoinTimeout is how long a VM must be without a leader before it sends join requests, although it
	// may still be a member.
	rejoinTimeout = 2 * time.Second
	callTimeout   = time.Second
)

// Group is the replicated group whose membership a Reconciler maintains.
type Group interface {
	scheduler.Group
	Members() []replicator.Member
	RespondingMembers() map[scheduler.VMName]bool
	Self() replicator.Member
	AddLearner(ctx context.Context, member replicator.Member) error
	Promote(ctx context.Context, vm scheduler.VMName) error
	Replace(ctx context.Context, outgoing, incoming scheduler.VMName) error
	Remove(ctx context.Context, vm scheduler.VMName) error
}

// Network is the transport between VMs.
type Network interface {
	scheduler.Transport
	AddPeer(name scheduler.VMName, address string)
}

// Reconciler maintains the membership of one group on one VM. Run must be called from one goroutine only.
type Reconciler struct {
	group   Group
	network Network
	seeds   []scheduler.VMName
	// voters is the target number of voters.
	voters int
	logger zerolog.Logger

	lastResponse    map[scheduler.VMName]time.Time
	leaderlessSince time.Time
}

// New returns a Reconciler that maintains the given number of voters, and registers the handler of join
// requests with the network. The name of a VM is also its address.
func New(group Group, network Network, seeds []scheduler.VMName, voters int, logger zerolog.Logger) *Reconciler {
	reconciler := &Reconciler{
		group: group, network: network, seeds: seeds, voters: voters, logger: logger,
		lastResponse: map[scheduler.VMName]time.Time{},
	}
	network.Handle(group.Name(), kindJoin, reconciler.handleJoin)
	return reconciler
}

// Run maintains the membership until ctx is cancelled.
func (reconciler *Reconciler) Run(ctx context.Context) {
	for waiter.Sleep(ctx, reconcileInterval) {
		reconciler.addPeers()
		if reconciler.group.HoldsLeaderLease() {
			reconciler.leaderlessSince = time.Time{}
			reconciler.reconcile(ctx)
			continue
		}
		clear(reconciler.lastResponse)
		if reconciler.shouldJoin(time.Now()) {
			reconciler.join(ctx)
		}
	}
}

// addPeers registers all members and seeds as peers, so that the network connects to them.
func (reconciler *Reconciler) addPeers() {
	for _, member := range reconciler.group.Members() {
		reconciler.network.AddPeer(member.VM, string(member.VM))
	}
	for _, seed := range reconciler.seeds {
		reconciler.network.AddPeer(seed, string(seed))
	}
}

// shouldJoin reports whether this VM should send join requests. A VM that was removed while it was
// partitioned still has itself in its list of members; the lack of a leader is its only sign of the removal.
func (reconciler *Reconciler) shouldJoin(now time.Time) bool {
	if reconciler.group.Status().Leader() != "" {
		reconciler.leaderlessSince = time.Time{}
		return !reconciler.isMember()
	}
	if reconciler.leaderlessSince.IsZero() {
		reconciler.leaderlessSince = now
	}
	return !reconciler.isMember() || now.Sub(reconciler.leaderlessSince) > rejoinTimeout
}

func (reconciler *Reconciler) isMember() bool {
	self := reconciler.group.Self()
	for _, member := range reconciler.group.Members() {
		if member.VM == self.VM && member.Incarnation == self.Incarnation {
			return true
		}
	}
	return false
}

// join sends the join request to the members and the seeds in turn, until one of them accepts it. A
// follower responds with the name of the leader, which is then added to the VMs to try.
func (reconciler *Reconciler) join(ctx context.Context) {
	body, err := encoder.Marshal(reconciler.group.Self())
	if err != nil {
		reconciler.logger.Error().Str("event", "joinFailed").Err(err).Msg("failed to encode the join request")
		return
	}
	contacted := map[scheduler.VMName]bool{reconciler.network.Self(): true}
	var vms []scheduler.VMName
	for _, member := range reconciler.group.Members() {
		vms = append(vms, member.VM)
	}
	vms = append(vms, reconciler.seeds...)
	for position := 0; position < len(vms); position++ {
		vm := vms[position]
		if contacted[vm] {
			continue
		}
		contacted[vm] = true
		leader, err := reconciler.requestJoin(ctx, vm, body)
		if err != nil {
			reconciler.logger.Debug().Str("event", "joinRefused").Str("vm", string(vm)).Err(err).
				Msg("join request failed")
			continue
		}
		if leader == "" {
			return
		}
		reconciler.network.AddPeer(leader, string(leader))
		vms = append(vms, leader)
	}
}

func (reconciler *Reconciler) requestJoin(
	ctx context.Context, vm scheduler.VMName, body []byte,
) (leader scheduler.VMName, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := reconciler.network.Call(ctx, vm, reconciler.group.Name(), kindJoin, body)
	return scheduler.VMName(response), Error.Wrap(err)
}

// handleJoin adds a VM to the group as a learner. On a VM that is not the leader it returns the name of the
// leader instead.
func (reconciler *Reconciler) handleJoin(ctx context.Context, from scheduler.VMName, body []byte) ([]byte, error) {
	if !reconciler.group.HoldsLeaderLease() {
		leader := reconciler.group.Status().Leader()
		if leader == "" || leader == reconciler.network.Self() || leader == from {
			return nil, scheduler.ErrNotRun.New("no leader is known")
		}
		return []byte(leader), nil
	}
	var member replicator.Member
	if err := encoder.Unmarshal(body, &member); err != nil {
		return nil, scheduler.ErrNotRun.Wrap(Error.Wrap(err))
	}
	for _, known := range reconciler.group.Members() {
		if known.VM == member.VM {
			return nil, nil // The replicator readmits a new incarnation of a member without a join request.
		}
	}
	reconciler.network.AddPeer(member.VM, string(member.VM))
	reconciler.logger.Info().Str("event", "memberJoins").Str("member", string(member.VM)).
		Uint64("incarnation", uint64(member.Incarnation)).Msg("adding a VM to the group as a learner")
	return nil, Error.Wrap(reconciler.group.AddLearner(ctx, member))
}

// reconcile makes at most one membership change.
func (reconciler *Reconciler) reconcile(ctx context.Context) {
	now := time.Now()
	for vm := range reconciler.group.RespondingMembers() {
		reconciler.lastResponse[vm] = now
	}
	change, name := reconciler.nextChange(now)
	if change == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := change(ctx)
	reconciler.logger.Info().Str("event", "membershipChange").Str("change", name).Err(err).
		Msg("membership change attempted")
}

// nextChange returns the next membership change and its description, or nil if none is needed.
func (reconciler *Reconciler) nextChange(now time.Time) (change func(ctx context.Context) error, name string) {
	var voters, failed, promotable []scheduler.VMName
	for _, member := range reconciler.group.Members() {
		unresponsive := reconciler.unresponsiveFor(member.VM, now)
		switch {
		case !member.Learner:
			voters = append(voters, member.VM)
			if unresponsive > voterTimeout {
				failed = append(failed, member.VM)
			}
		case unresponsive == 0 && !member.PromotionPending:
			promotable = append(promotable, member.VM)
		case unresponsive > learnerTimeout:
			return func(ctx context.Context) error { return reconciler.group.Remove(ctx, member.VM) },
				"remove learner " + string(member.VM)
		}
	}
	switch {
	case len(promotable) > 0 && len(voters) < reconciler.voters:
		return func(ctx context.Context) error { return reconciler.group.Promote(ctx, promotable[0]) },
			"promote " + string(promotable[0])
	case len(promotable) > 0 && len(failed) > 0:
		return func(ctx context.Context) error { return reconciler.group.Replace(ctx, failed[0], promotable[0]) },
			"replace " + string(failed[0]) + " by " + string(promotable[0])
	case len(failed) > 0 && len(voters) > reconciler.voters:
		return func(ctx context.Context) error { return reconciler.group.Remove(ctx, failed[0]) },
			"remove " + string(failed[0])
	}
	return nil, ""
}

// unresponsiveFor returns the time since the last response of a member. For a member without a recorded
// response the time counts from this call.
func (reconciler *Reconciler) unresponsiveFor(vm scheduler.VMName, now time.Time) time.Duration {
	last, known := reconciler.lastResponse[vm]
	if !known {
		reconciler.lastResponse[vm] = now
		return time.Nanosecond
	}
	return now.Sub(last)
}
