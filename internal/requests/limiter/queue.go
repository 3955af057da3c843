package limiter

import (
	"container/list"
	"time"
)

// queue holds the waiting requests of one service by priority and caller.
type queue struct {
	waiting int
	callers map[string]int
	// turns holds the lines of the callers with waiting requests, the next one first.
	turns [priorities]*list.List
	lines [priorities]map[string]*line
	// served counts the requests admitted from the queue since then; rate is their rate. Both count only
	// while requests wait, since otherwise the rate is that of the callers.
	served int
	since  time.Time
	rate   float64
	// need is the mean latency of the service.
	need time.Duration
}

// line holds the waiting requests of one caller.
type line struct {
	caller   string
	priority Priority
	place    *list.Element
	requests list.List
}

type waiter struct {
	try      func() bool
	deadline time.Time
	half     time.Duration
	settled  chan struct{}
	admitted bool
	line     *line
	place    *list.Element
}

func newQueue() *queue {
	made := &queue{callers: map[string]int{}}
	for priority := range made.turns {
		made.turns[priority], made.lines[priority] = list.New(), map[string]*line{}
	}
	return made
}

// push appends a waiter to its caller's line.
func (queue *queue) push(own *waiter, caller string, priority Priority, now time.Time) {
	if queue.waiting == 0 {
		queue.served, queue.since, queue.rate = 0, now, 0
	}
	queue.waiting++
	queue.callers[caller]++
	found := queue.lines[priority][caller]
	if found == nil {
		found = &line{caller: caller, priority: priority}
		found.place = queue.turns[priority].PushBack(found)
		queue.lines[priority][caller] = found
	}
	own.line, own.place = found, found.requests.PushBack(own)
}

// remove takes a waiter out of its line. Further calls have no effect.
func (queue *queue) remove(own *waiter) {
	if own.place == nil {
		return
	}
	found := own.line
	found.requests.Remove(own.place)
	own.place = nil
	if found.requests.Len() == 0 {
		queue.turns[found.priority].Remove(found.place)
		delete(queue.lines[found.priority], found.caller)
	}
	queue.waiting--
	queue.callers[found.caller]--
	if queue.callers[found.caller] == 0 {
		delete(queue.callers, found.caller)
	}
}

// admit lets the next waiter try. admitted is false when it is refused because it is too late; more is false
// when there is none or it gets no slot.
func (queue *queue) admit(now time.Time) (admitted, more bool) {
	for priority := priorities - 1; priority >= 0; priority-- {
		element := queue.turns[priority].Front()
		if element == nil {
			continue
		}
		own, _ := element.Value.(*line)
		next, _ := own.requests.Front().Value.(*waiter)
		late := !next.deadline.IsZero() && now.Add(min(needFactor*queue.need, next.half)).After(next.deadline)
		if !late && !next.try() {
			return false, false
		}
		queue.turns[priority].MoveToBack(element)
		queue.remove(next)
		next.admitted = !late
		if !late {
			queue.count(now)
		}
		close(next.settled)
		return !late, true
	}
	return false, false
}

// count adds an admitted request to the rate.
func (queue *queue) count(now time.Time) {
	queue.served++
	passed := now.Sub(queue.since)
	if passed >= rateMinimum {
		queue.rate = float64(queue.served) / passed.Seconds()
	}
	if passed >= rateWindow {
		queue.served, queue.since = queue.served/2, now.Add(-passed/2)
	}
}

// ahead returns how many waiting requests take their turn before one that the caller would add now: all of
// higher priority, and of the same priority those that the turns of the callers put before it.
func (queue *queue) ahead(caller string, priority Priority) int {
	own, count := 0, 0
	if found := queue.lines[priority][caller]; found != nil {
		own = found.requests.Len()
	}
	for _, found := range queue.lines[priority] {
		count += min(found.requests.Len(), own+1)
	}
	for higher := priority + 1; higher < priorities; higher++ {
		for _, found := range queue.lines[higher] {
			count += found.requests.Len()
		}
	}
	return count
}

// estimate returns how long it takes to serve count waiting requests at the present rate. known is false
// until the rate has been measured.
func (queue *queue) estimate(count int) (wait time.Duration, known bool) {
	if queue.rate <= 0 || count == 0 {
		return 0, false
	}
	return time.Duration(float64(count) / queue.rate * float64(time.Second)), true
}

// drain returns how long the queue needs to empty, between 1 s and 30 s.
func (queue *queue) drain() time.Duration {
	wait, _ := queue.estimate(queue.waiting)
	return min(max(wait, time.Second), 30*time.Second)
}
