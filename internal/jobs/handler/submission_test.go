package handler

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/jobs/admitter"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/overseer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// notRunGroup is a Group whose proposals never run.
type notRunGroup struct{ scheduler.Group }

func (notRunGroup) Propose(context.Context, []byte) ([]byte, error) {
	return nil, scheduler.ErrNotRun.New("no leader")
}

// Guards against a caller that is told that its job never runs, because its copy of the request has not run, while
// another copy stores the job.
func TestCopyThatHasNotRun(t *testing.T) {
	request := &SubmitRequest{Route: QueueRoute{Path: "/q/"}, Job: "job", Workflow: scheduler.Workflow{
		Steps: []scheduler.Step{{Count: 1, Request: scheduler.Resources{MilliCores: 1000}}},
	}}
	queue := scheduler.Queue{Name: "queue", PathPrefix: "/q/", Pool: "pool", Timeout: time.Second}
	submission := admitter.Submission{Job: request.Job, Queue: &queue, Workflow: &request.Workflow}
	apply := func(keeper *jobkeeper.Keeper, command jobkeeper.Command) {
		data, err := command.Encode()
		if err != nil {
			t.Fatal(err)
		}
		keeper.Apply(1, data)
	}
	store := jobkeeper.Command{Submit: &jobkeeper.Submit{Job: request.Job, Queue: "queue", Workflow: request.Workflow}}
	tests := map[string]struct {
		// first is what happened to the first copy.
		first func(keeper *jobkeeper.Keeper, overseer *overseer.Overseer)
		want  Status
	}{
		"no other copy": {func(*jobkeeper.Keeper, *overseer.Overseer) {}, StatusUnavailable},
		"pending": {func(_ *jobkeeper.Keeper, overseer *overseer.Overseer) {
			overseer.Admit(submission)
		}, StatusOutcomeUnknown},
		"outcome unknown": {func(_ *jobkeeper.Keeper, overseer *overseer.Overseer) {
			overseer.Admit(submission)
			overseer.RecordSubmission(request.Job, false)
		}, StatusOutcomeUnknown},
		"not run": {func(_ *jobkeeper.Keeper, overseer *overseer.Overseer) {
			overseer.Admit(submission)
			overseer.RecordSubmission(request.Job, true)
		}, StatusUnavailable},
		"stored": {func(keeper *jobkeeper.Keeper, overseer *overseer.Overseer) {
			overseer.Admit(submission)
			apply(keeper, store)
			overseer.RecordSubmission(request.Job, true)
		}, StatusOutcomeUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			keeper := jobkeeper.New()
			apply(keeper, jobkeeper.Command{Configure: &scheduler.QueueConfiguration{
				Version: 1, Pools: []scheduler.Pool{{Name: "pool"}}, Queues: []scheduler.Queue{queue},
			}})
			overseer := overseer.New(notRunGroup{}, keeper, nil)
			handler := New(notRunGroup{}, keeper, overseer, nil, zerolog.Nop())
			test.first(keeper, overseer)
			if got := handler.submit(t.Context(), request, 0); got.Status != test.want {
				t.Errorf("got %+v, want status %s", got, test.want)
			}
		})
	}
}

// Guards against an old number of pending jobs from a VM that was paused in the request and has lost the leadership meanwhile.
func TestQueueLengthAfterLossOfLeadership(t *testing.T) {
	handler := newKeeperHandler(t, testQueue)
	if got := handler.queueLength(&testRoute); got.Status != StatusUnavailable {
		t.Errorf("got %+v from a VM that does not lead, want status %s", got, StatusUnavailable)
	}
}
