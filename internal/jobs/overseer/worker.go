package overseer

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/pacer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// rackLabelPrefix is the prefix of the label that identifies a worker's rack.
const rackLabelPrefix = "r"

// worker is the leadership's view of one instance of a worker. The leadership's mutex guards it.
type worker struct {
	name        scheduler.WorkerName
	incarnation scheduler.Incarnation
	// hasHeartbeat is false while the instance is known only from attempts in the log.
	hasHeartbeat bool
	heartbeat    scheduler.WorkerHeartbeat
	// responded is true once the instance has answered an order of this leadership. A heartbeat alone does not prove that it
	// exists, because others than workers may send some.
	responded bool
	// claimed is true while the sender of a heartbeat that would end the instance is asked to prove that it runs.
	claimed bool
	// respondedAt is the address at which the instance answered an order before its first heartbeat, empty if it did not.
	// A response does not name the worker, so it may be another worker that runs there.
	respondedAt string
	// recorded is where the instance ran according to the replicated state, if this leadership adopted it without a heartbeat.
	recorded jobkeeper.Location
	// formerCapacities holds the capacities that the instance had recently, in the order of time.
	formerCapacities []formerCapacity
	// fullMilliCores is the largest CPU capacity that the instance has had.
	fullMilliCores int64
	// firstHeartbeat and lastHeartbeat are when the first and the latest heartbeat were received. lastResponse is when the worker last answered an order.
	firstHeartbeat time.Duration
	lastHeartbeat  time.Duration
	lastResponse   time.Duration
	// clock was the worker's clock reading at, or shortly before, clockReadAt.
	clock       time.Duration
	clockReadAt time.Duration
	// leaseExpiry is the latest time at which the worker's lease expires, whichever order arrives late.
	leaseExpiry time.Duration
	// maxLeaseEnd is the latest lease end that was sent, on the worker's clock.
	maxLeaseEnd time.Duration
	// backoffUntil is the time until which the worker gets no new work.
	backoffUntil time.Duration
	// consecutiveFailures counts consecutive orders that got no response, or none that the overseer can use.
	consecutiveFailures int
	// failingSince is when the first order failed since the last response, zero if none did. connectionClosed is true if
	// one of them failed because the worker's side closed, reset or refused the connection.
	failingSince     time.Duration
	connectionClosed bool
	// synced is true once the worker has sent a complete report in this term. From then on its running attempts are
	// known, and it rejects orders of earlier leaders.
	synced bool
	// renewalDue is when the renewal that was prepared last ends by its timeout, or zero once it has been answered or has failed.
	renewalDue time.Duration
	// renewalAnswered is true if the last renewal was answered.
	renewalAnswered bool
	// lastRecordedEnd is the number of the last end that was recorded. lastAcknowledgedEnd is the number of the last
	// end that was acknowledged to the worker.
	lastRecordedEnd     uint64
	lastAcknowledgedEnd uint64
	attempts            map[scheduler.RunID]*attempt
	// unknownAttempts is the number of attempts that the worker's last report listed as running and that are not in the log.
	// They are being stopped.
	unknownAttempts int
	renewing        bool
	// shuttingDown is true once the worker has announced that it is shutting down. It may still run for seconds.
	shuttingDown bool
	ended        bool
	// fenced is true once the instance has rejected an order because of a higher fencing token, see handleFenced.
	fenced bool
	pace   pacer.Pacer
}

// attempt is the leadership's view of an attempt on a worker.
type attempt struct {
	state attemptState
	// settledAt is when the last order about the attempt was answered. For a stop order it includes the time that the
	// worker may take to stop the attempt.
	settledAt time.Duration
	// startOutstanding is true from the preparation of a start order until its effect is known.
	startOutstanding bool
	// startUnanswered is true if a start order got no response and may therefore take effect later.
	startUnanswered bool
	// startSending is true while a start order is being sent.
	startSending bool
	// adopted is true if an earlier leader may have started the attempt, at a time that this one does not know.
	adopted bool
	// mark is the replicated mark of the attempt, see jobkeeper.Mark.
	mark scheduler.EndKind
	// withdrawn is true if the attempt is blamed for the crash of an earlier instance of its worker. Unless it is running
	// already, it is not started on this instance, so that its task is placed again with the caution that a suspect needs.
	withdrawn bool
	// mayHaveStarted is true if this leadership did not place the attempt, or placed it on an earlier instance. A start
	// order from then may still take effect.
	mayHaveStarted bool
	// starved is true for a fill task whose step was starved when the task was placed. Such a task is not moved when
	// it is paused.
	starved bool
	// reported is true once this instance of the worker has reported the attempt as running.
	reported bool
	// suspect is true if the task was suspected of crashing workers when the attempt was launched.
	suspect bool
	// recordingEnd is true while the end of the attempt is being recorded.
	recordingEnd bool
	// unrecorded is true if the last call of stopUnrecorded did not find the attempt in the log.
	unrecorded bool
	spec       scheduler.Step
	// approval is the proof that the approval service issued. It is empty if no approval is required.
	approval string
	// share is the percentage of the full speed that the worker last accepted for the attempt. shareUnknown is true if an
	// earlier leader may have set another one.
	share        int
	shareUnknown bool
	// targetShare is the intended percentage. throttling is true while a throttle order is in progress. pausedSince
	// is when targetShare became 0, or zero if the attempt is not paused.
	targetShare int
	throttling  bool
	pausedSince time.Duration
	running     scheduler.RunningAttempt
	timing      timing
	times       attemptTimes
	// stopReason is why the attempt was stopped. It is empty if it was not.
	stopReason string
}

