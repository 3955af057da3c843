// Package progresswatcher decides from what a leadership has done whether it works. It has no clock and no goroutines of its
// own.
package progresswatcher

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/stallmeter"
)

// Part is a part of a leadership that must make progress.
type Part string

// Values of Part.
const (
	// PartState is the access to the state of the leadership under its lock.
	PartState Part = "state"
	// PartPlanning is the planning cycle.
	PartPlanning Part = "planning"
	// PartRenewals is the renewal of the leases of workers.
	PartRenewals Part = "renewals"
)

// Record is what a leadership has done so far.
type Record struct {
	// StateReads counts how often its state was read under the lock, and Plans its planning cycles.
	StateReads, Plans uint64
	// RenewalsOverdue is true if the leases of most workers are not being renewed although these workers answer.
	RenewalsOverdue bool
	// Acting is true if the leadership may send orders. If not, nothing is expected of it.
	Acting bool
}

// Limits are the times for which the parts may stand still.
type Limits struct {
	State, Planning, Renewals time.Duration
}

const (
	// backoffPeriod is the time after which an earlier suspicion no longer raises the limits.
	backoffPeriod = 10 * time.Minute
	// maxSuspicions bounds the back-off: the limits rise to at most 16 times their values.
	maxSuspicions = 4
)

// Watcher watches the leaderships of one VM, one after the other. After each suspicion the limits double for a while, so that
// VMs that are all too slow for a limit do not hand the leadership around. It is not safe for concurrent use.
type Watcher struct {
	limits      Limits
	interval    time.Duration
	meters      map[Part]*stallmeter.Meter
	previous    Record
	suspicions  int
	suspectedAt time.Duration
}

// New returns a Watcher of records that are observed at the given interval.
func New(limits Limits, interval time.Duration) *Watcher {
	watcher := &Watcher{limits: limits, interval: interval}
	watcher.Begin()
	return watcher
}

// Begin begins to watch another leadership.
func (watcher *Watcher) Begin() {
	watcher.previous, watcher.meters = Record{}, map[Part]*stallmeter.Meter{}
	for _, part := range []Part{PartState, PartPlanning, PartRenewals} {
		watcher.meters[part] = stallmeter.New(watcher.interval)
	}
}

// Observe returns a part that has stood still for longer than its limit, or suspected = false.
func (watcher *Watcher) Observe(now time.Duration, record Record) (part Part, suspected bool) {
	previous := watcher.previous
	watcher.previous = record
	for _, check := range []struct {
		part     Part
		limit    time.Duration
		progress bool
	}{
		{PartState, watcher.limits.State, record.StateReads != previous.StateReads},
		{PartRenewals, watcher.limits.Renewals, !record.RenewalsOverdue},
		{PartPlanning, watcher.limits.Planning, record.Plans != previous.Plans},
	} {
		stood := watcher.meters[check.part].Observe(now, check.progress || !record.Acting)
		if stood > check.limit<<watcher.RecentSuspicions(now) && !suspected {
			part, suspected = check.part, true
		}
	}
	if suspected {
		watcher.suspicions, watcher.suspectedAt = min(watcher.RecentSuspicions(now)+1, maxSuspicions), now
	}
	return part, suspected
}

// RecentSuspicions returns the number of recent suspicions. Each one doubles the limits.
func (watcher *Watcher) RecentSuspicions(now time.Duration) int {
	if now-watcher.suspectedAt > backoffPeriod {
		return 0
	}
	return watcher.suspicions
}
