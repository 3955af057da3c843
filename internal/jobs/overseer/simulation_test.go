package overseer

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/basics/stopwatch"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/relayer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var (
	seeds     = flag.Int("seeds", 20, "number of random failure schedules to run")
	firstSeed = flag.Int("first-seed", 0, "seed of the first failure schedule")
	logs      = flag.Bool("schedule-logs", false, "print the overseers' logs")
)

// simulation is one run of a domain under random failures.
type simulation struct {
	t            *testing.T
	random       *rand.Rand
	fleet        *fakeFleet
	domain       *fakeDomain
	network      *fakeNetwork
	relayers     []*relayer.Relayer
	overseers    []*Overseer
	names        []scheduler.WorkerName
	incarnations map[scheduler.WorkerName]scheduler.Incarnation
	jobs         int
	approval     *scheduler.Approval
	maxAttempts  int
	// speculative is true if the tasks of first steps may have copies. One of ten attempts of such a task runs for 10 s.
	speculative bool
	gangs       bool // Each job has a step of large tasks, of which half are gangs.
}

// processStartTime is longer than the delivery time of an order.
const processStartTime = 100 * time.Millisecond

const (
	simulationVMs     = 3
	simulationWorkers = 6
)

func newSimulation(t *testing.T, seed uint64, options ...Option) *simulation {
	domain := &fakeDomain{random: rand.New(rand.NewPCG(seed, 1)), keeper: jobkeeper.New(), earlierBuild: noLeader}
	domain.leader.Store(noLeader)
	simulation := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 2)), fleet: newFleet(seed), network: newFakeNetwork(seed),
		domain: domain, incarnations: map[scheduler.WorkerName]scheduler.Incarnation{},
	}
	for number := range simulationVMs {
		options := append(options, WithLease(fakeLease, 0.02), WithStopTime(200*time.Millisecond),
			WithLogger(simulationLogger(number)))
		overseer := New(&fakeGroup{domain: domain, number: number}, domain.keeper, simulation.addRelayer(number), options...)
		simulation.overseers = append(simulation.overseers, overseer)
	}
	for number := range simulationWorkers {
		simulation.names = append(simulation.names, scheduler.WorkerName(fmt.Sprintf("w%d", number)))
	}
	return simulation
}

func vmName(number int) scheduler.VMName { return scheduler.VMName(fmt.Sprintf("vm%d", number)) }

// addRelayer returns the worker client of a VM, which relays orders through the other VMs.
func (simulation *simulation) addRelayer(number int) scheduler.WorkerClient {
	transport := fakeTransport{network: simulation.network, self: vmName(number)}
	relayer.Serve(transport, "domain", simulation.fleet, stopwatch.Start())
	members := func() []scheduler.VMName { return []scheduler.VMName{vmName(0), vmName(1), vmName(2)} }
	client := relayer.New(simulation.fleet, transport, &fakeGroup{domain: simulation.domain, number: number}, members,
		relayer.WithDirectWorkers(0))
	simulation.relayers = append(simulation.relayers, client)
	return client
}

// simulationLogger returns the logger of a VM. It logs only if -schedule-logs is set.
func simulationLogger(number int) zerolog.Logger {
	if !*logs {
		return zerolog.Nop()
	}
	return zerolog.New(zerolog.ConsoleWriter{Out: os.Stdout, NoColor: true, TimeFormat: "05.000"}).With().Timestamp().
		Int("vm", number).Logger()
}

// apply commits a command directly, as a caller's request does.
func (simulation *simulation) apply(command jobkeeper.Command) {
	simulation.t.Helper()
	data, err := command.Encode()
	if err != nil {
		simulation.t.Fatal(err)
	}
	simulation.domain.mutex.Lock()
	defer simulation.domain.mutex.Unlock()
	simulation.domain.index++
	simulation.domain.keeper.Apply(simulation.domain.index, data)
}

func (simulation *simulation) configure() {
	simulation.apply(jobkeeper.Command{Configure: &scheduler.QueueConfiguration{
		Version: 1, Pools: []scheduler.Pool{{Name: "pool"}},
		Queues: []scheduler.Queue{{
			Name: "queue", PathPrefix: "/q/", Pool: "pool", Timeout: time.Second,
			Approval: simulation.approval, MaxAttempts: simulation.maxAttempts,
		}},
	}})
}

func (simulation *simulation) submit() {
	workflow := &scheduler.Workflow{Steps: []scheduler.Step{
		{Count: 1 + simulation.random.IntN(4), Request: oneCore, Checkpointing: true},
		{Count: 1 + simulation.random.IntN(3), Request: oneCore, DependsOn: []int{0}},
	}}
	if simulation.gangs {
		workflow.Steps[0].Count += 6
		workflow.Steps[1].Request, workflow.Steps[1].Gang = threeCores, simulation.random.IntN(2) == 0
	}
	if simulation.random.IntN(6) == 0 {
		workflow = &scheduler.Workflow{Steps: []scheduler.Step{{Count: 2, Request: oneCore, LongRunning: true}}}
	}
	if simulation.random.IntN(6) == 0 && !workflow.Steps[0].LongRunning {
		workflow.Repeat = simulation.randomRepeat()
	}
	if simulation.speculative && !workflow.Steps[0].LongRunning {
		workflow.Steps[0].Speculative, workflow.Steps[0].Estimate = true, time.Second
	}
	simulation.submitWorkflow(workflow)
}

