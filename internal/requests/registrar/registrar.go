// Package registrar keeps the announcements of a data centre's endpoints. It accepts them over HTTP,
// exchanges them with the other gateways of the data centre, and sends summaries to the other data
// centres.
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
	// lifetime is how long an announcement counts after a gateway received it.
	lifetime = 3 * time.Second
	// exchangePeriod and summaryPeriod are the periods of the messages to other gateways.
	exchangePeriod = 250 * time.Millisecond
	summaryPeriod  = time.Second
	// defaultTableSize leaves room for the 2,700 endpoints of two years in a single data centre.
	defaultTableSize = 6000
	// defaultNewRate and defaultNewBurst bound how fast unknown endpoints enter the table. The
	// burst admits all endpoints of a data centre at once after a gateway has restarted.
	defaultNewRate  = 300
	defaultNewBurst = 3000
	// defaultRepeats is how many announcements of one endpoint a gateway processes per second.
	// Endpoints need one, and a few more when their state changes.
	defaultRepeats = 20
)

// Registrar is the directory of one gateway. It is safe for concurrent use.
type Registrar struct {
	self        scheduler.Gateway
	incarnation scheduler.Incarnation
	address     string
	transport   scheduler.Transport
	gateways    func() []scheduler.Gateway
	free        func(service scheduler.ServiceName) int
	log         zerolog.Logger
	admission   *rate.Limiter
	tableSize   int

	asking sync.WaitGroup

	mutex    sync.Mutex
	table    *table
	peers    map[scheduler.VMName]*peer
	remotes  map[scheduler.DataCentreName]remote
	snapshot map[scheduler.ServiceName]snapshot
}

// Option changes a Registrar at its creation.
type Option func(registrar *Registrar)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option {
	return func(registrar *Registrar) { registrar.log = log }
}

// WithTableSize sets how many endpoints the table holds at most.
func WithTableSize(size int) Option {
	return func(registrar *Registrar) { registrar.tableSize = size }
}

// WithAdmissionRate sets how many unknown endpoints are admitted per second, and how many at once.
func WithAdmissionRate(perSecond float64, burst int) Option {
	return func(registrar *Registrar) { registrar.admission = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithFreeSlots sets the source of the free slots per service that summaries report. Without it they
// report none, so other data centres do not spill to this one.
func WithFreeSlots(free func(service scheduler.ServiceName) int) Option {
	return func(registrar *Registrar) { registrar.free = free }
}

// WithCallerAddress sets the callers' address that summaries carry.
func WithCallerAddress(address string) Option {
	return func(registrar *Registrar) { registrar.address = address }
}

// New returns a Registrar and registers its message handlers, so it is called before the transport
// starts. incarnation is new at each start of the process, also on a VM with a disk, because the state
// of the exchange does not outlive the process. gateways returns the gateways of all data centres, including self.
func New(self scheduler.Gateway, incarnation scheduler.Incarnation, transport scheduler.Transport,
	gateways func() []scheduler.Gateway, options ...Option,
) *Registrar {
	registrar := &Registrar{
		self: self, incarnation: incarnation, transport: transport, gateways: gateways,
		free:      func(scheduler.ServiceName) int { return 0 },
		log:       zerolog.Nop(),
		admission: rate.NewLimiter(defaultNewRate, defaultNewBurst),
		tableSize: defaultTableSize,
		table:     newTable(),
		peers:     map[scheduler.VMName]*peer{},
		remotes:   map[scheduler.DataCentreName]remote{},
		snapshot:  map[scheduler.ServiceName]snapshot{},
	}
	for _, option := range options {
		option(registrar)
	}
	group := scheduler.GroupName(self.DataCentre)
	transport.Handle(group, kindAnnouncements, registrar.answerExchange)
	transport.Handle(scheduler.GlobalGroup, kindSummary, registrar.receiveSummary)
	return registrar
}

// Run exchanges announcements and sends summaries until ctx ends.
func (registrar *Registrar) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, exchangePeriod, registrar.exchange) })
	group.Go(func() error { return every(ctx, summaryPeriod, registrar.sendSummaries) })
	err := group.Wait()
	registrar.asking.Wait()
	return err
}

func every(ctx context.Context, period time.Duration, step func(ctx context.Context)) error {
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

// Endpoints returns the endpoints of a service that may get new work, in the order of their names.
func (registrar *Registrar) Endpoints(service scheduler.ServiceName) []scheduler.Announcement {
	now := time.Now()
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	kept, ok := registrar.snapshot[service]
	if ok && kept.version == registrar.table.version && now.Before(kept.validUntil) {
		return kept.endpoints
	}
	registrar.table.expire(now)
	made := registrar.table.list(service, now)
	if len(made.endpoints) == 0 {
		// Callers choose the service name, so unknown names must not fill the map.
		delete(registrar.snapshot, service)
		return nil
	}
	if len(registrar.snapshot) > serviceLimit {
		clear(registrar.snapshot)
	}
	registrar.snapshot[service] = made
	return made.endpoints
}

// Services returns the names of the services that have endpoints, in alphabetical order.
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
	found := registrar.table.entries[endpoint]
	if found == nil || !found.alive(now) {
		return scheduler.ReceivedAnnouncement{}, false
	}
	return scheduler.ReceivedAnnouncement{Announcement: found.announcement, Received: found.received}, true
}
