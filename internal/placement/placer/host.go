package placer

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// need is what a task asks of a worker.
type need = amount

// amount is scheduler.Resources with short names for the arithmetic of this package.
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

// occupant is a task on a worker.
type occupant struct {
	scheduler.PlacedTask
	// used is the measured processor time, valid when measured is true.
	used     int64
	measured bool
	// leavingFor is the task that this one is evicted for, empty when it stays.
	leavingFor scheduler.TaskID
}

// hold is an assignment that no Update has confirmed yet.
type hold struct {
	task  scheduler.PlacedTask
	since time.Time
}

// weight is an amount of processor time that tasks of one kind take, or a number of service tasks.
type weight struct {
	kind  string
	value int64
}

// host is a worker with everything that decisions need.
type host struct {
	worker   scheduler.Worker
	capacity amount
	usable   bool
	pool     *pool
	slot     int
	tasks    []occupant
	holds    []hold
	// unlisted is the part of Reserved that no listed task accounts for.
	unlisted amount
	// services counts latency-critical tasks by service, kinds the processor time of batch tasks.
	services, kinds []weight
	// free is what a new task may take; evictable is what evictions could add.
	free, evictable amount
	sum             total
	busy            int64
}

// refresh recomputes the sums after a change of tasks, holds or measurements.
func (h *host) refresh(overcommit float64) {
	h.services, h.kinds = h.services[:0], h.kinds[:0]
	h.evictable = amount{}
	sum := total{taken: h.unlisted, busy: h.unlisted.cores}
	for i := range h.tasks {
		task := &h.tasks[i]
		if task.leavingFor != "" && h.holdOf(task.leavingFor) != nil {
			continue
		}
		h.count(&sum, &task.Spec, task.use())
		if task.isEvictable() {
			request := amountOf(task.Spec.Request)
			request.cores = task.use()
			h.evictable = h.evictable.plus(request)
		}
	}
	for i := range h.holds {
		hold := &h.holds[i]
		h.count(&sum, &hold.task.Spec, hold.task.Spec.Request.MilliCores)
		// The task starts after its victims have stopped, so the two never need the worker at
		// the same time: the larger amount counts.
		excess := h.leaving(hold.task.Task).minus(amountOf(hold.task.Spec.Request)).max(amount{})
		sum.taken = sum.taken.plus(excess)
		sum.busy += excess.cores
	}
	h.settle(sum, overcommit)
}

// total is what the tasks of a worker take.
type total struct {
	taken         amount
	busy          int64
	batchDeclared int64
	batchUse      int64
}

// busyWith returns the processors that count as taken when batch may be overcommitted.
func (t total) busyWith(overcommit float64) int64 {
	return t.busy + max(t.batchUse, int64(float64(t.batchDeclared)/overcommit))
}

func (h *host) count(sum *total, spec *scheduler.TaskSpec, use int64) {
	request := amountOf(spec.Request)
	sum.taken = sum.taken.plus(request)
	if spec.Class == scheduler.ClassLatencyCritical {
		sum.busy += request.cores
		h.services = add(h.services, spec.Kind, 1)
		return
	}
	sum.batchDeclared += request.cores
	sum.batchUse += use
	h.kinds = add(h.kinds, spec.Kind, use)
}

// settle derives what is free. Batch processors count by use, but never by less than their
// declared sum divided by the overcommit bound. Memory and accelerators count as declared.
func (h *host) settle(sum total, overcommit float64) {
	h.sum = sum
	h.busy = sum.busyWith(overcommit)
	h.free = h.capacity.minus(sum.taken)
	h.free.cores = h.capacity.cores - h.busy
}

// use is the processor time that the task counts with.
func (o *occupant) use() int64 {
	if o.measured && o.Spec.Class == scheduler.ClassBatch {
		return o.used
	}
	return o.Spec.Request.MilliCores
}

// observe takes over a measured use. The use of a throttled task says nothing about what it takes once
// it is released, so it counts with what was known before.
func (o *occupant) observe(milliCores int64) {
	if o.Throttled {
		if !o.measured {
			o.used, o.measured = o.Spec.Request.MilliCores, true
		}
		return
	}
	o.used = max(milliCores, o.used*9/10)
	o.measured = true
}

func (o *occupant) isEvictable() bool {
	return o.Spec.Class == scheduler.ClassBatch && o.leavingFor == ""
}

// leaving sums what the victims of a task still occupy.
func (h *host) leaving(task scheduler.TaskID) amount {
	var sum amount
	for i := range h.tasks {
		if h.tasks[i].leavingFor == task {
			request := amountOf(h.tasks[i].Spec.Request)
			request.cores = h.tasks[i].use()
			sum = sum.plus(request)
		}
	}
	return sum
}

func (h *host) holdOf(task scheduler.TaskID) *hold {
	for i := range h.holds {
		if h.holds[i].task.Task == task {
			return &h.holds[i]
		}
	}
	return nil
}

func add(weights []weight, kind string, value int64) []weight {
	for i := range weights {
		if weights[i].kind == kind {
			weights[i].value += value
			return weights
		}
	}
	return append(weights, weight{kind: kind, value: value})
}

// room returns what the index stores of the worker.
func (h *host) room() room {
	if !h.usable {
		return none
	}
	all := h.free.plus(h.evictable)
	return room{
		cores: h.free.cores, memory: h.free.memory, accelerators: h.free.accelerators,
		evictCores: all.cores, evictMemory: all.memory, evictAccelerators: all.accelerators,
	}
}

func (h *host) occupant(task scheduler.TaskID) *occupant {
	for i := range h.tasks {
		if h.tasks[i].Task == task {
			return &h.tasks[i]
		}
	}
	return nil
}
