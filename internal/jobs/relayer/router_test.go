package relayer

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	self   scheduler.VMName = "a"
	relayB scheduler.VMName = "b"
	relayC scheduler.VMName = "c"
	relayD scheduler.VMName = "d"
)

func workerName(number int) scheduler.WorkerName {
	return scheduler.WorkerName(fmt.Sprintf("i-%06x", number*7919))
}

// countByVM routes one order to each of a number of workers and counts the orders by the VM that sends them.
func (router *router) countByVM(workers int, now time.Duration) map[scheduler.VMName]int {
	for number := range workers {
		router.next(workerName(number), now)
	}
	counts := map[scheduler.VMName]int{}
	for number := range workers {
		counts[router.next(workerName(number), now)]++
	}
	return counts
}

// Guards against a leader that sends all orders itself although the fleet is too large for it, and against relays for a
// fleet so small that they cost more than they save.
func TestOrdersAreDistributed(t *testing.T) {
	tests := map[string]struct {
		workers int
		relays  []scheduler.VMName
		want    map[scheduler.VMName]int
	}{
		"small fleet": {
			workers: directWorkers, relays: []scheduler.VMName{relayB, relayC},
			want: map[scheduler.VMName]int{self: directWorkers},
		},
		"no relay": {workers: 3000, want: map[scheduler.VMName]int{self: 3000}},
		"two relays": {
			workers: 3000, relays: []scheduler.VMName{relayB, relayC},
			want: map[scheduler.VMName]int{relayB: 1500, relayC: 1500},
		},
		"three relays": {
			workers: directWorkers + 100, relays: []scheduler.VMName{relayB, relayC, relayD},
			want: map[scheduler.VMName]int{relayB: 100, relayC: 100, relayD: 100},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			router := newRouter(self)
			router.setRelays(test.relays)
			got := router.countByVM(test.workers, time.Second)
			for _, vm := range []scheduler.VMName{self, relayB, relayC, relayD} {
				if want := test.want[vm]; got[vm] < want*3/4 || got[vm] > want*5/4 {
					t.Errorf("%s: got %d workers, want %d within a quarter", vm, got[vm], want)
				}
			}
		})
	}
}

// Guards against the loss of a relay that changes the routes of workers of other relays.
func TestLostRelayMovesOnlyItsWorkers(t *testing.T) {
	router := newRouter(self)
	router.setRelays([]scheduler.VMName{relayB, relayC, relayD})
	router.countByVM(1000, time.Second)
	before := map[scheduler.WorkerName]scheduler.VMName{}
	for number := range 1000 {
		before[workerName(number)] = router.next(workerName(number), time.Second)
	}
	router.setRelays([]scheduler.VMName{relayB, relayD})
	for worker, was := range before {
		if got := router.next(worker, time.Second); got != was && was != relayC || got == relayC {
			t.Errorf("%s: got %s, want %s as before or a remaining relay", worker, got, was)
		}
	}
}

// Guards against a worker that counts as lost although only one VM cannot reach it, and against a worker that never
// returns to its preferred VM.
func TestFailover(t *testing.T) {
	router := newRouter(self)
	router.setRelays([]scheduler.VMName{relayB, relayC})
	worker := workerName(1)
	now := time.Second
	tried := map[scheduler.VMName]bool{}
	for range 3 {
		vm := router.next(worker, now)
		tried[vm] = true
		router.recordFailure(worker, vm, now)
		router.recordFailure(worker, vm, now) // A concurrent second order through the same VM.
	}
	if len(tried) != 3 {
		t.Errorf("got %d VMs tried, want all 3", len(tried))
	}
	router.next(worker, now)
	router.recordFailure(worker, router.next(worker, now), now)
	if got := router.next(worker, now+failoverDuration+1); got != self {
		t.Errorf("after the failover: got %s, want the preferred VM %s", got, self)
	}
}

// Guards against routes of former workers that stay in memory.
func TestUnusedRoutesAreRemoved(t *testing.T) {
	router := newRouter(self)
	router.countByVM(500, time.Second)
	router.next(workerName(1), 3*routeRetention)
	if got := len(router.routes); got != 1 {
		t.Errorf("got %d routes, want 1", got)
	}
}
