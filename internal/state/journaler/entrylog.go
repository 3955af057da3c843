package journaler

import (
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// entryLog holds the entries of a journal in memory. The memory is bounded because a snapshot is
// taken every 10,000 entries. It is not safe for concurrent use.
type entryLog struct {
	// base and baseTerm belong to the entry before the first one kept.
	base     scheduler.Index
	baseTerm scheduler.Term
	entries  []scheduler.Entry
	snapshot scheduler.SnapshotMeta
}

func (entryLog *entryLog) first() scheduler.Index { return entryLog.base + 1 }

func (entryLog *entryLog) last() scheduler.Index {
	return entryLog.base + scheduler.Index(len(entryLog.entries))
}

func (entryLog *entryLog) term(index scheduler.Index) (scheduler.Term, error) {
	switch {
	case index == entryLog.snapshot.Index:
		return entryLog.snapshot.Term, nil
	case index == entryLog.base:
		return entryLog.baseTerm, nil
	case index < entryLog.base || index > entryLog.last():
		return 0, Error.New("no entry %d: entries %d to %d are kept", index, entryLog.first(), entryLog.last())
	}
	return entryLog.entries[index-entryLog.base-1].Term, nil
}

// between returns the entries from low up to and including high, cut after maxBytes of data but with
// at least one entry.
func (entryLog *entryLog) between(low, high scheduler.Index, maxBytes int) ([]scheduler.Entry, error) {
	if low < entryLog.first() || high > entryLog.last() || low > high {
		return nil, Error.New("no entries %d to %d: entries %d to %d are kept",
			low, high, entryLog.first(), entryLog.last())
	}
	entries := entryLog.entries[low-entryLog.base-1 : high-entryLog.base]
	size := 0
	for number, entry := range entries {
		size += len(entry.Data)
		if number > 0 && size > maxBytes {
			entries = entries[:number]
			break
		}
	}
	return slices.Clone(entries), nil
}

// check returns why entries cannot be appended, nil when they can.
func (entryLog *entryLog) check(entries []scheduler.Entry) error {
	first := entries[0].Index
	if first > entryLog.last()+1 {
		return Error.New("entry %d does not follow entry %d", first, entryLog.last())
	}
	if first <= entryLog.base || first <= entryLog.snapshot.Index {
		return Error.New("entry %d is covered by the snapshot at %d", first, entryLog.snapshot.Index)
	}
	for number, entry := range entries {
		if entry.Index != first+scheduler.Index(number) {
			return Error.New("entry %d stands where entry %d belongs", entry.Index, first+scheduler.Index(number))
		}
	}
	return nil
}

// append adds checked entries and removes those whose places they take.
func (entryLog *entryLog) append(entries ...scheduler.Entry) {
	entryLog.entries = entryLog.entries[:entries[0].Index-entryLog.base-1]
	entryLog.entries = append(entryLog.entries, entries...)
}

// checkSnapshot returns why a snapshot cannot be saved, nil when it can.
func (entryLog *entryLog) checkSnapshot(meta scheduler.SnapshotMeta, keep int) error {
	if meta.Index <= entryLog.snapshot.Index {
		return Error.New("snapshot at %d is not newer than the one at %d", meta.Index, entryLog.snapshot.Index)
	}
	if keep < 0 {
		return Error.New("cannot keep %d entries", keep)
	}
	return nil
}

// matches reports whether the log holds the last entry that a snapshot covers. If it does not, the
// snapshot came from another VM and replaces the whole log.
func (entryLog *entryLog) matches(meta scheduler.SnapshotMeta) bool {
	if meta.Index < entryLog.base || meta.Index > entryLog.last() {
		return false
	}
	if meta.Index == entryLog.base {
		return entryLog.baseTerm == meta.Term
	}
	return entryLog.entries[meta.Index-entryLog.base-1].Term == meta.Term
}

// firstAfter returns the first index to keep when a snapshot is saved with keep entries before it.
func (entryLog *entryLog) firstAfter(meta scheduler.SnapshotMeta, keep int) scheduler.Index {
	if !entryLog.matches(meta) {
		return meta.Index + 1
	}
	covered := meta.Index - entryLog.base
	return meta.Index - min(scheduler.Index(keep), covered) + 1
}

// reset removes all entries; the next one follows the given one.
func (entryLog *entryLog) reset(index scheduler.Index, term scheduler.Term) {
	entryLog.base, entryLog.baseTerm, entryLog.entries = index, term, nil
}

// compact removes the entries before first.
func (entryLog *entryLog) compact(first scheduler.Index) {
	if first <= entryLog.first() || first > entryLog.last()+1 {
		return
	}
	count := first - entryLog.first()
	entryLog.baseTerm = entryLog.entries[count-1].Term
	entryLog.base = first - 1
	// The copy frees the memory of the removed entries.
	entryLog.entries = slices.Clone(entryLog.entries[count:])
}
