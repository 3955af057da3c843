// Package reconciler keeps the membership of a group up to date without an operator: VMs that know only a few
// seeds join it, and a voter that is lost is replaced by a VM that has caught up.
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

// Error is the class of errors that this package returns.
var Error = errs.Class("steward")

// kindJoin asks the leader to take a VM into the group.
const kindJoin scheduler.MessageKind = "join"

const (
	interval = 200 * time.Millisecond
	// lostAfter is after how long without an answer a voter may be replaced. It is longer than the
	// heartbeats of a VM that is stopped and started again may be missing.
	lostAfter = 2 * time.Second
	// learnerLostAfter is the same for a VM that does not vote, which harms nobody.
	learnerLostAfter = 30 * time.Second
	// leaderlessUntilJoin is after how long without a leader a VM asks whether it is still a member.
	leaderlessUntilJoin = 2 * time.Second
	callTimeout         = time.Second
)

// Group is what a Reconciler needs of a replicated group.
type Group interface {
	scheduler.Group
	Members() []replicator.Member
	Answering() map[scheduler.VMName]bool
	Self() replicator.Member
	AddLearner(ctx context.Context, member replicator.Member) error
	Promote(ctx context.Context, vm scheduler.VMName) error
	Replace(ctx context.Context, outgoing, incoming scheduler.VMName) error
	Remove(ctx context.Context, vm scheduler.VMName) error
}

// Network is what a Reconciler needs of the connections between VMs.
type Network interface {
	scheduler.Transport
	AddPeer(name scheduler.VMName, address string)
}

// Reconciler looks after one group on one VM. Its methods are called from one goroutine.
type Reconciler struct {
	group   Group
	network Network
	seeds   []scheduler.VMName
	// voters is how many voters the group should have.
	voters int
	logger zerolog.Logger

	heard      map[scheduler.VMName]time.Time
	leaderless time.Time
}

// New returns a Reconciler that keeps the given number of voters, and registers its handler with the network.
// The names of the VMs are their addresses.
func New(group Group, network Network, seeds []scheduler.VMName, voters int, logger zerolog.Logger) *Reconciler {
	reconciler := &Reconciler{group: group, network: network, seeds: seeds, voters: voters, logger: logger, heard: map[scheduler.VMName]time.Time{}}
	network.Handle(group.Name(), kindJoin, reconciler.handleJoin)
	return reconciler
}

// Run looks after the group until ctx ends.
func (reconciler *Reconciler) Run(ctx context.Context) {
	for waiter.Sleep(ctx, interval) {
		reconciler.connect()
		if reconciler.group.HoldsLeaderLease() {
			reconciler.leaderless = time.Time{}
			reconciler.manage(ctx)
			continue
		}
		clear(reconciler.heard)
		if reconciler.mustJoin(time.Now()) {
			reconciler.join(ctx)
		}
	}
}

// connect dials every VM that is a member or a seed.
func (reconciler *Reconciler) connect() {
	for _, member := range reconciler.group.Members() {
		reconciler.network.AddPeer(member.VM, string(member.VM))
	}
	for _, seed := range reconciler.seeds {
		reconciler.network.AddPeer(seed, string(seed))
	}
}

