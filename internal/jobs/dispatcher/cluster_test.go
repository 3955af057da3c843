package dispatcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// cluster is a stand-in for the replicated group: one log, several VMs, one leader.
type cluster struct {
	mutex  sync.Mutex
	random *rand.Rand
	index  scheduler.Index
	term   scheduler.Term
	leader *node
	nodes  []*node
	// late holds what an isolated VM proposed; it commits when the VM is connected again, as a
	// forwarded proposal can.
	late [][]byte
	// loseResults is the chance that a committed proposal's result is lost.
	loseResults float64
	delay       time.Duration
	// endlessLease is a mutation: an isolated leader goes on.
	endlessLease bool
}

// node is one VM of the cluster and its group.
type node struct {
	scheduler.Group
	cluster  *cluster
	name     scheduler.VMName
	machine  scheduler.StateMachine
	engine   *Engine
	missed   [][]byte
	isolated bool
	// leaseUntil bounds the leader lease of an isolated or replaced leader.
	leaseUntil time.Time
	term       scheduler.Term
}

// leaderLease is the leader lease of section 5 of the design page.
const leaderLease = 700 * time.Millisecond

func newCluster(seed uint64, names ...scheduler.VMName) *cluster {
	cluster := &cluster{random: rand.New(rand.NewPCG(seed, 7)), term: 1, delay: 3 * time.Millisecond}
	for _, name := range names {
		cluster.nodes = append(cluster.nodes, &node{cluster: cluster, name: name, term: 1})
	}
	cluster.leader = cluster.nodes[0]
	return cluster
}

func (node *node) Name() scheduler.GroupName { return "couva" }

func (node *node) ReadBarrier(context.Context) error { return nil }

func (node *node) Status() scheduler.GroupStatus {
	node.cluster.mutex.Lock()
	defer node.cluster.mutex.Unlock()
	return scheduler.NewGroupStatus(scheduler.GroupLeader, node.term, "", 0, 0, nil)
}

func (node *node) HoldsLeaderLease() bool {
	node.cluster.mutex.Lock()
	defer node.cluster.mutex.Unlock()
	if node.isolated {
		return time.Now().Before(node.leaseUntil) || node.cluster.endlessLease && !node.leaseUntil.IsZero()
	}
	return node.cluster.leader == node
}

func (node *node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	cluster := node.cluster
	time.Sleep(cluster.delay)
	cluster.mutex.Lock()
	if node.isolated {
		cluster.late = append(cluster.late, command)
		cluster.mutex.Unlock()
		<-ctx.Done()
		return nil, scheduler.ErrOutcomeUnknown.Wrap(ctx.Err())
	}
	defer cluster.mutex.Unlock()
	if cluster.leader == nil {
		return nil, scheduler.ErrNotRun.New("no leader")
	}
	result := cluster.commit(node, command)
	if cluster.random.Float64() < cluster.loseResults {
		return nil, scheduler.ErrOutcomeUnknown.New("result lost")
	}
	return result, nil
}

func (cluster *cluster) commit(proposer *node, command []byte) (result []byte) {
	cluster.index++
	for _, node := range cluster.nodes {
		if node.isolated {
			node.missed = append(node.missed, command)
			continue
		}
		applied := node.machine.Apply(cluster.index, command)
		if node == proposer {
			result = applied
		}
	}
	return result
}

// isolate cuts the leader off. A new one is elected after the minimum election time-out.
func (cluster *cluster) isolate() {
	cluster.mutex.Lock()
	old := cluster.leader
	old.isolated, old.leaseUntil = true, time.Now().Add(leaderLease)
	cluster.leader = nil
	cluster.mutex.Unlock()
	time.Sleep(1100 * time.Millisecond)
	cluster.elect()
}

// elect makes another connected VM the leader of the next term.
func (cluster *cluster) elect() {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.term++
	var candidates []*node
	for _, node := range cluster.nodes {
		if !node.isolated {
			node.term = cluster.term
			if node != cluster.leader {
				candidates = append(candidates, node)
			}
		}
	}
	cluster.leader = candidates[cluster.random.IntN(len(candidates))]
}

// heal connects all VMs again.
func (cluster *cluster) heal() {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, node := range cluster.nodes {
		node.isolated, node.term = false, cluster.term
		for _, command := range node.missed {
			node.machine.Apply(cluster.index, command)
		}
		node.missed = nil
	}
	for _, command := range cluster.late {
		cluster.commit(nil, command)
	}
	cluster.late = nil
}

// entry returns the engine that an exchange reaches through a VM: the leader's, or that of an isolated
// VM itself.
func (cluster *cluster) entry(number int) *Engine {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	node := cluster.nodes[number]
	if node.isolated || cluster.leader == nil {
		return node.engine
	}
	return cluster.leader.engine
}

func (cluster *cluster) leading() *Engine {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	if cluster.leader == nil {
		return cluster.nodes[0].engine
	}
	return cluster.leader.engine
}

// firstFit is a small placer. Important tasks may evict batch tasks.
type firstFit struct {
	names  []scheduler.WorkerName
	states map[scheduler.WorkerName]scheduler.WorkerState
	// careless makes it ignore the capacity.
	careless bool
}

func newFirstFit() *firstFit {
	return &firstFit{states: map[scheduler.WorkerName]scheduler.WorkerState{}}
}

func (firstFit *firstFit) Update(state scheduler.WorkerState) {
	if _, ok := firstFit.states[state.Worker.Name]; !ok {
		firstFit.names = append(firstFit.names, state.Worker.Name)
		slices.Sort(firstFit.names)
	}
	firstFit.states[state.Worker.Name] = state
}

func (firstFit *firstFit) Remove(name scheduler.WorkerName) {
	delete(firstFit.states, name)
	firstFit.names = slices.DeleteFunc(firstFit.names, func(n scheduler.WorkerName) bool { return n == name })
}

func (firstFit *firstFit) Place(_ time.Time, pending []scheduler.PendingTask) (assignments []scheduler.Assignment, refusals []scheduler.PlacementFailure) {
	for _, task := range pending {
		if assignment, ok := firstFit.find(task); ok {
			assignments = append(assignments, assignment)
		} else {
			refusals = append(refusals, scheduler.PlacementFailure{Task: task.Task, Reason: "no worker has room"})
		}
	}
	return assignments, refusals
}

func (firstFit *firstFit) find(task scheduler.PendingTask) (scheduler.Assignment, bool) {
	for _, evicting := range []bool{false, true} {
		if evicting && !task.Urgent {
			break
		}
		for _, name := range firstFit.names {
			state := firstFit.states[name]
			if !state.Schedulable || slices.Contains(task.AvoidWorkers, name) {
				continue
			}
			reserved := state.Reserved.Plus(task.Spec.Request)
			var victims []scheduler.TaskID
			for i := 0; evicting && !reserved.FitsIn(state.Worker.Capacity) && i < len(state.Tasks); i++ {
				if state.Tasks[i].Spec.Class == scheduler.ClassBatch {
					victims = append(victims, state.Tasks[i].Task)
					reserved = reserved.Minus(state.Tasks[i].Spec.Request)
				}
			}
			if reserved.FitsIn(state.Worker.Capacity) || firstFit.careless {
				state.Reserved = state.Reserved.Plus(task.Spec.Request)
				firstFit.states[name] = state
				return scheduler.Assignment{Task: task.Task, Worker: name, Evict: victims}, true
			}
		}
	}
	return scheduler.Assignment{}, false
}
