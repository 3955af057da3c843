package replicator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const testGroup scheduler.GroupName = "couva"

// fakeMachine is a state machine that records the commands that it applies.
type fakeMachine struct {
	mutex sync.Mutex
	// applied holds "index:command" for every applied command, and padding data that makes snapshots
	// larger.
	applied []string
	padding []byte
	// restores is the number of restored snapshots.
	restores int
	// hang blocks Apply until it is closed.
	hang chan struct{}
	// term is the term that was observed last, or zero after a restore. unobserved counts the commands that were applied
	// without one.
	term       scheduler.Term
	unobserved int
}

// ObserveTerm implements scheduler.TermObserver.
func (machine *fakeMachine) ObserveTerm(term scheduler.Term) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	machine.term = term
}

// observed returns the term that was observed last and the number of commands that were applied without one.
func (machine *fakeMachine) observed() (term scheduler.Term, unobserved int) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	return machine.term, machine.unobserved
}

func (machine *fakeMachine) Apply(index scheduler.Index, command []byte) []byte {
	machine.mutex.Lock()
	hang := machine.hang
	machine.mutex.Unlock()
	if hang != nil {
		<-hang
	}
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if machine.term == 0 {
		machine.unobserved++
	}
	result := fmt.Sprintf("%d:%s", index, command)
	machine.applied = append(machine.applied, result)
	return []byte(result)
}

func (machine *fakeMachine) Snapshot(w io.Writer) error {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	return cbor.NewEncoder(w).Encode([]any{machine.applied, machine.padding})
}

func (machine *fakeMachine) Restore(r io.Reader) error {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	var state struct {
		_       struct{} `cbor:",toarray"`
		Applied []string
		Padding []byte
	}
	err := cbor.NewDecoder(r).Decode(&state)
	machine.applied, machine.padding = state.Applied, state.Padding
	machine.restores++
	machine.term = 0
	return err
}

func (machine *fakeMachine) list() []string {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	return slices.Clone(machine.applied)
}

// fakeVM is one VM of a fakeCluster.
type fakeVM struct {
	member     Member
	journal    *fakeJournal
	transport  *fakeTransport
	machine    *fakeMachine
	replicator *Replicator
	running    bool
	// clockRate is the rate of the VM's clock. While the VM is suspended, its event loop waits until the channel
	// in suspended is closed.
	clockRate float64
	suspended atomic.Pointer[chan struct{}]
}

// fakeCluster is a group of fake VMs.
type fakeCluster struct {
	t       *testing.T
	network *fakeNetwork
	initial []Member
	vms     map[scheduler.VMName]*fakeVM
	options []Option
	hooks   hooks
	// incarnations is the last incarnation that was assigned.
	incarnations scheduler.Incarnation
}

func disk(vm scheduler.VMName) Member {
	return Member{VM: vm, Incarnation: 1, Disk: true, StandsForElection: true}
}

// threeVoters returns the members of a data centre's group: two local VMs, of which one has a disk, and a
// remote VM with a disk that does not stand for election.
func threeVoters() []Member {
	return []Member{disk("a"), {VM: "b", StandsForElection: true}, {VM: "r", Incarnation: 1, Disk: true}}
}

func newCluster(t *testing.T, seed uint64, initial []Member, options ...Option) *fakeCluster {
	cluster := &fakeCluster{
		t: t, network: newFakeNetwork(seed, time.Millisecond), initial: initial, options: options,
		vms: map[scheduler.VMName]*fakeVM{}, incarnations: 1,
	}
	for _, member := range initial {
		cluster.add(member)
	}
	return cluster
}

func (cluster *fakeCluster) add(member Member) *fakeVM {
	vm := &fakeVM{member: member, journal: &fakeJournal{faults: &diskFaults{}}, clockRate: 1}
	cluster.vms[member.VM] = vm
	return vm
}

// start starts or restarts a VM. It assigns a new incarnation if none is stored.
func (cluster *fakeCluster) start(name scheduler.VMName) *fakeVM {
	cluster.t.Helper()
	vm := cluster.vms[name]
	if vm.member.Incarnation == 0 {
		cluster.incarnations++
		vm.member.Incarnation = cluster.incarnations
	}
	vm.machine, vm.transport = &fakeMachine{}, cluster.network.connect(name)
	hooks := cluster.hooks
	hooks.pause = func() {
		if suspended := vm.suspended.Load(); suspended != nil {
			<-*suspended
		}
	}
	options := append(slices.Clone(cluster.options), withHooks(hooks), withClockRate(vm.clockRate),
		withSeed(uint64(name[len(name)-1])*1000+uint64(cluster.incarnations)))
	replicator, err := New(testGroup, vm.member, cluster.initial, vm.journal, vm.transport, vm.machine, options...)
	if err != nil {
		cluster.t.Fatalf("New on %s: %v", name, err)
	}
	cluster.network.attach(vm.transport)
	// A VM whose disk refuses to store the incarnation starts out of its group and rejoins it later.
	if err := replicator.Start(); err != nil && !errors.Is(err, errRefused) {
		cluster.t.Fatalf("Start on %s: %v", name, err)
	}
	vm.replicator, vm.running = replicator, true
	return vm
}

func (cluster *fakeCluster) startAll() {
	for _, member := range cluster.initial {
		cluster.start(member.VM)
	}
}

func (vm *fakeVM) suspend() {
	suspended := make(chan struct{})
	vm.suspended.CompareAndSwap(nil, &suspended)
}

