package replicator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

type role string

const (
	roleFollower     role = "follower"
	rolePreCandidate role = "preCandidate"
	roleCandidate    role = "candidate"
	roleLeader       role = "leader"
)

// view is an immutable copy of the state of a node for other goroutines. The event loop replaces it.
type view struct {
	status  scheduler.GroupStatus
	members []Member
	// membershipCommitted is true if the newest membership is committed.
	membershipCommitted bool
	// responding holds the members that respond to the leader. It is nil on other VMs.
	responding map[scheduler.VMName]bool
	// leaseUntil is the end of the leader lease, or zero if the node has none.
	leaseUntil time.Duration
}

// withoutLeader returns the view of a VM that has left the group.
func (view view) withoutLeader() *view {
	status := view.status
	view.status = scheduler.NewGroupStatus(scheduler.GroupFollower, status.Term(), "", status.Commit(), status.Applied(),
		status.Voters())
	view.responding, view.leaseUntil = nil, 0
	return &view
}

// inbound is a decoded message from another VM.
type inbound struct {
	from    scheduler.VMName
	message any
	preVote bool
}

// node is the state of one VM in a group. The event loop, a single goroutine, owns all fields except those
// in the first block.
type node struct {
	name               scheduler.GroupName
	transport          scheduler.Transport
	settings           settings
	logger             zerolog.Logger
	clock              clock
	inbox              chan inbound
	proposals          chan *proposal
	reads              chan *readRequest
	changed            chan struct{}
	closeRequests      chan struct{}
	leadershipReleased chan struct{}
	stopped            chan struct{}
	joined             atomic.Bool
	stopOnce           sync.Once
	failure            atomic.Pointer[error]
	outage             atomic.Pointer[Outage]
	view               atomic.Pointer[view]
	// viewMutex makes the replacement of the view and the stop of the node exclude each other.
	viewMutex sync.Mutex
	running   sync.WaitGroup

	self             Member
	journal          scheduler.Journal
	log              *groupLog
	random           *rand.Rand
	term             scheduler.Term
	votedFor         string
	role             role
	leader           scheduler.VMName
	commit           scheduler.Index
	applied          scheduler.Index
	electionDeadline time.Duration
	// lastLeaderContact is the time of the last message from a leader, or zero if there was none.
	lastLeaderContact time.Duration
	votes             map[scheduler.VMName]bool
	// byTransfer is set if the leader requested the current election to transfer leadership.
	byTransfer bool
	// lastVoteRequest is the time when votes were last requested.
	lastVoteRequest time.Duration
	// temporaryCandidateUntil is the time until which a voter that normally does not stand for election
	// may do so.
	temporaryCandidateUntil time.Duration

	follower followerState
	leading  leaderState
	pending  pendingRequests
	syncing  syncer
	applying *applier
	snapshot snapshotState
	stall    stallDetector
	closing  bool
}

func newNode(name scheduler.GroupName, self Member, journal scheduler.Journal,
	transport scheduler.Transport, machine scheduler.StateMachine, settings settings,
) *node {
	return &node{
		name: name, self: self, journal: journal, transport: transport, settings: settings,
		logger: settings.logger.With().Str("group", string(name)).Str("vm", string(self.VM)).Logger(),
		clock:  newClock(settings.clockRate, settings.countSuspension), random: newRandom(settings.seed),
		inbox: make(chan inbound, inboxCapacity), proposals: make(chan *proposal, proposalCapacity),
		reads: make(chan *readRequest, proposalCapacity), changed: make(chan struct{}, 1),
		closeRequests: make(chan struct{}, 1), leadershipReleased: make(chan struct{}), stopped: make(chan struct{}),
		log: newGroupLog(journal), role: roleFollower, pending: newPendingRequests(),
		syncing: newSyncer(), applying: newApplier(machine),
	}
}

