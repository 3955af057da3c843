package reserver

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// slot is capacity on a worker for one task, in addition to the slots of the same worker that come before it.
type slot struct {
	worker *packer.Worker
	// after is the time from now until the capacity is expected to be free.
	after time.Duration
	// spare is the least capacity that is expected to be left free after any of the slots up to this one.
	spare scheduler.Resources
}

// slots returns the slots of a worker for up to limit tasks of a group that are expected within the horizon.
func (pool *Pool) slots(worker *packer.Worker, group *Group, limit int, horizon time.Duration) []slot {
	releases := pool.Releases(worker.Name)
	slices.SortStableFunc(releases, func(a, b Release) int { return cmp.Compare(a.After, b.After) })
	amount := group.Step.Reserved()
	var slots []slot
	var after time.Duration
	free, spare := worker.Free, worker.Capacity
	for count := 0; count < limit && group.FitsIdle(worker, count); count++ {
		for !amount.FitsIn(free) {
			if len(releases) == 0 || releases[0].After > horizon {
				return slots
			}
			after, free = max(releases[0].After, 0), free.Plus(releases[0].Amount)
			releases = releases[1:]
		}
		free = free.Minus(amount)
		spare = minimum(spare, free)
		slots = append(slots, slot{worker: worker, after: after, spare: spare})
	}
	return slots
}

// FitsAfter returns the time after which a task of a group is expected to fit on a worker, by the expected ends of the tasks
// there. ok is false if they do not release enough.
func FitsAfter(worker *packer.Worker, group *packer.Group, releases []Release) (after time.Duration, ok bool) {
	pool := Pool{Releases: func(scheduler.WorkerName) []Release { return releases }}
	slots := pool.slots(worker, &Group{Group: group}, 1, math.MaxInt64)
	if len(slots) == 0 {
		return 0, false
	}
	return slots[0].after, true
}

func minimum(a, b scheduler.Resources) scheduler.Resources {
	return scheduler.Resources{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// reserve reserves workers for the tasks of a group: for all members of a gang or none, and for as many tasks of another
// group as the bounds allow. It returns the new reservations.
func (reserver *Reserver) reserve(pool *Pool, group *Group) []*Reservation {
	taken := map[scheduler.WorkerName]bool{}
	for _, reservation := range reserver.reservations {
		taken[reservation.worker] = true
	}
	maxWorkers := reserver.maxReserved(pool) - len(taken)
	if maxWorkers <= 0 {
		return nil
	}
	count := len(group.Tasks)
	if !group.Step.Gang {
		count = min(count, maxTasksPerStep)
	}
	candidates := reserver.candidateSlots(pool, group, taken, count)
	if group.Step.RackLocal {
		candidates = earliestRack(candidates, count, maxWorkers)
	}
	chosen := choose(candidates, count, maxWorkers)
	if group.Step.Gang {
		chosen = chooseAll(candidates, count, maxWorkers)
	}
	if group.Step.Gang && len(chosen) < count {
		return nil
	}
	reservations := newReservations(pool.Now, group, chosen)
	for _, reservation := range reservations {
		reservation.initialStart = reservation.start
		reservation.idle = reserver.interrupted[reservation.worker].idle
	}
	return reservations
}

// maxReserved returns how many workers of a pool may be reserved at the same time.
func (reserver *Reserver) maxReserved(pool *Pool) int {
	return int(reserver.maxFraction * float64(len(pool.Workers)))
}

// candidateSlots returns the slots for up to count tasks of a group in the order of compareSlots, maxSlots at most. Each
// candidate gets an equal part of them.
func (reserver *Reserver) candidateSlots(
	pool *Pool, group *Group, taken map[scheduler.WorkerName]bool, count int,
) []slot {
	workers := reserver.candidates(pool, group, taken, max(minCandidates, count))
	maxPerWorker := min(count, maxSlots/max(len(workers), 1))
	var slots []slot
	for _, worker := range workers {
		slots = append(slots, pool.slots(worker, group, maxPerWorker, reserver.maxIdle)...)
	}
	slices.SortStableFunc(slots, compareSlots)
	return slots
}

// candidates returns the workers that may be reserved for a group: those with the most free CPU of the ones that could
// run a task if they were idle. Their number is limited because predicting the ends of running tasks takes time.
func (reserver *Reserver) candidates(
	pool *Pool, group *Group, taken map[scheduler.WorkerName]bool, limit int,
) []*packer.Worker {
	var candidates []*packer.Worker
	for _, worker := range pool.Workers {
		_, blocked := reserver.blockedUntil[worker.Name]
		if !blocked && !taken[worker.Name] && group.FitsIdle(worker, 0) {
			candidates = append(candidates, worker)
		}
	}
	if len(candidates) <= limit {
		return candidates
	}
	slices.SortStableFunc(candidates, func(a, b *packer.Worker) int {
		return cmp.Compare(b.Free.MilliCores, a.Free.MilliCores)
	})
	return candidates[:limit]
}

// compareSlots puts the earliest slot first, and of equal ones that on the smaller worker, so that the gaps of large
// workers remain for tasks that fit only there.
func compareSlots(a, b slot) int {
	return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.worker.Capacity.MilliCores, b.worker.Capacity.MilliCores),
		cmp.Compare(a.worker.Capacity.MemoryBytes, b.worker.Capacity.MemoryBytes))
}

