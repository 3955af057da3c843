package jobkeeper

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

func (fixture *fixture) withdraw(id scheduler.JobID, requested time.Time) Status {
	return fixture.apply(Command{Withdraw: &Withdraw{Job: id, Requested: requested}}).Status
}

// Guards against a job that starts although it was cancelled before its submission was accepted, also after a snapshot.
func TestWithdrawnJobs(t *testing.T) {
	requested := time.Unix(1_000_000, 7).UTC()
	tests := map[string]struct {
		commands func(fixture *fixture)
		want     scheduler.WorkflowState
	}{
		"withdrawn": {func(fixture *fixture) { fixture.withdraw("j", requested) }, scheduler.WorkflowCancelled},
		"withdrawn twice": {func(fixture *fixture) {
			fixture.withdraw("j", requested)
			fixture.withdraw("j", requested.Add(time.Second))
		}, scheduler.WorkflowCancelled},
		"other job": {func(fixture *fixture) { fixture.withdraw("k", requested) }, scheduler.WorkflowQueued},
		"just within the retention": {func(fixture *fixture) {
			fixture.withdraw("j", requested)
			fixture.withdraw("k", requested.Add(withdrawalRetention))
		}, scheduler.WorkflowCancelled},
		"after the retention": {func(fixture *fixture) {
			fixture.withdraw("j", requested)
			fixture.withdraw("k", requested.Add(withdrawalRetention+1))
		}, scheduler.WorkflowQueued},
		"as many as are kept": {func(fixture *fixture) {
			fixture.withdraw("j", requested)
			fixture.withdrawMany(maxWithdrawals-1, requested)
		}, scheduler.WorkflowCancelled},
		"more than are kept": {func(fixture *fixture) {
			fixture.withdraw("j", requested)
			fixture.withdrawMany(maxWithdrawals, requested)
		}, scheduler.WorkflowQueued},
		"submitted in between": {func(fixture *fixture) {
			fixture.submit("j", singleTask())
			fixture.withdraw("j", requested)
		}, scheduler.WorkflowCancelled},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			original := newFixture(t)
			test.commands(original)
			restored := &fixture{t: t, keeper: New()}
			if err := restored.keeper.Restore(bytes.NewReader(original.snapshot())); err != nil {
				t.Fatal(err)
			}
			for _, fixture := range []*fixture{original, restored} {
				for range 2 {
					if got := fixture.submit("j", singleTask()).Status; got != StatusDone {
						t.Errorf("got %s for the submission, want %s", got, StatusDone)
					}
				}
				if got := fixture.state("j"); got != test.want {
					t.Errorf("got job state %s, want %s", got, test.want)
				}
				if got, want := fixture.ready() > 0, test.want == scheduler.WorkflowQueued; got != want {
					t.Errorf("got ready tasks %v, want %v", got, want)
				}
			}
			if !bytes.Equal(restored.snapshot(), original.snapshot()) {
				t.Error("got different snapshots of equal states, want equal ones")
			}
		})
	}
}

func (fixture *fixture) withdrawMany(count int, requested time.Time) {
	for number := range count {
		fixture.withdraw(scheduler.JobID(fmt.Sprintf("other%d", number)), requested)
	}
}

// Guards against a job that the callers see although nobody has submitted it, and against one counted as waiting.
func TestWithdrawnJobIsUnknown(t *testing.T) {
	fixture := newFixture(t)
	if got := fixture.withdraw("j", time.Unix(9, 0)); got != StatusUnknownJob {
		t.Errorf("got %s, want %s", got, StatusUnknownJob)
	}
	fixture.keeper.View(func(state *State) {
		if _, found := state.Job("j"); found {
			t.Error("got a job, want none")
		}
	})
	fixture.submit("j", singleTask())
	fixture.keeper.View(func(state *State) {
		if got := state.Queued(&configuration(1).Queues[0]); got != 0 {
			t.Errorf("got %d waiting jobs, want 0", got)
		}
	})
}

// Guards against a VM that cannot start because its snapshot has format version 3, and against a domain without
// withdrawals whose snapshots an earlier build cannot read.
func TestSnapshotVersion3(t *testing.T) {
	original := newFixture(t)
	original.submit("j", scheduler.Step{Count: 2})
	original.apply(evacuate("a", scheduler.EvacuationBegin, 0))
	var version3 storedStateV3
	if err := encoder.Unmarshal(original.snapshot(), &version3); err != nil || version3.Format != 3 {
		t.Fatalf("got format %d, %v, want 3", version3.Format, err)
	}
	restored := &fixture{t: t, keeper: New()}
	if err := restored.keeper.Restore(bytes.NewReader(original.snapshot())); err != nil {
		t.Fatal(err)
	}
	if got, want := restored.evacuation("a"), original.evacuation("a"); got != want || restored.ready() != 2 {
		t.Errorf("got %+v and %d ready tasks, want %+v and 2", got, restored.ready(), want)
	}
}
