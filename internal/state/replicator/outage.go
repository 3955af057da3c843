package replicator

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/basics/classifier"
)

// Outage tells why and since when a VM no longer takes part in its group.
type Outage struct {
	since time.Time
	cause error
}

// Since returns the time of the failure.
func (outage Outage) Since() time.Time { return outage.since }

// Cause returns the failure.
func (outage Outage) Cause() error { return outage.cause }

// Outage returns the first failure since this VM last took part in the group, for as long as it is out of it. ok is false
// if it takes part, or was closed without a failure.
func (replicator *Replicator) Outage() (outage Outage, ok bool) {
	last := replicator.node().outage.Load()
	if last == nil {
		return Outage{}, false
	}
	return *last, true
}

// recordFailure records the first failure.
func (node *node) recordFailure(failure error) {
	if node.failure.CompareAndSwap(nil, &failure) {
		node.outage.Store(&Outage{since: time.Now(), cause: failure})
	}
}

// logFailure logs the failure that makes this VM leave the group. The fields of the cause come before the text of the
// error, because lines may be cut off. A failure that repeats after a rejoin is logged as an error only every
// repeatedLogInterval, because a disk may accept a hard state and refuse entries for hours.
func (node *node) logFailure(failure error) {
	level := zerolog.ErrorLevel
	if failure.Error() == node.logged.text && time.Since(node.logged.at) < repeatedLogInterval {
		level = zerolog.DebugLevel
	} else {
		node.logged = loggedFailure{text: failure.Error(), at: time.Now()}
	}
	node.logger.WithLevel(level).Str("event", "groupLeftAfterFailure").EmbedObject(classifier.CauseOf(failure)).
		Uint64("term", uint64(node.view.Load().status.Term())).Str("role", string(node.view.Load().status.Role())).
		Err(failure).Msg("left the group after a failure")
}
