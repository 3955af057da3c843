package reconciler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeGroup is a group with members that are set by the test. It records the requested changes.
type fakeGroup struct {
	mutex     sync.Mutex
	self      replicator.Member
	members   []replicator.Member
	answering map[scheduler.VMName]bool
	isLeader  bool
	leader    scheduler.VMName
	changes   []string
}

func (group *fakeGroup) Name() scheduler.GroupName { return "domain" }
func (group *fakeGroup) Propose(context.Context, []byte) ([]byte, error) {
	return nil, scheduler.ErrNotRun.New("not used")
}
func (group *fakeGroup) ReadBarrier(context.Context) error { return nil }
func (group *fakeGroup) Status() scheduler.GroupStatus {
	return scheduler.NewGroupStatus(scheduler.GroupFollower, 1, group.leader, 0, 0, nil)
}
func (group *fakeGroup) HoldsLeaderLease() bool                       { return group.isLeader }
func (group *fakeGroup) Members() []replicator.Member                 { return group.members }
func (group *fakeGroup) Self() replicator.Member                      { return group.self }
func (group *fakeGroup) RespondingMembers() map[scheduler.VMName]bool { return group.answering }

func (group *fakeGroup) recordChange(format string, arguments ...any) error {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.changes = append(group.changes, fmt.Sprintf(format, arguments...))
	return nil
}

func (group *fakeGroup) AddLearner(_ context.Context, member replicator.Member) error {
	return group.recordChange("add %s", member.VM)
}

func (group *fakeGroup) Promote(_ context.Context, vm scheduler.VMName) error {
	return group.recordChange("promote %s", vm)
}

func (group *fakeGroup) Replace(_ context.Context, outgoing, incoming scheduler.VMName) error {
	return group.recordChange("replace %s by %s", outgoing, incoming)
}

func (group *fakeGroup) Remove(_ context.Context, vm scheduler.VMName) error {
	return group.recordChange("remove %s", vm)
}

// fakeNetwork passes calls to the handlers of other VMs.
type fakeNetwork struct {
	self     scheduler.VMName
	others   map[scheduler.VMName]scheduler.MessageHandler
	handlers map[scheduler.MessageKind]scheduler.MessageHandler
	called   []scheduler.VMName
}

func (network *fakeNetwork) Self() scheduler.VMName { return network.self }
func (network *fakeNetwork) Send(scheduler.VMName, scheduler.GroupName, scheduler.MessageKind, []byte) {
}

func (network *fakeNetwork) Call(
	ctx context.Context, to scheduler.VMName, _ scheduler.GroupName, _ scheduler.MessageKind, body []byte,
) ([]byte, error) {
	network.called = append(network.called, to)
	handler := network.others[to]
	if handler == nil {
		return nil, scheduler.ErrNotRun.New("no connection to %s", to)
	}
	return handler(ctx, network.self, body)
}

func (network *fakeNetwork) Handle(_ scheduler.GroupName, kind scheduler.MessageKind, handler scheduler.MessageHandler) {
	if network.handlers == nil {
		network.handlers = map[scheduler.MessageKind]scheduler.MessageHandler{}
	}
	network.handlers[kind] = handler
}
func (network *fakeNetwork) AddPeer(scheduler.VMName, string) {}

func voter(vm scheduler.VMName) replicator.Member {
	return replicator.Member{VM: vm, Incarnation: 1, Disk: true, StandsForElection: true}
}

func learner(vm scheduler.VMName) replicator.Member {
	member := voter(vm)
	member.Learner = true
	return member
}

func answering(vms ...scheduler.VMName) map[scheduler.VMName]bool {
	set := map[scheduler.VMName]bool{}
	for _, vm := range vms {
		set[vm] = true
	}
	return set
}

