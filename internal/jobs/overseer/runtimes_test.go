package overseer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against run times that include pauses or count throttled time in full.
func TestTimingConvertsToFullSpeed(t *testing.T) {
	var timing timing
	if got := timing.elapsed(time.Minute); got != 0 {
		t.Errorf("got %v before the start, want 0", got)
	}
	timing.begin(10 * time.Second)
	timing.begin(11 * time.Second)
	timing.setShare(12*time.Second, 50)
	timing.setShare(16*time.Second, 0)
	timing.setShare(40*time.Second, fullShare)
	if got, want := timing.elapsed(43*time.Second), 7*time.Second; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against run times of which the begin or the end is not known, and of tasks far from their data.
func TestIsMeasurable(t *testing.T) {
	whole := timing{measurable: true, running: true}
	tests := map[string]struct {
		attempt attempt
		want    bool
	}{
		"whole":                        {attempt{timing: whole}, true},
		"near its data":                {attempt{timing: whole, spec: scheduler.Step{PreferredRack: "r1"}}, true},
		"away from its data":           {attempt{timing: whole, spec: scheduler.Step{PreferredRack: "r2"}}, false},
		"long-running":                 {attempt{timing: whole, spec: scheduler.Step{LongRunning: true}}, false},
		"unanswered start":             {attempt{timing: whole, startUnanswered: true}, false},
		"not seen running":             {attempt{timing: timing{measurable: true}}, false},
		"resumed or of another leader": {attempt{timing: timing{running: true}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			instance := newWorker("w", 1)
			instance.heartbeat.Labels = []string{"r1"}
			if got := test.attempt.isMeasurable(instance); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a leader that never learns, or learns from attempts whose start it has not seen.
func TestLeaderLearnsRunTimes(t *testing.T) {
	tests := map[string]struct {
		newLeader bool
		want      time.Duration
	}{
		"same leader":   {false, time.Second}, // The fake workers' run times are uniform between 0 and 2 s.
		"leader change": {true, time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				stop := simulation.start()
				time.Sleep(2 * time.Second)
				for range 30 {
					simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{
						Count: 1, Request: oneCore, Estimate: time.Minute, Image: "image",
					}}})
					if !test.newLeader {
						time.Sleep(50 * time.Millisecond) // A lost response to one proposal must not concern all tasks.
					}
				}
				leader := 0
				if test.newLeader {
					time.Sleep(500 * time.Millisecond) // All tasks are placed by the first leader.
					leader = 1
					simulation.domain.elect(leader)
				}
				time.Sleep(5 * time.Second)
				kind := scheduler.NewTaskKind("queue", "image")
				leadership := simulation.overseers[leader].current.Load()
				leadership.mutex.Lock()
				got := leadership.runTimes.RunTime(kind, time.Minute, 0.5)
				leadership.mutex.Unlock()
				if got < test.want/2 || got > 2*test.want {
					t.Errorf("got a median of %v, want about %v", got, test.want)
				}
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}
