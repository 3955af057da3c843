package experimenter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

type taskState string

const (
	taskPending taskState = "pending"
	taskRunning taskState = "running"
	taskEnding  taskState = "ending"
	taskOver    taskState = "over"
)

// Behaviour of the simulated workers.
const (
	// throttledSpeed is the fraction of its processors that a throttled task keeps.
	throttledSpeed = 0.25
	// stopTime is the duration of a checkpoint and stop.
	stopTime = 4 * time.Second
	// checkpointFailureProbability applies to the checkpoint before a stop.
	checkpointFailureProbability = 0.2
	// failureDelay is the time until a task fails on a failing worker.
	failureDelay = 4 * time.Second
	// maxFailures is the number of failures after which a task is abandoned.
	maxFailures = 6
)

// task is a simulated task.
type task struct {
	id           scheduler.TaskID
	job          *job
	state        taskState
	worker       *simulatedWorker
	started      time.Duration
	pendingSince time.Duration
	// progress is the completed work as run time at full speed. checkpointed is its part that the last checkpoint holds.
	progress, checkpointed time.Duration
	checkpointedAt         time.Duration
	throttled              bool
	failures               int
	avoidWorkers           []scheduler.WorkerName
	// Sums over the samples of the current report interval.
	coreSum, loadSum, latencyFactorSum float64
	samples                            int
}

// simulatedWorker is a worker with its tasks.
type simulatedWorker struct {
	worker scheduler.Worker
	usable bool
	// schedulable is whether the worker accepts new tasks, as last reported to the placer.
	schedulable bool
	failing     bool
	tasks       []*task
	changed     bool
}

// event is a callback at a virtual time. Events at the same time run in the order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simulation is a discrete-event simulation of a cluster. Time is virtual and counts from the start of the run. The
// decisions of the policy take effect through events.
type simulation struct {
	deployment        deployment
	scenario          scenario
	interferenceTable *interferenceTable
	loadCurves        *loadCurves
	random            *rand.Rand
	policy            *policy
	now               time.Duration
	queue             eventQueue
	lastSequence      int
	rounds            int
	horizon           time.Duration
	submitted         []*job
	workers           []*simulatedWorker
	workersByName     map[scheduler.WorkerName]*simulatedWorker
	tasks             map[scheduler.TaskID]*task
	jobs              map[scheduler.JobID][]*task
	pending           []*task
	runningInstances  [serviceCount]int
	wantedInstances   [serviceCount]int
	recorder          *recorder
}

// epoch is the wall-clock time that corresponds to the start of a run.
var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64, d deployment, s scenario, until time.Duration) *simulation {
	sim := &simulation{
		deployment: d, scenario: s, horizon: until,
		interferenceTable: newInterferenceTable(seed), loadCurves: newLoadCurves(seed, s),
		random:        rand.New(rand.NewPCG(seed, streamSimulation)),
		workersByName: map[scheduler.WorkerName]*simulatedWorker{},
		tasks:         map[scheduler.TaskID]*task{},
		jobs:          map[scheduler.JobID][]*task{},
		recorder:      newRecorder(),
	}
	for _, worker := range d.inventory() {
		w := &simulatedWorker{worker: worker, usable: true, changed: true}
		sim.workers = append(sim.workers, w)
		sim.workersByName[worker.Name] = w
	}
	jobs := generateJobs(seed, d, s, sim.interferenceTable)
	for i := range jobs {
		sim.at(jobs[i].submittedAt, func() { sim.submit(&jobs[i]) })
		if jobs[i].cancelledAt > 0 {
			sim.at(jobs[i].cancelledAt, func() { sim.cancel(&jobs[i]) })
		}
	}
	if s.rackLoss {
		sim.at(rackDownFrom, func() { sim.setRack("rack1", false) })
		sim.at(rackDownUntil, func() { sim.setRack("rack1", true) })
	}
	if s.failing {
		sim.at(failingFrom, func() { sim.setFailing(true) })
		sim.at(failingUntil, func() { sim.setFailing(false) })
	}
	return sim
}

// at schedules a callback at a virtual time.
func (sim *simulation) at(at time.Duration, run func()) {
	sim.lastSequence++
	heap.Push(&sim.queue, event{at: at, sequence: sim.lastSequence, run: run})
}

// run processes the events up to the horizon.
func (sim *simulation) run(p *policy) *recorder {
	sim.policy = p
	var tick func()
	tick = func() {
		sim.step()
		sim.at(sim.now+step, tick)
	}
	sim.at(step, tick)
	for len(sim.queue) > 0 {
		e, ok := heap.Pop(&sim.queue).(event)
		if !ok || e.at > sim.horizon {
			break
		}
		sim.now = e.at
		e.run()
	}
	sim.finish()
	return sim.recorder
}

