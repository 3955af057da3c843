package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

type progressState string

const (
	// progressProbing sends empty messages until the last index at which both logs match is known.
	progressProbing progressState = "probing"
	// progressReplicating sends entries without waiting for responses, within the send window.
	progressReplicating progressState = "replicating"
	// progressSnapshotting sends a snapshot.
	progressSnapshotting progressState = "snapshotting"
)

type inflightMessage struct {
	last  scheduler.Index
	bytes int
}

// progress is the leader's replication state for one other replica. It performs no I/O.
type progress struct {
	incarnation   scheduler.Incarnation
	state         progressState
	match         scheduler.Index
	next          scheduler.Index
	inflight      []inflightMessage
	inflightBytes int
	// probePending is set while a probe has no response.
	probePending bool
	// ackedSendTime is the send time of the newest message that the replica has acknowledged and
	// lastResponse the time of its newest response, both zero if there was none.
	ackedSendTime time.Duration
	lastResponse  time.Duration
	// lastSent is the time when entries were last sent.
	lastSent time.Duration
	transfer snapshotTransfer
	// catchUpTarget is the leader's commit index at the last heartbeat and caughtUpAt the time when match
	// had last reached it.
	catchUpTarget scheduler.Index
	caughtUpAt    time.Duration
}

func newProgress(incarnation scheduler.Incarnation, next scheduler.Index) *progress {
	return &progress{incarnation: incarnation, state: progressProbing, next: next}
}

func (progress *progress) isWindowFull() bool {
	return len(progress.inflight) >= maxInflight || progress.inflightBytes >= maxInflightBytes
}

// recordSent records that entries up to last are in flight.
func (progress *progress) recordSent(last scheduler.Index, bytes int, now time.Duration) {
	progress.lastSent = now
	progress.next = last + 1
	progress.inflight = append(progress.inflight, inflightMessage{last: last, bytes: bytes})
	progress.inflightBytes += bytes
}

// recordAcknowledged records that the replica has durably stored all entries up to match.
func (progress *progress) recordAcknowledged(match scheduler.Index) {
	progress.match = max(progress.match, match)
	freed := 0
	for freed < len(progress.inflight) && progress.inflight[freed].last <= progress.match {
		progress.inflightBytes -= progress.inflight[freed].bytes
		freed++
	}
	progress.inflight = progress.inflight[freed:]
	if progress.state == progressProbing {
		progress.state, progress.probePending = progressReplicating, false
		progress.next = progress.match + 1
	}
	progress.next = max(progress.next, progress.match+1)
}

// recordRejected records that the replica does not have the entry at prev. Delayed responses are
// recognised by prev and have no effect.
func (progress *progress) recordRejected(prev, hint scheduler.Index) {
	switch progress.state {
	case progressSnapshotting:
		return
	case progressReplicating:
		if prev <= progress.match || prev >= progress.next {
			return
		}
	default:
		if prev != progress.next-1 {
			return
		}
	}
	progress.probe(min(prev-1, hint) + 1)
}

func (progress *progress) probe(next scheduler.Index) {
	progress.state, progress.probePending = progressProbing, false
	progress.next = max(next, progress.match+1)
	progress.inflight, progress.inflightBytes = nil, 0
}

// updateCaughtUp is called on each heartbeat. A replica has caught up if it has durably stored all entries
// that were committed at the previous heartbeat. Under load, it could never reach the current commit index.
func (progress *progress) updateCaughtUp(now time.Duration, commit scheduler.Index) {
	if progress.catchUpTarget > 0 && progress.match >= progress.catchUpTarget {
		progress.caughtUpAt = now
	}
	progress.catchUpTarget = commit
}

// isCaughtUp reports whether the replica responds and has recently caught up.
func (progress *progress) isCaughtUp(now time.Duration, commit scheduler.Index) bool {
	if !progress.isResponding(now) {
		return false
	}
	return progress.match >= commit || progress.caughtUpAt > 0 && now <= progress.caughtUpAt+2*heartbeatInterval
}

func (progress *progress) isResponding(now time.Duration) bool {
	return progress.lastResponse > 0 && now < progress.lastResponse+minElectionTimeout
}
