package overseer

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// metrics are the metrics of orders and planning.
type metrics struct {
	scope     tally.Scope
	started   tally.Counter
	refused   tally.Counter
	repeated  tally.Counter
	ended     tally.Counter
	expired   tally.Counter
	throttled tally.Counter
	// incompleteReports counts the reports of workers with more ends than fit.
	incompleteReports tally.Counter
	// fenced counts workers that were closed because they had seen a higher fencing token.
	fenced tally.Counter
	// forgotten counts the jobs that were removed after their end.
	forgotten tally.Counter
	// overCapacity counts starts that were not sent because their worker had, or might have, become smaller.
	overCapacity tally.Counter
	// capacityChanges counts workers that became larger or smaller, and exceeded the workers on which more is running than
	// fits.
	capacityChanges tally.Counter
	exceeded        tally.Gauge
	ready           tally.Gauge
	startTime       tally.Histogram
	planTime        tally.Histogram
	// reservations counts the current reservations for large tasks, heldIdle the core-seconds that they held idle, and
	// reservedWait how long the steps of tasks that used a reservation had waited.
	reservations tally.Gauge
	heldIdle     tally.Counter
	reservedWait tally.Histogram

	// suspectsWaiting counts the waiting tasks under which workers have crashed, workersKept the workers that are kept free
	// of other starts for them.
	suspectsWaiting tally.Gauge
	workersKept     tally.Gauge
	// crashes counts the crashes of workers, blamedStarting and blamedRunning the attempts that were blamed for them, and
	// givenUp the jobs that failed because of them.
	crashes        tally.Counter
	blamedStarting tally.Counter
	blamedRunning  tally.Counter
	givenUp        tally.Counter
	// begun counts the jobs that were recorded as begun.
	begun tally.Counter

	// leaseRecords counts the records of leases of workers that do not respond. leasesHeld is the number of leases in the
	// current one, and leasesInherited counts those that a leadership took over.
	leaseRecords    tally.Counter
	leasesInherited tally.Counter
	leasesHeld      tally.Gauge

	// withdrawals counts how often this VM has withdrawn from leading because a part of a leadership stood still.
	withdrawals tally.Counter

	evacuation evacuationMetrics
	admission  *admissionMetrics
	waiting    *waitingMetrics
}

func newMetrics(scope tally.Scope) *metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	return &metrics{
		scope:   scope,
		started: scope.Counter("attempts_started"), refused: scope.Counter("attempts_refused"),
		repeated: scope.Counter("orders_repeated"), ended: scope.Counter("attempts_ended"),
		expired: scope.Counter("attempts_expired"), throttled: scope.Counter("attempts_throttled"),
		forgotten:         scope.Counter("jobs_forgotten"),
		fenced:            scope.Counter("workers_fenced"),
		incompleteReports: scope.Counter("incomplete_reports"),
		overCapacity:      scope.Counter("starts_over_capacity"), capacityChanges: scope.Counter("worker_capacity_changes"),
		exceeded: scope.Gauge("workers_over_capacity"),
		ready:    scope.Gauge("tasks_ready"), startTime: scope.Histogram("start_duration", buckets),
		planTime:     scope.Histogram("plan_duration", buckets),
		reservations: scope.Gauge("reservations"), heldIdle: scope.Counter("reserved_idle_core_seconds"),
		reservedWait: scope.Histogram("reserved_task_wait", tally.MustMakeExponentialDurationBuckets(100*time.Millisecond, 2, 12)),
		crashes:      scope.Counter("worker_crashes"), givenUp: scope.Counter("jobs_given_up"), begun: scope.Counter("jobs_begun"),
		blamedStarting:  scope.Tagged(map[string]string{"kind": "starting"}).Counter("attempts_blamed"),
		blamedRunning:   scope.Tagged(map[string]string{"kind": "running"}).Counter("attempts_blamed"),
		suspectsWaiting: scope.Gauge("suspects_waiting"), workersKept: scope.Gauge("workers_kept_for_suspects"),
		leaseRecords: scope.Counter("lease_records"), leasesInherited: scope.Counter("leases_inherited"),
		leasesHeld:  scope.Gauge("leases_held"),
		withdrawals: scope.Counter("leadership_withdrawals"),
		evacuation:  newEvacuationMetrics(scope),
		admission:   newAdmissionMetrics(scope),
		waiting:     newWaitingMetrics(scope),
	}
}

// resetGauges sets the gauges to 0 after a leadership, because only the leader's values are current.
func (metrics *metrics) resetGauges() {
	metrics.ready.Update(0)
	metrics.reservations.Update(0)
	metrics.exceeded.Update(0)
	metrics.suspectsWaiting.Update(0)
	metrics.workersKept.Update(0)
	metrics.leasesHeld.Update(0)
	metrics.evacuation.resetGauges()
	metrics.admission.update(0, 0, 0)
	metrics.admission.updateOldest(waitBySize{})
	metrics.waiting.update(nil)
}

// queueScope returns the scope of the metrics that are counted by queue.
func (metrics *metrics) queueScope(queue scheduler.QueueName) tally.Scope {
	return metrics.scope.Tagged(map[string]string{"queue": string(queue)})
}
