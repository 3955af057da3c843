package placer

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// failureThreshold is the number of consecutive tasks of one equivalence class that must fail to be placed before the
// remaining ones of the step fail without a search. Each search scores another random sample of workers, so a single
// failure is not conclusive.
const failureThreshold = 8

// equivalenceClass identifies batch tasks whose placement depends on nothing but these fields and the wait time.
type equivalenceClass struct {
	kind    string
	request scheduler.Resources
}

// failureCache caches the placement failures of one step. As long as the only changes are new assignments, free
// capacity can only shrink, and a task that has waited no longer than a failed one has no higher interference limit.
type failureCache struct {
	now     time.Time
	classes map[equivalenceClass]cachedFailure
}

type cachedFailure struct {
	consecutive int
	maxWait     time.Duration
	failure     scheduler.PlacementFailure
}

// equivalenceClassOf returns the class of a task. ok is false if the placement of the task depends on further fields.
func equivalenceClassOf(task *scheduler.PendingTask) (class equivalenceClass, ok bool) {
	if task.Urgent || task.Spec.Class != scheduler.ClassBatch || task.Spec.Spread != "" ||
		len(task.Spec.Constraints) > 0 || len(task.AvoidWorkers) > 0 {
		return equivalenceClass{}, false
	}
	return equivalenceClass{kind: task.Spec.Kind, request: task.Spec.Request}, true
}

// beginStep clears the cache if now differs from the time of the cached step.
func (failureCache *failureCache) beginStep(now time.Time) {
	if !failureCache.now.Equal(now) {
		failureCache.reset()
		failureCache.now = now
	}
}

// reset clears the cache. It is called whenever capacity may have become free.
func (failureCache *failureCache) reset() { clear(failureCache.classes) }

// lookup returns the cached failure for the task, if there is one that applies.
func (failureCache *failureCache) lookup(task *scheduler.PendingTask) (scheduler.PlacementFailure, bool) {
	class, ok := equivalenceClassOf(task)
	if !ok {
		return scheduler.PlacementFailure{}, false
	}
	cached := failureCache.classes[class]
	if cached.consecutive < failureThreshold || task.WaitTime > cached.maxWait {
		return scheduler.PlacementFailure{}, false
	}
	failure := cached.failure
	failure.Task = task.Task
	return failure, true
}

// record records the result of a search for a task.
func (failureCache *failureCache) record(
	task *scheduler.PendingTask, failure scheduler.PlacementFailure, isFailure bool,
) {
	class, ok := equivalenceClassOf(task)
	if !ok {
		return
	}
	if !isFailure {
		delete(failureCache.classes, class)
		return
	}
	cached := failureCache.classes[class]
	failureCache.classes[class] = cachedFailure{
		consecutive: cached.consecutive + 1, maxWait: max(cached.maxWait, task.WaitTime), failure: failure,
	}
}