// end returns the end of an attempt that the worker has not reported as ended. The task resumes from the last
// checkpoint that the worker reported.
func (attempt *attempt) end(id scheduler.RunID, kind scheduler.EndKind) jobkeeper.End {
	return jobkeeper.End{Run: id, Kind: kind, Checkpoint: attempt.running.Checkpoint}
}

// attemptState is the state of the orders about an attempt.
type attemptState string

const (
	// attemptUnknown is an attempt of an earlier leader that the worker has not reported yet.
	attemptUnknown  attemptState = "unknown"
	attemptStarting attemptState = "starting"
	attemptRunning  attemptState = "running"
	attemptStopping attemptState = "stopping"
	attemptStopped  attemptState = "stopped"
)

func newWorker(name scheduler.WorkerName, incarnation scheduler.Incarnation) *worker {
	return &worker{name: name, incarnation: incarnation, attempts: map[scheduler.RunID]*attempt{}}
}

// ref returns the identity and address of a worker instance. It locks the mutex because heartbeats change the address.
func (leadership *leadership) ref(instance *worker) scheduler.WorkerRef {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return instance.ref()
}

// ref returns the identity and address of the instance. The mutex must be held.
func (worker *worker) ref() scheduler.WorkerRef {
	return scheduler.WorkerRef{Worker: worker.name, Instance: worker.incarnation, Address: worker.heartbeat.Address}
}

// isOfKind reports whether the instance belongs to the pool of a step's queue and has the label that the step requires.
func (worker *worker) isOfKind(step *jobkeeper.StepState) bool {
	label := step.Spec().RequiredLabel
	return worker.heartbeat.Pool == step.Job().Queue().Pool && (label == "" || slices.Contains(worker.heartbeat.Labels, label))
}

// rack returns the label that identifies the rack, or an empty string.
func (worker *worker) rack() string {
	for _, label := range worker.heartbeat.Labels {
		if strings.HasPrefix(label, rackLabelPrefix) && len(label) > len(rackLabelPrefix) {
			return label
		}
	}
	return ""
}

// updateClock records the worker's clock reading from a response, taken at or shortly before read. Every response
// replaces the previous reading: an estimate that could only increase would run ahead of a slow clock, and a lease
// based on it would last longer than the next leader waits.
func (worker *worker) updateClock(clock, read time.Duration) {
	if clock > 0 {
		worker.clock, worker.clockReadAt = clock, read
	}
}

// updateClockFromHeartbeat records the clock reading from a heartbeat, which may be seconds old. The reading is used
// only if it is ahead of the current estimate.
func (worker *worker) updateClockFromHeartbeat(clock, read time.Duration) {
	if worker.clock == 0 || clock > worker.clock+(read-worker.clockReadAt) {
		worker.updateClock(clock, read)
	}
}

// grantLease returns the end of a lease that starts now, on the worker's clock, and updates the time until which the
// worker may hold it. clockDrift is the fraction by which the worker's clock may run slow. The lease of a worker that
// does not respond is not extended: an unanswered order may take effect, so with each retry the lease would be
// extended and never expire. Neither is the lease of a worker that is shutting down: its end may be the only proof that its
// attempts have ended.
func (worker *worker) grantLease(now, duration time.Duration, clockDrift float64) time.Duration {
	if (worker.consecutiveFailures > 0 || worker.shuttingDown) && worker.maxLeaseEnd > 0 {
		return worker.maxLeaseEnd
	}
	end := worker.clock + (now - worker.clockReadAt) + duration
	remaining := time.Duration(float64(end-worker.clock) / (1 - clockDrift))
	worker.leaseExpiry = max(worker.leaseExpiry, worker.clockReadAt+remaining+leaseMargin)
	worker.maxLeaseEnd = max(worker.maxLeaseEnd, end)
	return end
}

// leaseMargin is the time that a worker takes to end its attempts after its lease has expired.
const leaseMargin = 200 * time.Millisecond

// acceptsWork reports whether new work may be placed on the worker.
func (worker *worker) acceptsWork(now, heartbeatTimeout time.Duration) bool {
	return worker.isReachable(now, heartbeatTimeout) && worker.responded && worker.clock > 0 && now >= worker.backoffUntil
}

// isReachable reports whether the instance is ready and has been heard recently, whether or not it accepts work.
func (worker *worker) isReachable(now, heartbeatTimeout time.Duration) bool {
	return worker.acceptsOrders() && !worker.shuttingDown &&
		worker.heartbeat.Phase == scheduler.WorkerReady && worker.isInContact(now, heartbeatTimeout)
}

// isInContact reports whether the instance answers orders and has been heard recently.
func (worker *worker) isInContact(now, heartbeatTimeout time.Duration) bool {
	return worker.consecutiveFailures == 0 && now-worker.lastContact() < heartbeatTimeout
}

// lastContact returns when the worker was last heard. Of an instance that has never responded only the first heartbeat
// counts, so that one that does not exist becomes silent.
func (worker *worker) lastContact() time.Duration {
	if !worker.responded {
		return worker.firstHeartbeat
	}
	return max(worker.lastHeartbeat, worker.lastResponse)
}

// recordResponse records that the worker has answered an order.
func (worker *worker) recordResponse(now time.Duration) {
	worker.responded, worker.lastResponse, worker.consecutiveFailures = true, now, 0
	worker.failingSince, worker.connectionClosed = 0, false
}

// retryDelay returns the delay after the given number of unanswered orders.
func retryDelay(failures int) time.Duration {
	delay := time.Duration(float64(minRetryDelay) * math.Pow(2, float64(min(failures, 10)-1)))
	return min(max(delay, minRetryDelay), maxRetryDelay)
}
