package governor

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/dispatcher"
	"github.com/crocusplank/crocusplank/internal/trials/emulator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// changes are the runs of the tests that must hold through a change of the leader.
var changes = map[string]bool{"one leader": false, "the leader changes": true}

// stream submits short jobs for a time.
func (system *system) stream(t *testing.T, from, count int) {
	t.Helper()
	for i := range count {
		system.submit(t, scheduler.JobID(fmt.Sprintf("short-%d", from+i)), "patterns", "short", 5, 4000)
		time.Sleep(6 * time.Second)
	}
}

// executed counts the attempts that a worker has started.
func (system *system) executed(name scheduler.WorkerName) int {
	return len(system.workers[name].Executions())
}

// awaitQuarantine submits short jobs until a worker is quarantined and what it was told is over.
func (system *system) awaitQuarantine(t *testing.T, from int) {
	t.Helper()
	for i := range 20 {
		system.stream(t, from+i, 1)
		if system.leading().governor.Figures().Quarantined == 1 {
			time.Sleep(3 * time.Second)
			return
		}
	}
	t.Fatal("got no quarantined worker within 20 jobs, want 1")
}

// Guards against a worker that fails everything and keeps getting work, and against one that has been
// repaired and never returns.
func TestBrokenWorkerIsQuarantinedProbedAndReturned(t *testing.T) {
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			try(t, "a b c d e", nil, func(t *testing.T, system *system) {
				system.start("a b c d e")
				system.workers["c"].SetFaults(emulator.Faults{FailStarts: true})
				system.awaitQuarantine(t, 0)
				if change {
					system.elect()
					system.awaitQuarantine(t, 100)
				}
				before := system.executed("c")
				system.stream(t, 200, 5)
				if got := system.executed("c"); got != before {
					t.Errorf("got %d attempts on the quarantined worker, want %d", got, before)
				}
				// Failed probes lengthen the quarantine.
				system.stream(t, 300, 40)
				probes := system.executed("c") - before
				if probes == 0 || probes > 20 {
					t.Errorf("got %d probes in 4 minutes, want some but few", probes)
				}
				system.workers["c"].SetFaults(emulator.Faults{})
				system.stream(t, 400, 200)
				if got := system.leading().governor.Figures().Quarantined; got != 0 {
					t.Errorf("got %d quarantined workers after the repair, want none", got)
				}
				if got := system.executed("c") - before - probes; got < 20 {
					t.Errorf("got %d attempts on the repaired worker, want it to take its part", got)
				}
			})
		})
	}
}

// Guards against workers that are blamed for jobs that fail everywhere, and against such jobs without
// a recorded reason.
func TestBrokenJobIsNotBlamedOnWorkers(t *testing.T) {
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			try(t, "a b c d e", nil, func(t *testing.T, system *system) {
				system.start("a b c d e")
				for _, worker := range system.workers {
					worker.SetFaults(emulator.Faults{FailKind: "broken"})
				}
				for i := range 2 {
					system.submit(t, scheduler.JobID(fmt.Sprintf("broken-%d", i)), "patterns", "broken", 3, 1000)
				}
				for i := range 100 {
					if change && i == 20 {
						system.elect()
					}
					system.stream(t, i, 1)
					if got := system.leading().governor.Figures().Quarantined; got != 0 {
						t.Fatalf("got %d quarantined workers, want none", got)
					}
				}
				for i := range 2 {
					job := scheduler.JobID(fmt.Sprintf("broken-%d", i))
					if got, want := system.history(job), "that run other jobs, and never succeeded"; !strings.Contains(got, want) {
						t.Errorf("%s: got reasons %q, want %q among them", job, got, want)
					}
				}
			})
		})
	}
}

