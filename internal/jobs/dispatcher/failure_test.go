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

// mutation is a fault put into the system, to show that the checks can fail.
type mutation struct {
	noMargin      bool
	endlessLease  bool
	ignoreLeases  bool
	anyTerm       bool
	earlyAttempt  bool
	carelessPlace bool
	// focus, if set, is the only kind of fault that disturb lets happen, so that a mutation that
	// matters in one situation is found with few seeds.
	focus int
	// calm leaves the network without faults.
	calm bool
}

// mutant changes commands on their way into the state machine.
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
		if mutant.mutation.anyTerm && operation.Term != 0 && operation.TakeOver == nil {
			operation.Term = mutant.Term()
		}
		if mutant.mutation.earlyAttempt && operation.Evict != nil {
			if task := mutant.tasks[operation.Evict.Task]; task != nil && task.Lease != 0 {
				ends = append(ends, Operation{Term: operation.Term, End: &End{Lease: task.Lease, Outcome: scheduler.AttemptStopped}})
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

// trial is one run with faults drawn from a seed.
type trial struct {
	random    *rand.Rand
	cluster   *cluster
	workers   []*emulator.Worker
	capacity  scheduler.Resources
	cancelled map[scheduler.JobID]bool
	submitted []scheduler.JobID
	// cutOff holds the workers whose requests do not get through.
	cutOff    [trialWorkers]atomic.Bool
	reports   atomic.Int64
	global    *configurator.GlobalMachine
	submitter *configurator.Submitter
	locals    []*configurator.LocalMachine
	document  *scheduler.Configuration
	focus     int
	// stay is for how many exchanges, on average, a worker stays with an entry VM.
	stay int
	calm bool
}

const trialWorkers = 6

func newTrial(ctx context.Context, seed uint64, mutation mutation) *trial {
	trial := &trial{
		random: rand.New(rand.NewPCG(seed, 1)),
		focus:  mutation.focus,
		stay:   10, calm: mutation.calm,
		cluster:  newCluster(seed, "couva-1", "couva-2", "couva-3"),
		capacity: scheduler.Resources{MilliCores: 4000, MemoryBytes: 4 << 30}, cancelled: map[scheduler.JobID]bool{},
	}
	if mutation.endlessLease {
		trial.stay = 60
	}
	trial.cluster.endlessLease = mutation.endlessLease
	if !mutation.calm {
		trial.cluster.loseResults = 0.02
	}
	global := newCluster(seed, "global-1").leader
	trial.global = configurator.NewGlobalMachine()
	global.machine = trial.global
	trial.submitter = configurator.NewSubmitter(global, trial.global)
	for _, node := range trial.cluster.nodes {
		trial.startVM(ctx, node, mutation)
	}
	trial.document = &scheduler.Configuration{
		DataCentres: []scheduler.DataCentre{{Name: "couva"}},
		Racks:       []scheduler.Rack{{Name: "0", DataCentre: "couva"}, {Name: "1", DataCentre: "couva"}},
	}
	for i := range trialWorkers {
		name := scheduler.WorkerName(fmt.Sprintf("worker-%d", i))
		trial.document.Workers = append(trial.document.Workers, scheduler.Worker{
			Name: name, DataCentre: "couva", Rack: fmt.Sprint(i / 3), Capacity: trial.capacity,
		})
		rate := []float64{0.9, 1, 1.1}[i%3]
		worker := emulator.NewWorker(name, trial.network(seed, i), emulator.WithClockRate(rate), emulator.WithCheckpointPeriod(5*time.Second))
		worker.SetFaults(emulator.Faults{IgnoreLeases: mutation.ignoreLeases})
		trial.workers = append(trial.workers, worker)
		go worker.Run(ctx)
	}
	trial.configure(ctx)
	for trial.cluster.leading().machine.Revision() == 0 {
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second) // Workers are used once they have synced with the inventory in force.
	return trial
}

// startVM starts what the daemon wires together on a VM of a data centre.
func (trial *trial) startVM(ctx context.Context, node *node, mutation mutation) {
	machine, local, placer := NewMachine("couva"), configurator.NewLocalMachine(), newFirstFit()
	placer.careless = mutation.carelessPlace
	shared, err := multiplexer.New(
		multiplexer.WithMachine("configuration", local),
		multiplexer.WithMachine("dispatcher", &mutant{Machine: machine, mutation: mutation}),
	)
	if err != nil {
		panic(err)
	}
	node.machine = shared
	margin, rate := defaultLeaseMargin, float64(defaultReplacementRate)
	if mutation.calm {
		rate = 4 // Slow enough to see the order of re-placement.
	}
	if mutation.noMargin {
		margin = 0
	}
	node.engine = NewEngine(node.name, multiplexer.NewGroupView(node, "dispatcher"), machine, placer,
		WithLease(defaultLeaseDuration, margin), WithReplacementRate(rate),
		WithUsage(func(_ scheduler.WorkerName, usage []scheduler.AttemptUsage) { trial.reports.Add(int64(len(usage))) }))
	trial.locals = append(trial.locals, local)
	configuration := multiplexer.NewGroupView(node, "configuration")
	go func() {
		_ = local.AwaitReady(ctx, configuration)
		go configurator.NewDistributor(trial.global, local, configuration).Run(ctx)
		go node.engine.FollowInventory(ctx, local.InForce, local.Subscribe().Changed())
		node.engine.Run(ctx)
	}()
}

// configure submits a revision with a new label for each worker.
func (trial *trial) configure(ctx context.Context) {
	revision, _ := trial.global.Current()
	for i := range trial.document.Workers {
		trial.document.Workers[i].Labels = map[string]string{"generation": fmt.Sprint(revision)}
	}
	_, _ = trial.submitter.Submit(ctx, revision, "ama", fmt.Sprint(revision), trial.document)
}

// network loses, delays and repeats exchanges.
func (trial *trial) network(seed uint64, worker int) emulator.Exchange {
	random := rand.New(rand.NewPCG(seed, uint64(100+worker)))
	var mutex sync.Mutex
	entry := 0
	exchange := func(ctx context.Context, request *scheduler.SyncRequest) (*scheduler.SyncResponse, error) {
		if trial.cutOff[worker].Load() {
			return nil, scheduler.ErrNotRun.New("request lost")
		}
		// A worker stays with an entry VM for a while, also with one that has been isolated.
		mutex.Lock()
		if random.IntN(trial.stay) == 0 {
			entry = random.IntN(len(trial.cluster.nodes))
		}
		engine := trial.cluster.entry(entry)
		mutex.Unlock()
		return engine.Sync(ctx, request)
	}
	if trial.calm {
		return exchange
	}
	return emulator.NewUnreliableExchange(exchange, seed<<8+uint64(worker))
}

func (trial *trial) submit(ctx context.Context) {
	id := scheduler.JobID(fmt.Sprintf("job-%d", len(trial.submitted)))
	urgent := trial.random.IntN(4) == 0
	spec := scheduler.TaskSpec{
		Class: scheduler.ClassBatch, RunTime: time.Duration(5+trial.random.IntN(40)) * time.Second,
		Request: scheduler.Resources{MilliCores: int64(500 + trial.random.IntN(1500)), MemoryBytes: 1 << 28},
	}
	if urgent {
		spec.Class = scheduler.ClassLatencyCritical
	}
	submission := Submission{Job: id, Team: "patterns", Urgent: urgent, Tasks: []TaskGroup{{Count: 1 + trial.random.IntN(5), Spec: spec}}}
	for range 2 + trial.random.IntN(2) {
		_, _ = trial.cluster.leading().Submit(ctx, submission)
	}
	trial.submitted = append(trial.submitted, id)
}

// disturb lets one random fault happen.
func (trial *trial) disturb(ctx context.Context) {
	number := trial.random.IntN(len(trial.workers))
	worker := trial.workers[number]
	pause := time.Duration(trial.random.IntN(25)) * time.Second
	kind := trial.random.IntN(11)
	if trial.focus != 0 {
		kind = trial.focus
	}
	switch kind {
	case 0:
		trial.cluster.elect()
	case 1:
		trial.cluster.isolate()
		time.Sleep(2 * pause)
		trial.cluster.heal()
	case 2:
		worker.SetFaults(emulator.Faults{Frozen: true})
		time.Sleep(pause)
	case 3:
		worker.SetFaults(emulator.Faults{LoseAnswers: true})
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
		for _, id := range trial.submitted {
			if trial.random.IntN(6) == 0 {
				jobs = append(jobs, id)
				trial.cancelled[id] = true
			}
		}
		_, _ = trial.cluster.leading().Cancel(ctx, Cancellation{Jobs: jobs, Operator: "ama"})
	case 8:
		name := scheduler.WorkerName(fmt.Sprintf("worker-%d", trial.random.IntN(trialWorkers)))
		_ = trial.cluster.leading().Drain(ctx, Drain{Worker: name, Operator: "ama"})
		go trial.cluster.elect()
		time.Sleep(pause)
		for trial.cluster.leading().Drain(ctx, Drain{Worker: name, Off: true, Operator: "ama"}) != nil {
			time.Sleep(time.Second)
		}
	case 9:
		trial.cutOff[number].Store(true)
		time.Sleep(pause)
		trial.cutOff[number].Store(false)
	case 10:
		// The leader sees leases expire while it is being isolated, among them some whose start
		// has not been delivered. The next leader delivers it.
		trial.cutOff[number].Store(true)
		time.Sleep(defaultLeaseDuration + defaultLeaseMargin - time.Duration(trial.random.IntN(1500))*time.Millisecond)
		trial.cutOff[number].Store(false)
		trial.cluster.isolate()
		time.Sleep(3 * time.Second)
		trial.cluster.heal()
	}
}

// runTrial returns what was wrong, empty when nothing was.
func runTrial(ctx context.Context, seed uint64, mutation mutation) []string {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		time.Sleep(time.Hour) // Exchanges and proposals under way end before the bubble does.
	}()
	trial := newTrial(ctx, seed, mutation)
	for range 25 {
		trial.configure(ctx)
		for range trial.random.IntN(3) {
			trial.submit(ctx)
		}
		time.Sleep(time.Duration(trial.random.IntN(4000)) * time.Millisecond)
		trial.disturb(ctx)
		for _, worker := range trial.workers {
			if trial.random.IntN(2) == 0 {
				worker.SetFaults(emulator.Faults{IgnoreLeases: mutation.ignoreLeases})
			}
		}
	}
	trial.cluster.mutex.Lock()
	trial.cluster.loseResults = 0
	trial.cluster.mutex.Unlock()
	for _, worker := range trial.workers {
		worker.SetFaults(emulator.Faults{})
	}
	time.Sleep(10 * time.Minute)
	return trial.check()
}

func (trial *trial) check() (faults []string) {
	var executions []emulator.Execution
	capacity := map[scheduler.WorkerName]scheduler.Resources{}
	for i, worker := range trial.workers {
		executions = append(executions, worker.Executions()...)
		capacity[scheduler.WorkerName(fmt.Sprintf("worker-%d", i))] = trial.capacity
	}
	faults = emulator.CheckExecutions(executions, capacity)
	machine := trial.cluster.leading().machine
	accepted, _ := trial.global.Current()
	for i, local := range trial.locals {
		if revision, _, _ := local.InForce(); revision != accepted || trial.cluster.nodes[i].engine.machine.Revision() != accepted {
			faults = append(faults, fmt.Sprintf("VM %d has revision %d in force, %d is accepted", i, revision, accepted))
		}
	}
	for _, id := range trial.submitted {
		report, ok := machine.Job(id)
		switch {
		case !ok:
			faults = append(faults, fmt.Sprintf("job %s is lost", id))
		case report.State != JobFinished && (report.State != JobCancelled || !trial.cancelled[id]):
			faults = append(faults, fmt.Sprintf("job %s is %s", id, report.State))
		}
		for _, task := range report.Tasks {
			complete := slices.ContainsFunc(executions, func(execution emulator.Execution) bool {
				return execution.Task == task.Task && execution.Outcome == scheduler.AttemptFinished
			})
			if task.State == TaskFinished && !complete {
				faults = append(faults, fmt.Sprintf("task %s counts as finished but never was", task.Task))
			}
		}
	}
	return faults
}

// Guards against every violation of the invariants 1 to 3 of the design page and against lost jobs,
// under changes of the leader, an isolated leader, frozen and restarted workers, lost, late and
// repeated exchanges, clocks that are 10% off, evictions and drains during fail-over, and
// cancellations.
func TestInvariantsUnderFailure(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			for _, fault := range runTrial(t.Context(), seed, mutation{}) {
				t.Errorf("seed %d: %s", seed, fault)
			}
		})
	}
}

