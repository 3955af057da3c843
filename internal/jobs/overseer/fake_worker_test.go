package overseer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeFleet is a set of called workers. It records every breach of an invariant that it sees.
type fakeFleet struct {
	mutex  sync.Mutex
	random *rand.Rand
	// workers holds the lives by address; a later life replaces the earlier one at its address.
	workers map[string]*fakeWorker
	// running counts the runs of each task now, finished holds the tasks whose finish was acknowledged.
	running  map[scheduler.StepTaskID]int
	finished map[scheduler.StepTaskID]bool
	done     map[scheduler.StepTaskID]bool
	// workflows tells which tasks must have finished before another may start.
	workflows map[scheduler.JobID]*scheduler.Workflow
	breaches  []string
	// history tells for each task when its runs began and ended.
	history map[scheduler.StepTaskID][]string
	starts  int
	// resumed counts the starts that carried saved progress.
	resumed int
	// lateShare is the share of orders that are not answered and take effect seconds later.
	lateShare float64
	// failShare is the share of runs that fail.
	failShare float64
	// withVMs is true when workers state the VM that they run on, which has their name.
	withVMs bool
	// stopped holds the long-running tasks that an order has ended and that do not run again yet, mostAway the largest
	// number of them at a time.
	stopped  map[scheduler.StepTaskID]bool
	mostAway int
	// runTime is how long a run takes at most.
	runTime time.Duration
}

// fakeWorker is one life of a worker.
type fakeWorker struct {
	fleet    *fakeFleet
	name     scheduler.WorkerName
	life     scheduler.Incarnation
	address  string
	born     time.Time
	rate     float64
	capacity scheduler.Resources
	used     scheduler.Resources
	token    scheduler.Term
	leaseEnd time.Duration
	runs     map[scheduler.RunID]*fakeRun
	highest  map[scheduler.StepTaskID]scheduler.AttemptNumber
	ends     []scheduler.AttemptEnd
	endCount uint64
	// lapsedUpTo is the number of the last end before the lease last ran out: such an end no longer counts.
	lapsedUpTo uint64
	sequence   uint64
	cut        bool
	dead       bool
	draining   bool
	// broken workers fail all that they start at once.
	broken    bool
	endSignal chan struct{}
}

type fakeRun struct {
	began      time.Time
	until      time.Time
	fails      bool
	checkpoint string
}

var errDied = scheduler.ErrOutcomeUnknown.New("the worker died during the order")

const fakeLease = 10 * time.Second

// Runs have saved progress from saveInterval on.
const (
	saveInterval  = 500 * time.Millisecond
	savedProgress = "saved"
)

func newFleet(seed uint64) *fakeFleet {
	return &fakeFleet{
		random: rand.New(rand.NewPCG(seed, seed)), workers: map[string]*fakeWorker{}, running: map[scheduler.StepTaskID]int{},
		finished: map[scheduler.StepTaskID]bool{}, done: map[scheduler.StepTaskID]bool{}, workflows: map[scheduler.JobID]*scheduler.Workflow{},
		history: map[scheduler.StepTaskID][]string{}, stopped: map[scheduler.StepTaskID]bool{}, runTime: 2 * time.Second,
	}
}

// add begins a new life of a worker at its address.
func (fleet *fakeFleet) add(name scheduler.WorkerName, life scheduler.Incarnation) *fakeWorker {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	address := "10.0.0.1:" + string(name)
	if old := fleet.workers[address]; old != nil && !old.dead {
		old.crash()
	}
	worker := &fakeWorker{
		fleet: fleet, name: name, life: life, address: address, born: time.Now(), rate: 0.98 + 0.04*fleet.random.Float64(),
		capacity: scheduler.Resources{MilliCores: 8000, MemoryBytes: 8 << 30}, runs: map[scheduler.RunID]*fakeRun{},
		highest: map[scheduler.StepTaskID]scheduler.AttemptNumber{}, endSignal: make(chan struct{}),
	}
	fleet.workers[address] = worker
	return worker
}

