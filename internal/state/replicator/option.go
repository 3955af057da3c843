package replicator

import (
	"time"

	"github.com/rs/zerolog"
)

const (
	tickInterval      = 50 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	// minElectionTimeout is also the time for which a voter ignores vote requests after its last contact
	// with a leader.
	minElectionTimeout = time.Second
	maxElectionTimeout = 2 * time.Second
	// leaderAbsenceTimeout is the time without a leader after which a voter that does not normally stand for
	// election does so. It leaves the other voters time for two elections.
	leaderAbsenceTimeout = 2 * maxElectionTimeout
	// leaseDuration counts from the send time of the newest heartbeat that a majority has acknowledged.
	// With clock rates that deviate by up to 10%, 0.7 s × 1.1 is still less than 1 s × 0.9, so the lease
	// ends before the voters grant a vote to another candidate.
	leaseDuration = 700 * time.Millisecond
	// stallTimeout is how long the apply loop or the disk of a leader may make no progress while
	// entries are pending.
	stallTimeout = time.Second
	// transferTimeout limits the wait for the target of a leadership transfer.
	transferTimeout = time.Second
	// uncommittedTimeout limits the wait for the outcome of a proposal after its leader has stepped down.
	uncommittedTimeout = 5 * time.Second
	// leaderWaitTimeout limits the wait for a leader. It is long enough for one failed election.
	leaderWaitTimeout = 3 * time.Second
	// resendTimeout is the time without a response after which a snapshot chunk is sent again or
	// replication restarts from the last acknowledged index.
	resendTimeout = 300 * time.Millisecond

	// repeatedLogInterval is the interval at which a failure that repeats after rejoins is logged as an error.
	repeatedLogInterval = 10 * time.Second

	inboxCapacity    = 4096
	proposalCapacity = 4096
	// maxUncommitted is the number of uncommitted entries above which the leader accepts no proposals.
	// It limits the memory that a slow majority causes the leader to use.
	maxUncommitted  = 16384
	maxCommandBytes = 1 << 20
	maxMessageBytes = 256 << 10
	maxApplyBytes   = 1 << 20
	// The send window of a follower.
	maxInflight      = 64
	maxInflightBytes = 4 << 20
	// snapshotChunkBytes is the size of one chunk of a snapshot transfer.
	snapshotChunkBytes = 64 << 10
)

type settings struct {
	logger           zerolog.Logger
	batchLimit       int
	snapshotInterval uint64
	// snapshotKeep is the number of entries retained before the index of a snapshot, so that a follower
	// that is slightly behind needs no snapshot.
	snapshotKeep int
	// snapshotBytes is the number of bytes of log after which a snapshot is taken, and snapshotKeepBytes the size of the
	// entries that are retained at most. 0 means no limit.
	snapshotBytes, snapshotKeepBytes int64
	seed                             uint64
	clockRate                        float64
	// countSuspension is true if the clock includes the time for which the VM is suspended.
	countSuspension bool
	// candidacy is state. It is kept here because it outlives a rejoin.
	candidacy *candidacy
	hooks     hooks
}

// hooks change the behaviour in tests only. The boolean hooks are mutations: each introduces a protocol
// fault that the failure tests must detect.
type hooks struct {
	// pause blocks the event loop, like a suspended VM.
	pause func()
	// electedLeader is called when the VM becomes the leader.
	electedLeader func(identity string, term uint64)

	skipSync            bool
	countLearners       bool
	dropTermCheck       bool
	forgetVote          bool
	ignoreIncarnation   bool
	ignoreLeaderContact bool
	longLease           bool
	keepLeadership      bool
}

func defaultSettings() settings {
	return settings{
		logger: zerolog.Nop(), batchLimit: 1024, snapshotInterval: 10000, snapshotKeep: 2000, clockRate: 1,
		candidacy: &candidacy{},
	}
}

// Option configures a Replicator.
type Option func(settings *settings)

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger zerolog.Logger) Option {
	return func(settings *settings) { settings.logger = logger }
}

// WithSnapshotInterval sets the number of applied entries after which a snapshot is taken, 10,000 by
// default, and the number of entries retained before the index of the snapshot, 2,000 by default. A zero
// interval or a negative keep is ignored.
func WithSnapshotInterval(entries uint64, keep int) Option {
	return func(settings *settings) {
		if entries > 0 && keep >= 0 {
			settings.snapshotInterval, settings.snapshotKeep = entries, keep
		}
	}
}

// WithLogLimit also makes a snapshot due after a number of bytes of log, and limits the size of the entries that are
// retained before the index of a snapshot. It has no effect on a journal that is not a scheduler.MeasuredJournal, except
// on the retained entries. A limit below 1 is ignored.
func WithLogLimit(bytes, keepBytes int64) Option {
	return func(settings *settings) {
		if bytes > 0 && keepBytes > 0 {
			settings.snapshotBytes, settings.snapshotKeepBytes = bytes, keepBytes
		}
	}
}

// WithBatchLimit sets the maximum number of proposals in one batch, which are appended and synced together,
// 1,024 by default. Values below 1 are ignored.
func WithBatchLimit(proposals int) Option {
	return func(settings *settings) {
		if proposals > 0 {
			settings.batchLimit = proposals
		}
	}
}

// WithSuspension makes the clock include the time for which the VM is suspended, so that a leader that
// resumes knows that its lease has expired. The default is the clock of the Go runtime, which tests can
// pause.
func WithSuspension() Option {
	return func(settings *settings) { settings.countSuspension = true }
}

func withSeed(seed uint64) Option { return func(settings *settings) { settings.seed = seed } }

func withClockRate(rate float64) Option {
	return func(settings *settings) { settings.clockRate = rate }
}

func withHooks(hooks hooks) Option { return func(settings *settings) { settings.hooks = hooks } }
