package replicator

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// readRequest requests the read index from the leader: the index that must be applied before the read.
type readRequest struct {
	from scheduler.VMName
	done chan readResult
}

type readResult struct {
	index scheduler.Index
	err   error
}

// pendingRead is a read that waits until a majority has acknowledged a message sent at requestedAt or later.
type pendingRead struct {
	request     *readRequest
	index       scheduler.Index
	requestedAt time.Duration
}

func (readRequest *readRequest) finish(index scheduler.Index, err error) {
	readRequest.done <- readResult{index: index, err: err}
}

// ReadBarrier implements scheduler.Group. If there is no leader, it retries for up to 3 s.
func (replicator *Replicator) ReadBarrier(ctx context.Context) error {
	retryDeadline := time.Now().Add(leaderWaitTimeout)
	for {
		index, err := replicator.readIndex(ctx)
		if err == nil {
			return replicator.node().awaitApplied(ctx, index)
		}
		if ctx.Err() != nil || time.Now().After(retryDeadline) || !replicator.waitToRetry(ctx) {
			return Error.Wrap(err)
		}
	}
}

func (replicator *Replicator) readIndex(ctx context.Context) (scheduler.Index, error) {
	node := replicator.node()
	if !node.isRunning() {
		return 0, Error.New("group %s is not running on %s", node.name, node.self.VM)
	}
	leader := node.view.Load().status.Leader()
	if leader == "" {
		return 0, Error.New("no leader is known")
	}
	if leader == node.self.VM {
		return node.requestReadIndex(ctx, node.self.VM)
	}
	body, err := node.transport.Call(ctx, leader, node.name, kindRead, nil)
	if err != nil {
		return 0, err
	}
	response, err := decode[readResponse](body)
	if err != nil {
		return 0, err
	}
	return response.Index, nil
}

func (node *node) requestReadIndex(ctx context.Context, from scheduler.VMName) (scheduler.Index, error) {
	read := &readRequest{from: from, done: make(chan readResult, 1)}
	select {
	case node.reads <- read:
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-node.stopped:
		return 0, Error.New("group %s has stopped on %s", node.name, node.self.VM)
	}
	select {
	case outcome := <-read.done:
		return outcome.index, outcome.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-node.stopped:
		return 0, Error.New("group %s has stopped on %s", node.name, node.self.VM)
	}
}

func (node *node) awaitApplied(ctx context.Context, index scheduler.Index) error {
	for {
		applied, changed := node.applying.signal.get()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Error.New("wait for applied index: at %d of %d: %v", applied, index, ctx.Err())
		case <-node.stopped:
			return Error.New("group %s has stopped on %s", node.name, node.self.VM)
		}
	}
}

// handleRead determines the read index. A new leader does not know yet which entries of earlier terms are
// committed, so the index is at least that of its first entry in the current term.
func (node *node) handleRead(read *readRequest) {
	if node.role != roleLeader {
		read.finish(0, Error.New("%s is not the leader of group %s", node.self.VM, node.name))
		return
	}
	node.pending.reads = append(node.pending.reads, pendingRead{
		request: read, index: max(node.commit, node.leading.firstIndex), requestedAt: node.clock.now(),
	})
}

// completeReads completes the reads for which this VM is known to have been the leader when they were
// requested.
func (node *node) completeReads() {
	if len(node.pending.reads) == 0 {
		return
	}
	now := node.clock.now()
	leased := now < node.quorumLeaseUntil(now)
	ackedSendTime := node.quorumAckedSendTime(now)
	remaining := node.pending.reads[:0]
	for _, read := range node.pending.reads {
		if !leased && ackedSendTime < read.requestedAt {
			remaining = append(remaining, read)
			continue
		}
		read.request.finish(read.index, nil)
		if progress := node.leading.peers[read.request.from]; progress != nil {
			// The reader waits until it receives this commit index, which it would otherwise
			// learn only from the next regular heartbeat.
			node.sendHeartbeat(read.request.from, progress, now)
		}
	}
	node.pending.reads = remaining
}
