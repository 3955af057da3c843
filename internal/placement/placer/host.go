package placer

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// demand is the amount of resources that a task requests.
type demand = amount

// amount is scheduler.Resources with short field names.
type amount struct {
	cores, memory, accelerators int64
}

func amountOf(r scheduler.Resources) amount {
	return amount{cores: r.MilliCores, memory: r.MemoryBytes, accelerators: r.Accelerators}
}

func (a amount) plus(b amount) amount {
	return amount{a.cores + b.cores, a.memory + b.memory, a.accelerators + b.accelerators}
}

func (a amount) minus(b amount) amount {
	return amount{a.cores - b.cores, a.memory - b.memory, a.accelerators - b.accelerators}
}

func (a amount) max(b amount) amount {
	return amount{max(a.cores, b.cores), max(a.memory, b.memory), max(a.accelerators, b.accelerators)}
}

func (a amount) fits(b amount) bool {
	return a.cores <= b.cores && a.memory <= b.memory && a.accelerators <= b.accelerators
}

// hostedTask is a task that occupies a worker, together with its measured CPU usage.
type hostedTask struct {
	scheduler.PlacedTask
	// measuredCores is the measured CPU usage in millicores. It is valid only if measured is true.
	measuredCores int64
	measured      bool
	// evictedFor is the task for which this one is evicted, or empty if it is not evicted.
	evictedFor scheduler.TaskID
}

// reservation is an assignment that no Update has listed yet.
type reservation struct {
	task       scheduler.PlacedTask
	reservedAt time.Time
}

// kindWeight is the CPU usage of batch tasks of one kind, or the number of tasks of one service.
type kindWeight struct {
	kind  string
	value int64
}

// host is the placement state of a worker.
type host struct {
	worker       scheduler.Worker
	capacity     amount
	schedulable  bool
	pool         *pool
	slot         int
	tasks        []hostedTask
	reservations []reservation
	// unlistedReserved is the part of WorkerState.Reserved that is not accounted for by listed tasks.
	unlistedReserved amount
	// services holds the number of latency-critical tasks by service, batchKinds the CPU usage of batch tasks by kind.
	services, batchKinds []kindWeight
	// free is the capacity available to new tasks. evictable is the capacity that evictions could add.
	free, evictable amount
	totals          usageTotals
	allocatedCores  int64
}

// refresh recomputes the totals after a change of tasks, reservations or measurements.
func (h *host) refresh(overcommit float64) {
	h.services, h.batchKinds = h.services[:0], h.batchKinds[:0]
	h.evictable = amount{}
	totals := usageTotals{reserved: h.unlistedReserved, committedCores: h.unlistedReserved.cores}
	for i := range h.tasks {
		task := &h.tasks[i]
		if task.evictedFor != "" && h.reservationOf(task.evictedFor) != nil {
			continue
		}
		h.addTask(&totals, &task.Spec, task.cpuUsage())
		if task.isEvictable() {
			request := amountOf(task.Spec.Request)
			request.cores = task.cpuUsage()
			h.evictable = h.evictable.plus(request)
		}
	}
	for i := range h.reservations {
		reserved := &h.reservations[i]
		h.addTask(&totals, &reserved.task.Spec, reserved.task.Spec.Request.MilliCores)
		// The task starts after its victims have stopped, so they never occupy the worker at the same time and
		// only the larger of both amounts counts.
		excess := h.victimUsage(reserved.task.Task).minus(amountOf(reserved.task.Spec.Request)).max(amount{})
		totals.reserved = totals.reserved.plus(excess)
		totals.committedCores += excess.cores
	}
	h.setFree(totals, overcommit)
}

// usageTotals sums the resources that the tasks and reservations of a worker take. committedCores counts in full,
// whereas the CPU time of batch tasks may be overcommitted.
type usageTotals struct {
	reserved       amount
	committedCores int64
	batchRequested int64
	batchUsage     int64
}

// coresWithOvercommit returns the CPU time in millicores that counts as allocated at the given overcommit ratio.
func (t usageTotals) coresWithOvercommit(overcommit float64) int64 {
	return t.committedCores + max(t.batchUsage, int64(float64(t.batchRequested)/overcommit))
}

func (h *host) addTask(totals *usageTotals, spec *scheduler.TaskSpec, cpuUsage int64) {
	request := amountOf(spec.Request)
	totals.reserved = totals.reserved.plus(request)
	if spec.Class == scheduler.ClassLatencyCritical {
		totals.committedCores += request.cores
		h.services = addWeight(h.services, spec.Kind, 1)
		return
	}
	totals.batchRequested += request.cores
	totals.batchUsage += cpuUsage
	h.batchKinds = addWeight(h.batchKinds, spec.Kind, cpuUsage)
}

// setFree derives the free capacity from the totals. The CPU time of batch tasks counts as used, but at least as their
// requested sum divided by the overcommit ratio. Memory and accelerators count as requested.
func (h *host) setFree(totals usageTotals, overcommit float64) {
	h.totals = totals
	h.allocatedCores = totals.coresWithOvercommit(overcommit)
	h.free = h.capacity.minus(totals.reserved)
	h.free.cores = h.capacity.cores - h.allocatedCores
}

// cpuUsage returns the measured usage of a batch task, or the request if there is none or the task is not batch.
func (hosted *hostedTask) cpuUsage() int64 {
	if hosted.measured && hosted.Spec.Class == scheduler.ClassBatch {
		return hosted.measuredCores
	}
	return hosted.Spec.Request.MilliCores
}

// observe records a measured CPU usage. The usage of a throttled task does not predict its usage once throttling ends,
// so the previous value is kept, or the request if there is none.
func (hosted *hostedTask) observe(milliCores int64) {
	if hosted.Throttled {
		if !hosted.measured {
			hosted.measuredCores, hosted.measured = hosted.Spec.Request.MilliCores, true
		}
		return
	}
	hosted.measuredCores = max(milliCores, hosted.measuredCores*9/10)
	hosted.measured = true
}

func (hosted *hostedTask) isEvictable() bool {
	return hosted.Spec.Class == scheduler.ClassBatch && hosted.evictedFor == ""
}

// victimUsage returns the resources that the victims of a task still occupy.
func (h *host) victimUsage(task scheduler.TaskID) amount {
	var sum amount
	for i := range h.tasks {
		if h.tasks[i].evictedFor == task {
			request := amountOf(h.tasks[i].Spec.Request)
			request.cores = h.tasks[i].cpuUsage()
			sum = sum.plus(request)
		}
	}
	return sum
}

func (h *host) reservationOf(task scheduler.TaskID) *reservation {
	for i := range h.reservations {
		if h.reservations[i].task.Task == task {
			return &h.reservations[i]
		}
	}
	return nil
}

func addWeight(weights []kindWeight, kind string, value int64) []kindWeight {
	for i := range weights {
		if weights[i].kind == kind {
			weights[i].value += value
			return weights
		}
	}
	return append(weights, kindWeight{kind: kind, value: value})
}

// availability returns the entry of the worker in the capacity tree.
func (h *host) availability() availability {
	if !h.schedulable {
		return unavailable
	}
	all := h.free.plus(h.evictable)
	return availability{
		cores: h.free.cores, memory: h.free.memory, accelerators: h.free.accelerators,
		evictCores: all.cores, evictMemory: all.memory, evictAccelerators: all.accelerators,
	}
}

func (h *host) hostedTask(task scheduler.TaskID) *hostedTask {
	for i := range h.tasks {
		if h.tasks[i].Task == task {
			return &h.tasks[i]
		}
	}
	return nil
}
