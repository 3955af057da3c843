package relayer

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	self    scheduler.VMName = "a"
	helperB scheduler.VMName = "b"
	helperC scheduler.VMName = "c"
	helperD scheduler.VMName = "d"
)

func workerName(number int) scheduler.WorkerName {
	return scheduler.WorkerName(fmt.Sprintf("i-%06x", number*7919))
}

// parts plays one order to each of a number of workers and counts who sends it.
func (router *router) parts(workers int, now time.Duration) map[scheduler.VMName]int {
	for number := range workers {
		router.next(workerName(number), now)
	}
	counts := map[scheduler.VMName]int{}
	for number := range workers {
		counts[router.next(workerName(number), now)]++
	}
	return counts
}

// Guards against a leader that calls a fleet alone which is too large for it, and one that makes others call a fleet
// for which that costs more than it saves.
func TestOrdersAreSpread(t *testing.T) {
	tests := map[string]struct {
		workers int
		helpers []scheduler.VMName
		want    map[scheduler.VMName]int
	}{
		"small fleet":            {workers: directWorkers, helpers: []scheduler.VMName{helperB, helperC}, want: map[scheduler.VMName]int{self: directWorkers}},
		"no other VM":            {workers: 3000, want: map[scheduler.VMName]int{self: 3000}},
		"two other VMs":          {workers: 3000, helpers: []scheduler.VMName{helperB, helperC}, want: map[scheduler.VMName]int{helperB: 1500, helperC: 1500}},
		"more than one VM calls": {workers: directWorkers + 100, helpers: []scheduler.VMName{helperB, helperC, helperD}, want: map[scheduler.VMName]int{helperB: 100, helperC: 100, helperD: 100}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			router := newRouter(self)
			router.setHelpers(test.helpers)
			got := router.parts(test.workers, time.Second)
			for _, vm := range []scheduler.VMName{self, helperB, helperC, helperD} {
				if want := test.want[vm]; got[vm] < want*3/4 || got[vm] > want*5/4 {
					t.Errorf("%s: got %d workers, want %d within a quarter", vm, got[vm], want)
				}
			}
		})
	}
}

// Guards against the loss of a VM that changes the way to workers of other VMs.
func TestLostHelperMovesItsPartOnly(t *testing.T) {
	router := newRouter(self)
	router.setHelpers([]scheduler.VMName{helperB, helperC, helperD})
	router.parts(1000, time.Second)
	before := map[scheduler.WorkerName]scheduler.VMName{}
	for number := range 1000 {
		before[workerName(number)] = router.next(workerName(number), time.Second)
	}
	router.setHelpers([]scheduler.VMName{helperB, helperD})
	for worker, was := range before {
		if got := router.next(worker, time.Second); got != was && was != helperC || got == helperC {
			t.Errorf("%s: got %s, want %s as before or a VM that is left", worker, got, was)
		}
	}
}

// Guards against a worker that is given up although only one VM cannot reach it, and one that stays on a detour for
// ever.
func TestWorkerIsReachedByAnotherWay(t *testing.T) {
	router := newRouter(self)
	router.setHelpers([]scheduler.VMName{helperB, helperC})
	worker := workerName(1)
	now := time.Second
	tried := map[scheduler.VMName]bool{}
	for range 3 {
		vm := router.next(worker, now)
		tried[vm] = true
		router.failed(worker, vm, now)
		router.failed(worker, vm, now) // A second order that was on the same way.
	}
	if len(tried) != 3 {
		t.Errorf("got %d ways tried, want all 3", len(tried))
	}
	router.next(worker, now)
	router.failed(worker, router.next(worker, now), now)
	if got := router.next(worker, now+detourTime+1); got != self {
		t.Errorf("after the detour: got %s, want the preferred way %s", got, self)
	}
}

// Guards against memory that grows with every worker that ever was.
func TestWorkersAreForgotten(t *testing.T) {
	router := newRouter(self)
	router.parts(500, time.Second)
	router.next(workerName(1), 3*forgetAfter)
	if got := len(router.routes); got != 1 {
		t.Errorf("got %d workers known, want 1", got)
	}
}