// Guards against a team that takes more than its quota although it may not borrow or another team
// waits, and against waits that do not name the quota.
func TestTeamBeyondQuotaWaits(t *testing.T) {
	quota := scheduler.Resources{MilliCores: 8000, MemoryBytes: 8 << 30}
	for name, test := range map[string]struct {
		mayBorrow bool
		change    bool
		want      int
	}{
		"may not borrow":                     {false, false, 2},
		"may not borrow, the leader changes": {false, true, 2},
		"may borrow":                         {true, false, 3},
		"may borrow, the leader changes":     {true, true, 3},
	} {
		t.Run(name, func(t *testing.T) {
			teams := []scheduler.Team{{Name: "greedy", Quota: quota, MayBorrow: test.mayBorrow}, {Name: "modest", Quota: quota}}
			try(t, "a b", teams, func(t *testing.T, system *system) {
				// With both workers from the start, one step could place more than the quota.
				first, second := "a b", ""
				if test.mayBorrow {
					first, second = "a", "b"
				}
				system.start(first)
				system.submit(t, "greedy", "greedy", "quiet", 6, 4000)
				time.Sleep(20 * time.Second)
				system.submit(t, "modest", "modest", "quiet", 1, 4000)
				if test.change {
					system.elect()
				}
				system.start(second)
				time.Sleep(20 * time.Second)
				if got := system.running("modest"); got != 1 {
					t.Errorf("got %d running tasks of the team within quota, want 1", got)
				}
				if got := system.running("greedy"); got != test.want {
					t.Errorf("got %d running tasks of the team beyond quota, want %d", got, test.want)
				}
				if got := system.history("greedy"); !strings.Contains(got, "team greedy would be beyond quota") {
					t.Errorf("got reasons %q, want the quota among them", got)
				}
				if !test.mayBorrow {
					return
				}
				system.submit(t, "more", "modest", "quiet", 1, 4000)
				time.Sleep(3 * time.Minute)
				if got := system.running("greedy"); got != test.want {
					t.Errorf("got %d running tasks of the borrowing team before one ended, want %d, since nothing is evicted to give back", got, test.want)
				}
				system.endOne(t, "greedy")
				time.Sleep(20 * time.Second)
				if got := system.running("more"); got != 1 {
					t.Errorf("got %d running tasks of the team within quota after borrowed room came free, want 1", got)
				}
				if got, want := system.running("greedy"), test.want-1; got != want {
					t.Errorf("got %d running tasks of the borrowing team after one ended, want %d", got, want)
				}
			})
		})
	}
}

// endOne evicts one running task of a job, which then waits again with the others of its job.
func (system *system) endOne(t *testing.T, job scheduler.JobID) {
	t.Helper()
	for _, task := range system.tasks(job) {
		if task.State == dispatcher.TaskRunning {
			if err := system.leading().engine.Evict(t.Context(), task.Task, "test"); err != nil {
				t.Fatal(err)
			}
			return
		}
	}
	t.Fatalf("job %s has no running task", job)
}

// Guards against urgent work that starts after more than 9 s, and against an urgent task of a team
// beyond its quota that evicts the work of others.
func TestUrgentWorkWithinQuota(t *testing.T) {
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			quota := scheduler.Resources{MilliCores: 16000, MemoryBytes: 16 << 30}
			teams := []scheduler.Team{{Name: "patterns", Quota: quota}, {Name: "sizing", Quota: quota}, {Name: "none"}}
			try(t, "a b", teams, func(t *testing.T, system *system) {
				system.start("a b")
				system.submit(t, "long", "patterns", "quiet", 4, 4000)
				time.Sleep(20 * time.Second)
				if change {
					system.elect()
					time.Sleep(2 * time.Second)
				}
				system.submit(t, "urgent-none", "none", "desk", 1, 4000)
				time.Sleep(10 * time.Second)
				if got := system.tasks("urgent-none")[0]; got.State != dispatcher.TaskPending {
					t.Errorf("got %+v, want it to wait", got)
				}
				submitted := time.Now()
				system.submit(t, "urgent", "sizing", "desk", 1, 4000)
				time.Sleep(30 * time.Second)
				var started time.Time
				for _, worker := range system.workers {
					for _, execution := range worker.Executions() {
						if strings.HasPrefix(string(execution.Task), "urgent/") {
							started = execution.FirstEffect
						}
					}
				}
				if took := started.Sub(submitted); started.IsZero() || took > 9*time.Second {
					t.Errorf("got a start after %s, want at most 9s", took)
				}
			})
		})
	}
}
