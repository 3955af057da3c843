package experimenter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// taskState is the state of a task of the stand-in.
type taskState string

const (
	taskPending taskState = "pending"
	taskRunning taskState = "running"
	taskEnding  taskState = "ending"
	taskOver    taskState = "over"
)

// Properties of the workers' agents.
const (
	// throttledSpeed is the share of its processors that a throttled task keeps.
	throttledSpeed = 0.25
	// stopTime is how long a checkpoint and a stop take.
	stopTime = 4 * time.Second
	// checkpointFailure is the probability that the checkpoint before a stop fails.
	checkpointFailure = 0.2
	// failAfter is how long a task runs on a worker that fails everything.
	failAfter = 4 * time.Second
	// maxFailures ends a task.
	maxFailures = 6
)

// task is a task of the stand-in.
type task struct {
	id      scheduler.TaskID
	job     *job
	state   taskState
	worker  *vm
	started time.Duration
	waiting time.Duration
	// done is the work at full speed, saved the part that a checkpoint holds.
	done, saved time.Duration
	savedAt     time.Duration
	throttled   bool
	failures    int
	avoid       []scheduler.WorkerName
	// interval sums for the next usage report.
	use, load, factor float64
	samples           int
}

// vm is a worker of the stand-in.
type vm struct {
	worker scheduler.Worker
	usable bool
	// offered is whether the policy lets the worker take new work.
	offered bool
	failing bool
	tasks   []*task
	dirty   bool
}

