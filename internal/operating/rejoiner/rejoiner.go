// Package rejoiner keeps a replica in its group: it starts the replica and, when its disk has refused a write, opens
// the journal again and lets the replica rejoin.
package rejoiner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/operating/supervisor"
	"github.com/crocusplank/crocusplank/internal/state/journaler"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("rejoiner")

// Open opens a journal and returns it with the incarnation under which its folder was created.
type Open func() (scheduler.Journal, scheduler.Incarnation, error)

// Rejoiner keeps one replica in its group. It is safe for concurrent use.
type Rejoiner struct {
	replicator *replicator.Replicator
	open       Open
	logger     zerolog.Logger
	scope      tally.Scope
	// joining is true during an attempt to join or rejoin the group.
	joining atomic.Bool

	mutex   sync.Mutex
	journal scheduler.Journal
	// outSince is zero and reason nil while the replica takes part in its group.
	outSince time.Time
	reason   error
	failures failureSeries
}

// New returns a Rejoiner of a replica that has not started. journal is the journal of the replica. open opens it again;
// a folder that it creates must get a new incarnation.
func New(
	replicator *replicator.Replicator, journal scheduler.Journal, open Open, logger zerolog.Logger, scope tally.Scope,
) *Rejoiner {
	return &Rejoiner{
		replicator: replicator, journal: journal, open: open, outSince: time.Now(),
		logger: logger.With().Str("group", string(replicator.Name())).Logger(),
		scope:  scope.Tagged(map[string]string{"group": string(replicator.Name())}),
	}
}

// Run starts the replica, or lets it rejoin its group, and waits until it leaves the group. It is a supervisor.Part. If a
// call of the state machine, or the attempt to rejoin, does not return, the error is of class supervisor.Permanent.
func (rejoiner *Rejoiner) Run(ctx context.Context) error {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended, hangs := make(chan error, 1), make(chan error, 1)
	go func() { ended <- rejoiner.run(ctx) }()
	go func() {
		if err := rejoiner.awaitHang(watchCtx); err != nil {
			hangs <- err
		}
	}()
	select {
	case err := <-ended:
		return err
	case err := <-hangs:
		return err
	}
}

func (rejoiner *Rejoiner) run(ctx context.Context) error {
	rejoiner.joining.Store(true)
	err := rejoiner.join(ctx)
	rejoiner.joining.Store(false)
	if errors.Is(err, replicator.ErrClosed) {
		<-ctx.Done()
		return nil
	}
	if err != nil {
		return rejoiner.recordFailure(err)
	}
	rejoiner.recordJoined()
	select {
	case <-ctx.Done():
		return nil
	case <-rejoiner.replicator.Stopped():
	}
	if err := rejoiner.replicator.Err(); err != nil {
		return rejoiner.recordFailure(err)
	}
	<-ctx.Done() // The replicator was closed.
	return nil
}

func (rejoiner *Rejoiner) join(ctx context.Context) error {
	select {
	case <-rejoiner.replicator.Stopped():
		return Error.Wrap(rejoiner.replicator.Rejoin(ctx, rejoiner.reopen))
	default:
		return Error.Wrap(rejoiner.replicator.Start())
	}
}

func (rejoiner *Rejoiner) reopen() (scheduler.Journal, error) {
	journal, incarnation, err := rejoiner.open()
	if err != nil {
		return nil, err
	}
	if incarnation != rejoiner.replicator.Self().Incarnation {
		_ = journal.Close()
		return nil, replicator.ErrStateLost
	}
	rejoiner.mutex.Lock()
	defer rejoiner.mutex.Unlock()
	rejoiner.journal = journal
	return journal, nil
}

func (rejoiner *Rejoiner) recordFailure(err error) error {
	rejoiner.mutex.Lock()
	defer rejoiner.mutex.Unlock()
	if rejoiner.outSince.IsZero() {
		rejoiner.outSince = time.Now()
	}
	rejoiner.reason = err
	if isPermanent(err) || rejoiner.failures.addFailure(time.Now(), err) {
		return supervisor.Permanent.Wrap(err)
	}
	return err
}

func (rejoiner *Rejoiner) recordJoined() {
	rejoiner.mutex.Lock()
	defer rejoiner.mutex.Unlock()
	out := time.Since(rejoiner.outSince)
	if rejoiner.reason != nil {
		rejoiner.logger.Info().Str("event", "groupRejoined").Dur("outForMs", out).AnErr("cause", rejoiner.reason).
			Msg("the replica takes part in its group again")
		rejoiner.scope.Timer("time_out_of_group").Record(out)
		rejoiner.scope.Counter("group_rejoins").Inc(1)
	}
	rejoiner.outSince, rejoiner.reason = time.Time{}, nil
}

// Close closes the journal. The replicator must have been closed, and Run must have returned.
func (rejoiner *Rejoiner) Close() error {
	rejoiner.mutex.Lock()
	defer rejoiner.mutex.Unlock()
	return Error.Wrap(rejoiner.journal.Close())
}

// isPermanent reports whether a replica cannot rejoin in this process.
func isPermanent(err error) bool {
	for _, reason := range []error{
		journaler.ErrFolderMissing, journaler.ErrLocked, journaler.ErrOwnerMismatch, journaler.ErrNewerFormat,
		journaler.ErrDamaged, replicator.ErrStateLost,
	} {
		if errors.Is(err, reason) {
			return true
		}
	}
	return replicator.ErrStateMachine.Has(err)
}
