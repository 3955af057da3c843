package rejoiner

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/stallmeter"
	"github.com/crocusplank/crocusplank/internal/operating/supervisor"
)

const (
	// stateMachineLimit is how long one call of the state machine may take. The longest ones write or read a snapshot, which
	// takes a few seconds on a busy VM.
	stateMachineLimit = 15 * time.Second
	// rejoinLimit is how long one attempt to rejoin may take. The attempt reads the journal. The limit is longer than the
	// stall of a disk.
	rejoinLimit = 15 * time.Second
	// watchInterval is how often the calls are observed.
	watchInterval = 500 * time.Millisecond
)

// ErrStateMachineHangs means that a call of the state machine does not return. The replica cannot apply what is committed, and
// after a failure of its journal it cannot rejoin its group, because two nodes must not call the state machine at once.
var ErrStateMachineHangs = Error.New("a call of the state machine does not return")

// ErrRejoinHangs means that an attempt to rejoin the group does not end. While it lasts, nobody else can try.
var ErrRejoinHangs = Error.New("an attempt to rejoin the group does not end")

// awaitHang returns the error when a call of the state machine, or an attempt to rejoin, does not end in time. Otherwise it
// returns nil when ctx ends.
func (rejoiner *Rejoiner) awaitHang(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	stateMachine, rejoin := stallmeter.New(watchInterval), stallmeter.New(watchInterval)
	started, previous := time.Now(), uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		finished, running := rejoiner.replicator.StateMachineCalls()
		progress := !running || finished != previous
		previous = finished
		if stateMachine.Observe(time.Since(started), progress) >= stateMachineLimit {
			return supervisor.Permanent.Wrap(ErrStateMachineHangs)
		}
		if rejoin.Observe(time.Since(started), !rejoiner.joining.Load()) >= rejoinLimit {
			return supervisor.Permanent.Wrap(ErrRejoinHangs)
		}
	}
}
