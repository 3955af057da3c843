package placer

// room is what a worker, or a group of workers, has free. The evict fields count what would be free
// if every task that may be evicted were.
type room struct {
	cores, memory, accelerators                int64
	evictCores, evictMemory, evictAccelerators int64
}

// none is the room of a slot without a usable worker: nothing fits, not even an empty request.
var none = room{
	cores: -1, memory: -1, accelerators: -1,
	evictCores: -1, evictMemory: -1, evictAccelerators: -1,
}

// fits reports whether a need fits, after evictions if evict is true.
func (r room) fits(n need, evict bool) bool {
	if evict {
		return n.cores <= r.evictCores && n.memory <= r.evictMemory && n.accelerators <= r.evictAccelerators
	}
	return n.cores <= r.cores && n.memory <= r.memory && n.accelerators <= r.accelerators
}

func (r room) max(other room) room {
	return room{
		cores:             max(r.cores, other.cores),
		memory:            max(r.memory, other.memory),
		accelerators:      max(r.accelerators, other.accelerators),
		evictCores:        max(r.evictCores, other.evictCores),
		evictMemory:       max(r.evictMemory, other.evictMemory),
		evictAccelerators: max(r.evictAccelerators, other.evictAccelerators),
	}
}

// tree finds workers with enough room without reading all of them. It is a segment tree: a node
// holds the largest room below it in each resource, so a subtree without room is passed over in one
// step. The largest values of two resources may come from different workers; leaves are exact.
type tree struct {
	size  int
	nodes []room
}

// set changes the room of a slot and grows the tree if needed.
func (t *tree) set(slot int, r room) {
	for slot >= t.size {
		t.grow()
	}
	i := t.size + slot
	t.nodes[i] = r
	for i /= 2; i >= 1; i /= 2 {
		t.nodes[i] = t.nodes[2*i].max(t.nodes[2*i+1])
	}
}

func (t *tree) grow() {
	old := *t
	t.size = max(8, 2*old.size)
	t.nodes = make([]room, 2*t.size)
	for i := range t.nodes {
		t.nodes[i] = none
	}
	if old.size > 0 {
		copy(t.nodes[t.size:], old.nodes[old.size:])
	}
	for i := t.size - 1; i >= 1; i-- {
		t.nodes[i] = t.nodes[2*i].max(t.nodes[2*i+1])
	}
}

// next returns the first slot at or after from where the need fits, -1 when there is none.
func (t *tree) next(from int, n need, evict bool) int {
	if t.size == 0 || from >= t.size {
		return -1
	}
	return t.search(1, 0, t.size, from, n, evict)
}

func (t *tree) search(node, low, high, from int, n need, evict bool) int {
	if high <= from || !t.nodes[node].fits(n, evict) {
		return -1
	}
	if high-low == 1 {
		return low
	}
	middle := (low + high) / 2
	if slot := t.search(2*node, low, middle, from, n, evict); slot >= 0 {
		return slot
	}
	return t.search(2*node+1, middle, high, from, n, evict)
}
