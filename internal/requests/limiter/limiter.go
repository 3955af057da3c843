// Package limiter queues requests that wait for a slot. The queue of each service is bounded. Requests of higher
// priority are admitted first, callers of the same priority in round-robin order. A request that cannot be served
// before its deadline is rejected immediately.
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

// Classes of the errors of rejected requests.
var (
	ErrQueueFull = errs.Class("queue full")
	ErrDeadline  = errs.Class("deadline")
)

const (
	// defaultQueueLength limits the waiting requests per service, defaultPerCaller those of one caller.
	defaultQueueLength = 1000
	defaultPerCaller   = 250
	// maxQueues bounds the number of queues. If it is reached, empty queues are removed before another is created.
	maxQueues = 1000
	// rateWindow is the time over which the admission rate is measured, minRateWindow the time after which the rate
	// is used first.
	rateWindow    = time.Second
	minRateWindow = 200 * time.Millisecond
	// The expected wait must not exceed the time to the deadline divided by maxWaitDivisor. A longer queue would not
	// keep more slots busy, but only delay every admitted request.
	maxWaitDivisor = 10
	// A request is admitted only if latencyFactor times the mean latency remains until its deadline. At most half of
	// the time that remained when it was queued is required.
	latencyFactor = 4
	// latencySampleWeight is the weight of a new sample in the moving average of the latency.
	latencySampleWeight = 0.05
)

// Priority is the priority of a waiting request. Higher priorities are admitted first.
type Priority int

// Values of Priority.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
	priorityCount
)

// Limiter queues waiting requests by service. It is safe for concurrent use.
type Limiter struct {
	maxQueueLength int
	maxPerCaller   int

	mutex  sync.Mutex
	queues map[queueName]*queue
}

// queueName identifies a queue. Requests whose bodies are still arriving wait in one of their own, so that they neither
// delay the others nor count in the forecast of their waits.
type queueName struct {
	service   scheduler.ServiceName
	streaming bool
}

// Option configures a Limiter.
type Option func(limiter *Limiter)

// WithQueueLimits sets the maximum numbers of waiting requests per service and of one caller within a service.
func WithQueueLimits(length, perCaller int) Option {
	return func(limiter *Limiter) { limiter.maxQueueLength, limiter.maxPerCaller = length, perCaller }
}

// New returns a Limiter without waiting requests.
func New(options ...Option) *Limiter {
	limiter := &Limiter{
		maxQueueLength: defaultQueueLength, maxPerCaller: defaultPerCaller,
		queues: map[queueName]*queue{},
	}
	for _, option := range options {
		option(limiter)
	}
	return limiter
}

// Request is a request for a slot.
type Request struct {
	Service  scheduler.ServiceName
	Caller   string
	Priority Priority
	// Streaming is true if the body of the request is still arriving.
	Streaming bool
	// TryAcquire tries to acquire a slot and reports whether it succeeded. It is called with the Limiter locked.
	TryAcquire func() bool
}

// Wait blocks until TryAcquire succeeds. It returns ErrQueueFull if too many requests are waiting, and ErrDeadline if
// ctx ends or the expected wait is too long for its deadline. After an error, retryAfter is the suggested time until
// another attempt.
func (limiter *Limiter) Wait(ctx context.Context, request Request) (retryAfter time.Duration, err error) {
	queued, retryAfter, err := limiter.enqueue(ctx, request)
	if queued == nil || err != nil {
		return retryAfter, err
	}
	select {
	case <-queued.done:
	case <-ctx.Done():
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if queued.admitted {
		return 0, nil
	}
	serviceQueue := limiter.queues[request.queueName()]
	serviceQueue.remove(queued)
	return serviceQueue.drainTime(), Error.Wrap(ErrDeadline.New("no slot became free in time"))
}

// enqueue admits the request immediately if none is waiting and a slot is free, and queues it otherwise.
func (limiter *Limiter) enqueue(ctx context.Context, request Request) (*waiter, time.Duration, error) {
	now := time.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	serviceQueue := limiter.queue(request.queueName())
	if serviceQueue.waiting == 0 && request.TryAcquire() {
		return nil, 0, nil
	}
	if serviceQueue.waiting >= limiter.maxQueueLength ||
		serviceQueue.waitingByCaller[request.Caller] >= limiter.maxPerCaller {
		return nil, serviceQueue.drainTime(),
			Error.Wrap(ErrQueueFull.New("%d requests wait for service %s", serviceQueue.waiting, request.Service))
	}
	priority := min(max(request.Priority, PriorityLow), PriorityHigh)
	deadline, limited := ctx.Deadline()
	if wait, known := serviceQueue.estimateWait(serviceQueue.countAhead(request.Caller, priority)); limited && known &&
		now.Add(maxWaitDivisor*wait).After(deadline) {
		return nil, serviceQueue.drainTime(), Error.Wrap(ErrDeadline.New("about %v to wait", wait.Round(time.Millisecond)))
	}
	queued := &waiter{
		tryAcquire: request.TryAcquire, done: make(chan struct{}),
		deadline: deadline, maxReserve: deadline.Sub(now) / 2,
	}
	serviceQueue.push(queued, request.Caller, priority, now)
	return queued, 0, nil
}

func (request *Request) queueName() queueName {
	return queueName{service: request.Service, streaming: request.Streaming}
}

func (limiter *Limiter) queue(name queueName) *queue {
	serviceQueue := limiter.queues[name]
	if serviceQueue != nil {
		return serviceQueue
	}
	if len(limiter.queues) >= maxQueues {
		for otherName, other := range limiter.queues {
			if other.waiting == 0 {
				delete(limiter.queues, otherName)
			}
		}
	}
	serviceQueue = newQueue()
	limiter.queues[name] = serviceQueue
	return serviceQueue
}

// QueuedRequests returns the number of requests that wait for a slot of the service.
func (limiter *Limiter) QueuedRequests(service scheduler.ServiceName) int {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	waiting := 0
	for _, streaming := range []bool{false, true} {
		if serviceQueue := limiter.queues[queueName{service, streaming}]; serviceQueue != nil {
			waiting += serviceQueue.waiting
		}
	}
	return waiting
}

// Wake lets waiting requests try to acquire a slot, first those that are not streaming. It must be called when slots may
// have become free, with their number, or with 0 if the number is unknown. A known number avoids a last search that finds
// no free slot.
func (limiter *Limiter) Wake(slots int) {
	now := time.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for _, streaming := range []bool{false, true} {
		for name, serviceQueue := range limiter.queues {
			if name.streaming == streaming {
				serviceQueue.wake(now, slots)
			}
		}
	}
}

// Observe adds the latency of an answered request to the mean latency of its service. It must not be called for streaming
// requests. From the mean, the Limiter determines how much time must remain until the deadline of a request when it is
// admitted. Requests with less time are rejected, because they would probably miss their deadline.
func (limiter *Limiter) Observe(service scheduler.ServiceName, latency time.Duration) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if serviceQueue := limiter.queues[queueName{service: service}]; serviceQueue != nil {
		serviceQueue.meanLatency += time.Duration(latencySampleWeight * float64(latency-serviceQueue.meanLatency))
	}
}
