package jobkeeper

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

func evacuate(dataCentre scheduler.DataCentreName, action scheduler.EvacuationAction, revision uint64) Command {
	return Command{Evacuate: &Evacuate{
		Evacuation: scheduler.Evacuation{DataCentre: dataCentre, Action: action}, Revision: revision,
		Accepted: time.Unix(9, 7).UTC(),
	}}
}

func (fixture *fixture) evacuation(dataCentre scheduler.DataCentreName) (evacuation Evacuation) {
	fixture.keeper.View(func(state *State) { evacuation = state.Evacuation(dataCentre) })
	return evacuation
}

func (fixture *fixture) snapshot() []byte {
	fixture.t.Helper()
	var stored bytes.Buffer
	if err := fixture.keeper.Snapshot(&stored); err != nil {
		fixture.t.Fatal(err)
	}
	return stored.Bytes()
}

// Guards against an evacuation that a late copy of an earlier request undoes, against a repeated request that is
// refused, and against one data centre that affects another.
func TestEvacuate(t *testing.T) {
	begin, end := scheduler.EvacuationBegin, scheduler.EvacuationEnd
	tests := map[string]struct {
		commands     []Command
		want         []Status
		wantActive   bool
		wantRevision uint64
	}{
		"begins": {[]Command{evacuate("a", begin, 0)}, []Status{StatusDone}, true, 1},
		"ends": {
			[]Command{evacuate("a", begin, 0), evacuate("a", end, 1)},
			[]Status{StatusDone, StatusDone},
			false, 2,
		},
		"a repeated request changes nothing": {
			[]Command{evacuate("a", begin, 0), evacuate("a", begin, 0)},
			[]Status{StatusDone, StatusUnchanged},
			true, 1,
		},
		"an end without a begin changes nothing": {[]Command{evacuate("a", end, 0)}, []Status{StatusUnchanged}, false, 0},
		"a late copy does not undo its opposite": {
			[]Command{evacuate("a", begin, 0), evacuate("a", end, 1), evacuate("a", begin, 0)},
			[]Status{StatusDone, StatusDone, StatusSuperseded},
			false, 2,
		},
		"a late end does not undo the next evacuation": {
			[]Command{evacuate("a", begin, 0), evacuate("a", end, 1), evacuate("a", begin, 2), evacuate("a", end, 1)},
			[]Status{StatusDone, StatusDone, StatusDone, StatusSuperseded},
			true, 3,
		},
		"other data centres are independent": {
			[]Command{evacuate("b", begin, 0), evacuate("a", begin, 0), evacuate("b", end, 1)},
			[]Status{StatusDone, StatusDone, StatusDone},
			true, 1,
		},
		"invalid requests have no effect": {
			[]Command{evacuate("", begin, 0), evacuate("a", "pause", 0), evacuate(longName, begin, 0)},
			[]Status{StatusInvalid, StatusInvalid, StatusInvalid},
			false, 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			for position, command := range test.commands {
				if got := fixture.apply(command).Status; got != test.want[position] {
					t.Errorf("command %d: got %s, want %s", position, got, test.want[position])
				}
			}
			if got := fixture.evacuation("a"); got.Active() != test.wantActive || got.Revision() != test.wantRevision {
				t.Errorf("got %+v, want active %v at revision %d", got, test.wantActive, test.wantRevision)
			}
		})
	}
}

var longName = scheduler.DataCentreName(strings.Repeat("a", 256))

// Guards against an evacuation that a snapshot loses, so that tasks start in the data centre after a restart.
func TestSnapshotKeepsEvacuations(t *testing.T) {
	original := newFixture(t)
	original.apply(evacuate("b", scheduler.EvacuationBegin, 0))
	original.apply(evacuate("a", scheduler.EvacuationBegin, 0))
	original.apply(evacuate("b", scheduler.EvacuationEnd, 1))
	restored := &fixture{t: t, keeper: New()}
	if err := restored.keeper.Restore(bytes.NewReader(original.snapshot())); err != nil {
		t.Fatal(err)
	}
	for _, dataCentre := range []scheduler.DataCentreName{"a", "b", "c"} {
		if got, want := restored.evacuation(dataCentre), original.evacuation(dataCentre); got != want {
			t.Errorf("%s: got %+v, want %+v", dataCentre, got, want)
		}
	}
	for _, command := range []Command{
		evacuate("b", scheduler.EvacuationBegin, 0), evacuate("a", scheduler.EvacuationEnd, 1),
	} {
		if got, want := restored.apply(command).Status, original.apply(command).Status; got != want {
			t.Errorf("after the snapshot: got %s, want %s", got, want)
		}
	}
	if !bytes.Equal(restored.snapshot(), original.snapshot()) {
		t.Error("got different snapshots of equal states, want equal ones")
	}
}

// Guards against a domain without evacuations whose snapshots an earlier build cannot read, and against a VM that cannot
// start because its snapshot has format version 2.
func TestSnapshotVersion2(t *testing.T) {
	original := newFixture(t)
	original.submit("j", scheduler.Step{Count: 2})
	original.apply(Command{SubmitWave: &SubmitWave{
		Wave: scheduler.Wave{Number: 3, VMs: []scheduler.VMName{"m"}, MaxConcurrent: 1}, Accepted: time.Unix(9, 7).UTC(),
	}})
	var version2 storedStateV2
	if err := encoder.Unmarshal(original.snapshot(), &version2); err != nil || version2.Format != 2 {
		t.Fatalf("got format %d, %v, want 2", version2.Format, err)
	}
	restored := &fixture{t: t, keeper: New()}
	if err := restored.keeper.Restore(bytes.NewReader(original.snapshot())); err != nil {
		t.Fatal(err)
	}
	restored.keeper.View(func(state *State) {
		if _, found := state.Wave(3); !found || state.ReadyCount() != 2 {
			t.Errorf("got wave %v and %d ready tasks, want the wave and 2", found, state.ReadyCount())
		}
	})
}
