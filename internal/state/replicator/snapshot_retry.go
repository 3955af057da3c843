package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/classifier"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	minSnapshotRetry = 250 * time.Millisecond
	maxSnapshotRetry = 4 * time.Second
	// refusalLogInterval is the minimum interval between log lines about refused snapshots with the same kind of error.
	refusalLogInterval = 10 * time.Second
)

// snapshotRetry delays attempts to store a snapshot after the journal has refused one. The delay doubles with each
// refusal. The zero value allows an attempt at once.
type snapshotRetry struct {
	delay time.Duration
	// next is the time from which the next attempt is allowed.
	next time.Duration
}

func (snapshotRetry *snapshotRetry) isDue(now time.Duration) bool { return now >= snapshotRetry.next }

func (snapshotRetry *snapshotRetry) refuse(now time.Duration) {
	snapshotRetry.delay = min(max(2*snapshotRetry.delay, minSnapshotRetry), maxSnapshotRetry)
	snapshotRetry.next = now + snapshotRetry.delay
}

// delaySnapshot records that the journal has refused a snapshot at index. It is tried again later.
func (node *node) delaySnapshot(event string, index scheduler.Index, err error) {
	node.snapshot.retry.refuse(node.clock.now())
	cause := classifier.CauseOf(err)
	suppressed, allowed := node.snapshot.refusals.Allow(event + string(cause.Kind()))
	if !allowed {
		return
	}
	node.logger.Warn().Str("event", event).EmbedObject(cause).Uint64("index", uint64(index)).
		Dur("retryIn", node.snapshot.retry.delay).Int("suppressed", suppressed).Err(err).
		Msg("snapshot refused by the journal; it is tried again")
}
