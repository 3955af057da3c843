package explainer

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/jobs/handler"
	"github.com/crocusplank/crocusplank/internal/jobs/overseer"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/internal/state/messenger"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const group scheduler.GroupName = "domain"

// serve runs a VM that answers every request with response, and returns its peer address.
func serve(t *testing.T, response handler.Response) netip.AddrPort {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	network := messenger.New(scheduler.VMName(address.String()), nil, messenger.WithDiscovery())
	network.Handle(group, handler.KindRequest, func(context.Context, scheduler.VMName, []byte) ([]byte, error) {
		return encoder.Marshal(response)
	})
	server.Config.Handler = network
	server.Start()
	network.Start()
	t.Cleanup(func() {
		network.Close()
		server.Close()
	})
	return address
}

// Guards against a command that prints nothing or the wrong reason where the domain refuses the request, and against one
// that takes an older build's response for an explanation.
func TestExplain(t *testing.T) {
	tests := map[string]struct {
		response handler.Response
		want     string
	}{
		"explained":     {handler.Response{Status: handler.StatusDone, Explanation: &overseer.PlacementExplanation{Queue: "q"}}, ""},
		"unknown queue": {handler.Response{Status: handler.StatusNoQueue, Reason: "no queue"}, "no queue"},
		"older build":   {handler.Response{Status: handler.StatusInvalid, Reason: "the request has no operation set"}, "no operation"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			explanation, err := Explain(t.Context(), group, []netip.AddrPort{serve(t, test.response)}, handler.ExplainRequest{})
			if test.want == "" {
				if err != nil || explanation.Queue != "q" {
					t.Errorf("got %+v, error %v, want an explanation for queue q", explanation, err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one with %q", err, test.want)
			}
		})
	}
}

// Guards against text that hides why a job would be rejected or why a task would wait.
func TestPrint(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	var text strings.Builder
	err := Print(&text, &overseer.PlacementExplanation{
		Queue: "reports", Reason: "the pool is full", RetryAfter: 2 * time.Second, At: now.Add(-40 * time.Millisecond),
		Unavailable: []overseer.WorkerCount{{Reason: string(overseer.UnavailableDraining), Workers: 2}},
		Steps: []overseer.StepExplanation{
			{Tasks: 3, Placed: 1, Workers: []scheduler.WorkerName{"w1"}, Excluded: []overseer.WorkerCount{{Reason: string(packer.ExcludedByCapacity), Workers: 7}, {Reason: string(packer.ExcludedByLabel), Workers: 1}}},
			{Step: 1, Tasks: 1, WaitsFor: []int{0}},
		},
	}, now)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"rejected: the pool is full; retry after 2s", "2 draining", "40ms old", "7 insufficientCapacity, 1 missingLabel", "w1", "after 0",
	} {
		if got := text.String(); !strings.Contains(got, want) {
			t.Errorf("got %q, want it to contain %q", got, want)
		}
	}
}
