// Package gateway serves the callers: it joins directory, shares, key store, queue, balancer, retries and
// forwarding into one http.Handler, and stops without cutting requests.
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
	"github.com/crocusplank/crocusplank/internal/requests/limiter"
	"github.com/crocusplank/crocusplank/internal/requests/retrier"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("gateway")

const (
	// headerLimit bounds a caller's request headers.
	headerLimit       = 32 << 10
	headerReadLimit   = 5 * time.Second
	idleLimit         = 75 * time.Second
	defaultBodyLimit  = 64 << 20
	defaultDeadline   = 30 * time.Second
	defaultLongest    = time.Hour
	finishLimit       = 10 * time.Second
	queuePollInterval = 20 * time.Millisecond
)

// Dependencies are what a Gateway joins. All are required.
type Dependencies struct {
	Directory scheduler.Directory
	KeyStore  scheduler.KeyStore
	// Free returns how many slots of a service this gateway could take now.
	Free      func(service scheduler.ServiceName) int
	Balancer  scheduler.Balancer
	Forwarder *forwarder.Forwarder
	Limiter   *limiter.Limiter
	Retrier   *retrier.Retrier
}

// Gateway is the handler of callers' requests. It is safe for concurrent use.
type Gateway struct {
	parts      Dependencies
	vm         scheduler.VMName
	spill      *forwarder.Forwarder
	idempotent func(service scheduler.ServiceName) (idempotent, configured bool)
	caller     func(r *http.Request) string
	handBack   func()
	bodyLimit  int64
	deadline   time.Duration
	longest    time.Duration
	log        zerolog.Logger

	server   *http.Server
	stopping atomic.Bool
	// queued counts the requests that have not yet had a slot.
	queued    atomic.Int64
	finishing sync.WaitGroup
}

// Option changes a Gateway at its creation.
type Option func(gateway *Gateway)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option {
	return func(gateway *Gateway) { gateway.log = log }
}

// WithIdempotent sets the services' configuration of whether their requests are idempotent.
func WithIdempotent(idempotent func(service scheduler.ServiceName) (idempotent, configured bool)) Option {
	return func(gateway *Gateway) { gateway.idempotent = idempotent }
}

// WithCallerID sets what distinguishes callers that take turns. The default is the remote address.
func WithCallerID(caller func(r *http.Request) string) Option {
	return func(gateway *Gateway) { gateway.caller = caller }
}

// WithBodyLimit sets the size of the largest request body.
func WithBodyLimit(limit int64) Option {
	return func(gateway *Gateway) { gateway.bodyLimit = limit }
}

// WithDeadline sets the deadline of requests that state none, and the longest that is accepted.
func WithDeadline(usual, longest time.Duration) Option {
	return func(gateway *Gateway) { gateway.deadline, gateway.longest = usual, longest }
}

// WithSlotRelease sets what gives up the shares during a planned stop.
func WithSlotRelease(handBack func()) Option {
	return func(gateway *Gateway) { gateway.handBack = handBack }
}

// WithHandler wraps the handler that Serve uses, for example to add the paths of other roles.
func WithHandler(wrap func(requests http.Handler) http.Handler) Option {
	return func(gateway *Gateway) { gateway.server.Handler = wrap(gateway) }
}

// New returns a Gateway.
func New(vm scheduler.VMName, parts Dependencies, options ...Option) *Gateway {
	gateway := &Gateway{
		parts: parts, vm: vm,
		spill:      forwarder.New(scheduler.GatewayID(vm), unlimited{}),
		idempotent: func(scheduler.ServiceName) (bool, bool) { return false, false },
		caller:     remoteHost,
		handBack:   func() {},
		bodyLimit:  defaultBodyLimit, deadline: defaultDeadline, longest: defaultLongest,
		log: zerolog.Nop(),
	}
	gateway.server = &http.Server{
		Handler: gateway, MaxHeaderBytes: headerLimit, ReadHeaderTimeout: headerReadLimit, IdleTimeout: idleLimit,
	}
	for _, option := range options {
		option(gateway)
	}
	return gateway
}

// Serve accepts connections until Stop. It returns nil after a stop.
func (gateway *Gateway) Serve(listener net.Listener) error {
	if err := gateway.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return nil
}

// Ready reports whether the gateway accepts requests.
func (gateway *Gateway) Ready() bool { return !gateway.stopping.Load() }

// Stop stops accepting, waits for the requests in progress, and then for the records of their outcomes.
// When ctx ends first it cuts what is left and returns the cause.
func (gateway *Gateway) Stop(ctx context.Context) error {
	gateway.stopping.Store(true)
	gateway.log.Info().Str("event", "stopping").Msg("no further requests are accepted")
	stopped := make(chan error, 1)
	go func() { stopped <- gateway.server.Shutdown(ctx) }()
	gateway.drainQueue(ctx)
	// Requests that still wait for a slot need the shares, so these are given up only now.
	gateway.handBack()
	err := <-stopped
	if err != nil {
		_ = gateway.server.Close()
		gateway.log.Warn().Str("event", "requestsCut").Err(err).Msg("time limit of the stop reached")
	}
	finished := make(chan struct{})
	go func() { gateway.finishing.Wait(); close(finished) }()
	select {
	case <-finished:
	case <-ctx.Done():
		err = errs.Combine(err, ctx.Err())
	}
	gateway.parts.Forwarder.Close()
	gateway.spill.Close()
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
