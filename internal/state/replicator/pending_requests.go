package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// pendingRequests holds the proposals that were appended, by index, and the reads that wait for a majority.
type pendingRequests struct {
	proposals map[scheduler.Index]pendingProposal
	reads     []pendingRead
}

type pendingProposal struct {
	term     scheduler.Term
	proposal *proposal
	// deadline is zero while this VM is the leader.
	deadline time.Duration
}

func newPendingRequests() pendingRequests {
	return pendingRequests{proposals: map[scheduler.Index]pendingProposal{}}
}

// add registers the proposal of an entry. A pending proposal with the same index from an earlier term has
// been overwritten in this log, but another VM may still have its entry and commit it.
func (pendingRequests *pendingRequests) add(entry scheduler.Entry, proposal *proposal) {
	if replaced, found := pendingRequests.proposals[entry.Index]; found {
		replaced.proposal.finish(outcomeUnknown, "the entry was overwritten in the log of a former leader", nil)
	}
	pendingRequests.proposals[entry.Index] = pendingProposal{term: entry.Term, proposal: proposal}
}

// resolve completes the proposal of an applied entry. If an entry of another term was applied at the index
// of the proposal, the proposal can never be committed.
func (pendingRequests *pendingRequests) resolve(entry scheduler.Entry, result []byte) {
	pending, found := pendingRequests.proposals[entry.Index]
	if !found {
		return
	}
	delete(pendingRequests.proposals, entry.Index)
	if pending.term != entry.Term {
		pending.proposal.finish(outcomeNotRun, "an entry of another leader was committed at the index of the proposal", nil)
		return
	}
	pending.proposal.finish(outcomeDone, "", result)
}

// setDeadline sets the deadline of all proposals that have none, after their leader has stepped down.
func (pendingRequests *pendingRequests) setDeadline(until time.Duration) {
	for index, pending := range pendingRequests.proposals {
		if pending.deadline == 0 {
			pending.deadline = until
			pendingRequests.proposals[index] = pending
		}
	}
}

func (pendingRequests *pendingRequests) expire(now time.Duration) {
	for index, pending := range pendingRequests.proposals {
		if pending.deadline > 0 && now > pending.deadline {
			delete(pendingRequests.proposals, index)
			pending.proposal.finish(outcomeUnknown, "the leader stepped down before the entry was committed", nil)
		}
	}
}

// failUpTo completes the proposals up to index, whose entries a snapshot has replaced, with an unknown
// outcome.
func (pendingRequests *pendingRequests) failUpTo(index scheduler.Index) {
	for position, pending := range pendingRequests.proposals {
		if position <= index {
			delete(pendingRequests.proposals, position)
			pending.proposal.finish(outcomeUnknown, "a snapshot replaced the entry", nil)
		}
	}
}

func (pendingRequests *pendingRequests) failReads(err error) {
	for _, read := range pendingRequests.reads {
		read.request.finish(0, err)
	}
	pendingRequests.reads = nil
}

func (pendingRequests *pendingRequests) failAll(err error) {
	for index, pending := range pendingRequests.proposals {
		delete(pendingRequests.proposals, index)
		pending.proposal.finish(outcomeUnknown, err.Error(), nil)
	}
	pendingRequests.failReads(err)
}
