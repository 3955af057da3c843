package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// usageInterval is the length of time that a usage report covers.
	usageInterval = 10 * time.Second
	// throttledShare is the fraction of its requested cores that a throttled task uses.
	throttledShare = 0.25
)

// Interference models the effect of batch tasks on the latency of the services on the same worker. A service's
// latency is its baseline, increased for each kind of batch task by the coefficient times the share of the
// worker's cores that tasks of the kind use.
type Interference struct {
	// MilliCores is the worker's processor capacity.
	MilliCores int64
	// Load is the load that every service reports.
	Load float64
	// Baseline holds the latency of each kind of service without co-located tasks.
	Baseline map[string]time.Duration
	// Coefficients holds the relative latency increase for each kind of service and each kind of batch task.
	Coefficients map[string]map[string]float64
}

// WithInterference makes the worker report latency and load of its latency-critical tasks.
func WithInterference(interference Interference) Option {
	return func(worker *Worker) { worker.interference = &interference }
}

// usageReport is a report that is sent once the worker's clock has reached sendAt.
type usageReport struct {
	measuredAt time.Duration
	sendAt     time.Duration
	spec       scheduler.TaskSpec
	report     scheduler.AttemptUsage
}

// usageOf returns the resource usage of an attempt in the current interval until now.
func (worker *Worker) usageOf(attempt *attempt, now time.Duration) usageReport {
	from := max(attempt.startedAt, worker.usageIntervalEnd-usageInterval)
	request := attempt.spec.Request
	if attempt.throttled {
		request.MilliCores = int64(throttledShare * float64(request.MilliCores))
	}
	return usageReport{measuredAt: now, spec: attempt.spec, report: scheduler.AttemptUsage{
		Lease: attempt.execution.Lease, Interval: min(now-from, usageInterval), Used: request,
	}}
}

// closeUsageInterval ends the current interval once it is over: it queues the reports of the running attempts and
// of those that ended during the interval.
func (worker *Worker) closeUsageInterval(now time.Duration) {
	if now < worker.usageIntervalEnd {
		return
	}
	reports := worker.endedUsage
	for _, lease := range slices.Sorted(maps.Keys(worker.attempts)) {
		if usage := worker.usageOf(worker.attempts[lease], now); usage.report.Interval > 0 {
			reports = append(reports, usage)
		}
	}
	worker.endedUsage, worker.usageIntervalEnd = nil, now+usageInterval
	for i := range reports {
		reports[i].sendAt = now + usageDelay
		worker.applyInterference(&reports[i], reports)
	}
	worker.pendingUsage = append(worker.pendingUsage, reports...)
}

// applyInterference sets the latency and load in the report of a latency-critical task; all are the reports of the
// interval.
func (worker *Worker) applyInterference(service *usageReport, all []usageReport) {
	interference := worker.interference
	if interference == nil || service.spec.Class != scheduler.ClassLatencyCritical {
		return
	}
	slowdown := 1.0
	for _, other := range all {
		if other.spec.Class == scheduler.ClassBatch {
			share := float64(other.report.Used.MilliCores) / float64(interference.MilliCores)
			fraction := float64(other.report.Interval) / float64(usageInterval)
			slowdown += interference.Coefficients[service.spec.Kind][other.spec.Kind] * share * fraction
		}
	}
	service.report.Latency = time.Duration(slowdown * float64(interference.Baseline[service.spec.Kind]))
	service.report.Load = interference.Load
}

// takeDueUsage removes and returns the usage reports that are due. Each is sent once; as with real workers, a lost
// report is not repeated.
func (worker *Worker) takeDueUsage(now time.Duration) []scheduler.AttemptUsage {
	var due []scheduler.AttemptUsage
	for len(worker.pendingUsage) > 0 && now >= worker.pendingUsage[0].sendAt {
		report := worker.pendingUsage[0].report
		report.Age = now - worker.pendingUsage[0].measuredAt
		due = append(due, report)
		worker.pendingUsage = worker.pendingUsage[1:]
	}
	return due
}
