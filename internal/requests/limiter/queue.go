package limiter

import (
	"container/list"
	"time"
)

// queue holds the waiting requests of one service by priority and caller.
type queue struct {
	waiting int
	waitingByCaller map[string]int
	// roundRobin holds the lines of the callers with waiting requests, the next one first.
	roundRobin [priorityCount]*list.List
	callerQueues [priorityCount]map[string]*callerQueue
	// admitted counts the requests admitted from the queue since then; rate is their rate. Both count only
	// while requests wait, since otherwise the rate is that of the callers.
	admitted int
	rateStart  time.Time
	rate   float64
	// meanLatency is the mean latency of the service.
	meanLatency time.Duration
}

// callerQueue holds the waiting requests of one caller.
type callerQueue struct {
	caller   string
	priority Priority
	element    *list.Element
	waiters list.List
}

type waiter struct {
	tryAcquire      func() bool
	deadline time.Time
	maxReserve     time.Duration
	done  chan struct{}
	admitted bool
	callerQueue     *callerQueue
	element    *list.Element
}

func newQueue() *queue {
	made := &queue{waitingByCaller: map[string]int{}}
	for priority := range made.roundRobin {
		made.roundRobin[priority], made.callerQueues[priority] = list.New(), map[string]*callerQueue{}
	}
	return made
}

// push appends a waiter to its caller's line.
func (queue *queue) push(own *waiter, caller string, priority Priority, now time.Time) {
	if queue.waiting == 0 {
		queue.admitted, queue.rateStart, queue.rate = 0, now, 0
	}
	queue.waiting++
	queue.waitingByCaller[caller]++
	found := queue.callerQueues[priority][caller]
	if found == nil {
		found = &callerQueue{caller: caller, priority: priority}
		found.element = queue.roundRobin[priority].PushBack(found)
		queue.callerQueues[priority][caller] = found
	}
	own.callerQueue, own.element = found, found.waiters.PushBack(own)
}

// remove takes a waiter out of its line. Further calls have no effect.
func (queue *queue) remove(own *waiter) {
	if own.element == nil {
		return
	}
	found := own.callerQueue
	found.waiters.Remove(own.element)
	own.element = nil
	if found.waiters.Len() == 0 {
		queue.roundRobin[found.priority].Remove(found.element)
		delete(queue.callerQueues[found.priority], found.caller)
	}
	queue.waiting--
	queue.waitingByCaller[found.caller]--
	if queue.waitingByCaller[found.caller] == 0 {
		delete(queue.waitingByCaller, found.caller)
	}
}

// admit lets the next waiter try. admitted is false when it is refused because it is too late; more is false
// when there is none or it gets no slot.
func (queue *queue) admit(now time.Time) (admitted, more bool) {
	for priority := priorityCount - 1; priority >= 0; priority-- {
		element := queue.roundRobin[priority].Front()
		if element == nil {
			continue
		}
		own, _ := element.Value.(*callerQueue)
		next, _ := own.waiters.Front().Value.(*waiter)
		late := !next.deadline.IsZero() && now.Add(min(latencyFactor*queue.meanLatency, next.maxReserve)).After(next.deadline)
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

// recordAdmission adds an admitted request to the rate.
func (queue *queue) recordAdmission(now time.Time) {
	queue.admitted++
	passed := now.Sub(queue.rateStart)
	if passed >= minRateWindow {
		queue.rate = float64(queue.admitted) / passed.Seconds()
	}
	if passed >= rateWindow {
		queue.admitted, queue.rateStart = queue.admitted/2, now.Add(-passed/2)
	}
}

// countAhead returns how many waiting requests take their turn before one that the caller would add now: all of
// higher priority, and of the same priority those that the turns of the callers put before it.
func (queue *queue) countAhead(caller string, priority Priority) int {
	own, count := 0, 0
	if found := queue.callerQueues[priority][caller]; found != nil {
		own = found.waiters.Len()
	}
	for _, found := range queue.callerQueues[priority] {
		count += min(found.waiters.Len(), own+1)
	}
	for higher := priority + 1; higher < priorityCount; higher++ {
		for _, found := range queue.callerQueues[higher] {
			count += found.waiters.Len()
		}
	}
	return count
}

// estimateWait returns how long it takes to serve count waiting requests at the present rate. known is false
// until the rate has been measured.
func (queue *queue) estimateWait(count int) (wait time.Duration, known bool) {
	if queue.rate <= 0 || count == 0 {
		return 0, false
	}
	return time.Duration(float64(count) / queue.rate * float64(time.Second)), true
}

// drainTime returns how long the queue needs to empty, between 1 s and 30 s.
func (queue *queue) drainTime() time.Duration {
	wait, _ := queue.estimateWait(queue.waiting)
	return min(max(wait, time.Second), 30*time.Second)
}
