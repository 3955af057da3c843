package overseer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeFleet is a set of simulated workers. It records every invariant violation.
type fakeFleet struct {
	mutex  sync.Mutex
	random *rand.Rand
	// workers holds the worker instances by address. A later instance replaces the earlier one at the same address.
	workers map[string]*fakeWorker
	// running counts the current runs of each task. finished holds the tasks whose completion was acknowledged.
	running  map[scheduler.StepTaskID]int
	finished map[scheduler.StepTaskID]bool
	done     map[scheduler.StepTaskID]bool
	// workflows holds the workflows by job, for the dependencies of their steps.
	workflows  map[scheduler.JobID]*scheduler.Workflow
	violations []string
	// history holds the start and end events of each task's runs.
	history map[scheduler.StepTaskID][]string
	starts  int
	// copies counts the starts of tasks that were running elsewhere.
	copies int
	// resumed counts the starts from a checkpoint.
	resumed int
	// lateRate is the fraction of orders that are not answered and take effect seconds later.
	lateRate float64
	// failureRate is the fraction of runs that fail.
	failureRate float64
	// withVMs is true if workers report the VM on which they run. The VM has the name of the worker's first instance.
	withVMs bool
	// stopped holds the long-running tasks that were stopped by an order and have not restarted yet. maxStopped is
	// the maximum size of stopped so far.
	stopped    map[scheduler.StepTaskID]bool
	maxStopped int
	// dataCentres holds the data centre of each worker. evacuated holds when the evacuation of a data centre was
	// acknowledged.
	dataCentres map[scheduler.WorkerName]scheduler.DataCentreName
	evacuated   map[scheduler.DataCentreName]time.Time
	// runTime is the maximum duration of a run.
	runTime time.Duration
	// runTimeOf returns the duration of a run. If it is nil, the duration is random.
	runTimeOf func(run scheduler.RunID) time.Duration
	// lateStart is the run whose first start order is not answered and takes effect seconds later.
	lateStart scheduler.RunID
	// finishedAt is when the finish of each task was acknowledged for the first time.
	finishedAt map[scheduler.StepTaskID]time.Time
	// maxListedEnds is how many ends a worker lists in one report. 0 means all.
	maxListedEnds int
	// unguarded is true if the workers start whatever they are told to, and their capacity changes.
	unguarded     bool
	cancellations cancellations
	// deadly holds the tasks that crash their workers. It is nil if there are none.
	deadly *deadlyTasks
}

// fakeWorker is one instance of a worker.
type fakeWorker struct {
	fleet          *fakeFleet
	name           scheduler.WorkerName
	incarnation    scheduler.Incarnation
	address        string
	startedAt      time.Time
	clockRate      float64
	capacity       scheduler.Resources
	labels         []string
	capacities     *fakeCapacities // Nil unless fakeFleet.unguarded is true.
	used           scheduler.Resources
	token          scheduler.Term
	leaseEnd       time.Duration
	runs           map[scheduler.RunID]*fakeRun
	highestAttempt map[scheduler.StepTaskID]scheduler.AttemptNumber
	ends           []scheduler.AttemptEnd
	endCount       uint64
	// expiredUpTo is the number of the last end before the most recent expiry of the lease. Ends up to it no longer
	// count.
	expiredUpTo uint64
	sequence    uint64
	partitioned bool
	dead        bool
	// closed is true if a task has crashed the process. Its connections are closed then, while those of a worker that is
	// only dead are silent.
	closed   bool
	draining bool
	// broken workers fail every run immediately.
	broken bool
	// unhealthy workers refuse every start.
	unhealthy bool
	endSignal chan struct{}
}

type fakeRun struct {
	startedAt  time.Time
	endsAt     time.Time
	crashesAt  time.Time
	fails      bool
	breaksGang bool
	suspect    bool
	checkpoint string
}

var errWorkerDied = scheduler.ErrOutcomeUnknown.New("the worker crashed during the order")

const fakeLease = 10 * time.Second

// stragglerRunTime is the duration of one of ten runs of tasks that may have copies.
const stragglerRunTime = 10 * time.Second

