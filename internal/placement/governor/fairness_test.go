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

// leaderChanges holds the variants of tests that run with and without a change of leader.
var leaderChanges = map[string]bool{"one leader": false, "the leader changes": true}

// submitShortJobs submits count jobs of five short tasks each, one job every 6 s.
func (cluster *cluster) submitShortJobs(t *testing.T, from, count int) {
	t.Helper()
	for i := range count {
		cluster.submit(t, scheduler.JobID(fmt.Sprintf("short-%d", from+i)), "patterns", "short", 5, 4000)
		time.Sleep(6 * time.Second)
	}
}

// attempts returns the number of attempts that a worker has started.
func (cluster *cluster) attempts(name scheduler.WorkerName) int {
	return len(cluster.workers[name].Executions())
}

// awaitQuarantine submits short jobs until a worker is quarantined and the attempts assigned to it before have ended.
func (cluster *cluster) awaitQuarantine(t *testing.T, from int) {
	t.Helper()
	for i := range 20 {
		cluster.submitShortJobs(t, from+i, 1)
		if cluster.currentLeader().governor.Stats().Quarantined == 1 {
			time.Sleep(3 * time.Second)
			return
		}
	}
	t.Fatal("got no quarantined worker within 20 jobs, want 1")
}

// Guards against a worker that continues to get tasks although all its attempts fail, and against a worker that stays
// quarantined after it has been repaired.
func TestBrokenWorkerIsQuarantinedProbedAndReturned(t *testing.T) {
	for name, change := range leaderChanges {
		t.Run(name, func(t *testing.T) {
			runCluster(t, "a b c d e", nil, func(t *testing.T, cluster *cluster) {
				cluster.startWorkers("a b c d e")
				cluster.workers["c"].SetFaults(emulator.Faults{FailStarts: true})
				cluster.awaitQuarantine(t, 0)
				if change {
					cluster.changeLeader()
					cluster.awaitQuarantine(t, 100)
				}
				before := cluster.attempts("c")
				cluster.submitShortJobs(t, 200, 5)
				if got := cluster.attempts("c"); got != before {
					t.Errorf("got %d attempts on the quarantined worker, want %d", got, before)
				}
				// Each failed probe extends the quarantine.
				cluster.submitShortJobs(t, 300, 40)
				probes := cluster.attempts("c") - before
				if probes == 0 || probes > 20 {
					t.Errorf("got %d probes in 4 minutes, want between 1 and 20", probes)
				}
				cluster.workers["c"].SetFaults(emulator.Faults{})
				cluster.submitShortJobs(t, 400, 200)
				if got := cluster.currentLeader().governor.Stats().Quarantined; got != 0 {
					t.Errorf("got %d quarantined workers after the repair, want none", got)
				}
				if got := cluster.attempts("c") - before - probes; got < 20 {
					t.Errorf("got %d attempts on the repaired worker, want at least 20", got)
				}
			})
		})
	}
}

// Guards against quarantining workers because of jobs that fail on every worker, and against such jobs waiting
// without a recorded reason.
func TestBrokenJobIsNotBlamedOnWorkers(t *testing.T) {
	for name, change := range leaderChanges {
		t.Run(name, func(t *testing.T) {
			runCluster(t, "a b c d e", nil, func(t *testing.T, cluster *cluster) {
				cluster.startWorkers("a b c d e")
				for _, worker := range cluster.workers {
					worker.SetFaults(emulator.Faults{FailKind: "broken"})
				}
				for i := range 2 {
					cluster.submit(t, scheduler.JobID(fmt.Sprintf("broken-%d", i)), "patterns", "broken", 3, 1000)
				}
				for i := range 100 {
					if change && i == 20 {
						cluster.changeLeader()
					}
					cluster.submitShortJobs(t, i, 1)
					if got := cluster.currentLeader().governor.Stats().Quarantined; got != 0 {
						t.Fatalf("got %d quarantined workers, want none", got)
					}
				}
				for i := range 2 {
					job := scheduler.JobID(fmt.Sprintf("broken-%d", i))
					if got, want := cluster.history(job), "that run other jobs, and never succeeded"; !strings.Contains(got, want) {
						t.Errorf("%s: got reasons %q, want %q among them", job, got, want)
					}
				}
			})
		})
	}
}

