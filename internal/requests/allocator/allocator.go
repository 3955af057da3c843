// Package allocator divides the slots and connections of a data centre's endpoints among its gateways.
// The leader of the data centre's group grants shares that expire; Shares is the gateway's side.
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

// spareConnections is what a share has in connections beyond the endpoint's slots: one for a probe and
// one for a connection that is being replaced.
const spareConnections = 2

// Allocator grants shares while its VM leads the data centre's group. It keeps them in memory only. It
// is safe for concurrent use.
type Allocator struct {
	group     scheduler.Group
	directory scheduler.Directory
	log       zerolog.Logger

	mutex     sync.Mutex
	term      scheduler.Term
	since     time.Time
	gateways  map[scheduler.GatewayID]*gatewayState
	endpoints map[scheduler.EndpointName]map[scheduler.GatewayID]*record
}

// gatewayState is what the allocator remembers of one life of a gateway.
type gatewayState struct {
	number uint64
	asked  time.Time
	// claims and grants are those of the ask with this number.
	claims map[scheduler.EndpointName]claim
	grants map[scheduler.EndpointName]grant
}

// record is what one gateway may use at one endpoint: the larger of what it reported and what it was
// granted.
type record struct {
	slots       int
	connections int
	demand      int
	answered    time.Time
}

func (record *record) live(now time.Time) bool { return now.Sub(record.answered) < grantLife }

// Option changes an Allocator at its creation.
type Option func(allocator *Allocator)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option {
	return func(allocator *Allocator) { allocator.log = log }
}

// New returns an Allocator and registers its message handler, so it is called before the transport
// starts.
func New(group scheduler.Group, transport scheduler.Transport, directory scheduler.Directory, options ...Option) *Allocator {
	allocator := &Allocator{group: group, directory: directory, log: zerolog.Nop()}
	for _, option := range options {
		option(allocator)
	}
	transport.Handle(group.Name(), kindShareAsk, allocator.handle)
	return allocator
}

// handle answers an ask. It refuses when this VM does not hold the leader lease.
func (allocator *Allocator) handle(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
	var asked ask
	if err := cbor.Unmarshal(body, &asked); err != nil {
		return nil, Error.New("read ask: %v", err)
	}
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	term := allocator.group.Status().Term()
	if !allocator.group.HoldsLeaderLease() || allocator.group.Status().Term() != term {
		return nil, Error.Wrap(scheduler.ErrNotRun.New("not the leader of %s", allocator.group.Name()))
	}
	if term != allocator.term {
		allocator.takeOver(term)
	}
	answered, err := allocator.answer(asked, time.Now())
	if err != nil {
		return nil, err
	}
	reply, err := cbor.Marshal(answered)
	if err != nil {
		return nil, Error.New("write answer: %v", err)
	}
	return reply, nil
}

// takeOver starts with nothing known. The shares of earlier allocators have not yet expired.
func (allocator *Allocator) takeOver(term scheduler.Term) {
	allocator.term, allocator.since = term, time.Now()
	allocator.gateways = map[scheduler.GatewayID]*gatewayState{}
	allocator.endpoints = map[scheduler.EndpointName]map[scheduler.GatewayID]*record{}
	allocator.log.Info().Str("event", "allocatorStarted").Uint64("term", uint64(term)).Msg("this VM allocates shares")
}

func (allocator *Allocator) answer(asked ask, now time.Time) (answerMessage, error) {
	if asked.Session != allocator.term {
		return answerMessage{Session: allocator.term, Refused: true}, nil
	}
	allocator.collect(now)
	state := allocator.gateways[asked.Gateway]
	if state == nil {
		state = &gatewayState{}
		allocator.gateways[asked.Gateway] = state
	}
	if asked.Number <= state.number {
		return answerMessage{}, Error.Wrap(scheduler.ErrNotRun.New("ask %d came after ask %d", asked.Number, state.number))
	}
	if asked.Base != 0 && asked.Base != state.number {
		return answerMessage{Session: allocator.term, Rebase: true}, nil
	}
	state.number, state.asked = asked.Number, now
	before, earlier := state.claims, state.grants
	state.claims, state.grants = asked.all(before), make(map[scheduler.EndpointName]grant, len(before))
	if asked.Base == 0 {
		earlier = nil
	}
	answered := answerMessage{Session: allocator.term}
	for endpoint, claimed := range state.claims {
		given := allocator.decide(asked, claimed, now)
		state.grants[endpoint] = given
		if same, found := earlier[endpoint]; !found || same != given {
			answered.Grants = append(answered.Grants, givenGrant{Endpoint: endpoint, Slots: given.Slots, Connections: given.Connections})
		}
	}
	for endpoint := range before {
		if _, claimed := state.claims[endpoint]; !claimed {
			delete(allocator.endpoints[endpoint], asked.Gateway)
		}
	}
	return answered, nil
}

