package governor

import (
	"strings"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/dispatcher"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// placeNoisyTasks places noisy tasks on worker a together with an instance of a service. The baseline latency is
// learned from another instance on worker c. Then worker b is started, which has free capacity.
func placeNoisyTasks(t *testing.T, cluster *cluster, count int, milliCores int64) {
	t.Helper()
	cluster.startWorkers("c")
	cluster.submit(t, "desk", "sizing", "desk", 1, 2000)
	cluster.submit(t, "filler", "sizing", "filler", 1, 6000)
	time.Sleep(6 * time.Minute)
	cluster.startWorkers("a")
	cluster.submit(t, "noisy", "patterns", "noisy", count, milliCores)
	time.Sleep(5 * time.Second)
	cluster.submit(t, "desk-2", "sizing", "desk", 1, 2000)
	time.Sleep(5 * time.Second)
	if noisy, desk := cluster.running("noisy"), cluster.tasks("desk-2")[0]; noisy != count || desk.Worker != "a" {
		t.Fatalf("got %d noisy tasks and %+v, want all noisy tasks and the service on a", noisy, desk)
	}
	cluster.startWorkers("b")
}

// Guards against a service whose latency stays high, and against actions based on reports from before the previous
// action: a move although throttling is sufficient, or a second move although the first is sufficient.
func TestNoisyNeighbours(t *testing.T) {
	for name, test := range map[string]struct {
		count                int
		milliCores           int64
		throttles, evictions int
		checkpointPeriod     time.Duration
		checkpoints          int
	}{
		"throttling is sufficient":        {1, 2000, 1, 0, 30 * time.Second, 0},
		"throttling is insufficient":      {1, 4000, 1, 1, 30 * time.Second, 1},
		"moving one of two is sufficient": {2, 2900, 2, 1, 30 * time.Second, 1},
		"no checkpoints":                  {1, 4000, 1, 1, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, "a b c", nil, func(t *testing.T, cluster *cluster) {
				cluster.checkpointPeriod = test.checkpointPeriod
				placeNoisyTasks(t, cluster, test.count, test.milliCores)
				// Each of two actions needs 60 s of reports. A release follows at the earliest 2 minutes after the
				// latency has returned to normal.
				time.Sleep(200 * time.Second)
				throttles, _, reasons := cluster.currentLeader().requestedActions()
				if throttles != test.throttles || len(reasons) != test.evictions {
					t.Fatalf("got %d throttles and evictions %q, want %d and %d",
						throttles, reasons, test.throttles, test.evictions)
				}
				if got := cluster.currentLeader().checkpoints; got != test.checkpoints {
					t.Errorf("got %d requested checkpoints, want %d", got, test.checkpoints)
				}
				if got := cluster.running("noisy"); got != test.count {
					t.Errorf("got %d running tasks, want %d", got, test.count)
				}
				for _, reason := range reasons {
					for _, want := range []string{"service desk is ", "% slower than its baseline", " of kind noisy on a"} {
						if !strings.Contains(reason, want) || !strings.Contains(cluster.history("noisy"), want) {
							t.Errorf("got reason %q, want %q in it and in the task history", reason, want)
						}
					}
				}
				got := cluster.currentLeader().governor.Stats()
				if want := test.count - test.evictions; got.Throttled != want ||
					got.Evictions[CauseInterference] != uint64(test.evictions) {
					t.Errorf("got %+v, want %d throttled tasks and %d evictions", got, want, test.evictions)
				}
			})
		})
	}
}

// Guards against actions based on reports from before a change of leader, also on a VM that becomes leader again, and
// against a new leader that does not act on a slow service.
func TestNewLeaderActsOnNewReportsOnly(t *testing.T) {
	runCluster(t, "a b c", nil, func(t *testing.T, cluster *cluster) {
		placeNoisyTasks(t, cluster, 1, 4000)
		time.Sleep(25 * time.Second)
		cluster.changeLeader()
		time.Sleep(3 * time.Second)
		cluster.changeLeader()
		// Reports that arrive in the next 20 s cover the time before the change.
		time.Sleep(45 * time.Second)
		if throttles, _, reasons := cluster.currentLeader().requestedActions(); throttles != 0 || len(reasons) != 0 {
			t.Errorf("got %d throttles and evictions %q before three new reports", throttles, reasons)
		}
		time.Sleep(3 * time.Minute)
		if throttles, _, reasons := cluster.currentLeader().requestedActions(); throttles != 1 || len(reasons) != 1 {
			t.Errorf("got %d throttles and evictions %q, want 1 of each", throttles, reasons)
		}
		cluster.changeLeader()
		time.Sleep(10 * time.Minute)
		if task := cluster.tasks("noisy")[0]; task.Evictions != 1 || task.State != dispatcher.TaskRunning {
			t.Errorf("got %+v, want it to run after 1 eviction", task)
		}
	})
}

