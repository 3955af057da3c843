package overseer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against fill tasks that stay paused: the leader that paused them is gone, and the next one takes them for running
// at full speed.
func TestNewLeaderSetsSharesOfFillTasks(t *testing.T) {
	tests := map[string]struct {
		step scheduler.Step
		want []int
	}{
		"fill task":  {scheduler.Step{Count: 1, Request: oneCore, Fill: true}, []int{fullShare}},
		"other task": {scheduler.Step{Count: 1, Request: oneCore}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := &throttleRecorder{}
				leadership, run := leadershipWithAdoptedAttempt(t, client, test.step)
				for range 3 {
					report := scheduler.WorkerReport{
						Result: scheduler.OrderAccepted, Instance: 1, Clock: time.Second,
						Running: []scheduler.RunningAttempt{{Run: run}},
					}
					leadership.handleReport(leadership.instances["w"], scheduler.RenewOrder{}, report, leadership.now())
					time.Sleep(time.Second)
				}
				client.mutex.Lock()
				defer client.mutex.Unlock()
				if got := client.shares; len(got) != len(test.want) || len(got) > 0 && got[0] != test.want[0] {
					t.Errorf("got orders for the shares %v, want %v", got, test.want)
				}
			})
		})
	}
}

// leadershipWithAdoptedAttempt returns a leadership that has taken over an attempt on the worker w.
func leadershipWithAdoptedAttempt(
	t *testing.T, client scheduler.WorkerClient, step scheduler.Step,
) (*leadership, scheduler.RunID) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	keeper := jobkeeper.New()
	overseer := New(&instantGroup{keeper: keeper}, keeper, client)
	task := scheduler.StepTaskID{Job: "j"}
	for _, command := range []jobkeeper.Command{
		{Configure: &scheduler.QueueConfiguration{
			Version: 1, Pools: []scheduler.Pool{{Name: "pool"}},
			Queues: []scheduler.Queue{{Name: "queue", PathPrefix: "/", Pool: "pool", Timeout: time.Second}},
		}},
		{Submit: &jobkeeper.Submit{Job: task.Job, Queue: "queue", Workflow: scheduler.Workflow{Steps: []scheduler.Step{step}}}},
		{Place: []jobkeeper.Placement{{Task: task, Worker: "w", Instance: 1}}},
	} {
		if _, err := overseer.Propose(ctx, command); err != nil {
			t.Fatal(err)
		}
	}
	leadership := newLeadership(ctx, overseer, 2)
	t.Cleanup(func() {
		cancel()
		leadership.goroutines.Close()
	})
	return leadership, scheduler.RunID{Task: task, Attempt: 1}
}

// throttleRecorder accepts throttle orders and records their shares.
type throttleRecorder struct {
	scheduler.WorkerClient
	mutex  sync.Mutex
	shares []int
}

func (recorder *throttleRecorder) Throttle(
	_ context.Context, _ scheduler.WorkerRef, _ scheduler.RunID, share int, _ scheduler.Term,
) (scheduler.OrderResponse, error) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.shares = append(recorder.shares, share)
	return scheduler.OrderResponse{Result: scheduler.OrderAccepted, Clock: time.Second}, nil
}

func (recorder *throttleRecorder) Renew(
	ctx context.Context, _ scheduler.WorkerRef, _ scheduler.RenewOrder,
) (scheduler.WorkerReport, error) {
	<-ctx.Done()
	return scheduler.WorkerReport{}, ctx.Err()
}
