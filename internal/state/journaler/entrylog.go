package journaler

import (
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// entryLog keeps the entries of a journal in memory. Its size is bounded because a snapshot is
// taken every 10,000 entries. It is not safe for concurrent use.
type entryLog struct {
	// baseIndex and baseTerm are the index and term of the entry before the first one kept.
	baseIndex scheduler.Index
	baseTerm  scheduler.Term
	entries   []scheduler.Entry
	snapshot  scheduler.SnapshotMeta
}

func (entryLog *entryLog) firstIndex() scheduler.Index { return entryLog.baseIndex + 1 }

func (entryLog *entryLog) lastIndex() scheduler.Index {
	return entryLog.baseIndex + scheduler.Index(len(entryLog.entries))
}

func (entryLog *entryLog) term(index scheduler.Index) (scheduler.Term, error) {
	switch {
	case index == entryLog.snapshot.Index:
		return entryLog.snapshot.Term, nil
	case index == entryLog.baseIndex:
		return entryLog.baseTerm, nil
	case index < entryLog.baseIndex || index > entryLog.lastIndex():
		return 0, Error.New("no entry %d: entries %d to %d are kept", index, entryLog.firstIndex(), entryLog.lastIndex())
	}
	return entryLog.entries[index-entryLog.baseIndex-1].Term, nil
}

// entriesBetween returns the entries from low to high inclusive, limited to maxBytes of data but at least one
// entry.
func (entryLog *entryLog) entriesBetween(low, high scheduler.Index, maxBytes int) ([]scheduler.Entry, error) {
	if low < entryLog.firstIndex() || high > entryLog.lastIndex() || low > high {
		return nil, Error.New("no entries %d to %d: entries %d to %d are kept",
			low, high, entryLog.firstIndex(), entryLog.lastIndex())
	}
	entries := entryLog.entries[low-entryLog.baseIndex-1 : high-entryLog.baseIndex]
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

// checkAppend returns an error if entries cannot be appended.
func (entryLog *entryLog) checkAppend(entries []scheduler.Entry) error {
	first := entries[0].Index
	if first > entryLog.lastIndex()+1 {
		return Error.New("entry %d leaves a gap after the last entry %d", first, entryLog.lastIndex())
	}
	if first <= entryLog.baseIndex || first <= entryLog.snapshot.Index {
		return Error.New("entry %d is covered by the snapshot at %d", first, entryLog.snapshot.Index)
	}
	for number, entry := range entries {
		if entry.Index != first+scheduler.Index(number) {
			return Error.New("entries are not contiguous: got entry %d, want entry %d",
				entry.Index, first+scheduler.Index(number))
		}
	}
	return nil
}

// append truncates the log from the first of the entries on and adds them. The caller has checked them with
// checkAppend.
func (entryLog *entryLog) append(entries ...scheduler.Entry) {
	entryLog.entries = entryLog.entries[:entries[0].Index-entryLog.baseIndex-1]
	entryLog.entries = append(entryLog.entries, entries...)
}

// checkSnapshot returns an error if a snapshot cannot be saved.
func (entryLog *entryLog) checkSnapshot(meta scheduler.SnapshotMeta, keep int) error {
	if meta.Index <= entryLog.snapshot.Index {
		return Error.New("snapshot at %d is not newer than the one at %d", meta.Index, entryLog.snapshot.Index)
	}
	if keep < 0 {
		return Error.New("cannot keep %d entries", keep)
	}
	return nil
}

// matches reports whether the log contains the last entry that a snapshot covers, with the same term. If it does
// not, the snapshot came from another VM and replaces the whole log.
func (entryLog *entryLog) matches(meta scheduler.SnapshotMeta) bool {
	if meta.Index < entryLog.baseIndex || meta.Index > entryLog.lastIndex() {
		return false
	}
	if meta.Index == entryLog.baseIndex {
		return entryLog.baseTerm == meta.Term
	}
	return entryLog.entries[meta.Index-entryLog.baseIndex-1].Term == meta.Term
}

// firstKept returns the first index to keep when a snapshot is saved and keep entries that it covers are retained.
func (entryLog *entryLog) firstKept(meta scheduler.SnapshotMeta, keep int) scheduler.Index {
	if !entryLog.matches(meta) {
		return meta.Index + 1
	}
	covered := meta.Index - entryLog.baseIndex
	return meta.Index - min(scheduler.Index(keep), covered) + 1
}

// reset removes all entries. The next entry must follow the one with the given index and term.
func (entryLog *entryLog) reset(index scheduler.Index, term scheduler.Term) {
	entryLog.baseIndex, entryLog.baseTerm, entryLog.entries = index, term, nil
}

// compact removes the entries before first.
func (entryLog *entryLog) compact(first scheduler.Index) {
	if first <= entryLog.firstIndex() || first > entryLog.lastIndex()+1 {
		return
	}
	count := first - entryLog.firstIndex()
	entryLog.baseTerm = entryLog.entries[count-1].Term
	entryLog.baseIndex = first - 1
	// The copy releases the memory of the removed entries.
	entryLog.entries = slices.Clone(entryLog.entries[count:])
}
