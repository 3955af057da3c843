package composer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/operating/supervisor"
	"github.com/crocusplank/crocusplank/internal/requests/deduplicator"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// lateGroup rejects proposals until the replica has joined its group.
type lateGroup struct {
	joined  time.Time
	machine *deduplicator.Machine
	applied int
}

func (lateGroup *lateGroup) Propose(_ context.Context, command []byte) ([]byte, error) {
	if time.Now().Before(lateGroup.joined) {
		return nil, replicator.Error.Wrap(scheduler.ErrNotRun.New("the group is not running on this VM"))
	}
	lateGroup.applied++
	return lateGroup.machine.Apply(scheduler.Index(lateGroup.applied), command), nil
}

// Guards against requests of an earlier start that stay in progress until their deadlines, because the gateway started
// before the replica of its VM had joined the group.
func TestKeysAreSettledAfterReplicaJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &lateGroup{joined: time.Now().Add(2 * time.Second), machine: deduplicator.NewMachine()}
		keys := deduplicator.NewStore(scheduler.Gateway{VM: "couva-1", DataCentre: "couva"}, 2,
			func() []scheduler.DataCentreName { return []scheduler.DataCentreName{"couva"} },
			func(scheduler.DataCentreName) deduplicator.Proposer { return group })
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		supervisor.New().Run(ctx, "keys", (&gatewayRole{keys: keys}).settleKeys)
		if got, want := group.applied, 1; got != want {
			t.Errorf("registrations: got %d, want %d", got, want)
		}
	})
}
