// Package retrier decides whether and when a request is tried again.
package retrier

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// budgetRatio is how many retries are allowed per live request.
	budgetRatio = 0.1
	// minBudget lets a gateway with few requests retry at all.
	minBudget = 3
	// initialBackoff doubles with every attempt, up to longestPause. The pause is random between 0 and that.
	initialBackoff   = 10 * time.Millisecond
	maxBackoff = time.Second
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
)

// Retrier holds the retry budget of one gateway. It is safe for concurrent use.
type Retrier struct {
	random func(limit time.Duration) time.Duration

	mutex    sync.Mutex
	activeRequests     int
	retrying int
}

// Option changes a Retrier at its creation.
type Option func(retrier *Retrier)

// WithRandom replaces the source of random durations below limit.
func WithRandom(random func(limit time.Duration) time.Duration) Option {
	return func(retrier *Retrier) { retrier.random = random }
}

// New returns a Retrier without live requests.
func New(options ...Option) *Retrier {
	retrier := &Retrier{random: rand.N[time.Duration]}
	for _, option := range options {
		option(retrier)
	}
	return retrier
}

// Request is the retry state of one live request. It is used from one goroutine at a time.
type Request struct {
	retrier    *Retrier
	idempotent bool
	forwarded  bool
	deadline   time.Time
	attempts   int
	retrying   bool
	restarted  atomic.Bool
}

// Begin counts a live request. forwarded is true when another gateway sent it; such a request is never
// retried, because the other gateway may do so itself.
func (retrier *Retrier) Begin(idempotent, forwarded bool, deadline time.Time) *Request {
	retrier.mutex.Lock()
	defer retrier.mutex.Unlock()
	retrier.activeRequests++
	return &Request{retrier: retrier, idempotent: idempotent, forwarded: forwarded, deadline: deadline}
}

// End ends a live request.
func (request *Request) End() {
	request.retrier.mutex.Lock()
	defer request.retrier.mutex.Unlock()
	request.retrier.activeRequests--
	if request.retrying {
		request.retrier.retrying--
	}
}

// Retry reports whether the request may be tried again after an attempt with the given outcome, and after
// which pause. A request is retried when it is idempotent or surely was not run.
func (request *Request) Retry(outcome scheduler.Outcome) (pause time.Duration, ok bool) {
	request.attempts++
	if request.forwarded || request.attempts >= maxAttempts || outcome == scheduler.OutcomeDone {
		return 0, false
	}
	if outcome != scheduler.OutcomeNotRun && !request.idempotent {
		return 0, false
	}
	pause = request.retrier.random(min(initialBackoff<<(request.attempts-1), maxBackoff))
	if time.Until(request.deadline) <= pause {
		return 0, false
	}
	return pause, request.acquireBudget()
}

// Restart reports whether an attempt that still waits may be ended and tried again, which it allows once per
// request. It may be called while the attempt runs.
func (request *Request) Restart() bool {
	return request.idempotent && !request.forwarded && request.restarted.CompareAndSwap(false, true) && request.acquireBudget()
}

// acquireBudget counts the request as retrying, within the budget.
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
