// Package allocator divides the slots and connections of a data centre's endpoints among its gateways. An Allocator on
// the leader of the data centre's group grants shares with an expiry time; a ShareClient on each gateway requests
// shares and allocates slots from them.
//
// A share is the part of an endpoint's slots and connections that a gateway may use until the share expires. A grant is
// the size of a share in the allocator's response. An allocation is the allocator's record of the capacity that a
// gateway may be using at an endpoint, which may exceed the latest grant.
package allocator

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("allocator")

// spareConnections is the number of connections in a share beyond the endpoint's slots: one for a probe and one for a
// connection that is being replaced.
const spareConnections = 2

// Allocator grants shares while its VM leads the data centre's group. It keeps the grants in memory only. It is safe
// for concurrent use.
type Allocator struct {
	group     scheduler.Group
	directory scheduler.Directory
	log       zerolog.Logger

	mutex     sync.Mutex
	term      scheduler.Term
	termStart time.Time
	// A GatewayID contains the incarnation, so a restarted gateway has an entry of its own in both maps.
	gateways    map[scheduler.GatewayID]*gatewayState
	allocations map[scheduler.EndpointName]map[scheduler.GatewayID]*allocation
}

// gatewayState is the allocator's state of one incarnation of a gateway.
type gatewayState struct {
	lastNumber  uint64
	lastRequest time.Time
	// reports and grants belong to the request with lastNumber.
	reports map[scheduler.EndpointName]endpointReport
	grants  map[scheduler.EndpointName]grant
}

// allocation is the capacity of one endpoint that one gateway may be using, as of its latest share request.
type allocation struct {
	// slots and connections are the larger of what the gateway reported and what the allocator granted to it. slots
	// also covers the gateway's requests in progress that the endpoint announced, if there was no valid allocation
	// before.
	slots       int
	connections int
	// demand is the number of slots that the gateway could use.
	demand int
	// grantedAt is when the allocator processed the share request. The validity of the allocation begins then.
	grantedAt time.Time
}

func (allocation *allocation) isValid(now time.Time) bool {
	return now.Sub(allocation.grantedAt) < grantTTL
}

// Option configures an Allocator.
type Option func(allocator *Allocator)

// WithLogger sets the logger. By default, nothing is logged.
func WithLogger(log zerolog.Logger) Option {
	return func(allocator *Allocator) { allocator.log = log }
}

// New returns an Allocator and registers its message handler. It must be called before the transport is started.
func New(group scheduler.Group, transport scheduler.Transport, directory scheduler.Directory,
	options ...Option,
) *Allocator {
	allocator := &Allocator{group: group, directory: directory, log: zerolog.Nop()}
	for _, option := range options {
		option(allocator)
	}
	transport.Handle(group.Name(), kindShareRequest, allocator.handle)
	return allocator
}

// handle processes a share request. It fails if this VM does not hold the leader lease.
func (allocator *Allocator) handle(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
	var request shareRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, Error.New("decode share request: %v", err)
	}
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	// The term is read before and after the lease is checked. If it has changed in between, it is unknown in which of
	// the terms the lease was held, and the request is rejected.
	term := allocator.group.Status().Term()
	if !allocator.group.HoldsLeaderLease() || allocator.group.Status().Term() != term {
		return nil, Error.Wrap(scheduler.ErrNotRun.New("not the leader of group %s", allocator.group.Name()))
	}
	if term != allocator.term {
		allocator.startTerm(term)
	}
	response, err := allocator.respond(request, time.Now())
	if err != nil {
		return nil, err
	}
	reply, err := cbor.Marshal(response)
	if err != nil {
		return nil, Error.New("encode share response: %v", err)
	}
	return reply, nil
}

// startTerm discards all state. Shares granted by the allocators of earlier terms may still be valid, so grantEndpoint
// grants no new capacity at an endpoint until it has an announcement received at least proofDelay after the start of the
// term.
func (allocator *Allocator) startTerm(term scheduler.Term) {
	allocator.term, allocator.termStart = term, time.Now()
	allocator.gateways = map[scheduler.GatewayID]*gatewayState{}
	allocator.allocations = map[scheduler.EndpointName]map[scheduler.GatewayID]*allocation{}
	allocator.log.Info().Str("event", "allocatorStarted").Uint64("term", uint64(term)).
		Msg("allocator started for a new leader term")
}

// respond updates the state of a gateway from a share request and returns the grants for its reports. A request with a
// baseline lists only what differs from that earlier request, whose reports and grants the gateway's state still holds.
// The response then lists only the grants that differ from the earlier ones.
func (allocator *Allocator) respond(request shareRequest, now time.Time) (shareResponse, error) {
	if request.Term != allocator.term {
		return shareResponse{Term: allocator.term, TermMismatch: true}, nil
	}
	allocator.removeStaleGateways(now)
	state := allocator.gateways[request.Gateway]
	if state == nil {
		state = &gatewayState{}
		allocator.gateways[request.Gateway] = state
	}
	if request.Number <= state.lastNumber {
		return shareResponse{}, Error.Wrap(scheduler.ErrNotRun.New(
			"request %d received after request %d", request.Number, state.lastNumber))
	}
	if request.Baseline != 0 && request.Baseline != state.lastNumber {
		return shareResponse{Term: allocator.term, BaselineMismatch: true}, nil
	}
	state.lastNumber, state.lastRequest = request.Number, now
	previousReports, previousGrants := state.reports, state.grants
	state.reports, state.grants = request.applyTo(previousReports),
		make(map[scheduler.EndpointName]grant, len(previousReports))
	if request.Baseline == 0 {
		previousGrants = nil
	}
	response := shareResponse{Term: allocator.term}
	for endpoint, reported := range state.reports {
		granted := allocator.grantEndpoint(request, reported, now)
		state.grants[endpoint] = granted
		if previous, found := previousGrants[endpoint]; !found || previous != granted {
			response.Grants = append(response.Grants, endpointGrant{
				Endpoint: endpoint, Slots: granted.Slots, Connections: granted.Connections,
			})
		}
	}
	for endpoint := range previousReports {
		if _, reported := state.reports[endpoint]; !reported {
			delete(allocator.allocations[endpoint], request.Gateway)
		}
	}
	return response, nil
}

