package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

const baselineLatency = 10 * time.Millisecond

// stubModel maps kinds to their interference. Every service except "unknown" has a baseline of 10 ms.
type stubModel map[string]float64

func (model stubModel) Interference(colocation scheduler.Colocation) scheduler.Estimate {
	return scheduler.Estimate{Interference: model[colocation.Kind]}
}

func (model stubModel) Load(string) scheduler.LoadLevel { return scheduler.LoadMedium }

func (model stubModel) Baseline(service string, _ scheduler.LoadLevel) (time.Duration, bool) {
	return baselineLatency, service != "unknown"
}

func newController(t *testing.T) *Controller {
	t.Helper()
	controller, err := New(stubModel{"harsh": 8, "mild": 0.01, "lasting": 8}, WithSlowdownLimit(0.5))
	if err != nil {
		t.Fatal(err)
	}
	return controller
}

// report returns a report that covers the 10 s up to the given second.
func report(service string, second int, slowdown float64) scheduler.UsageReport {
	until := start.Add(time.Duration(second) * time.Second)
	return scheduler.UsageReport{
		Worker: "w", From: until.Add(-10 * time.Second), Until: until,
		Tasks: []scheduler.TaskUsage{{
			Class: scheduler.ClassLatencyCritical, Kind: service, Load: 0.5,
			Latency: time.Duration(slowdown * float64(baselineLatency)),
		}},
	}
}

// batch returns a batch task. Tasks of kinds other than "lasting" saved a checkpoint at the given second.
func batch(id scheduler.TaskID, kind string, throttled bool, saved int) scheduler.PlacedTask {
	task := scheduler.PlacedTask{
		Task: id, Started: start, Throttled: throttled,
		Spec: scheduler.TaskSpec{Class: scheduler.ClassBatch, Kind: kind, Request: scheduler.Resources{MilliCores: 4000}},
	}
	if kind != "lasting" {
		task.LastCheckpoint = start.Add(time.Duration(saved) * time.Second)
	}
	return task
}

func worker(tasks ...scheduler.PlacedTask) scheduler.WorkerState {
	return scheduler.WorkerState{
		Worker: scheduler.Worker{Name: "w", Capacity: scheduler.Resources{MilliCores: 32000}}, Tasks: tasks,
	}
}

// Guards against actions based on noise or outdated reports, and against choosing a more expensive action while a cheaper
// one is available.
func TestDecide(t *testing.T) {
	slow := []float64{2.5, 2.5, 2.5}
	cases := map[string]struct {
		service   string
		slowdowns []float64
		tasks     []scheduler.PlacedTask
		want      []string
	}{
		"prompt":                        {slowdowns: []float64{1.1, 1.1, 1.1}, tasks: []scheduler.PlacedTask{batch("a", "harsh", false, 50)}},
		"one slow report is noise":      {slowdowns: []float64{1.1, 2.5, 1.1}, tasks: []scheduler.PlacedTask{batch("a", "harsh", false, 50)}},
		"too few reports":               {slowdowns: []float64{2.5, 2.5}, tasks: []scheduler.PlacedTask{batch("a", "harsh", false, 50)}},
		"baseline is not known":         {service: "unknown", slowdowns: slow, tasks: []scheduler.PlacedTask{batch("a", "harsh", false, 50)}},
		"throttles the harsh task only": {slowdowns: slow, tasks: []scheduler.PlacedTask{batch("a", "harsh", false, 50), batch("b", "mild", false, 50)}, want: []string{"throttle a"}},
		"no significant contributor":    {slowdowns: slow, tasks: []scheduler.PlacedTask{batch("b", "mild", false, 50)}},
		"moves the least lost work":     {slowdowns: slow, tasks: []scheduler.PlacedTask{batch("a", "harsh", true, 10), batch("b", "harsh", true, 50)}, want: []string{"move b"}},
		"moves rather than stops":       {slowdowns: slow, tasks: []scheduler.PlacedTask{batch("a", "lasting", true, 0), batch("b", "harsh", true, 0)}, want: []string{"move b"}},
		"stops if no task can be moved": {
			slowdowns: slow, tasks: []scheduler.PlacedTask{batch("a", "lasting", true, 0)}, want: []string{"stop a"},
		},
		"releases after the release delay": {
			slowdowns: slices.Repeat([]float64{1}, 14), tasks: []scheduler.PlacedTask{batch("a", "mild", true, 50), batch("b", "harsh", true, 50)}, want: []string{"release a"},
		},
		"no action between the thresholds": {
			slowdowns: slices.Repeat([]float64{1.4}, 14), tasks: []scheduler.PlacedTask{batch("a", "mild", true, 50)},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			controller := newController(t)
			service := "desk"
			if test.service != "" {
				service = test.service
			}
			for i, slowdown := range test.slowdowns {
				controller.Observe(report(service, 10*(i+1), slowdown))
			}
			var got []string
			for _, action := range controller.Decide(start.Add(time.Hour), worker(test.tasks...)) {
				got = append(got, fmt.Sprint(action.Kind, " ", action.Task))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a second action before reports show the effect of the first.
func TestDecideWaitsForReports(t *testing.T) {
	controller := newController(t)
	tasks := worker(batch("a", "harsh", false, 0), batch("b", "harsh", true, 0))
	for i := range 3 {
		controller.Observe(report("desk", 10*(i+1), 3))
	}
	acted := start.Add(150 * time.Second)
	if got := controller.Decide(acted, tasks); len(got) != 1 {
		t.Fatalf("got %v, want one action", got)
	}
	// Reports that arrive after the action but cover the time before it show the old latency.
	for second := 40; second <= 160; second += 10 {
		controller.Observe(report("desk", second, 3))
		if got := controller.Decide(acted.Add(time.Second), tasks); len(got) != 0 {
			t.Fatalf("report until %d s: got %v, want no action", second, got)
		}
	}
	for second := 170; second <= 190; second += 10 {
		controller.Observe(report("desk", second, 3))
	}
	if got := controller.Decide(acted.Add(time.Minute), tasks); len(got) != 1 {
		t.Errorf("got %v, want the next action", got)
	}
}

// Guards against throttling and releasing with every load wave. If a released task has to be throttled again, the
// controller must wait longer before the next release.
func TestDecideDoesNotOscillate(t *testing.T) {
	controller := newController(t)
	throttled, changes := false, 0
	for second := 10; second <= 4*3600; second += 10 {
		slowdown := 1.0
		if second%900 < 450 && !throttled {
			slowdown = 2
		}
		controller.Observe(report("desk", second, slowdown))
		task := batch("a", "harsh", throttled, second)
		task.Spec.Request.MilliCores = 1000
		for _, action := range controller.Decide(start.Add(time.Duration(second)*time.Second), worker(task)) {
			throttled = action.Kind == ActionThrottle
			changes++
		}
	}
	// If the release delay did not grow, each of the 16 waves would cause at least two changes, and each calm
	// interval within a wave two more.
	if changes > 24 {
		t.Errorf("got %d changes in 16 waves, want at most 24", changes)
	}
	if _, err := New(stubModel{}, WithSlowdownLimit(0)); !Error.Has(err) {
		t.Errorf("got %v, want an error for a limit of 0", err)
	}
}
