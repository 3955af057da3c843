package dispatcher

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/trials/emulator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// runWithoutFaults runs test on a simulation in which the only faults are those that test injects.
func runWithoutFaults(t *testing.T, test func(t *testing.T, simulation *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Hour) // Pending exchanges must end before the synctest bubble does.
		}()
		test(t, newSimulation(ctx, 1, mutation{faultFree: true}))
	})
}

func (simulation *simulation) mustSubmit(
	t *testing.T, job scheduler.JobID, urgent bool, count int, spec scheduler.TaskSpec,
) {
	t.Helper()
	result, err := simulation.cluster.leaderEngine().Submit(t.Context(), Submission{
		Job: job, Team: "patterns", Urgent: urgent, Tasks: []TaskGroup{{Count: count, Spec: spec}},
	})
	if err != nil || !result.Accepted {
		t.Fatalf("got %+v, %v, want an accepted job", result, err)
	}
}

func (simulation *simulation) report(job scheduler.JobID) JobReport {
	report, _ := simulation.cluster.leaderEngine().machine.Job(job)
	return report
}

// executions returns the executions of a job's tasks with the given attempt number, in the order of their starts.
func (simulation *simulation) executions(
	job scheduler.JobID, attempt scheduler.AttemptNumber,
) (found []emulator.Execution) {
	for _, worker := range simulation.workers {
		for _, execution := range worker.Executions() {
			if strings.HasPrefix(string(execution.Task), string(job)+"/") && execution.Attempt == attempt {
				found = append(found, execution)
			}
		}
	}
	slices.SortFunc(found, func(a, b emulator.Execution) int { return a.FirstEffect.Compare(b.FirstEffect) })
	return found
}

// Guards against urgent tasks that start too late, even if a victim ignores its stop command, and against evictions and
// waiting tasks without a recorded reason. The limit is 9 s, plus the victim time-out if a victim ignores its stop.
func TestUrgentWork(t *testing.T) {
	for name, ignoresStop := range map[string]bool{"victims stop": false, "one victim ignores its stop": true} {
		t.Run(name, func(t *testing.T) {
			runWithoutFaults(t, func(t *testing.T, simulation *simulation) {
				long := scheduler.TaskSpec{Class: scheduler.ClassBatch, RunTime: 10 * time.Minute, Request: simulation.capacity}
				simulation.mustSubmit(t, "long", false, simulatedWorkers+1, long)
				time.Sleep(20 * time.Second)
				simulation.workers[0].SetFaults(emulator.Faults{IgnoreStop: ignoresStop})
				submitted, limit := time.Now(), 9*time.Second
				if ignoresStop {
					limit += defaultVictimTimeout
				}
				urgent := scheduler.TaskSpec{
					Class: scheduler.ClassLatencyCritical, RunTime: time.Minute, Request: simulation.capacity,
				}
				simulation.mustSubmit(t, "urgent", true, 1, urgent)
				time.Sleep(30 * time.Second)
				started := simulation.executions("urgent", 1)
				if len(started) != 1 || started[0].FirstEffect.Sub(submitted) > limit {
					t.Fatalf("got starts %+v, want one within %s", started, limit)
				}
				t.Logf("urgent task started after %s", started[0].FirstEffect.Sub(submitted))
				reasons := ""
				for _, task := range simulation.report("long").Tasks {
					for _, event := range task.Events {
						reasons += event.Reason + "\n"
					}
					reasons += task.Reason + "\n"
				}
				for _, want := range []string{"makes room for urgent/1", "evicted from worker-0", "no worker has room"} {
					if !strings.Contains(reasons, want) {
						t.Errorf("got reasons %q, want %q among them", reasons, want)
					}
				}
			})
		})
	}
}

// Guards against tasks that keep running on a drained worker or start there.
func TestDrain(t *testing.T) {
	runWithoutFaults(t, func(t *testing.T, simulation *simulation) {
		spec := scheduler.TaskSpec{
			Class: scheduler.ClassBatch, RunTime: time.Hour, Request: scheduler.Resources{MilliCores: 2000},
		}
		simulation.mustSubmit(t, "job", false, 2, spec)
		time.Sleep(5 * time.Second)
		drain := Drain{Worker: "worker-0", Operator: "ama", Reason: "new disk"}
		if err := simulation.cluster.leaderEngine().Drain(t.Context(), drain); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		for _, task := range simulation.report("job").Tasks {
			if task.State != TaskRunning || task.Worker != "worker-1" || task.Attempt != 2 || task.Evictions != 1 {
				t.Errorf("got %+v, want attempt 2 on worker-1", task)
			}
			if reason := task.Events[len(task.Events)-3].Reason; !strings.Contains(reason, "drained by ama: new disk") {
				t.Errorf("got reason %q", reason)
			}
		}
		drain.Off = true
		if err := simulation.cluster.leaderEngine().Drain(t.Context(), drain); err != nil {
			t.Fatal(err)
		}
		simulation.mustSubmit(t, "next", false, 1, spec)
		time.Sleep(5 * time.Second)
		if task := simulation.report("next").Tasks[0]; task.Worker != "worker-0" {
			t.Errorf("got %+v, want it on worker-0, which is back in service", task)
		}
	})
}