func (vm *fakeVM) resume() {
	if suspended := vm.suspended.Swap(nil); suspended != nil {
		close(*suspended)
	}
}

// halt stops a VM without a transfer of leadership.
func (vm *fakeVM) halt() {
	vm.replicator.closing.Lock()
	defer vm.replicator.closing.Unlock()
	vm.replicator.closed = true
	vm.replicator.node().stop(nil)
}

// rejoin makes a VM whose journal has failed rejoin its group with the journal that is read back from its disk.
func (cluster *fakeCluster) rejoin(vm *fakeVM, trustsPages bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), tickInterval/5)
	defer cancel()
	return vm.replicator.Rejoin(ctx, func() (scheduler.Journal, error) {
		cluster.network.mutex.Lock()
		defer cluster.network.mutex.Unlock()
		journal, err := vm.journal.reopen(cluster.network.random, trustsPages)
		if err != nil {
			return nil, err
		}
		vm.journal = journal
		return journal, nil
	})
}

// rejoinFailed makes every VM rejoin that has left the group after a failure and whose disk permits it.
func (cluster *fakeCluster) rejoinFailed() {
	for _, vm := range cluster.vms {
		if vm.running && vm.replicator.Err() != nil {
			_ = cluster.rejoin(vm, false)
		}
	}
}

// crash stops a VM abruptly. A VM without a disk, or whose disk is lost, loses its state.
func (cluster *fakeCluster) crash(name scheduler.VMName, loseDisk bool) {
	vm := cluster.vms[name]
	vm.transport.disconnect()
	vm.halt()
	vm.resume()
	cluster.network.mutex.Lock()
	vm.journal, vm.running = vm.journal.crash(cluster.network.random), false
	cluster.network.mutex.Unlock()
	if !vm.member.Disk || loseDisk {
		vm.journal = &fakeJournal{syncDelay: vm.journal.syncDelay, faults: vm.journal.faults}
		vm.member.Incarnation = 0
	}
}

func (cluster *fakeCluster) stop() {
	for _, vm := range cluster.vms {
		if vm.running {
			vm.transport.disconnect()
			vm.halt()
			vm.resume()
		}
	}
	close(cluster.network.closed)
}

// leader returns the VM that holds the leader lease, waiting up to 10 s.
func (cluster *fakeCluster) leader() scheduler.VMName {
	cluster.t.Helper()
	for range 200 {
		for name, vm := range cluster.vms {
			if vm.running && vm.replicator.HoldsLeaderLease() {
				return name
			}
		}
		time.Sleep(tickInterval)
	}
	cluster.t.Fatalf("no leader within 10 s")
	return ""
}

// eventually waits up to 10 s for a condition.
func (cluster *fakeCluster) eventually(what string, condition func() bool) {
	cluster.t.Helper()
	for range 200 {
		if condition() {
			return
		}
		time.Sleep(tickInterval)
	}
	for name, vm := range cluster.vms {
		cluster.t.Logf("%s running=%v %+v members %+v", name, vm.running, vm.replicator.Status(), vm.replicator.Members())
	}
	cluster.t.Fatalf("not within 10 s: %s", what)
}

func (cluster *fakeCluster) propose(name scheduler.VMName, command string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return cluster.vms[name].replicator.Propose(ctx, []byte(command))
}

func (cluster *fakeCluster) mustPropose(name scheduler.VMName, command string) string {
	cluster.t.Helper()
	result, err := cluster.propose(name, command)
	if err != nil {
		cluster.t.Fatalf("Propose %s on %s: %v", command, name, err)
	}
	return string(result)
}

// isVoter reports whether the VM itself knows that its current incarnation is a voter, and knows a leader.
func (cluster *fakeCluster) isVoter(name scheduler.VMName) bool {
	vm := cluster.vms[name]
	current := membership{Members: vm.replicator.Members()}
	return current.isVoter(name, vm.member.Incarnation) && vm.replicator.Status().Leader() != ""
}

// inBubble runs a test in a synctest bubble with fake time. Afterwards it waits until the goroutines of the
// stopped cluster have ended.
func inBubble(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(10 * time.Second)
		run(t)
	})
}

// otherVM returns the first of the initial members that is not name.
func (cluster *fakeCluster) otherVM(name scheduler.VMName) scheduler.VMName {
	for _, member := range cluster.initial {
		if member.VM != name {
			return member.VM
		}
	}
	cluster.t.Fatalf("%s is the only member", name)
	return ""
}

// failJournal fails the journal of a VM and waits until the VM has left its group.
func (cluster *fakeCluster) failJournal(name scheduler.VMName) *fakeVM {
	cluster.t.Helper()
	vm := cluster.vms[name]
	vm.journal.set(func() { vm.journal.failed = true })
	for start := time.Now(); vm.replicator.Err() == nil; time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			cluster.t.Fatalf("%s is still in its group 10 s after its journal failed", name)
		}
		for _, other := range cluster.vms {
			node := other.replicator.node()
			node.proposals <- newProposal(proposeMessage{Command: []byte("fails")})
		}
	}
	return vm
}

// haveAllApplied reports whether all VMs have applied the command with the given result.
func (cluster *fakeCluster) haveAllApplied(result string) bool {
	for _, vm := range cluster.vms {
		if !slices.Contains(vm.machine.list(), result) {
			return false
		}
	}
	return true
}

// set changes a state machine that is in use.
func (machine *fakeMachine) set(change func()) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	change()
}
