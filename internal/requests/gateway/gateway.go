// Package gateway handles callers' HTTP requests. It combines endpoint discovery, slot allocation, the idempotency key
// store, queueing, load balancing, retries and forwarding into one http.Handler, and shuts down without interrupting
// requests in progress.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/requests/forwarder"
	"github.com/crocusplank/crocusplank/internal/requests/isolator"
	"github.com/crocusplank/crocusplank/internal/requests/limiter"
	"github.com/crocusplank/crocusplank/internal/requests/retrier"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("gateway")

const (
	// maxHeaderBytes limits the size of a caller's request headers.
	maxHeaderBytes      = 32 << 10
	headerReadTimeout   = 5 * time.Second
	idleTimeout         = 75 * time.Second
	defaultMaxBodyBytes = 64 << 20
	defaultDeadline     = 30 * time.Second
	defaultMaxDeadline  = time.Hour
	recordTimeout       = 10 * time.Second
	queuePollInterval   = 20 * time.Millisecond
)

// Dependencies are the components that a Gateway combines. All are required.
type Dependencies struct {
	Directory scheduler.Directory
	KeyStore  scheduler.KeyStore
	// Free returns the number of slots of a service that this gateway can acquire now.
	Free      func(service scheduler.ServiceName) int
	Balancer  scheduler.Balancer
	Forwarder *forwarder.Forwarder
	Limiter   *limiter.Limiter
	Retrier   *retrier.Retrier
}

// Gateway is the http.Handler for callers' requests. It is safe for concurrent use.
type Gateway struct {
	dependencies    Dependencies
	vm              scheduler.VMName
	remoteForwarder *forwarder.Forwarder
	isolator        *isolator.Isolator
	isolatorOptions []isolator.Option
	idempotent      func(service scheduler.ServiceName) (idempotent, configured bool)
	callerID        func(r *http.Request) string
	releaseSlots    func()
	bodyLimit       int64
	deadline        time.Duration
	maxDeadline     time.Duration
	stallTimeout    time.Duration
	slotCount       func(service scheduler.ServiceName) int
	log             zerolog.Logger

	server   *http.Server
	stopping atomic.Bool
	// queued is the number of requests that are waiting for their first slot.
	queued        atomic.Int64
	outcomeWrites sync.WaitGroup

	streamsMutex sync.Mutex
	// streams counts the slots of each service that requests with unfinished bodies hold.
	streams map[scheduler.ServiceName]int
}

// Option configures a Gateway.
type Option func(gateway *Gateway)

// WithLogger sets the logger. The default discards all events.
func WithLogger(log zerolog.Logger) Option {
	return func(gateway *Gateway) { gateway.log = log }
}

// WithIdempotent sets the function that returns whether the requests of a service are configured as idempotent.
func WithIdempotent(idempotent func(service scheduler.ServiceName) (idempotent, configured bool)) Option {
	return func(gateway *Gateway) { gateway.idempotent = idempotent }
}

// WithCallerID sets the function that identifies a caller for fair queueing. The default is the host of the remote
// address.
func WithCallerID(callerID func(r *http.Request) string) Option {
	return func(gateway *Gateway) { gateway.callerID = callerID }
}

// WithBodyLimit sets the maximum size of a request body in bytes.
func WithBodyLimit(limit int64) Option {
	return func(gateway *Gateway) { gateway.bodyLimit = limit }
}

// WithDeadline sets the time allowed for a request without a deadline header, and the maximum for any request. A longer
// deadline is shortened to the maximum.
func WithDeadline(fallback, maximum time.Duration) Option {
	return func(gateway *Gateway) { gateway.deadline, gateway.maxDeadline = fallback, maximum }
}

// WithSlotCount sets the function that returns the number of slots of a service that this gateway may use, free or not. The
// default is the number that the endpoints announce.
func WithSlotCount(slotCount func(service scheduler.ServiceName) int) Option {
	return func(gateway *Gateway) { gateway.slotCount = slotCount }
}

