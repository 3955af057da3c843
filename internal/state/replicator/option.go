package replicator

import (
	"time"

	"github.com/rs/zerolog"
)

const (
	tickInterval      = 50 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	// minElectionTimeout is also the time for which a voter that has heard from a leader ignores
	// vote requests.
	minElectionTimeout = time.Second
	maxElectionTimeout = 2 * time.Second
	// silenceTimeout is after how long without a leader a voter that does not stand for election
	// does so. It leaves the others time for two elections.
	silenceTimeout = 2 * maxElectionTimeout
	// leaseDuration counts from the send time of a heartbeat round that a majority answered. With
	// clock rates that differ by 10%, 0.7 s × 1.1 is still less than 1 s × 0.9.
	leaseDuration = 700 * time.Millisecond
	// stallTimeout is how long the apply loop or the disk of a leader may make no progress while
	// entries wait.
	stallTimeout = time.Second
	// transferTimeout bounds the wait for the target of a leadership transfer.
	transferTimeout = time.Second
	// orphanTimeout bounds the wait for the fate of a proposal after its leader has stepped down.
	orphanTimeout = 5 * time.Second
	// leaderWait bounds the wait for a leader; it covers one lost election.
	leaderWait = 3 * time.Second
	// resendTimeout is how long an unanswered snapshot part or a full send window is waited for.
	resendTimeout = 300 * time.Millisecond

	inboxLength    = 4096
	proposalLength = 4096
	// maxUncommitted stops the leader from taking proposals while so many entries wait for a
	// majority, which bounds the memory that a slow majority costs.
	maxUncommitted  = 16384
	maxCommandBytes = 1 << 20
	maxMessageBytes = 256 << 10
	maxApplyBytes   = 1 << 20
	// A follower's send window.
	maxFlights     = 64
	maxFlightBytes = 4 << 20
	// snapshotPartBytes is the size of one part of a snapshot transfer.
	snapshotPartBytes = 64 << 10
)

type settings struct {
	logger           zerolog.Logger
	batchLimit       int
	snapshotInterval uint64
	// snapshotKeep is the number of entries kept behind a snapshot, so that a follower that is
	// slightly behind needs no snapshot.
	snapshotKeep int
	seed         uint64
	clockRate    float64
	// countSuspension is true when the time for which the VM is suspended counts.
	countSuspension bool
	hooks           hooks
}

// hooks change the behaviour in tests only. The mutations prove that the failure tests detect faults.
type hooks struct {
	// pause blocks the event loop, the way a frozen VM does.
	pause func()
	// electedLeader is called when the VM becomes leader.
	electedLeader func(identity string, term uint64)

	skipSync          bool
	countLearners     bool
	dropTermCheck     bool
	forgetVote        bool
	ignoreIncarnation bool
	ignoreHeardLeader bool
	longLease         bool
}

func defaultSettings() settings {
	return settings{
		logger: zerolog.Nop(), batchLimit: 1024, snapshotInterval: 10000, snapshotKeep: 2000, clockRate: 1,
	}
}

// Option changes a setting of a Replicator.
type Option func(settings *settings)

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger zerolog.Logger) Option {
	return func(settings *settings) { settings.logger = logger }
}

// WithSnapshotInterval sets the number of applied entries after which a snapshot is taken, 10,000 by
// default, and the number of entries kept behind it. A zero interval is ignored.
func WithSnapshotInterval(entries uint64, keep int) Option {
	return func(settings *settings) {
		if entries > 0 && keep >= 0 {
			settings.snapshotInterval, settings.snapshotKeep = entries, keep
		}
	}
}

// WithBatchLimit sets the largest number of proposals that one append and one sync cover, 1,024 by
// default. Values below 1 are ignored.
func WithBatchLimit(proposals int) Option {
	return func(settings *settings) {
		if proposals > 0 {
			settings.batchLimit = proposals
		}
	}
}

// WithSuspension counts the time for which the VM is suspended, so that a leader that wakes up knows that
// its lease has ended. The default is the runtime's clock, which tests can pause.
func WithSuspension() Option {
	return func(settings *settings) { settings.countSuspension = true }
}

func withSeed(seed uint64) Option { return func(settings *settings) { settings.seed = seed } }

func withClockRate(rate float64) Option {
	return func(settings *settings) { settings.clockRate = rate }
}

func withHooks(hooks hooks) Option { return func(settings *settings) { settings.hooks = hooks } }
