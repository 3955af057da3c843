package relayer

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/ranker"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// directWorkers is the number of workers up to which the leader sends orders itself. With more workers, connections
	// and HTTP would take most of its time, while the other VMs that hold the replicated state are idle.
	directWorkers = 200
	// failoverDuration is how long another VM than the preferred one is used for a worker after the preferred one has
	// failed.
	failoverDuration = 15 * time.Second
	// routeRetention is how long a worker without orders is kept and counted.
	routeRetention = 30 * time.Second
)

// router selects the VM that sends the orders to a worker. It performs no I/O. It handles two cases: a fleet that is
// too large for one VM, and a network partition that separates a worker from some of the VMs only.
type router struct {
	self scheduler.VMName
	// directWorkers is the number of workers up to which this VM sends orders itself.
	directWorkers int
	// relays are the other VMs that may currently send orders, sorted by name.
	relays       []scheduler.VMName
	routes       map[scheduler.WorkerName]*route
	lastEviction time.Duration
	// version changes whenever the candidates of the workers change.
	version int
	// direct is true while this VM is the preferred one for all workers.
	direct bool
}

// route holds the VMs that may send orders to a worker, and their failures.
type route struct {
	lastUsed time.Duration
	// candidates holds all VMs that may send orders to the worker, the preferred one first. It was calculated for
	// version.
	candidates []scheduler.VMName
	version    int
	// failures is the number of candidates that have failed in succession, firstFailure the time of the first failure.
	failures     int
	firstFailure time.Duration
}

func newRouter(self scheduler.VMName) *router {
	return &router{self: self, directWorkers: directWorkers, routes: map[scheduler.WorkerName]*route{}}
}

// setRelays replaces the relays.
func (router *router) setRelays(relays []scheduler.VMName) {
	sorted := slices.Sorted(slices.Values(relays))
	if !slices.Equal(sorted, router.relays) {
		router.relays = sorted
		router.version++
	}
}

// next returns the VM that sends the next order to a worker.
func (router *router) next(worker scheduler.WorkerName, now time.Duration) scheduler.VMName {
	router.evictExpired(now)
	known := router.routes[worker]
	if known == nil {
		known = &route{}
		router.routes[worker] = known
	}
	known.lastUsed = now
	if known.failures > 0 && now-known.firstFailure > failoverDuration {
		known.failures = 0
	}
	candidates := router.candidates(worker, known)
	return candidates[known.failures%len(candidates)]
}

// recordFailure records that a worker did not respond to an order that a VM has sent.
func (router *router) recordFailure(worker scheduler.WorkerName, vm scheduler.VMName, now time.Duration) {
	known := router.routes[worker]
	if known == nil {
		return
	}
	if candidates := router.candidates(worker, known); candidates[known.failures%len(candidates)] != vm {
		return // Concurrent orders through the same VM fail together and count once.
	}
	if known.failures == 0 {
		known.firstFailure = now
	}
	known.failures++
}

// candidates returns all VMs that may send orders to a worker, the preferred one first. Each relay is preferred for an
// equal share of the workers. Adding or removing a relay changes the preference only for the workers of that relay.
func (router *router) candidates(worker scheduler.WorkerName, known *route) []scheduler.VMName {
	if direct := len(router.routes) <= router.directWorkers || len(router.relays) == 0; direct != router.direct {
		router.direct = direct
		router.version++
	}
	if known.candidates != nil && known.version == router.version {
		return known.candidates
	}
	known.version, known.candidates = router.version, ranker.Rank(router.relays, string(worker))
	if router.direct {
		known.candidates = slices.Insert(known.candidates, 0, router.self)
	} else {
		known.candidates = append(known.candidates, router.self)
	}
	return known.candidates
}

// evictExpired removes workers that have received no order within routeRetention.
func (router *router) evictExpired(now time.Duration) {
	if now < router.lastEviction+routeRetention {
		return
	}
	router.lastEviction = now
	for name, known := range router.routes {
		if now-known.lastUsed > routeRetention {
			delete(router.routes, name)
		}
	}
}
