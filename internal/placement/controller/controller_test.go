package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

const alone = 10 * time.Millisecond

// source knows the harm of kinds and a baseline of 10 ms for every service but "unknown".
type source map[string]float64

func (s source) Interference(pairing scheduler.Colocation) scheduler.Estimate {
	return scheduler.Estimate{Interference: s[pairing.Kind]}
}

func (s source) Load(string) scheduler.LoadLevel { return scheduler.LoadMedium }

func (s source) Baseline(service string, _ scheduler.LoadLevel) (time.Duration, bool) {
	return alone, service != "unknown"
}

func newController(t *testing.T) *Controller {
	t.Helper()
	c, err := New(source{"harsh": 8, "mild": 0.01, "lasting": 8}, WithSlowdownLimit(0.5))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// report covers the 10 s that end after the given seconds.
func report(service string, second int, slowdown float64) scheduler.UsageReport {
	until := start.Add(time.Duration(second) * time.Second)
	return scheduler.UsageReport{
		Worker: "w", From: until.Add(-10 * time.Second), Until: until,
		Tasks: []scheduler.TaskUsage{{
			Class: scheduler.ClassLatencyCritical, Kind: service, Load: 0.5,
			Latency: time.Duration(slowdown * float64(alone)),
		}},
	}
}

// batch returns a task; kinds other than "lasting" have saved a checkpoint after the given seconds.
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

// Guards against action on noise or on old reports, and against a dearer step where a cheaper one is
// left.
func TestDecide(t *testing.T) {
	slow := []float64{2.5, 2.5, 2.5}
	cases := map[string]struct {
		service   string
		slowdowns []float64
		tasks     []scheduler.PlacedTask
		want      []string
	}{
		"prompt":                       {slowdowns: []float64{1.1, 1.1, 1.1}, tasks: []scheduler.PlacedTask{batch("a", "harsh", false, 50)}},
		"one slow report is noise":     {slowdowns: []float64{1.1, 2.5, 1.1}, tasks: []scheduler.PlacedTask{batch("a", "harsh", false, 50)}},
		"too few reports":              {slowdowns: []float64{2.5, 2.5}, tasks: []scheduler.PlacedTask{batch("a", "harsh", false, 50)}},
		"baseline is not known":        {service: "unknown", slowdowns: slow, tasks: []scheduler.PlacedTask{batch("a", "harsh", false, 50)}},
		"throttles the harsh one only": {slowdowns: slow, tasks: []scheduler.PlacedTask{batch("a", "harsh", false, 50), batch("b", "mild", false, 50)}, want: []string{"throttle a"}},
		"no suspect":                   {slowdowns: slow, tasks: []scheduler.PlacedTask{batch("b", "mild", false, 50)}},
		"moves the least lost work":    {slowdowns: slow, tasks: []scheduler.PlacedTask{batch("a", "harsh", true, 10), batch("b", "harsh", true, 50)}, want: []string{"move b"}},
		"moves before it stops":        {slowdowns: slow, tasks: []scheduler.PlacedTask{batch("a", "lasting", true, 0), batch("b", "harsh", true, 0)}, want: []string{"move b"}},
		"stops when nothing else is left": {
			slowdowns: slow, tasks: []scheduler.PlacedTask{batch("a", "lasting", true, 0)}, want: []string{"stop a"},
		},
		"calm for the hold releases": {
			slowdowns: slices.Repeat([]float64{1}, 14), tasks: []scheduler.PlacedTask{batch("a", "mild", true, 50), batch("b", "harsh", true, 50)}, want: []string{"release a"},
		},
		"between the thresholds nothing changes": {
			slowdowns: slices.Repeat([]float64{1.4}, 14), tasks: []scheduler.PlacedTask{batch("a", "mild", true, 50)},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			controller := newController(t)
			service := "desk"
			if c.service != "" {
				service = c.service
			}
			for i, slowdown := range c.slowdowns {
				controller.Observe(report(service, 10*(i+1), slowdown))
			}
			var got []string
			for _, action := range controller.Decide(start.Add(time.Hour), worker(c.tasks...)) {
				got = append(got, fmt.Sprint(action.Kind, " ", action.Task))
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a second action before the effect of the first can be seen in reports.
func TestDecideWaitsForReports(t *testing.T) {
	c := newController(t)
	tasks := worker(batch("a", "harsh", false, 0), batch("b", "harsh", true, 0))
	for i := range 3 {
		c.Observe(report("desk", 10*(i+1), 3))
	}
	acted := start.Add(150 * time.Second)
	if got := c.Decide(acted, tasks); len(got) != 1 {
		t.Fatalf("got %v, want one action", got)
	}
	// Reports that arrive now but cover the time before the action still show the old latency.
	for second := 40; second <= 160; second += 10 {
		c.Observe(report("desk", second, 3))
		if got := c.Decide(acted.Add(time.Second), tasks); len(got) != 0 {
			t.Fatalf("report until %d s: got %v, want no action", second, got)
		}
	}
	for second := 170; second <= 190; second += 10 {
		c.Observe(report("desk", second, 3))
	}
	if got := c.Decide(acted.Add(time.Minute), tasks); len(got) != 1 {
		t.Errorf("got %v, want the next action", got)
	}
}

// Guards against switching on and off with every wave: a release that has to be taken back makes the
// controller wait longer before the next one.
func TestDecideDoesNotOscillate(t *testing.T) {
	c := newController(t)
	throttled, changes := false, 0
	for second := 10; second <= 4*3600; second += 10 {
		slowdown := 1.0
		if second%900 < 450 && !throttled {
			slowdown = 2
		}
		c.Observe(report("desk", second, slowdown))
		task := batch("a", "harsh", throttled, second)
		task.Spec.Request.MilliCores = 1000
		for _, action := range c.Decide(start.Add(time.Duration(second)*time.Second), worker(task)) {
			throttled = action.Kind == ActionThrottle
			changes++
		}
	}
	// Without the growth of the hold each of the 16 waves would cause at least two changes, and
	// each calm interval of a wave two more.
	if changes > 24 {
		t.Errorf("got %d changes in 16 waves, want at most 24", changes)
	}
	if _, err := New(source{}, WithSlowdownLimit(0)); !Error.Has(err) {
		t.Errorf("got %v, want an error for a limit of 0", err)
	}
}
