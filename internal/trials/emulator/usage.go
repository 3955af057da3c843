package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// usageInterval is what one usage report covers.
	usageInterval = 10 * time.Second
	// throttledShare is the share of its processors that a throttled task uses.
	throttledShare = 0.25
)

// Interference is what batch tasks do to the latency of the services on the same worker. A service's
// latency is its baseline, raised for each batch kind by the harm times the share of the worker that
// tasks of the kind use.
type Interference struct {
	// MilliCores are the worker's processors.
	MilliCores int64
	// Load is the load that all services report.
	Load float64
	// Baseline holds the latency of each kind of service without neighbours.
	Baseline map[string]time.Duration
	// Coefficients holds the rise for each kind of service and of batch.
	Coefficients map[string]map[string]float64
}

// WithInterference has the worker report latency and load of latency-critical tasks.
func WithInterference(interference Interference) Option {
	return func(worker *Worker) { worker.interference = &interference }
}

// usage is a report that is sent once it is due.
type usage struct {
	until  time.Duration
	due    time.Duration
	spec   scheduler.TaskSpec
	report scheduler.AttemptUsage
}

// used returns the use of an attempt in the part of the current interval that has passed.
func (worker *Worker) used(attempt *attempt, now time.Duration) usage {
	from := max(attempt.started, worker.nextUsage-usageInterval)
	request := attempt.spec.Request
	if attempt.throttled {
		request.MilliCores = int64(throttledShare * float64(request.MilliCores))
	}
	return usage{until: now, spec: attempt.spec, report: scheduler.AttemptUsage{
		Lease: attempt.execution.Lease, Interval: min(now-from, usageInterval), Used: request,
	}}
}

// measure closes an interval: it queues the reports of the attempts that run and of those that have
// ended in it.
func (worker *Worker) measure(now time.Duration) {
	if now < worker.nextUsage {
		return
	}
	reports := worker.endedUsage
	for _, lease := range slices.Sorted(maps.Keys(worker.attempts)) {
		if used := worker.used(worker.attempts[lease], now); used.report.Interval > 0 {
			reports = append(reports, used)
		}
	}
	worker.endedUsage, worker.nextUsage = nil, now+usageInterval
	for i := range reports {
		reports[i].due = now + usageDelay
		worker.disturb(&reports[i], reports)
	}
	worker.usage = append(worker.usage, reports...)
}

// disturb sets the latency and load of a service's report.
func (worker *Worker) disturb(service *usage, all []usage) {
	table := worker.interference
	if table == nil || service.spec.Class != scheduler.ClassLatencyCritical {
		return
	}
	rise := 1.0
	for _, other := range all {
		if other.spec.Class == scheduler.ClassBatch {
			share := float64(other.report.Used.MilliCores) / float64(table.MilliCores)
			part := float64(other.report.Interval) / float64(usageInterval)
			rise += table.Coefficients[service.spec.Kind][other.spec.Kind] * share * part
		}
	}
	service.report.Latency = time.Duration(rise * float64(table.Baseline[service.spec.Kind]))
	service.report.Load = table.Load
}

// dueUsage takes the usage reports that are old enough to be sent. They are sent once; lost ones stay
// lost, as with real workers.
func (worker *Worker) dueUsage(now time.Duration) []scheduler.AttemptUsage {
	var due []scheduler.AttemptUsage
	for len(worker.usage) > 0 && now >= worker.usage[0].due {
		report := worker.usage[0].report
		report.Age = now - worker.usage[0].until
		due = append(due, report)
		worker.usage = worker.usage[1:]
	}
	return due
}
