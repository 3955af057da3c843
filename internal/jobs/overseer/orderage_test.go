package overseer

import (
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against starts and renewals that come to a standstill when thousands of them wait for the mutex: an order that was
// dated before that wait is too old to be sent, and so is the next one. The wait takes real time.
func TestOrdersAreDatedAfterTheWaitForTheMutex(t *testing.T) {
	id := scheduler.RunID{Task: scheduler.StepTaskID{Job: "j"}, Attempt: 1}
	tests := map[string]func(leadership *leadership, instance *worker) time.Duration{
		"start": func(leadership *leadership, instance *worker) time.Duration {
			return leadership.planStart(instance, id).prepared
		},
		"renewal": func(leadership *leadership, instance *worker) time.Duration {
			plan, _ := leadership.nextRenewal(instance, true)
			return plan.prepared
		},
	}
	for name, plan := range tests {
		t.Run(name, func(t *testing.T) {
			leadership := newLeadership(t.Context(), New(nil, jobkeeper.New(), nil), 1)
			instance := newWorker("w", 1)
			instance.hasHeartbeat, instance.heartbeat.Phase = true, scheduler.WorkerReady
			instance.attempts[id] = &attempt{state: attemptStarting}
			leadership.mutex.Lock()
			prepared := make(chan time.Duration)
			go func() { prepared <- plan(leadership, instance) }()
			time.Sleep(maxOrderAge + maxOrderAge/2)
			leadership.mutex.Unlock()
			if age := leadership.now() - <-prepared; age >= maxOrderAge {
				t.Errorf("got an order that is %v old when the mutex is held, want less than %v", age, maxOrderAge)
			}
		})
	}
}
