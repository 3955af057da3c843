package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/pacer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// loadInterval is how often the domain load is logged.
const loadInterval = 2 * time.Second

// load summarises the work on the domain's workers.
type load struct {
	workers, schedulable int
	withoutServing       int
	// exceeded counts the workers that have shrunk below what is running on them.
	exceeded                int
	capacity, reserved      int64
	serving, running, fills int
	fillUsage               int64
	paused                  int
	readyServing            int
	readyFill               int
	ready                   int
	readyMilliCores         int64
	// approvalSteps is the number of steps with approvals, or with requests for them.
	approvalSteps int
	planning      planningTimes
	// accuracy compares the predicted interference with the samples since the last event.
	accuracy pacer.Accuracy
}

// planningTimes sums up the durations of planning cycles, without the time to replicate placements. The mutex is held
// for most of a cycle, so a long cycle delays orders and reports.
type planningTimes struct {
	cycles         int
	total, longest time.Duration
}

func (planningTimes *planningTimes) add(took time.Duration) {
	planningTimes.cycles++
	planningTimes.total += took
	planningTimes.longest = max(planningTimes.longest, took)
}

// logLoad logs the load, so that the cause of a late job can be analysed afterwards.
func (leadership *leadership) logLoad() {
	load := leadership.summariseLoad()
	leadership.overseer.metrics.exceeded.Update(float64(load.exceeded))
	leadership.logger.Info().Str("event", "load").Int("workers", load.workers).Int("usable", load.schedulable).
		Int("withoutServing", load.withoutServing).Int("overCapacity", load.exceeded).
		Int64("capacity", load.capacity).Int64("reserved", load.reserved).Int("serving", load.serving).
		Int("running", load.running).
		Int("fills", load.fills).Int64("fillUsage", load.fillUsage).Int("held", load.paused).
		Int("readyServing", load.readyServing).
		Int("readyFill", load.readyFill).Int("ready", load.ready).Int64("readyCores", load.readyMilliCores).
		Int("servingSamples", load.accuracy.Samples()).Int("aboveTarget", load.accuracy.AboveTarget()).
		Int("aboveTargetBesideFill", load.accuracy.AboveTargetBesideFill()).
		Int("predicted", load.accuracy.Predicted()).Int("missed", load.accuracy.Missed()).Int("falseAlarms", load.accuracy.FalseAlarms()).
		Int("approvalSteps", load.approvalSteps).Int("plans", load.planning.cycles).
		Dur("planning", load.planning.total).Dur("longestPlan", load.planning.longest).
		Float64("bias", load.accuracy.Bias()).Float64("meanError", load.accuracy.MeanAbsoluteError()).
		Msg("domain load")
}

func (leadership *leadership) summariseLoad() load {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	load := load{
		accuracy: leadership.interference.TakeAccuracy(), planning: leadership.planning, approvalSteps: len(leadership.approvals),
	}
	leadership.planning = planningTimes{}
	now := leadership.now()
	heartbeatTimeout := leadership.heartbeatTimeout()
	for _, instance := range leadership.instances {
		load.workers++
		if instance.acceptsWork(now, heartbeatTimeout) {
			load.schedulable++
		}
		if instance.hasHeartbeat && instance.exceedsCapacity() {
			load.exceeded++
		}
		load.capacity += instance.heartbeat.Capacity.MilliCores
		for _, attempt := range instance.attempts {
			load.add(attempt)
		}
		if len(instance.usageSummary(now).images) == 0 {
			load.withoutServing++
		}
	}
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		state.VisitReady(func(task *jobkeeper.Task) {
			load.addReady(task.Step().Spec())
		})
	})
	return load
}

func (load *load) add(attempt *attempt) {
	load.reserved += attempt.spec.Reserved().MilliCores
	switch {
	case attempt.spec.LongRunning:
		load.serving++
	case attempt.spec.Fill:
		load.fills++
		load.fillUsage += int64(attempt.running.LoadSample)
		if attempt.targetShare == 0 {
			load.paused++
		}
	default:
		load.running++
	}
}

func (load *load) addReady(spec *scheduler.Step) {
	load.readyMilliCores += spec.Reserved().MilliCores
	switch {
	case spec.LongRunning:
		load.readyServing++
	case spec.Fill:
		load.readyFill++
	default:
		load.ready++
	}
}
