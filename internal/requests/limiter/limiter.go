// Package limiter holds requests that wait for a slot. The queue of a service is bounded; callers take
// turns, requests of higher priority go first, and a request that cannot be served before its deadline is
// refused at once.
package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("limiter")

// Causes of a refusal.
var (
	ErrQueueFull = errs.Class("queue full")
	ErrDeadline  = errs.Class("deadline")
)

const (
	// defaultQueueLength bounds the requests that wait per service, defaultPerCaller those of one caller.
	defaultQueueLength    = 1000
	defaultPerCaller = 250
	// maxQueues bounds the services with a queue.
	maxQueues = 1000
	// rateWindow is over how long the rate of service is measured, rateMinimum after how long it is
	// first used.
	rateWindow  = time.Second
	minRateWindow = 200 * time.Millisecond
	// One part in waitPart of the remaining time is the longest expected wait. A longer queue does not
	// keep more slots busy; it only makes every admitted request late.
	maxWaitDivisor = 10
	// latencyFactor times the mean latency, but no more than half of the remaining time at the start, must
	// remain when a request is admitted.
	latencyFactor = 4
	// latencySampleWeight is the weight of one observed latency in the mean.
	latencySampleWeight = 0.05
)

// Priority orders waiting requests; a higher one goes first.
type Priority int

// Values of Priority.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
	priorityCount
)

// Limiter holds the queues. It is safe for concurrent use.
type Limiter struct {
	maxQueueLength    int
	maxPerCaller int

	mutex  sync.Mutex
	queues map[scheduler.ServiceName]*queue
}

// Option changes a Limiter at its creation.
type Option func(limiter *Limiter)

// WithQueueLimits sets how many requests wait per service, and how many of one caller.
func WithQueueLimits(length, perCaller int) Option {
	return func(limiter *Limiter) { limiter.maxQueueLength, limiter.maxPerCaller = length, perCaller }
}

// New returns a Limiter without waiting requests.
func New(options ...Option) *Limiter {
	limiter := &Limiter{maxQueueLength: defaultQueueLength, maxPerCaller: defaultPerCaller, queues: map[scheduler.ServiceName]*queue{}}
	for _, option := range options {
		option(limiter)
	}
	return limiter
}

// Request describes a request that needs a slot.
type Request struct {
	Service  scheduler.ServiceName
	Caller   string
	Priority Priority
	// TryAcquire takes a slot and reports whether it got one. It is called with the Limiter locked.
	TryAcquire func() bool
}

// Wait returns nil once Try has succeeded. It fails with ErrFull when too many requests wait, and with
// ErrDeadline when ctx ends or the wait would surely outlast it. retryAfter is when another attempt makes
// sense.
func (limiter *Limiter) Wait(ctx context.Context, ask Request) (retryAfter time.Duration, err error) {
	own, retryAfter, err := limiter.enqueue(ctx, ask)
	if own == nil || err != nil {
		return retryAfter, err
	}
	select {
	case <-own.done:
	case <-ctx.Done():
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if own.admitted {
		return 0, nil
	}
	found := limiter.queues[ask.Service]
	found.remove(own)
	return found.drainTime(), Error.Wrap(ErrDeadline.New("no slot became free in time"))
}

// enqueue tries at once when nobody waits, and queues the request otherwise.
func (limiter *Limiter) enqueue(ctx context.Context, ask Request) (*waiter, time.Duration, error) {
	now := time.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	found := limiter.queue(ask.Service)
	if found.waiting == 0 && ask.TryAcquire() {
		return nil, 0, nil
	}
	if found.waiting >= limiter.maxQueueLength || found.waitingByCaller[ask.Caller] >= limiter.maxPerCaller {
		return nil, found.drainTime(), Error.Wrap(ErrQueueFull.New("%d requests wait for service %s", found.waiting, ask.Service))
	}
	priority := min(max(ask.Priority, PriorityLow), PriorityHigh)
	deadline, limited := ctx.Deadline()
	if wait, known := found.estimateWait(found.countAhead(ask.Caller, priority)); limited && known && now.Add(maxWaitDivisor*wait).After(deadline) {
		return nil, found.drainTime(), Error.Wrap(ErrDeadline.New("about %v to wait", wait.Round(time.Millisecond)))
	}
	own := &waiter{tryAcquire: ask.TryAcquire, done: make(chan struct{}), deadline: deadline, maxReserve: deadline.Sub(now) / 2}
	found.push(own, ask.Caller, priority, now)
	return own, 0, nil
}

func (limiter *Limiter) queue(service scheduler.ServiceName) *queue {
	found := limiter.queues[service]
	if found != nil {
		return found
	}
	if len(limiter.queues) >= maxQueues {
		for name, other := range limiter.queues {
			if other.waiting == 0 {
				delete(limiter.queues, name)
			}
		}
	}
	found = newQueue()
	limiter.queues[service] = found
	return found
}

// QueuedRequests returns how many requests wait for a slot of the service.
func (limiter *Limiter) QueuedRequests(service scheduler.ServiceName) int {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if found := limiter.queues[service]; found != nil {
		return found.waiting
	}
	return 0
}

// Wake lets waiting requests try again. It is called when slots may have become free: with their number, or
// with 0 when it is not known. A number saves the search for a slot that fails at the end.
func (limiter *Limiter) Wake(slots int) {
	now := time.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for _, found := range limiter.queues {
		taken := 0
		for found.waiting > 0 && (slots == 0 || taken < slots) {
			admitted, more := found.admit(now)
			if !more {
				break
			}
			if admitted {
				taken++
			}
		}
	}
}

// Observe adds the latency of an answered request to the mean that an admitted request needs. Requests
// whose deadline is nearer than that are refused rather than admitted in vain.
func (limiter *Limiter) Observe(service scheduler.ServiceName, latency time.Duration) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if found := limiter.queues[service]; found != nil {
		found.meanLatency += time.Duration(latencySampleWeight * float64(latency-found.meanLatency))
	}
}
