package overseer

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the metrics of orders and planning.
type metrics struct {
	started   tally.Counter
	refused   tally.Counter
	repeated  tally.Counter
	ended     tally.Counter
	expired   tally.Counter
	throttled tally.Counter
	ready     tally.Gauge
	startTime tally.Histogram
	planTime  tally.Histogram
	admission *admissionMetrics
}

func newMetrics(scope tally.Scope) *metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	return &metrics{
		started: scope.Counter("attempts_started"), refused: scope.Counter("attempts_refused"),
		repeated: scope.Counter("orders_repeated"), ended: scope.Counter("attempts_ended"),
		expired: scope.Counter("attempts_expired"), throttled: scope.Counter("attempts_throttled"),
		ready: scope.Gauge("tasks_ready"), startTime: scope.Histogram("start_duration", buckets),
		planTime: scope.Histogram("plan_duration", buckets), admission: newAdmissionMetrics(scope),
	}
}