// randomRepeat returns a repetition whose due times are not aligned to whole seconds and so close together that
// occurrences may overlap.
func (simulation *simulation) randomRepeat() *scheduler.Repeat {
	return &scheduler.Repeat{
		First:    time.Now().Add(time.Duration(simulation.random.Int64N(int64(3 * time.Second)))),
		Interval: time.Duration(1 + simulation.random.Int64N(int64(2*time.Second))), Times: 1 + simulation.random.IntN(4),
	}
}

func (simulation *simulation) submitWorkflow(workflow *scheduler.Workflow) {
	id := scheduler.JobID(fmt.Sprintf("job%d", simulation.jobs))
	simulation.jobs++
	simulation.fleet.mutex.Lock()
	workflow.Payload = "payload of " + string(id)
	simulation.fleet.workflows[id] = workflow
	simulation.fleet.deadly.choose(id, workflow)
	simulation.fleet.mutex.Unlock()
	simulation.apply(jobkeeper.Command{Submit: &jobkeeper.Submit{
		Job: id, Queue: "queue", Workflow: *workflow, Accepted: time.Now(),
	}})
}

// restart ends the current instance of a worker and starts a later one under the same name after processStartTime.
func (simulation *simulation) restart(name scheduler.WorkerName) {
	simulation.fleet.kill(name)
	time.Sleep(processStartTime)
	simulation.fleet.add(name, simulation.nextIncarnation(name))
}

// nextIncarnation returns the incarnation of the next instance at the address of a worker.
func (simulation *simulation) nextIncarnation(name scheduler.WorkerName) scheduler.Incarnation {
	simulation.fleet.mutex.Lock()
	defer simulation.fleet.mutex.Unlock()
	simulation.incarnations[name]++
	return simulation.incarnations[name]
}

// injectFailure causes one random failure of random duration.
func (simulation *simulation) injectFailure() {
	name := simulation.names[simulation.random.IntN(len(simulation.names))]
	switch simulation.random.IntN(10) {
	case 8, 9:
		simulation.domain.stall(time.Duration(simulation.random.Int64N(int64(9*time.Second))),
			simulation.random.IntN(simulationVMs))
	case 6, 7:
		simulation.network.freeze(vmName(simulation.random.IntN(simulationVMs)),
			time.Duration(simulation.random.Int64N(int64(12*time.Second))))
	case 0:
		simulation.domain.elect(simulation.random.IntN(simulationVMs))
	case 1:
		simulation.domain.leader.Store(noLeader)
		time.Sleep(time.Duration(simulation.random.Int64N(int64(3 * time.Second))))
		simulation.domain.elect(simulation.random.IntN(simulationVMs))
	case 2:
		simulation.restart(name)
	case 3, 4:
		simulation.setPartitioned(name, true)
		go func() {
			time.Sleep(time.Duration(rand.Int64N(int64(15 * time.Second))))
			simulation.setPartitioned(name, false)
		}()
	case 5:
		if simulation.jobs > 0 {
			id := scheduler.JobID(fmt.Sprintf("job%d", simulation.random.IntN(simulation.jobs)))
			simulation.cancel(id)
		}
	}
}

func (simulation *simulation) setPartitioned(name scheduler.WorkerName, partitioned bool) {
	simulation.fleet.mutex.Lock()
	defer simulation.fleet.mutex.Unlock()
	if worker := simulation.fleet.workers[addressOf(name)]; worker != nil {
		worker.partitioned = partitioned
	}
}

// sendHeartbeats sends the heartbeat of every reachable worker to the leader.
func (simulation *simulation) sendHeartbeats() {
	simulation.fleet.mutex.Lock()
	var workers []*fakeWorker
	for _, name := range simulation.names {
		if worker := simulation.fleet.workers[addressOf(name)]; worker != nil {
			workers = append(workers, worker)
		}
	}
	simulation.fleet.mutex.Unlock()
	for _, worker := range workers {
		heartbeat, ok := worker.heartbeat()
		if !ok {
			continue
		}
		for _, overseer := range simulation.overseers {
			if overseer.HandleHeartbeat(heartbeat) == nil {
				break
			}
		}
	}
}

// start starts all components of the domain and returns a function that stops them.
func (simulation *simulation) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for number, overseer := range simulation.overseers {
		running.Go(func() {
			if err := overseer.Run(ctx); err != nil {
				simulation.t.Errorf("overseer of VM %d: %v", number, err)
			}
		})
		running.Go(func() { simulation.relayers[number].Run(ctx) })
	}
	running.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			simulation.fleet.tick()
		}
	})
	running.Go(func() {
		for ctx.Err() == nil {
			simulation.sendHeartbeats()
			time.Sleep(time.Second)
		}
	})
	for _, name := range simulation.names {
		simulation.restart(name)
	}
	simulation.configure()
	simulation.domain.elect(0)
	return func() {
		cancel()
		running.Wait()
		simulation.network.calls.Wait()
	}
}

// run injects random failures and then waits until the domain has settled.
func (simulation *simulation) run() {
	stop := simulation.start()
	for range 40 {
		for range simulation.random.IntN(3) {
			simulation.submit()
		}
		time.Sleep(time.Duration(simulation.random.Int64N(int64(time.Second))))
		if simulation.random.IntN(3) == 0 {
			simulation.injectFailure()
		}
	}
	simulation.domain.elect(0)
	simulation.settle()
	stop()
}

// settle ends all failures and waits until every job that can end has ended.
func (simulation *simulation) settle() {
	time.Sleep(16 * time.Second)
	simulation.fleet.mutex.Lock()
	simulation.fleet.lateRate, simulation.fleet.failureRate = 0, 0
	simulation.fleet.mutex.Unlock()
	for range 60 {
		time.Sleep(time.Second)
		if simulation.openJobs() == 0 {
			return
		}
	}
}