// Guards against tasks that are repeatedly throttled and released, or repeatedly moved between workers.
func TestWaveDoesNotOscillate(t *testing.T) {
	for name, change := range leaderChanges {
		t.Run(name, func(t *testing.T) {
			runCluster(t, "a b c d", nil, func(t *testing.T, cluster *cluster) {
				cluster.startWorkers("a b c d")
				cluster.submit(t, "desk", "sizing", "desk", 4, 2000)
				time.Sleep(6 * time.Minute)
				cluster.submit(t, "noisy", "patterns", "noisy", 8, 1500)
				time.Sleep(20 * time.Minute)
				// A change of leader ends throttling, so each leader may throttle each task once.
				limit := 8
				if change {
					cluster.changeLeader()
					limit = 16
				}
				time.Sleep(25 * time.Minute)
				throttles, releases, _ := cluster.vms[0].requestedActions()
				more, others, _ := cluster.vms[1].requestedActions()
				throttles, releases = throttles+more, releases+others
				var evictions uint32
				for _, task := range cluster.tasks("noisy") {
					evictions += task.Evictions
				}
				t.Logf("running %d, throttles %d, releases %d, evictions %d",
					cluster.running("noisy"), throttles, releases, evictions)
				if cluster.running("noisy") < 4 || throttles > limit || releases > 4 || evictions > 4 {
					t.Errorf("got %d throttles, %d releases, %d evictions of 8 tasks in 45 minutes", throttles, releases, evictions)
				}
			})
		})
	}
}

// Guards against interference being attributed to a task that did not run in the interval, by checking that the usage
// of different intervals is not grouped.
func TestUsageIsCreditedToTheInterval(t *testing.T) {
	now := time.Unix(1000, 0)
	usage := func(lease scheduler.LeaseNumber, age, interval time.Duration) scheduler.AttemptUsage {
		return scheduler.AttemptUsage{Lease: lease, Age: age * time.Second, Interval: interval * time.Second}
	}
	for name, test := range map[string]struct {
		reported []scheduler.AttemptUsage
		want     []int
	}{
		"one interval":       {[]scheduler.AttemptUsage{usage(1, 20, 10), usage(2, 20, 10)}, []int{2}},
		"ended within":       {[]scheduler.AttemptUsage{usage(2, 24, 3), usage(1, 20, 10)}, []int{2}},
		"two, out of order":  {[]scheduler.AttemptUsage{usage(1, 20, 10), usage(2, 30, 10)}, []int{1, 1}},
		"ends after another": {[]scheduler.AttemptUsage{usage(1, 20, 10), usage(2, 15, 10)}, []int{1, 1}},
		"none":               {nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			windows := windows(now, test.reported)
			if len(windows) != len(test.want) {
				t.Fatalf("got %d windows, want %d", len(windows), len(test.want))
			}
			for i, window := range windows {
				if len(window.usage) != test.want[i] || i > 0 && window.until.Before(windows[i-1].until) {
					t.Errorf("window %d: got %+v, want %d reports, and windows in chronological order", i, window, test.want[i])
				}
			}
		})
	}
}

// Guards against late usage of an ended task being ignored or attributed to other tasks, against using a report that
// contains an unknown lease, and against a lease table that grows without bound.
func TestUsageOfEndedTasks(t *testing.T) {
	runCluster(t, "", nil, func(t *testing.T, cluster *cluster) {
		governor := cluster.currentLeader().governor
		task := func(lease scheduler.LeaseNumber, kind string, class scheduler.Class) scheduler.PlacedTask {
			return scheduler.PlacedTask{
				Lease: lease, Task: scheduler.TaskID(kind), Spec: scheduler.TaskSpec{Kind: kind, Class: class},
			}
		}
		desk, noisy := task(1, "desk", scheduler.ClassLatencyCritical), task(2, "noisy", scheduler.ClassBatch)
		state := scheduler.WorkerState{Worker: scheduler.Worker{Name: "a", Capacity: capacity}}
		state.Tasks = []scheduler.PlacedTask{desk, noisy}
		governor.Update(state)
		time.Sleep(10 * time.Second)
		state.Tasks = state.Tasks[:1]
		governor.Update(state)
		report := func(batchLease scheduler.LeaseNumber) int {
			governor.HandleUsage("a", []scheduler.AttemptUsage{
				{Lease: 1, Age: 20 * time.Second, Interval: 10 * time.Second, Latency: time.Second, Load: 0.8},
				{Lease: batchLease, Age: 20 * time.Second, Interval: 10 * time.Second, Used: capacity},
			})
			return len(governor.estimator.Coefficients())
		}
		if got := report(3); got != 0 {
			t.Errorf("got %d colocations from a report with an unknown lease, want none", got)
		}
		time.Sleep(leaseRetention - time.Minute)
		if got := report(2); got != 1 {
			t.Errorf("got %d colocations from a report with an ended task, want 1", got)
		}
		time.Sleep(2 * time.Minute)
		governor.mutex.Lock()
		defer governor.mutex.Unlock()
		if got := len(governor.leaseTable.leases); got != 1 {
			t.Errorf("got %d leases in memory, want only the lease of the running task", got)
		}
	})
}
