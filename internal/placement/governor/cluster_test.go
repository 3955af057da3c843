package governor

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/dispatcher"
	"github.com/crocusplank/crocusplank/internal/trials/emulator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// cluster is a data centre with two VMs that share one log, each with an engine and a governor, and emulated workers.
type cluster struct {
	mutex   sync.Mutex
	index   scheduler.Index
	term    scheduler.Term
	leader  *vm
	vms     []*vm
	workers map[scheduler.WorkerName]*emulator.Worker
	config  scheduler.Configuration
	ctx     context.Context
	// checkpointPeriod is the period at which tasks save checkpoints. If it is 0, they save none.
	checkpointPeriod time.Duration
}

// vm is one VM of the cluster. It implements scheduler.Group and Engine.
type vm struct {
	scheduler.Group
	cluster  *cluster
	machine  *dispatcher.Machine
	engine   *dispatcher.Engine
	governor *Governor
	// throttles, releases and checkpoints count the actions that the governor requested. reasons lists the reasons
	// of the evictions that it requested.
	throttles, releases, checkpoints int
	reasons                          []string
}

func (vm *vm) Name() scheduler.GroupName { return "couva" }

func (vm *vm) ReadBarrier(context.Context) error { return nil }

func (vm *vm) Status() scheduler.GroupStatus {
	vm.cluster.mutex.Lock()
	defer vm.cluster.mutex.Unlock()
	return scheduler.NewGroupStatus(scheduler.GroupLeader, vm.cluster.term, "", 0, 0, nil)
}

func (vm *vm) HoldsLeaderLease() bool {
	vm.cluster.mutex.Lock()
	defer vm.cluster.mutex.Unlock()
	return vm.cluster.leader == vm
}

func (vm *vm) Propose(_ context.Context, command []byte) (result []byte, err error) {
	time.Sleep(3 * time.Millisecond)
	cluster := vm.cluster
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.index++
	for _, other := range cluster.vms {
		if applied := other.machine.Apply(cluster.index, command); other == vm {
			result = applied
		}
	}
	return result, nil
}

// Throttle, SaveCheckpoint, Evict and Quarantine implement Engine. They record the request and call the engine.
func (vm *vm) Throttle(lease scheduler.LeaseNumber, throttled bool) {
	vm.cluster.mutex.Lock()
	if throttled {
		vm.throttles++
	} else {
		vm.releases++
	}
	vm.cluster.mutex.Unlock()
	vm.engine.Throttle(lease, throttled)
}

func (vm *vm) SaveCheckpoint(lease scheduler.LeaseNumber) {
	vm.cluster.mutex.Lock()
	vm.checkpoints++
	vm.cluster.mutex.Unlock()
	vm.engine.SaveCheckpoint(lease)
}

func (vm *vm) Evict(ctx context.Context, task scheduler.TaskID, reason string) error {
	vm.cluster.mutex.Lock()
	vm.reasons = append(vm.reasons, reason)
	vm.cluster.mutex.Unlock()
	return vm.engine.Evict(ctx, task, reason)
}

func (vm *vm) Quarantine(worker scheduler.WorkerName, quarantined bool) {
	vm.engine.Quarantine(worker, quarantined)
}

// requestedActions returns the actions that the governor of the VM has requested.
func (vm *vm) requestedActions() (throttles, releases int, reasons []string) {
	vm.cluster.mutex.Lock()
	defer vm.cluster.mutex.Unlock()
	return vm.throttles, vm.releases, slices.Clone(vm.reasons)
}

// capacity is the capacity of each emulated worker.
var capacity = scheduler.Resources{MilliCores: 8000, MemoryBytes: 8 << 30}

// interference is the interference model of the emulated workers. A task of kind noisy that uses half of a worker
// increases the latency of service desk by 400%, or by 100% if the task is throttled.
var interference = emulator.Interference{
	MilliCores: capacity.MilliCores, Load: 0.8, Baseline: map[string]time.Duration{"desk": 40 * time.Millisecond},
	Coefficients: map[string]map[string]float64{"desk": {"noisy": 8, "quiet": 0}, "filler": {}},
}

