package dispatcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// cluster simulates a replicated group with one log, several VMs and one leader.
type cluster struct {
	mutex  sync.Mutex
	random *rand.Rand
	index  scheduler.Index
	term   scheduler.Term
	leader *node
	nodes  []*node
	// delayedProposals holds the proposals of isolated VMs. They are committed when the VM is connected again,
	// as can happen to a forwarded proposal.
	delayedProposals [][]byte
	// resultLossRate is the probability that the result of a committed proposal is lost.
	resultLossRate float64
	delay          time.Duration
	// unboundedLeaderLease is a mutation: the leader lease of an isolated leader never expires.
	unboundedLeaderLease bool
}

// node is one VM of the cluster. It implements scheduler.Group.
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
		return time.Now().Before(node.leaseUntil) || node.cluster.unboundedLeaderLease && !node.leaseUntil.IsZero()
	}
	return node.cluster.leader == node
}

func (node *node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	cluster := node.cluster
	time.Sleep(cluster.delay)
	cluster.mutex.Lock()
	if node.isolated {
		cluster.delayedProposals = append(cluster.delayedProposals, command)
		cluster.mutex.Unlock()
		<-ctx.Done()
		return nil, scheduler.ErrOutcomeUnknown.Wrap(ctx.Err())
	}
	defer cluster.mutex.Unlock()
	if cluster.leader == nil {
		return nil, scheduler.ErrNotRun.New("no leader")
	}
	result := cluster.commit(node, command)
	if cluster.random.Float64() < cluster.resultLossRate {
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

// isolate disconnects the leader. A new one is elected after the minimum election time-out.
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

// heal reconnects all VMs.
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
	for _, command := range cluster.delayedProposals {
		cluster.commit(nil, command)
	}
	cluster.delayedProposals = nil
}

// entryEngine returns the engine that a sync exchange reaches through a VM: the engine of the leader, or that of the
// VM itself if it is isolated or there is no leader.
func (cluster *cluster) entryEngine(number int) *Engine {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	node := cluster.nodes[number]
	if node.isolated || cluster.leader == nil {
		return node.engine
	}
	return cluster.leader.engine
}

func (cluster *cluster) leaderEngine() *Engine {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	if cluster.leader == nil {
		return cluster.nodes[0].engine
	}
	return cluster.leader.engine
}

// firstFitPlacer is a minimal first-fit placer. Urgent tasks may evict batch tasks.
type firstFitPlacer struct {
	names  []scheduler.WorkerName
	states map[scheduler.WorkerName]scheduler.WorkerState
	// ignoreCapacity makes the placer ignore the capacity of workers.
	ignoreCapacity bool
}

func newFirstFitPlacer() *firstFitPlacer {
	return &firstFitPlacer{states: map[scheduler.WorkerName]scheduler.WorkerState{}}
}

func (firstFitPlacer *firstFitPlacer) Update(state scheduler.WorkerState) {
	if _, ok := firstFitPlacer.states[state.Worker.Name]; !ok {
		firstFitPlacer.names = append(firstFitPlacer.names, state.Worker.Name)
		slices.Sort(firstFitPlacer.names)
	}
	firstFitPlacer.states[state.Worker.Name] = state
}

func (firstFitPlacer *firstFitPlacer) Remove(name scheduler.WorkerName) {
	delete(firstFitPlacer.states, name)
	firstFitPlacer.names = slices.DeleteFunc(firstFitPlacer.names, func(n scheduler.WorkerName) bool { return n == name })
}

func (firstFitPlacer *firstFitPlacer) Place(
	_ time.Time, pending []scheduler.PendingTask,
) (assignments []scheduler.Assignment, failures []scheduler.PlacementFailure) {
	for _, task := range pending {
		if assignment, ok := firstFitPlacer.find(task); ok {
			assignments = append(assignments, assignment)
		} else {
			failures = append(failures, scheduler.PlacementFailure{Task: task.Task, Reason: "no worker has room"})
		}
	}
	return assignments, failures
}

func (firstFitPlacer *firstFitPlacer) find(task scheduler.PendingTask) (scheduler.Assignment, bool) {
	for _, evicting := range []bool{false, true} {
		if evicting && !task.Urgent {
			break
		}
		for _, name := range firstFitPlacer.names {
			state := firstFitPlacer.states[name]
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
			if reserved.FitsIn(state.Worker.Capacity) || firstFitPlacer.ignoreCapacity {
				state.Reserved = state.Reserved.Plus(task.Spec.Request)
				firstFitPlacer.states[name] = state
				return scheduler.Assignment{Task: task.Task, Worker: name, Evict: victims}, true
			}
		}
	}
	return scheduler.Assignment{}, false
}
