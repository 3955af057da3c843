package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/forecaster"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// timing measures how long an attempt has been running, converted to full speed. The leadership's mutex guards it.
type timing struct {
	// measurable is true if this leadership placed the attempt, it began without a checkpoint, and its end has not been
	// observed yet.
	measurable bool
	running    bool
	// worked is the run time up to changedAt. Since then, the attempt has been running at share percent of its speed.
	worked    time.Duration
	changedAt time.Duration
	share     int
}

// begin records that the attempt is running. Only the first call has an effect.
func (timing *timing) begin(now time.Duration) {
	if !timing.running {
		timing.running, timing.changedAt, timing.share = true, now, fullShare
	}
}

// setShare records that the worker has changed the speed of the attempt.
func (timing *timing) setShare(now time.Duration, share int) {
	timing.worked, timing.changedAt, timing.share = timing.elapsed(now), now, share
}

// elapsed returns the run time until now. For an attempt of an earlier leader, it counts from the first report.
func (timing *timing) elapsed(now time.Duration) time.Duration {
	if !timing.running {
		return 0
	}
	return timing.worked + (now-timing.changedAt)*time.Duration(timing.share)/fullShare
}

// observeRunTimes records the run times of the attempts that a report lists as ended. It must be called before the
// report itself is recorded: if the renewal before was not answered, it is unknown when the attempts ended. The mutex
// must be held.
func (leadership *leadership) observeRunTimes(instance *worker, ends []jobkeeper.End) {
	if !instance.renewalAnswered {
		return
	}
	now := leadership.now()
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		for _, end := range ends {
			attempt := instance.attempts[end.Run]
			run, found := state.Run(instance.name, end.Run)
			if !found || attempt == nil || !attempt.isMeasurable(instance) {
				continue
			}
			superseded := end.Kind == scheduler.EndStopped && run.Task().Finished()
			if end.Kind != scheduler.EndFinished && !superseded {
				continue
			}
			attempt.timing.measurable = false
			leadership.observeRunTime(forecaster.Observation{
				Kind:     kindOf(run.Task().Step()),
				Estimate: attempt.spec.Estimate, RunTime: attempt.timing.elapsed(now), Worker: instance.name,
				Fill: attempt.spec.Fill, Stopped: superseded,
			})
		}
	})
}

// isMeasurable reports whether the run time of an attempt tells how long such tasks run on a healthy worker near their
// data.
func (attempt *attempt) isMeasurable(instance *worker) bool {
	spec := &attempt.spec
	remote := spec.PreferredRack != "" && spec.PreferredRack != instance.rack()
	return attempt.timing.measurable && attempt.timing.running && !attempt.startUnanswered && !spec.LongRunning && !remote
}

// kindOf returns the kind of the tasks of a step.
func kindOf(step *jobkeeper.StepState) scheduler.TaskKind {
	return scheduler.NewTaskKind(step.Job().Queue().Name, step.Spec().Image)
}

func (leadership *leadership) observeRunTime(observation forecaster.Observation) {
	calibration := leadership.runTimes.Observe(observation)
	if !calibration.Predicted() {
		return
	}
	scope := leadership.overseer.metrics.queueScope(observation.Kind.Queue())
	scope.Counter("run_times_predicted").Inc(1)
	if calibration.BelowMedian() {
		scope.Counter("run_times_below_p50").Inc(1)
	}
	if calibration.BelowUpper() {
		scope.Counter("run_times_below_p90").Inc(1)
	}
}