// event is something that happens at a time.
type event struct {
	at     time.Duration
	number int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
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

// world is the stand-in of a fleet. It has neither network nor processes; the policy's decisions
// take effect by events.
type world struct {
	deployment deployment
	scenario   scenario
	truth      *truth
	loads      *loads
	random     *rand.Rand
	policy     *policy
	now        time.Duration
	queue      eventQueue
	numbers    int
	rounds     int
	horizon    time.Duration
	submitted  []*job
	vms        []*vm
	byName     map[scheduler.WorkerName]*vm
	tasks      map[scheduler.TaskID]*task
	jobs       map[scheduler.JobID][]*task
	pending    []*task
	running    [serviceCount]int
	wanted     [serviceCount]int
	measure    *measure
}

// epoch is the wall-clock time at which runs start.
var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

func newWorld(seed uint64, d deployment, s scenario, until time.Duration) *world {
	w := &world{
		deployment: d, scenario: s, horizon: until, truth: newTruth(seed), loads: newLoads(seed, s),
		random:  rand.New(rand.NewPCG(seed, streamRun)),
		byName:  map[scheduler.WorkerName]*vm{},
		tasks:   map[scheduler.TaskID]*task{},
		jobs:    map[scheduler.JobID][]*task{},
		measure: newMeasure(),
	}
	for _, worker := range d.inventory() {
		v := &vm{worker: worker, usable: true, dirty: true}
		w.vms = append(w.vms, v)
		w.byName[worker.Name] = v
	}
	jobs := work(seed, d, s, w.truth)
	for i := range jobs {
		w.at(jobs[i].at, func() { w.submit(&jobs[i]) })
		if jobs[i].cancelled > 0 {
			w.at(jobs[i].cancelled, func() { w.cancel(&jobs[i]) })
		}
	}
	if s.rackLoss {
		w.at(rackDownFrom, func() { w.setRack("rack1", false) })
		w.at(rackDownUntil, func() { w.setRack("rack1", true) })
	}
	if s.failing {
		w.at(failingFrom, func() { w.setFailing(true) })
		w.at(failingUntil, func() { w.setFailing(false) })
	}
	return w
}

func (w *world) at(at time.Duration, run func()) {
	w.numbers++
	heap.Push(&w.queue, event{at: at, number: w.numbers, run: run})
}

// run plays the events up to the horizon.
func (w *world) run(p *policy) *measure {
	w.policy = p
	var tick func()
	tick = func() {
		w.step()
		w.at(w.now+step, tick)
	}
	w.at(step, tick)
	for len(w.queue) > 0 {
		e, ok := heap.Pop(&w.queue).(event)
		if !ok || e.at > w.horizon {
			break
		}
		w.now = e.at
		e.run()
	}
	w.finish()
	return w.measure
}

func (w *world) submit(j *job) {
	w.submitted = append(w.submitted, j)
	if j.class == scheduler.ClassLatencyCritical {
		w.wanted[j.kind] += j.tasks
	}
	for i := range j.tasks {
		t := &task{
			id: scheduler.TaskID(fmt.Sprintf("%s/%d", j.id, i)), job: j, state: taskPending, waiting: w.now,
		}
		w.tasks[t.id] = t
		w.jobs[j.id] = append(w.jobs[j.id], t)
		w.pending = append(w.pending, t)
	}
	if w.policy.submitted != nil {
		w.policy.submitted(w, j)
	}
}

func (w *world) cancel(j *job) {
	if w.policy.cancelled != nil {
		w.policy.cancelled(w, j)
	}
	for _, t := range w.jobs[j.id] {
		if t.state == taskOver {
			continue
		}
		if t.worker != nil {
			w.detach(t)
		}
		t.state = taskOver
		w.measure.cancelled++
	}
	w.pending = slices.DeleteFunc(w.pending, func(t *task) bool { return t.job == j })
}

func (w *world) setRack(rack string, up bool) {
	for _, v := range w.vms {
		if v.worker.Rack != rack {
			continue
		}
		v.usable, v.dirty = up, true
		for len(v.tasks) > 0 {
			w.requeue(v.tasks[0])
		}
	}
}

func (w *world) setFailing(failing bool) {
	for i := range failingWorkers {
		v := w.vms[(7+11*i)%len(w.vms)]
		v.failing, v.dirty = failing, true
	}
}

// attach starts a task on a worker.
func (w *world) attach(t *task, v *vm) {
	t.state, t.worker, t.started, t.savedAt = taskRunning, v, w.now, w.now
	t.throttled = false
	t.use, t.load, t.factor, t.samples = 0, 0, 0, 0
	v.tasks = append(v.tasks, t)
	v.dirty = true
	if t.job.class == scheduler.ClassLatencyCritical {
		w.running[t.job.kind]++
	}
	w.measure.started++
	if w.policy.attached != nil {
		w.policy.attached(w, t)
	}
	attempt := t.started
	if w.policy.survived != nil {
		w.at(w.now+survival, func() {
			if t.worker == v && t.started == attempt {
				w.policy.survived(w, t)
			}
		})
	}
	if v.failing {
		w.at(w.now+failAfter, func() {
			if t.worker == v && t.started == attempt {
				w.fail(t)
			}
		})
	}
}

// detach takes a task off its worker.
func (w *world) detach(t *task) {
	if w.policy.detached != nil {
		w.policy.detached(w, t)
	}
	v := t.worker
	v.tasks = slices.DeleteFunc(v.tasks, func(other *task) bool { return other == t })
	v.dirty = true
	t.worker = nil
	if t.job.class == scheduler.ClassLatencyCritical {
		w.running[t.job.kind]--
	}
}

// requeue ends an attempt without a checkpoint; the work since the last one is lost.
func (w *world) requeue(t *task) {
	w.detach(t)
	if t.job.class == scheduler.ClassBatch {
		w.measure.lost += (t.done - t.saved).Seconds() * t.job.cores
	}
	t.done = t.saved
	t.state, t.waiting = taskPending, w.now
	w.pending = append(w.pending, t)
}

func (w *world) fail(t *task) {
	v, started := t.worker, t.started
	t.failures++
	w.measure.failures++
	w.requeue(t)
	t.avoid = append(t.avoid, v.worker.Name)
	if w.policy.failed != nil {
		w.policy.failed(w, t, v, started)
	}
	if t.failures >= maxFailures && t.state != taskOver {
		t.state = taskOver
		w.measure.givenUp++
		w.pending = slices.DeleteFunc(w.pending, func(other *task) bool { return other == t })
	}
}

// evict checkpoints and stops a task. Checkpoint is false for a stop without one.
func (w *world) evict(t *task, checkpoint bool) {
	if t.state != taskRunning {
		return
	}
	t.state = taskEnding
	t.worker.dirty = true
	w.measure.evictions++
	attempt := t.started
	w.at(w.now+stopTime, func() {
		if t.state != taskEnding || t.started != attempt {
			return
		}
		if checkpoint && t.job.checkpoints && w.random.Float64() >= checkpointFailure {
			t.saved = t.done
		}
		w.requeue(t)
	})
}

// setThrottled takes effect with the worker's next exchange.
func (w *world) setThrottled(t *task, throttled bool) {
	if t.state != taskRunning || t.throttled == throttled {
		return
	}
	w.measure.throttles++
	w.at(w.now+time.Second, func() {
		if t.state == taskRunning {
			t.throttled = throttled
			t.worker.dirty = true
		}
	})
}
