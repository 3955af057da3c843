package relayer

import (
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/basics/stopwatch"
)

// Option configures a Relayer.
type Option func(relayer *Relayer)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(relayer *Relayer) { relayer.logger = logger }
}

// WithScope sets the scope for metrics. By default metrics are discarded.
func WithScope(scope tally.Scope) Option {
	return func(relayer *Relayer) { relayer.metrics = newMetrics(scope) }
}

// WithDirectWorkers sets the number of workers up to which the leader sends orders itself, 200 by default. With more
// workers, relays send them.
func WithDirectWorkers(count int) Option {
	return func(relayer *Relayer) { relayer.router.directWorkers = count }
}

// WithSuspension makes the clock include the time for which the VM is suspended. The stopwatch that is passed to Serve
// on the relays should include it too.
func WithSuspension() Option {
	return func(relayer *Relayer) { relayer.clock = stopwatch.StartBootTime() }
}

// metrics reports the orders sent through relays, the failed orders and the number of relays.
type metrics struct {
	relayed tally.Counter
	failed  tally.Counter
	relays  tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		relayed: scope.Counter("orders_relayed"), failed: scope.Counter("orders_failed"), relays: scope.Gauge("helpers"),
	}
}
