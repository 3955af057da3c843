package overseer

import (
	"math"
	"strings"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/pacer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// rackPrefix begins the label that names a worker's rack.
const rackPrefix = "r"

// worker is what a leadership knows of one life of a worker. The leadership's mutex guards it.
type worker struct {
	name scheduler.WorkerName
	life scheduler.Incarnation
	// known is false while the worker is only known from attempts in the log.
	known bool
	beat  scheduler.WorkerHeartbeat
	// heard is when the last beat came, answered when the worker last answered an order.
	heard    time.Duration
	answered time.Duration
	// clock was the worker's clock at, or before, clockRead.
	clock     time.Duration
	clockRead time.Duration
	// leaseUntil is when the worker's lease has ended at the latest, whatever order arrives late.
	leaseUntil time.Duration
	// granted is the latest end of a lease that was sent, by the worker's clock.
	granted time.Duration
	// restedUntil is until when the worker gets no new work.
	restedUntil time.Duration
	// failing counts successive orders without an answer.
	failing int
	// synced is true once the worker has answered a renewal of this term. Only then is it known what it
	// runs, and orders of earlier leaders are fenced off.
	synced bool
	// listed is true while the last renewal was answered.
	listed bool
	// acknowledged is the number of the last end that is recorded, confirmed that of the last end that the
	// worker has been told about.
	acknowledged uint64
	confirmed    uint64
	attempts     map[scheduler.RunID]*attempt
	renewing     bool
	over         bool
	pace         pacer.Pacer
}

// attempt is what a leadership knows of an attempt on a worker.
type attempt struct {
	state attemptState
	// settled is when the last order about the attempt was answered.
	settled time.Duration
	// exposed is true when a start was sent and may still take effect.
	exposed bool
	// unanswered is true when a start got no answer, so that it may still take effect later.
	unanswered bool
	// starved is true for a fill task that was placed because nothing of its job ran. It is not moved.
	starved bool
	// seen is true once this life of the worker has listed the attempt.
	seen bool
	// ending is true while the end of the attempt is being recorded.
	ending bool
	spec   scheduler.Step
	// approval is the proof of the approval service, empty without one.
	approval string
	// share is the percentage at which the attempt was last told to work.
	share int
	// wantedShare is the percentage at which it should work, throttling is true while an order about that
	// is under way, and heldSince is since when it should stand still, zero if it should not.
	wantedShare int
	throttling  bool
	heldSince   time.Duration
	running     scheduler.RunningAttempt
}

// end returns the end of an attempt that its worker has not listed as ended. The task resumes from the last progress that
// the worker has reported.
func (attempt *attempt) end(id scheduler.RunID, kind scheduler.EndKind) jobkeeper.End {
	return jobkeeper.End{Run: id, Kind: kind, Checkpoint: attempt.running.Checkpoint}
}

// attemptState is how far the orders about an attempt have come.
type attemptState string

const (
	// attemptUnknown is an attempt of an earlier leader about which the worker has not answered yet.
	attemptUnknown  attemptState = "unknown"
	attemptStarting attemptState = "starting"
	attemptRunning  attemptState = "running"
	attemptStopping attemptState = "stopping"
	attemptStopped  attemptState = "stopped"
)

func newWorker(name scheduler.WorkerName, life scheduler.Incarnation) *worker {
	return &worker{name: name, life: life, attempts: map[scheduler.RunID]*attempt{}}
}

// ref returns where a life of a worker is reached. Beats change it.
func (leadership *leadership) ref(life *worker) scheduler.WorkerRef {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return scheduler.WorkerRef{Worker: life.name, Instance: life.life, Address: life.beat.Address}
}

// rack returns the label that names the rack, empty if there is none.
func (worker *worker) rack() string {
	for _, label := range worker.beat.Labels {
		if strings.HasPrefix(label, rackPrefix) && len(label) > len(rackPrefix) {
			return label
		}
	}
	return ""
}

// noteClock takes a reading of the worker's clock from an answer, which was made at read or just before. Each
// answer replaces the last reading: an estimate that only grew would run ahead of a slow clock, and a lease that
// is granted by it would outlast what the next leader waits for.
func (worker *worker) noteClock(clock, read time.Duration) {
	if clock > 0 {
		worker.clock, worker.clockRead = clock, read
	}
}

// noteOldClock takes a reading from a beat, which may be seconds old. It only counts if it is ahead of what is
// known.
func (worker *worker) noteOldClock(clock, read time.Duration) {
	if worker.clock == 0 || clock > worker.clock+(read-worker.clockRead) {
		worker.noteClock(clock, read)
	}
}

// grantLease returns the end of a lease from now on, by the worker's clock, and notes until when the worker
// may hold it. drift is by how much its clock may be slow. A worker that does not answer gets no longer lease
// than it has: an order without an answer may take effect, and its lease would never end.
func (worker *worker) grantLease(now, duration time.Duration, drift float64) time.Duration {
	if worker.failing > 0 && worker.granted > 0 {
		return worker.granted
	}
	end := worker.clock + (now - worker.clockRead) + duration
	remaining := time.Duration(float64(end-worker.clock) / (1 - drift))
	worker.leaseUntil = max(worker.leaseUntil, worker.clockRead+remaining+leaseMargin)
	worker.granted = max(worker.granted, end)
	return end
}

// leaseMargin covers the time that a worker takes to end its attempts when the lease has run out.
const leaseMargin = 200 * time.Millisecond

// mayTakeWork reports whether new work may be placed on the worker.
func (worker *worker) mayTakeWork(now, silence time.Duration) bool {
	return worker.known && !worker.over && worker.beat.Phase == scheduler.WorkerReady && worker.clock > 0 &&
		now >= worker.restedUntil && worker.failing == 0 && now-max(worker.heard, worker.answered) < silence
}

// noteAnswered notes that the worker has answered an order.
func (worker *worker) noteAnswered(now time.Duration) {
	worker.answered, worker.failing = now, 0
}

// retryPause returns how long to wait after a number of unanswered orders.
func retryPause(failures int) time.Duration {
	pause := time.Duration(float64(firstRetry) * math.Pow(2, float64(min(failures, 10)-1)))
	return min(max(pause, firstRetry), lastRetry)
}