// load reads the journal. The state machine has applied the entries up to applied; it is restored from the newest
// snapshot if that contains more.
func (node *node) load(initial membership, applied scheduler.Index) error {
	hardState := node.journal.HardState()
	node.term, node.votedFor = hardState.Term, hardState.VotedFor
	node.applying.appliedIndex.Store(uint64(applied))
	base := indexedMembership{membership: initial}
	meta, reader, found, err := node.journal.OpenSnapshot()
	if err != nil {
		return Error.Wrap(err)
	}
	if found {
		defer func() { _ = reader.Close() }()
		if meta.Index > applied {
			if err := node.applying.machine.Restore(reader); err != nil {
				return Error.Wrap(ErrStateMachine.New("restore snapshot at %d: %w", meta.Index, err))
			}
			applied = meta.Index
			node.applying.appliedIndex.Store(uint64(applied))
		}
		decoded, err := decodeMembership(meta.Membership)
		if err != nil {
			return err
		}
		base = indexedMembership{index: meta.Index, membership: decoded}
		node.commit, node.snapshot.index = meta.Index, meta.Index
	}
	if err := node.log.loadMemberships(base); err != nil {
		return err
	}
	node.setApplied(applied)
	node.publish()
	return nil
}

// join stores the incarnation and starts the node. If the incarnation cannot be stored, the node stays stopped.
func (node *node) join() error {
	if err := node.saveHardState(); err != nil {
		err = Error.Wrap(err)
		node.recordFailure(err)
		node.stop(nil)
		return err
	}
	node.start()
	return nil
}

// isRunning reports whether this VM participates in the group. It is false before Start and after stopped is closed;
// the known leader is then not kept up to date.
func (node *node) isRunning() bool {
	select {
	case <-node.stopped:
		return false
	default:
		return node.joined.Load()
	}
}

// receive queues a message from another VM, or drops it if the node is not running or its inbox is full.
func (node *node) receive(message inbound) {
	if !node.isRunning() {
		return
	}
	select {
	case node.inbox <- message:
	default:
	}
}

// awaitEnd waits until the goroutines of a stopped node have ended.
func (node *node) awaitEnd(ctx context.Context) error {
	finished := make(chan struct{})
	go func() {
		node.running.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return Error.New("close group %s: %v", node.name, ctx.Err())
	}
}

func (node *node) start() {
	now := node.clock.now()
	// A vote within minElectionTimeout after the start could violate the lease of a leader to which this VM
	// responded just before it restarted.
	node.lastLeaderContact = now
	node.stall = newStallDetector(now)
	node.resetElectionDeadline(now)
	node.joined.Store(true)
	node.running.Add(3)
	go node.run()
	go node.runSyncer()
	go node.runApplier()
}

// stop stops the event loop and its helper goroutines without waiting for them. The failure is nil for a
// planned stop.
func (node *node) stop(failure error) {
	node.stopOnce.Do(func() {
		if failure != nil {
			node.recordFailure(failure)
			node.logFailure(failure)
		}
		node.viewMutex.Lock()
		defer node.viewMutex.Unlock()
		node.view.Store(node.view.Load().withoutLeader())
		close(node.stopped)
	})
}

// recordFailure records the first failure.
func (node *node) recordFailure(failure error) {
	node.failure.CompareAndSwap(nil, &failure)
	node.outage.CompareAndSwap(nil, &Outage{since: time.Now(), cause: failure})
}

// setView publishes a view unless the node has stopped. The last view of a stopped node must not name a leader.
func (node *node) setView(view *view) {
	node.viewMutex.Lock()
	defer node.viewMutex.Unlock()
	select {
	case <-node.stopped:
	default:
		node.view.Store(view)
	}
}

func (node *node) run() {
	defer node.running.Done()
	ticker := node.clock.newTicker(tickInterval)
	defer ticker.Stop()
	for {
		if err := node.handleNext(ticker.C); err != nil {
			node.transferAfterFailure()
			node.stop(err)
		}
		select {
		case <-node.stopped:
			node.endLoop()
			return
		default:
		}
	}
}

// handleNext waits for one event, handles it and starts the resulting work. After an error, the node no
// longer participates in the group.
func (node *node) handleNext(ticks <-chan time.Time) error {
	proposals := node.proposals
	if node.role == roleLeader && node.log.last-node.commit > maxUncommitted {
		proposals = nil
	}
	var err error
	select {
	case <-node.stopped:
		return nil
	case message := <-node.inbox:
		node.pause()
		err = node.handleMessages(message)
	case proposal := <-proposals:
		node.pause()
		err = node.handleProposals(proposal)
	case read := <-node.reads:
		node.handleRead(read)
	case result := <-node.syncing.results:
		node.pause()
		err = node.handleSynced(result)
	case done := <-node.applying.results:
		node.pause()
		err = node.handleApplied(done)
	case saved := <-node.snapshot.saved():
		err = node.handleSnapshotSaved(saved)
	case loaded := <-node.snapshot.loaded():
		node.handleSnapshotLoaded(loaded)
	case <-node.closeRequests:
		node.closing = true
	case <-ticks:
		node.pause()
		err = node.handleTick()
	}
	if err != nil {
		return err
	}
	return node.advance()
}