// runCluster runs test with a cluster that has the named workers in its inventory. The workers are not started.
func runCluster(t *testing.T, names string, teams []scheduler.Team, test func(t *testing.T, cluster *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := &cluster{
			term: 1, workers: map[scheduler.WorkerName]*emulator.Worker{}, ctx: ctx, checkpointPeriod: 30 * time.Second,
		}
		defer func() {
			cancel()
			time.Sleep(time.Hour) // Lets pending sync requests complete before the bubble ends.
		}()
		cluster.config.Teams = teams
		for name := range strings.FieldsSeq(names) {
			cluster.config.Workers = append(cluster.config.Workers, scheduler.Worker{
				Name: scheduler.WorkerName(name), DataCentre: "couva", Rack: name, Capacity: capacity,
			})
		}
		cluster.vms = []*vm{cluster.newVM(t), cluster.newVM(t)}
		cluster.leader = cluster.vms[0]
		for _, vm := range cluster.vms {
			cluster.run(vm)
		}
		time.Sleep(2 * time.Second)
		test(t, cluster)
	})
}

func (cluster *cluster) newVM(t *testing.T) *vm {
	vm := &vm{cluster: cluster, machine: dispatcher.NewMachine("couva")}
	var err error
	if vm.governor, err = New(vm); err != nil {
		t.Fatal(err)
	}
	vm.engine = dispatcher.NewEngine("vm", vm, vm.machine, vm.governor,
		dispatcher.WithUsageHandler(vm.governor.HandleUsage), dispatcher.WithEndedHandler(vm.governor.HandleEnded))
	return vm
}

func (cluster *cluster) run(vm *vm) {
	configurationSource := func() (scheduler.Revision, *scheduler.Configuration, bool) { return 1, &cluster.config, true }
	go vm.engine.Run(cluster.ctx)
	go vm.governor.Run(cluster.ctx, vm)
	go vm.engine.FollowInventory(cluster.ctx, configurationSource, nil)
	go vm.governor.FollowTeams(cluster.ctx, configurationSource, nil)
}

// startWorkers starts the named workers, which must be in the inventory.
func (cluster *cluster) startWorkers(names string) {
	for name := range strings.FieldsSeq(names) {
		worker := emulator.NewWorker(scheduler.WorkerName(name), cluster.exchange,
			emulator.WithInterference(interference), emulator.WithCheckpointPeriod(cluster.checkpointPeriod))
		cluster.workers[scheduler.WorkerName(name)] = worker
		go worker.Run(cluster.ctx)
	}
	time.Sleep(2 * time.Second)
}

func (cluster *cluster) exchange(ctx context.Context, request *scheduler.SyncRequest) (*scheduler.SyncResponse, error) {
	return cluster.currentLeader().engine.Sync(ctx, request)
}

func (cluster *cluster) currentLeader() *vm {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.leader
}

// changeLeader makes the other VM the leader in a new term.
func (cluster *cluster) changeLeader() {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.term++
	for _, vm := range cluster.vms {
		if vm != cluster.leader {
			cluster.leader = vm
			return
		}
	}
}

// submit submits a job with count tasks that each request milliCores and run for an hour. Tasks of the kinds "desk"
// and "filler" are services that run indefinitely; "filler" gets no requests. Tasks of the kind "short" run for 5 s.
func (cluster *cluster) submit(
	t *testing.T, job scheduler.JobID, team scheduler.TeamName, kind string, count int, milliCores int64,
) {
	t.Helper()
	spec := scheduler.TaskSpec{
		Class: scheduler.ClassBatch, Kind: kind, RunTime: time.Hour, Request: scheduler.Resources{MilliCores: milliCores},
	}
	switch kind {
	case "desk", "filler":
		spec.Class, spec.RunTime = scheduler.ClassLatencyCritical, 0
	case "short":
		spec.RunTime = 5 * time.Second
	}
	submission := dispatcher.Submission{
		Job: job, Team: team, Urgent: strings.HasPrefix(string(job), "urgent"),
		Tasks: []dispatcher.TaskGroup{{Count: count, Spec: spec}},
	}
	result, err := cluster.currentLeader().engine.Submit(t.Context(), submission)
	if err != nil || !result.Accepted {
		t.Fatalf("got %+v, %v, want an accepted job", result, err)
	}
}

// tasks returns the reports of the tasks of a job.
func (cluster *cluster) tasks(job scheduler.JobID) []dispatcher.TaskReport {
	report, _ := cluster.currentLeader().machine.Job(job)
	return report.Tasks
}

// history returns all recorded reasons of the tasks of a job, one per line.
func (cluster *cluster) history(job scheduler.JobID) string {
	var reasons strings.Builder
	for _, task := range cluster.tasks(job) {
		for _, event := range task.Events {
			reasons.WriteString(event.Reason + "\n")
		}
		reasons.WriteString(task.Reason + "\n")
	}
	return reasons.String()
}

// running returns the number of running tasks of a job.
func (cluster *cluster) running(job scheduler.JobID) (count int) {
	for _, task := range cluster.tasks(job) {
		if task.State == dispatcher.TaskRunning {
			count++
		}
	}
	return count
}
