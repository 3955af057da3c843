package jobkeeper

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// BenchmarkEndedJobs measures the state with jobs that have ended, each with two steps of eight tasks: its memory, its
// memory once restored, its snapshot, and the time to write and to restore it. "forgotten" is the state after the removal of all but 20,000 of them.
func BenchmarkEndedJobs(b *testing.B) {
	const kept = 20_000
	for _, jobs := range []int{kept, 100_000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) { benchmarkState(b, keeperWithEndedJobs(b, jobs)) })
	}
	b.Run("100000 forgotten", func(b *testing.B) {
		keeper := keeperWithEndedJobs(b, 100_000)
		var ids []scheduler.JobID
		for job := range 100_000 - kept {
			ids = append(ids, endedJobID(job))
		}
		applyCommand(b, keeper, Command{Forget: ids})
		benchmarkState(b, keeper)
	})
}

func benchmarkState(b *testing.B, keeper *Keeper) {
	withState := heapBytes()
	var snapshot bytes.Buffer
	var written, restored time.Duration
	for b.Loop() {
		snapshot.Reset()
		began := time.Now()
		if err := keeper.Snapshot(&snapshot); err != nil {
			b.Fatal(err)
		}
		written += time.Since(began)
		began = time.Now()
		if err := keeper.Restore(bytes.NewReader(snapshot.Bytes())); err != nil {
			b.Fatal(err)
		}
		restored += time.Since(began)
	}
	size := float64(snapshot.Len())
	snapshot = bytes.Buffer{}
	withRestored := heapBytes()
	keeper.state = newState()
	withoutState := heapBytes()
	b.ReportMetric((withState-withoutState)/(1<<20), "heapMiB")
	b.ReportMetric((withRestored-withoutState)/(1<<20), "restoredHeapMiB")
	b.ReportMetric(size/(1<<20), "snapshotMiB")
	b.ReportMetric(float64(written.Milliseconds())/float64(b.N), "ms/snapshot")
	b.ReportMetric(float64(restored.Milliseconds())/float64(b.N), "ms/restore")
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc)
}

func endedJobID(job int) scheduler.JobID { return scheduler.JobID(fmt.Sprintf("%016x", job)) }

func keeperWithEndedJobs(b *testing.B, jobs int) *Keeper {
	b.Helper()
	const steps, tasks = 2, 8
	keeper := New()
	applyCommand(b, keeper, Command{Configure: configuration(1)})
	for job := range jobs {
		id := endedJobID(job)
		workflow := scheduler.Workflow{Payload: "payload of 16 by"}
		for step := range steps {
			spec := scheduler.Step{Count: tasks, Request: scheduler.Resources{MilliCores: 3500, MemoryBytes: 1 << 30}}
			if step > 0 {
				spec.DependsOn = []int{step - 1}
			}
			workflow.Steps = append(workflow.Steps, spec)
		}
		applyCommand(b, keeper, Command{Submit: &Submit{Job: id, Queue: "checks", Workflow: workflow}})
		for step := range steps {
			finishStep(b, keeper, id, step, tasks)
		}
	}
	return keeper
}

// finishStep runs each task of a step once.
func finishStep(b *testing.B, keeper *Keeper, id scheduler.JobID, step, tasks int) {
	b.Helper()
	var placements []Placement
	var ends []End
	for index := range tasks {
		task := scheduler.StepTaskID{Job: id, Step: step, Index: index}
		placements = append(placements, Placement{Task: task, Worker: testWorker, Instance: 1})
		ends = append(ends, End{Run: scheduler.RunID{Task: task, Attempt: 1}, Kind: scheduler.EndFinished})
	}
	applyCommand(b, keeper, Command{Place: placements})
	applyCommand(b, keeper, Command{End: ends})
}

func applyCommand(b *testing.B, keeper *Keeper, command Command) {
	b.Helper()
	if got := keeper.apply(&command).Status; got != StatusDone {
		b.Fatalf("got %s, want %s", got, StatusDone)
	}
}