// A run has a checkpoint after saveInterval.
const saveInterval = 500 * time.Millisecond

func newFleet(seed uint64) *fakeFleet {
	return &fakeFleet{
		random: rand.New(rand.NewPCG(seed, seed)), workers: map[string]*fakeWorker{},
		running:  map[scheduler.StepTaskID]int{},
		finished: map[scheduler.StepTaskID]bool{}, done: map[scheduler.StepTaskID]bool{},
		workflows:  map[scheduler.JobID]*scheduler.Workflow{},
		finishedAt: map[scheduler.StepTaskID]time.Time{},
		history:    map[scheduler.StepTaskID][]string{}, stopped: map[scheduler.StepTaskID]bool{}, runTime: 2 * time.Second,
		dataCentres: map[scheduler.WorkerName]scheduler.DataCentreName{},
		evacuated:   map[scheduler.DataCentreName]time.Time{}, cancellations: newCancellations(),
	}
}

// add starts a new instance of a worker at the worker's address.
func (fleet *fakeFleet) add(name scheduler.WorkerName, incarnation scheduler.Incarnation) *fakeWorker {
	return fleet.addAt(addressOf(name), name, incarnation)
}

func addressOf(name scheduler.WorkerName) string { return "10.0.0.1:" + string(name) }

// addAt starts a new instance of a worker at an address.
func (fleet *fakeFleet) addAt(
	address string, name scheduler.WorkerName, incarnation scheduler.Incarnation,
) *fakeWorker {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if old := fleet.workers[address]; old != nil && !old.dead {
		old.crash()
	}
	worker := &fakeWorker{
		fleet: fleet, name: name, incarnation: incarnation, address: address, startedAt: time.Now(),
		clockRate: 0.98 + 0.04*fleet.random.Float64(), labels: []string{"a", "r1-1"},
		capacity: scheduler.Resources{MilliCores: 8000, MemoryBytes: 8 << 30}, runs: map[scheduler.RunID]*fakeRun{},
		highestAttempt: map[scheduler.StepTaskID]scheduler.AttemptNumber{}, endSignal: make(chan struct{}),
	}
	worker.trackCapacity()
	fleet.workers[address] = worker
	return worker
}

// logEvent adds an event to the history of a task.
func (worker *fakeWorker) logEvent(id scheduler.RunID, event string) {
	worker.fleet.history[id.Task] = append(worker.fleet.history[id.Task],
		fmt.Sprintf("%s #%d %s on %s/%d", time.Now().Format("05.000"), id.Attempt, event, worker.name, worker.incarnation))
}

// kill crashes the current instance of a worker.
func (fleet *fakeFleet) kill(name scheduler.WorkerName) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if worker := fleet.workers[addressOf(name)]; worker != nil && !worker.dead {
		worker.crash()
	}
}

func (fleet *fakeFleet) reportViolation(format string, arguments ...any) {
	fleet.violations = append(fleet.violations, fmt.Sprintf(format, arguments...))
}

// clock returns the worker's own clock, which starts with the instance.
func (worker *fakeWorker) clock() time.Duration {
	return time.Second + time.Duration(float64(time.Since(worker.startedAt))*worker.clockRate)
}

// crash ends all runs on the worker. The mutex must be held.
func (worker *fakeWorker) crash() {
	worker.dead = true
	for id := range worker.runs {
		worker.remove(id)
	}
}

func (worker *fakeWorker) remove(id scheduler.RunID) {
	worker.logEvent(id, "ended")
	delete(worker.runs, id)
	worker.used = worker.used.Minus(oneCore)
	worker.fleet.running[id.Task]--
}

var oneCore = scheduler.Resources{MilliCores: 1000, MemoryBytes: 1 << 20}

// end moves a run to the list of ends. The mutex must be held.
func (worker *fakeWorker) end(id scheduler.RunID, kind scheduler.EndKind, checkpoint string) {
	worker.remove(id)
	worker.endCount++
	worker.ends = append(worker.ends, scheduler.AttemptEnd{
		Number: worker.endCount, Run: id, Kind: kind, Checkpoint: checkpoint,
	})
	if kind == scheduler.EndFinished {
		worker.fleet.done[id.Task] = true
	}
	close(worker.endSignal)
	worker.endSignal = make(chan struct{})
}

