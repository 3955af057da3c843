package replicator

import (
	"context"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// load reads the journal. The state machine has applied the entries up to applied; it is restored from the newest
// snapshot if that contains more.
func (node *node) load(initial membership, applied scheduler.Index) error {
	hardState := node.journal.HardState()
	node.term, node.votedFor = hardState.Term, hardState.VotedFor
	node.applying.appliedIndex.Store(uint64(applied))
	base := indexedMembership{membership: initial}
	meta, reader, found, err := node.journal.OpenSnapshot()
	if err != nil {
		return Error.Wrap(err)
	}
	if found {
		defer func() { _ = reader.Close() }()
		if meta.Index > applied {
			if err := node.applying.machine.Restore(reader); err != nil {
				return Error.Wrap(ErrStateMachine.New("restore snapshot at %d: %w", meta.Index, err))
			}
			applied = meta.Index
			node.applying.appliedIndex.Store(uint64(applied))
		}
		decoded, err := decodeMembership(meta.Membership)
		if err != nil {
			return err
		}
		base = indexedMembership{index: meta.Index, membership: decoded}
		node.commit, node.snapshot.index = meta.Index, meta.Index
	}
	if err := node.log.loadMemberships(base); err != nil {
		return err
	}
	node.setApplied(applied)
	node.publish()
	return nil
}

// join stores the incarnation. If that fails, the node stops.
func (node *node) join() error {
	if err := node.saveHardState(); err != nil {
		err = Error.Wrap(err)
		node.recordFailure(err)
		node.stop(nil)
		return err
	}
	return nil
}

// isRunning reports whether this VM participates in the group. It is false before Start and after stopped is closed;
// the known leader is then not kept up to date.
func (node *node) isRunning() bool {
	select {
	case <-node.stopped:
		return false
	default:
		return node.joined.Load()
	}
}

// receive queues a message from another VM, or drops it if the node is not running or its inbox is full.
func (node *node) receive(message inbound) {
	if !node.isRunning() {
		return
	}
	select {
	case node.inbox <- message:
	default:
	}
}

// awaitEnd waits until the goroutines of a stopped node have ended.
func (node *node) awaitEnd(ctx context.Context) error {
	if err := waiter.Join(ctx, &node.running); err != nil {
		return Error.New("group %s is still using its journal or state machine: %w", node.name, err)
	}
	return nil
}

func (node *node) start() {
	now := node.clock.now()
	// A vote within minElectionTimeout after the start could violate the lease of a leader to which this VM
	// responded just before it restarted.
	node.lastLeaderContact = now
	node.stall = newStallDetector(now)
	node.resetElectionDeadline(now)
	node.joined.Store(true)
	node.running.Add(3)
	go node.run()
	go node.runSyncer()
	go node.runApplier()
}

// stop stops the event loop and its helper goroutines without waiting for them. The failure is nil for a
// planned stop.
func (node *node) stop(failure error) {
	node.stopOnce.Do(func() {
		if failure != nil {
			node.recordFailure(failure)
			node.logFailure(failure)
		}
		node.viewMutex.Lock()
		defer node.viewMutex.Unlock()
		if !node.settings.hooks.keepLeadership {
			node.view.Store(node.view.Load().withoutLeader())
		}
		close(node.stopped)
	})
}

// endLoop completes all pending requests with an error. A proposal that was never appended is known not to
// have run.
func (node *node) endLoop() {
	node.pending.failAll(unknown("group %s has stopped on %s", node.name, node.self.VM))
	for {
		select {
		case proposal := <-node.proposals:
			proposal.reject("group %s has stopped on %s", node.name, node.self.VM)
		case read := <-node.reads:
			read.finish(0, Error.New("group %s has stopped on %s", node.name, node.self.VM))
		default:
			return
		}
	}
}
