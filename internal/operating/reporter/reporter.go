// Package reporter serves the daemon's metrics, collected by tally, in the Prometheus format.
package reporter

import (
	"context"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	// Prefix begins the name of every metric.
	Prefix          = "crocusplank"
	collectInterval = 5 * time.Second
	reportInterval  = time.Second
)

// Reporter holds the metrics of one daemon. It is safe for concurrent use.
type Reporter struct {
	scope   tally.Scope
	closer  io.Closer
	served  prometheus.Reporter
	workers sync.WaitGroup
	closing sync.Once
}

// New returns a Reporter.
func New() *Reporter {
	// A registry of its own keeps daemons apart that run in one process.
	registry := client.NewRegistry()
	served := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: Prefix, CachedReporter: served, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Reporter{scope: scope, closer: closer, served: served}
}

// Scope returns where counters, gauges and histograms are made.
func (reporter *Reporter) Scope() tally.Scope { return reporter.scope }

// Handler serves the metrics.
func (reporter *Reporter) Handler() http.Handler { return reporter.served.HTTPHandler() }

// Run calls measure, which sets gauges, every 5 s until ctx ends.
func (reporter *Reporter) Run(ctx context.Context, measure func(scope tally.Scope)) {
	reporter.workers.Go(func() {
		ticker := time.NewTicker(collectInterval)
		defer ticker.Stop()
		for {
			measure(reporter.scope)
			reporter.measureProcess()
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

// measureProcess reports the processor time of the process, which the budget for control is compared
// with.
func (reporter *Reporter) measureProcess() {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	reporter.scope.Gauge("process_cpu_seconds").Update(used.Seconds())
	reporter.scope.Gauge("process_resident_peak_bytes").Update(float64(usage.Maxrss) * 1024)
}

// Close ends the collection. Run's context has ended before.
func (reporter *Reporter) Close() {
	reporter.closing.Do(func() {
		reporter.workers.Wait()
		_ = reporter.closer.Close()
	})
}
