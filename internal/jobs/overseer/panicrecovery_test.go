package overseer

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

func TestPanicRecovery(t *testing.T) {
	tests := map[string]struct {
		lasted []time.Duration
		want   recoveryPlan
	}{
		"first":                 {[]time.Duration{0}, recoveryPlan{backoff: minPanicBackoff}},
		"second":                {[]time.Duration{0, 0}, recoveryPlan{2 * minPanicBackoff, true}},
		"after a stable time":   {[]time.Duration{0, 0, stableTime}, recoveryPlan{backoff: minPanicBackoff}},
		"almost after one":      {[]time.Duration{0, stableTime - 1}, recoveryPlan{2 * minPanicBackoff, true}},
		"again and again":       {make([]time.Duration, 7), recoveryPlan{maxPanicBackoff, true}},
		"for a very long while": {make([]time.Duration, 1000), recoveryPlan{maxPanicBackoff, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var recovery panicRecovery
			var got recoveryPlan
			for _, lasted := range test.lasted {
				got = recovery.next(lasted)
			}
			if got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a VM that keeps the leader lease while each of its leaderships ends in a panic, so that nothing runs for ever.
func TestVMThatPanicsAgainAndAgainHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		logs := simulation.recordLogs()
		broken := simulation.overseers[0]
		broken.client = panickingClient{broken.client}
		broken.handOver = func() { simulation.domain.elect(1) }
		simulation.domain.elect(0)
		stop := simulation.start()
		time.Sleep(time.Second)
		simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 4, Request: oneCore}}})
		time.Sleep(10 * time.Second)
		if got := simulation.openJobs(); got != 0 {
			t.Errorf("got %d jobs that have not ended, want none", got)
		}
		stop()
		if got, limit := bytes.Count(logs.Bytes(), []byte(`"leadershipPanicked"`)), 20; got == 0 || got > limit {
			t.Errorf("got %d log lines about panics, want 1 to %d", got, limit)
		}
		time.Sleep(20 * time.Second)
	})
}

// panickingClient panics at each start order.
type panickingClient struct{ scheduler.WorkerClient }

func (panickingClient) Start(context.Context, scheduler.WorkerRef, scheduler.StartOrder) (scheduler.OrderResponse, error) {
	panic("start")
}
