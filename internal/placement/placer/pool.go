package placer

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// pool holds the workers that have the same labels and capacity, so that constraints are checked once per pool
// instead of once per worker.
type pool struct {
	key          string
	labels       map[string]string
	capacity     amount
	hosts        []*host
	freeSlots    []int
	count        int
	capacityTree capacityTree
}

func poolKey(worker scheduler.Worker) string {
	var key strings.Builder
	fmt.Fprintf(&key, "%v", worker.Capacity)
	for _, name := range slices.Sorted(maps.Keys(worker.Labels)) {
		fmt.Fprintf(&key, ",%q=%q", name, worker.Labels[name])
	}
	return key.String()
}

// assignPool adds a worker to its pool and moves it if its labels or capacity have changed.
func (placer *Placer) assignPool(h *host, worker scheduler.Worker) {
	unchanged := h.pool != nil && h.worker.Capacity == worker.Capacity && maps.Equal(h.worker.Labels, worker.Labels)
	h.worker, h.capacity = worker, amountOf(worker.Capacity)
	if unchanged {
		return
	}
	if h.pool != nil {
		h.pool.remove(h)
	}
	key := poolKey(worker)
	p := placer.pools[key]
	if p == nil {
		p = &pool{key: key, labels: maps.Clone(worker.Labels), capacity: h.capacity}
		placer.pools[key] = p
		placer.poolOrder = append(placer.poolOrder, p)
		slices.SortFunc(placer.poolOrder, func(a, b *pool) int { return strings.Compare(a.key, b.key) })
	}
	p.insert(h)
}

func (p *pool) insert(h *host) {
	h.pool = p
	p.count++
	if last := len(p.freeSlots) - 1; last >= 0 {
		h.slot = p.freeSlots[last]
		p.freeSlots = p.freeSlots[:last]
		p.hosts[h.slot] = h
		return
	}
	h.slot = len(p.hosts)
	p.hosts = append(p.hosts, h)
}

func (p *pool) remove(h *host) {
	p.capacityTree.set(h.slot, unavailable)
	p.hosts[h.slot] = nil
	p.freeSlots = append(p.freeSlots, h.slot)
	p.count--
}

// mismatch returns the reason why no worker of the pool can ever host the task, or an empty string if one can.
func (p *pool) mismatch(spec *scheduler.TaskSpec) string {
	for _, name := range slices.Sorted(maps.Keys(spec.Constraints)) {
		if value := spec.Constraints[name]; p.labels[name] != value {
			return fmt.Sprintf("label %s is %q, %q is required", name, p.labels[name], value)
		}
	}
	request := spec.Request
	switch {
	case request.MilliCores > p.capacity.cores:
		return fmt.Sprintf("%.1f cores requested, worker capacity is %.1f",
			float64(request.MilliCores)/1000, float64(p.capacity.cores)/1000)
	case request.MemoryBytes > p.capacity.memory:
		return fmt.Sprintf("%d MiB of memory requested, worker capacity is %d",
			request.MemoryBytes>>20, p.capacity.memory>>20)
	case request.Accelerators > p.capacity.accelerators:
		return fmt.Sprintf("%d accelerators requested, worker capacity is %d", request.Accelerators, p.capacity.accelerators)
	}
	return ""
}

// matches is like mismatch, but does not format a reason.
func (p *pool) matches(spec *scheduler.TaskSpec) bool {
	for name, value := range spec.Constraints {
		if p.labels[name] != value {
			return false
		}
	}
	return p.count > 0 && amountOf(spec.Request).fits(p.capacity)
}

// String describes the pool in the reasons of placement failures.
func (p *pool) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d workers of %d cores", p.count, p.capacity.cores/1000)
	if p.capacity.accelerators > 0 {
		fmt.Fprintf(&text, " and %d accelerators", p.capacity.accelerators)
	}
	for _, name := range slices.Sorted(maps.Keys(p.labels)) {
		fmt.Fprintf(&text, " %s=%s", name, p.labels[name])
	}
	return text.String()
}
