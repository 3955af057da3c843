package replicator

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// UpdateMetrics sets the gauges that show whether this VM takes part in the group and how much room the journal takes
// on its disk. It does not wait for the disk.
func (replicator *Replicator) UpdateMetrics(scope tally.Scope) {
	seconds := 0.0
	outage, out := replicator.Outage()
	if out {
		seconds = time.Since(outage.Since()).Seconds()
	}
	scope.Gauge("group_out_seconds").Update(seconds)
	usage := replicator.JournalUsage()
	scope.Gauge("group_folder_bytes").Update(float64(usage.FolderBytes()))
	scope.Gauge("group_log_bytes").Update(float64(usage.LogBytes()))
}

// JournalUsage returns the room that the journal takes on its disk, or the zero value if it has none.
func (replicator *Replicator) JournalUsage() scheduler.JournalUsage {
	return replicator.node().journalUsage()
}

// journalUsage returns the room that the journal takes, or the zero value if it has no disk.
func (node *node) journalUsage() scheduler.JournalUsage {
	if journal, ok := node.journal.(scheduler.MeasuredJournal); ok {
		return journal.Usage()
	}
	return scheduler.JournalUsage{}
}
