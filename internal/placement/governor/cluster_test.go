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

// system is a data centre of two VMs with one log, their engines and governors, and emulated workers.
type system struct {
	mutex   sync.Mutex
	index   scheduler.Index
	term    scheduler.Term
	leader  *vm
	vms     []*vm
	workers map[scheduler.WorkerName]*emulator.Worker
	config  scheduler.Configuration
	ctx     context.Context
	// saveEach is the period of the tasks' checkpoints, 0 for none.
	saveEach time.Duration
}

// vm is one VM and its view of the group.
type vm struct {
	scheduler.Group
	system   *system
	machine  *dispatcher.Machine
	engine   *dispatcher.Engine
	governor *Governor
	// throttles and releases count what the governor asked for; reasons are those of its evictions.
	throttles, releases, saves int
	reasons                    []string
}

func (vm *vm) Name() scheduler.GroupName { return "couva" }

func (vm *vm) ReadBarrier(context.Context) error { return nil }

func (vm *vm) Status() scheduler.GroupStatus {
	vm.system.mutex.Lock()
	defer vm.system.mutex.Unlock()
	return scheduler.NewGroupStatus(scheduler.GroupLeader, vm.system.term, "", 0, 0, nil)
}

func (vm *vm) HoldsLeaderLease() bool {
	vm.system.mutex.Lock()
	defer vm.system.mutex.Unlock()
	return vm.system.leader == vm
}

func (vm *vm) Propose(_ context.Context, command []byte) (result []byte, err error) {
	time.Sleep(3 * time.Millisecond)
	system := vm.system
	system.mutex.Lock()
	defer system.mutex.Unlock()
	system.index++
	for _, other := range system.vms {
		if applied := other.machine.Apply(system.index, command); other == vm {
			result = applied
		}
	}
	return result, nil
}

// Throttle, SaveCheckpoint, Evict and Quarantine count and pass on.
func (vm *vm) Throttle(lease scheduler.LeaseNumber, throttled bool) {
	vm.system.mutex.Lock()
	if throttled {
		vm.throttles++
	} else {
		vm.releases++
	}
	vm.system.mutex.Unlock()
	vm.engine.Throttle(lease, throttled)
}

func (vm *vm) SaveCheckpoint(lease scheduler.LeaseNumber) {
	vm.system.mutex.Lock()
	vm.saves++
	vm.system.mutex.Unlock()
	vm.engine.SaveCheckpoint(lease)
}

func (vm *vm) Evict(ctx context.Context, task scheduler.TaskID, reason string) error {
	vm.system.mutex.Lock()
	vm.reasons = append(vm.reasons, reason)
	vm.system.mutex.Unlock()
	return vm.engine.Evict(ctx, task, reason)
}

func (vm *vm) Quarantine(worker scheduler.WorkerName, quarantined bool) {
	vm.engine.Quarantine(worker, quarantined)
}

// acted returns what the governor of the VM asked for.
func (vm *vm) acted() (throttles, releases int, reasons []string) {
	vm.system.mutex.Lock()
	defer vm.system.mutex.Unlock()
	return vm.throttles, vm.releases, slices.Clone(vm.reasons)
}

// capacity is that of every emulated worker.
var capacity = scheduler.Resources{MilliCores: 8000, MemoryBytes: 8 << 30}

// table is the interference of the tests. A noisy task on half of a worker makes the desk 400% slower,
// throttled 100% slower.
var table = emulator.Interference{
	MilliCores: capacity.MilliCores, Load: 0.8, Baseline: map[string]time.Duration{"desk": 40 * time.Millisecond},
	Coefficients: map[string]map[string]float64{"desk": {"noisy": 8, "quiet": 0}, "filler": {}},
}