func (node *node) pause() {
	if node.settings.hooks.pause != nil {
		node.settings.hooks.pause()
	}
}

// handleMessages handles first and further queued messages, up to a limit so that ticks are not delayed.
func (node *node) handleMessages(first inbound) error {
	message := first
	for range 256 {
		if err := node.handleMessage(message); err != nil {
			return err
		}
		select {
		case message = <-node.inbox:
		default:
			return nil
		}
	}
	return node.handleMessage(message)
}

func (node *node) handleMessage(inbound inbound) error {
	switch message := inbound.message.(type) {
	case *appendMessage:
		return node.handleAppend(inbound.from, message)
	case *appendResponse:
		return node.handleAppendResponse(inbound.from, message)
	case *voteMessage:
		if inbound.preVote {
			node.handlePreVote(inbound.from, message)
			return nil
		}
		return node.handleVote(inbound.from, message)
	case *voteResponse:
		return node.handleVoteResponse(inbound.from, message, inbound.preVote)
	case *snapshotChunk:
		return node.handleSnapshotChunk(inbound.from, message)
	case *snapshotResponse:
		return node.handleSnapshotResponse(inbound.from, message)
	case *transferMessage:
		return node.handleTransfer(inbound.from, message)
	}
	return nil
}

func (node *node) handleTick() error {
	now := node.clock.now()
	node.pending.expire(now)
	node.stall.observe(now, node.log, node.commit, scheduler.Index(node.applying.appliedIndex.Load()))
	if node.role == roleLeader {
		return node.tickLeader(now)
	}
	if node.closing {
		node.signalLeadershipReleased()
		return nil
	}
	if now < node.electionDeadline {
		node.resendVoteRequests(now)
		return nil
	}
	node.resetElectionDeadline(now)
	node.checkLeaderAbsent(now)
	if !node.isCandidateAllowed(now) {
		node.role, node.leader = roleFollower, ""
		return nil
	}
	return node.startPreVote()
}

// advance starts the work that has become possible and publishes the new state.
func (node *node) advance() error {
	if node.role == roleLeader {
		node.advanceCommit()
		node.broadcast(false)
		node.completeReads()
	}
	node.startSync()
	if err := node.startApply(); err != nil {
		return err
	}
	node.publish()
	return nil
}

func (node *node) publish() {
	role := scheduler.GroupFollower
	current := node.log.membership()
	switch {
	case node.role == roleLeader:
		role = scheduler.GroupLeader
	case node.role != roleFollower:
		role = scheduler.GroupCandidate
	case !current.isVoter(node.self.VM, node.self.Incarnation):
		role = scheduler.GroupLearner
	}
	status := scheduler.NewGroupStatus(role, node.term, node.leader, node.commit, node.applied,
		current.voterNames())
	node.setView(&view{
		status: status, members: current.Members, membershipCommitted: current.index <= node.commit,
		leaseUntil: node.leaseUntil(), responding: node.responding(),
	})
	select {
	case node.changed <- struct{}{}:
	default:
	}
}

// responding returns the members that currently respond, or nil if this VM is not the leader.
func (node *node) responding() map[scheduler.VMName]bool {
	if node.role != roleLeader {
		return nil
	}
	now := node.clock.now()
	responding := map[scheduler.VMName]bool{node.self.VM: true}
	for vm, progress := range node.leading.peers {
		if progress.isResponding(now) {
			responding[vm] = true
		}
	}
	return responding
}

// saveHardState stores the term, the vote and the incarnation. They must be stored before they have any
// effect outside this VM.
func (node *node) saveHardState() error {
	return node.journal.SaveHardState(scheduler.HardState{
		Term: node.term, VotedFor: node.votedFor, Incarnation: node.self.Incarnation,
	})
}

// endLoop completes all pending requests with an error. A proposal that was never appended is known not to
// have run.
func (node *node) endLoop() {
	node.pending.failAll(unknown("group %s has stopped on %s", node.name, node.self.VM))
	for {
		select {
		case proposal := <-node.proposals:
			proposal.reject("group %s has stopped on %s", node.name, node.self.VM)
		case read := <-node.reads:
			read.finish(0, Error.New("group %s has stopped on %s", node.name, node.self.VM))
		default:
			return
		}
	}
}
