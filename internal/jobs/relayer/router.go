package relayer

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/ranker"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// directWorkers is how many workers the leader calls itself. Beyond that, connections and HTTP would take
	// most of its time, while the other VMs that hold state are idle.
	directWorkers = 200
	// detourTime is for how long a worker is reached by another way than the first one, after that has failed.
	detourTime = 15 * time.Second
	// forgetAfter is after how long without an order a worker no longer counts.
	forgetAfter = 30 * time.Second
)

// router decides which VM sends the orders to a worker. It is pure decision code. The loads that it answers are a
// fleet that is too large for one VM, and a network in which a worker is cut off from one VM and not from others.
type router struct {
	self scheduler.VMName
	// directWorkers is how many workers the VM calls itself.
	directWorkers int
	// helpers are the other VMs that may send orders now, in the order of their names.
	helpers []scheduler.VMName
	routes  map[scheduler.WorkerName]*route
	swept   time.Duration
	// version changes whenever the ways of the workers do.
	version int
	direct  bool
}

// route is what is known of the ways to a worker.
type route struct {
	used time.Duration
	// ways holds all VMs that may send orders to the worker, the preferred one first, as of a version.
	ways    []scheduler.VMName
	version int
	// failures counts the ways that have failed in succession, since is when the first one did.
	failures int
	since    time.Duration
}

func newRouter(self scheduler.VMName) *router {
	return &router{self: self, directWorkers: directWorkers, routes: map[scheduler.WorkerName]*route{}}
}

// setHelpers replaces the VMs that may send orders.
func (router *router) setHelpers(helpers []scheduler.VMName) {
	sorted := slices.Sorted(slices.Values(helpers))
	if !slices.Equal(sorted, router.helpers) {
		router.helpers = sorted
		router.version++
	}
}

// next returns the VM that sends the next order to a worker.
func (router *router) next(worker scheduler.WorkerName, now time.Duration) scheduler.VMName {
	router.sweep(now)
	known := router.routes[worker]
	if known == nil {
		known = &route{}
		router.routes[worker] = known
	}
	known.used = now
	if known.failures > 0 && now-known.since > detourTime {
		known.failures = 0
	}
	ways := router.ways(worker, known)
	return ways[known.failures%len(ways)]
}

// failed notes that a worker did not answer an order that a VM has sent.
func (router *router) failed(worker scheduler.WorkerName, vm scheduler.VMName, now time.Duration) {
	known := router.routes[worker]
	if known == nil {
		return
	}
	if ways := router.ways(worker, known); ways[known.failures%len(ways)] != vm {
		return // Orders on the way at the same time fail together and count once.
	}
	if known.failures == 0 {
		known.since = now
	}
	known.failures++
}

// ways returns all VMs that may send orders to a worker, the preferred one first. Each VM is preferred for an equal
// part of the workers, and a VM that comes or goes changes the preference of its own part only.
func (router *router) ways(worker scheduler.WorkerName, known *route) []scheduler.VMName {
	if direct := len(router.routes) <= router.directWorkers || len(router.helpers) == 0; direct != router.direct {
		router.direct = direct
		router.version++
	}
	if known.ways != nil && known.version == router.version {
		return known.ways
	}
	known.version, known.ways = router.version, ranker.Rank(router.helpers, string(worker))
	if router.direct {
		known.ways = slices.Insert(known.ways, 0, router.self)
	} else {
		known.ways = append(known.ways, router.self)
	}
	return known.ways
}

// sweep forgets workers that get no more orders.
func (router *router) sweep(now time.Duration) {
	if now < router.swept+forgetAfter {
		return
	}
	router.swept = now
	for name, known := range router.routes {
		if now-known.used > forgetAfter {
			delete(router.routes, name)
		}
	}
}