// try runs test on a system with the named workers in its inventory; none of them syncs yet.
func try(t *testing.T, names string, teams []scheduler.Team, test func(t *testing.T, system *system)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		system := &system{term: 1, workers: map[scheduler.WorkerName]*emulator.Worker{}, ctx: ctx, saveEach: 30 * time.Second}
		defer func() {
			cancel()
			time.Sleep(time.Hour) // Exchanges under way end before the bubble does.
		}()
		system.config.Teams = teams
		for name := range strings.FieldsSeq(names) {
			system.config.Workers = append(system.config.Workers, scheduler.Worker{
				Name: scheduler.WorkerName(name), DataCentre: "couva", Rack: name, Capacity: capacity,
			})
		}
		system.vms = []*vm{system.newVM(t), system.newVM(t)}
		system.leader = system.vms[0]
		for _, vm := range system.vms {
			system.run(vm)
		}
		time.Sleep(2 * time.Second)
		test(t, system)
	})
}

func (system *system) newVM(t *testing.T) *vm {
	vm := &vm{system: system, machine: dispatcher.NewMachine("couva")}
	var err error
	if vm.governor, err = New(vm); err != nil {
		t.Fatal(err)
	}
	vm.engine = dispatcher.NewEngine("vm", vm, vm.machine, vm.governor,
		dispatcher.WithUsageHandler(vm.governor.Usage), dispatcher.WithEndedHandler(vm.governor.Ended))
	return vm
}

func (system *system) run(vm *vm) {
	inForce := func() (scheduler.Revision, *scheduler.Configuration, bool) { return 1, &system.config, true }
	go vm.engine.Run(system.ctx)
	go vm.governor.Run(system.ctx, vm)
	go vm.engine.FollowInventory(system.ctx, inForce, nil)
	go vm.governor.FollowTeams(system.ctx, inForce, nil)
}

// start starts workers of the inventory.
func (system *system) start(names string) {
	for name := range strings.FieldsSeq(names) {
		worker := emulator.NewWorker(scheduler.WorkerName(name), system.exchange,
			emulator.WithInterference(table), emulator.WithCheckpointPeriod(system.saveEach))
		system.workers[scheduler.WorkerName(name)] = worker
		go worker.Run(system.ctx)
	}
	time.Sleep(2 * time.Second)
}

func (system *system) exchange(ctx context.Context, request *scheduler.SyncRequest) (*scheduler.SyncResponse, error) {
	return system.leading().engine.Sync(ctx, request)
}

func (system *system) leading() *vm {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	return system.leader
}

// elect makes the other VM the leader.
func (system *system) elect() {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	system.term++
	for _, vm := range system.vms {
		if vm != system.leader {
			system.leader = vm
			return
		}
	}
}

// submit submits a job of tasks that take a number of milli-cores and end after an hour. The
// kinds "desk" and "filler" are services that never end, the second without requests; "short" ends
// after 5 s.
func (system *system) submit(t *testing.T, job scheduler.JobID, team scheduler.TeamName, kind string, count int, milliCores int64) {
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
		Job: job, Team: team, Urgent: strings.HasPrefix(string(job), "urgent"), Tasks: []dispatcher.TaskGroup{{Count: count, Spec: spec}},
	}
	result, err := system.leading().engine.Submit(t.Context(), submission)
	if err != nil || !result.Accepted {
		t.Fatalf("got %+v, %v, want an accepted job", result, err)
	}
}

// tasks reports on the tasks of a job.
func (system *system) tasks(job scheduler.JobID) []dispatcher.TaskReport {
	report, _ := system.leading().machine.Job(job)
	return report.Tasks
}

// history joins all reasons of the tasks of a job.
func (system *system) history(job scheduler.JobID) string {
	var reasons strings.Builder
	for _, task := range system.tasks(job) {
		for _, event := range task.Events {
			reasons.WriteString(event.Reason + "\n")
		}
		reasons.WriteString(task.Reason + "\n")
	}
	return reasons.String()
}

// running counts the running tasks of a job.
func (system *system) running(job scheduler.JobID) (count int) {
	for _, task := range system.tasks(job) {
		if task.State == dispatcher.TaskRunning {
			count++
		}
	}
	return count
}