// note adds to the history of a task.
func (worker *fakeWorker) note(id scheduler.RunID, what string) {
	worker.fleet.history[id.Task] = append(worker.fleet.history[id.Task],
		fmt.Sprintf("%s #%d %s on %s/%d", time.Now().Format("05.000"), id.Attempt, what, worker.name, worker.life))
}

// kill ends the life of a worker.
func (fleet *fakeFleet) kill(name scheduler.WorkerName) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if worker := fleet.workers["10.0.0.1:"+string(name)]; worker != nil && !worker.dead {
		worker.crash()
	}
}

func (fleet *fakeFleet) breach(format string, arguments ...any) {
	fleet.breaches = append(fleet.breaches, fmt.Sprintf(format, arguments...))
}

// clock is the worker's own clock; it starts with its life.
func (worker *fakeWorker) clock() time.Duration {
	return time.Second + time.Duration(float64(time.Since(worker.born))*worker.rate)
}

// crash ends everything on the worker. The mutex is held.
func (worker *fakeWorker) crash() {
	worker.dead = true
	for id := range worker.runs {
		worker.remove(id)
	}
}

func (worker *fakeWorker) remove(id scheduler.RunID) {
	worker.note(id, "ended")
	delete(worker.runs, id)
	worker.used = worker.used.Minus(oneCore)
	worker.fleet.running[id.Task]--
}

var oneCore = scheduler.Resources{MilliCores: 1000, MemoryBytes: 1 << 20}

// end moves a run to the list of ends. The mutex is held.
func (worker *fakeWorker) end(id scheduler.RunID, kind scheduler.EndKind, checkpoint string) {
	worker.remove(id)
	worker.endCount++
	worker.ends = append(worker.ends, scheduler.AttemptEnd{Number: worker.endCount, Run: id, Kind: kind, Checkpoint: checkpoint})
	if kind == scheduler.EndFinished {
		worker.fleet.done[id.Task] = true
	}
	close(worker.endSignal)
	worker.endSignal = make(chan struct{})
}

// advance ends what is due: runs that have finished, and all of them when the lease has run out.
func (worker *fakeWorker) advance() {
	lapsed := worker.clock() > worker.leaseEnd
	if lapsed {
		worker.lapsedUpTo = worker.endCount
	}
	for id, run := range worker.runs {
		if time.Since(run.began) > saveInterval {
			run.checkpoint = savedProgress
		}
		switch {
		case lapsed:
			worker.end(id, scheduler.EndLeaseExpired, run.checkpoint)
		case !run.until.IsZero() && time.Now().After(run.until) && run.fails:
			worker.end(id, scheduler.EndFailed, run.checkpoint)
		case !run.until.IsZero() && time.Now().After(run.until):
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
		}
	}
}

// beat returns what the worker states about itself, unless it is cut off or dead.
func (worker *fakeWorker) beat() (scheduler.WorkerHeartbeat, bool) {
	worker.fleet.mutex.Lock()
	defer worker.fleet.mutex.Unlock()
	if worker.dead || worker.cut {
		return scheduler.WorkerHeartbeat{}, false
	}
	worker.sequence++
	phase := scheduler.WorkerReady
	if worker.draining {
		phase = scheduler.WorkerDraining
	}
	var vm scheduler.VMName
	if worker.fleet.withVMs {
		vm = scheduler.VMName(worker.name)
	}
	return scheduler.WorkerHeartbeat{
		VM: vm, Worker: worker.name, Instance: worker.life, Pool: "pool", Address: worker.address, Phase: phase, Capacity: worker.capacity,
		Labels: []string{"a", "r1-1"}, Clock: worker.clock(), Sequence: worker.sequence, DrainRemaining: 3 * time.Second,
	}, true
}

