package limiter

import (
	"container/list"
	"time"
)

// queue contains the waiting requests of one service by priority and caller.
type queue struct {
	waiting         int
	waitingByCaller map[string]int
	// roundRobin lists the queues of the callers with waiting requests. The first one is served next.
	roundRobin   [priorityCount]*list.List
	callerQueues [priorityCount]map[string]*callerQueue
	// admissions is the number of requests admitted from the queue since rateStart, and rate the number per second.
	// Both are measured only while requests wait, because otherwise the rate at which callers send requests would be
	// measured instead of the capacity.
	admissions int
	rateStart  time.Time
	rate       float64
	// meanLatency is a moving average of the latency of the service.
	meanLatency time.Duration
}

// callerQueue contains the waiting requests of one caller with one priority.
type callerQueue struct {
	caller   string
	priority Priority
	element  *list.Element
	waiters  list.List
}

// waiter is a waiting request. done is closed when it is admitted or rejected. maxReserve limits the time to the
// deadline that is required for its admission.
type waiter struct {
	tryAcquire  func() bool
	deadline    time.Time
	maxReserve  time.Duration
	done        chan struct{}
	admitted    bool
	callerQueue *callerQueue
	element     *list.Element
}

func newQueue() *queue {
	created := &queue{waitingByCaller: map[string]int{}}
	for priority := range created.roundRobin {
		created.roundRobin[priority], created.callerQueues[priority] = list.New(), map[string]*callerQueue{}
	}
	return created
}

// push appends a waiter to the queue of its caller.
func (queue *queue) push(queued *waiter, caller string, priority Priority, now time.Time) {
	if queue.waiting == 0 {
		queue.admissions, queue.rateStart, queue.rate = 0, now, 0
	}
	queue.waiting++
	queue.waitingByCaller[caller]++
	fromCaller := queue.callerQueues[priority][caller]
	if fromCaller == nil {
		fromCaller = &callerQueue{caller: caller, priority: priority}
		fromCaller.element = queue.roundRobin[priority].PushBack(fromCaller)
		queue.callerQueues[priority][caller] = fromCaller
	}
	queued.callerQueue, queued.element = fromCaller, fromCaller.waiters.PushBack(queued)
}

// remove removes a waiter from the queue of its caller. Further calls have no effect.
func (queue *queue) remove(queued *waiter) {
	if queued.element == nil {
		return
	}
	fromCaller := queued.callerQueue
	fromCaller.waiters.Remove(queued.element)
	queued.element = nil
	if fromCaller.waiters.Len() == 0 {
		queue.roundRobin[fromCaller.priority].Remove(fromCaller.element)
		delete(queue.callerQueues[fromCaller.priority], fromCaller.caller)
	}
	queue.waiting--
	queue.waitingByCaller[fromCaller.caller]--
	if queue.waitingByCaller[fromCaller.caller] == 0 {
		delete(queue.waitingByCaller, fromCaller.caller)
	}
}

// wake admits waiting requests until no slot can be acquired or the given number of slots is taken, if it is not 0.
func (queue *queue) wake(now time.Time, slots int) {
	for acquired := 0; queue.waiting > 0 && (slots == 0 || acquired < slots); {
		admitted, more := queue.admit(now)
		if !more {
			return
		}
		if admitted {
			acquired++
		}
	}
}

// admit lets the next waiter try to acquire a slot. admitted is false if the waiter is rejected because too little time
// remains until its deadline. more is false if there is no waiter or no slot could be acquired.
func (queue *queue) admit(now time.Time) (admitted, more bool) {
	for priority := priorityCount - 1; priority >= 0; priority-- {
		element := queue.roundRobin[priority].Front()
		if element == nil {
			continue
		}
		fromCaller, _ := element.Value.(*callerQueue)
		next, _ := fromCaller.waiters.Front().Value.(*waiter)
		late := !next.deadline.IsZero() &&
			now.Add(min(latencyFactor*queue.meanLatency, next.maxReserve)).After(next.deadline)
		if !late && !next.tryAcquire() {
			return false, false
		}
		queue.roundRobin[priority].MoveToBack(element)
		queue.remove(next)
		next.admitted = !late
		if !late {
			queue.recordAdmission(now)
		}
		close(next.done)
		return !late, true
	}
	return false, false
}

// recordAdmission updates the admission rate with an admitted request.
func (queue *queue) recordAdmission(now time.Time) {
	queue.admissions++
	elapsed := now.Sub(queue.rateStart)
	if elapsed >= minRateWindow {
		queue.rate = float64(queue.admissions) / elapsed.Seconds()
	}
	if elapsed >= rateWindow {
		queue.admissions, queue.rateStart = queue.admissions/2, now.Add(-elapsed/2)
	}
}

// countAhead returns the number of waiting requests that would be admitted before a new request of the caller: all
// requests of higher priority, and those of the same priority that precede it in round-robin order.
func (queue *queue) countAhead(caller string, priority Priority) int {
	ownWaiting, ahead := 0, 0
	if fromCaller := queue.callerQueues[priority][caller]; fromCaller != nil {
		ownWaiting = fromCaller.waiters.Len()
	}
	for _, fromCaller := range queue.callerQueues[priority] {
		ahead += min(fromCaller.waiters.Len(), ownWaiting+1)
	}
	for higher := priority + 1; higher < priorityCount; higher++ {
		for _, fromCaller := range queue.callerQueues[higher] {
			ahead += fromCaller.waiters.Len()
		}
	}
	return ahead
}

// estimateWait returns the time to admit count waiting requests at the current rate. known is false if the rate has not
// been measured or no request waits.
func (queue *queue) estimateWait(count int) (wait time.Duration, known bool) {
	if queue.rate <= 0 || count == 0 {
		return 0, false
	}
	return time.Duration(float64(count) / queue.rate * float64(time.Second)), true
}

// drainTime returns the expected time until the queue is empty, limited to between 1 s and 30 s.
func (queue *queue) drainTime() time.Duration {
	wait, _ := queue.estimateWait(queue.waiting)
	return min(max(wait, time.Second), 30*time.Second)
}