// Guards against a burst of cancellations that loses, repeats or forgets tasks which start, finish,
// fail or are evicted at the same time.
func TestCancelBurstRacesWithTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Hour)
		}()
		trial := newTrial(ctx, 3, mutation{})
		trial.workers[1].SetFaults(emulator.Faults{FailStarts: true})
		var group sync.WaitGroup
		for i := range 10_000 {
			id := scheduler.JobID(fmt.Sprintf("job-%d", i))
			trial.submitted, trial.cancelled[id] = append(trial.submitted, id), true
			spec := scheduler.TaskSpec{Class: scheduler.ClassBatch, RunTime: time.Duration(1+i%8) * time.Second, Request: scheduler.Resources{MilliCores: 20}}
			group.Go(func() {
				for {
					if result, err := trial.cluster.leading().Submit(ctx, Submission{Job: id, Team: "patterns", Tasks: []TaskGroup{{Count: 1, Spec: spec}}}); err == nil && result.Accepted {
						return
					}
				}
			})
		}
		group.Wait()
		time.Sleep(5 * time.Second)
		for i := range trialWorkers / 2 {
			_ = trial.cluster.leading().Drain(ctx, Drain{Worker: scheduler.WorkerName(fmt.Sprintf("worker-%d", i)), Operator: "ama"})
		}
		time.Sleep(2 * defaultTick) // The burst meets evictions that have been logged.
		go trial.cluster.elect()
		burst := Cancellation{Jobs: trial.submitted, Operator: "ama"}
		for range 3 {
			_, _ = trial.cluster.leading().Cancel(ctx, burst)
		}
		time.Sleep(time.Minute)
		for _, fault := range trial.check() {
			t.Error(fault)
		}
		counts := trial.cluster.leading().machine.Counts()
		if counts.Tasks[TaskFinished] == 0 || counts.Failures == 0 || counts.Evictions == 0 || counts.Leases != 0 {
			t.Errorf("got %+v, want tasks that finished, failed and were evicted, and no live lease", counts)
		}
		t.Logf("%d finished, %d cancelled, %d failures, %d evictions", counts.Tasks[TaskFinished], counts.Tasks[TaskCancelled], counts.Failures, counts.Evictions)
	})
}

