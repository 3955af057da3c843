package overseer

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/basics/stopwatch"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/relayer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var (
	seeds     = flag.Int("seeds", 20, "random failure schedules to run")
	firstSeed = flag.Int("first-seed", 0, "seed of the first schedule")
	logs      = flag.Bool("schedule-logs", false, "print the decisions of the schedules")
)

// fakeGroup is one VM's part in a group whose state machine all VMs share, so that a command that was
// committed is applied everywhere at once.
type fakeGroup struct {
	domain *fakeDomain
	number int
}

// fakeDomain is the group as a whole. Only one VM leads at a time.
type fakeDomain struct {
	mutex  sync.Mutex
	random *rand.Rand
	keeper *jobkeeper.Keeper
	leader atomic.Int32
	term   atomic.Uint64
	index  scheduler.Index
	// stalled is until when the processes of the VMs stand still, see HoldsLeaderLease.
	stalled [scheduleVMs]time.Time
}

const noLeader = -1

func (group *fakeGroup) Name() scheduler.GroupName { return "domain" }

func (group *fakeGroup) Propose(ctx context.Context, command []byte) ([]byte, error) {
	domain := group.domain
	domain.mutex.Lock()
	delay := time.Duration(domain.random.Int64N(int64(30 * time.Millisecond)))
	domain.mutex.Unlock()
	term := domain.term.Load()
	select {
	case <-ctx.Done():
		return nil, scheduler.ErrNotRun.Wrap(ctx.Err())
	case <-time.After(delay):
	}
	domain.mutex.Lock()
	defer domain.mutex.Unlock()
	if int(domain.leader.Load()) != group.number || domain.term.Load() != term {
		return nil, scheduler.ErrOutcomeUnknown.New("the leader has changed")
	}
	domain.index++
	result := domain.keeper.Apply(domain.index, command)
	if domain.random.IntN(50) == 0 {
		return nil, scheduler.ErrOutcomeUnknown.New("the answer was lost")
	}
	return result, nil
}

func (group *fakeGroup) ReadBarrier(context.Context) error { return nil }

func (group *fakeGroup) Status() scheduler.GroupStatus {
	role := scheduler.GroupFollower
	if group.HoldsLeaderLease() {
		role = scheduler.GroupLeader
	}
	return scheduler.NewGroupStatus(role, scheduler.Term(group.domain.term.Load()), "", 0, 0, nil)
}

// HoldsLeaderLease tells what held when it was called. In a process that stands still, the caller learns it late and
// may act on a lease that another VM has taken over meanwhile.
func (group *fakeGroup) HoldsLeaderLease() bool {
	held := int(group.domain.leader.Load()) == group.number
	group.domain.mutex.Lock()
	stalled := time.Until(group.domain.stalled[group.number])
	group.domain.mutex.Unlock()
	if held && stalled > 0 {
		time.Sleep(stalled)
	}
	return held
}

// stall lets the process of the leader stand still, and another VM take over after a moment.
func (domain *fakeDomain) stall(duration time.Duration, next int) {
	leader := int(domain.leader.Load())
	if leader == noLeader {
		return
	}
	domain.mutex.Lock()
	domain.stalled[leader] = time.Now().Add(duration)
	domain.mutex.Unlock()
	time.Sleep(time.Second)
	domain.elect(next)
}

// elect makes a VM the leader of a new term.
func (domain *fakeDomain) elect(number int) {
	domain.mutex.Lock()
	defer domain.mutex.Unlock()
	domain.leader.Store(noLeader)
	domain.term.Add(1)
	domain.leader.Store(int32(number))
}

// schedule is one run of a domain under random failures.
type schedule struct {
	t         *testing.T
	random    *rand.Rand
	fleet     *fakeFleet
	domain    *fakeDomain
	network   *fakeNetwork
	relayers  []*relayer.Relayer
	overseers []*Overseer
	names     []scheduler.WorkerName
	lives     map[scheduler.WorkerName]scheduler.Incarnation
	jobs      int
	approval  *scheduler.Approval
	attempts  int
}

// processStart is longer than an order is under way.
const processStart = 100 * time.Millisecond

const (
	scheduleVMs     = 3
	scheduleWorkers = 6
)

