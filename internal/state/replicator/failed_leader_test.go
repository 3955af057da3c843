package replicator

import (
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a group that waits for an election timeout when the disk of its leader refuses writes.
func TestLeaderWithRefusingDiskHandsOver(t *testing.T) {
	tests := map[string]func(journal *fakeJournal){
		"refused append": func(journal *fakeJournal) { journal.failed = true },
		"failed sync":    func(journal *fakeJournal) { journal.failSync = true },
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				cluster := newCluster(t, 1, []Member{disk("a"), disk("b"), disk("c")})
				defer cluster.stop()
				cluster.startAll()
				first := cluster.leader()
				cluster.mustPropose(first, "before")
				vm := cluster.vms[first]
				vm.journal.set(func() { fail(vm.journal) })
				start := time.Now()
				if _, err := cluster.propose(first, "refused"); classOf(err) != "unknown" {
					t.Errorf("proposal on the failed leader: got %v, want an unknown outcome", err)
				}
				ended, replaced := time.Duration(0), time.Duration(0)
				for replaced == 0 && time.Since(start) < 5*time.Second {
					for name, vm := range cluster.vms {
						switch holds := vm.replicator.HoldsLeaderLease(); {
						case name == first && !holds && ended == 0:
							ended = time.Since(start)
						case name == first && holds && ended > 0:
							t.Fatal("the failed leader holds a lease again")
						case name != first && holds:
							replaced = time.Since(start)
						}
					}
					time.Sleep(time.Millisecond)
				}
				if replaced == 0 || ended > replaced {
					t.Errorf("lease of the failed leader ended after %v, the next one began after %v", ended, replaced)
				}
				if got, want := replaced, minElectionTimeout/2; got > want {
					t.Errorf("time without a leader: got %v, want at most %v", got, want)
				}
			})
		})
	}
}

// Guards against a request to take over that goes to a VM with fewer entries than another one.
func TestFailedLeaderChoosesLongestLog(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		members := []Member{disk("a"), disk("b"), disk("c"), disk("d"), disk("e")}
		cluster := newCluster(t, 1, members)
		defer cluster.stop()
		cluster.startAll()
		first := cluster.leader()
		behind := cluster.otherVM(first)
		cluster.network.set(func() {
			cluster.network.filter = func(_, to scheduler.VMName, kind scheduler.MessageKind) bool {
				return to != behind || kind != kindAppend
			}
		})
		cluster.mustPropose(first, "before")
		cluster.network.set(func() { cluster.network.filter = nil })
		vm := cluster.vms[first]
		vm.journal.set(func() { vm.journal.failed = true })
		_, _ = cluster.propose(first, "refused")
		if got := cluster.leader(); got == behind {
			t.Errorf("leader: got %s, whose log is behind", got)
		}
	})
}
