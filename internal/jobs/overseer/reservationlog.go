package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/internal/jobs/reserver"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// reservationLogInterval and maxReservationLines limit the volume of the log: in each interval, the lines beyond the
	// maximum are only counted.
	reservationLogInterval = time.Second
	maxReservationLines    = 20
)

// reservationLog limits the log lines about reservations and measures the capacity that they hold idle.
type reservationLog struct {
	intervalStart time.Duration
	lines         int
	omitted       int
	// held is the capacity that the reservations of each pool held at the time of the last decision.
	held map[scheduler.PoolName]heldIdle
	// unreported is the idle CPU time that is too short for the counter, in millicores times milliseconds.
	unreported int64
}

type heldIdle struct {
	reservations int
	milliCores   int64
	measuredAt   time.Duration
}

// mayLog reports whether another line may be logged, and counts it otherwise.
func (reservationLog *reservationLog) mayLog(now time.Duration) bool {
	if now >= reservationLog.intervalStart+reservationLogInterval {
		reservationLog.intervalStart, reservationLog.lines = now, 0
	}
	if reservationLog.lines >= maxReservationLines {
		reservationLog.omitted++
		return false
	}
	reservationLog.lines++
	return true
}

// reservationEvents are the names of the log events.
var reservationEvents = map[reserver.EventKind]string{
	reserver.EventMade: "reservationMade", reserver.EventUsed: "reservationUsed", reserver.EventBroken: "reservationBroken",
}

// reservationMessages are the messages of the log events.
var reservationMessages = map[reserver.EventKind]string{
	reserver.EventMade: "worker reserved for a large task", reserver.EventUsed: "large task placed on its reserved worker",
	reserver.EventBroken: "reservation for a large task dropped",
}

// recordReservations logs and counts changes of reservations. The mutex must be held.
func (leadership *leadership) recordReservations(events []reserver.Event) {
	log := &leadership.lookAhead.log
	for _, event := range events {
		if event.Kind() == reserver.EventUsed {
			leadership.overseer.metrics.reservedWait.RecordDuration(event.Waited())
		}
		if !log.mayLog(leadership.now()) {
			continue
		}
		line := leadership.logger.Info().Str("event", reservationEvents[event.Kind()]).
			Str("job", string(event.Step().Job())).Int("occurrence", event.Step().Occurrence()).
			Int("step", event.Step().Step()).Str("worker", string(event.Worker())).
			Int64("milliCores", event.Amount().MilliCores).Dur("age", event.Age()).Dur("waited", event.Waited()).
			Dur("untilStart", event.UntilStart())
		if event.Reason() != "" {
			line = line.Str("reason", string(event.Reason()))
		}
		if log.omitted > 0 {
			line = line.Int("omitted", log.omitted)
			log.omitted = 0
		}
		line.Msg(reservationMessages[event.Kind()])
	}
}

// recordHeldIdle measures what the reservations of a pool hold idle. The mutex must be held.
func (leadership *leadership) recordHeldIdle(
	name scheduler.PoolName, poolReserver *reserver.Reserver, workers []*packer.Worker,
) {
	log, now := &leadership.lookAhead.log, leadership.now()
	last := log.held[name]
	log.unreported += last.milliCores * (now - last.measuredAt).Milliseconds()
	const perCoreSecond = 1000 * 1000
	leadership.overseer.metrics.heldIdle.Inc(log.unreported / perCoreSecond)
	log.unreported %= perCoreSecond
	log.held[name] = heldIdle{
		reservations: len(poolReserver.Reservations()), milliCores: poolReserver.HeldIdle(workers), measuredAt: now,
	}
	total := 0
	for _, held := range log.held {
		total += held.reservations
	}
	leadership.overseer.metrics.reservations.Update(float64(total))
}

// dropReservations drops all reservations when no task waits. The mutex must be held.
func (leadership *leadership) dropReservations() {
	for name := range leadership.lookAhead.reservers {
		leadership.dropPoolReservations(name)
	}
}

// dropPoolReservations drops the reservations of a pool, which keep capacity only for waiting tasks of a pool that uses
// reservations. The mutex must be held.
func (leadership *leadership) dropPoolReservations(name scheduler.PoolName) {
	poolReserver := leadership.lookAhead.reservers[name]
	if poolReserver == nil {
		return
	}
	events := poolReserver.Plan(&reserver.Pool{Now: leadership.now()})
	if len(events) == 0 {
		return
	}
	leadership.recordReservations(events)
	leadership.recordHeldIdle(name, poolReserver, nil)
}
