package replicator

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/basics/suppressor"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

type role string

const (
	roleFollower     role = "follower"
	rolePreCandidate role = "preCandidate"
	roleCandidate    role = "candidate"
	roleLeader       role = "leader"
)

// inbound is a decoded message from another VM.
type inbound struct {
	from    scheduler.VMName
	message any
	preVote bool
}

// loggedFailure is the last failure that was logged as an error.
type loggedFailure struct {
	text string
	at   time.Time
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
	transferRequests   chan struct{}
	leadershipReleased chan struct{}
	stopped            chan struct{}
	// joined is set by start and stays true after stopped is closed.
	joined   atomic.Bool
	stopOnce sync.Once
	failure  atomic.Pointer[error]
	outage   atomic.Pointer[Outage]
	view     atomic.Pointer[view]
	// viewMutex makes the replacement of the view and the stop of the node exclude each other.
	viewMutex sync.Mutex
	logged    loggedFailure
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
		closeRequests: make(chan struct{}, 1), transferRequests: make(chan struct{}, 1), leadershipReleased: make(chan struct{}), stopped: make(chan struct{}),
		log: newGroupLog(journal), role: roleFollower, pending: newPendingRequests(),
		syncing: newSyncer(), applying: newApplier(machine),
		snapshot: snapshotState{refusals: suppressor.New(refusalLogInterval)},
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
	case <-node.transferRequests:
		node.transferOnRequest()
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

// saveHardState stores the term, the vote and the incarnation. They must be stored before they have any
// effect outside this VM.
func (node *node) saveHardState() error {
	return node.journal.SaveHardState(scheduler.HardState{
		Term: node.term, VotedFor: node.votedFor, Incarnation: node.self.Incarnation,
	})
}
