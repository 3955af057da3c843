package overseer

import (
	"context"

	"github.com/crocusplank/crocusplank/internal/jobs/pacer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// adjustShares reacts to the latencies of the serving tasks on a worker: it throttles fill tasks, raises their shares
// again, and moves those that have been paused for too long. The mutex must be held.
func (leadership *leadership) adjustShares(instance *worker) {
	pacerSample := instance.pacerSample()
	if len(pacerSample.Serving) == 0 && len(pacerSample.Fill) == 0 {
		return
	}
	now := leadership.now()
	for id, share := range instance.pace.Decide(pacerSample, leadership.interference) {
		attempt := instance.attempts[id]
		attempt.targetShare = share
		switch {
		case share > 0:
			attempt.pausedSince = 0
		case attempt.pausedSince == 0:
			attempt.pausedSince = now
		case now-attempt.pausedSince > pacer.MaxPause && attempt.spec.Checkpointing && !attempt.starved:
			leadership.stopAttempt(instance, id, "paused for too long because of the latency of a serving task")
		}
		leadership.throttle(instance, id, attempt)
	}
}

// pacerSample returns the serving and fill tasks of the last report.
func (worker *worker) pacerSample() pacer.Sample {
	var pacerSample pacer.Sample
	for id, attempt := range worker.attempts {
		if attempt.state != attemptRunning || attempt.recordingEnd {
			continue
		}
		switch {
		case attempt.spec.LatencyTarget > 0 && attempt.running.LoadSample > 0:
			ratio := attempt.running.LoadSample / float64(attempt.spec.LatencyTarget.Milliseconds())
			pacerSample.Serving = append(pacerSample.Serving,
				pacer.ServingSample{Run: id, Image: attempt.spec.Image, Ratio: ratio})
		case attempt.spec.Fill:
			pacerSample.Fill = append(pacerSample.Fill, pacer.FillSample{
				Run: id, Image: attempt.spec.Image, Share: attempt.share,
				Usage:  worker.fraction(attempt.running.LoadSample),
				Demand: worker.fraction(float64(attempt.spec.Request.MilliCores)),
			})
		}
	}
	return pacerSample
}

// fraction converts millicores to a fraction of the CPU capacity that the worker has when it is not shrunk. Interference is
// learned for tasks of all workers in this unit, and tasks that run do not use more of their VM when the worker shrinks.
func (worker *worker) fraction(milliCores float64) float64 {
	full := max(worker.fullMilliCores, worker.heartbeat.Capacity.MilliCores)
	if full <= 0 {
		return 0
	}
	return milliCores / float64(full)
}

// hasTargetShare reports whether the attempt runs at the intended share for certain.
func (attempt *attempt) hasTargetShare() bool {
	return attempt.share == attempt.targetShare && !attempt.shareUnknown
}

// throttle sends the target share of an attempt unless a throttle order for it is in progress. The mutex must be
// held.
func (leadership *leadership) throttle(instance *worker, id scheduler.RunID, attempt *attempt) {
	if attempt.throttling || attempt.hasTargetShare() || attempt.state != attemptRunning {
		return
	}
	attempt.throttling = true
	leadership.overseer.metrics.throttled.Inc(1)
	leadership.goroutines.Go(func() { leadership.sendShare(instance, id, attempt) })
}

// sendShare sends the target share until the worker has accepted the latest value.
func (leadership *leadership) sendShare(instance *worker, id scheduler.RunID, attempt *attempt) {
	for failures := 0; leadership.mayAct(); {
		share, wanted := leadership.nextShare(instance, id, attempt)
		if !wanted {
			return
		}
		ctx, cancel := context.WithTimeout(leadership.context, orderTimeout)
		response, err := leadership.overseer.client.Throttle(ctx, leadership.ref(instance), id, share, leadership.term)
		cancel()
		if err != nil {
			failures++
			leadership.pause(retryDelay(failures))
			continue
		}
		if response.Result == scheduler.OrderFenced {
			leadership.mutex.Lock()
			leadership.handleFenced(instance)
			leadership.mutex.Unlock()
		}
		if response.Result == scheduler.OrderAccepted {
			leadership.recordShare(attempt, share)
			continue
		}
		break
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	attempt.throttling = false
}

// recordShare records the share that a worker has accepted.
func (leadership *leadership) recordShare(attempt *attempt, share int) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	attempt.share, attempt.shareUnknown = share, false
	attempt.timing.setShare(leadership.now(), share)
}

// nextShare returns the share to send. If none is needed, it clears attempt.throttling.
func (leadership *leadership) nextShare(
	instance *worker, id scheduler.RunID, attempt *attempt,
) (share int, wanted bool) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	if instance.ended || instance.fenced || instance.attempts[id] != attempt || attempt.state != attemptRunning ||
		attempt.hasTargetShare() {
		attempt.throttling = false
		return 0, false
	}
	return attempt.targetShare, true
}