// advance ends the runs that are complete, or all runs if the lease has expired.
func (worker *fakeWorker) advance() {
	expired := worker.clock() > worker.leaseEnd
	if expired {
		worker.expiredUpTo = worker.endCount
	}
	for id, run := range worker.runs {
		if time.Since(run.startedAt) > saveInterval {
			run.checkpoint = worker.fleet.checkpointOf(id.Task)
		}
		switch {
		case expired:
			worker.end(id, scheduler.EndLeaseExpired, run.checkpoint)
		case !run.endsAt.IsZero() && time.Now().After(run.endsAt) && run.breaksGang:
			worker.end(id, scheduler.EndGangBroken, run.checkpoint)
		case !run.endsAt.IsZero() && time.Now().After(run.endsAt) && run.fails:
			worker.end(id, scheduler.EndFailed, run.checkpoint)
		case !run.endsAt.IsZero() && time.Now().After(run.endsAt):
			worker.end(id, scheduler.EndFinished, "")
		}
	}
}

// tick advances all workers.
func (fleet *fakeFleet) tick() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, worker := range fleet.workers {
		if !worker.dead {
			worker.advance()
			worker.checkCancelled()
			worker.crashIfDue()
		}
	}
}

// heartbeat returns the worker's heartbeat. It returns false if the worker is partitioned or dead.
func (worker *fakeWorker) heartbeat() (scheduler.WorkerHeartbeat, bool) {
	worker.fleet.mutex.Lock()
	defer worker.fleet.mutex.Unlock()
	if worker.dead || worker.partitioned || worker.capacities.losesHeartbeats() {
		return scheduler.WorkerHeartbeat{}, false
	}
	worker.sequence++
	phase := scheduler.WorkerReady
	if worker.draining {
		phase = scheduler.WorkerDraining
	}
	var vm scheduler.VMName
	if worker.fleet.withVMs {
		vm = scheduler.VMName(strings.TrimPrefix(worker.address, addressOf("")))
	}
	return scheduler.WorkerHeartbeat{
		VM: vm, Worker: worker.name, Instance: worker.incarnation, Pool: "pool", Address: worker.address,
		Phase: phase, Capacity: worker.capacity, DataCentre: worker.fleet.dataCentres[worker.name],
		Labels: worker.labels, Clock: worker.clock(), Sequence: worker.sequence, DrainRemaining: 3 * time.Second,
	}, true
}

