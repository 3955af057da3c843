package relayer

import (
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/basics/stopwatch"
)

// Option changes a setting of a Relayer.
type Option func(relayer *Relayer)

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger zerolog.Logger) Option {
	return func(relayer *Relayer) { relayer.logger = logger }
}

// WithScope sets where metrics go. The default drops them.
func WithScope(scope tally.Scope) Option {
	return func(relayer *Relayer) { relayer.metrics = newMetrics(scope) }
}

// WithDirectWorkers sets how many workers the leader calls itself before it has other VMs do so, 200 by default.
func WithDirectWorkers(count int) Option {
	return func(relayer *Relayer) { relayer.router.directWorkers = count }
}

// WithSuspension counts the time for which the VM is suspended. The VMs that send the orders count theirs too.
func WithSuspension() Option {
	return func(relayer *Relayer) { relayer.watch = stopwatch.StartBootTime() }
}

// metrics count the orders that other VMs send.
type metrics struct {
	relayed tally.Counter
	failed  tally.Counter
	helpers tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{relayed: scope.Counter("orders_relayed"), failed: scope.Counter("orders_failed"), helpers: scope.Gauge("helpers")}
}
