package replicator

import (
	"sync/atomic"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var _ scheduler.Candidacy = (*Replicator)(nil)

// candidacy tells whether a VM may lead. It outlives a rejoin. The zero value lets the VM lead.
type candidacy struct {
	// reason is why the VM must not lead, or nil if it may.
	reason atomic.Pointer[string]
}

func (candidacy *candidacy) isWithdrawn() bool { return candidacy.reason.Load() != nil }

// Withdraw implements scheduler.Candidacy. The leader steps down at its next tick at which another voter responds: without one,
// nobody else could lead.
func (replicator *Replicator) Withdraw(reason string) {
	candidacy := replicator.node().settings.candidacy
	if candidacy.reason.Swap(&reason) == nil {
		replicator.node().logger.Warn().Str("event", "candidacyWithdrawn").Str("reason", reason).
			Msg("this VM hands over the leadership and does not stand for election")
	}
}

// Withdrawal returns why this VM does not stand for election, or an empty string if it does.
func (replicator *Replicator) Withdrawal() string {
	if reason := replicator.node().settings.candidacy.reason.Load(); reason != nil {
		return *reason
	}
	return ""
}

// Restore implements scheduler.Candidacy.
func (replicator *Replicator) Restore() {
	if replicator.node().settings.candidacy.reason.Swap(nil) != nil {
		replicator.node().logger.Info().Str("event", "candidacyRestored").Msg("this VM stands for election again")
	}
}
