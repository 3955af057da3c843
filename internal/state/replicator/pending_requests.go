package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// waiters holds the proposals that were appended and the reads that wait for a majority.
type waiters struct {
	calls map[scheduler.Index]waitingCall
	reads []pendingRead
}

type waitingCall struct {
	term scheduler.Term
	call *call
	// until is zero while this VM leads.
	until time.Duration
}

func newWaiters() waiters { return waiters{calls: map[scheduler.Index]waitingCall{}} }

// add registers the proposer of entry. A proposal that waited at the same index since an earlier term
// has lost its place in this log, but another VM may still hold and commit it.
func (waiters *waiters) add(entry scheduler.Entry, call *call) {
	if replaced, found := waiters.calls[entry.Index]; found {
		replaced.call.finish(outcomeUnknown, "the entry was replaced in the log of a former leader", nil)
	}
	waiters.calls[entry.Index] = waitingCall{term: entry.Term, call: call}
}

// resolve answers the proposer of an applied entry. When the entry of another term took the place of
// a proposal, the proposal can never be committed.
func (waiters *waiters) resolve(entry scheduler.Entry, result []byte) {
	waiting, found := waiters.calls[entry.Index]
	if !found {
		return
	}
	delete(waiters.calls, entry.Index)
	if waiting.term != entry.Term {
		waiting.call.finish(outcomeNotRun, "another leader's entry took the place of the proposal", nil)
		return
	}
	waiting.call.finish(outcomeDone, "", result)
}

// orphan bounds the wait of all proposals after their leader has stepped down.
func (waiters *waiters) orphan(until time.Duration) {
	for index, waiting := range waiters.calls {
		if waiting.until == 0 {
			waiting.until = until
			waiters.calls[index] = waiting
		}
	}
}

func (waiters *waiters) expire(now time.Duration) {
	for index, waiting := range waiters.calls {
		if waiting.until > 0 && now > waiting.until {
			delete(waiters.calls, index)
			waiting.call.finish(outcomeUnknown, "the leader stepped down before the entry was committed", nil)
		}
	}
}

// passOver answers the proposals up to index, whose entries a snapshot has replaced.
func (waiters *waiters) passOver(index scheduler.Index) {
	for position, waiting := range waiters.calls {
		if position <= index {
			delete(waiters.calls, position)
			waiting.call.finish(outcomeUnknown, "a snapshot replaced the entry", nil)
		}
	}
}

func (waiters *waiters) failReads(err error) {
	for _, read := range waiters.reads {
		read.call.finish(0, err)
	}
	waiters.reads = nil
}

func (waiters *waiters) failAll(err error) {
	for index, waiting := range waiters.calls {
		delete(waiters.calls, index)
		waiting.call.finish(outcomeUnknown, err.Error(), nil)
	}
	waiters.failReads(err)
}
