package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against cached failures that are applied to tasks that could start: after capacity has become free, to tasks
// of another equivalence class, or in a later step.
func TestCachedFailuresDoNotHideCapacity(t *testing.T) {
	full := state(scheduler.Worker{Name: "w", Rack: "r", Capacity: resources(8, 32, 0)},
		running("old/1", spec(scheduler.ClassBatch, "kind", resources(8, 16, 0)), time.Minute, 0))
	empty := state(full.Worker)
	large := spec(scheduler.ClassBatch, "kind", resources(4, 20, 0))
	tests := map[string]struct {
		change func(p *Placer, task *scheduler.PendingTask, now *time.Time)
		want   int
	}{
		"nothing changed": {func(*Placer, *scheduler.PendingTask, *time.Time) {}, 0},
		"capacity freed":  {func(p *Placer, _ *scheduler.PendingTask, _ *time.Time) { p.Update(empty) }, 1},
		"smaller task":    {func(_ *Placer, task *scheduler.PendingTask, _ *time.Time) { task.Spec.Request = resources(0, 1, 0) }, 1},
		"another kind":    {func(_ *Placer, task *scheduler.PendingTask, _ *time.Time) { task.Spec.Kind = "other" }, 0},
		"capacity freed and later step": {func(p *Placer, _ *scheduler.PendingTask, now *time.Time) {
			p.Update(empty)
			*now = now.Add(time.Second)
		}, 1},
		"urgent task": {func(_ *Placer, task *scheduler.PendingTask, _ *time.Time) { task.Urgent = true }, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := New()
			if err != nil {
				t.Fatal(err)
			}
			p.Update(full)
			now := start
			for i := range 2 * failureThreshold {
				task := scheduler.PendingTask{Task: scheduler.TaskID(fmt.Sprint("first/", i)), Job: "first", Spec: large, WaitTime: time.Minute}
				if _, failed := p.Place(now, []scheduler.PendingTask{task}); len(failed) != 1 || failed[0].Task != task.Task {
					t.Fatalf("task %d: got failures %v, want one for this task", i, failed)
				}
			}
			task := scheduler.PendingTask{Task: "next/1", Job: "next", Spec: large, WaitTime: time.Second}
			test.change(p, &task, &now)
			assigned, failed := p.Place(now, []scheduler.PendingTask{task})
			if len(assigned) != test.want || len(assigned)+len(failed) != 1 {
				t.Errorf("got %d assignments and %d failures, want %d of 1 assigned", len(assigned), len(failed), test.want)
			}
		})
	}
}

// Guards against applying a cached failure to a task that has waited longer and therefore has a higher interference
// limit.
func TestCachedFailuresDoNotApplyToLongerWait(t *testing.T) {
	p, err := New(WithEstimator(uniformEstimator(5)), WithInterferenceLimit(0.2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	worker := scheduler.Worker{Name: "w", Rack: "r", Capacity: resources(8, 32, 0)}
	p.Update(state(worker, running("s/1", spec(scheduler.ClassLatencyCritical, "service", resources(2, 4, 0)), time.Hour, 0)))
	batch := spec(scheduler.ClassBatch, "kind", resources(2, 4, 0))
	place := func(id string, waitTime time.Duration) int {
		task := scheduler.PendingTask{Task: scheduler.TaskID(id), Job: "job", Spec: batch, WaitTime: waitTime}
		assigned, _ := p.Place(start, []scheduler.PendingTask{task})
		return len(assigned)
	}
	for i := range 2 * failureThreshold {
		if got := place(fmt.Sprint("young/", i), time.Second); got != 0 {
			t.Fatalf("task %d: got %d assignments, want 0, since it would slow down the service", i, got)
		}
	}
	if got := place("old/1", time.Hour); got != 1 {
		t.Errorf("task that has waited for an hour: got %d assignments, want 1", got)
	}
}