func newSchedule(t *testing.T, seed uint64) *schedule {
	domain := &fakeDomain{random: rand.New(rand.NewPCG(seed, 1)), keeper: jobkeeper.New()}
	domain.leader.Store(noLeader)
	schedule := &schedule{
		t: t, random: rand.New(rand.NewPCG(seed, 2)), fleet: newFleet(seed), network: newFakeNetwork(seed), domain: domain, lives: map[scheduler.WorkerName]scheduler.Incarnation{},
	}
	for number := range scheduleVMs {
		client := schedule.addRelayer(number)
		schedule.overseers = append(schedule.overseers, New(&fakeGroup{domain: domain, number: number}, domain.keeper, client,
			WithLease(fakeLease, 0.02), WithStopTime(200*time.Millisecond), WithLogger(scheduleLogger(number))))
	}
	for number := range scheduleWorkers {
		schedule.names = append(schedule.names, scheduler.WorkerName(fmt.Sprintf("w%d", number)))
	}
	return schedule
}

func vmName(number int) scheduler.VMName { return scheduler.VMName(fmt.Sprintf("vm%d", number)) }

// addRelayer returns the client of a VM, which sends orders through the other VMs.
func (schedule *schedule) addRelayer(number int) scheduler.WorkerClient {
	transport := fakeTransport{network: schedule.network, self: vmName(number)}
	relayer.Serve(transport, "domain", schedule.fleet, stopwatch.Start())
	members := func() []scheduler.VMName { return []scheduler.VMName{vmName(0), vmName(1), vmName(2)} }
	client := relayer.New(schedule.fleet, transport, &fakeGroup{domain: schedule.domain, number: number}, members, relayer.WithDirectWorkers(0))
	schedule.relayers = append(schedule.relayers, client)
	return client
}

// scheduleLogger returns the logger of a VM, which writes only if the tests are asked for it.
func scheduleLogger(number int) zerolog.Logger {
	if !*logs {
		return zerolog.Nop()
	}
	return zerolog.New(zerolog.ConsoleWriter{Out: os.Stdout, NoColor: true, TimeFormat: "05.000"}).With().Timestamp().Int("vm", number).Logger()
}

// apply commits a command directly, as a caller's request does.
func (schedule *schedule) apply(command jobkeeper.Command) {
	schedule.t.Helper()
	data, err := command.Encode()
	if err != nil {
		schedule.t.Fatal(err)
	}
	schedule.domain.mutex.Lock()
	defer schedule.domain.mutex.Unlock()
	schedule.domain.index++
	schedule.domain.keeper.Apply(schedule.domain.index, data)
}

func (schedule *schedule) configure() {
	schedule.apply(jobkeeper.Command{Configure: &scheduler.QueueConfiguration{
		Version: 1, Pools: []scheduler.Pool{{Name: "pool"}},
		Queues: []scheduler.Queue{{Name: "queue", PathPrefix: "/q/", Pool: "pool", Timeout: time.Second, Approval: schedule.approval, MaxAttempts: schedule.attempts}},
	}})
}

func (schedule *schedule) submit() {
	workflow := &scheduler.Workflow{Steps: []scheduler.Step{
		{Count: 1 + schedule.random.IntN(4), Request: oneCore, Checkpointing: true},
		{Count: 1 + schedule.random.IntN(3), Request: oneCore, DependsOn: []int{0}},
	}}
	if schedule.random.IntN(6) == 0 {
		workflow = &scheduler.Workflow{Steps: []scheduler.Step{{Count: 2, Request: oneCore, LongRunning: true}}}
	}
	if schedule.random.IntN(6) == 0 && !workflow.Steps[0].LongRunning {
		workflow.Repeat = schedule.repeat()
	}
	schedule.submitWorkflow(workflow)
}

// repeat returns due times that are no whole seconds and close enough for occurrences to overlap.
func (schedule *schedule) repeat() *scheduler.Repeat {
	return &scheduler.Repeat{
		First:    time.Now().Add(time.Duration(schedule.random.Int64N(int64(3 * time.Second)))),
		Interval: time.Duration(1 + schedule.random.Int64N(int64(2*time.Second))), Times: 1 + schedule.random.IntN(4),
	}
}

func (schedule *schedule) submitWorkflow(workflow *scheduler.Workflow) {
	id := scheduler.JobID(fmt.Sprintf("job%d", schedule.jobs))
	schedule.jobs++
	schedule.fleet.mutex.Lock()
	schedule.fleet.workflows[id] = workflow
	schedule.fleet.mutex.Unlock()
	schedule.apply(jobkeeper.Command{Submit: &jobkeeper.Submit{Job: id, Queue: "queue", Workflow: *workflow, Accepted: time.Now()}})
}

// rebirth ends a worker's life and begins a later one under the same name after the time that a process
// takes to start.
func (schedule *schedule) rebirth(name scheduler.WorkerName) {
	schedule.fleet.kill(name)
	time.Sleep(processStart)
	schedule.fleet.mutex.Lock()
	schedule.lives[name]++
	life := schedule.lives[name]
	schedule.fleet.mutex.Unlock()
	schedule.fleet.add(name, life)
}