// Guards against two faults after the loss of a rack: its tasks start on other workers without a rate limit, or batch
// tasks start before latency-critical ones.
func TestLostRackIsRescheduledInOrder(t *testing.T) {
	runWithoutFaults(t, func(t *testing.T, simulation *simulation) {
		spec := scheduler.TaskSpec{
			Class: scheduler.ClassBatch, RunTime: time.Hour, Request: scheduler.Resources{MilliCores: 200},
		}
		simulation.mustSubmit(t, "batch", false, 30, spec)
		spec.Class = scheduler.ClassLatencyCritical
		simulation.mustSubmit(t, "prompt", false, 20, spec)
		time.Sleep(5 * time.Second)
		for i := range 3 {
			simulation.cutOff[i].Store(true)
		}
		time.Sleep(2 * time.Minute)
		var lost, lastPrompt, lastBatch int64
		var batch []int64
		for _, job := range []scheduler.JobID{"prompt", "batch"} {
			for _, task := range simulation.report(job).Tasks {
				for _, event := range task.Events {
					switch {
					case event.Attempt == 2 && event.State == TaskPending:
						lost = max(lost, event.AtUnixMilli)
					case event.Attempt == 2 && event.State == TaskStarting && job == "prompt":
						lastPrompt = max(lastPrompt, event.AtUnixMilli)
					case event.Attempt == 2 && event.State == TaskStarting:
						batch = append(batch, event.AtUnixMilli)
						lastBatch = max(lastBatch, event.AtUnixMilli)
					}
				}
			}
		}
		if got := len(simulation.executions("prompt", 2)) + len(simulation.executions("batch", 2)); got != 50 {
			t.Fatalf("got %d second attempts, want 50", got)
		}
		for _, at := range batch {
			if at > lost && at < lastPrompt {
				t.Errorf("got a batch assignment at %d, all were lost at %d, the last latency-critical one at %d",
					at, lost, lastPrompt)
			}
		}
		if took := lastBatch - lost; took < 9000 {
			t.Errorf("got 50 assignments in %d ms, want 4 per second", took)
		}
	})
}

// Guards against commands and usage reports that are lost between engine and worker, and against new tasks on a
// quarantined worker.
func TestThrottleCheckpointUsageAndQuarantine(t *testing.T) {
	runWithoutFaults(t, func(t *testing.T, simulation *simulation) {
		engine := simulation.cluster.leaderEngine()
		spec := scheduler.TaskSpec{
			Class: scheduler.ClassBatch, RunTime: 2 * time.Minute, Request: scheduler.Resources{MilliCores: 1000},
		}
		simulation.mustSubmit(t, "slow", false, 1, spec)
		time.Sleep(3 * time.Second)
		lease := simulation.report("slow").Tasks[0].Lease
		engine.Throttle(lease, true)
		engine.SaveCheckpoint(lease)
		engine.Quarantine("worker-0", true)
		time.Sleep(2 * time.Second)
		checkpoint := simulation.report("slow").Tasks[0].Checkpoint
		simulation.mustSubmit(t, "next", false, 1, spec)
		time.Sleep(58 * time.Second)
		if worker := simulation.report("next").Tasks[0].Worker; worker != "worker-1" || checkpoint == "" {
			t.Errorf("got worker %q and checkpoint %q, want worker-1 and a checkpoint", worker, checkpoint)
		}
		slow, next := simulation.executions("slow", 1)[0], simulation.executions("next", 1)[0]
		if reports := simulation.usageReports.Load(); slow.Progress > next.Progress*2/3 || reports < 4 {
			t.Errorf("got progress %s and %s with %d usage reports, want half of it and at least 4",
				slow.Progress, next.Progress, reports)
		}
		engine.Throttle(lease, false)
		time.Sleep(2 * time.Minute)
		if report := simulation.report("slow"); report.State != JobFinished {
			t.Errorf("got %s, want the job finished at full speed", report.State)
		}
	})
}

// Guards against head-of-line blocking: a backlog of tasks that currently fit on no worker must not delay smaller tasks
// that were submitted later.
func TestBacklogDoesNotBlockSmallTasks(t *testing.T) {
	runWithoutFaults(t, func(t *testing.T, simulation *simulation) {
		submit := func(job scheduler.JobID, count int, milliCores int64, runTime time.Duration) {
			simulation.mustSubmit(t, job, false, count, scheduler.TaskSpec{
				Class: scheduler.ClassBatch, RunTime: runTime, Request: scheduler.Resources{MilliCores: milliCores},
			})
		}
		submit("long", simulatedWorkers, 3000, time.Hour)
		submit("short", simulatedWorkers, 900, 30*time.Second)
		time.Sleep(3 * time.Second)
		submit("large", 1000, 4000, time.Hour)
		submit("small", 1, 950, time.Hour)
		time.Sleep(45 * time.Second)
		if task := simulation.report("small").Tasks[0]; task.State != TaskRunning {
			t.Errorf("got %+v, want it running in the capacity that the short tasks freed", task)
		}
	})
}