// decide takes over what the gateway reports of one endpoint and grants what is free of it.
func (allocator *Allocator) decide(asked ask, claimed claim, now time.Time) grant {
	records := allocator.endpoints[claimed.Endpoint]
	if records == nil {
		records = map[scheduler.GatewayID]*record{}
		allocator.endpoints[claimed.Endpoint] = records
	}
	heard, known := allocator.directory.LastAnnouncement(claimed.Endpoint)
	own := records[asked.Gateway]
	held := max(claimed.Limit, claimed.InUse)
	if own == nil || !own.live(now) {
		// The ask may be older than the expiry, and requests may have started after it was sent.
		held = max(held, heard.InProgress[asked.Gateway])
	}
	own = &record{slots: held, connections: max(claimed.ConnectionLimit, claimed.Open), demand: claimed.Demand, answered: now}
	records[asked.Gateway] = own

	var given grant
	switch {
	case !known || asked.Leaving:
	case now.Sub(allocator.since) < proofAfter || heard.Received.Sub(allocator.since) < proofAfter:
		given = grant{Slots: claimed.Limit, Connections: claimed.ConnectionLimit}
	default:
		given = allocator.divide(asked.Gateway, heard, records, now)
	}
	own.slots, own.connections = max(own.slots, given.Slots), max(own.connections, given.Connections)
	return given
}

// divide returns the share of a gateway: its target, but no more than is free.
func (allocator *Allocator) divide(gateway scheduler.GatewayID, heard scheduler.ReceivedAnnouncement,
	records map[scheduler.GatewayID]*record, now time.Time,
) grant {
	demands := map[scheduler.GatewayID]int{}
	freeSlots, freeConnections := heard.Slots, heard.Connections
	reserved := 0
	for name, other := range records {
		if other.live(now) {
			demands[name] = other.demand
		}
		if name == gateway {
			continue
		}
		slots, connections := allocator.counted(name, other, heard, now)
		freeSlots -= slots
		freeConnections -= connections
		if !other.live(now) {
			reserved += slots
		}
	}
	for name, running := range heard.InProgress {
		if records[name] == nil {
			freeSlots -= running
			freeConnections -= running
			reserved += running
		}
	}
	target := targets(heard.Slots-reserved, demands, heard.Endpoint)[gateway]
	connections := max(0, min(heard.Slots+spareConnections, heard.Connections/max(1, len(demands)), freeConnections))
	return grant{Slots: max(0, min(target, freeSlots, connections)), Connections: connections}
}

// counted returns what a gateway may be using. After the expiry its slots stay reserved until an
// announcement proves how many of its requests are in progress.
func (allocator *Allocator) counted(name scheduler.GatewayID, own *record, heard scheduler.ReceivedAnnouncement, now time.Time) (slots, connections int) {
	switch {
	case own.live(now) || heard.Received.Sub(own.answered) < proofAfter:
		return own.slots, own.connections
	case now.Sub(own.answered) < connectionLife:
		return heard.InProgress[name], max(own.connections, heard.InProgress[name])
	default:
		return heard.InProgress[name], heard.InProgress[name]
	}
}

// collect forgets gateways that have not asked for so long that nothing of theirs is counted any more.
func (allocator *Allocator) collect(now time.Time) {
	for name, state := range allocator.gateways {
		if now.Sub(state.asked) <= connectionLife {
			continue
		}
		for endpoint := range state.claims {
			delete(allocator.endpoints[endpoint], name)
		}
		delete(allocator.gateways, name)
	}
	for endpoint, records := range allocator.endpoints {
		if len(records) == 0 {
			delete(allocator.endpoints, endpoint)
		}
	}
}
