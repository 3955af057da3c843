package server

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/gen/state"
	"github.com/crocusplank/crocusplank/internal/state/journaler"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// singleTransport is the transport of the only VM of a group.
type singleTransport struct{}

func (singleTransport) Self() scheduler.VMName { return "couva-1" }

func (singleTransport) Send(scheduler.VMName, scheduler.GroupName, scheduler.MessageKind, []byte) {}

func (singleTransport) Call(context.Context, scheduler.VMName, scheduler.GroupName, scheduler.MessageKind, []byte) ([]byte, error) {
	return nil, scheduler.ErrNotRun.New("there is no other VM")
}

func (singleTransport) Handle(scheduler.GroupName, scheduler.MessageKind, scheduler.MessageHandler) {}

// emptyMachine is a state machine without a state.
type emptyMachine struct{ scheduler.StateMachine }

// startGroup starts the group of data centre couva on its only VM.
func startGroup(t *testing.T, journal scheduler.Journal) *replicator.Replicator {
	t.Helper()
	self := replicator.Member{VM: "couva-1", Incarnation: 1, Disk: true, StandsForElection: true}
	group, err := replicator.New("couva", self, []replicator.Member{self}, journal, singleTransport{}, emptyMachine{})
	if err != nil {
		t.Fatal(err)
	}
	if err := group.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	return group
}

// Guards against a VM that has left its group and shows operators the state of a member.
func TestOutageIsShown(t *testing.T) {
	tests := map[string]struct {
		failed    bool
		wantState string
	}{
		"member":  {false, promiseKept},
		"outside": {true, promiseAtRisk},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				journal := journaler.NewMemoryJournal()
				group := startGroup(t, journal)
				defer func() { _ = group.Close(t.Context()) }()
				if test.failed {
					if err := journal.Close(); err != nil {
						t.Fatal(err)
					}
					_, _ = group.Propose(t.Context(), []byte("command"))
					time.Sleep(30 * time.Second)
				}
				service := &stateService{New(Dependencies{
					VM: "couva-1", DataCentre: "couva", Groups: map[scheduler.GroupName]*replicator.Replicator{"couva": group},
					PeerConnections: func() map[string]bool { return nil }, Ready: func() (bool, string) { return !test.failed, "" },
				}, zerolog.Nop())}
				promise := service.durabilityPromise()
				if promise.State != test.wantState {
					t.Errorf("got promise %s (%s), want %s", promise.State, promise.Evidence, test.wantState)
				}
				if got := strings.Contains(promise.Evidence, "out of group couva for 30s"); got != test.failed {
					t.Errorf("got evidence %q, want an outage: %t", promise.Evidence, test.failed)
				}
				shown, err := service.VM(t.Context(), &state.VMPayload{})
				if err != nil {
					t.Fatal(err)
				}
				if got := shown.Groups[0].OutSeconds != nil && *shown.Groups[0].OutSeconds >= 30; got != test.failed {
					t.Errorf("got %v s out of the group, want an outage: %t", shown.Groups[0].OutSeconds, test.failed)
				}
			})
		})
	}
}
