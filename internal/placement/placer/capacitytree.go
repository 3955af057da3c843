package placer

// availability is the free capacity of a worker, or the maximum over several workers. The evict fields are the capacity
// that would be free after evicting all evictable tasks.
type availability struct {
	cores, memory, accelerators                int64
	evictCores, evictMemory, evictAccelerators int64
}

// unavailable is the availability of a slot without a schedulable worker. Not even an empty request fits.
var unavailable = availability{
	cores: -1, memory: -1, accelerators: -1,
	evictCores: -1, evictMemory: -1, evictAccelerators: -1,
}

// fits reports whether the demand fits, taking evictions into account if evict is true.
func (a availability) fits(d demand, evict bool) bool {
	if evict {
		return d.cores <= a.evictCores && d.memory <= a.evictMemory && d.accelerators <= a.evictAccelerators
	}
	return d.cores <= a.cores && d.memory <= a.memory && d.accelerators <= a.accelerators
}

func (a availability) max(other availability) availability {
	return availability{
		cores:             max(a.cores, other.cores),
		memory:            max(a.memory, other.memory),
		accelerators:      max(a.accelerators, other.accelerators),
		evictCores:        max(a.evictCores, other.evictCores),
		evictMemory:       max(a.evictMemory, other.evictMemory),
		evictAccelerators: max(a.evictAccelerators, other.evictAccelerators),
	}
}

// capacityTree is a segment tree that finds workers with enough free capacity without scanning all of them. A node
// holds the maximum of each resource in its subtree, so a search skips a subtree without enough capacity in one step.
// The maxima of two resources may come from different workers, so only leaves are exact.
type capacityTree struct {
	size  int
	nodes []availability
}

// set sets the availability of a slot and grows the tree if necessary.
func (t *capacityTree) set(slot int, a availability) {
	for slot >= t.size {
		t.grow()
	}
	i := t.size + slot
	t.nodes[i] = a
	for i /= 2; i >= 1; i /= 2 {
		t.nodes[i] = t.nodes[2*i].max(t.nodes[2*i+1])
	}
}

func (t *capacityTree) grow() {
	old := *t
	t.size = max(8, 2*old.size)
	t.nodes = make([]availability, 2*t.size)
	for i := range t.nodes {
		t.nodes[i] = unavailable
	}
	if old.size > 0 {
		copy(t.nodes[t.size:], old.nodes[old.size:])
	}
	for i := t.size - 1; i >= 1; i-- {
		t.nodes[i] = t.nodes[2*i].max(t.nodes[2*i+1])
	}
}

// next returns the first slot at or after from in which the demand fits, or -1 if there is none.
func (t *capacityTree) next(from int, d demand, evict bool) int {
	if t.size == 0 || from >= t.size {
		return -1
	}
	return t.search(1, 0, t.size, from, d, evict)
}

func (t *capacityTree) search(node, low, high, from int, d demand, evict bool) int {
	if high <= from || !t.nodes[node].fits(d, evict) {
		return -1
	}
	if high-low == 1 {
		return low
	}
	middle := (low + high) / 2
	if slot := t.search(2*node, low, middle, from, d, evict); slot >= 0 {
		return slot
	}
	return t.search(2*node+1, middle, high, from, d, evict)
}
