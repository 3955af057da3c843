package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/fxamacker/cbor/v2"
)

func newSyncResponse(term scheduler.Term, renewed []scheduler.LeaseNumber, commands ...scheduler.WorkerCommand) *scheduler.SyncResponse {
	return &scheduler.SyncResponse{Term: term, LeaseDuration: 15 * time.Second, Renewed: renewed, Commands: commands}
}

func newStartCommand(lease scheduler.LeaseNumber) scheduler.WorkerCommand {
	return scheduler.WorkerCommand{Kind: scheduler.CommandStart, Lease: lease, Task: "a/1", Attempt: 1, Spec: &scheduler.TaskSpec{RunTime: time.Hour}}
}

// Guards against a worker that accepts commands from the leader of an earlier term, starts an attempt twice, or
// continues an attempt after its lease has expired.
func TestWorkerObeysLeases(t *testing.T) {
	stop := scheduler.WorkerCommand{Kind: scheduler.CommandStop, Lease: 1, Grace: 4 * time.Second}
	tests := map[string]struct {
		responses []*scheduler.SyncResponse
		pause     time.Duration
		want      []scheduler.AttemptOutcome
	}{
		"start":               {responses: []*scheduler.SyncResponse{newSyncResponse(1, nil, newStartCommand(1))}, want: []scheduler.AttemptOutcome{""}},
		"start repeated":      {responses: []*scheduler.SyncResponse{newSyncResponse(1, nil, newStartCommand(1)), newSyncResponse(1, nil, newStartCommand(1))}, want: []scheduler.AttemptOutcome{""}},
		"lower lease":         {responses: []*scheduler.SyncResponse{newSyncResponse(1, nil, newStartCommand(2)), newSyncResponse(1, nil, newStartCommand(1))}, want: []scheduler.AttemptOutcome{""}},
		"lower term":          {responses: []*scheduler.SyncResponse{newSyncResponse(2, nil), newSyncResponse(1, nil, newStartCommand(1))}},
		"stop before start":   {responses: []*scheduler.SyncResponse{newSyncResponse(1, nil, stop), newSyncResponse(1, nil, newStartCommand(1))}},
		"stop":                {responses: []*scheduler.SyncResponse{newSyncResponse(1, nil, newStartCommand(1)), newSyncResponse(1, nil, stop)}, pause: 3 * time.Second, want: []scheduler.AttemptOutcome{"stopped"}},
		"not renewed":         {responses: []*scheduler.SyncResponse{newSyncResponse(1, nil, newStartCommand(1))}, pause: 16 * time.Second, want: []scheduler.AttemptOutcome{"stopped"}},
		"renewed by old term": {responses: []*scheduler.SyncResponse{newSyncResponse(2, nil, newStartCommand(1)), newSyncResponse(1, []scheduler.LeaseNumber{1})}, pause: 14500 * time.Millisecond, want: []scheduler.AttemptOutcome{"stopped"}},
		"late response":       {responses: []*scheduler.SyncResponse{nil, newSyncResponse(1, nil, newStartCommand(1))}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				next, late := 0, slices.Contains(test.responses, nil)
				exchange := func(_ context.Context, request *scheduler.SyncRequest) (*scheduler.SyncResponse, error) {
					if next >= len(test.responses) {
						return nil, Error.New("no response")
					}
					response := test.responses[next]
					next++
					if response == nil {
						return nil, Error.New("no response")
					}
					if late {
						time.Sleep(15 * time.Second)
					}
					response.Sequence = request.Sequence
					return response, nil
				}
				worker := NewWorker("worker-1", exchange)
				go worker.Run(ctx)
				time.Sleep(time.Duration(len(test.responses))*time.Second + test.pause + 500*time.Millisecond)
				if late {
					time.Sleep(20 * time.Second)
				}
				cancel()
				synctest.Wait()
				executions := worker.Executions()
				if len(executions) != len(test.want) {
					t.Fatalf("got %+v, want %v", executions, test.want)
				}
				for i, want := range test.want {
					if got := executions[i].Outcome; got != want {
						t.Errorf("got outcome %q, want %q", got, want)
					}
				}
			})
		})
	}
}

// Guards against field names that differ between the JSON and CBOR encodings.
func TestHTTPExchange(t *testing.T) {
	codecs := map[string]struct {
		marshal   func(any) ([]byte, error)
		unmarshal func([]byte, any) error
	}{"application/json": {json.Marshal, json.Unmarshal}, "application/cbor": {cbor.Marshal, cbor.Unmarshal}}
	for mediaType, codec := range codecs {
		t.Run(mediaType, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				body := make([]byte, request.ContentLength)
				_, _ = request.Body.Read(body)
				var received scheduler.SyncRequest
				if err := codec.unmarshal(body, &received); err != nil || request.URL.Path != "/v1/workers/worker-1/sync" || request.Header.Get("Accept") != mediaType {
					writer.WriteHeader(http.StatusBadRequest)
					return
				}
				response, _ := codec.marshal(newSyncResponse(3, received.Running, newStartCommand(4)))
				_, _ = writer.Write(response)
			}))
			defer server.Close()
			exchange := NewHTTPExchange(server.Client(), server.URL, mediaType)
			response, err := exchange(t.Context(), &scheduler.SyncRequest{Worker: "worker-1", Running: []scheduler.LeaseNumber{7}})
			if err != nil || response.Term != 3 || len(response.Renewed) != 1 || response.Renewed[0] != 7 || response.Commands[0].Spec.RunTime != time.Hour {
				t.Errorf("got %+v, %v", response, err)
			}
		})
	}
}
