package jobkeeper

import (
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against the removal of jobs that callers wait for or whose attempts still run, and against a state that keeps traces
// of jobs that were removed.
func TestForget(t *testing.T) {
	fixture := newFixture(t)
	for _, id := range []scheduler.JobID{"done", "queued", "active", "stopping"} {
		fixture.submit(id, singleTask())
	}
	fixture.place("done", 0, 0)
	fixture.end("done", 0, 0, 1, scheduler.EndFinished, "")
	fixture.place("active", 0, 0)
	fixture.place("stopping", 0, 0)
	fixture.cancel("stopping")
	forget := Command{Forget: []scheduler.JobID{"done", "queued", "active", "stopping", "unknown"}}
	for range 2 {
		if got := fixture.apply(forget).Status; got != StatusDone {
			t.Errorf("got %s, want %s", got, StatusDone)
		}
	}
	want := map[scheduler.JobID]bool{"done": false, "queued": true, "active": true, "stopping": true}
	check := func(step string) {
		t.Helper()
		fixture.keeper.View(func(state *State) {
			for id, wantKnown := range want {
				if _, known := state.Job(id); known != wantKnown {
					t.Errorf("%s: job %s: got known %v, want %v", step, id, known, wantKnown)
				}
			}
		})
	}
	check("forgotten")
	fixture.restart()
	check("restored")
	fixture.end("stopping", 0, 0, 1, scheduler.EndStopped, "")
	fixture.apply(forget)
	want["stopping"] = false
	check("attempt ended")
	// A late copy of an end, and a submission with an id that is free again, work as for a new job.
	fixture.end("done", 0, 0, 1, scheduler.EndFinished, "")
	if got := fixture.submit("done", singleTask()).Status; got != StatusDone || fixture.state("done") != scheduler.WorkflowQueued {
		t.Errorf("got %s, state %s, want a new job", got, fixture.state("done"))
	}
}
