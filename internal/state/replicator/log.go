package replicator

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	maxTailEntries = 8192
	maxTailBytes   = 8 << 20
)

// groupLog is the replicated log on top of a Journal. It caches the newest entries in memory, so that
// sending and applying them does not read the journal, and the memberships in the log. Only the event loop
// uses it.
type groupLog struct {
	journal   scheduler.Journal
	last      scheduler.Index
	tail      []scheduler.Entry
	tailBytes int
	// durable is the last index that a completed sync covers.
	durable scheduler.Index
	// epoch counts truncations. A sync that was started before a truncation does not cover the
	// entries that replaced the removed ones.
	epoch uint64
	// memberships holds the membership of the snapshot or the initial membership, followed by the
	// memberships in the log entries.
	memberships []indexedMembership
}

func newGroupLog(journal scheduler.Journal) *groupLog {
	last := journal.LastIndex()
	// The entries may have been read from an operating system cache that was never synced, so none is
	// considered durable before the first sync.
	return &groupLog{journal: journal, last: last}
}

// loadMemberships reads the memberships from all entries after the snapshot at base.
func (log *groupLog) loadMemberships(base indexedMembership) error {
	log.memberships = []indexedMembership{base}
	for low := max(log.journal.FirstIndex(), base.index+1); low <= log.last; {
		entries, err := log.journal.Entries(low, log.last, maxApplyBytes)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := log.recordMemberships(entries); err != nil {
			return err
		}
		low = entries[len(entries)-1].Index + 1
	}
	return nil
}

func (log *groupLog) recordMemberships(entries []scheduler.Entry) error {
	for _, entry := range entries {
		if entry.Kind != scheduler.EntryMembership {
			continue
		}
		decoded, err := decodeMembership(entry.Data)
		if err != nil {
			return err
		}
		log.memberships = append(log.memberships, indexedMembership{index: entry.Index, membership: decoded})
	}
	return nil
}

func decodeMembership(data []byte) (membership, error) {
	var decoded membership
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		return membership{}, Error.New("decode membership: %v", err)
	}
	return decoded, nil
}

// membership returns the newest membership, which is effective even if it is not committed yet.
func (log *groupLog) membership() indexedMembership { return log.memberships[len(log.memberships)-1] }

// membershipAt returns the membership that is effective at index.
func (log *groupLog) membershipAt(index scheduler.Index) indexedMembership {
	for _, candidate := range slices.Backward(log.memberships) {
		if candidate.index <= index {
			return candidate
		}
	}
	return log.memberships[0]
}

// term returns the term of the entry at index. If the log does not contain the entry, known is false.
func (log *groupLog) term(index scheduler.Index) (term scheduler.Term, known bool) {
	if index == 0 {
		return 0, true
	}
	if index > log.last {
		return 0, false
	}
	if len(log.tail) > 0 && index >= log.tail[0].Index {
		return log.tail[index-log.tail[0].Index].Term, true
	}
	term, err := log.journal.Term(index)
	return term, err == nil
}

func (log *groupLog) lastTerm() scheduler.Term {
	term, _ := log.term(log.last)
	return term
}

// entries returns the entries from low to high, limited to maxBytes of data but at least one entry.
func (log *groupLog) entries(low, high scheduler.Index, maxBytes int) ([]scheduler.Entry, error) {
	if len(log.tail) == 0 || low < log.tail[0].Index {
		entries, err := log.journal.Entries(low, high, maxBytes)
		return entries, Error.Wrap(err)
	}
	first := log.tail[0].Index
	entries := log.tail[low-first : high-first+1]
	bytes := 0
	for position, entry := range entries {
		bytes += len(entry.Data)
		if bytes > maxBytes && position > 0 {
			return slices.Clone(entries[:position]), nil
		}
	}
	return slices.Clone(entries), nil
}

// append writes entries. It replaces existing entries from the index of the first one onward.
func (log *groupLog) append(entries []scheduler.Entry) error {
	first := entries[0].Index
	if err := log.journal.Append(entries); err != nil {
		return Error.Wrap(err)
	}
	if first <= log.last {
		log.truncateCache(first)
	}
	log.last = entries[len(entries)-1].Index
	if len(log.tail) > 0 && log.tail[len(log.tail)-1].Index+1 != first {
		log.tail, log.tailBytes = nil, 0
	}
	log.tail = append(log.tail, entries...)
	for _, entry := range entries {
		log.tailBytes += len(entry.Data)
	}
	log.trimTail()
	return log.recordMemberships(entries)
}

func (log *groupLog) trimTail() {
	if len(log.tail) <= maxTailEntries && log.tailBytes <= maxTailBytes {
		return
	}
	cut := 0
	for cut < len(log.tail)-1 && (len(log.tail)-cut > maxTailEntries/2 || log.tailBytes > maxTailBytes/2) {
		log.tailBytes -= len(log.tail[cut].Data)
		cut++
	}
	log.tail = slices.Clone(log.tail[cut:])
}

// truncateCache removes the entries from index onward, and their memberships, from memory.
func (log *groupLog) truncateCache(index scheduler.Index) {
	log.epoch++
	log.durable = min(log.durable, index-1)
	for len(log.tail) > 0 && log.tail[len(log.tail)-1].Index >= index {
		log.tailBytes -= len(log.tail[len(log.tail)-1].Data)
		log.tail = log.tail[:len(log.tail)-1]
	}
	for len(log.memberships) > 1 && log.membership().index >= index {
		log.memberships = log.memberships[:len(log.memberships)-1]
	}
}

// discardMembershipsBefore discards the memberships that a snapshot at index supersedes.
func (log *groupLog) discardMembershipsBefore(index scheduler.Index) {
	for len(log.memberships) > 1 && log.memberships[1].index <= index {
		log.memberships = log.memberships[1:]
	}
}

// isUpToDate reports whether a log that ends with the given entry is at least as up to date as this one.
func (log *groupLog) isUpToDate(lastIndex scheduler.Index, lastTerm scheduler.Term) bool {
	own := log.lastTerm()
	return lastTerm > own || lastTerm == own && lastIndex >= log.last
}

// resetTo resets the in-memory state after a snapshot at index has been installed in the journal.
func (log *groupLog) resetTo(index scheduler.Index) {
	log.epoch++
	log.last = log.journal.LastIndex()
	log.durable = min(max(log.durable, index), log.last)
	log.tail, log.tailBytes = nil, 0
}
