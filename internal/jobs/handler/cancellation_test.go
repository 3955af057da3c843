package handler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/overseer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// keeperGroup is a Group with one VM, which applies every proposal at once.
type keeperGroup struct {
	scheduler.Group
	keeper *jobkeeper.Keeper
}

func (keeperGroup keeperGroup) Propose(_ context.Context, command []byte) ([]byte, error) {
	return keeperGroup.keeper.Apply(1, command), nil
}

// newKeeperHandler returns a Handler for a configuration with one queue.
func newKeeperHandler(t *testing.T, queue scheduler.Queue) *Handler {
	keeper := jobkeeper.New()
	group := keeperGroup{keeper: keeper}
	handler := New(group, keeper, overseer.New(group, keeper, nil), nil, zerolog.Nop())
	replaceQueue(t, handler, 1, queue)
	return handler
}

// replaceQueue applies a configuration whose only queue is the given one.
func replaceQueue(t *testing.T, handler *Handler, version uint64, queue scheduler.Queue) {
	t.Helper()
	response := handler.configure(t.Context(), &scheduler.QueueConfiguration{
		Version: version, Pools: []scheduler.Pool{{Name: "pool"}}, Queues: []scheduler.Queue{queue},
	})
	if response.Status != StatusDone {
		t.Fatalf("got %+v for the configuration, want status %s", response, StatusDone)
	}
}

var (
	testQueue    = scheduler.Queue{Name: "queue", PathPrefix: "/q/", Pool: "pool", Timeout: time.Second}
	testRoute    = QueueRoute{Path: "/q/"}
	testWorkflow = scheduler.Workflow{Steps: []scheduler.Step{{Count: 2}}}
)

// Guards against a job that runs although its cancelling was acknowledged, because the cancelling overtook the submission.
func TestCancellationOvertakesSubmission(t *testing.T) {
	handler := newKeeperHandler(t, testQueue)
	cancellation := &JobRequest{Route: testRoute, Job: "job"}
	if got := handler.cancel(t.Context(), cancellation); got.Status != StatusNoJob {
		t.Fatalf("got %+v for the cancelling, want status %s", got, StatusNoJob)
	}
	submission := &SubmitRequest{Route: testRoute, Job: "job", Workflow: testWorkflow}
	for range 2 {
		if got := handler.submit(t.Context(), submission, 0); got.Status != StatusDone {
			t.Errorf("got %+v for the submission, want status %s", got, StatusDone)
		}
	}
	if got, _ := handler.job(&testQueue, "job"); got.JobState != scheduler.WorkflowCancelled {
		t.Errorf("got job state %s, want %s", got.JobState, scheduler.WorkflowCancelled)
	}
	handler.keeper.View(func(state *jobkeeper.State) {
		if got := state.ReadyCount(); got != 0 {
			t.Errorf("got %d ready tasks, want 0", got)
		}
	})
}

// Guards against a cancelling that takes a job which is stored meanwhile for one of another queue, and leaves it running.
func TestCancellationDuringSubmission(t *testing.T) {
	const jobs = 10_000
	handler := newKeeperHandler(t, testQueue)
	for number := range jobs {
		id := scheduler.JobID(fmt.Sprint("job", number))
		var group sync.WaitGroup
		group.Go(func() {
			handler.submit(t.Context(), &SubmitRequest{Route: testRoute, Job: id, Workflow: testWorkflow}, 0)
		})
		handler.cancel(t.Context(), &JobRequest{Route: testRoute, Job: id})
		group.Wait()
		if got, _ := handler.job(&testQueue, id); got.JobState != scheduler.WorkflowCancelled {
			t.Fatalf("got state %s of %s, want %s", got.JobState, id, scheduler.WorkflowCancelled)
		}
	}
}

// Guards against a caller of one queue that cancels a job of another one.
func TestCancellationInOtherQueue(t *testing.T) {
	handler := newKeeperHandler(t, testQueue)
	submission := &SubmitRequest{Route: testRoute, Job: "job", Workflow: testWorkflow}
	if got := handler.submit(t.Context(), submission, 0); got.Status != StatusDone {
		t.Fatalf("got %+v for the submission, want status %s", got, StatusDone)
	}
	other := scheduler.Queue{Name: "other", PathPrefix: "/other/", Pool: "pool", Timeout: time.Second}
	replaceQueue(t, handler, 2, other)
	cancellation := &JobRequest{Route: QueueRoute{Path: "/other/"}, Job: "job"}
	if got := handler.cancel(t.Context(), cancellation); got.Status != StatusNoJob {
		t.Errorf("got %+v, want status %s", got, StatusNoJob)
	}
	if got, _ := handler.job(&testQueue, "job"); got.JobState != scheduler.WorkflowQueued {
		t.Errorf("got job state %s, want %s", got.JobState, scheduler.WorkflowQueued)
	}
}

// Guards against a job that can be neither cancelled nor read after a configuration has renamed its queue.
func TestJobOfRenamedQueue(t *testing.T) {
	handler := newKeeperHandler(t, testQueue)
	submission := &SubmitRequest{Route: testRoute, Job: "job", Workflow: testWorkflow}
	if got := handler.submit(t.Context(), submission, 0); got.Status != StatusDone {
		t.Fatalf("got %+v for the submission, want status %s", got, StatusDone)
	}
	renamed := testQueue
	renamed.Name = "renamed"
	replaceQueue(t, handler, 2, renamed)
	if got := handler.cancel(t.Context(), &JobRequest{Route: testRoute, Job: "job"}); got.Status != StatusDone {
		t.Errorf("got %+v, want status %s", got, StatusDone)
	}
	if got, _ := handler.job(&renamed, "job"); got.JobState != scheduler.WorkflowCancelled {
		t.Errorf("got job state %s, want %s", got.JobState, scheduler.WorkflowCancelled)
	}
}
