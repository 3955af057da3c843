package admitter

import (
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

func workflow(count int, milliCores int64, longRunning bool) *scheduler.Workflow {
	return &scheduler.Workflow{Steps: []scheduler.Step{{
		Count: count, Request: scheduler.Resources{MilliCores: milliCores}, LongRunning: longRunning,
	}}}
}

// Guards against long-running tasks that take the capacity reserved for short jobs, against rejected short jobs, and
// against long-running tasks that are rejected although there is enough capacity.
func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		load     Load
		workflow *scheduler.Workflow
		want     bool
	}{
		"capacity for both":                          {Load{Capacity: 1000, LongRunning: 400, Short: 100}, workflow(1, 300, true), true},
		"remaining capacity reserved for short jobs": {Load{Capacity: 1000, LongRunning: 700, Short: 100}, workflow(1, 200, true), false},
		"no short jobs yet":                          {Load{Capacity: 1000, LongRunning: 700}, workflow(1, 50, true), true},
		"minimum reserve without short jobs":         {Load{Capacity: 1000, LongRunning: 700}, workflow(1, 60, true), false},
		"many short jobs":                            {Load{Capacity: 1000, LongRunning: 500, Short: 300}, workflow(1, 120, true), false},
		"request above the free capacity":            {Load{Capacity: 1000, LongRunning: 700}, workflow(4, 100, true), false},
		"short jobs wait in their queue":             {Load{Capacity: 1000, LongRunning: 900, Short: 2000}, workflow(9, 100, false), true},
		"no workers":                                 {Load{}, workflow(1, 1, true), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var admitter Admitter
			admitter.Observe(0, test.load)
			decision := admitter.Admit(test.workflow)
			if decision.Admitted() != test.want {
				t.Errorf("got %v (%s), want %v", decision.Admitted(), decision.Reason(), test.want)
			}
			if !decision.Admitted() && (decision.Reason() == "" || decision.RetryAfter() < minRetryAfter || decision.RetryAfter() > maxRetryAfter) {
				t.Errorf("got rejection %q with retry after %v, want a reason and %v to %v", decision.Reason(), decision.RetryAfter(), minRetryAfter, maxRetryAfter)
			}
		})
	}
}

// Guards against a burst of submissions that are all admitted to the same free capacity.
func TestAdmittedJobsReserveCapacity(t *testing.T) {
	var admitter Admitter
	admitter.Observe(0, Load{Capacity: 1000, LongRunning: 250})
	admitted := 0
	for range 10 {
		if job := workflow(1, 200, true); admitter.Admit(job).Admitted() {
			admitter.RecordAdmission(job)
			admitted++
		}
	}
	if want := 2; admitted != want {
		t.Errorf("got %d admitted, want %d", admitted, want)
	}
}

// Guards against a retry time that does not depend on how fast capacity is released.
func TestRetryAfterFollowsReleaseRate(t *testing.T) {
	var admitter Admitter
	for second := range 60 {
		admitter.Observe(time.Duration(second)*time.Second, Load{Capacity: 10000, LongRunning: int64(10000 - 100*second)})
	}
	free := int64(5900 - minReserveFraction*10000)
	got := admitter.Admit(workflow(1, free+500, true)).RetryAfter()
	if got < 4*time.Second || got > 7*time.Second {
		t.Errorf("got %v until 500 more millicores are free at 100 per second, want about 5 s", got)
	}
}

// Guards against a reserve that drops at once whenever the demand of short jobs drops for a moment.
func TestDemandIsAveraged(t *testing.T) {
	var admitter Admitter
	for second := range 30 {
		admitter.Observe(time.Duration(second)*time.Second, Load{Capacity: 1000, LongRunning: 600, Short: 200})
	}
	admitter.Observe(31*time.Second, Load{Capacity: 1000, LongRunning: 600})
	if admitter.Admit(workflow(1, 300, true)).Admitted() {
		t.Error("got admitted one second after the short jobs ended, want rejected")
	}
}

// Guards against a lack of capacity for short jobs when workers are lost after long-running tasks have filled the pool.
// In scale-1 of bb-rehome-grown, 37 of 490 workers left and 1,400 tasks of short jobs had to wait. Here, callers
// request more than the whole pool before any short job arrives, and then a tenth of the workers is lost.
func TestCapacityForShortJobsAfterWorkerLoss(t *testing.T) {
	var admitter Admitter
	const capacity, short = 10_000, 1_200
	admitter.Observe(0, Load{Capacity: capacity})
	reserved := int64(0)
	for range 100 {
		if job := workflow(5, 25, true); admitter.Admit(job).Admitted() {
			admitter.RecordAdmission(job)
			reserved += LongRunningRequest(job)
		}
	}
	if free := capacity*9/10 - reserved; free < short {
		t.Errorf("got %d millicores free after the loss, want %d", free, short)
	}
}