// Guards against a moved job that still runs here, is delivered before its attempts have stopped, or is lost if its
// delivery fails.
func TestMoveJobs(t *testing.T) {
	runWithoutFaults(t, func(t *testing.T, simulation *simulation) {
		other, delivered := newHarness(t, 1), 0
		other.group = "chaguanas"
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go simulation.cluster.leaderEngine().MoveJobs(ctx, func(
			_ context.Context, _ scheduler.DataCentreName, record []byte,
		) error {
			delivered++
			if delivered < 3 {
				return scheduler.ErrOutcomeUnknown.New("no response")
			}
			other.expect(Operation{Accept: &Accept{Record: record}}, ResultDone)
			return nil
		})
		simulation.mustSubmit(t, "job", false, 2, scheduler.TaskSpec{Class: scheduler.ClassBatch, RunTime: time.Hour})
		time.Sleep(5 * time.Second)
		if err := simulation.cluster.leaderEngine().Release(t.Context(), Release{
			Job: "job", To: "chaguanas", Operator: "ama",
		}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(15 * time.Second)
		if report := simulation.report("job"); report.State != JobMoved || delivered != 3 || len(other.pending) != 2 {
			t.Errorf("got %s after %d deliveries with %d tasks, want a move after 3 with 2",
				report.State, delivered, len(other.pending))
		}
		for _, execution := range simulation.executions("job", 1) {
			if execution.Outcome != scheduler.AttemptStopped {
				t.Errorf("got %+v, want it stopped", execution)
			}
		}
	})
}

// Guards against responses to requests that are late, repeated or sent to a VM that is not the leader, and against
// leases of attempts that a restarted worker no longer runs.
func TestSyncRefusesOutdatedRequests(t *testing.T) {
	tests := map[string]struct {
		request scheduler.SyncRequest
		follows bool
		refused bool
		want    string
	}{
		"next exchange":       {request: scheduler.SyncRequest{Incarnation: 2, Sequence: 6, Running: []scheduler.LeaseNumber{1}}, want: "renewed [1] commands []"},
		"unsorted":            {request: scheduler.SyncRequest{Incarnation: 2, Sequence: 6, Running: []scheduler.LeaseNumber{9, 1}}, want: "renewed [1] commands [stop 9]"},
		"start not delivered": {request: scheduler.SyncRequest{Incarnation: 2, Sequence: 6}, want: "renewed [] commands [start 1]"},
		"unknown worker":      {request: scheduler.SyncRequest{Worker: "worker-9", Running: []scheduler.LeaseNumber{1}}, want: "renewed [] commands [stop 1]"},
		"repeated":            {request: scheduler.SyncRequest{Incarnation: 2, Sequence: 5}, refused: true},
		"earlier incarnation": {request: scheduler.SyncRequest{Incarnation: 1, Sequence: 9}, refused: true},
		"not the leader":      {request: scheduler.SyncRequest{Incarnation: 2, Sequence: 6}, follows: true, refused: true},
		"later incarnation":   {request: scheduler.SyncRequest{Incarnation: 3, Sequence: 1}, want: "renewed [] commands []"},
		"ended, one unknown":  {request: scheduler.SyncRequest{Incarnation: 2, Sequence: 6, Ended: []scheduler.EndedAttempt{{Lease: 1, Outcome: "stopped"}, {Lease: 7, Outcome: "failed"}}}, want: "renewed [] commands [] acknowledged [1 7]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, 1)
			harness.execute(submitOperation("a", 1, batchSpec(1)))
			cluster := newCluster(1, "couva-1", "couva-2")
			cluster.nodes[0].machine, cluster.nodes[1].machine = harness.Machine, NewMachine("couva")
			cluster.nodes[0].term = 2
			engine := NewEngine("couva-1", cluster.nodes[0], harness.Machine, newFirstFitPlacer())
			if err := engine.takeOver(t.Context(), 2); err != nil {
				t.Fatal(err)
			}
			if _, err := engine.Sync(t.Context(), &scheduler.SyncRequest{
				Worker: "worker-0000", Incarnation: 2, Sequence: 5,
			}); err != nil {
				t.Fatal(err)
			}
			harness.execute(Operation{Term: 2, Assign: &Assign{Task: "a/1", Attempt: 1, Worker: "worker-0000", Incarnation: 2}})
			if test.follows {
				cluster.leader = cluster.nodes[1]
			}
			test.request.Worker = cmp.Or(test.request.Worker, "worker-0000")
			response, err := engine.Sync(t.Context(), &test.request)
			if refused := scheduler.ErrNotRun.Has(err); refused != test.refused || refused {
				if refused != test.refused {
					t.Errorf("got error %v, want refusal %v", err, test.refused)
				}
				return
			}
			commands := []string{}
			for _, command := range response.Commands {
				commands = append(commands, fmt.Sprint(command.Kind, " ", command.Lease))
			}
			got := fmt.Sprint("renewed ", response.Renewed, " commands ", commands)
			if len(response.Acknowledged) > 0 {
				got += fmt.Sprint(" acknowledged ", response.Acknowledged)
			}
			if got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}
