package replicator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// quorumAckedSendTime returns the send time of the newest message that a majority of the voters has
// acknowledged, or zero if there is none.
func (node *node) quorumAckedSendTime(now time.Duration) time.Duration {
	var times []int64
	for _, member := range node.log.membership().voters() {
		ackedSendTime := time.Duration(0)
		progress := node.leading.peers[member.VM]
		switch {
		case member.VM == node.self.VM:
			ackedSendTime = now
		case progress != nil && progress.incarnation == member.Incarnation:
			ackedSendTime = progress.ackedSendTime
		}
		times = append(times, int64(ackedSendTime))
	}
	return time.Duration(quorumValue(times))
}

// quorumLeaseUntil returns the time until which no other leader can be elected, or zero if it is unknown.
func (node *node) quorumLeaseUntil(now time.Duration) time.Duration {
	if node.role != roleLeader || node.leading.leaseRevoked {
		return 0
	}
	ackedSendTime := node.quorumAckedSendTime(now)
	if ackedSendTime == 0 {
		return 0
	}
	if node.settings.hooks.longLease {
		return ackedSendTime + 2*leaseDuration
	}
	return ackedSendTime + leaseDuration
}

// leaseUntil returns the end of the leader lease, or zero if there is none. A leader whose state machine has
// not applied all entries of earlier leaders has no lease, because its actions depend on that state.
func (node *node) leaseUntil() time.Duration {
	if node.role != roleLeader || !node.standsForElection() || node.applied < node.leading.firstIndex {
		return 0
	}
	return node.quorumLeaseUntil(node.clock.now())
}

// stepDownReason returns why a leader must step down, or an empty string if it need not.
func (node *node) stepDownReason(now time.Duration) string {
	ackedSendTime := max(node.quorumAckedSendTime(now), node.leading.elected)
	switch {
	case now > ackedSendTime+minElectionTimeout:
		return "quorumLost"
	case node.stall.isStalled(now):
		return "stalled"
	case node.settings.candidacy.isWithdrawn() && node.transferTarget(now, false) != "":
		return "withdrawn"
	case node.leading.transferDeadline > 0 && now > node.leading.transferDeadline:
		return "transferTimedOut"
	}
	return ""
}

// stallDetector detects a disk or state machine that makes no progress while entries are pending.
type stallDetector struct {
	durable           scheduler.Index
	lastDiskProgress  time.Duration
	appliedIndex      scheduler.Index
	lastApplyProgress time.Duration
}

func newStallDetector(now time.Duration) stallDetector {
	return stallDetector{lastDiskProgress: now, lastApplyProgress: now}
}

func (stallDetector *stallDetector) observe(now time.Duration, log *groupLog, commit, appliedIndex scheduler.Index) {
	if log.durable >= log.last || log.durable != stallDetector.durable {
		stallDetector.durable, stallDetector.lastDiskProgress = log.durable, now
	}
	if appliedIndex >= commit || appliedIndex != stallDetector.appliedIndex {
		stallDetector.appliedIndex, stallDetector.lastApplyProgress = appliedIndex, now
	}
}

func (stallDetector *stallDetector) isStalled(now time.Duration) bool {
	return now > stallDetector.lastDiskProgress+stallTimeout || now > stallDetector.lastApplyProgress+stallTimeout
}
