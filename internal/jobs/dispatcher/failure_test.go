package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/state/configurator"
	"github.com/crocusplank/crocusplank/internal/state/multiplexer"
	"github.com/crocusplank/crocusplank/internal/trials/emulator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// mutation is a defect that is deliberately introduced to verify that the checks detect it.
type mutation struct {
	noMargin              bool
	unboundedLeaderLease  bool
	ignoreLeases          bool
	ignoreTerm            bool
	nextAttemptOnEviction bool
	placerIgnoresCapacity bool
	// onlyFault, if set, is the only kind of fault that injectFault injects, so that a mutation that has an
	// effect in only one situation is found with few seeds.
	onlyFault int
	// faultFree disables the faults of the network.
	faultFree bool
}

// mutant is a state machine that modifies commands according to a mutation before it applies them.
type mutant struct {
	*Machine
	mutation mutation
}

func (mutant *mutant) Apply(index scheduler.Index, command []byte) []byte {
	var batch Command
	if err := encoder.Unmarshal(command, &batch); err != nil {
		return mutant.Machine.Apply(index, command)
	}
	var ends []Operation
	for i := range batch.Operations {
		operation := &batch.Operations[i]
		if mutant.mutation.ignoreTerm && operation.Term != 0 && operation.TakeOver == nil {
			operation.Term = mutant.Term()
		}
		if mutant.mutation.nextAttemptOnEviction && operation.Evict != nil {
			if task := mutant.tasks[operation.Evict.Task]; task != nil && task.Lease != 0 {
				ends = append(ends, Operation{Term: operation.Term, End: &End{
					Lease: task.Lease, Outcome: scheduler.AttemptStopped,
				}})
			}
		}
	}
	encoded, _ := encoder.Marshal(batch)
	results := mutant.Machine.Apply(index, encoded)
	if len(ends) > 0 {
		encoded, _ = encoder.Marshal(Command{AtUnixMilli: batch.AtUnixMilli, Operations: ends})
		mutant.Machine.Apply(index, encoded)
	}
	return results
}

// simulation is one run with random faults that are determined by a seed.
type simulation struct {
	random    *rand.Rand
	cluster   *cluster
	workers   []*emulator.Worker
	capacity  scheduler.Resources
	cancelled map[scheduler.JobID]bool
	submitted []scheduler.JobID
	// cutOff marks the workers whose requests are lost.
	cutOff       [simulatedWorkers]atomic.Bool
	usageReports atomic.Int64
	global       *configurator.GlobalMachine
	submitter    *configurator.Submitter
	locals       []*configurator.LocalMachine
	document     *scheduler.Configuration
	onlyFault    int
	// exchangesPerEntry is the average number of exchanges after which a worker changes its entry VM.
	exchangesPerEntry int
	faultFree         bool
}

const simulatedWorkers = 6

func newSimulation(ctx context.Context, seed uint64, mutation mutation) *simulation {
	simulation := &simulation{
		random:            rand.New(rand.NewPCG(seed, 1)),
		onlyFault:         mutation.onlyFault,
		exchangesPerEntry: 10, faultFree: mutation.faultFree,
		cluster:  newCluster(seed, "couva-1", "couva-2", "couva-3"),
		capacity: scheduler.Resources{MilliCores: 4000, MemoryBytes: 4 << 30}, cancelled: map[scheduler.JobID]bool{},
	}
	if mutation.unboundedLeaderLease {
		simulation.exchangesPerEntry = 60
	}
	simulation.cluster.unboundedLeaderLease = mutation.unboundedLeaderLease
	if !mutation.faultFree {
		simulation.cluster.resultLossRate = 0.02
	}
	global := newCluster(seed, "global-1").leader
	simulation.global = configurator.NewGlobalMachine()
	global.machine = simulation.global
	simulation.submitter = configurator.NewSubmitter(global, simulation.global)
	for _, node := range simulation.cluster.nodes {
		simulation.startVM(ctx, node, mutation)
	}
	simulation.document = &scheduler.Configuration{
		DataCentres: []scheduler.DataCentre{{Name: "couva"}},
		Racks:       []scheduler.Rack{{Name: "0", DataCentre: "couva"}, {Name: "1", DataCentre: "couva"}},
	}
	for i := range simulatedWorkers {
		name := scheduler.WorkerName(fmt.Sprintf("worker-%d", i))
		simulation.document.Workers = append(simulation.document.Workers, scheduler.Worker{
			Name: name, DataCentre: "couva", Rack: fmt.Sprint(i / 3), Capacity: simulation.capacity,
		})
		rate := []float64{0.9, 1, 1.1}[i%3]
		worker := emulator.NewWorker(name, simulation.network(seed, i),
			emulator.WithClockRate(rate), emulator.WithCheckpointPeriod(5*time.Second))
		worker.SetFaults(emulator.Faults{IgnoreLeases: mutation.ignoreLeases})
		simulation.workers = append(simulation.workers, worker)
		go worker.Run(ctx)
	}
	simulation.configure(ctx)
	for simulation.cluster.leaderEngine().machine.Revision() == 0 {
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second) // Workers get tasks only after they have synced under the current inventory.
	return simulation
}