// choose returns the first count slots on at most maxWorkers workers.
func choose(slots []slot, count, maxWorkers int) []slot {
	var chosen []slot
	workers := map[*packer.Worker]bool{}
	for _, slot := range slots {
		if len(chosen) == count {
			break
		}
		if !workers[slot.worker] {
			if len(workers) == maxWorkers {
				continue
			}
			workers[slot.worker] = true
		}
		chosen = append(chosen, slot)
	}
	return chosen
}

// chooseAll returns the first count slots on at most maxWorkers workers. If these workers have too few slots, it uses those
// with the most.
func chooseAll(slots []slot, count, maxWorkers int) []slot {
	if chosen := choose(slots, count, maxWorkers); len(chosen) == count {
		return chosen
	}
	return choose(onFewestWorkers(slots, maxWorkers), count, maxWorkers)
}

// onFewestWorkers returns the slots of the maxWorkers workers with the most slots, in the given order.
func onFewestWorkers(slots []slot, maxWorkers int) []slot {
	counts := map[*packer.Worker]int{}
	var workers []*packer.Worker
	for _, slot := range slots {
		if counts[slot.worker]++; counts[slot.worker] == 1 {
			workers = append(workers, slot.worker)
		}
	}
	slices.SortStableFunc(workers, func(a, b *packer.Worker) int { return cmp.Compare(counts[b], counts[a]) })
	for _, worker := range workers[min(len(workers), maxWorkers):] {
		delete(counts, worker)
	}
	return slices.DeleteFunc(slices.Clone(slots), func(slot slot) bool { return counts[slot.worker] == 0 })
}

// earliestRack returns the slots in the rack that has enough of them first. If no rack has enough, it returns all slots,
// because rack-local tasks may run in several racks, only slower.
func earliestRack(slots []slot, count, maxWorkers int) []slot {
	racks := map[string][]slot{}
	for _, slot := range slots {
		racks[slot.worker.Rack] = append(racks[slot.worker.Rack], slot)
	}
	best := slots
	var earliest time.Duration
	found := false
	for _, slot := range slots {
		inRack := racks[slot.worker.Rack]
		delete(racks, slot.worker.Rack)
		chosen := chooseAll(inRack, count, maxWorkers)
		if len(chosen) < count {
			continue
		}
		if last := chosen[count-1].after; !found || last < earliest {
			best, earliest, found = inRack, last, true
		}
	}
	return best
}

// newReservations returns one reservation for each worker of the slots, which must be in the order of time.
func newReservations(now time.Duration, group *Group, slots []slot) []*Reservation {
	var reservations []*Reservation
	byWorker := map[*packer.Worker]*Reservation{}
	for _, slot := range slots {
		reservation := byWorker[slot.worker]
		if reservation == nil {
			reservation = &Reservation{
				step: group.ID(), worker: slot.worker.Name, gang: group.Step.Gang, priority: group.Priority,
				amount: group.Step.Reserved(), madeAt: now, waitingSince: group.Since, start: now + slot.after,
			}
			byWorker[slot.worker] = reservation
			reservations = append(reservations, reservation)
		}
		reservation.tasks++
		reservation.spare = slot.spare
	}
	if group.Step.Gang {
		for _, reservation := range reservations {
			reservation.start = now + slots[len(slots)-1].after
		}
	}
	return reservations
}