// Start implements scheduler.WorkerClient.
func (fleet *fakeFleet) Start(
	ctx context.Context, ref scheduler.WorkerRef, order scheduler.StartOrder,
) (scheduler.OrderResponse, error) {
	fleet.checkEvacuation(ref, order)
	worker, err := fleet.reach(fleet.checkStart(ctx, order), ref, lateStart(order, time.Now()))
	if err != nil {
		return scheduler.OrderResponse{}, err
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if worker.dead {
		return scheduler.OrderResponse{}, errWorkerDied
	}
	if worker.incarnation != ref.Instance {
		return scheduler.OrderResponse{Result: scheduler.OrderIncarnationMismatch}, nil
	}
	result := worker.start(order)
	if worker.crashIfDue() {
		return scheduler.OrderResponse{}, errConnectionClosed
	}
	return scheduler.OrderResponse{Result: result, Clock: worker.clock()}, nil
}

// checkStart checks the invariant that holds when a start order is sent: a task of which a finish was acknowledged more
// than a second ago is not started again, even if it may have a copy. It returns the context for the order.
func (fleet *fakeFleet) checkStart(ctx context.Context, order scheduler.StartOrder) context.Context {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	task := order.Run.Task
	if finishedAt := fleet.finishedAt[task]; !finishedAt.IsZero() && time.Since(finishedAt) > time.Second {
		fleet.reportViolation("%v is sent %v after the finish of its task was acknowledged: %v", order.Run,
			time.Since(finishedAt), fleet.history[task])
	}
	fleet.checkSent(order)
	if order.Run != fleet.lateStart {
		return ctx
	}
	fleet.lateStart = scheduler.RunID{}
	return context.WithValue(ctx, lateKey{}, true)
}

// start starts a run in the same way as a real worker. The mutex must be held.
func (worker *fakeWorker) start(order scheduler.StartOrder) scheduler.OrderResult {
	worker.advance()
	if order.Token < worker.token {
		return scheduler.OrderFenced
	}
	worker.token = order.Token
	if worker.clock() > order.LeaseEnd {
		return scheduler.OrderLeaseExpired
	}
	worker.leaseEnd = max(worker.leaseEnd, min(order.LeaseEnd, worker.clock()+fakeLease))
	if worker.runs[order.Run] != nil {
		return scheduler.OrderAccepted
	}
	if order.Run.Attempt <= worker.highestAttempt[order.Run.Task] {
		return scheduler.OrderStaleAttempt
	}
	if worker.unhealthy {
		return scheduler.OrderWorkerUnhealthy
	}
	if worker.capacities == nil && !worker.used.Plus(oneCore).FitsIn(worker.capacity) {
		return scheduler.OrderInsufficientCapacity
	}
	worker.begin(order)
	return scheduler.OrderAccepted
}

// begin checks the invariants that hold for every start, and starts the run.
func (worker *fakeWorker) begin(order scheduler.StartOrder) {
	fleet, task := worker.fleet, order.Run.Task
	fleet.starts++
	worker.checkCapacity(order)
	delete(fleet.stopped, task)
	worker.logEvent(order.Run, "began")
	workflow := fleet.workflows[task.Job]
	speculative, allowed := workflow.Steps[task.Step].Speculative, 0
	if speculative {
		allowed = 1
	}
	if fleet.running[task] > allowed {
		fleet.reportViolation("%v starts on %s while the task runs elsewhere: %v", order.Run, worker.name,
			fleet.history[task])
	}
	if fleet.finished[task] && !speculative { // See checkStart for tasks that may have a copy.
		fleet.reportViolation("%v starts on %s after its finish was acknowledged: %v", order.Run, worker.name,
			fleet.history[task])
	}
	if repeat := workflow.Repeat; repeat != nil && time.Now().Before(repeat.Due(task.Occurrence)) {
		fleet.reportViolation("%v starts %v before it is due", order.Run, time.Until(repeat.Due(task.Occurrence)))
	}
	if label := workflow.Steps[task.Step].RequiredLabel; label != "" && !slices.Contains(worker.labels, label) {
		fleet.reportViolation("%v starts on %s/%d, which lacks the label %q: %v", order.Run, worker.name, worker.incarnation,
			label, fleet.history[task])
	}
	for _, dependency := range workflow.Steps[task.Step].DependsOn {
		for index := range workflow.Steps[dependency].Count {
			if !fleet.done[scheduler.StepTaskID{
				Job: task.Job, Occurrence: task.Occurrence, Step: dependency, Index: index,
			}] {
				fleet.reportViolation("%v starts before step %d has finished", order.Run, dependency)
			}
		}
	}
	if fleet.running[task] > 0 {
		fleet.copies++
	}
	fleet.checkContent(order)
	if order.Checkpoint != "" {
		fleet.resumed++
	}
	run := &fakeRun{startedAt: time.Now(), fails: fleet.random.Float64() < fleet.failureRate, checkpoint: order.Checkpoint}
	switch {
	case worker.broken:
		run.fails, run.endsAt = true, time.Now()
	case fleet.runTimeOf != nil:
		run.endsAt = time.Now().Add(fleet.runTimeOf(order.Run))
	case !workflow.Steps[task.Step].LongRunning:
		run.endsAt = time.Now().Add(time.Duration(fleet.random.Int64N(int64(fleet.runTime))))
		if speculative && fleet.random.IntN(10) == 0 {
			run.endsAt = time.Now().Add(stragglerRunTime)
		}
	}
	fleet.deadly.begin(worker, order.Run, run)
	worker.runs[order.Run] = run
	worker.highestAttempt[task] = order.Run.Attempt
	worker.used = worker.used.Plus(oneCore)
	fleet.running[task]++
}
