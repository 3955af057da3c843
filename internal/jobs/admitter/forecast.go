package admitter

import (
	"math"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Reasons for refusing a job because of a forecast.
const (
	// ReasonTooLate means that the job would finish when its result is no longer of use.
	ReasonTooLate = "the job would finish too late to be of use"
	// ReasonNoReturn means the same, and that the caller does not wait until a return would succeed.
	ReasonNoReturn = "the job would finish too late to be of use and the caller's deadline is too short for a retry"
	// ReasonEarlyReturn means that the job was refused before and its return time has not come.
	ReasonEarlyReturn = "the job was refused and its retry time has not come"
)

// Forecast is the prediction on which a decision rests.
type Forecast struct {
	certain bool
	kind    CapacityKind
	ahead   int64
	rate    float64
	free    int64
	service time.Duration
	end     time.Duration
	useful  time.Duration
	age     time.Duration
}

// Kind returns the kind of capacity that limits the job.
func (forecast Forecast) Kind() CapacityKind { return forecast.kind }

// Ahead returns the work that will start before the job, in millicores times milliseconds.
func (forecast Forecast) Ahead() int64 { return forecast.ahead }

// Rate returns the rate at which the pool drains work, in millicores times milliseconds per second.
func (forecast Forecast) Rate() float64 { return forecast.rate }

// Free returns the free capacity in millicores.
func (forecast Forecast) Free() int64 { return forecast.free }

// End returns the predicted time until the job finishes.
func (forecast Forecast) End() time.Duration { return forecast.end }

// Useful returns the time for which the result of the job is of use.
func (forecast Forecast) Useful() time.Duration { return forecast.useful }

// RateAge returns the age of the drain rate.
func (forecast Forecast) RateAge() time.Duration { return forecast.age }

// demand is what a job needs, derived from its workflow.
type demand struct {
	job    scheduler.JobID
	rank   rank
	path   time.Duration
	useful time.Duration
	parts  map[CapacityKind]demandPart
}

// demandPart is the demand for one kind of capacity.
type demandPart struct {
	// work is the work of all tasks, initial the request of the tasks that can start at once, in millicores.
	work    int64
	initial int64
}

func newDemand(submission *Submission) demand {
	steps := submission.Workflow.Steps
	path := packer.CriticalPath(steps, func(step int) time.Duration { return steps[step].Estimate })
	demand := demand{
		job: submission.Job, path: path,
		useful: packer.UsefulTime(submission.Queue, path), parts: map[CapacityKind]demandPart{},
		rank: rank{priority: submission.Queue.Priority, prospect: packer.ProspectTimely},
	}
	for position := range steps {
		step := &steps[position]
		part := demand.parts[KindOf(step)]
		work := WorkOf(step) * int64(step.Count)
		part.work += work
		if len(step.DependsOn) == 0 {
			part.initial += step.Request.MilliCores * int64(step.Count)
		}
		demand.parts[KindOf(step)] = part
		demand.rank.work += work
	}
	return demand
}

// waitTime returns the time until the work ahead of a job has started, while more urgent work arrives at a rate. An
// overload is expected to last as long again as it has lasted.
func waitTime(ahead int64, drain, arriving float64, overloadedFor time.Duration) time.Duration {
	untilEnd := workTime(ahead+int64(arriving*overloadedFor.Seconds()), drain)
	if arriving >= drain {
		return untilEnd
	}
	return min(untilEnd, workTime(ahead, drain-arriving))
}

// workTime returns the time in which work drains at a rate.
func workTime(work int64, rate float64) time.Duration {
	if work <= 0 {
		return 0
	}
	seconds := float64(work) / rate
	if rate <= 0 || seconds > maxForecast.Seconds() {
		return maxForecast
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxForecast limits predicted times.
const maxForecast = time.Hour

// roundUp rounds a retry time up to whole seconds, the unit of the Retry-After header.
func roundUp(duration time.Duration) time.Duration {
	return time.Duration(math.Ceil(duration.Seconds())) * time.Second
}
