package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// maxBatch bounds the operations of one command, so that a log entry does not exceed a few hundred kilobytes.
	maxBatch = 2048
	// proposalTimeout bounds one proposal. It is shorter than the margin of a lease, so that the loss of the
	// majority is detected before leases expire.
	proposalTimeout = 2 * time.Second
	// batchDelay is how long an operation waits for others before it is proposed. Without it, nearly every
	// sync exchange that starts or ends an attempt creates a log entry of its own, which costs a disk sync at
	// each voter with a disk. It is short compared with the interval of the exchanges.
	batchDelay = 20 * time.Millisecond
)

// batcher combines operations that arrive within delay, or while a proposal is in flight, into one command. With
// 860 workers that sync every second, one log entry per exchange would cost one disk sync each.
type batcher struct {
	group scheduler.Group
	delay time.Duration

	mutex    sync.Mutex
	queue    []*proposal
	flushing bool
}

// proposal is a queued list of operations and, once done is closed, its outcome.
type proposal struct {
	operations []Operation
	results    []Result
	err        error
	done       chan struct{}
}

// propose proposes the operations and returns their results in order. The error has class scheduler.ErrNotRun or
// scheduler.ErrOutcomeUnknown.
func (batcher *batcher) propose(ctx context.Context, operations []Operation) ([]Result, error) {
	proposal := &proposal{operations: operations, done: make(chan struct{})}
	batcher.mutex.Lock()
	batcher.queue = append(batcher.queue, proposal)
	if !batcher.flushing {
		batcher.flushing = true
		go batcher.flush()
	}
	batcher.mutex.Unlock()
	select {
	case <-proposal.done:
		return proposal.results, proposal.err
	case <-ctx.Done():
		return nil, Error.Wrap(scheduler.ErrOutcomeUnknown.Wrap(ctx.Err()))
	}
}

// flush proposes batches until the queue is empty.
func (batcher *batcher) flush() {
	for {
		time.Sleep(batcher.delay)
		batch := batcher.nextBatch()
		if batch == nil {
			return
		}
		results, err := batcher.proposeBatch(batch)
		for _, proposal := range batch {
			if err == nil {
				proposal.results = results[:len(proposal.operations)]
				results = results[len(proposal.operations):]
			}
			proposal.err = err
			close(proposal.done)
		}
	}
}

// nextBatch removes proposals with up to maxBatch operations in total from the queue, but at least one proposal.
func (batcher *batcher) nextBatch() []*proposal {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	operations, taken := 0, 0
	for _, proposal := range batcher.queue {
		operations += len(proposal.operations)
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

func (batcher *batcher) proposeBatch(batch []*proposal) ([]Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), proposalTimeout)
	defer cancel()
	command := Command{AtUnixMilli: time.Now().UnixMilli()}
	for _, proposal := range batch {
		command.Operations = append(command.Operations, proposal.operations...)
	}
	encoded, err := encoder.Marshal(command)
	if err != nil {
		return nil, Error.Wrap(scheduler.ErrNotRun.Wrap(err))
	}
	response, err := batcher.group.Propose(ctx, encoded)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var results []Result
	if err := encoder.Unmarshal(response, &results); err != nil {
		return nil, Error.Wrap(scheduler.ErrOutcomeUnknown.Wrap(err))
	}
	if len(results) != len(command.Operations) {
		return nil, Error.Wrap(scheduler.ErrOutcomeUnknown.New("%d results for %d operations",
			len(results), len(command.Operations)))
	}
	return results, nil
}
