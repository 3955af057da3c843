package governor

import (
	"strings"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/dispatcher"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// noisyPair puts noisy tasks next to an instance of a service on a. The latency without neighbours is
// known from the other instance, on c. Then b appears, where there is room.
func noisyPair(t *testing.T, system *system, count int, milliCores int64) {
	t.Helper()
	system.start("c")
	system.submit(t, "desk", "sizing", "desk", 1, 2000)
	system.submit(t, "filler", "sizing", "filler", 1, 6000)
	time.Sleep(6 * time.Minute)
	system.start("a")
	system.submit(t, "noisy", "patterns", "noisy", count, milliCores)
	time.Sleep(5 * time.Second)
	system.submit(t, "desk-2", "sizing", "desk", 1, 2000)
	time.Sleep(5 * time.Second)
	if noisy, desk := system.running("noisy"), system.tasks("desk-2")[0]; noisy != count || desk.Worker != "a" {
		t.Fatalf("got %d noisy tasks and %+v, want all next to the service on a", noisy, desk)
	}
	system.start("b")
}

// Guards against a service that stays slow, and against an action that is decided from reports of the
// time before the last one: a move although throttling is enough, or a second move although the first
// is.
func TestNoisyNeighbours(t *testing.T) {
	for name, test := range map[string]struct {
		count                int
		milliCores           int64
		throttles, evictions int
		saveEach             time.Duration
		saves                int
	}{
		"throttling is enough":        {1, 2000, 1, 0, 30 * time.Second, 0},
		"throttling is not enough":    {1, 4000, 1, 1, 30 * time.Second, 1},
		"moving one of two is enough": {2, 2900, 2, 1, 30 * time.Second, 1},
		"nothing can be saved":        {1, 4000, 1, 1, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			try(t, "a b c", nil, func(t *testing.T, system *system) {
				system.saveEach = test.saveEach
				noisyPair(t, system, test.count, test.milliCores)
				// Two actions need 60 s of reports each. A release comes 2 minutes after calm at the earliest.
				time.Sleep(200 * time.Second)
				throttles, _, reasons := system.leading().acted()
				if throttles != test.throttles || len(reasons) != test.evictions {
					t.Fatalf("got %d throttles and evictions %q, want %d and %d", throttles, reasons, test.throttles, test.evictions)
				}
				if got := system.leading().saves; got != test.saves {
					t.Errorf("got %d checkpoints asked for, want %d", got, test.saves)
				}
				if got := system.running("noisy"); got != test.count {
					t.Errorf("got %d running tasks, want %d", got, test.count)
				}
				for _, reason := range reasons {
					for _, want := range []string{"service desk is ", "% slower than alone", " of kind noisy on a"} {
						if !strings.Contains(reason, want) || !strings.Contains(system.history("noisy"), want) {
							t.Errorf("got reason %q, want %q in it and in the record", reason, want)
						}
					}
				}
				got := system.leading().governor.Stats()
				if want := test.count - test.evictions; got.Throttled != want || got.Evictions[CauseInterference] != uint64(test.evictions) {
					t.Errorf("got %+v, want %d throttled tasks and %d evictions", got, want, test.evictions)
				}
			})
		})
	}
}

// Guards against actions that rest on reports of the time before a change of the leader, also on a VM
// that leads again, and against a service that is not relieved after it.
func TestNewLeaderActsOnNewReportsOnly(t *testing.T) {
	try(t, "a b c", nil, func(t *testing.T, system *system) {
		noisyPair(t, system, 1, 4000)
		time.Sleep(25 * time.Second)
		system.elect()
		time.Sleep(3 * time.Second)
		system.elect()
		// The reports of the next 20 s are of the time before the change.
		time.Sleep(45 * time.Second)
		if throttles, _, reasons := system.leading().acted(); throttles != 0 || len(reasons) != 0 {
			t.Errorf("got %d throttles and evictions %q before three new reports", throttles, reasons)
		}
		time.Sleep(3 * time.Minute)
		if throttles, _, reasons := system.leading().acted(); throttles != 1 || len(reasons) != 1 {
			t.Errorf("got %d throttles and evictions %q, want 1 of each", throttles, reasons)
		}
		system.elect()
		time.Sleep(10 * time.Minute)
		if task := system.tasks("noisy")[0]; task.Evictions != 1 || task.State != dispatcher.TaskRunning {
			t.Errorf("got %+v, want it to run after 1 eviction", task)
		}
	})
}

// Guards against tasks that are throttled and released, or sent from worker to worker, over and over.
func TestWaveDoesNotOscillate(t *testing.T) {
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			try(t, "a b c d", nil, func(t *testing.T, system *system) {
				system.start("a b c d")
				system.submit(t, "desk", "sizing", "desk", 4, 2000)
				time.Sleep(6 * time.Minute)
				system.submit(t, "noisy", "patterns", "noisy", 8, 1500)
				time.Sleep(20 * time.Minute)
				// Throttling ends with the leader, so each leader may throttle each task once.
				limit := 8
				if change {
					system.elect()
					limit = 16
				}
				time.Sleep(25 * time.Minute)
				throttles, releases, _ := system.vms[0].acted()
				more, others, _ := system.vms[1].acted()
				throttles, releases = throttles+more, releases+others
				var evictions uint32
				for _, task := range system.tasks("noisy") {
					evictions += task.Evictions
				}
				t.Logf("running %d, throttles %d, releases %d, evictions %d", system.running("noisy"), throttles, releases, evictions)
				if system.running("noisy") < 4 || throttles > limit || releases > 4 || evictions > 4 {
					t.Errorf("got %d throttles, %d releases, %d evictions of 8 tasks in 45 minutes", throttles, releases, evictions)
				}
			})
		})
	}
}

// Guards against harm that is credited to a task that did not run in the interval, and against a
// report that is used although an unknown task took part in it.
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
					t.Errorf("window %d: got %+v, want %d reports in the order of time", i, window, test.want[i])
				}
			}
		})
	}
}

// Guards against late usage of a task that has ended being lost or credited without it, and against a
// memory of leases that grows without bound.
func TestUsageOfEndedTasks(t *testing.T) {
	try(t, "", nil, func(t *testing.T, system *system) {
		governor := system.leading().governor
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
		report := func(neighbour scheduler.LeaseNumber) int {
			governor.HandleUsage("a", []scheduler.AttemptUsage{
				{Lease: 1, Age: 20 * time.Second, Interval: 10 * time.Second, Latency: time.Second, Load: 0.8},
				{Lease: neighbour, Age: 20 * time.Second, Interval: 10 * time.Second, Used: capacity},
			})
			return len(governor.estimator.Coefficients())
		}
		if got := report(3); got != 0 {
			t.Errorf("got %d pairings from a report with an unknown lease, want none", got)
		}
		time.Sleep(keptLeases - time.Minute)
		if got := report(2); got != 1 {
			t.Errorf("got %d pairings from a report with an ended task, want 1", got)
		}
		time.Sleep(2 * time.Minute)
		governor.mutex.Lock()
		defer governor.mutex.Unlock()
		if got := len(governor.ledger.leases); got != 1 {
			t.Errorf("got %d leases in memory, want that of the running task only", got)
		}
	})
}