// WithSlotRelease sets the function that returns this gateway's shares of the endpoints' slots during a graceful
// shutdown.
func WithSlotRelease(release func()) Option {
	return func(gateway *Gateway) { gateway.releaseSlots = release }
}

// WithCrashSharing shares with other gateways which requests crash endpoints. New must be called before the transport
// starts.
func WithCrashSharing(transport scheduler.Transport, gateways func() []scheduler.Gateway) Option {
	return func(gateway *Gateway) {
		gateway.isolatorOptions = append(gateway.isolatorOptions, isolator.WithSharing(transport, gateways))
	}
}

// WithServer sets the function that returns the server for Serve, for example one that limits the connections and has the
// paths of other roles of the process. The limits of headers and idle connections are those of the Gateway.
func WithServer(newServer func(requests http.Handler) *http.Server) Option {
	return func(gateway *Gateway) { gateway.server = newServer(gateway) }
}

// New returns a Gateway.
func New(vm scheduler.VMName, dependencies Dependencies, options ...Option) *Gateway {
	gateway := &Gateway{
		dependencies: dependencies, vm: vm,
		remoteForwarder: forwarder.New(scheduler.GatewayID(vm), unlimitedSource{}),
		idempotent:      func(scheduler.ServiceName) (bool, bool) { return false, false },
		callerID:        remoteHost,
		releaseSlots:    func() {},
		bodyLimit:       defaultMaxBodyBytes, deadline: defaultDeadline, maxDeadline: defaultMaxDeadline,
		stallTimeout: defaultStallTimeout, streams: map[scheduler.ServiceName]int{},
		log: zerolog.Nop(),
	}
	gateway.slotCount = gateway.announcedSlots
	gateway.server = &http.Server{Handler: gateway, ReadHeaderTimeout: headerReadTimeout}
	for _, option := range options {
		option(gateway)
	}
	gateway.server.MaxHeaderBytes, gateway.server.IdleTimeout = maxHeaderBytes, idleTimeout
	gateway.server.ReadHeaderTimeout = headerReadTimeout
	gateway.isolator = isolator.New(dependencies.Directory.LastAnnouncement,
		append(gateway.isolatorOptions, isolator.WithLogger(gateway.log))...)
	return gateway
}

// Serve accepts connections until Stop is called. It then returns nil.
func (gateway *Gateway) Serve(listener net.Listener) error {
	if err := gateway.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return nil
}

// Crashes returns how often endpoints crashed under requests of this gateway, and how many requests were given up.
func (gateway *Gateway) Crashes() isolator.Counts { return gateway.isolator.Counts() }

// Ready reports whether the gateway accepts requests.
func (gateway *Gateway) Ready() bool { return !gateway.stopping.Load() }

// Stop stops accepting requests and waits until the requests in progress have ended and their outcomes are recorded. If
// ctx is done first, it closes the remaining connections and returns an error.
func (gateway *Gateway) Stop(ctx context.Context) error {
	gateway.stopping.Store(true)
	gateway.log.Info().Str("event", "stopping").Msg("shutting down; no new requests are accepted")
	stopped := make(chan error, 1)
	go func() { stopped <- gateway.server.Shutdown(ctx) }()
	gateway.drainQueue(ctx)
	// Requests in the queue need the shares to acquire a slot, so the shares are returned only when it is empty.
	gateway.releaseSlots()
	err := <-stopped
	if err != nil {
		_ = gateway.server.Close()
		gateway.log.Warn().Str("event", "requestsCut").Err(err).
			Msg("shutdown time limit reached; remaining connections closed")
	}
	finished := make(chan struct{})
	go func() { gateway.outcomeWrites.Wait(); close(finished) }()
	select {
	case <-finished:
	case <-ctx.Done():
		err = errs.Combine(err, ctx.Err())
	}
	gateway.dependencies.Forwarder.Close()
	gateway.remoteForwarder.Close()
	return Error.Wrap(err)
}

func (gateway *Gateway) drainQueue(ctx context.Context) {
	ticker := time.NewTicker(queuePollInterval)
	defer ticker.Stop()
	for gateway.queued.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func remoteHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