func (sim *simulation) submit(j *job) {
	sim.submitted = append(sim.submitted, j)
	if j.class == scheduler.ClassLatencyCritical {
		sim.wantedInstances[j.kind] += j.tasks
	}
	for i := range j.tasks {
		t := &task{
			id: scheduler.TaskID(fmt.Sprintf("%s/%d", j.id, i)), job: j, state: taskPending, pendingSince: sim.now,
		}
		sim.tasks[t.id] = t
		sim.jobs[j.id] = append(sim.jobs[j.id], t)
		sim.pending = append(sim.pending, t)
	}
	if sim.policy.submitted != nil {
		sim.policy.submitted(sim, j)
	}
}

func (sim *simulation) cancel(j *job) {
	if sim.policy.cancelled != nil {
		sim.policy.cancelled(sim, j)
	}
	for _, t := range sim.jobs[j.id] {
		if t.state == taskOver {
			continue
		}
		if t.worker != nil {
			sim.detach(t)
		}
		t.state = taskOver
		sim.recorder.cancelled++
	}
	sim.pending = slices.DeleteFunc(sim.pending, func(t *task) bool { return t.job == j })
}

func (sim *simulation) setRack(rack string, up bool) {
	for _, w := range sim.workers {
		if w.worker.Rack != rack {
			continue
		}
		w.usable, w.changed = up, true
		for len(w.tasks) > 0 {
			sim.requeue(w.tasks[0])
		}
	}
}

func (sim *simulation) setFailing(failing bool) {
	for i := range failingWorkers {
		w := sim.workers[(7+11*i)%len(sim.workers)]
		w.failing, w.changed = failing, true
	}
}

// attach starts a task on a worker.
func (sim *simulation) attach(t *task, w *simulatedWorker) {
	t.state, t.worker, t.started, t.checkpointedAt = taskRunning, w, sim.now, sim.now
	t.throttled = false
	t.coreSum, t.loadSum, t.latencyFactorSum, t.samples = 0, 0, 0, 0
	w.tasks = append(w.tasks, t)
	w.changed = true
	if t.job.class == scheduler.ClassLatencyCritical {
		sim.runningInstances[t.job.kind]++
	}
	sim.recorder.started++
	if sim.policy.attached != nil {
		sim.policy.attached(sim, t)
	}
	attempt := t.started
	if sim.policy.survived != nil {
		sim.at(sim.now+survivalTime, func() {
			if t.worker == w && t.started == attempt {
				sim.policy.survived(sim, t)
			}
		})
	}
	if w.failing {
		sim.at(sim.now+failureDelay, func() {
			if t.worker == w && t.started == attempt {
				sim.fail(t)
			}
		})
	}
}

// detach removes a task from its worker.
func (sim *simulation) detach(t *task) {
	if sim.policy.detached != nil {
		sim.policy.detached(sim, t)
	}
	w := t.worker
	w.tasks = slices.DeleteFunc(w.tasks, func(other *task) bool { return other == t })
	w.changed = true
	t.worker = nil
	if t.job.class == scheduler.ClassLatencyCritical {
		sim.runningInstances[t.job.kind]--
	}
}

// requeue ends an attempt without a checkpoint and returns the task to the pending ones. The work since the last
// checkpoint is lost.
func (sim *simulation) requeue(t *task) {
	sim.detach(t)
	if t.job.class == scheduler.ClassBatch {
		sim.recorder.lostCoreSeconds += (t.progress - t.checkpointed).Seconds() * t.job.cores
	}
	t.progress = t.checkpointed
	t.state, t.pendingSince = taskPending, sim.now
	sim.pending = append(sim.pending, t)
}

func (sim *simulation) fail(t *task) {
	w, started := t.worker, t.started
	t.failures++
	sim.recorder.failures++
	sim.requeue(t)
	t.avoidWorkers = append(t.avoidWorkers, w.worker.Name)
	if sim.policy.failed != nil {
		sim.policy.failed(sim, t, w, started)
	}
	if t.failures >= maxFailures && t.state != taskOver {
		t.state = taskOver
		sim.recorder.abandonedTasks++
		sim.pending = slices.DeleteFunc(sim.pending, func(other *task) bool { return other == t })
	}
}

// evict stops a task after stopTime and requeues it. If checkpoint is true, a checkpoint is attempted before the stop.
func (sim *simulation) evict(t *task, checkpoint bool) {
	if t.state != taskRunning {
		return
	}
	t.state = taskEnding
	t.worker.changed = true
	sim.recorder.evictions++
	attempt := t.started
	sim.at(sim.now+stopTime, func() {
		if t.state != taskEnding || t.started != attempt {
			return
		}
		if checkpoint && t.job.checkpoints && sim.random.Float64() >= checkpointFailureProbability {
			t.checkpointed = t.progress
		}
		sim.requeue(t)
	})
}

// setThrottled throttles or releases a task after 1 s, the time until the worker's next exchange.
func (sim *simulation) setThrottled(t *task, throttled bool) {
	if t.state != taskRunning || t.throttled == throttled {
		return
	}
	sim.recorder.throttles++
	sim.at(sim.now+time.Second, func() {
		if t.state == taskRunning {
			t.throttled = throttled
			t.worker.changed = true
		}
	})
}