// reach returns the life at an address. An error means that the order got no answer; it may be late. An order for another
// life has no effect, see scheduler.WorkerClient.
func (fleet *fakeFleet) reach(ctx context.Context, ref scheduler.WorkerRef, effect func(worker *fakeWorker)) (*fakeWorker, error) {
	time.Sleep(time.Millisecond)
	fleet.mutex.Lock()
	worker := fleet.workers[ref.Address]
	other := worker != nil && worker.life != ref.Instance
	late := fleet.random.Float64() < fleet.lateShare && !other
	delay := 2*time.Second + time.Duration(fleet.random.Int64N(int64(10*time.Second)))
	lost := worker == nil || worker.dead || worker.cut
	fleet.mutex.Unlock()
	if late && !lost {
		go func() {
			time.Sleep(delay)
			fleet.mutex.Lock()
			defer fleet.mutex.Unlock()
			if !worker.dead { // An order that waits in a worker ends with the worker's life.
				effect(worker)
			}
		}()
	}
	if late || lost {
		<-ctx.Done()
		return nil, scheduler.ErrOutcomeUnknown.Wrap(ctx.Err())
	}
	return worker, nil
}

// Start implements scheduler.WorkerClient.
func (fleet *fakeFleet) Start(ctx context.Context, ref scheduler.WorkerRef, order scheduler.StartOrder) (scheduler.OrderResponse, error) {
	worker, err := fleet.reach(ctx, ref, func(worker *fakeWorker) { worker.start(order) })
	if err != nil {
		return scheduler.OrderResponse{}, err
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if worker.dead {
		return scheduler.OrderResponse{}, errDied
	}
	if worker.life != ref.Instance {
		return scheduler.OrderResponse{Result: scheduler.OrderIncarnationMismatch}, nil
	}
	return scheduler.OrderResponse{Result: worker.start(order), Clock: worker.clock()}, nil
}

// start begins a run as a worker does. The mutex is held.
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
	if order.Run.Attempt <= worker.highest[order.Run.Task] {
		return scheduler.OrderStaleAttempt
	}
	if !worker.used.Plus(oneCore).FitsIn(worker.capacity) {
		return scheduler.OrderInsufficientCapacity
	}
	worker.begin(order)
	return scheduler.OrderAccepted
}

// begin runs the checks that hold for every start.
func (worker *fakeWorker) begin(order scheduler.StartOrder) {
	fleet, task := worker.fleet, order.Run.Task
	fleet.starts++
	delete(fleet.stopped, task)
	worker.note(order.Run, "began")
	if fleet.running[task] > 0 {
		fleet.breach("%v starts on %s while the task runs elsewhere: %v", order.Run, worker.name, fleet.history[task])
	}
	if fleet.finished[task] {
		fleet.breach("%v starts on %s after its finish was acknowledged: %v", order.Run, worker.name, fleet.history[task])
	}
	workflow := fleet.workflows[task.Job]
	if repeat := workflow.Repeat; repeat != nil && time.Now().Before(repeat.Due(task.Occurrence)) {
		fleet.breach("%v starts %v before it is due", order.Run, time.Until(repeat.Due(task.Occurrence)))
	}
	for _, before := range workflow.Steps[task.Step].DependsOn {
		for index := range workflow.Steps[before].Count {
			if !fleet.done[scheduler.StepTaskID{Job: task.Job, Occurrence: task.Occurrence, Step: before, Index: index}] {
				fleet.breach("%v starts before step %d has finished", order.Run, before)
			}
		}
	}
	if order.Checkpoint == savedProgress {
		fleet.resumed++
	}
	run := &fakeRun{began: time.Now(), fails: fleet.random.Float64() < fleet.failShare, checkpoint: order.Checkpoint}
	if worker.broken {
		run.fails, run.until = true, time.Now()
	} else if !workflow.Steps[task.Step].LongRunning {
		run.until = time.Now().Add(time.Duration(fleet.random.Int64N(int64(fleet.runTime))))
	}
	worker.runs[order.Run] = run
	worker.highest[task] = order.Run.Attempt
	worker.used = worker.used.Plus(oneCore)
	fleet.running[task]++
}

