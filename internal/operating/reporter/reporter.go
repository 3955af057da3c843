// Package reporter exposes the daemon's metrics, which are collected by tally, in the Prometheus format.
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
	// Prefix is the prefix of all metric names.
	Prefix          = "crocusplank"
	collectInterval = 5 * time.Second
	reportInterval  = time.Second
)

// Reporter holds the metrics of one daemon. It is safe for concurrent use.
type Reporter struct {
	scope    tally.Scope
	closer   io.Closer
	exporter prometheus.Reporter
	workers  sync.WaitGroup
	closing  sync.Once
}

// New returns a Reporter.
func New() *Reporter {
	// Each Reporter has its own registry, since several daemons may run in one process.
	registry := client.NewRegistry()
	exporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: Prefix, CachedReporter: exporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Reporter{scope: scope, closer: closer, exporter: exporter}
}

// Scope returns the root scope for counters, gauges and histograms.
func (reporter *Reporter) Scope() tally.Scope { return reporter.scope }

// Handler returns the handler that serves the metrics.
func (reporter *Reporter) Handler() http.Handler { return reporter.exporter.HTTPHandler() }

// Run starts a goroutine that calls measure every 5 s until ctx ends. measure updates gauges.
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

// measureProcess reports the process's CPU time, which is compared with the CPU budget of the control plane, and its
// peak resident memory.
func (reporter *Reporter) measureProcess() {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	reporter.scope.Gauge("process_cpu_seconds").Update(used.Seconds())
	reporter.scope.Gauge("process_resident_peak_bytes").Update(float64(usage.Maxrss) * 1024)
}

// Close waits for the collection to stop and closes the scope. The context of Run must have ended before.
func (reporter *Reporter) Close() {
	reporter.closing.Do(func() {
		reporter.workers.Wait()
		_ = reporter.closer.Close()
	})
}
