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

// calmTrial runs test on workers and VMs without faults but those that it switches on.
func calmTrial(t *testing.T, test func(t *testing.T, trial *trial)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Hour) // Exchanges under way end before the bubble does.
		}()
		test(t, newTrial(ctx, 1, mutation{calm: true}))
	})
}

func (trial *trial) mustSubmit(t *testing.T, job scheduler.JobID, urgent bool, count int, spec scheduler.TaskSpec) {
	t.Helper()
	result, err := trial.cluster.leading().Submit(t.Context(), Submission{Job: job, Team: "patterns", Urgent: urgent, Tasks: []TaskGroup{{Count: count, Spec: spec}}})
	if err != nil || !result.Accepted {
		t.Fatalf("got %+v, %v, want an accepted job", result, err)
	}
}

func (trial *trial) report(job scheduler.JobID) JobReport {
	report, _ := trial.cluster.leading().machine.Job(job)
	return report
}

// executions returns the records of a job's attempts with a number, in the order of their starts.
func (trial *trial) executions(job scheduler.JobID, attempt scheduler.AttemptNumber) (found []emulator.Execution) {
	for _, worker := range trial.workers {
		for _, execution := range worker.Executions() {
			if strings.HasPrefix(string(execution.Task), string(job)+"/") && execution.Attempt == attempt {
				found = append(found, execution)
			}
		}
	}
	slices.SortFunc(found, func(a, b emulator.Execution) int { return a.First.Compare(b.First) })
	return found
}