// Guards against a failed voter that is never replaced, and against a group that removes a voter without a
// replacement and then tolerates fewer failures.
func TestMembershipChanges(t *testing.T) {
	tests := map[string]struct {
		members   []replicator.Member
		answering map[scheduler.VMName]bool
		after     time.Duration
		want      string
	}{
		"all members respond": {
			[]replicator.Member{voter("a"), voter("b"), voter("c")},
			answering("a", "b", "c"), 5 * time.Second, "",
		},
		"failed voter without a replacement": {
			[]replicator.Member{voter("a"), voter("b"), voter("c")},
			answering("a", "b"), 5 * time.Second, "",
		},
		"failed voter and a learner": {
			[]replicator.Member{voter("a"), voter("b"), voter("c"), learner("d")},
			answering("a", "b", "d"), 3 * time.Second, "replace c by d",
		},
		"briefly unresponsive voter": {
			[]replicator.Member{voter("a"), voter("b"), voter("c"), learner("d")},
			answering("a", "b", "d"), time.Second, "",
		},
		"too few voters": {
			[]replicator.Member{voter("a"), voter("b"), learner("d")},
			answering("a", "b", "d"), time.Second, "promote d",
		},
		"surplus voter fails": {
			[]replicator.Member{voter("a"), voter("b"), voter("c"), voter("d")},
			answering("a", "b", "c"), 3 * time.Second, "remove d",
		},
		"failed learner": {
			[]replicator.Member{voter("a"), voter("b"), voter("c"), learner("d")},
			answering("a", "b", "c"), 40 * time.Second, "remove d",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := &fakeGroup{self: voter("a"), members: test.members, answering: test.answering, isLeader: true}
				reconciler := New(group, &fakeNetwork{self: "a"}, nil, 3, zerolog.Nop())
				ctx, cancel := context.WithTimeout(t.Context(), test.after)
				defer cancel()
				reconciler.Run(ctx)
				got := ""
				if len(group.changes) > 0 {
					got = group.changes[0]
				}
				if got != test.want {
					t.Errorf("got %q, want %q", got, test.want)
				}
			})
		})
	}
}

// Guards against a VM that never joins because none of its seeds is the leader, or because a seed has failed.
func TestJoinIsRedirectedToLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaderGroup := &fakeGroup{self: voter("c"), members: []replicator.Member{voter("b"), voter("c")}, isLeader: true}
		leader := &fakeNetwork{self: "c"}
		New(leaderGroup, leader, nil, 3, zerolog.Nop())
		followerGroup := &fakeGroup{self: voter("b"), leader: "c"}
		follower := &fakeNetwork{self: "b"}
		New(followerGroup, follower, nil, 3, zerolog.Nop())
		network := &fakeNetwork{self: "d", others: map[scheduler.VMName]scheduler.MessageHandler{
			"b": follower.handlers[kindJoin], "c": leader.handlers[kindJoin],
		}}
		joining := New(&fakeGroup{self: voter("d"), members: []replicator.Member{voter("a"), voter("b")}}, network,
			[]scheduler.VMName{"a", "b"}, 3, zerolog.Nop())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		joining.Run(ctx)
		if len(leaderGroup.changes) == 0 || leaderGroup.changes[0] != "add d" {
			t.Errorf("got changes %v after calls to %v, want the leader to add d", leaderGroup.changes, network.called)
		}
	})
}

// Guards against a join request that demotes an existing member to a learner.
func TestJoinOfMemberIsIgnored(t *testing.T) {
	group := &fakeGroup{self: voter("a"), members: []replicator.Member{voter("a"), voter("b")}, isLeader: true}
	network := &fakeNetwork{self: "a"}
	New(group, network, nil, 3, zerolog.Nop())
	body, err := encoder.Marshal(voter("b"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := network.handlers[kindJoin](t.Context(), "b", body); err != nil {
		t.Fatal(err)
	}
	if len(group.changes) != 0 {
		t.Errorf("got changes %v, want none", group.changes)
	}
	if _, err := network.handlers[kindJoin](t.Context(), "b", []byte{0xff}); !scheduler.ErrNotRun.Has(err) {
		t.Errorf("got error %v for a malformed request, want class ErrNotRun", err)
	}
}
