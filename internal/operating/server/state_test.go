package server

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/state/journaler"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fullJournal is a journal that refuses entries.
type fullJournal struct{ scheduler.Journal }

func (fullJournal) Append([]scheduler.Entry) error {
	return scheduler.ErrJournalFailed.New("no space left on device")
}

// loneTransport is the transport of a group with one member.
type loneTransport struct{ scheduler.Transport }

func (loneTransport) Self() scheduler.VMName { return "a" }

func (loneTransport) Handle(scheduler.GroupName, scheduler.MessageKind, scheduler.MessageHandler) {}

// idleMachine is a state machine without a state.
type idleMachine struct{}

func (idleMachine) Apply(scheduler.Index, []byte) []byte { return nil }

func (idleMachine) Snapshot(io.Writer) error { return nil }

func (idleMachine) Restore(io.Reader) error { return nil }

// Guards against a status that hides that the VM has left a group, or shows it as the leader of the group.
func TestStatusOfVMOutOfItsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		member := replicator.Member{VM: "a", Incarnation: 1, Disk: true, StandsForElection: true}
		journal := fullJournal{Journal: journaler.NewMemoryJournal()}
		group, err := replicator.New("couva", member, []replicator.Member{member}, journal, loneTransport{}, idleMachine{})
		if err != nil {
			t.Fatal(err)
		}
		if got := groupState("couva", group).OutReason; got != nil {
			t.Errorf("before the start: got %q, want no reason", *got)
		}
		if err := group.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		shown := groupState("couva", group)
		if shown.OutReason == nil || !strings.Contains(*shown.OutReason, "no space left") {
			t.Errorf("reason: got %v, want one that names the full disk", shown.OutReason)
		}
		if shown.Leader != nil || shown.HoldsLeaderLease {
			t.Errorf("leader: got %v, lease %v, want none", shown.Leader, shown.HoldsLeaderLease)
		}
	})
}
