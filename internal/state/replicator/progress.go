package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

type progressState string

const (
	// progressProbing sends empty messages until the last index that both logs hold is known.
	progressProbing progressState = "probing"
	// progressReplicating sends without waiting, within the send window.
	progressReplicating progressState = "replicating"
	// progressSnapshotting sends a snapshot.
	progressSnapshotting progressState = "snapshotting"
)

type flight struct {
	last  scheduler.Index
	bytes int
}

// progress is what a leader knows about one other replica. It has no I/O.
type progress struct {
	incarnation scheduler.Incarnation
	state       progressState
	match       scheduler.Index
	next        scheduler.Index
	flights     []flight
	flightBytes int
	// probed is set while a probe is unanswered.
	probed bool
	// answered is the send time of the newest message that was answered, heard the time of the
	// newest answer; zero for never.
	answered time.Duration
	heard    time.Duration
	// sent is when entries were last sent.
	sent     time.Duration
	transfer snapshotTransfer
	// goal is the leader's commit index at the last heartbeat, caughtUp when match last reached it.
	goal     scheduler.Index
	caughtUp time.Duration
}

func newProgress(incarnation scheduler.Incarnation, next scheduler.Index) *progress {
	return &progress{incarnation: incarnation, state: progressProbing, next: next}
}

func (progress *progress) isWindowFull() bool {
	return len(progress.flights) >= maxFlights || progress.flightBytes >= maxFlightBytes
}

// sentEntries notes that entries up to last are under way.
func (progress *progress) sentEntries(last scheduler.Index, bytes int, now time.Duration) {
	progress.sent = now
	progress.next = last + 1
	progress.flights = append(progress.flights, flight{last: last, bytes: bytes})
	progress.flightBytes += bytes
}

// acknowledged notes that the replica durably holds everything up to match.
func (progress *progress) acknowledged(match scheduler.Index) {
	progress.match = max(progress.match, match)
	freed := 0
	for freed < len(progress.flights) && progress.flights[freed].last <= progress.match {
		progress.flightBytes -= progress.flights[freed].bytes
		freed++
	}
	progress.flights = progress.flights[freed:]
	if progress.state == progressProbing {
		progress.state, progress.probed = progressReplicating, false
		progress.next = progress.match + 1
	}
	progress.next = max(progress.next, progress.match+1)
}

// rejected notes that the replica does not hold the entry at prev. Late answers are recognised by
// prev and have no effect.
func (progress *progress) rejected(prev, hint scheduler.Index) {
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
	progress.state, progress.probed = progressProbing, false
	progress.next = max(next, progress.match+1)
	progress.flights, progress.flightBytes = nil, 0
}

// noteCaughtUp is called at each heartbeat. A replica has caught up when it durably holds what was
// committed at the previous heartbeat; the present commit index would be out of reach under load.
func (progress *progress) noteCaughtUp(now time.Duration, commit scheduler.Index) {
	if progress.goal > 0 && progress.match >= progress.goal {
		progress.caughtUp = now
	}
	progress.goal = commit
}

// isCaughtUp reports whether the replica answers and has lately caught up.
func (progress *progress) isCaughtUp(now time.Duration, commit scheduler.Index) bool {
	if !progress.isAnswering(now) {
		return false
	}
	return progress.match >= commit || progress.caughtUp > 0 && now <= progress.caughtUp+2*heartbeatInterval
}

func (progress *progress) isAnswering(now time.Duration) bool {
	return progress.heard > 0 && now < progress.heard+minElectionTimeout
}
