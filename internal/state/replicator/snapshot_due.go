package replicator

import (
	"math"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// entryOverheadBytes is about the size of an entry in the log without its data.
const entryOverheadBytes = 96

// isSnapshotDue reports whether enough entries were applied, or enough bytes of log written, since the last snapshot.
func (node *node) isSnapshotDue() bool {
	if node.applied <= node.snapshot.index {
		return false
	}
	if uint64(node.applied-node.snapshot.index) >= node.settings.snapshotInterval {
		return true
	}
	return node.settings.snapshotBytes > 0 && node.journalUsage().LogBytes() >= node.settings.snapshotBytes
}

// keptEntries returns the number of entries to retain before a snapshot at index.
func (node *node) keptEntries(index scheduler.Index) int {
	keep := node.settings.snapshotKeep
	if node.settings.snapshotKeepBytes == 0 {
		return keep
	}
	low := max(node.journal.FirstIndex(), index-min(index, scheduler.Index(keep))+1)
	entries, err := node.journal.Entries(low, index, math.MaxInt)
	if err != nil {
		return 0
	}
	bytes, kept := int64(0), 0
	for _, entry := range slices.Backward(entries) {
		bytes += int64(len(entry.Data)) + entryOverheadBytes
		if bytes > node.settings.snapshotKeepBytes {
			break
		}
		kept++
	}
	return kept
}
