package experimenter

import (
	"math"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Parameters of the latency model and of the scheduling round.
const (
	samplesPerStep = 2
	// reportNoise is the sigma of the log-normal error of a reported percentile.
	reportNoise = 0.1
	// roundSize is the number of pending batch tasks that are offered to the policy in a round.
	roundSize = 48
)

// step simulates the time since the last step: progress, latencies and usage reports, then the policy's decisions.
func (sim *simulation) step() {
	report := sim.now%reportInterval == 0
	for _, w := range sim.workers {
		sim.stepWorker(w)
		if report && len(w.tasks) > 0 {
			sim.report(w)
		}
	}
	sim.placePending()
	sim.recorder.recordStep(sim)
}

// serviceLoad returns the load of a service. Missing instances increase the load of the running ones.
func (sim *simulation) serviceLoad(service int) float64 {
	load := sim.loadCurves.at(service, sim.now)
	scaledOut := sim.scenario.shift && sim.now >= shiftFrom
	if sim.runningInstances[service] > 0 && !scaledOut {
		load *= float64(sim.wantedInstances[service]) / float64(sim.runningInstances[service])
	}
	return min(1, load)
}

func (sim *simulation) stepWorker(w *simulatedWorker) {
	capacity := float64(sim.deployment.cores)
	var critical, demand float64
	for _, t := range w.tasks {
		if t.job.class == scheduler.ClassLatencyCritical {
			critical += t.job.cores * sim.serviceLoad(t.job.kind)
		} else {
			demand += t.job.cores * t.speed()
		}
	}
	left := max(0, capacity-critical)
	speed := 1.0
	if demand > left {
		speed = left / demand
	}
	for i := 0; i < len(w.tasks); {
		t := w.tasks[i]
		if t.job.class == scheduler.ClassLatencyCritical {
			sim.stepService(w, t, speed, demand/max(1, left))
		} else if sim.stepBatch(t, speed) {
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

// stepService samples request latencies of one service instance.
func (sim *simulation) stepService(w *simulatedWorker, t *task, speed, pressure float64) {
	load := sim.serviceLoad(t.job.kind)
	var interference float64
	for _, other := range w.tasks {
		if other.job.class == scheduler.ClassBatch {
			share := other.job.cores * other.speed() * speed / float64(sim.deployment.cores)
			interference += sim.interferenceTable.at(t.job.kind, other.job.kind, load) * share
		}
	}
	factor := 1 + interference + quadraticInterference*interference*interference +
		contentionInterference*min(2, max(0, pressure-1))
	t.coreSum += t.job.cores * load
	t.loadSum += load
	t.latencyFactorSum += factor
	t.samples++
	for range samplesPerStep {
		alone := float64(sim.interferenceTable.baseLatency[t.job.kind]) * math.Exp(latencySigma*sim.random.NormFloat64())
		sim.recorder.recordLatency(alone, alone*factor)
	}
}

// stepBatch advances a batch task and reports whether the task left the worker.
func (sim *simulation) stepBatch(t *task, speed float64) bool {
	share := speed * t.speed()
	t.coreSum += t.job.cores * share
	t.samples++
	if t.state != taskRunning {
		return false
	}
	t.progress += time.Duration(share * float64(min(step, sim.now-t.started)))
	if t.job.failsAlways && t.progress > t.job.runTime/3 {
		t.checkpointed, t.progress = 0, 0
		sim.fail(t)
		return true
	}
	if t.progress >= t.job.runTime {
		sim.complete(t)
		return true
	}
	if t.job.checkpoints && sim.now-t.checkpointedAt >= checkpointInterval {
		t.checkpointed, t.checkpointedAt = t.progress, sim.now
		t.worker.changed = true
	}
	return false
}

func (sim *simulation) complete(t *task) {
	w, ran := t.worker, sim.now-t.started
	sim.detach(t)
	t.state, t.progress, t.checkpointed = taskOver, t.job.runTime, t.job.runTime
	sim.recorder.completed++
	last, whole := true, true
	for _, other := range sim.jobs[t.job.id] {
		last = last && other.state == taskOver
		whole = whole && other.progress >= t.job.runTime
	}
	if last && whole {
		sim.recorder.recordJobEnd(t.job, sim.now, sim.horizon)
	}
	if sim.policy.finished != nil {
		sim.policy.finished(sim, t, w, ran, last)
	}
}

// report sends the usage report of the interval that ends now. It arrives after the scenario's delay.
func (sim *simulation) report(w *simulatedWorker) {
	r := scheduler.UsageReport{
		Worker: w.worker.Name, From: epoch.Add(sim.now - reportInterval), Until: epoch.Add(sim.now),
	}
	for _, t := range w.tasks {
		if t.samples == 0 {
			continue
		}
		n := float64(t.samples)
		// Processor use is averaged over the whole interval, even if the task ran for only part of it.
		usage := scheduler.TaskUsage{
			Task: t.id, Class: t.job.class, MilliCores: int64(1000 * t.coreSum / float64(reportInterval/step)),
		}
		if t.job.class == scheduler.ClassLatencyCritical {
			usage.Kind, usage.Load = serviceName(t.job.kind), t.loadSum/n
			p99 := float64(isolatedP99(sim.interferenceTable, t.job.kind)) * t.latencyFactorSum / n
			usage.Latency = time.Duration(p99 * math.Exp(reportNoise*sim.random.NormFloat64()))
		} else {
			usage.Kind = kindName(t.job.kind)
		}
		r.Tasks = append(r.Tasks, usage)
		t.coreSum, t.loadSum, t.latencyFactorSum, t.samples = 0, 0, 0, 0
	}
	if sim.policy.observe == nil {
		return
	}
	// The random factor lets reports of different workers arrive out of order.
	delay := time.Duration((0.8 + 0.4*sim.random.Float64()) * float64(sim.scenario.reportDelay))
	sim.at(sim.now+delay, func() { sim.policy.observe(sim, r) })
}

// placePending offers pending tasks to the policy and applies its decisions.
func (sim *simulation) placePending() {
	for _, w := range sim.workers {
		usable := w.usable && (sim.policy.usable == nil || sim.policy.usable(sim, w))
		if w.changed || usable != w.schedulable {
			w.schedulable = usable
			sim.policy.placer.Update(sim.state(w))
			w.changed = false
		}
	}
	// The placer sorts the tasks of a call by wait time. Small chunks preserve the order of the policy, if it has one.
	part := 100 * roundSize
	if sim.policy.order != nil {
		part = roundSize / 6
	}
	var assignments []scheduler.Assignment
	for offered := range slices.Chunk(sim.roundTasks(), part) {
		placed, _ := sim.policy.placer.Place(epoch.Add(sim.now), offered)
		assignments = append(assignments, placed...)
	}
	for _, a := range assignments {
		t, w := sim.tasks[a.Task], sim.workersByName[a.Worker]
		sim.removePending(t)
		waits := 0
		for _, id := range a.Evict {
			victim := sim.tasks[id]
			if victim.state != taskRunning {
				continue
			}
			waits++
			sim.evict(victim, true)
		}
		delay := time.Second
		if waits > 0 {
			delay += stopTime
		}
		sim.at(sim.now+delay, func() { sim.start(t, w) })
	}
}

func (sim *simulation) start(t *task, w *simulatedWorker) {
	if t.state != taskPending {
		return
	}
	if !w.usable {
		sim.pending = append(sim.pending, t)
		return
	}
	sim.recorder.recordWait(t, sim.now)
	sim.attach(t, w)
}

func (sim *simulation) removePending(t *task) {
	for i, other := range sim.pending {
		if other == t {
			sim.pending = append(sim.pending[:i], sim.pending[i+1:]...)
			return
		}
	}
}

// roundTasks returns the tasks for one round: all service tasks, the oldest batch tasks, and a window that rotates through
// the other batch tasks, so that tasks that cannot be placed do not block the others.
func (sim *simulation) roundTasks() []scheduler.PendingTask {
	var offered []scheduler.PendingTask
	var batch []*task
	for _, t := range sim.pending {
		if t.job.class == scheduler.ClassBatch {
			batch = append(batch, t)
			continue
		}
		offered = append(offered, sim.pendingTask(t))
	}
	if sim.policy.order != nil {
		all := make([]scheduler.PendingTask, len(batch))
		for i, t := range batch {
			all[i] = sim.pendingTask(t)
		}
		return append(offered, sim.policy.order(sim, all)...)
	}
	oldest := min(len(batch), roundSize/2)
	for _, t := range batch[:oldest] {
		offered = append(offered, sim.pendingTask(t))
	}
	rest := batch[oldest:]
	for i := range min(len(rest), roundSize/2) {
		offered = append(offered, sim.pendingTask(rest[(sim.rounds*roundSize/2+i)%len(rest)]))
	}
	sim.rounds++
	return offered
}

func (sim *simulation) pendingTask(t *task) scheduler.PendingTask {
	critical := t.job.class == scheduler.ClassLatencyCritical
	return scheduler.PendingTask{
		Task: t.id, Job: t.job.id, Team: t.job.team, Spec: sim.spec(t), WaitTime: sim.now - t.pendingSince,
		Urgent: critical && (t.job.urgent || t.pendingSince > rolloutTime), AvoidWorkers: t.avoidWorkers,
	}
}

func (sim *simulation) spec(t *task) scheduler.TaskSpec {
	spec := scheduler.TaskSpec{
		Class: t.job.class, Request: t.job.request, RunTime: t.job.declaredRunTime, Kind: kindName(t.job.kind),
	}
	if t.job.class == scheduler.ClassLatencyCritical {
		spec.Kind, spec.Spread = serviceName(t.job.kind), "rack"
	}
	if sim.policy.exactDeclarations && t.job.class == scheduler.ClassBatch {
		spec.Request.MilliCores, spec.RunTime = int64(1000*t.job.cores), t.job.runTime
	}
	return spec
}

func (sim *simulation) state(w *simulatedWorker) scheduler.WorkerState {
	state := scheduler.WorkerState{Worker: w.worker, Schedulable: w.schedulable}
	for _, t := range w.tasks {
		placed := scheduler.PlacedTask{
			Task: t.id, Job: t.job.id, Team: t.job.team, Spec: sim.spec(t),
			Started: epoch.Add(t.started), Throttled: t.throttled,
		}
		if t.job.checkpoints {
			placed.LastCheckpoint = epoch.Add(t.checkpointedAt)
		}
		state.Tasks = append(state.Tasks, placed)
		state.Reserved = state.Reserved.Plus(placed.Spec.Request)
	}
	return state
}
