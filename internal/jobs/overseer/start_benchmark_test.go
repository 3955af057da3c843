package overseer

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// BenchmarkStarts measures the path from tasks that are due at once to their answered start orders, without a network: the
// decisions, the replicated placements and the orders. It reports starts per second, the time until the first order is sent,
// and the processor time of the process for each start, which includes that of the fakes.
func BenchmarkStarts(b *testing.B) {
	for _, workers := range []int{48, 540, 860} {
		for _, tasks := range []int{500, 5_000, 26_000} {
			b.Run(fmt.Sprintf("%d workers, %d tasks", workers, tasks), func(b *testing.B) { benchmarkStarts(b, workers, tasks, 0) })
		}
		b.Run(fmt.Sprintf("%d workers, 5000 tasks, 100 gangs", workers), func(b *testing.B) { benchmarkStarts(b, workers, 5_000, 100) })
	}
}

func benchmarkStarts(b *testing.B, workers, tasks, gangs int) {
	var took, first, processor time.Duration
	for b.Loop() {
		b.StopTimer()
		client := newAcceptingClient(tasks)
		ctx, cancel := context.WithCancel(b.Context())
		leadership := leadershipWithDueTasks(ctx, b, client, workers, tasks, gangs)
		cpu, began := processorTime(b), time.Now()
		b.StartTimer()
		client.waitForAll(func() { leadership.planOnce() })
		took, processor = took+time.Since(began), processor+processorTime(b)-cpu
		first += client.first.Sub(began)
		b.StopTimer()
		cancel()
		leadership.goroutines.Close()
		b.StartTimer()
	}
	iterations := float64(b.N)
	b.ReportMetric(iterations*float64(tasks)/took.Seconds(), "starts/s")
	b.ReportMetric(float64(first.Microseconds())/1000/iterations, "ms/first")
	b.ReportMetric(float64(processor.Microseconds())/iterations/float64(tasks), "cpu-us/start")
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// leadershipWithDueTasks returns a leadership of idle workers with room for twice the tasks, which wait in jobs of a hundred and
// in gangs of ten.
func leadershipWithDueTasks(
	ctx context.Context, b *testing.B, client *acceptingClient, workers, tasks, gangs int,
) *leadership {
	b.Helper()
	const jobTasks, gangTasks, request = 100, 10, 100
	keeper := jobkeeper.New()
	group := &instantGroup{keeper: keeper}
	overseer := New(group, keeper, client)
	apply := func(command jobkeeper.Command) {
		if _, err := overseer.Propose(ctx, command); err != nil {
			b.Fatal(err)
		}
	}
	apply(jobkeeper.Command{Configure: &scheduler.QueueConfiguration{
		Version: 1, Pools: []scheduler.Pool{{Name: "pool"}},
		Queues: []scheduler.Queue{{Name: "queue", PathPrefix: "/", Pool: "pool", Timeout: time.Second}},
	}})
	for submitted, job := 0, 0; submitted < tasks; job++ {
		step := scheduler.Step{Count: min(jobTasks, tasks-submitted), Request: scheduler.Resources{MilliCores: request}, Estimate: time.Second}
		if job < gangs {
			step.Gang, step.Count = true, gangTasks
		}
		submitted += step.Count
		apply(jobkeeper.Command{Submit: &jobkeeper.Submit{
			Job: scheduler.JobID(fmt.Sprint("job", job)), Queue: "queue", Workflow: scheduler.Workflow{Steps: []scheduler.Step{step}},
		}})
	}
	leadership := newLeadership(ctx, overseer, 1)
	leadership.goroutines.Go(leadership.recordBeginnings)
	for number := range workers {
		instance := newWorker(benchmarkWorker(number), 1)
		leadership.instances[instance.name] = instance
		markRunning(leadership, instance)
		instance.heartbeat.Capacity.MilliCores = int64(2*request*(tasks/workers) + jobTasks*request)
	}
	return leadership
}

// instantGroup applies a proposal at once.
type instantGroup struct {
	fakeGroup
	mutex  sync.Mutex
	keeper *jobkeeper.Keeper
	index  scheduler.Index
}

func (group *instantGroup) Propose(_ context.Context, command []byte) ([]byte, error) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if len(command) > maxFakeCommandBytes {
		return nil, scheduler.ErrNotRun.New("command of %d bytes exceeds the limit", len(command))
	}
	group.index++
	return group.keeper.Apply(group.index, command), nil
}

func (group *instantGroup) HoldsLeaderLease() bool { return true }

// acceptingClient accepts each start order at once, and lists the attempts in the reports.
type acceptingClient struct {
	scheduler.WorkerClient
	mutex   sync.Mutex
	running map[scheduler.WorkerName][]scheduler.RunningAttempt
	// expected is the number of starts after which all is closed.
	expected, started int
	first             time.Time
	all               chan struct{}
}

func newAcceptingClient(expected int) *acceptingClient {
	return &acceptingClient{
		expected: expected, running: map[scheduler.WorkerName][]scheduler.RunningAttempt{}, all: make(chan struct{}),
	}
}

func (client *acceptingClient) Start(
	_ context.Context, worker scheduler.WorkerRef, order scheduler.StartOrder,
) (scheduler.OrderResponse, error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.started == 0 {
		client.first = time.Now()
	}
	client.running[worker.Worker] = append(client.running[worker.Worker], scheduler.RunningAttempt{Run: order.Run})
	if client.started++; client.started == client.expected {
		close(client.all)
	}
	return scheduler.OrderResponse{Result: scheduler.OrderAccepted, Clock: time.Second}, nil
}

func (client *acceptingClient) Throttle(
	context.Context, scheduler.WorkerRef, scheduler.RunID, int, scheduler.Term,
) (scheduler.OrderResponse, error) {
	return scheduler.OrderResponse{Result: scheduler.OrderAccepted, Clock: time.Second}, nil
}

func (client *acceptingClient) Renew(
	ctx context.Context, worker scheduler.WorkerRef, order scheduler.RenewOrder,
) (scheduler.WorkerReport, error) {
	select {
	case <-ctx.Done():
		return scheduler.WorkerReport{}, ctx.Err()
	case <-time.After(order.Wait):
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return scheduler.WorkerReport{
		Result: scheduler.OrderAccepted, Instance: worker.Instance, Clock: time.Second, Running: client.running[worker.Worker],
	}, nil
}

// waitForAll calls plan until all expected starts have been accepted.
func (client *acceptingClient) waitForAll(plan func()) {
	for {
		plan()
		select {
		case <-client.all:
			return
		case <-time.After(planBatchDelay):
		}
	}
}
