// Package leaserecorder decides when a leader records the leases of workers that do not respond, so that the next leader can
// tell when they have expired. It has no clock and no goroutines of its own.
//
// The safety of a record depends on one rule: from the moment at which a record is proposed, the leader does not extend the
// lease of a worker in it until a later record without that worker is committed.
package leaserecorder

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// refreshInterval is how often a record is repeated while workers do not respond. A VM that starts counts the remaining
// times from when it has read the log, so that all VMs that start at once wait for at most this much longer.
const refreshInterval = time.Second

// Lease is the lease of an instance of a worker that does not respond.
type Lease struct {
	worker   scheduler.WorkerName
	instance scheduler.Incarnation
	expiry   time.Duration
}

// NewLease returns a Lease that has expired for certain at the given time of the leader's clock.
func NewLease(worker scheduler.WorkerName, instance scheduler.Incarnation, expiry time.Duration) Lease {
	return Lease{worker: worker, instance: instance, expiry: expiry}
}

// Worker returns the worker.
func (lease Lease) Worker() scheduler.WorkerName { return lease.worker }

// Instance returns the instance of the worker.
func (lease Lease) Instance() scheduler.Incarnation { return lease.instance }

// Remaining returns the time from now on after which the lease has expired for certain. It is negative once it has.
func (lease Lease) Remaining(now time.Duration) time.Duration { return lease.expiry - now }

// Recorder keeps the leases that the leader of one term must not extend. It is not safe for concurrent use.
type Recorder struct {
	// held holds since when leases must not be extended: those in the record that was committed last and those in records
	// that were proposed since.
	held map[scheduler.WorkerName]time.Duration
	// listed holds the instances in the record that was committed last.
	listed map[scheduler.WorkerName]scheduler.Incarnation
	// uncertain is true if the replicated record may differ from listed, or is that of an earlier leader.
	uncertain bool
	// blocked is true until the first record is committed, if earlier proposals of the same term may still take effect.
	blocked    bool
	recordedAt time.Duration
}

// New returns a Recorder without leases. blocked must be true if this VM has proposed records before in the same term: one of
// them may still take effect, so that no lease is extended before it is replaced.
func New(blocked bool) *Recorder {
	return &Recorder{
		held: map[scheduler.WorkerName]time.Duration{}, listed: map[scheduler.WorkerName]scheduler.Incarnation{},
		uncertain: blocked, blocked: blocked,
	}
}

// Inherit adds a lease from the record of an earlier leader. It must be called before the leader extends leases.
func (recorder *Recorder) Inherit(worker scheduler.WorkerName, now time.Duration) {
	recorder.held[worker] = now
	recorder.uncertain = true
}

// Extendable reports whether the lease of a worker may be extended now.
func (recorder *Recorder) Extendable(worker scheduler.WorkerName) bool {
	if recorder.blocked {
		return false
	}
	_, held := recorder.held[worker]
	return !held
}

// HeldSince returns since when the lease of a worker is held. The result is false if it is not.
func (recorder *Recorder) HeldSince(worker scheduler.WorkerName) (time.Duration, bool) {
	since, held := recorder.held[worker]
	return since, held
}

// Held returns the number of workers whose leases are held.
func (recorder *Recorder) Held() int { return len(recorder.held) }

// Recorded returns the number of leases in the record that was committed last.
func (recorder *Recorder) Recorded() int { return len(recorder.listed) }

// Propose reports whether a record of the given leases, those of all workers that do not respond, is to be proposed now. If
// so, none of them may be extended from now on, whatever becomes of the proposal.
func (recorder *Recorder) Propose(now time.Duration, silent []Lease) bool {
	if !recorder.differs(silent) && (len(silent) == 0 || now < recorder.recordedAt+refreshInterval) {
		return false
	}
	recorder.uncertain = true
	for _, lease := range silent {
		if _, held := recorder.held[lease.worker]; !held {
			recorder.held[lease.worker] = now
		}
	}
	return true
}

// differs reports whether the replicated record is, or may be, another one than that of the given leases.
func (recorder *Recorder) differs(silent []Lease) bool {
	if recorder.uncertain || len(silent) != len(recorder.listed) {
		return true
	}
	for _, lease := range silent {
		if instance, listed := recorder.listed[lease.worker]; !listed || instance != lease.instance {
			return true
		}
	}
	return false
}

// Commit tells that the record that was proposed last is committed, at the given time. The leases that it does not hold may be
// extended again.
func (recorder *Recorder) Commit(now time.Duration, recorded []Lease) {
	held := recorder.held
	recorder.held, recorder.listed = map[scheduler.WorkerName]time.Duration{}, map[scheduler.WorkerName]scheduler.Incarnation{}
	for _, lease := range recorded {
		recorder.held[lease.worker], recorder.listed[lease.worker] = held[lease.worker], lease.instance
	}
	recorder.uncertain, recorder.blocked, recorder.recordedAt = false, false, now
}
