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
	// kind is the kind of the last error that was logged, at loggedAt; unlogged counts the refusals since then.
	kind     classifier.Kind
	loggedAt time.Duration
	unlogged int
}

func (snapshotRetry *snapshotRetry) isDue(now time.Duration) bool { return now >= snapshotRetry.next }

// refuse records a refusal and reports whether it should be logged, and the number of refusals since the last line.
func (snapshotRetry *snapshotRetry) refuse(now time.Duration, kind classifier.Kind) (repeated int, log bool) {
	snapshotRetry.delay = min(max(2*snapshotRetry.delay, minSnapshotRetry), maxSnapshotRetry)
	snapshotRetry.next = now + snapshotRetry.delay
	snapshotRetry.unlogged++
	if kind == snapshotRetry.kind && now < snapshotRetry.loggedAt+refusalLogInterval {
		return 0, false
	}
	repeated = snapshotRetry.unlogged
	snapshotRetry.kind, snapshotRetry.loggedAt, snapshotRetry.unlogged = kind, now, 0
	return repeated, true
}

// delaySnapshot records that the journal has refused a snapshot at index. It is tried again later.
func (node *node) delaySnapshot(event string, index scheduler.Index, err error) {
	kind := classifier.Classify(err)
	repeated, log := node.snapshot.retry.refuse(node.clock.now(), kind)
	if !log {
		return
	}
	node.logger.Warn().Str("event", event).Uint64("index", uint64(index)).Str("kind", string(kind)).
		Int("refusals", repeated).Dur("retryIn", node.snapshot.retry.delay).Err(err).
		Msg("snapshot refused by the journal; it is tried again")
}
