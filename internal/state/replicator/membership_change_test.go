package replicator

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// startWithLearner starts the members of startThreeVoters and the learner d, which has caught up.
func startWithLearner(t *testing.T) *fakeCluster {
	t.Helper()
	cluster := startThreeVoters(t)
	member := disk("d")
	cluster.add(member)
	cluster.start("d")
	if err := cluster.vms["a"].replicator.AddLearner(t.Context(), member); err != nil {
		t.Fatalf("AddLearner: %v", err)
	}
	cluster.mustPropose("a", "first")
	cluster.eventually("d has caught up", func() bool { return len(cluster.vms["d"].machine.list()) == 1 })
	time.Sleep(time.Second)
	return cluster
}

func (cluster *fakeCluster) voters(on scheduler.VMName) string {
	return fmt.Sprint(cluster.vms[on].replicator.Status().Voters())
}

// Checks that membership changes are rejected, with a reason, if they would leave no safe majority or
// count a replica that has not caught up.
func TestMembershipChanges(t *testing.T) {
	tests := map[string]struct {
		fault  func(cluster *fakeCluster)
		change func(ctx context.Context, replicator *Replicator) error
		// refusal is a part of the expected reason, empty if the change must succeed.
		refusal string
		voters  string
	}{
		"promote": {
			change: func(ctx context.Context, replicator *Replicator) error { return replicator.Promote(ctx, "d") },
			voters: "[a b r d]",
		},
		"promote one that is behind": {
			fault: func(cluster *fakeCluster) {
				cluster.network.isolate("d", true)
				cluster.mustPropose("a", "second")
				time.Sleep(time.Second)
			},
			change:  func(ctx context.Context, replicator *Replicator) error { return replicator.Promote(ctx, "d") },
			refusal: "has not caught up", voters: "[a b r]",
		},
		"promote one that has not synced": {
			fault: func(cluster *fakeCluster) {
				journal := cluster.vms["d"].journal
				journal.set(func() { journal.syncDelay = 8 * time.Second })
				cluster.mustPropose("a", "second")
				time.Sleep(time.Second)
			},
			change:  func(ctx context.Context, replicator *Replicator) error { return replicator.Promote(ctx, "d") },
			refusal: "has not caught up", voters: "[a b r]",
		},
		"promote a voter": {
			change:  func(ctx context.Context, replicator *Replicator) error { return replicator.Promote(ctx, "b") },
			refusal: "not a learner", voters: "[a b r]",
		},
		"replace a lost voter": {
			fault:  func(cluster *fakeCluster) { cluster.crash("b", false); time.Sleep(2 * time.Second) },
			change: func(ctx context.Context, replicator *Replicator) error { return replicator.Replace(ctx, "b", "d") },
			voters: "[a r d]",
		},
		"replace a working voter": {
			change: func(ctx context.Context, replicator *Replicator) error { return replicator.Replace(ctx, "b", "d") },
			voters: "[a r d]",
		},
		"replace the leader": {
			change:  func(ctx context.Context, replicator *Replicator) error { return replicator.Replace(ctx, "a", "d") },
			refusal: "leads the group", voters: "[a b r]",
		},
		"remove": {
			change: func(ctx context.Context, replicator *Replicator) error { return replicator.Remove(ctx, "b") },
			voters: "[a r]",
		},
		"remove a working voter while another is lost": {
			fault:   func(cluster *fakeCluster) { cluster.crash("r", false); time.Sleep(2 * time.Second) },
			change:  func(ctx context.Context, replicator *Replicator) error { return replicator.Remove(ctx, "b") },
			refusal: "only 1 of 2 voters respond", voters: "[a b r]",
		},
		"add a learner that is a voter": {
			change:  func(ctx context.Context, replicator *Replicator) error { return replicator.AddLearner(ctx, disk("b")) },
			refusal: "is a voter", voters: "[a b r]",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				cluster := startWithLearner(t)
				defer cluster.stop()
				if test.fault != nil {
					test.fault(cluster)
				}
				// If r is running, it forwards the change to the leader.
				caller := cluster.vms["r"]
				if !caller.running {
					caller = cluster.vms["a"]
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				err := test.change(ctx, caller.replicator)
				if test.refusal == "" && err != nil ||
					test.refusal != "" && (classOf(err) != "not run" || !strings.Contains(err.Error(), test.refusal)) {
					t.Errorf("error: got %v, want reason %q", err, test.refusal)
				}
				time.Sleep(time.Second)
				if got := cluster.voters("a"); got != test.voters {
					t.Errorf("voters: got %s, want %s", got, test.voters)
				}
				cluster.mustPropose("a", "goes on")
			})
		})
	}
}

// Checks that two membership changes cannot be in progress at once, because their majorities need not
// overlap.
func TestOneMembershipChangeAtATime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cluster := startWithLearner(t)
		defer cluster.stop()
		cluster.network.block("a", "r", true)
		cluster.network.block("a", "b", true)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		if err := cluster.vms["a"].replicator.Promote(ctx, "d"); classOf(err) != "unknown" {
			t.Errorf("change without a majority: got %v, want unknown", err)
		}
		err := cluster.vms["a"].replicator.AddLearner(t.Context(), disk("e"))
		if classOf(err) != "not run" || !strings.Contains(err.Error(), "in progress") {
			t.Errorf("second change: got %v, want a refusal", err)
		}
	})
}

// Checks that after a lost voter has been replaced, losing a second VM does not lose acknowledged entries.
func TestSecondLossAfterRepair(t *testing.T) {
	for _, second := range []scheduler.VMName{"a", "r"} {
		t.Run(string(second), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				cluster := startWithLearner(t)
				defer cluster.stop()
				for number := range 50 {
					cluster.mustPropose("a", fmt.Sprint(number))
				}
				cluster.crash("b", false)
				time.Sleep(2 * time.Second)
				if err := cluster.vms["a"].replicator.Replace(t.Context(), "b", "d"); err != nil {
					t.Fatalf("Replace: %v", err)
				}
				last := cluster.mustPropose("a", "last")
				cluster.crash(second, true)
				leader := cluster.leader()
				if err := cluster.vms[leader].replicator.ReadBarrier(t.Context()); err != nil {
					t.Fatalf("ReadBarrier: %v", err)
				}
				got := cluster.vms[leader].machine.list()
				if len(got) != 52 || got[51] != last {
					t.Errorf("applied: got %d entries, want 52 with %s last", len(got), last)
				}
			})
		})
	}
}