// mustJoin reports whether this VM has to ask to be a member. One that was removed while it was cut off
// does not know it, and notices only that it hears no leader.
func (reconciler *Reconciler) mustJoin(now time.Time) bool {
	if reconciler.group.Status().Leader() != "" {
		reconciler.leaderless = time.Time{}
		return !reconciler.isMember()
	}
	if reconciler.leaderless.IsZero() {
		reconciler.leaderless = now
	}
	return !reconciler.isMember() || now.Sub(reconciler.leaderless) > leaderlessUntilJoin
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

// join asks the seeds and the members in turn. An answer names the leader if another VM leads.
func (reconciler *Reconciler) join(ctx context.Context) {
	body, err := encoder.Marshal(reconciler.group.Self())
	if err != nil {
		reconciler.logger.Error().Str("event", "joinFailed").Err(err).Msg("the request to join cannot be encoded")
		return
	}
	asked := map[scheduler.VMName]bool{reconciler.network.Self(): true}
	var vms []scheduler.VMName
	for _, member := range reconciler.group.Members() {
		vms = append(vms, member.VM)
	}
	vms = append(vms, reconciler.seeds...)
	for position := 0; position < len(vms); position++ {
		vm := vms[position]
		if asked[vm] {
			continue
		}
		asked[vm] = true
		leader, err := reconciler.askToJoin(ctx, vm, body)
		if err != nil {
			reconciler.logger.Debug().Str("event", "joinRefused").Str("vm", string(vm)).Err(err).Msg("request to join not accepted")
			continue
		}
		if leader == "" {
			return
		}
		reconciler.network.AddPeer(leader, string(leader))
		vms = append(vms, leader)
	}
}

func (reconciler *Reconciler) askToJoin(ctx context.Context, vm scheduler.VMName, body []byte) (leader scheduler.VMName, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := reconciler.network.Call(ctx, vm, reconciler.group.Name(), kindJoin, body)
	return scheduler.VMName(answer), Error.Wrap(err)
}

// handleJoin takes a VM into the group as a learner. On a VM that does not lead it returns the name of the
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
			return nil, nil // The leader admits a new incarnation of a member by itself.
		}
	}
	reconciler.network.AddPeer(member.VM, string(member.VM))
	reconciler.logger.Info().Str("event", "memberJoins").Str("member", string(member.VM)).
		Uint64("incarnation", uint64(member.Incarnation)).Msg("a VM joins the group")
	return nil, Error.Wrap(reconciler.group.AddLearner(ctx, member))
}

// manage makes at most one change of the membership.
func (reconciler *Reconciler) manage(ctx context.Context) {
	now := time.Now()
	for vm := range reconciler.group.Answering() {
		reconciler.heard[vm] = now
	}
	change, name := reconciler.plan(now)
	if change == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := change(ctx)
	reconciler.logger.Info().Str("event", "membershipChange").Str("change", name).Err(err).Msg("membership of the group changes")
}

// plan returns the next change, nil if none is needed.
func (reconciler *Reconciler) plan(now time.Time) (change func(ctx context.Context) error, name string) {
	var voters, lost, spare []scheduler.VMName
	for _, member := range reconciler.group.Members() {
		silent := reconciler.silence(member.VM, now)
		switch {
		case !member.Learner:
			voters = append(voters, member.VM)
			if silent > lostAfter {
				lost = append(lost, member.VM)
			}
		case silent == 0 && !member.Returning:
			spare = append(spare, member.VM)
		case silent > learnerLostAfter:
			return func(ctx context.Context) error { return reconciler.group.Remove(ctx, member.VM) }, "remove learner " + string(member.VM)
		}
	}
	switch {
	case len(spare) > 0 && len(voters) < reconciler.voters:
		return func(ctx context.Context) error { return reconciler.group.Promote(ctx, spare[0]) }, "promote " + string(spare[0])
	case len(spare) > 0 && len(lost) > 0:
		return func(ctx context.Context) error { return reconciler.group.Replace(ctx, lost[0], spare[0]) },
			"replace " + string(lost[0]) + " by " + string(spare[0])
	case len(lost) > 0 && len(voters) > reconciler.voters:
		return func(ctx context.Context) error { return reconciler.group.Remove(ctx, lost[0]) }, "remove " + string(lost[0])
	}
	return nil, ""
}

// silence returns for how long a member has not answered. One that has not been heard of yet counts from
// now on.
func (reconciler *Reconciler) silence(vm scheduler.VMName, now time.Time) time.Duration {
	heard, known := reconciler.heard[vm]
	if !known {
		reconciler.heard[vm] = now
		return time.Nanosecond
	}
	return now.Sub(heard)
}
