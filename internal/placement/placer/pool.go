package placer

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// pool holds the workers with equal labels and capacity. Constraints and refusals are decided once
// per pool, not per worker.
type pool struct {
	key      string
	labels   map[string]string
	capacity amount
	hosts    []*host
	vacant   []int
	count    int
	tree     tree
}

func poolKey(worker scheduler.Worker) string {
	var key strings.Builder
	fmt.Fprintf(&key, "%v", worker.Capacity)
	for _, name := range slices.Sorted(maps.Keys(worker.Labels)) {
		fmt.Fprintf(&key, ",%q=%q", name, worker.Labels[name])
	}
	return key.String()
}

// enlist puts a worker into its pool, moving it when its labels or capacity have changed.
func (placer *Placer) enlist(h *host, worker scheduler.Worker) {
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
	if last := len(p.vacant) - 1; last >= 0 {
		h.slot = p.vacant[last]
		p.vacant = p.vacant[:last]
		p.hosts[h.slot] = h
		return
	}
	h.slot = len(p.hosts)
	p.hosts = append(p.hosts, h)
}

func (p *pool) remove(h *host) {
	p.tree.set(h.slot, none)
	p.hosts[h.slot] = nil
	p.vacant = append(p.vacant, h.slot)
	p.count--
}

// mismatch returns why no worker of the pool could ever host the task, empty if one could.
func (p *pool) mismatch(spec *scheduler.TaskSpec) string {
	for _, name := range slices.Sorted(maps.Keys(spec.Constraints)) {
		if want := spec.Constraints[name]; p.labels[name] != want {
			return fmt.Sprintf("label %s is %q, %q is required", name, p.labels[name], want)
		}
	}
	request := spec.Request
	switch {
	case request.MilliCores > p.capacity.cores:
		return fmt.Sprintf("%.1f cores requested, %.1f exist",
			float64(request.MilliCores)/1000, float64(p.capacity.cores)/1000)
	case request.MemoryBytes > p.capacity.memory:
		return fmt.Sprintf("%d MiB of memory requested, %d exist", request.MemoryBytes>>20, p.capacity.memory>>20)
	case request.Accelerators > p.capacity.accelerators:
		return fmt.Sprintf("%d accelerators requested, %d exist", request.Accelerators, p.capacity.accelerators)
	}
	return ""
}

// matches is mismatch without the text.
func (p *pool) matches(spec *scheduler.TaskSpec) bool {
	for name, want := range spec.Constraints {
		if p.labels[name] != want {
			return false
		}
	}
	return p.count > 0 && amountOf(spec.Request).fits(p.capacity)
}

// String describes the pool in refusals.
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
