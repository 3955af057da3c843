package replicator

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// applyWork is one task for the state machine: entries to apply, or a snapshot to take or install.
type applyWork struct {
	entries []scheduler.Entry
	take    *scheduler.SnapshotMeta
	install *scheduler.SnapshotMeta
	data    []byte
}

type applyResult struct {
	work    applyWork
	results [][]byte
	// data is the content of the snapshot that was taken.
	data []byte
	// refused is the error with which the journal refused a received snapshot and stayed usable.
	refused error
	err     error
}

// applier runs the state machine outside the event loop, one task at a time.
type applier struct {
	machine scheduler.StateMachine
	work    chan applyWork
	results chan applyResult
	busy    bool
	// appliedIndex is the index of the last applied entry. It is updated after each entry, so that the stall
	// detector sees progress within a batch.
	appliedIndex atomic.Uint64
	signal       appliedSignal
	calls        machineCalls
	// observedTerm is the term that the state machine has observed last, or zero if it may not know its term. Only the
	// goroutine that calls the state machine uses it.
	observedTerm scheduler.Term
}

func newApplier(machine scheduler.StateMachine) *applier {
	return &applier{
		machine: machine, work: make(chan applyWork, 1), results: make(chan applyResult, 1),
		signal: appliedSignal{changed: make(chan struct{})},
	}
}

func (node *node) runApplier() {
	defer node.running.Done()
	for {
		select {
		case <-node.stopped:
			return
		case work := <-node.applying.work:
			node.applying.results <- node.perform(work)
		}
	}
}

// machineCalls counts the calls of the state machine. It is safe for concurrent use.
type machineCalls struct {
	begun, finished atomic.Uint64
}

func (machineCalls *machineCalls) begin() { machineCalls.begun.Add(1) }

func (machineCalls *machineCalls) end() { machineCalls.finished.Add(1) }

// StateMachineCalls returns the number of calls of the state machine that have returned since this VM last joined the group,
// and whether another one is running.
func (replicator *Replicator) StateMachineCalls() (finished uint64, running bool) {
	calls := &replicator.node().applying.calls
	finished = calls.finished.Load()
	return finished, calls.begun.Load() != finished
}

func (node *node) perform(work applyWork) applyResult {
	result := applyResult{work: work}
	machine := node.applying.machine
	switch {
	case work.take != nil:
		buffer := &bytes.Buffer{}
		node.applying.calls.begin()
		if err := machine.Snapshot(buffer); err != nil {
			result.err = ErrStateMachine.Wrap(err)
		}
		node.applying.calls.end()
		result.data = buffer.Bytes()
	case work.install != nil:
		result.refused, result.err = node.install(*work.install, work.data)
	default:
		result.results = make([][]byte, len(work.entries))
		for position, entry := range work.entries {
			node.applying.calls.begin()
			node.applying.observeTerm(entry.Term)
			if entry.Kind == scheduler.EntryCommand {
				result.results[position] = machine.Apply(entry.Index, entry.Data)
			}
			node.applying.calls.end()
			node.applying.appliedIndex.Store(uint64(entry.Index))
		}
	}
	return result
}

// observeTerm tells a state machine that observes terms about a new one.
func (applier *applier) observeTerm(term scheduler.Term) {
	if term == applier.observedTerm {
		return
	}
	applier.observedTerm = term
	if observer, observes := applier.machine.(scheduler.TermObserver); observes {
		observer.ObserveTerm(term)
	}
}

// install stores a received snapshot and restores the state machine from it. refused is set if the journal did not store
// the snapshot but is unchanged; the state machine is then unchanged too. A state machine that has already applied more,
// before this VM rejoined the group with a shorter log, keeps its state.
func (node *node) install(meta scheduler.SnapshotMeta, data []byte) (refused, err error) {
	err = node.journal.SaveSnapshot(meta, 0, func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	})
	switch {
	case scheduler.ErrJournalFailed.Has(err):
		return nil, err
	case err != nil:
		return err, nil
	case uint64(meta.Index) <= node.applying.appliedIndex.Load():
		return nil, nil
	}
	node.applying.calls.begin()
	node.applying.observedTerm = 0 // A snapshot need not contain the term.
	err = node.applying.machine.Restore(bytes.NewReader(data))
	node.applying.calls.end()
	if err != nil {
		return nil, ErrStateMachine.Wrap(err)
	}
	node.applying.appliedIndex.Store(uint64(meta.Index))
	return nil, nil
}

// startApply starts the next task of the state machine unless one is running.
func (node *node) startApply() error {
	if node.applying.busy {
		return nil
	}
	work, err := node.nextApplyWork()
	if err != nil || work == nil {
		return err
	}
	node.applying.busy = true
	node.applying.work <- *work
	return nil
}

func (node *node) nextApplyWork() (*applyWork, error) {
	if work := node.snapshot.nextWork(node); work != nil {
		return work, nil
	}
	if node.isInstalling() || node.applied >= node.commit {
		return nil, nil
	}
	entries, err := node.log.entries(node.applied+1, node.commit, maxApplyBytes)
	if err != nil {
		return nil, err
	}
	return &applyWork{entries: entries}, nil
}

// handleApplied processes the result of a task and responds to the proposers of applied entries.
func (node *node) handleApplied(done applyResult) error {
	node.applying.busy = false
	if done.err != nil {
		return Error.Wrap(done.err)
	}
	switch {
	case done.refused != nil:
		node.snapshot.installData = done.work.data
		node.delaySnapshot("snapshotNotInstalled", done.work.install.Index, done.refused)
	case done.work.take != nil:
		node.saveSnapshot(*done.work.take, done.data)
	case done.work.install != nil:
		return node.finishInstall(*done.work.install)
	default:
		for position, entry := range done.work.entries {
			node.pending.resolve(entry, done.results[position])
		}
		node.setApplied(done.work.entries[len(done.work.entries)-1].Index)
	}
	return nil
}

func (node *node) setApplied(index scheduler.Index) {
	node.applied = index
	node.applying.signal.set(index)
}

// appliedSignal notifies other goroutines when the applied index changes.
type appliedSignal struct {
	mutex   sync.Mutex
	index   scheduler.Index
	changed chan struct{}
}

func (appliedSignal *appliedSignal) set(index scheduler.Index) {
	appliedSignal.mutex.Lock()
	defer appliedSignal.mutex.Unlock()
	appliedSignal.index = index
	close(appliedSignal.changed)
	appliedSignal.changed = make(chan struct{})
}

// get returns the applied index and a channel that is closed when the index changes.
func (appliedSignal *appliedSignal) get() (scheduler.Index, <-chan struct{}) {
	appliedSignal.mutex.Lock()
	defer appliedSignal.mutex.Unlock()
	return appliedSignal.index, appliedSignal.changed
}
