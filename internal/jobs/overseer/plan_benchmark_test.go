package overseer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// BenchmarkChoosePlacements measures one planning cycle with 40 waiting steps of ten tasks, for a queue without approvals
// and for one whose approvals have not arrived yet.
func BenchmarkChoosePlacements(b *testing.B) {
	for _, workers := range []int{350, 1000, 3000} {
		for name, approval := range map[string]*scheduler.Approval{"none": nil, "required": {Validity: time.Minute}} {
			b.Run(fmt.Sprintf("%d workers, approval %s", workers, name), func(b *testing.B) {
				leadership := waitingLeadership(b, workers, 40, approval)
				for b.Loop() {
					leadership.choosePlacements()
					leadership.takeApprovalRequests()
				}
			})
		}
	}
}

// takeApprovalRequests removes the queued requests, so that the next planning cycle makes them again.
func (leadership *leadership) takeApprovalRequests() []approvalRequest {
	var requests []approvalRequest
	for len(leadership.approvalRequests) > 0 {
		request := <-leadership.approvalRequests
		leadership.approvals[request.key].pending = false
		requests = append(requests, request)
	}
	return requests
}

// waitingLeadership returns a leadership of workers that each run four serving tasks, with waiting steps of ten tasks.
func waitingLeadership(tb testing.TB, workers, steps int, approval *scheduler.Approval) *leadership {
	const servingTasks = 4
	keeper := jobkeeper.New()
	index := scheduler.Index(0)
	apply := func(command jobkeeper.Command) {
		data, err := command.Encode()
		if err != nil {
			tb.Fatal(err)
		}
		index++
		keeper.Apply(index, data)
	}
	submit := func(job scheduler.JobID, queue scheduler.QueueName, step scheduler.Step) {
		apply(jobkeeper.Command{Submit: &jobkeeper.Submit{
			Job: job, Queue: queue, Workflow: scheduler.Workflow{Steps: []scheduler.Step{step}},
		}})
	}
	apply(jobkeeper.Command{Configure: &scheduler.QueueConfiguration{
		Version: 1, Pools: []scheduler.Pool{{Name: "pool"}},
		Queues: []scheduler.Queue{
			{Name: "serving", PathPrefix: "/serving/", Pool: "pool", Timeout: time.Second},
			{Name: "queue", PathPrefix: "/", Pool: "pool", Timeout: time.Second, Approval: approval},
		},
	}})
	var placements []jobkeeper.Placement
	for worker := range workers {
		job := scheduler.JobID(fmt.Sprint("serving", worker))
		submit(job, "serving", scheduler.Step{
			Count: servingTasks, Request: oneCore, LongRunning: true, LatencyTarget: 10 * time.Millisecond, Image: "image",
		})
		for index := range servingTasks {
			placements = append(placements, jobkeeper.Placement{
				Task: scheduler.StepTaskID{Job: job, Index: index}, Worker: benchmarkWorker(worker), Instance: 1,
			})
		}
	}
	apply(jobkeeper.Command{Place: placements})
	for step := range steps {
		submit(scheduler.JobID(fmt.Sprint("waiting", step)), "queue", scheduler.Step{
			Count: 10, Request: oneCore, Estimate: time.Second, Image: "image",
		})
	}
	overseer := New(&fakeGroup{domain: &fakeDomain{keeper: keeper}}, keeper, nil)
	leadership := newLeadership(context.Background(), overseer, 1)
	tb.Cleanup(leadership.goroutines.Close)
	for worker := range workers {
		markRunning(leadership, leadership.instances[benchmarkWorker(worker)])
	}
	return leadership
}
