package replicator

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// readCall asks the leader for the index that a read must wait for.
type readCall struct {
	from scheduler.VMName
	done chan readOutcome
}

type readOutcome struct {
	index scheduler.Index
	err   error
}

// pendingRead waits until a majority has answered a message that was sent at asked or later.
type pendingRead struct {
	call  *readCall
	index scheduler.Index
	asked time.Duration
}

func (readCall *readCall) finish(index scheduler.Index, err error) {
	readCall.done <- readOutcome{index: index, err: err}
}

// ReadBarrier returns when the local state machine has applied every entry that was committed before
// the call. See scheduler.Group. Without a leader it tries again for up to 3 s.
func (replicator *Replicator) ReadBarrier(ctx context.Context) error {
	giveUp := time.Now().Add(leaderWait)
	for {
		index, err := replicator.readIndex(ctx)
		if err == nil {
			return replicator.node.awaitApplied(ctx, index)
		}
		if ctx.Err() != nil || time.Now().After(giveUp) || !replicator.waitToRetry(ctx) {
			return Error.Wrap(err)
		}
	}
}

func (replicator *Replicator) readIndex(ctx context.Context) (scheduler.Index, error) {
	node := replicator.node
	if !replicator.isRunning() {
		return 0, Error.New("group %s does not run on %s", node.name, node.self.VM)
	}
	leader := replicator.Status().Leader()
	if leader == "" {
		return 0, Error.New("no leader is known")
	}
	if leader == node.self.VM {
		return node.askReadIndex(ctx, node.self.VM)
	}
	body, err := node.transport.Call(ctx, leader, node.name, kindRead, nil)
	if err != nil {
		return 0, err
	}
	answer, err := decode[readAnswer](body)
	if err != nil {
		return 0, err
	}
	return answer.Index, nil
}

func (node *node) askReadIndex(ctx context.Context, from scheduler.VMName) (scheduler.Index, error) {
	read := &readCall{from: from, done: make(chan readOutcome, 1)}
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
			return Error.New("applied %d of %d: %v", applied, index, ctx.Err())
		case <-node.stopped:
			return Error.New("group %s has stopped on %s", node.name, node.self.VM)
		}
	}
}

// handleRead notes the index that the read needs. A new leader does not know yet which entries of
// earlier terms are committed, so the index is at least that of its own first entry.
func (node *node) handleRead(read *readCall) {
	if node.role != roleLeader {
		read.finish(0, Error.New("%s does not lead group %s", node.self.VM, node.name))
		return
	}
	node.waiting.reads = append(node.waiting.reads, pendingRead{
		call: read, index: max(node.commit, node.leading.firstIndex), asked: node.clock.now(),
	})
}

// answerReads answers the reads for which this VM is known to have led at the time of the call.
func (node *node) answerReads() {
	if len(node.waiting.reads) == 0 {
		return
	}
	now := node.clock.now()
	leased := now < node.majorityUntil(now)
	answered := node.quorumAnswered(now)
	remaining := node.waiting.reads[:0]
	for _, read := range node.waiting.reads {
		if !leased && answered < read.asked {
			remaining = append(remaining, read)
			continue
		}
		read.call.finish(read.index, nil)
		if progress := node.leading.peers[read.call.from]; progress != nil {
			// The reader waits for the commit index, which the next message would bring
			// only with the next heartbeat.
			node.sendHeartbeat(read.call.from, progress, now)
		}
	}
	node.waiting.reads = remaining
}