// startVM starts the components that the daemon runs on a VM of a data centre.
func (simulation *simulation) startVM(ctx context.Context, node *node, mutation mutation) {
	machine, local, placer := NewMachine("couva"), configurator.NewLocalMachine(), newFirstFitPlacer()
	placer.ignoreCapacity = mutation.placerIgnoresCapacity
	shared, err := multiplexer.New(
		multiplexer.WithMachine("configuration", local),
		multiplexer.WithMachine("dispatcher", &mutant{Machine: machine, mutation: mutation}),
	)
	if err != nil {
		panic(err)
	}
	node.machine = shared
	margin, rate := defaultLeaseMargin, float64(defaultRescheduleRate)
	if mutation.faultFree {
		rate = 4 // Low enough to observe the order in which tasks are rescheduled.
	}
	if mutation.noMargin {
		margin = 0
	}
	node.engine = NewEngine(node.name, multiplexer.NewGroupView(node, "dispatcher"), machine, placer,
		WithLease(defaultLeaseDuration, margin), WithRescheduleRate(rate),
		WithUsageHandler(func(_ scheduler.WorkerName, usage []scheduler.AttemptUsage) {
			simulation.usageReports.Add(int64(len(usage)))
		}))
	simulation.locals = append(simulation.locals, local)
	configuration := multiplexer.NewGroupView(node, "configuration")
	go func() {
		_ = local.AwaitReady(ctx, configuration)
		go configurator.NewDistributor(simulation.global, local, configuration).Run(ctx)
		go node.engine.FollowInventory(ctx, local.InForce, local.Subscribe().Changed())
		node.engine.Run(ctx)
	}()
}

// configure submits a revision with a new label for each worker.
func (simulation *simulation) configure(ctx context.Context) {
	revision, _ := simulation.global.Current()
	for i := range simulation.document.Workers {
		simulation.document.Workers[i].Labels = map[string]string{"generation": fmt.Sprint(revision)}
	}
	_, _ = simulation.submitter.Submit(ctx, revision, "ama", fmt.Sprint(revision), simulation.document)
}

// network returns the sync exchange of a worker. Unless the simulation is free of faults, exchanges are lost, delayed
// and repeated.
func (simulation *simulation) network(seed uint64, worker int) emulator.Exchange {
	random := rand.New(rand.NewPCG(seed, uint64(100+worker)))
	var mutex sync.Mutex
	entry := 0
	exchange := func(ctx context.Context, request *scheduler.SyncRequest) (*scheduler.SyncResponse, error) {
		if simulation.cutOff[worker].Load() {
			return nil, scheduler.ErrNotRun.New("request lost")
		}
		// A worker uses the same entry VM for several exchanges, even if that VM has been isolated.
		mutex.Lock()
		if random.IntN(simulation.exchangesPerEntry) == 0 {
			entry = random.IntN(len(simulation.cluster.nodes))
		}
		engine := simulation.cluster.entryEngine(entry)
		mutex.Unlock()
		return engine.Sync(ctx, request)
	}
	if simulation.faultFree {
		return exchange
	}
	return emulator.NewUnreliableExchange(exchange, seed<<8+uint64(worker))
}

func (simulation *simulation) submit(ctx context.Context) {
	id := scheduler.JobID(fmt.Sprintf("job-%d", len(simulation.submitted)))
	urgent := simulation.random.IntN(4) == 0
	spec := scheduler.TaskSpec{
		Class: scheduler.ClassBatch, RunTime: time.Duration(5+simulation.random.IntN(40)) * time.Second,
		Request: scheduler.Resources{MilliCores: int64(500 + simulation.random.IntN(1500)), MemoryBytes: 1 << 28},
	}
	if urgent {
		spec.Class = scheduler.ClassLatencyCritical
	}
	submission := Submission{
		Job: id, Team: "patterns", Urgent: urgent, Tasks: []TaskGroup{{Count: 1 + simulation.random.IntN(5), Spec: spec}},
	}
	for range 2 + simulation.random.IntN(2) {
		_, _ = simulation.cluster.leaderEngine().Submit(ctx, submission)
	}
	simulation.submitted = append(simulation.submitted, id)
}