// Guards against a state machine that trusts the placer.
func TestCarelessPlacerOverloadsNoWorker(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			for _, fault := range runTrial(t.Context(), seed, mutation{carelessPlace: true}) {
				t.Errorf("seed %d: %s", seed, fault)
			}
		})
	}
}

// Guards against checks that cannot fail: each mutation must be found within the given seeds.
func TestChecksFindMutations(t *testing.T) {
	tests := map[string]struct {
		mutation mutation
		seeds    uint64
	}{
		"no margin":                {mutation: mutation{noMargin: true}, seeds: 20},
		"no term check":            {mutation: mutation{anyTerm: true, focus: 10}, seeds: 100},
		"endless leader lease":     {mutation: mutation{endlessLease: true, focus: 1}, seeds: 30},
		"worker ignores its lease": {mutation: mutation{ignoreLeases: true}, seeds: 20},
		"next attempt on eviction": {mutation: mutation{earlyAttempt: true}, seeds: 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range test.seeds {
				var faults []string
				synctest.Test(t, func(t *testing.T) { faults = runTrial(t.Context(), seed, test.mutation) })
				if len(faults) > 0 {
					t.Logf("found with seed %d: %s", seed, faults[0])
					return
				}
			}
			t.Errorf("got no violation with %d seeds", test.seeds)
		})
	}
}
