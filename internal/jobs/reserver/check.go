package reserver

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// check updates the reservations from the state of the pool and removes those that no longer hold. elapsed is the time
// since the last decision.
func (reserver *Reserver) check(pool *Pool, elapsed time.Duration) []Event {
	if len(reserver.reservations) == 0 {
		return nil
	}
	groups := reserver.reservedGroups(pool)
	workers := make(map[scheduler.WorkerName]*packer.Worker, len(pool.Workers))
	for _, worker := range pool.Workers {
		workers[worker.Name] = worker
	}
	reserver.measureIdle(workers, elapsed)
	reasons := map[*Reservation]Reason{}
	incomplete := map[packer.StepID]bool{}
	waiting := map[packer.StepID]int{}
	for step, group := range groups {
		waiting[step] = len(group.Tasks)
	}
	for _, reservation := range reserver.reservations {
		worker := workers[reservation.worker]
		reason := reserver.update(pool, reservation, groups[reservation.step], worker)
		if reason == "" {
			reason = claim(waiting, reservation)
		}
		if reason == "" {
			continue
		}
		reasons[reservation] = reason
		incomplete[reservation.step] = incomplete[reservation.step] || reservation.gang
	}
	reserver.breakExcess(reserver.maxReserved(pool), reasons, incomplete)
	reserver.alignGangs()
	return reserver.removeBroken(pool.Now, reasons, incomplete)
}

// reservedGroups returns the waiting groups that have reservations.
func (reserver *Reserver) reservedGroups(pool *Pool) map[packer.StepID]*Group {
	steps := map[packer.StepID]bool{}
	for _, reservation := range reserver.reservations {
		steps[reservation.step] = true
	}
	groups := map[packer.StepID]*Group{}
	for position := range pool.Groups {
		group := &pool.Groups[position]
		if len(group.Tasks) > 0 && steps[group.ID()] {
			groups[group.ID()] = group
		}
	}
	return groups
}

// claim deducts the tasks of a reservation from those that wait. A reservation for more tasks is reduced.
func claim(waiting map[packer.StepID]int, reservation *Reservation) Reason {
	reservation.tasks = min(reservation.tasks, waiting[reservation.step])
	waiting[reservation.step] -= reservation.tasks
	if reservation.tasks == 0 {
		return ReasonNotWaiting
	}
	return ""
}

// update predicts the start of a reservation again. It returns a reason if the reservation is to be broken.
func (reserver *Reserver) update(pool *Pool, reservation *Reservation, group *Group, worker *packer.Worker) Reason {
	switch {
	case group == nil:
		return ReasonNotWaiting
	case worker == nil:
		return ReasonWorkerUnavailable
	case !group.FitsIdle(worker, 0):
		return ReasonUnsuitable
	case reserver.isExpired(reservation):
		return ReasonExpired
	}
	slots := pool.slots(worker, group, reservation.tasks, reserver.maxIdle)
	if len(slots) == 0 || reservation.gang && len(slots) < reservation.tasks {
		return ReasonDelayed
	}
	reservation.tasks = len(slots)
	last := slots[len(slots)-1]
	reservation.spare = last.spare
	reservation.start = pool.Now + slots[0].after
	if reservation.gang {
		reservation.start = pool.Now + last.after
	}
	if reservation.start > reservation.initialStart+maxSlip {
		return ReasonDelayed
	}
	return ""
}

// breakExcess adds a reason for the newest reservations if more workers are reserved than allowed, which happens when the
// pool loses workers. Reservations that are removed anyway do not count.
func (reserver *Reserver) breakExcess(
	maxReserved int, reasons map[*Reservation]Reason, incomplete map[packer.StepID]bool,
) {
	isKept := func(reservation *Reservation) bool {
		return reasons[reservation] == "" && !incomplete[reservation.step]
	}
	kept := map[packer.StepID]int{}
	count := 0
	for _, reservation := range reserver.reservations {
		if isKept(reservation) {
			kept[reservation.step]++
			count++
		}
	}
	for _, reservation := range slices.Backward(reserver.reservations) {
		if count <= maxReserved {
			return
		}
		if !isKept(reservation) {
			continue
		}
		reasons[reservation] = ReasonLimit
		if reservation.gang {
			incomplete[reservation.step] = true
			count -= kept[reservation.step]
		} else {
			count--
		}
	}
}

// alignGangs sets the start of all reservations of a gang to the latest of them, because its members start together.
func (reserver *Reserver) alignGangs() {
	starts := map[packer.StepID]time.Duration{}
	for _, reservation := range reserver.reservations {
		starts[reservation.step] = max(starts[reservation.step], reservation.start)
	}
	for _, reservation := range reserver.reservations {
		if reservation.gang {
			reservation.start = starts[reservation.step]
		}
	}
}

// removeBroken removes the reservations with a reason, and all reservations of an incomplete gang. A worker on which
// a reservation has expired is not reserved again for maxIdle, and the step gets no reservation for a while.
func (reserver *Reserver) removeBroken(
	now time.Duration, reasons map[*Reservation]Reason, incomplete map[packer.StepID]bool,
) []Event {
	var events []Event
	expired := map[packer.StepID]bool{}
	kept := reserver.reservations[:0]
	for _, reservation := range reserver.reservations {
		reason := reasons[reservation]
		if reason == "" && incomplete[reservation.step] {
			reason = ReasonIncomplete
		}
		if reason == "" {
			kept = append(kept, reservation)
			continue
		}
		if reason == ReasonExpired {
			reserver.blockedUntil[reservation.worker] = now + reserver.maxIdle
			expired[reservation.step] = true
		} else {
			reserver.interrupted[reservation.worker] = interruption{idle: reservation.idle, until: now + interruptionTime}
		}
		events = append(events, newEvent(EventBroken, reservation, now, reason))
	}
	for step := range expired {
		reserver.postponeRetry(now, step)
	}
	clear(reserver.reservations[len(kept):])
	reserver.reservations = kept
	return events
}
