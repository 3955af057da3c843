// Package replicator implements the Raft consensus algorithm. It replicates a log of commands from an
// elected leader to a group of VMs and applies it to a state machine. See Ongaro and Ousterhout, "In Search
// of an Understandable Consensus Algorithm" (2014). Extensions are pre-vote, check-quorum, a leader lease,
// learners, voters that do not stand for election, and voter identities that include an incarnation.
package replicator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("replicator")

var _ scheduler.Group = (*Replicator)(nil)

// ErrStateMachine means that the state machine could not read or write a snapshot. Its state is then unknown, and the
// replica cannot rejoin its group in this process.
var ErrStateMachine = errs.Class("state machine")

// Replicator is one VM's replica of a group. It is safe for concurrent use.
type Replicator struct {
	// current is the participation of this VM in the group. Rejoin replaces it.
	current atomic.Pointer[node]
	initial membership
	// rejoining serialises calls of Rejoin; closing guards closed and the replacement of the current node.
	rejoining sync.Mutex
	closing   sync.Mutex
	closed    bool
}

// New returns a Replicator that is not started. It registers its handlers with transport and therefore must
// be called before the transport starts.
//
// members is the initial membership. It is used only as long as neither the log nor a snapshot contains a
// membership, and must then be the same on all VMs. A voter without a disk is listed with incarnation 0,
// which never votes. The leader readmits the running incarnation once it has caught up.
//
// The incarnation in the journal's hard state takes precedence over that of self. The incarnation of self
// must be new whenever the journal is empty although the group already exists. The caller must close the
// journal after Close has returned.
func New(name scheduler.GroupName, self Member, members []Member, journal scheduler.Journal,
	transport scheduler.Transport, machine scheduler.StateMachine, options ...Option,
) (*Replicator, error) {
	settings := defaultSettings()
	for _, option := range options {
		option(&settings)
	}
	if self.VM != transport.Self() {
		return nil, Error.New("self is %s but the local VM of the transport is %s", self.VM, transport.Self())
	}
	if stored := journal.HardState().Incarnation; stored != 0 {
		self.Incarnation = stored
	}
	if self.Incarnation == 0 {
		return nil, Error.New("VM %s has no incarnation", self.VM)
	}
	initial := newMembership(members)
	if err := initial.validate(); err != nil {
		return nil, err
	}
	node := newNode(name, self, journal, transport, machine, settings)
	if err := node.load(initial, 0); err != nil {
		return nil, err
	}
	replicator := &Replicator{initial: initial}
	replicator.current.Store(node)
	replicator.registerHandlers()
	return replicator, nil
}

// node returns the current node. It changes when this VM rejoins the group.
func (replicator *Replicator) node() *node { return replicator.current.Load() }

// Start joins the group. It returns an error if the incarnation cannot be stored; Rejoin then tries again with
// another journal. It returns ErrClosed after Close.
func (replicator *Replicator) Start() error {
	if replicator.isClosed() {
		return ErrClosed
	}
	node := replicator.node()
	if err := node.join(); err != nil {
		return err
	}
	// Close may have been called while the disk was written.
	return replicator.startUnlessClosed(node)
}

// startUnlessClosed makes node the current node and starts it.
func (replicator *Replicator) startUnlessClosed(node *node) error {
	replicator.closing.Lock()
	defer replicator.closing.Unlock()
	if replicator.closed {
		return ErrClosed
	}
	replicator.current.Store(node)
	node.start()
	return nil
}

// Close transfers leadership if this VM is the leader, and then stops participating in the group. It returns
// an error if ctx ends before the running journal and state machine calls have returned.
func (replicator *Replicator) Close(ctx context.Context) error {
	replicator.closing.Lock()
	replicator.closed = true
	node := replicator.node()
	replicator.closing.Unlock()
	if node.isRunning() && node.requestClose() {
		select {
		case <-node.leadershipReleased:
		case <-node.stopped:
		case <-ctx.Done():
		}
	}
	node.stop(nil)
	return node.awaitEnd(ctx)
}

// TransferLeadership asks another voter to lead if this VM is the leader. It does not wait for the election, and has no
// effect while no other voter responds.
func (replicator *Replicator) TransferLeadership() { replicator.node().requestTransfer() }

// Name returns the name of the group.
func (replicator *Replicator) Name() scheduler.GroupName { return replicator.node().name }

// Status returns the current status of this VM in the group.
func (replicator *Replicator) Status() scheduler.GroupStatus {
	return replicator.node().view.Load().status
}

// Members returns the members of the newest membership that this VM knows, committed or not.
func (replicator *Replicator) Members() []Member {
	return append([]Member(nil), replicator.node().view.Load().members...)
}

// RespondingMembers returns the members that respond to the leader. It is nil on a VM that is not the leader.
func (replicator *Replicator) RespondingMembers() map[scheduler.VMName]bool {
	return replicator.node().view.Load().responding
}

// Self returns this VM's identity in the group.
func (replicator *Replicator) Self() Member { return replicator.node().self }

// HoldsLeaderLease reports whether this VM is the leader, its leader lease is currently valid, and its state
// machine has applied every entry of earlier leaders.
func (replicator *Replicator) HoldsLeaderLease() bool {
	node := replicator.node()
	view := node.view.Load()
	return view.leaseUntil > 0 && node.clock.now() < view.leaseUntil
}

// Stopped returns a channel that is closed when this VM stops participating in the group, after a failure or by
// Close. Err tells the two apart. After Rejoin, Stopped returns another channel.
func (replicator *Replicator) Stopped() <-chan struct{} { return replicator.node().stopped }

// Err returns the failure because of which this VM does not participate in the group, or nil if there was none.
func (replicator *Replicator) Err() error {
	if failure := replicator.node().failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

func notRun(format string, arguments ...any) error {
	return Error.Wrap(scheduler.ErrNotRun.New(format, arguments...))
}

func unknown(format string, arguments ...any) error {
	return Error.Wrap(scheduler.ErrOutcomeUnknown.New(format, arguments...))
}

func newRandom(seed uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, seed))
}
