package overseer

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/internal/jobs/waitwatcher"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// overdueLine is what the tests read of the log line about overdue tasks.
type overdueLine struct {
	Queue           string         `json:"queue"`
	Reason          string         `json:"reason"`
	Tasks           int            `json:"tasks"`
	Age             float64        `json:"age"`
	LeadingFor      float64        `json:"leadingFor"`
	WorkersWithRoom map[string]int `json:"workersWithRoom"`
	Suppressed      int            `json:"suppressed"`
}

func overdueLines(t *testing.T, log []byte) []overdueLine {
	t.Helper()
	var lines []overdueLine
	for line := range bytes.Lines(log) {
		if !bytes.Contains(line, []byte(`"event":"taskOverdue"`)) {
			continue
		}
		var decoded overdueLine
		if err := json.Unmarshal(line, &decoded); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, decoded)
	}
	return lines
}

// planFor runs planning cycles without recording their placements.
func (leadership *leadership) planFor(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(planInterval) {
		leadership.choosePlacements()
	}
}

// Guards against tasks that a rule keeps off workers with room while nothing shows it, and against a report about tasks for
// which there is no room. Ten tasks wait; each worker has room for four.
func TestOverdueTasksAreReported(t *testing.T) {
	tests := map[string]struct {
		workers    int
		change     func(instance *worker)
		wantTasks  int
		wantReason string
	}{
		"placed at once": {5, func(*worker) {}, 0, ""},
		"backing off": {
			5, func(instance *worker) { instance.backoffUntil = time.Hour }, 10, string(UnavailableBackingOff),
		},
		"attempts unknown": {
			5, func(instance *worker) { instance.unknownAttempts = 1 }, 10, string(UnavailableUnknownAttempts),
		},
		"not synced": {
			5, func(instance *worker) { instance.synced = false }, 10, string(UnavailableUnsynced),
		},
		"beside a suspect": {
			5, func(instance *worker) {
				for _, attempt := range instance.attempts {
					attempt.suspect = true
				}
			}, 10, string(packer.ExcludedBySuspect),
		},
		"room for some": {
			2, func(instance *worker) { instance.backoffUntil = time.Hour }, 4, string(UnavailableBackingOff),
		},
		"draining": {
			5, func(instance *worker) { instance.heartbeat.Phase = scheduler.WorkerDraining }, 0, "",
		},
		"silent": {5, func(instance *worker) { instance.consecutiveFailures = 1 }, 0, ""},
		"silent and not synced": {
			5, func(instance *worker) { instance.synced, instance.consecutiveFailures = false, 1 }, 0, "",
		},
		"without capacity": {
			5, func(instance *worker) { instance.heartbeat.Capacity = oneCore }, 0, "",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leadership := waitingLeadership(t, test.workers, 1, nil)
				scope, log := tally.NewTestScope("", nil), &bytes.Buffer{}
				leadership.overseer.metrics, leadership.logger = newMetrics(scope), zerolog.New(log)
				for _, instance := range leadership.instances {
					test.change(instance)
				}
				leadership.planFor(6 * time.Second)
				lines := overdueLines(t, log.Bytes())
				if test.wantTasks == 0 {
					if len(lines) > 0 {
						t.Errorf("got %+v, want no overdue tasks", lines)
					}
					return
				}
				if len(lines) != 1 {
					t.Fatalf("got %+v, want one line", lines)
				}
				line := &lines[0]
				if line.Queue != "queue" || line.Tasks != test.wantTasks || line.Reason != test.wantReason {
					t.Errorf("got %+v, want %d tasks kept by %q", line, test.wantTasks, test.wantReason)
				}
				if got, want := line.WorkersWithRoom[test.wantReason], test.workers; got != want {
					t.Errorf("got %d workers with room, want %d", got, want)
				}
				threshold := float64(waitwatcher.OverdueAfter.Milliseconds())
				if line.Age <= threshold || line.LeadingFor < line.Age {
					t.Errorf("got age %g ms, leading for %g ms, want more than %g ms, and no more than leading", line.Age, line.LeadingFor, threshold)
				}
				gauge := scope.Snapshot().Gauges()["tasks_overdue+queue=queue,reason="+test.wantReason]
				if gauge == nil || gauge.Value() != float64(test.wantTasks) {
					t.Errorf("got gauge %v, want %d", gauge, test.wantTasks)
				}
			})
		})
	}
}

// Guards against a gauge that stays above 0 after the tasks have been placed, and against a log line each second.
func TestOverdueReportsEndAndAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leadership := waitingLeadership(t, 5, 1, nil)
		scope, log := tally.NewTestScope("", nil), &bytes.Buffer{}
		leadership.overseer.metrics, leadership.logger = newMetrics(scope), zerolog.New(log)
		for _, instance := range leadership.instances {
			instance.backoffUntil = time.Hour
		}
		const duration = 60 * time.Second
		leadership.planFor(duration)
		lines := overdueLines(t, log.Bytes())
		if got, most := len(lines), int(duration/repeatedWarningInterval); got < 2 || got > most {
			t.Fatalf("got %d lines in %s, want 2 to %d", got, duration, most)
		}
		if got := lines[1].Suppressed; got == 0 {
			t.Error("got no suppressed lines in the second line, want some")
		}
		for _, instance := range leadership.instances {
			instance.backoffUntil = 0
		}
		leadership.planFor(2 * waitwatcher.Interval)
		for name, gauge := range scope.Snapshot().Gauges() {
			if got := gauge.Value(); got != 0 && name == "tasks_overdue+queue=queue,reason=backingOff" {
				t.Errorf("got %g overdue tasks after the placement, want 0", got)
			}
		}
	})
}

// BenchmarkWatchWaiting measures one observation of 26,000 waiting tasks, with workers that have room for them and accept
// none, and with workers without room.
func BenchmarkWatchWaiting(b *testing.B) {
	const workers, steps = 860, 2600
	for name, capacity := range map[string]scheduler.Resources{"room": {MilliCores: 8000, MemoryBytes: 8 << 30}, "full": oneCore} {
		b.Run(name, func(b *testing.B) {
			leadership := waitingLeadership(b, workers, steps, nil)
			for _, instance := range leadership.instances {
				instance.backoffUntil, instance.heartbeat.Capacity = time.Hour, capacity
			}
			leadership.overseer.keeper.View(func(state *jobkeeper.State) {
				waiting := waitingSteps(state)
				for b.Loop() {
					leadership.observeWaiting(state, nil, waiting, nil, leadership.now())
				}
			})
		})
	}
}
