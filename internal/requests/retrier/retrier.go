// Package retrier decides whether and when a request is retried. A retry budget limits the additional load.
package retrier

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// budgetRatio is the retry budget, as a fraction of the requests in progress.
	budgetRatio = 0.1
	// minBudget is the minimum retry budget. It allows a gateway with few requests to retry.
	minBudget = 3
	// initialBackoff is the upper bound of the first backoff. The bound doubles with every attempt, up to maxBackoff.
	// The backoff is random between 0 and the bound.
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
	// maxAttempts limits the attempts of one request, including the first.
	maxAttempts = 4
)

// Retrier manages the retry budget of one gateway. It is safe for concurrent use.
type Retrier struct {
	random func(limit time.Duration) time.Duration

	mutex          sync.Mutex
	activeRequests int
	retrying       int
}

// Option configures a Retrier.
type Option func(retrier *Retrier)

// WithRandom sets the function that returns a random duration in [0, limit).
func WithRandom(random func(limit time.Duration) time.Duration) Option {
	return func(retrier *Retrier) { retrier.random = random }
}

// New returns a Retrier without requests in progress.
func New(options ...Option) *Retrier {
	retrier := &Retrier{random: rand.N[time.Duration]}
	for _, option := range options {
		option(retrier)
	}
	return retrier
}

// Request is the retry state of one request in progress. It must be used from one goroutine at a time.
type Request struct {
	retrier    *Retrier
	idempotent bool
	forwarded  bool
	deadline   time.Time
	attempts   int
	retrying   bool
	restarted  atomic.Bool
}

// Begin registers a request in progress. forwarded is true if another gateway sent the request. Forwarded requests are
// never retried, because the other gateway may retry them itself.
func (retrier *Retrier) Begin(idempotent, forwarded bool, deadline time.Time) *Request {
	retrier.mutex.Lock()
	defer retrier.mutex.Unlock()
	retrier.activeRequests++
	return &Request{retrier: retrier, idempotent: idempotent, forwarded: forwarded, deadline: deadline}
}

// End removes the request from those in progress and returns its part of the retry budget.
func (request *Request) End() {
	request.retrier.mutex.Lock()
	defer request.retrier.mutex.Unlock()
	request.retrier.activeRequests--
	if request.retrying {
		request.retrier.retrying--
	}
}

// Retry reports whether the request may be retried after an attempt with the given outcome, and the backoff before the
// retry. A request is retried only if it is idempotent or certainly did not run. ended is true if the process
// of the endpoint has ended. Such a retry needs no budget: the failed attempt no longer loads an endpoint.
func (request *Request) Retry(outcome scheduler.Outcome, ended bool) (backoff time.Duration, ok bool) {
	request.attempts++
	if request.forwarded || request.attempts >= maxAttempts || outcome == scheduler.OutcomeDone {
		return 0, false
	}
	if outcome != scheduler.OutcomeNotRun && !request.idempotent {
		return 0, false
	}
	backoff = request.retrier.random(min(initialBackoff<<(request.attempts-1), maxBackoff))
	if time.Until(request.deadline) <= backoff {
		return 0, false
	}
	return backoff, ended || request.acquireBudget()
}

// Restart reports whether an attempt that waits for a response may be aborted and retried. It returns true at most once
// per request. It may be called while the attempt is in progress.
func (request *Request) Restart() bool {
	return request.idempotent && !request.forwarded &&
		request.restarted.CompareAndSwap(false, true) && request.acquireBudget()
}

// acquireBudget reserves a part of the retry budget for the request, unless the request already has one, and reports
// whether it succeeded.
func (request *Request) acquireBudget() bool {
	retrier := request.retrier
	retrier.mutex.Lock()
	defer retrier.mutex.Unlock()
	if request.retrying {
		return true
	}
	if retrier.retrying >= max(minBudget, int(budgetRatio*float64(retrier.activeRequests))) {
		return false
	}
	retrier.retrying++
	request.retrying = true
	return true
}
