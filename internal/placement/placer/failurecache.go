package placer

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// enoughRefusals is how many tasks of one shape are refused in a row before the others of the step are
// refused without a decision. Each decision scores other random workers, so one refusal proves little.
const enoughRefusals = 8

// shape is what decides whether a batch task can start now, but for its waiting time.
type shape struct {
	kind    string
	request scheduler.Resources
}

// refusals remembers the refusals of one step. While nothing but assignments changes, room only shrinks,
// and a task that has waited no longer than a refused one has no higher harm limit.
type refusals struct {
	now    time.Time
	shapes map[shape]refusedShape
}

type refusedShape struct {
	inRow   int
	waiting time.Duration
	refusal scheduler.PlacementFailure
}

// shapeOf returns the shape of a task. ok is false for tasks whose decision depends on more.
func shapeOf(task *scheduler.PendingTask) (found shape, ok bool) {
	if task.Urgent || task.Spec.Class != scheduler.ClassBatch || task.Spec.Spread != "" ||
		len(task.Spec.Constraints) > 0 || len(task.AvoidWorkers) > 0 {
		return shape{}, false
	}
	return shape{kind: task.Spec.Kind, request: task.Spec.Request}, true
}

// begin forgets the refusals of an earlier step.
func (refusals *refusals) begin(now time.Time) {
	if !refusals.now.Equal(now) {
		refusals.forget()
		refusals.now = now
	}
}

// forget drops all refusals, because room may have become free.
func (refusals *refusals) forget() { clear(refusals.shapes) }

// known returns the refusal that a decision on the task would repeat.
func (refusals *refusals) known(task *scheduler.PendingTask) (scheduler.PlacementFailure, bool) {
	shape, ok := shapeOf(task)
	if !ok {
		return scheduler.PlacementFailure{}, false
	}
	refused := refusals.shapes[shape]
	if refused.inRow < enoughRefusals || task.WaitTime > refused.waiting {
		return scheduler.PlacementFailure{}, false
	}
	refusal := refused.refusal
	refusal.Task = task.Task
	return refusal, true
}

// note takes over a decision on a task.
func (refusals *refusals) note(task *scheduler.PendingTask, refusal scheduler.PlacementFailure, isRefused bool) {
	shape, ok := shapeOf(task)
	if !ok {
		return
	}
	if !isRefused {
		delete(refusals.shapes, shape)
		return
	}
	refused := refusals.shapes[shape]
	refusals.shapes[shape] = refusedShape{inRow: refused.inRow + 1, waiting: max(refused.waiting, task.WaitTime), refusal: refusal}
}
