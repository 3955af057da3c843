package overseer

import (
	"sync/atomic"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/leaserecorder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// leaseRecordInterval is how often a leadership looks for workers that do not respond.
	leaseRecordInterval = 250 * time.Millisecond
	// leaseRecordPause is the time between two records. Workers that answer within it are released by one record.
	leaseRecordPause = 100 * time.Millisecond
	// silentHeartbeats is the number of heartbeat intervals without contact after which the lease of a worker is recorded,
	// failedHeartbeats that after a failed order.
	silentHeartbeats = 1.5
	failedHeartbeats = 0.5
)

// leaseRecords is what an Overseer remembers of its records beyond a leadership. It is safe for concurrent use.
type leaseRecords struct {
	// sequence is the sequence number of the last record, and term the term in which it was proposed.
	sequence atomic.Uint64
	term     atomic.Uint64
}

// inheritLeases takes over the bounds that the earlier leader has recorded for workers of which this leadership has not heard.
func (leadership *leadership) inheritLeases() {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	inherited, now := 0, leadership.now()
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		state.VisitLeaseBounds(leadership.term, func(bound *leaserecorder.Bound, remaining time.Duration) {
			leadership.leaseRecorder.Inherit(bound.Worker, now)
			instance := leadership.instances[bound.Worker]
			if instance == nil || instance.incarnation != bound.Instance {
				return // Its attempts have ended, or were placed on another instance.
			}
			instance.leaseExpiry = min(instance.leaseExpiry, now+remaining)
			inherited++
		})
	})
	if inherited > 0 {
		leadership.overseer.metrics.leasesInherited.Inc(int64(inherited))
		leadership.logger.Info().Str("event", "leasesInherited").Int("workers", inherited).
			Msg("leases of workers that did not respond to the earlier leader expire at the recorded times")
	}
}

// grantLease returns the end of a lease that starts now, or the end of the present one while the lease of the worker must not
// be extended. The mutex must be held.
func (leadership *leadership) grantLease(instance *worker, now time.Duration) time.Duration {
	if !leadership.leaseRecorder.Extendable(instance.name) {
		return instance.maxLeaseEnd
	}
	return instance.grantLease(now, leadership.overseer.leaseDuration, leadership.overseer.clockDrift)
}

// recordLeases records the leases of workers that do not respond, until the leadership ends.
func (leadership *leadership) recordLeases() {
	for failures := 0; leadership.context.Err() == nil; {
		silent, due := leadership.planLeaseRecord()
		switch {
		case !due:
			leadership.awaitLeaseRecord()
		case leadership.proposeLeaseRecord(silent):
			failures = 0
			leadership.pause(leaseRecordPause)
		default:
			failures++
			leadership.pause(retryDelay(failures))
		}
	}
}

// awaitLeaseRecord waits for leaseRecordInterval, or until a worker responds whose lease is held.
func (leadership *leadership) awaitLeaseRecord() {
	timer := time.NewTimer(leaseRecordInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-leadership.leaseSignal:
	case <-leadership.context.Done():
	}
}

// planLeaseRecord returns the leases of the workers that do not respond, and whether they are to be proposed now.
func (leadership *leadership) planLeaseRecord() (silent []leaserecorder.Lease, due bool) {
	if !leadership.mayAct() {
		return nil, false
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	now, bytes := leadership.now(), 0
	for _, instance := range leadership.instances {
		if !leadership.isSilent(instance, now) {
			continue
		}
		bytes += itemBytes + len(instance.name)
		if bytes > maxBatchBytes {
			break // The leases that do not fit are not recorded.
		}
		silent = append(silent, leaserecorder.NewLease(instance.name, instance.incarnation, instance.leaseExpiry))
	}
	return silent, leadership.leaseRecorder.Propose(now, silent)
}

// isSilent reports whether the lease of a worker with attempts is worth a record. A worker whose lease is held already is
// silent until it answers. An instance without an incarnation cannot be told from the next one. The mutex must be held.
func (leadership *leadership) isSilent(instance *worker, now time.Duration) bool {
	if len(instance.attempts) == 0 || instance.fenced || instance.incarnation == 0 {
		return false
	}
	if since, held := leadership.leaseRecorder.HeldSince(instance.name); held {
		return instance.lastResponse <= since
	}
	heartbeats := silentHeartbeats
	if instance.consecutiveFailures > 0 || !instance.hasHeartbeat {
		heartbeats = failedHeartbeats
	}
	contact := max(instance.lastContact(), leadership.startedAt)
	return now-contact > time.Duration(heartbeats*float64(leadership.overseer.heartbeatInterval))
}

// proposeLeaseRecord replicates a record. It returns false if it may not have been committed.
func (leadership *leadership) proposeLeaseRecord(silent []leaserecorder.Lease) bool {
	overseer, now := leadership.overseer, leadership.now()
	overseer.leaseRecords.term.Store(uint64(leadership.term))
	record := &leaserecorder.Record{Term: leadership.term, Sequence: overseer.leaseRecords.sequence.Add(1)}
	for _, lease := range silent {
		record.Bounds = append(record.Bounds, leaserecorder.Bound{
			Worker: lease.Worker(), Instance: lease.Instance(),
			// The clocks of two VMs may run at different rates, as that of a worker may.
			Remaining: time.Duration(float64(lease.Remaining(now)) / (1 - overseer.clockDrift)),
		})
	}
	result, err := leadership.propose(jobkeeper.Command{RecordLeases: record})
	if err == nil && result.Status != jobkeeper.StatusDone {
		err = scheduler.ErrNotRun.New("the record is superseded")
	}
	if err != nil {
		leadership.repeatedWarning("leasesNotRecorded", err).Int("workers", len(silent)).
			Msg("could not record the leases of workers that do not respond; will retry")
		return false
	}
	leadership.commitLeaseRecord(now, silent)
	return true
}

// commitLeaseRecord lets the leases be extended again that a committed record does not hold.
func (leadership *leadership) commitLeaseRecord(now time.Duration, recorded []leaserecorder.Lease) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	before := leadership.leaseRecorder.Recorded()
	leadership.leaseRecorder.Commit(now, recorded)
	leadership.overseer.metrics.leaseRecords.Inc(1)
	leadership.overseer.metrics.leasesHeld.Update(float64(len(recorded)))
	if before != len(recorded) {
		leadership.logger.Info().Str("event", "leasesRecorded").Int("workers", len(recorded)).Int("before", before).
			Msg("recorded the leases of workers that do not respond; they are extended once the workers have answered")
	}
}

// recordResponse records that a worker has answered an order. If its lease is held, a record without it is requested. The
// mutex must be held.
func (leadership *leadership) recordResponse(instance *worker, now time.Duration) {
	instance.recordResponse(now)
	if leadership.leaseRecorder.Held() == 0 {
		return
	}
	select {
	case leadership.leaseSignal <- struct{}{}:
	default:
	}
}
