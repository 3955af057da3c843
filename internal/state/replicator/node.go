package replicator

import (
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

// view is what other goroutines may see of a node. The event loop replaces it as a whole.
type view struct {
	status  scheduler.GroupStatus
	members []Member
	// settled is true when the newest membership is committed.
	settled bool
	// answering holds the members that the leader hears from, nil on other VMs.
	answering map[scheduler.VMName]bool
	// leaseUntil is zero while the node has no leader lease.
	leaseUntil time.Duration
}

// inbound is a decoded message from another VM.
type inbound struct {
	from    scheduler.VMName
	message any
	preVote bool
}

// node is the state of one VM in a group. One goroutine, the event loop, owns all fields but those
// of the first part.
type node struct {
	name      scheduler.GroupName
	transport scheduler.Transport
	settings  settings
	logger    zerolog.Logger
	clock     clock
	inbox     chan inbound
	proposals chan *call
	reads     chan *readCall
	changed   chan struct{}
	leave     chan struct{}
	left      chan struct{}
	stopped   chan struct{}
	stopOnce  sync.Once
	failure   atomic.Pointer[error]
	view      atomic.Pointer[view]
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
	// heardLeader is when a leader was last heard from, zero for never.
	heardLeader time.Duration
	votes       map[scheduler.VMName]bool
	// transferred is set while the candidacy was asked for by the leader.
	transferred bool
	// askedVotes is when votes were last asked for.
	askedVotes time.Duration
	// temporaryCandidateUntil is until when a voter that normally does not stand for election may do so.
	temporaryCandidateUntil time.Duration

	follower followerState
	leading  leaderState
	waiting  waiters
	syncing  syncer
	applying *applier
	snapshot snapshotState
	stall    stallWatch
	leaving  bool
}

func newNode(name scheduler.GroupName, self Member, journal scheduler.Journal,
	transport scheduler.Transport, machine scheduler.StateMachine, settings settings,
) *node {
	return &node{
		name: name, self: self, journal: journal, transport: transport, settings: settings,
		logger: settings.logger.With().Str("group", string(name)).Str("vm", string(self.VM)).Logger(),
		clock:  newClock(settings.clockRate, settings.countSuspension), random: newRandom(settings.seed),
		inbox: make(chan inbound, inboxLength), proposals: make(chan *call, proposalLength),
		reads: make(chan *readCall, proposalLength), changed: make(chan struct{}, 1),
		leave: make(chan struct{}, 1), left: make(chan struct{}), stopped: make(chan struct{}),
		log: newGroupLog(journal), role: roleFollower, waiting: newWaiters(),
		syncing: newSyncer(), applying: newApplier(machine),
	}
}

// load reads the journal and restores the state machine from the newest snapshot.
func (node *node) load(initial membership) error {
	hardState := node.journal.HardState()
	node.term, node.votedFor = hardState.Term, hardState.VotedFor
	base := indexedMembership{membership: initial}
	meta, reader, found, err := node.journal.OpenSnapshot()
	if err != nil {
		return Error.Wrap(err)
	}
	if found {
		defer func() { _ = reader.Close() }()
		if err := node.applying.machine.Restore(reader); err != nil {
			return Error.New("restore snapshot at %d: %v", meta.Index, err)
		}
		decoded, err := decodeMembership(meta.Membership)
		if err != nil {
			return err
		}
		base = indexedMembership{index: meta.Index, membership: decoded}
		node.commit, node.applied = meta.Index, meta.Index
		node.snapshot.index = meta.Index
	}
	if err := node.log.loadMemberships(base); err != nil {
		return err
	}
	node.applying.reached.Store(uint64(node.applied))
	node.setApplied(node.applied)
	node.publish()
	return nil
}

func (node *node) start() {
	now := node.clock.now()
	// A vote in the first second could break the lease of a leader that this VM answered just
	// before it restarted.
	node.heardLeader = now
	node.stall = newStallWatch(now)
	node.resetElectionDeadline(now)
	node.running.Add(3)
	go node.run()
	go node.runSyncer()
	go node.runApplier()
}

// stop ends the event loop and, without waiting, its helpers. A failure of nil means a planned stop.
func (node *node) stop(failure error) {
	node.stopOnce.Do(func() {
		if failure != nil {
			node.failure.Store(&failure)
			node.logger.Error().Str("event", "groupLeftAfterFailure").Err(failure).Msg("group left after failure")
		}
		last := *node.view.Load()
		last.leaseUntil = 0
		node.view.Store(&last)
		close(node.stopped)
	})
}

func (node *node) run() {
	defer node.running.Done()
	ticker := node.clock.newTicker(tickInterval)
	defer ticker.Stop()
	for {
		if err := node.handleNext(ticker.C); err != nil {
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

// handleNext waits for one event, handles it and starts what follows from it. An error ends the
// node's part in the group.
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
	case call := <-proposals:
		node.pause()
		err = node.handleProposals(call)
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
	case <-node.leave:
		node.leaving = true
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

// handleMessages handles first and what else has arrived, up to a limit that keeps ticks punctual.
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
	case *appendAnswer:
		return node.handleAppendAnswer(inbound.from, message)
	case *voteMessage:
		if inbound.preVote {
			node.handlePreVote(inbound.from, message)
			return nil
		}
		return node.handleVote(inbound.from, message)
	case *voteAnswer:
		return node.handleVoteAnswer(inbound.from, message, inbound.preVote)
	case *snapshotPart:
		return node.handleSnapshotPart(inbound.from, message)
	case *snapshotAnswer:
		return node.handleSnapshotAnswer(inbound.from, message)
	case *transferMessage:
		return node.handleTransfer(inbound.from, message)
	}
	return nil
}

func (node *node) handleTick() error {
	now := node.clock.now()
	node.waiting.expire(now)
	node.stall.observe(now, node.log, node.commit, scheduler.Index(node.applying.reached.Load()))
	if node.role == roleLeader {
		return node.tickLeader(now)
	}
	if node.leaving {
		node.finishLeaving()
		return nil
	}
	if now < node.electionDeadline {
		node.repeatVoteRequests(now)
		return nil
	}
	node.resetElectionDeadline(now)
	node.considerSilence(now)
	if !node.isCandidateAllowed(now) {
		node.role, node.leader = roleFollower, ""
		return nil
	}
	return node.startPreVote()
}

// advance starts the work that became possible and publishes the new state.
func (node *node) advance() error {
	if node.role == roleLeader {
		node.advanceCommit()
		node.broadcast(false)
		node.answerReads()
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
	node.view.Store(&view{
		status: status, members: current.Members, settled: current.index <= node.commit,
		leaseUntil: node.leaseUntil(), answering: node.answering(),
	})
	select {
	case node.changed <- struct{}{}:
	default:
	}
}

// answering returns the members that answer now, nil unless this VM leads.
func (node *node) answering() map[scheduler.VMName]bool {
	if node.role != roleLeader {
		return nil
	}
	now := node.clock.now()
	answering := map[scheduler.VMName]bool{node.self.VM: true}
	for vm, progress := range node.leading.peers {
		if progress.isAnswering(now) {
			answering[vm] = true
		}
	}
	return answering
}

// saveHardState stores term, vote and incarnation before they have any effect outside this VM.
func (node *node) saveHardState() error {
	return node.journal.SaveHardState(scheduler.HardState{
		Term: node.term, VotedFor: node.votedFor, Incarnation: node.self.Incarnation,
	})
}

// endLoop answers everything that still waits. A call that was never appended has surely not run.
func (node *node) endLoop() {
	node.waiting.failAll(unknown("group %s has stopped on %s", node.name, node.self.VM))
	for {
		select {
		case call := <-node.proposals:
			call.refuse("group %s has stopped on %s", node.name, node.self.VM)
		case read := <-node.reads:
			read.finish(0, Error.New("group %s has stopped on %s", node.name, node.self.VM))
		default:
			return
		}
	}
}