// injectFault injects one random fault.
func (simulation *simulation) injectFault(ctx context.Context) {
	number := simulation.random.IntN(len(simulation.workers))
	worker := simulation.workers[number]
	pause := time.Duration(simulation.random.IntN(25)) * time.Second
	kind := simulation.random.IntN(11)
	if simulation.onlyFault != 0 {
		kind = simulation.onlyFault
	}
	switch kind {
	case 0:
		simulation.cluster.elect()
	case 1:
		simulation.cluster.isolate()
		time.Sleep(2 * pause)
		simulation.cluster.heal()
	case 2:
		worker.SetFaults(emulator.Faults{Frozen: true})
		time.Sleep(pause)
	case 3:
		worker.SetFaults(emulator.Faults{DropResponses: true})
		time.Sleep(pause)
	case 4:
		worker.Restart()
	case 5:
		worker.SetFaults(emulator.Faults{IgnoreStop: true})
	case 6:
		worker.SetFaults(emulator.Faults{FailStarts: true})
		time.Sleep(3 * time.Second)
	case 7:
		var jobs []scheduler.JobID
		for _, id := range simulation.submitted {
			if simulation.random.IntN(6) == 0 {
				jobs = append(jobs, id)
				simulation.cancelled[id] = true
			}
		}
		_, _ = simulation.cluster.leaderEngine().Cancel(ctx, Cancellation{Jobs: jobs, Operator: "ama"})
	case 8:
		name := scheduler.WorkerName(fmt.Sprintf("worker-%d", simulation.random.IntN(simulatedWorkers)))
		_ = simulation.cluster.leaderEngine().Drain(ctx, Drain{Worker: name, Operator: "ama"})
		go simulation.cluster.elect()
		time.Sleep(pause)
		for simulation.cluster.leaderEngine().Drain(ctx, Drain{Worker: name, Off: true, Operator: "ama"}) != nil {
			time.Sleep(time.Second)
		}
	case 9:
		simulation.cutOff[number].Store(true)
		time.Sleep(pause)
		simulation.cutOff[number].Store(false)
	case 10:
		// Leases expire on the leader while it is being isolated, among them leases whose start command has
		// not been delivered yet. The next leader delivers that command.
		simulation.cutOff[number].Store(true)
		time.Sleep(defaultLeaseDuration + defaultLeaseMargin - time.Duration(simulation.random.IntN(1500))*time.Millisecond)
		simulation.cutOff[number].Store(false)
		simulation.cluster.isolate()
		time.Sleep(3 * time.Second)
		simulation.cluster.heal()
	}
}

// runSimulation runs a simulation and returns the violations that the checks found.
func runSimulation(ctx context.Context, seed uint64, mutation mutation) []string {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		time.Sleep(time.Hour) // Pending exchanges and proposals must end before the synctest bubble does.
	}()
	simulation := newSimulation(ctx, seed, mutation)
	for range 25 {
		simulation.configure(ctx)
		for range simulation.random.IntN(3) {
			simulation.submit(ctx)
		}
		time.Sleep(time.Duration(simulation.random.IntN(4000)) * time.Millisecond)
		simulation.injectFault(ctx)
		for _, worker := range simulation.workers {
			if simulation.random.IntN(2) == 0 {
				worker.SetFaults(emulator.Faults{IgnoreLeases: mutation.ignoreLeases})
			}
		}
	}
	simulation.cluster.mutex.Lock()
	simulation.cluster.resultLossRate = 0
	simulation.cluster.mutex.Unlock()
	for _, worker := range simulation.workers {
		worker.SetFaults(emulator.Faults{})
	}
	time.Sleep(10 * time.Minute)
	return simulation.check()
}

func (simulation *simulation) check() (violations []string) {
	var executions []emulator.Execution
	capacity := map[scheduler.WorkerName]scheduler.Resources{}
	for i, worker := range simulation.workers {
		executions = append(executions, worker.Executions()...)
		capacity[scheduler.WorkerName(fmt.Sprintf("worker-%d", i))] = simulation.capacity
	}
	violations = emulator.CheckExecutions(executions, capacity)
	machine := simulation.cluster.leaderEngine().machine
	accepted, _ := simulation.global.Current()
	for i, local := range simulation.locals {
		if revision, _, _ := local.InForce(); revision != accepted ||
			simulation.cluster.nodes[i].engine.machine.Revision() != accepted {
			violations = append(violations, fmt.Sprintf("VM %d has revision %d in force, %d is accepted", i, revision, accepted))
		}
	}
	for _, id := range simulation.submitted {
		report, ok := machine.Job(id)
		switch {
		case !ok:
			violations = append(violations, fmt.Sprintf("job %s is lost", id))
		case report.State != JobFinished && (report.State != JobCancelled || !simulation.cancelled[id]):
			violations = append(violations, fmt.Sprintf("job %s is %s", id, report.State))
		}
		for _, task := range report.Tasks {
			complete := slices.ContainsFunc(executions, func(execution emulator.Execution) bool {
				return execution.Task == task.Task && execution.Outcome == scheduler.AttemptFinished
			})
			if task.State == TaskFinished && !complete {
				violations = append(violations, fmt.Sprintf("task %s is recorded as finished, but no execution finished", task.Task))
			}
		}
	}
	return violations
}