// grantEndpoint records the gateway's report about one endpoint and returns its share of the free capacity.
func (allocator *Allocator) grantEndpoint(request shareRequest, report endpointReport, now time.Time) grant {
	allocations := allocator.allocations[report.Endpoint]
	if allocations == nil {
		allocations = map[scheduler.GatewayID]*allocation{}
		allocator.allocations[report.Endpoint] = allocations
	}
	announcement, known := allocator.directory.LastAnnouncement(report.Endpoint)
	current := allocations[request.Gateway]
	slots := max(report.Limit, report.InUse)
	if current == nil || !current.isValid(now) {
		// The share request may have been sent before the allocation expired, and the gateway may have started requests
		// of callers at the endpoint since.
		slots = max(slots, announcement.InProgress[request.Gateway])
	}
	current = &allocation{
		slots: slots, connections: max(report.ConnectionLimit, report.OpenConnections), demand: report.Demand,
		grantedAt: now,
	}
	allocations[request.Gateway] = current

	var granted grant
	switch {
	case !known || request.Leaving:
		// Nothing is granted at an endpoint without an announcement, or to a gateway that is leaving.
	case now.Sub(allocator.termStart) < proofDelay || announcement.Received.Sub(allocator.termStart) < proofDelay:
		// Shares of earlier terms that this allocator does not know may still be valid, or requests may have started
		// under them after the announcement was sent. The gateway keeps the share that it reports but gets no more.
		// From proofDelay after the start of the term, these shares have expired, and an announcement received since
		// then proves how many requests are still in progress under them.
		granted = grant{Slots: report.Limit, Connections: report.ConnectionLimit}
	default:
		granted = allocator.computeGrant(request.Gateway, announcement, allocations, now)
	}
	current.slots, current.connections = max(current.slots, granted.Slots), max(current.connections, granted.Connections)
	return granted
}

// computeGrant returns the share of a gateway: its fair share, limited to the free capacity.
func (allocator *Allocator) computeGrant(gateway scheduler.GatewayID, announcement scheduler.ReceivedAnnouncement,
	allocations map[scheduler.GatewayID]*allocation, now time.Time,
) grant {
	demands := map[scheduler.GatewayID]int{}
	freeSlots, freeConnections := announcement.Slots, announcement.Connections
	// reserved is the number of slots that gateways without a valid allocation may still use. These gateways have no
	// entry in demands, so their slots are subtracted before the rest is divided into fair shares.
	reserved := 0
	for otherGateway, other := range allocations {
		if other.isValid(now) {
			demands[otherGateway] = other.demand
		}
		if otherGateway == gateway {
			continue
		}
		slots, connections := allocator.usageBound(otherGateway, other, announcement, now)
		freeSlots -= slots
		freeConnections -= connections
		if !other.isValid(now) {
			reserved += slots
		}
	}
	for otherGateway, running := range announcement.InProgress {
		if allocations[otherGateway] == nil {
			freeSlots -= running
			freeConnections -= running
			reserved += running
		}
	}
	fairShare := fairShares(announcement.Slots-reserved, demands, announcement.Endpoint)[gateway]
	// The connections are split evenly among the gateways with a valid allocation, regardless of their demand.
	connections := max(0, min(
		announcement.Slots+spareConnections, announcement.Connections/max(1, len(demands)), freeConnections))
	return grant{Slots: max(0, min(fairShare, freeSlots, connections)), Connections: connections}
}

// usageBound returns an upper bound of the slots and connections that a gateway uses. After the allocation has
// expired, its slots remain reserved until an announcement proves how many of the gateway's requests are in progress.
// An announcement received at least proofDelay after the grant proves it: it was sent after the share had expired at
// the gateway, so the gateway has started no request under the share since.
func (allocator *Allocator) usageBound(gateway scheduler.GatewayID, current *allocation,
	announcement scheduler.ReceivedAnnouncement, now time.Time,
) (slots, connections int) {
	switch {
	case current.isValid(now) || announcement.Received.Sub(current.grantedAt) < proofDelay:
		return current.slots, current.connections
	case now.Sub(current.grantedAt) < connectionTTL:
		return announcement.InProgress[gateway], max(current.connections, announcement.InProgress[gateway])
	default:
		return announcement.InProgress[gateway], announcement.InProgress[gateway]
	}
}

// removeStaleGateways removes gateways that have sent no request for connectionTTL, after which their
// allocations no longer count.
func (allocator *Allocator) removeStaleGateways(now time.Time) {
	for gateway, state := range allocator.gateways {
		if now.Sub(state.lastRequest) <= connectionTTL {
			continue
		}
		for endpoint := range state.reports {
			delete(allocator.allocations[endpoint], gateway)
		}
		delete(allocator.gateways, gateway)
	}
	for endpoint, allocations := range allocator.allocations {
		if len(allocations) == 0 {
			delete(allocator.allocations, endpoint)
		}
	}
}
