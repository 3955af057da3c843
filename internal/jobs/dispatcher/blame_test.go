package dispatcher

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/trials/emulator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// crashes returns the number of workers that each task crashed.
func (simulation *simulation) crashes() map[scheduler.TaskID]int {
	crashes := map[scheduler.TaskID]int{}
	for _, worker := range simulation.workers {
		for _, execution := range worker.Executions() {
			if execution.CrashedWorker {
				crashes[execution.Task]++
			}
		}
	}
	return crashes
}

// Guards against a task that crashes one worker after another, and against innocent tasks that are given up with it.
func TestTaskThatCrashesWorkers(t *testing.T) {
	tests := map[string]struct {
		after   time.Duration
		crashes int
	}{
		"at its start":        {0, 2},
		"after half a second": {500 * time.Millisecond, 4},
		"after 2 s":           {2 * time.Second, 4},
		"after 5 s":           {5 * time.Second, 4},
		"after 15 s":          {15 * time.Second, 4},
		"after 25 s":          {25 * time.Second, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runWithoutFaults(t, func(t *testing.T, simulation *simulation) {
				for _, worker := range simulation.workers {
					worker.SetFaults(emulator.Faults{CrashKind: "deadly", CrashAfter: test.after})
				}
				request := scheduler.Resources{MilliCores: 500}
				spec := scheduler.TaskSpec{Class: scheduler.ClassBatch, Kind: "innocent", RunTime: 40 * time.Second, Request: request}
				simulation.mustSubmit(t, "innocent-1", false, 20, spec)
				spec.Kind, spec.RunTime = "deadly", time.Hour
				simulation.mustSubmit(t, "deadly", false, 3, spec)
				spec.Kind, spec.RunTime = "innocent", 40*time.Second
				simulation.mustSubmit(t, "innocent-2", false, 20, spec)
				time.Sleep(30 * time.Minute)
				if got, want := simulation.report("deadly").State, JobFailed; got != want {
					t.Errorf("deadly job: got state %s, want %s", got, want)
				}
				crashes := simulation.crashes()
				for _, task := range simulation.report("deadly").Tasks {
					if got := crashes[task.Task]; got > test.crashes {
						t.Errorf("%s crashed %d workers in %d attempts, want at most %d", task.Task, got, task.Attempt, test.crashes)
					}
					if task.State != TaskFailed || !strings.Contains(task.Reason, "crashed") {
						t.Errorf("%s: got state %s (%s), want failed because of crashes", task.Task, task.State, task.Reason)
					}
				}
				for _, job := range []scheduler.JobID{"innocent-1", "innocent-2"} {
					report := simulation.report(job)
					if got, want := report.State, JobFinished; got != want {
						t.Errorf("%s: got state %s (%s), want %s", job, got, report.Reason, want)
					}
				}
			})
		})
	}
}

// Guards against blame for ends of workers that are no crashes, and for attempts that cannot have caused one.
func TestCrashEvidence(t *testing.T) {
	tests := map[string]struct {
		syncs    int // exchanges after the start command, one each second
		downtime time.Duration
		before   func(harness *harness, engine *Engine)
		want     uint32
	}{
		"just started":       {0, 3 * time.Second, nil, blameStarting},
		"running":            {5, 3 * time.Second, nil, blameRunning},
		"survived":           {35, 3 * time.Second, nil, 0},
		"silent for long":    {0, 11 * time.Second, nil, 0},
		"start not sent":     {-1, 3 * time.Second, trackLeases, 0},
		"drained":            {0, 3 * time.Second, drainWorker, 0},
		"leader has changed": {0, 3 * time.Second, func(_ *harness, engine *Engine) { engine.clearSessions() }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				harness := newHarness(t, 1)
				harness.execute(submitOperation("a", 1, batchSpec(1)))
				cluster := newCluster(1, "couva-1")
				cluster.nodes[0].machine, cluster.nodes[0].term = harness.Machine, 2
				engine := NewEngine("couva-1", cluster.nodes[0], harness.Machine, newFirstFitPlacer())
				defer time.Sleep(time.Hour) // The goroutines of the batcher must end before the synctest bubble does.
				if err := engine.takeOver(t.Context(), 2); err != nil {
					t.Fatal(err)
				}
				request := &scheduler.SyncRequest{Worker: "worker-0000", Incarnation: 1}
				exchange := func() {
					request.Sequence++
					if _, err := engine.Sync(t.Context(), request); err != nil {
						t.Fatal(err)
					}
				}
				exchange()
				harness.execute(Operation{Term: 2, Assign: &Assign{Task: "a/1", Attempt: 1, Worker: "worker-0000", Incarnation: 1}})
				for range test.syncs + 1 {
					exchange()
					request.Running = []scheduler.LeaseNumber{1}
					time.Sleep(time.Second)
				}
				if test.before != nil {
					test.before(harness, engine)
				}
				time.Sleep(test.downtime)
				request.Incarnation, request.Running = 2, nil
				exchange()
				task := harness.tasks["a/1"]
				if task.Blame != test.want || task.Attempt != 2 {
					t.Errorf("got blame %d, attempt %d, want blame %d, attempt 2", task.Blame, task.Attempt, test.want)
				}
				checkSnapshot(t, harness.Machine)
			})
		})
	}
}