// Guards against a team that exceeds its quota although it may not borrow or another team's tasks within quota are
// waiting, and against waiting tasks whose reason does not mention the quota.
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
			runCluster(t, "a b", teams, func(t *testing.T, cluster *cluster) {
				// If both workers run from the start, a single placement step could exceed the quota.
				first, second := "a b", ""
				if test.mayBorrow {
					first, second = "a", "b"
				}
				cluster.startWorkers(first)
				cluster.submit(t, "greedy", "greedy", "quiet", 6, 4000)
				time.Sleep(20 * time.Second)
				cluster.submit(t, "modest", "modest", "quiet", 1, 4000)
				if test.change {
					cluster.changeLeader()
				}
				cluster.startWorkers(second)
				time.Sleep(20 * time.Second)
				if got := cluster.running("modest"); got != 1 {
					t.Errorf("got %d running tasks of the team within quota, want 1", got)
				}
				if got := cluster.running("greedy"); got != test.want {
					t.Errorf("got %d running tasks of the team that exceeds its quota, want %d", got, test.want)
				}
				if got := cluster.history("greedy"); !strings.Contains(got, "team greedy would exceed its quota") {
					t.Errorf("got reasons %q, want the quota among them", got)
				}
				if !test.mayBorrow {
					return
				}
				cluster.submit(t, "more", "modest", "quiet", 1, 4000)
				time.Sleep(3 * time.Minute)
				if got := cluster.running("greedy"); got != test.want {
					t.Errorf("got %d running tasks of the borrowing team before one ended, want %d: borrowed quota is not reclaimed by eviction",
						got, test.want)
				}
				cluster.evictOne(t, "greedy")
				time.Sleep(20 * time.Second)
				if got := cluster.running("more"); got != 1 {
					t.Errorf("got %d running tasks of the team within quota after borrowed capacity became free, want 1", got)
				}
				if got, want := cluster.running("greedy"), test.want-1; got != want {
					t.Errorf("got %d running tasks of the borrowing team after one ended, want %d", got, want)
				}
			})
		})
	}
}

// evictOne evicts one running task of a job. The task is then pending again.
func (cluster *cluster) evictOne(t *testing.T, job scheduler.JobID) {
	t.Helper()
	for _, task := range cluster.tasks(job) {
		if task.State == dispatcher.TaskRunning {
			if err := cluster.currentLeader().engine.Evict(t.Context(), task.Task, "test"); err != nil {
				t.Fatal(err)
			}
			return
		}
	}
	t.Fatalf("job %s has no running task", job)
}

// Guards against urgent tasks that take longer than 9 s to start, and against evictions for an urgent task of a team
// that exceeds its quota.
func TestUrgentWorkWithinQuota(t *testing.T) {
	for name, change := range leaderChanges {
		t.Run(name, func(t *testing.T) {
			quota := scheduler.Resources{MilliCores: 16000, MemoryBytes: 16 << 30}
			teams := []scheduler.Team{{Name: "patterns", Quota: quota}, {Name: "sizing", Quota: quota}, {Name: "none"}}
			runCluster(t, "a b", teams, func(t *testing.T, cluster *cluster) {
				cluster.startWorkers("a b")
				cluster.submit(t, "long", "patterns", "quiet", 4, 4000)
				time.Sleep(20 * time.Second)
				if change {
					cluster.changeLeader()
					time.Sleep(2 * time.Second)
				}
				cluster.submit(t, "urgent-none", "none", "desk", 1, 4000)
				time.Sleep(10 * time.Second)
				if got := cluster.tasks("urgent-none")[0]; got.State != dispatcher.TaskPending {
					t.Errorf("got %+v, want a pending task", got)
				}
				submitted := time.Now()
				cluster.submit(t, "urgent", "sizing", "desk", 1, 4000)
				time.Sleep(30 * time.Second)
				var started time.Time
				for _, worker := range cluster.workers {
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
