package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// quorumAnswered returns the send time of the newest message that a majority of the voters has
// answered, zero if there is none.
func (node *node) quorumAnswered(now time.Duration) time.Duration {
	var times []int64
	for _, member := range node.log.membership().voters() {
		answered := time.Duration(0)
		progress := node.leading.peers[member.VM]
		switch {
		case member.VM == node.self.VM:
			answered = now
		case progress != nil && progress.incarnation == member.Incarnation:
			answered = progress.answered
		}
		times = append(times, int64(answered))
	}
	return time.Duration(quorumValue(times))
}

// majorityUntil returns the time until which no other leader can have been elected, zero if unknown.
func (node *node) majorityUntil(now time.Duration) time.Duration {
	if node.role != roleLeader || node.leading.leaseRevoked {
		return 0
	}
	answered := node.quorumAnswered(now)
	if answered == 0 {
		return 0
	}
	if node.settings.hooks.longLease {
		return answered + 2*leaseDuration
	}
	return answered + leaseDuration
}

// leaseUntil returns the end of the leader lease, zero without one. A leader whose state machine lacks
// entries of earlier leaders has none, because what it would do is decided from that state.
func (node *node) leaseUntil() time.Duration {
	if node.role != roleLeader || !node.standsForElection() || node.applied < node.leading.firstIndex {
		return 0
	}
	return node.majorityUntil(node.clock.now())
}

// stepDownReason returns why a leader must give up, empty if it need not.
func (node *node) stepDownReason(now time.Duration) string {
	answered := max(node.quorumAnswered(now), node.leading.elected)
	switch {
	case now > answered+minElectionTimeout:
		return "quorumLost"
	case node.stall.isStalled(now):
		return "stalled"
	case node.leading.transferUntil > 0 && now > node.leading.transferUntil:
		return "transferTimedOut"
	}
	return ""
}

// stallWatch detects a disk or state machine that makes no progress while entries wait for it.
type stallWatch struct {
	durable   scheduler.Index
	diskMoved time.Duration
	reached   scheduler.Index
	applied   time.Duration
}

func newStallWatch(now time.Duration) stallWatch { return stallWatch{diskMoved: now, applied: now} }

func (stallWatch *stallWatch) observe(now time.Duration, log *groupLog, commit, reached scheduler.Index) {
	if log.durable >= log.last || log.durable != stallWatch.durable {
		stallWatch.durable, stallWatch.diskMoved = log.durable, now
	}
	if reached >= commit || reached != stallWatch.reached {
		stallWatch.reached, stallWatch.applied = reached, now
	}
}

func (stallWatch *stallWatch) isStalled(now time.Duration) bool {
	return now > stallWatch.diskMoved+stallTimeout || now > stallWatch.applied+stallTimeout
}
