package experimenter

import (
	"math"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Numbers of the latency model and of the scheduling round.
const (
	samplesPerStep = 2
	// reportNoise is the spread of a reported percentile around the true one (log-normal).
	reportNoise = 0.1
	// window is how many waiting batch tasks are offered to the policy in a round.
	window = 48
)

// step plays the time since the last step: progress, latency, reports, then the policy's decisions.
func (w *world) step() {
	report := w.now%reportInterval == 0
	for _, v := range w.vms {
		w.stepWorker(v)
		if report && len(v.tasks) > 0 {
			w.report(v)
		}
	}
	w.schedule()
	w.measure.sample(w)
}

// loadOf returns the load of a service; missing instances raise the load of the others.
func (w *world) loadOf(service int) float64 {
	load := w.loads.at(service, w.now)
	scaledOut := w.scenario.shift && w.now >= shiftFrom
	if w.running[service] > 0 && !scaledOut {
		load *= float64(w.wanted[service]) / float64(w.running[service])
	}
	return min(1, load)
}

func (w *world) stepWorker(v *vm) {
	capacity := float64(w.deployment.cores)
	var critical, demand float64
	for _, t := range v.tasks {
		if t.job.class == scheduler.ClassLatencyCritical {
			critical += t.job.cores * w.loadOf(t.job.kind)
		} else {
			demand += t.job.cores * t.speed()
		}
	}
	left := max(0, capacity-critical)
	speed := 1.0
	if demand > left {
		speed = left / demand
	}
	for i := 0; i < len(v.tasks); {
		t := v.tasks[i]
		if t.job.class == scheduler.ClassLatencyCritical {
			w.stepService(v, t, speed, demand/max(1, left))
		} else if w.stepBatch(t, speed) {
			continue
		}
		i++
	}
}

func (t *task) speed() float64 {
	if t.throttled {
		return throttledSpeed
	}
	return 1
}

// stepService draws latencies of one instance.
func (w *world) stepService(v *vm, t *task, speed, pressure float64) {
	load := w.loadOf(t.job.kind)
	var harm float64
	for _, other := range v.tasks {
		if other.job.class == scheduler.ClassBatch {
			share := other.job.cores * other.speed() * speed / float64(w.deployment.cores)
			harm += w.truth.at(t.job.kind, other.job.kind, load) * share
		}
	}
	factor := 1 + harm + harmSquare*harm*harm + contentionHarm*min(2, max(0, pressure-1))
	t.use += t.job.cores * load
	t.load += load
	t.factor += factor
	t.samples++
	for range samplesPerStep {
		alone := float64(w.truth.base[t.job.kind]) * math.Exp(answerSigma*w.random.NormFloat64())
		w.measure.latency(alone, alone*factor)
	}
}

// stepBatch advances a task and reports whether it left the worker.
func (w *world) stepBatch(t *task, speed float64) bool {
	share := speed * t.speed()
	t.use += t.job.cores * share
	t.samples++
	if t.state != taskRunning {
		return false
	}
	t.done += time.Duration(share * float64(min(step, w.now-t.started)))
	if t.job.failsAlways && t.done > t.job.runTime/3 {
		t.saved, t.done = 0, 0
		w.fail(t)
		return true
	}
	if t.done >= t.job.runTime {
		w.complete(t)
		return true
	}
	if t.job.checkpoints && w.now-t.savedAt >= checkpointInterval {
		t.saved, t.savedAt = t.done, w.now
		t.worker.dirty = true
	}
	return false
}

func (w *world) complete(t *task) {
	v, ran := t.worker, w.now-t.started
	w.detach(t)
	t.state, t.done, t.saved = taskOver, t.job.runTime, t.job.runTime
	w.measure.completed++
	last, whole := true, true
	for _, other := range w.jobs[t.job.id] {
		last = last && other.state == taskOver
		whole = whole && other.done >= t.job.runTime
	}
	if last && whole {
		w.measure.jobDone(t.job, w.now, w.horizon)
	}
	if w.policy.finished != nil {
		w.policy.finished(w, t, v, ran, last)
	}
}

// report sends the usage of the interval that ends now; it arrives after the delay.
func (w *world) report(v *vm) {
	r := scheduler.UsageReport{
		Worker: v.worker.Name, From: epoch.Add(w.now - reportInterval), Until: epoch.Add(w.now),
	}
	for _, t := range v.tasks {
		if t.samples == 0 {
			continue
		}
		n := float64(t.samples)
		// The use is averaged over the whole interval, also for a task that ran for part of it.
		usage := scheduler.TaskUsage{
			Task: t.id, Class: t.job.class, MilliCores: int64(1000 * t.use / float64(reportInterval/step)),
		}
		if t.job.class == scheduler.ClassLatencyCritical {
			usage.Kind, usage.Load = serviceName(t.job.kind), t.load/n
			p99 := float64(aloneLatency(w.truth, t.job.kind)) * t.factor / n
			usage.Latency = time.Duration(p99 * math.Exp(reportNoise*w.random.NormFloat64()))
		} else {
			usage.Kind = kindName(t.job.kind)
		}
		r.Tasks = append(r.Tasks, usage)
		t.use, t.load, t.factor, t.samples = 0, 0, 0, 0
	}
	if w.policy.observe == nil {
		return
	}
	// Reports of different workers overtake each other.
	delay := time.Duration((0.8 + 0.4*w.random.Float64()) * float64(w.scenario.delay))
	w.at(w.now+delay, func() { w.policy.observe(w, r) })
}

// schedule offers waiting tasks to the policy and carries out its decisions.
func (w *world) schedule() {
	for _, v := range w.vms {
		usable := v.usable && (w.policy.usable == nil || w.policy.usable(w, v))
		if v.dirty || usable != v.offered {
			v.offered = usable
			w.policy.placer.Update(w.state(v))
			v.dirty = false
		}
	}
	// The placer orders what it is offered by waiting time; small parts keep the order of shares.
	part := 100 * window
	if w.policy.order != nil {
		part = window / 6
	}
	var assignments []scheduler.Assignment
	for offered := range slices.Chunk(w.offer(), part) {
		placed, _ := w.policy.placer.Place(epoch.Add(w.now), offered)
		assignments = append(assignments, placed...)
	}
	for _, a := range assignments {
		t, v := w.tasks[a.Task], w.byName[a.Worker]
		w.unqueue(t)
		waits := 0
		for _, id := range a.Evict {
			victim := w.tasks[id]
			if victim.state != taskRunning {
				continue
			}
			waits++
			w.evict(victim, true)
		}
		delay := time.Second
		if waits > 0 {
			delay += stopTime
		}
		w.at(w.now+delay, func() { w.start(t, v) })
	}
}

func (w *world) start(t *task, v *vm) {
	if t.state != taskPending {
		return
	}
	if !v.usable {
		w.pending = append(w.pending, t)
		return
	}
	w.measure.waited(t, w.now)
	w.attach(t, v)
}

func (w *world) unqueue(t *task) {
	for i, other := range w.pending {
		if other == t {
			w.pending = append(w.pending[:i], w.pending[i+1:]...)
			return
		}
	}
}

// offer returns the tasks for one round: every service task, the oldest batch tasks, and a window
// that moves over the other ones, so that tasks that cannot be placed do not block the rest.
func (w *world) offer() []scheduler.PendingTask {
	var offered []scheduler.PendingTask
	var batch []*task
	for _, t := range w.pending {
		if t.job.class == scheduler.ClassBatch {
			batch = append(batch, t)
			continue
		}
		offered = append(offered, w.pendingTask(t))
	}
	if w.policy.order != nil {
		all := make([]scheduler.PendingTask, len(batch))
		for i, t := range batch {
			all[i] = w.pendingTask(t)
		}
		return append(offered, w.policy.order(w, all)...)
	}
	oldest := min(len(batch), window/2)
	for _, t := range batch[:oldest] {
		offered = append(offered, w.pendingTask(t))
	}
	rest := batch[oldest:]
	for i := range min(len(rest), window/2) {
		offered = append(offered, w.pendingTask(rest[(w.rounds*window/2+i)%len(rest)]))
	}
	w.rounds++
	return offered
}

func (w *world) pendingTask(t *task) scheduler.PendingTask {
	critical := t.job.class == scheduler.ClassLatencyCritical
	return scheduler.PendingTask{
		Task: t.id, Job: t.job.id, Team: t.job.team, Spec: w.spec(t), WaitTime: w.now - t.waiting,
		Urgent: critical && (t.job.urgent || t.waiting > rollout), AvoidWorkers: t.avoid,
	}
}

func (w *world) spec(t *task) scheduler.TaskSpec {
	spec := scheduler.TaskSpec{
		Class: t.job.class, Request: t.job.request, RunTime: t.job.declared, Kind: kindName(t.job.kind),
	}
	if t.job.class == scheduler.ClassLatencyCritical {
		spec.Kind, spec.Spread = serviceName(t.job.kind), "rack"
	}
	if w.policy.declaresTruth && t.job.class == scheduler.ClassBatch {
		spec.Request.MilliCores, spec.RunTime = int64(1000*t.job.cores), t.job.runTime
	}
	return spec
}

func (w *world) state(v *vm) scheduler.WorkerState {
	state := scheduler.WorkerState{Worker: v.worker, Schedulable: v.offered}
	for _, t := range v.tasks {
		placed := scheduler.PlacedTask{
			Task: t.id, Job: t.job.id, Team: t.job.team, Spec: w.spec(t), Started: epoch.Add(t.started), Throttled: t.throttled,
		}
		if t.job.checkpoints {
			placed.LastCheckpoint = epoch.Add(t.savedAt)
		}
		state.Tasks = append(state.Tasks, placed)
		state.Reserved = state.Reserved.Plus(placed.Spec.Request)
	}
	return state
}