// Guards against urgent work that starts after more than 9 s, also when a victim ignores its stop, and
// against evictions and waits without a recorded reason.
func TestUrgentWork(t *testing.T) {
	for name, stubborn := range map[string]bool{"victims stop": false, "one victim ignores its stop": true} {
		t.Run(name, func(t *testing.T) {
			calmTrial(t, func(t *testing.T, trial *trial) {
				long := scheduler.TaskSpec{Class: scheduler.ClassBatch, RunTime: 10 * time.Minute, Request: trial.capacity}
				trial.mustSubmit(t, "long", false, trialWorkers+1, long)
				time.Sleep(20 * time.Second)
				trial.workers[0].SetFaults(emulator.Faults{IgnoreStop: stubborn})
				submitted, limit := time.Now(), 9*time.Second
				if stubborn {
					limit += defaultVictimTimeout
				}
				urgent := scheduler.TaskSpec{Class: scheduler.ClassLatencyCritical, RunTime: time.Minute, Request: trial.capacity}
				trial.mustSubmit(t, "urgent", true, 1, urgent)
				time.Sleep(30 * time.Second)
				started := trial.executions("urgent", 1)
				if len(started) != 1 || started[0].First.Sub(submitted) > limit {
					t.Fatalf("got starts %+v, want one within %s", started, limit)
				}
				t.Logf("urgent work started after %s", started[0].First.Sub(submitted))
				reasons := ""
				for _, task := range trial.report("long").Tasks {
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

// Guards against work that stays on a drained worker or starts there.
func TestDrain(t *testing.T) {
	calmTrial(t, func(t *testing.T, trial *trial) {
		spec := scheduler.TaskSpec{Class: scheduler.ClassBatch, RunTime: time.Hour, Request: scheduler.Resources{MilliCores: 2000}}
		trial.mustSubmit(t, "job", false, 2, spec)
		time.Sleep(5 * time.Second)
		drain := Drain{Worker: "worker-0", Operator: "ama", Reason: "new disk"}
		if err := trial.cluster.leading().Drain(t.Context(), drain); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		for _, task := range trial.report("job").Tasks {
			if task.State != TaskRunning || task.Worker != "worker-1" || task.Attempt != 2 || task.Evictions != 1 {
				t.Errorf("got %+v, want attempt 2 on worker-1", task)
			}
			if reason := task.Events[len(task.Events)-3].Reason; !strings.Contains(reason, "drained by ama: new disk") {
				t.Errorf("got reason %q", reason)
			}
		}
		drain.Off = true
		if err := trial.cluster.leading().Drain(t.Context(), drain); err != nil {
			t.Fatal(err)
		}
		trial.mustSubmit(t, "next", false, 1, spec)
		time.Sleep(5 * time.Second)
		if task := trial.report("next").Tasks[0]; task.Worker != "worker-0" {
			t.Errorf("got %+v, want worker-0 in use again", task)
		}
	})
}

// Guards against a lost rack whose tasks all start at once elsewhere, or batch before
// latency-critical ones.
func TestLostRackIsReplacedInOrder(t *testing.T) {
	calmTrial(t, func(t *testing.T, trial *trial) {
		spec := scheduler.TaskSpec{Class: scheduler.ClassBatch, RunTime: time.Hour, Request: scheduler.Resources{MilliCores: 200}}
		trial.mustSubmit(t, "batch", false, 30, spec)
		spec.Class = scheduler.ClassLatencyCritical
		trial.mustSubmit(t, "prompt", false, 20, spec)
		time.Sleep(5 * time.Second)
		for i := range 3 {
			trial.cutOff[i].Store(true)
		}
		time.Sleep(2 * time.Minute)
		var lost, lastPrompt, lastBatch int64
		var batch []int64
		for _, job := range []scheduler.JobID{"prompt", "batch"} {
			for _, task := range trial.report(job).Tasks {
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
		if got := len(trial.executions("prompt", 2)) + len(trial.executions("batch", 2)); got != 50 {
			t.Fatalf("got %d second attempts, want 50", got)
		}
		for _, at := range batch {
			if at > lost && at < lastPrompt {
				t.Errorf("got a batch assignment at %d, all were lost at %d, the last latency-critical one at %d", at, lost, lastPrompt)
			}
		}
		if took := lastBatch - lost; took < 9000 {
			t.Errorf("got 50 assignments in %d ms, want 4 a second", took)
		}
	})
}

// Guards against commands and usage reports that get lost between engine and worker, and against new
// work on a quarantined worker.
func TestThrottleCheckpointUsageAndQuarantine(t *testing.T) {
	calmTrial(t, func(t *testing.T, trial *trial) {
		engine := trial.cluster.leading()
		spec := scheduler.TaskSpec{Class: scheduler.ClassBatch, RunTime: 2 * time.Minute, Request: scheduler.Resources{MilliCores: 1000}}
		trial.mustSubmit(t, "slow", false, 1, spec)
		time.Sleep(3 * time.Second)
		lease := trial.report("slow").Tasks[0].Lease
		engine.Throttle(lease, true)
		engine.SaveCheckpoint(lease)
		engine.Quarantine("worker-0", true)
		time.Sleep(2 * time.Second)
		checkpoint := trial.report("slow").Tasks[0].Checkpoint
		trial.mustSubmit(t, "next", false, 1, spec)
		time.Sleep(58 * time.Second)
		if worker := trial.report("next").Tasks[0].Worker; worker != "worker-1" || checkpoint == "" {
			t.Errorf("got worker %q and checkpoint %q, want worker-1 and a checkpoint", worker, checkpoint)
		}
		slow, next := trial.executions("slow", 1)[0], trial.executions("next", 1)[0]
		if reports := trial.reports.Load(); slow.Until > next.Until*2/3 || reports < 4 {
			t.Errorf("got progress %s and %s with %d usage reports, want half of it and at least 4", slow.Until, next.Until, reports)
		}
		engine.Throttle(lease, false)
		time.Sleep(2 * time.Minute)
		if report := trial.report("slow"); report.State != JobFinished {
			t.Errorf("got %s, want the job finished at full speed", report.State)
		}
	})
}

// Guards against a backlog of tasks that fit nowhere at present and keep those behind them waiting.
func TestBacklogDoesNotBlockSmallTasks(t *testing.T) {
	calmTrial(t, func(t *testing.T, trial *trial) {
		submit := func(job scheduler.JobID, count int, milliCores int64, runTime time.Duration) {
			trial.mustSubmit(t, job, false, count, scheduler.TaskSpec{
				Class: scheduler.ClassBatch, RunTime: runTime, Request: scheduler.Resources{MilliCores: milliCores},
			})
		}
		submit("long", trialWorkers, 3000, time.Hour)
		submit("short", trialWorkers, 900, 30*time.Second)
		time.Sleep(3 * time.Second)
		submit("large", 1000, 4000, time.Hour)
		submit("small", 1, 950, time.Hour)
		time.Sleep(45 * time.Second)
		if task := trial.report("small").Tasks[0]; task.State != TaskRunning {
			t.Errorf("got %+v, want it running in the room of the short tasks", task)
		}
	})
}

// Guards against a moving job that still runs here, is delivered before it has stopped, or is dropped
// when its delivery fails.
func TestMoveJobs(t *testing.T) {
	calmTrial(t, func(t *testing.T, trial *trial) {
		other, delivered := newBench(t, 1), 0
		other.group = "chaguanas"
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go trial.cluster.leading().MoveJobs(ctx, func(_ context.Context, _ scheduler.DataCentreName, record []byte) error {
			delivered++
			if delivered < 3 {
				return scheduler.ErrOutcomeUnknown.New("no answer")
			}
			other.expect(Operation{Accept: &Accept{Record: record}}, ResultDone)
			return nil
		})
		trial.mustSubmit(t, "job", false, 2, scheduler.TaskSpec{Class: scheduler.ClassBatch, RunTime: time.Hour})
		time.Sleep(5 * time.Second)
		if err := trial.cluster.leading().Release(t.Context(), Release{Job: "job", To: "chaguanas", Operator: "ama"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(15 * time.Second)
		if report := trial.report("job"); report.State != JobMoved || delivered != 3 || len(other.pending) != 2 {
			t.Errorf("got %s after %d deliveries with %d tasks, want a move after 3 with 2", report.State, delivered, len(other.pending))
		}
		for _, execution := range trial.executions("job", 1) {
			if execution.Outcome != scheduler.AttemptStopped {
				t.Errorf("got %+v, want it stopped", execution)
			}
		}
	})
}

// Guards against answers to requests that are late, repeated or at the wrong VM, and against attempts
// that a restarted worker no longer has.
func TestSyncRefusesOutdatedRequests(t *testing.T) {
	tests := map[string]struct {
		request scheduler.SyncRequest
		follows bool
		refused bool
		want    string
	}{
		"next exchange":    {request: scheduler.SyncRequest{Incarnation: 2, Sequence: 6, Running: []scheduler.LeaseNumber{1}}, want: "renewed [1] commands []"},
		"unsorted":         {request: scheduler.SyncRequest{Incarnation: 2, Sequence: 6, Running: []scheduler.LeaseNumber{9, 1}}, want: "renewed [1] commands [stop 9]"},
		"not delivered":    {request: scheduler.SyncRequest{Incarnation: 2, Sequence: 6}, want: "renewed [] commands [start 1]"},
		"unknown worker":   {request: scheduler.SyncRequest{Worker: "worker-9", Running: []scheduler.LeaseNumber{1}}, want: "renewed [] commands [stop 1]"},
		"repeated":         {request: scheduler.SyncRequest{Incarnation: 2, Sequence: 5}, refused: true},
		"earlier life":     {request: scheduler.SyncRequest{Incarnation: 1, Sequence: 9}, refused: true},
		"not the leader":   {request: scheduler.SyncRequest{Incarnation: 2, Sequence: 6}, follows: true, refused: true},
		"later life":       {request: scheduler.SyncRequest{Incarnation: 3, Sequence: 1}, want: "renewed [] commands []"},
		"ended and unsure": {request: scheduler.SyncRequest{Incarnation: 2, Sequence: 6, Ended: []scheduler.EndedAttempt{{Lease: 1, Outcome: "stopped"}, {Lease: 7, Outcome: "failed"}}}, want: "renewed [] commands [] acknowledged [1 7]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bench := newBench(t, 1)
			bench.do(submitOf("a", 1, batchSpec(1)))
			cluster := newCluster(1, "couva-1", "couva-2")
			cluster.nodes[0].machine, cluster.nodes[1].machine = bench.Machine, NewMachine("couva")
			cluster.nodes[0].term = 2
			engine := NewEngine("couva-1", cluster.nodes[0], bench.Machine, newFirstFit())
			if err := engine.takeOver(t.Context(), 2); err != nil {
				t.Fatal(err)
			}
			if _, err := engine.Sync(t.Context(), &scheduler.SyncRequest{Worker: "worker-0000", Incarnation: 2, Sequence: 5}); err != nil {
				t.Fatal(err)
			}
			bench.do(Operation{Term: 2, Assign: &Assign{Task: "a/1", Attempt: 1, Worker: "worker-0000", Incarnation: 2}})
			if test.follows {
				cluster.leader = cluster.nodes[1]
			}
			test.request.Worker = cmp.Or(test.request.Worker, "worker-0000")
			answer, err := engine.Sync(t.Context(), &test.request)
			if refused := scheduler.ErrNotRun.Has(err); refused != test.refused || refused {
				if refused != test.refused {
					t.Errorf("got error %v, want refusal %v", err, test.refused)
				}
				return
			}
			commands := []string{}
			for _, command := range answer.Commands {
				commands = append(commands, fmt.Sprint(command.Kind, " ", command.Lease))
			}
			got := fmt.Sprint("renewed ", answer.Renewed, " commands ", commands)
			if len(answer.Acknowledged) > 0 {
				got += fmt.Sprint(" acknowledged ", answer.Acknowledged)
			}
			if got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}