// Stop implements scheduler.WorkerClient.
func (fleet *fakeFleet) Stop(ctx context.Context, ref scheduler.WorkerRef, run scheduler.RunID, token scheduler.Term) (scheduler.OrderResponse, error) {
	worker, err := fleet.reach(ctx, ref, func(worker *fakeWorker) { worker.stop(run, token) })
	if err != nil {
		return scheduler.OrderResponse{}, err
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if worker.dead {
		return scheduler.OrderResponse{}, errDied
	}
	if worker.life != ref.Instance {
		return scheduler.OrderResponse{Result: scheduler.OrderIncarnationMismatch}, nil
	}
	return scheduler.OrderResponse{Result: worker.stop(run, token), Clock: worker.clock()}, nil
}

func (worker *fakeWorker) stop(run scheduler.RunID, token scheduler.Term) scheduler.OrderResult {
	worker.advance()
	if token < worker.token {
		return scheduler.OrderFenced
	}
	worker.token = token
	worker.highest[run.Task] = max(worker.highest[run.Task], run.Attempt)
	if started := worker.runs[run]; started != nil {
		if started.until.IsZero() {
			worker.fleet.stopped[run.Task] = true
			worker.fleet.mostAway = max(worker.fleet.mostAway, len(worker.fleet.stopped))
		}
		worker.end(run, scheduler.EndStopped, savedProgress)
	}
	return scheduler.OrderAccepted
}

// Renew implements scheduler.WorkerClient.
func (fleet *fakeFleet) Renew(ctx context.Context, ref scheduler.WorkerRef, order scheduler.RenewOrder) (scheduler.WorkerReport, error) {
	worker, err := fleet.reach(ctx, ref, func(worker *fakeWorker) { worker.renew(order) })
	if err != nil {
		return scheduler.WorkerReport{}, err
	}
	fleet.mutex.Lock()
	if worker.dead {
		fleet.mutex.Unlock()
		return scheduler.WorkerReport{}, errDied
	}
	if worker.life != ref.Instance {
		fleet.mutex.Unlock()
		return scheduler.WorkerReport{Result: scheduler.OrderIncarnationMismatch, Instance: worker.life}, nil
	}
	verdict := worker.renew(order)
	signal, waits := worker.endSignal, verdict == scheduler.OrderAccepted && len(worker.ends) == 0 && order.Wait > 0
	fleet.mutex.Unlock()
	if waits {
		select {
		case <-signal:
		case <-time.After(order.Wait):
		case <-ctx.Done():
			return scheduler.WorkerReport{}, scheduler.ErrOutcomeUnknown.Wrap(ctx.Err())
		}
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if worker.dead || worker.cut {
		return scheduler.WorkerReport{}, scheduler.ErrOutcomeUnknown.New("the worker is gone")
	}
	report := scheduler.WorkerReport{Result: verdict, Instance: worker.life, Clock: worker.clock(), Ended: append([]scheduler.AttemptEnd(nil), worker.ends...)}
	for id, run := range worker.runs {
		report.Running = append(report.Running, scheduler.RunningAttempt{Run: id, Checkpoint: run.checkpoint, Progress: fullProgress})
	}
	return report, nil
}

func (worker *fakeWorker) renew(order scheduler.RenewOrder) scheduler.OrderResult {
	worker.advance()
	if order.Token < worker.token {
		return scheduler.OrderFenced
	}
	worker.token = order.Token
	if worker.clock() > order.LeaseEnd {
		return scheduler.OrderLeaseExpired
	}
	worker.leaseEnd = max(worker.leaseEnd, min(order.LeaseEnd, worker.clock()+fakeLease))
	var kept []scheduler.AttemptEnd
	for _, end := range worker.ends {
		if end.Number > order.Acknowledged {
			kept = append(kept, end)
			continue
		}
		if end.Kind == scheduler.EndFinished && end.Number > worker.lapsedUpTo {
			worker.fleet.finished[end.Run.Task] = true
		}
	}
	worker.ends = kept
	return scheduler.OrderAccepted
}

// Throttle implements scheduler.WorkerClient.
func (fleet *fakeFleet) Throttle(ctx context.Context, ref scheduler.WorkerRef, _ scheduler.RunID, _ int, _ scheduler.Term) (scheduler.OrderResponse, error) {
	_, err := fleet.reach(ctx, ref, func(*fakeWorker) {})
	return scheduler.OrderResponse{Result: scheduler.OrderAccepted}, err
}