// Guards against violations of invariants 1 to 3 of the design page and against lost jobs. The faults are changes of
// leader, an isolated leader, frozen and restarted workers, lost, late and repeated exchanges, clocks that deviate by
// 10%, evictions and drains during fail-over, and cancellations.
func TestInvariantsUnderFailure(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			for _, violation := range runSimulation(t.Context(), seed, mutation{}) {
				t.Errorf("seed %d: %s", seed, violation)
			}
		})
	}
}

// Guards against a burst of cancellations that skips, repeats or loses tasks that start, finish, fail or are evicted
// concurrently.
func TestCancelBurstRacesWithTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Hour)
		}()
		simulation := newSimulation(ctx, 3, mutation{})
		simulation.workers[1].SetFaults(emulator.Faults{FailStarts: true})
		var group sync.WaitGroup
		for i := range 10_000 {
			id := scheduler.JobID(fmt.Sprintf("job-%d", i))
			simulation.submitted, simulation.cancelled[id] = append(simulation.submitted, id), true
			spec := scheduler.TaskSpec{
				Class: scheduler.ClassBatch, RunTime: time.Duration(1+i%8) * time.Second,
				Request: scheduler.Resources{MilliCores: 20},
			}
			group.Go(func() {
				for {
					if result, err := simulation.cluster.leaderEngine().Submit(ctx, Submission{
						Job: id, Team: "patterns", Tasks: []TaskGroup{{Count: 1, Spec: spec}},
					}); err == nil && result.Accepted {
						return
					}
				}
			})
		}
		group.Wait()
		time.Sleep(5 * time.Second)
		for i := range simulatedWorkers / 2 {
			_ = simulation.cluster.leaderEngine().Drain(ctx, Drain{
				Worker: scheduler.WorkerName(fmt.Sprintf("worker-%d", i)), Operator: "ama",
			})
		}
		time.Sleep(2 * defaultStepInterval) // The burst then hits tasks whose evictions have been recorded.
		go simulation.cluster.elect()
		burst := Cancellation{Jobs: simulation.submitted, Operator: "ama"}
		for range 3 {
			_, _ = simulation.cluster.leaderEngine().Cancel(ctx, burst)
		}
		time.Sleep(time.Minute)
		for _, violation := range simulation.check() {
			t.Error(violation)
		}
		counts := simulation.cluster.leaderEngine().machine.Counts()
		if counts.Tasks[TaskFinished] == 0 || counts.Failures == 0 || counts.Evictions == 0 || counts.Leases != 0 {
			t.Errorf("got %+v, want tasks that finished, failed and were evicted, and no live lease", counts)
		}
		t.Logf("%d finished, %d cancelled, %d failures, %d evictions",
			counts.Tasks[TaskFinished], counts.Tasks[TaskCancelled], counts.Failures, counts.Evictions)
	})
}

// Guards against a state machine that relies on the placer to respect the capacity of workers.
func TestCarelessPlacerOverloadsNoWorker(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			for _, violation := range runSimulation(t.Context(), seed, mutation{placerIgnoresCapacity: true}) {
				t.Errorf("seed %d: %s", seed, violation)
			}
		})
	}
}

// Guards against checks that cannot fail: they must detect each mutation within the given number of seeds.
func TestChecksFindMutations(t *testing.T) {
	tests := map[string]struct {
		mutation mutation
		seeds    uint64
	}{
		"no margin":                {mutation: mutation{noMargin: true}, seeds: 20},
		"no term check":            {mutation: mutation{ignoreTerm: true, onlyFault: 10}, seeds: 100},
		"endless leader lease":     {mutation: mutation{unboundedLeaderLease: true, onlyFault: 1}, seeds: 30},
		"worker ignores its lease": {mutation: mutation{ignoreLeases: true}, seeds: 20},
		"next attempt on eviction": {mutation: mutation{nextAttemptOnEviction: true}, seeds: 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range test.seeds {
				var violations []string
				synctest.Test(t, func(t *testing.T) { violations = runSimulation(t.Context(), seed, test.mutation) })
				if len(violations) > 0 {
					t.Logf("found with seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Errorf("got no violation with %d seeds", test.seeds)
		})
	}
}
