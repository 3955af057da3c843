// Package suppressor bounds log lines that would repeat without end.
package suppressor

import (
	"sync"
	"time"
)

// Suppressor allows one line of each kind in an interval and counts the others. It is safe for concurrent use.
type Suppressor struct {
	interval time.Duration
	mutex    sync.Mutex
	kinds    map[string]*repetition
}

// repetition is the state of one kind of line: when the last one was allowed, and how many were suppressed since then.
type repetition struct {
	allowedAt  time.Time
	suppressed int
}

// New returns a Suppressor that allows one line of each kind in an interval. Kinds are kept forever, so there must be
// few of them.
func New(interval time.Duration) *Suppressor {
	return &Suppressor{interval: interval, kinds: map[string]*repetition{}}
}

// Allow reports whether a line of the kind may be written now, and how many have been suppressed since the last one that
// was allowed.
func (suppressor *Suppressor) Allow(kind string) (suppressed int, allowed bool) {
	suppressor.mutex.Lock()
	defer suppressor.mutex.Unlock()
	now := time.Now()
	known := suppressor.kinds[kind]
	if known == nil {
		suppressor.kinds[kind] = &repetition{allowedAt: now}
		return 0, true
	}
	if now.Sub(known.allowedAt) < suppressor.interval {
		known.suppressed++
		return 0, false
	}
	suppressed = known.suppressed
	known.allowedAt, known.suppressed = now, 0
	return suppressed, true
}