// disturb brings about one random failure, which lasts for a random time.
func (schedule *schedule) disturb() {
	name := schedule.names[schedule.random.IntN(len(schedule.names))]
	switch schedule.random.IntN(10) {
	case 8, 9:
		schedule.domain.stall(time.Duration(schedule.random.Int64N(int64(9*time.Second))), schedule.random.IntN(scheduleVMs))
	case 6, 7:
		schedule.network.freeze(vmName(schedule.random.IntN(scheduleVMs)), time.Duration(schedule.random.Int64N(int64(12*time.Second))))
	case 0:
		schedule.domain.elect(schedule.random.IntN(scheduleVMs))
	case 1:
		schedule.domain.leader.Store(noLeader)
		time.Sleep(time.Duration(schedule.random.Int64N(int64(3 * time.Second))))
		schedule.domain.elect(schedule.random.IntN(scheduleVMs))
	case 2:
		schedule.rebirth(name)
	case 3, 4:
		schedule.setCut(name, true)
		go func() {
			time.Sleep(time.Duration(rand.Int64N(int64(15 * time.Second))))
			schedule.setCut(name, false)
		}()
	case 5:
		if schedule.jobs > 0 {
			id := scheduler.JobID(fmt.Sprintf("job%d", schedule.random.IntN(schedule.jobs)))
			schedule.apply(jobkeeper.Command{Cancel: &id})
		}
	}
}

func (schedule *schedule) setCut(name scheduler.WorkerName, cut bool) {
	schedule.fleet.mutex.Lock()
	defer schedule.fleet.mutex.Unlock()
	for _, worker := range schedule.fleet.workers {
		if worker.name == name {
			worker.cut = cut
		}
	}
}

// sendBeats lets every worker state itself to the leader.
func (schedule *schedule) sendBeats() {
	schedule.fleet.mutex.Lock()
	var workers []*fakeWorker
	for _, name := range schedule.names {
		if worker := schedule.fleet.workers["10.0.0.1:"+string(name)]; worker != nil {
			workers = append(workers, worker)
		}
	}
	schedule.fleet.mutex.Unlock()
	for _, worker := range workers {
		beat, ok := worker.beat()
		if !ok {
			continue
		}
		for _, overseer := range schedule.overseers {
			if overseer.HandleHeartbeat(beat) == nil {
				break
			}
		}
	}
}

// start begins all parts of the domain and returns a function that ends them.
func (schedule *schedule) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for number, overseer := range schedule.overseers {
		running.Go(func() { overseer.Run(ctx) })
		running.Go(func() { schedule.relayers[number].Run(ctx) })
	}
	running.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			schedule.fleet.tick()
		}
	})
	running.Go(func() {
		for ctx.Err() == nil {
			schedule.sendBeats()
			time.Sleep(time.Second)
		}
	})
	for _, name := range schedule.names {
		schedule.rebirth(name)
	}
	schedule.configure()
	schedule.domain.elect(0)
	return func() {
		cancel()
		running.Wait()
		schedule.network.calls.Wait()
	}
}

// run plays the schedule and then lets the domain come to rest.
func (schedule *schedule) run() {
	stop := schedule.start()
	for range 40 {
		for range schedule.random.IntN(3) {
			schedule.submit()
		}
		time.Sleep(time.Duration(schedule.random.Int64N(int64(time.Second))))
		if schedule.random.IntN(3) == 0 {
			schedule.disturb()
		}
	}
	schedule.domain.elect(0)
	schedule.rest()
	stop()
}

// rest ends all failures and waits until every job that can finish has done so.
func (schedule *schedule) rest() {
	time.Sleep(16 * time.Second)
	schedule.fleet.mutex.Lock()
	schedule.fleet.lateShare, schedule.fleet.failShare = 0, 0
	schedule.fleet.mutex.Unlock()
	for range 60 {
		time.Sleep(time.Second)
		if schedule.open() == 0 {
			return
		}
	}
}

// open counts the jobs that have not ended and could.
func (schedule *schedule) open() int {
	open := 0
	schedule.domain.keeper.View(func(state *jobkeeper.State) {
		for number := range schedule.jobs {
			job, _ := state.Job(scheduler.JobID(fmt.Sprintf("job%d", number)))
			if job.State().Ended() || job.Workflow().Steps[0].LongRunning {
				continue
			}
			open++
		}
	})
	return open
}
