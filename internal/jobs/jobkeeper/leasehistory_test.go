package jobkeeper

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/jobs/leaserecorder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// recordOf returns a command that records the lease of testWorker, or none if remaining is zero.
func recordOf(term scheduler.Term, sequence uint64, remaining time.Duration) Command {
	record := &leaserecorder.Record{Term: term, Sequence: sequence}
	if remaining > 0 {
		record.Bounds = []leaserecorder.Bound{{Worker: testWorker, Instance: 7, Remaining: remaining}}
	}
	return Command{RecordLeases: record}
}

// remaining returns the remaining time of the lease of testWorker for the leader of a term, or -1 if none is recorded.
func (fixture *fixture) remaining(leader scheduler.Term) time.Duration {
	recorded := time.Duration(-1)
	fixture.keeper.View(func(state *State) {
		state.VisitLeaseBounds(leader, func(_ *leaserecorder.Bound, remaining time.Duration) { recorded = remaining })
	})
	return recorded
}

// Guards against a recorded lease that is trusted although another leader may have extended it since, and against one that is
// not trusted by the next leader.
func TestRecordedLeasesHoldForTheNextLeaderOnly(t *testing.T) {
	const recorded, elapsed, leader = 8 * time.Second, 2 * time.Second, scheduler.Term(10)
	tests := map[string]struct {
		apply func(fixture *fixture)
		want  time.Duration
	}{
		"next leader, some terms later": {func(*fixture) {}, recorded - elapsed},
		"another leader in between":     {func(fixture *fixture) { fixture.keeper.ObserveTerm(4) }, -1},
		"another leader that records": {func(fixture *fixture) {
			fixture.keeper.ObserveTerm(4)
			fixture.apply(recordOf(4, 1, 5*time.Second))
		}, 5 * time.Second},
		"later record without the worker": {func(fixture *fixture) { fixture.apply(recordOf(3, 2, 0)) }, -1},
		"older record of the term":        {func(fixture *fixture) { fixture.apply(recordOf(3, 1, time.Second)) }, recorded - elapsed},
		"record of a former leader":       {func(fixture *fixture) { fixture.apply(recordOf(2, 5, time.Second)) }, recorded - elapsed},
		"restart":                         {func(fixture *fixture) { fixture.copyTo(fixture) }, recorded},
		"restart after another leader": {func(fixture *fixture) {
			fixture.keeper.ObserveTerm(4)
			fixture.copyTo(fixture)
		}, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(t)
				fixture.keeper.ObserveTerm(3)
				if got, want := fixture.apply(recordOf(3, 1, recorded)).Status, StatusDone; got != want {
					t.Errorf("got status %q, want %q", got, want)
				}
				time.Sleep(elapsed)
				test.apply(fixture)
				fixture.keeper.ObserveTerm(leader)
				if got := fixture.remaining(leader); got != test.want {
					t.Errorf("got %v for the leader of term %d, want %v", got, leader, test.want)
				}
			})
		})
	}
}

// Guards against a domain of two builds, with and without records of leases, in which one cannot read what the other has written,
// or a state that lacks a record holds an older one.
func TestRecordedLeasesAmongBuilds(t *testing.T) {
	original := newFixture(t)
	original.keeper.ObserveTerm(3)
	command := recordOf(3, 1, 8*time.Second)
	original.apply(command)
	data, err := command.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var former formerCommand
	if err := encoder.Unmarshal(data, &former); err != nil || former.Place != nil {
		t.Errorf("command in the former build: got %v, %v, want no effect", former.Place, err)
	}
	snapshot := original.copyTo(&fixture{t: t, keeper: New()})
	var stored formerState
	if err := encoder.Unmarshal(snapshot, &stored); err != nil {
		t.Fatalf("snapshot in the former build: got %v, want no error", err)
	}
	formerSnapshot, err := encoder.Marshal(stored)
	if err != nil {
		t.Fatal(err)
	}
	restored := &fixture{t: t, keeper: New()}
	if err := restored.keeper.Restore(bytes.NewReader(formerSnapshot)); err != nil {
		t.Fatalf("snapshot of the former build: got %v, want no error", err)
	}
	restored.keeper.ObserveTerm(3)
	if got, want := restored.apply(command).Status, StatusSuperseded; got != want {
		t.Errorf("record after a snapshot of the former build: got status %q, want %q", got, want)
	}
	restored.keeper.ObserveTerm(4)
	if got, want := restored.apply(recordOf(4, 1, time.Second)).Status, StatusDone; got != want {
		t.Errorf("record of the next term: got status %q, want %q", got, want)
	}
}
