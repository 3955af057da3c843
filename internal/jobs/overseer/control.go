package overseer

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/pacer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// heldUntilMoved is for how long a fill task may be held back completely before it is moved elsewhere.
const heldUntilMoved = 1500 * time.Millisecond

// control reacts to the latencies of the serving tasks on a worker: it slows fill tasks down, lets them go
// on, and moves those that stand still. The mutex is held.
func (leadership *leadership) control(life *worker) {
	sample := life.sample()
	if len(sample.Serving) == 0 && len(sample.Fill) == 0 {
		return
	}
	now := leadership.now()
	for id, share := range life.pace.Decide(sample, leadership.effects) {
		attempt := life.attempts[id]
		attempt.wantedShare = share
		switch {
		case share > 0:
			attempt.heldSince = 0
		case attempt.heldSince == 0:
			attempt.heldSince = now
		case now-attempt.heldSince > heldUntilMoved && attempt.spec.Checkpointing && !attempt.starved:
			leadership.stopAttempt(life, id, "held back for the latency of a serving task")
		}
		leadership.throttle(life, id, attempt)
	}
}

// sample returns what the last report tells about serving and fill tasks.
func (worker *worker) sample() pacer.Sample {
	var sample pacer.Sample
	for id, attempt := range worker.attempts {
		if attempt.state != attemptRunning || attempt.ending {
			continue
		}
		switch {
		case attempt.spec.LatencyTarget > 0 && attempt.running.LoadSample > 0:
			ratio := attempt.running.LoadSample / float64(attempt.spec.LatencyTarget.Milliseconds())
			sample.Serving = append(sample.Serving, pacer.ServingSample{Run: id, Image: attempt.spec.Image, Ratio: ratio})
		case attempt.spec.Fill:
			sample.Fill = append(sample.Fill, pacer.FillSample{
				Run: id, Image: attempt.spec.Image, Share: attempt.share,
				Usage: worker.part(attempt.running.LoadSample), Demand: worker.part(float64(attempt.spec.Request.MilliCores)),
			})
		}
	}
	return sample
}

// part returns thousandths of a core as a part of the worker's processors.
func (worker *worker) part(milliCores float64) float64 {
	if worker.beat.Capacity.MilliCores <= 0 {
		return 0
	}
	return milliCores / float64(worker.beat.Capacity.MilliCores)
}

// throttle sends the wanted share of an attempt unless an order about it is under way. The mutex is held.
func (leadership *leadership) throttle(life *worker, id scheduler.RunID, attempt *attempt) {
	if attempt.throttling || attempt.wantedShare == attempt.share || attempt.state != attemptRunning {
		return
	}
	attempt.throttling = true
	leadership.overseer.metrics.throttled.Inc(1)
	leadership.workers.Go(func() { leadership.sendShare(life, id, attempt) })
}

// sendShare sends the wanted share until the worker has taken the newest one.
func (leadership *leadership) sendShare(life *worker, id scheduler.RunID, attempt *attempt) {
	for failures := 0; leadership.mayAct(); {
		share, wanted := leadership.nextShare(life, id, attempt)
		if !wanted {
			return
		}
		ctx, cancel := context.WithTimeout(leadership.context, orderTimeout)
		answer, err := leadership.overseer.client.Throttle(ctx, leadership.ref(life), id, share, leadership.term)
		cancel()
		if err != nil {
			failures++
			leadership.pause(retryPause(failures))
			continue
		}
		if answer.Result == scheduler.OrderAccepted {
			leadership.mutex.Lock()
			attempt.share = share
			leadership.mutex.Unlock()
			continue
		}
		break
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	attempt.throttling = false
}

// nextShare returns the share to be sent, or ends the sending.
func (leadership *leadership) nextShare(life *worker, id scheduler.RunID, attempt *attempt) (share int, wanted bool) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	if life.over || life.attempts[id] != attempt || attempt.state != attemptRunning || attempt.share == attempt.wantedShare {
		attempt.throttling = false
		return 0, false
	}
	return attempt.wantedShare, true
}
