package replicator

import (
	"context"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// ErrStateLost means that a journal does not contain what this replica has stored, for example because its folder was
// emptied. The replica must not vote again under its incarnation.
var ErrStateLost = Error.New("the journal has lost the state of this replica")

// ErrClosed is the reason why a closed Replicator neither starts nor rejoins.
var ErrClosed = Error.New("the replicator is closed")

// Rejoin makes a replica that has left its group after a failure take part again, under the same incarnation. It
// closes the failed journal and calls reopen for one that has read back what the disk holds.
//
// The state machine keeps what it has applied, because applied entries are committed. The log may be shorter than
// that: other VMs may have committed entries that this VM has not synced. The commit index restarts at that of the
// snapshot, as after a restart of the process, because the entries after it may be older ones that were overwritten
// without a sync.
//
// After an error the replica is still out of its group, and Rejoin may be called again, except after an error in the
// class ErrStateMachine or one that wraps ErrStateLost.
func (replicator *Replicator) Rejoin(ctx context.Context, reopen func() (scheduler.Journal, error)) error {
	replicator.rejoining.Lock()
	defer replicator.rejoining.Unlock()
	if replicator.isClosed() {
		return ErrClosed
	}
	previous := replicator.node()
	select {
	case <-previous.stopped:
	default:
		return Error.New("group %s has not stopped on %s", previous.name, previous.self.VM)
	}
	if failure := previous.failure.Load(); failure != nil && ErrStateMachine.Has(*failure) {
		return *failure
	}
	// The state machine must not be called by two nodes at once.
	if err := previous.awaitEnd(ctx); err != nil {
		return err
	}
	// The error of a failed journal was reported when it failed.
	_ = previous.journal.Close()
	journal, err := reopen()
	if err != nil {
		return Error.Wrap(err)
	}
	if err := replicator.replace(previous, journal); err != nil {
		_ = journal.Close()
		return err
	}
	return nil
}

// replace starts a node with the journal in place of the previous one.
func (replicator *Replicator) replace(previous *node, journal scheduler.Journal) error {
	stored := journal.HardState().Incarnation
	if stored != previous.self.Incarnation && (stored != 0 || previous.joined.Load()) {
		return ErrStateLost
	}
	next := newNode(previous.name, previous.self, journal, previous.transport, previous.applying.machine, previous.settings)
	next.logged = previous.logged
	err := next.load(replicator.initial, scheduler.Index(previous.applying.appliedIndex.Load()))
	// If this attempt fails, the next one must know what the state machine contains.
	previous.applying.appliedIndex.Store(next.applying.appliedIndex.Load())
	if err != nil {
		if ErrStateMachine.Has(err) {
			previous.failure.Store(&err)
		}
		return err
	}
	if err := next.saveHardState(); err != nil {
		return Error.Wrap(err)
	}
	return replicator.startUnlessClosed(next)
}

func (replicator *Replicator) isClosed() bool {
	replicator.closing.Lock()
	defer replicator.closing.Unlock()
	return replicator.closed
}
