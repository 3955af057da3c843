package reserver

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// maxRetryFactor limits the time for which a step gets no reservation after one has expired, as a multiple of maxIdle.
const maxRetryFactor = 16

// stepRecord is what the reservations of a waiting step have held idle. It ends when a reservation is used or the step
// no longer waits.
type stepRecord struct {
	// idle is for how long the step has held capacity idle since its reservations last expired. While it holds several
	// workers, the one with the largest idle fraction counts.
	idle time.Duration
	// retryDelay is for how long the step gets no reservation after the next expiry. It doubles with each of them.
	retryDelay time.Duration
}

// measureIdle adds to the idle times of the reservations whose workers are available, and to those of their steps.
func (reserver *Reserver) measureIdle(workers map[scheduler.WorkerName]*packer.Worker, elapsed time.Duration) {
	longest := map[packer.StepID]time.Duration{}
	for _, reservation := range reserver.reservations {
		worker := workers[reservation.worker]
		if worker == nil {
			continue
		}
		idle := time.Duration(reservation.idleFraction(worker) * float64(elapsed))
		reservation.idle += idle
		longest[reservation.step] = max(longest[reservation.step], idle)
	}
	for step, idle := range longest {
		reserver.record(step).idle += idle
	}
}

// record returns the record of a step and creates it if there is none.
func (reserver *Reserver) record(step packer.StepID) *stepRecord {
	record := reserver.records[step]
	if record == nil {
		record = &stepRecord{retryDelay: reserver.maxIdle}
		reserver.records[step] = record
	}
	return record
}

// isExpired reports whether a reservation, or all reservations of its step together, have held capacity idle for the
// maximum time.
func (reserver *Reserver) isExpired(reservation *Reservation) bool {
	return max(reservation.idle, reserver.record(reservation.step).idle) >= reserver.maxIdle
}

// postponeRetry starts the time for which the step of an expired reservation gets no other.
func (reserver *Reserver) postponeRetry(now time.Duration, step packer.StepID) {
	record := reserver.record(step)
	reserver.retryAt[step] = now + record.retryDelay
	record.idle, record.retryDelay = 0, min(2*record.retryDelay, maxRetryFactor*reserver.maxIdle)
}

// pruneRecords removes the records of steps that no longer wait.
func (reserver *Reserver) pruneRecords(groups []Group) {
	if len(reserver.records) == 0 {
		return
	}
	waiting := map[packer.StepID]bool{}
	for position := range groups {
		if len(groups[position].Tasks) > 0 {
			waiting[groups[position].ID()] = true
		}
	}
	for step := range reserver.records {
		if !waiting[step] {
			delete(reserver.records, step)
		}
	}
}