func drainWorker(harness *harness, _ *Engine) {
	harness.execute(Operation{Drain: &Drain{Worker: "worker-0000", Operator: "ama"}})
}

// trackLeases makes the engine keep a state for each live lease, as its periodic check for expired ones does.
func trackLeases(_ *harness, engine *Engine) { engine.expiredLeases(time.Now()) }

// Guards against tasks that are given up although another attempt may have caused the crashes, and against blame that
// outlives a long run.
func TestBlameLimit(t *testing.T) {
	start, late := scheduler.AttemptCrashedStarting, scheduler.AttemptCrashedRunning
	type end struct {
		outcome scheduler.AttemptOutcome
		sole    bool
		ran     time.Duration
	}
	tests := map[string]struct {
		ends  []end
		blame uint32
		state TaskState
	}{
		"two starts":          {[]end{{start, false, 0}, {start, true, 0}}, 4, TaskFailed},
		"never alone":         {[]end{{start, false, 0}, {start, false, 0}, {late, false, 0}}, 3, TaskPending},
		"alone at last":       {[]end{{late, false, 0}, {late, false, 0}, {late, false, 0}, {late, true, 0}}, 4, TaskFailed},
		"lost between":        {[]end{{start, true, 0}, {scheduler.AttemptLost, false, 0}, {late, true, 0}}, 3, TaskPending},
		"long run between":    {[]end{{start, true, 0}, {scheduler.AttemptStopped, false, time.Minute}, {late, true, 0}}, 1, TaskPending},
		"silence is no run":   {[]end{{start, true, 0}, {scheduler.AttemptExpired, false, 40 * time.Second}, {late, true, 0}}, 3, TaskPending},
		"crash after 25 s":    {[]end{{late, true, 25 * time.Second}, {late, true, 35 * time.Second}}, 2, TaskPending},
		"finished regardless": {[]end{{start, true, 0}, {scheduler.AttemptFinished, false, 0}}, 2, TaskFinished},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, 1)
			harness.execute(submitOperation("a", 1, batchSpec(1)))
			for i, end := range test.ends {
				lease := scheduler.LeaseNumber(i + 1)
				harness.execute(assignOperation("a/1", scheduler.AttemptNumber(i+1), "worker-0000"))
				harness.execute(Operation{Term: 1, Started: &Started{Lease: lease}})
				harness.at += end.ran.Milliseconds()
				harness.execute(Operation{Term: 1, End: &End{Lease: lease, Outcome: end.outcome, SoleCause: end.sole}})
			}
			task := harness.tasks["a/1"]
			if task.Blame != test.blame || task.State != test.state {
				t.Errorf("got blame %d, state %s (%s), want %d, %s", task.Blame, task.State, task.Reason, test.blame, test.state)
			}
			if report, _ := harness.Job("a"); test.state == TaskFailed && !strings.Contains(report.Reason, "a/1 was given up") {
				t.Errorf("got reason %q, want that of the task", report.Reason)
			}
			checkSnapshot(t, harness.Machine)
		})
	}
}
