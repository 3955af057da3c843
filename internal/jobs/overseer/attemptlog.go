package overseer

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// attemptTimes holds the times of one attempt that its log events report. An attempt that was adopted from an earlier
// leader counts from its adoption.
type attemptTimes struct {
	placedAt time.Duration
	// acceptedAt is when the worker was first known to run the attempt.
	acceptedAt time.Duration
	listedAt   time.Duration
}

// attemptStages is the time that an attempt, or several of them, spent in each stage.
type attemptStages struct {
	// starting is the time from the placement until the start was accepted, running the time from then until the end was
	// reported, heldBack the part of it lost to throttling (a second at 40 percent counts 0.6 s), and recording the time until the end was replicated.
	starting, running, heldBack, recording time.Duration
}

// stages returns the stages of an attempt whose end was replicated at the given time.
func (attempt *attempt) stages(now time.Duration) attemptStages {
	times := attempt.times
	listed := times.listedAt
	if listed == 0 {
		listed = now
	}
	if times.acceptedAt == 0 || times.acceptedAt > listed {
		return attemptStages{starting: listed - times.placedAt, recording: now - listed}
	}
	running := listed - times.acceptedAt
	return attemptStages{
		starting: times.acceptedAt - times.placedAt, running: running,
		heldBack: max(0, running-attempt.timing.elapsed(listed)), recording: now - listed,
	}
}

func (attemptStages *attemptStages) add(other attemptStages) {
	attemptStages.starting += other.starting
	attemptStages.running += other.running
	attemptStages.heldBack += other.heldBack
	attemptStages.recording += other.recording
}

// log adds the stages to a log event, in milliseconds.
func (attemptStages attemptStages) log(event *zerolog.Event) *zerolog.Event {
	return event.Int64("starting", attemptStages.starting.Milliseconds()).
		Int64("running", attemptStages.running.Milliseconds()).
		Int64("heldBack", attemptStages.heldBack.Milliseconds()).
		Int64("recording", attemptStages.recording.Milliseconds())
}

// recordListed records when a report listed the ends.
func (leadership *leadership) recordListed(instance *worker, ends []jobkeeper.End) {
	now := leadership.now()
	for _, end := range ends {
		if attempt := instance.attempts[end.Run]; attempt != nil {
			attempt.times.listedAt = now
		}
	}
}

// stepResults sums the finished attempts of a step. One event for each step keeps the log small beside one for each
// attempt.
type stepResults struct {
	spec     scheduler.Step
	finished int
	stages   attemptStages
}

// logAttemptEnd logs an attempt that ended without a result, and adds one with a result to those of its step. The mutex
// must be held.
func (leadership *leadership) logAttemptEnd(instance *worker, ended *attempt, end jobkeeper.End) {
	switch {
	case end.Kind != scheduler.EndFinished:
		leadership.logFailedAttempt(instance, ended, end)
	case ended != nil && !ended.spec.LongRunning:
		leadership.addResult(ended, end)
	}
}

func (leadership *leadership) logFailedAttempt(instance *worker, ended *attempt, end jobkeeper.End) {
	event := leadership.logger.Info().Str("event", "attemptEnded").Stringer("run", end.Run).
		Str("worker", string(instance.name)).
		Str("kind", string(end.Kind)).Bool("checkpoint", end.Checkpoint != "")
	if ended != nil {
		event = ended.stages(leadership.now()).log(event).Str("reason", ended.stopReason).
			Int64("milliCores", ended.spec.Request.MilliCores).
			Bool("fill", ended.spec.Fill).Bool("longRunning", ended.spec.LongRunning).
			Int("progress", ended.running.Progress)
	}
	event.Msg("attempt ended without result")
}

func (leadership *leadership) addResult(ended *attempt, end jobkeeper.End) {
	key := keyOf(end.Run.Task)
	if leadership.jobLog.reported[key.job] {
		return // Results are removed when the job ends; this job already has.
	}
	results := leadership.jobLog.results[key.job]
	if results == nil {
		results = map[stepKey]*stepResults{}
		leadership.jobLog.results[key.job] = results
	}
	step := results[key]
	if step == nil {
		step = &stepResults{spec: ended.spec}
		results[key] = step
	}
	step.finished++
	step.stages.add(ended.stages(leadership.now()))
	if step.finished >= ended.spec.Count {
		leadership.logStep(key, step)
		delete(results, key)
	}
}

// logStep logs the finished tasks of a step, with the sum of their stages.
func (leadership *leadership) logStep(key stepKey, step *stepResults) {
	event := leadership.logger.Info().Str("event", "stepEnded").Str("job", string(key.job)).
		Int("occurrence", key.occurrence).Int("step", key.step).
		Int("tasks", step.finished).Int64("milliCores", step.spec.Request.MilliCores).Bool("fill", step.spec.Fill)
	step.stages.log(event).Msg("tasks of a step finished")
}

// logUnfinishedSteps logs the finished tasks of the steps of a job that ended before all their tasks had finished, or
// whose other tasks finished under an earlier leader. The mutex must be held.
func (leadership *leadership) logUnfinishedSteps(job scheduler.JobID) {
	for key, step := range leadership.jobLog.results[job] {
		leadership.logStep(key, step)
	}
	delete(leadership.jobLog.results, job)
}
