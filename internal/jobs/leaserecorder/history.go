package leaserecorder

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Bound bounds the lease of a worker that does not respond. It is a wire type and a map, so that it can get further fields.
type Bound struct {
	Worker   scheduler.WorkerName  `cbor:"1,keyasint"`
	Instance scheduler.Incarnation `cbor:"2,keyasint"`
	// Remaining is the time, from the proposal on, after which the lease has expired for certain.
	Remaining time.Duration `cbor:"3,keyasint"`
}

// Record holds the bounds of all leases that its leader does not extend. It replaces the record before. It is a wire type and
// a map.
type Record struct {
	// Term is the term of the leader. In the log of another term the record has no effect.
	Term scheduler.Term `cbor:"1,keyasint"`
	// Sequence increases with each record of a term.
	Sequence uint64  `cbor:"2,keyasint"`
	Bounds   []Bound `cbor:"3,keyasint,omitempty"`
}

// History is the newest record in the log and what shows whether its bounds still hold. It is a wire type and a map. Its
// methods return the changed History and leave the receiver as it is. The zero value is that of an empty log.
type History struct {
	// Record is nil if there is none that may hold.
	Record *Record `cbor:"1,keyasint,omitempty"`
	// Successor is the next term after that of the record of which an entry has been applied, or zero.
	Successor scheduler.Term `cbor:"2,keyasint,omitempty"`
	// Incomplete is true if records of the present term may be missing, so that an older one could be taken for the newest.
	Incomplete bool `cbor:"3,keyasint,omitempty"`
	// term is the newest term of which an entry has been applied, or zero if that is not known.
	term scheduler.Term
	// recordedAt is when this replica applied the record, or restored it. It differs between replicas.
	recordedAt time.Time
}

// Observe returns the History after an entry of a term has been applied. It forgets the record once two later leaders may have
// acted. The first of them may be an earlier build that knows no records and extends leases in spite of them; otherwise it
// would have replaced the record.
func (history History) Observe(term scheduler.Term) History {
	if term <= history.term {
		return history
	}
	history.Incomplete = history.Incomplete && history.term == 0
	history.term = term
	switch {
	case history.Record == nil:
	case history.Successor != 0:
		history.Record, history.Successor = nil, 0
	default:
		history.Successor = term
	}
	return history
}

// Append returns the History after a record has been applied at the given time. The result is false if the record has no
// effect, because it is of a former leader or older than the present one.
func (history History) Append(record *Record, now time.Time) (History, bool) {
	if record.Term != history.term || history.Incomplete {
		return history, false
	}
	if newest := history.Record; newest != nil && newest.Term == record.Term && newest.Sequence >= record.Sequence {
		return history, false
	}
	return History{Record: record, term: history.term, recordedAt: now}, true
}

// Unknown returns the History after the restore of a snapshot that lacks one, because an earlier build has written it. It holds
// no records until the next term.
func Unknown() History { return History{Incomplete: true} }

// Restored returns a History that was read from a snapshot at the given time.
func (history History) Restored(now time.Time) History {
	restored := History{
		Record: history.Record, Successor: history.Successor, Incomplete: history.Incomplete, recordedAt: now,
	}
	if restored.Record != nil {
		restored.term = max(restored.Record.Term, restored.Successor)
	}
	return restored
}

// VisitBounds calls visit for each bound that holds for the leader of a term. remaining is the time from now on after which the
// lease has expired for certain, and may be negative. It is counted from when this replica applied the record, which is never
// earlier than its proposal, so that no clocks of different VMs are compared.
func (history History) VisitBounds(
	leader scheduler.Term, now time.Time, visit func(bound *Bound, remaining time.Duration),
) {
	if history.Record == nil || leader != history.Record.Term && leader != history.Successor {
		return
	}
	elapsed := now.Sub(history.recordedAt)
	for position := range history.Record.Bounds {
		bound := &history.Record.Bounds[position]
		visit(bound, bound.Remaining-elapsed)
	}
}
