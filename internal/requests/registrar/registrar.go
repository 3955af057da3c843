// Package registrar implements the service registry of a gateway: it stores the announcements of the endpoints of a
// data centre. It accepts them over HTTP, exchanges them with the other gateways of the data centre, and sends
// summaries to the other data centres.
package registrar

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("registrar")

const (
	// ttl is how long an announcement, or the summary of another data centre, is valid after a gateway received it.
	ttl = 3 * time.Second
	// exchangeInterval and summaryInterval are the intervals between messages to other gateways.
	exchangeInterval = 250 * time.Millisecond
	summaryInterval  = time.Second
	// defaultTableSize leaves ample room for 2,700 endpoints, which the two-year growth forecast expects if all are in a
	// single data centre.
	defaultTableSize = 6000
	// defaultAdmissionRate (per second) and defaultAdmissionBurst limit the rate at which new endpoints enter the
	// table. After a restart of the gateway the burst admits all endpoints of a data centre at once.
	defaultAdmissionRate  = 300
	defaultAdmissionBurst = 3000
	// maxAnnouncementsPerSecond limits the announcements of one endpoint that a gateway processes. An endpoint sends
	// one per second, and a few more when its state changes.
	maxAnnouncementsPerSecond = 20
)

// Registrar implements scheduler.Directory for one gateway. It is safe for concurrent use.
type Registrar struct {
	self          scheduler.Gateway
	incarnation   scheduler.Incarnation
	callerAddress string
	transport     scheduler.Transport
	listGateways  func() []scheduler.Gateway
	freeSlots     func(service scheduler.ServiceName) int
	log           zerolog.Logger
	admission     *rate.Limiter
	tableSize     int

	exchanging sync.WaitGroup

	mutex   sync.Mutex
	table   *table
	peers   map[scheduler.VMName]*peerState
	remotes map[scheduler.DataCentreName]remoteSummary
	listing map[scheduler.ServiceName]listing
}

// Option configures a Registrar.
type Option func(registrar *Registrar)

// WithLogger sets the logger. The default discards all events.
func WithLogger(log zerolog.Logger) Option {
	return func(registrar *Registrar) { registrar.log = log }
}

// WithTableSize sets the maximum number of endpoints in the table.
func WithTableSize(size int) Option {
	return func(registrar *Registrar) { registrar.tableSize = size }
}

// WithAdmissionRate sets the rate limit for new endpoints.
func WithAdmissionRate(perSecond float64, burst int) Option {
	return func(registrar *Registrar) { registrar.admission = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithFreeSlots sets the function that returns the number of free slots of a service for the summaries. By default
// summaries report no free slots, so other data centres do not spill requests to this one.
func WithFreeSlots(free func(service scheduler.ServiceName) int) Option {
	return func(registrar *Registrar) { registrar.freeSlots = free }
}

// WithCallerAddress sets the address for callers' requests that the summaries contain.
func WithCallerAddress(address string) Option {
	return func(registrar *Registrar) { registrar.callerAddress = address }
}

// New returns a Registrar and registers its message handlers, so it must be called before the transport starts.
// incarnation must be new at each start of the process, even on a VM with a persistent disk, because the state of the
// exchange is lost when the process ends. gateways returns the gateways of all data centres, including self.
func New(self scheduler.Gateway, incarnation scheduler.Incarnation, transport scheduler.Transport,
	gateways func() []scheduler.Gateway, options ...Option,
) *Registrar {
	registrar := &Registrar{
		self: self, incarnation: incarnation, transport: transport, listGateways: gateways,
		freeSlots: func(scheduler.ServiceName) int { return 0 },
		log:       zerolog.Nop(),
		admission: rate.NewLimiter(defaultAdmissionRate, defaultAdmissionBurst),
		tableSize: defaultTableSize,
		table:     newTable(),
		peers:     map[scheduler.VMName]*peerState{},
		remotes:   map[scheduler.DataCentreName]remoteSummary{},
		listing:   map[scheduler.ServiceName]listing{},
	}
	for _, option := range options {
		option(registrar)
	}
	group := scheduler.GroupName(self.DataCentre)
	transport.Handle(group, kindAnnouncements, registrar.handleExchange)
	transport.Handle(scheduler.GlobalGroup, kindSummary, registrar.handleSummary)
	return registrar
}

// Run exchanges announcements and sends summaries until ctx is done.
func (registrar *Registrar) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runEvery(ctx, exchangeInterval, registrar.startExchanges) })
	group.Go(func() error { return runEvery(ctx, summaryInterval, registrar.sendSummaries) })
	err := group.Wait()
	registrar.exchanging.Wait()
	return err
}

func runEvery(ctx context.Context, period time.Duration, step func(ctx context.Context)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			step(ctx)
		}
	}
}

// Endpoints returns the endpoints of a service that may get new requests, sorted by name.
func (registrar *Registrar) Endpoints(service scheduler.ServiceName) []scheduler.Announcement {
	now := time.Now()
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	cached, ok := registrar.listing[service]
	if ok && cached.version == registrar.table.version && now.Before(cached.validUntil) {
		return cached.endpoints
	}
	registrar.table.expire(now)
	current := registrar.table.listEndpoints(service, now)
	if len(current.endpoints) == 0 {
		// Callers choose the service name, so empty listings are not cached: unknown names would fill the map.
		delete(registrar.listing, service)
		return nil
	}
	if len(registrar.listing) > maxServices {
		clear(registrar.listing)
	}
	registrar.listing[service] = current
	return current.endpoints
}

// Services returns the sorted names of the services that have endpoints.
func (registrar *Registrar) Services() []scheduler.ServiceName {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	registrar.table.expire(time.Now())
	return slices.Sorted(maps.Keys(registrar.table.byService))
}

// LastAnnouncement returns the last announcement of an endpoint that has not expired.
func (registrar *Registrar) LastAnnouncement(endpoint scheduler.EndpointName) (scheduler.ReceivedAnnouncement, bool) {
	now := time.Now()
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	entry := registrar.table.entries[endpoint]
	if entry == nil || !entry.isLive(now) {
		return scheduler.ReceivedAnnouncement{}, false
	}
	return scheduler.ReceivedAnnouncement{Announcement: entry.announcement, Received: entry.received}, true
}
