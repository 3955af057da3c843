package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// maxBatch bounds the operations of one command, so that an entry stays below a few hundred
	// kilobytes.
	maxBatch = 2048
	// proposalTimeout bounds one proposal. It is shorter than the margin of a lease, so that a
	// lost majority is noticed before leases expire.
	proposalTimeout = 2 * time.Second
	// batchDelay is how long operations wait for others. Without it nearly every exchange that starts
	// or ends an attempt is an entry of its own, with a sync at each voter with a disk. It is small
	// against the period of the exchanges.
	batchDelay = 20 * time.Millisecond
)

// batcher joins operations that arrive within delay or while a proposal is under way into one command. With 860
// workers that sync every second, one entry per exchange would cost one disk sync each.
type batcher struct {
	group scheduler.Group
	delay time.Duration

	mutex    sync.Mutex
	queue    []*waiter
	flushing bool
}

type waiter struct {
	operations []Operation
	results    []Result
	err        error
	done       chan struct{}
}

// propose returns the results of the operations, in order. The error has class scheduler.ErrNotRun
// or scheduler.ErrUnknown.
func (batcher *batcher) propose(ctx context.Context, operations []Operation) ([]Result, error) {
	waiter := &waiter{operations: operations, done: make(chan struct{})}
	batcher.mutex.Lock()
	batcher.queue = append(batcher.queue, waiter)
	if !batcher.flushing {
		batcher.flushing = true
		go batcher.flush()
	}
	batcher.mutex.Unlock()
	select {
	case <-waiter.done:
		return waiter.results, waiter.err
	case <-ctx.Done():
		return nil, Error.Wrap(scheduler.ErrOutcomeUnknown.Wrap(ctx.Err()))
	}
}

// flush proposes until the queue is empty.
func (batcher *batcher) flush() {
	for {
		time.Sleep(batcher.delay)
		batch := batcher.next()
		if batch == nil {
			return
		}
		results, err := batcher.proposeBatch(batch)
		for _, waiter := range batch {
			if err == nil {
				waiter.results = results[:len(waiter.operations)]
				results = results[len(waiter.operations):]
			}
			waiter.err = err
			close(waiter.done)
		}
	}
}

// next takes waiters up to maxBatch operations, but at least one.
func (batcher *batcher) next() []*waiter {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	operations, taken := 0, 0
	for _, waiter := range batcher.queue {
		operations += len(waiter.operations)
		if taken > 0 && operations > maxBatch {
			break
		}
		taken++
	}
	if taken == 0 {
		batcher.flushing = false
		batcher.queue = nil
		return nil
	}
	batch := batcher.queue[:taken]
	batcher.queue = batcher.queue[taken:]
	return batch
}

func (batcher *batcher) proposeBatch(batch []*waiter) ([]Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), proposalTimeout)
	defer cancel()
	command := Command{AtUnixMilli: time.Now().UnixMilli()}
	for _, waiter := range batch {
		command.Operations = append(command.Operations, waiter.operations...)
	}
	encoded, err := encoder.Marshal(command)
	if err != nil {
		return nil, Error.Wrap(scheduler.ErrNotRun.Wrap(err))
	}
	answer, err := batcher.group.Propose(ctx, encoded)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var results []Result
	if err := encoder.Unmarshal(answer, &results); err != nil {
		return nil, Error.Wrap(scheduler.ErrOutcomeUnknown.Wrap(err))
	}
	if len(results) != len(command.Operations) {
		return nil, Error.Wrap(scheduler.ErrOutcomeUnknown.New("%d results for %d operations",
			len(results), len(command.Operations)))
	}
	return results, nil
}
