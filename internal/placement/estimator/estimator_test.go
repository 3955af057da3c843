package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// reports returns reports of a service with a baseline latency of 10 ms that runs next to batch kinds with the given
// interference.
func reports(seed uint64, count int, interferences map[string]float64, load, noise float64) []scheduler.UsageReport {
	random := rand.New(rand.NewPCG(seed, 1))
	kinds := sortedKeys(interferences)
	list := make([]scheduler.UsageReport, count)
	for i := range list {
		until := start.Add(time.Duration(i) * 10 * time.Second)
		list[i] = scheduler.UsageReport{Worker: "w", From: until.Add(-10 * time.Second), Until: until}
		factor := 1.0
		for _, kind := range kinds {
			if random.IntN(2) == 0 {
				continue
			}
			share := random.Float64() * 0.4
			factor += interferences[kind] * share
			list[i].Tasks = append(list[i].Tasks, scheduler.TaskUsage{Kind: kind, Class: scheduler.ClassBatch, MilliCores: int64(share * 32000)})
		}
		latency := 10 * float64(time.Millisecond) * factor * math.Exp(noise*random.NormFloat64())
		list[i].Tasks = append(list[i].Tasks, scheduler.TaskUsage{
			Kind: "desk", Class: scheduler.ClassLatencyCritical, Latency: time.Duration(latency), Load: load,
		})
	}
	return list
}

func observeAll(t *testing.T, e *Estimator, list []scheduler.UsageReport) {
	t.Helper()
	for _, report := range list {
		if err := e.Observe(report, 32000); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against estimates that are distorted by noise, by late or duplicate reports or by outliers.
func TestObserve(t *testing.T) {
	interferences := map[string]float64{"mild": 0.1, "middle": 1, "harsh": 4}
	shuffled := func(list []scheduler.UsageReport) []scheduler.UsageReport {
		for i := range list {
			j := min(len(list)-1, i+i%12)
			list[i], list[j] = list[j], list[i]
		}
		return list
	}
	cases := map[string]struct {
		noise  float64
		change func([]scheduler.UsageReport) []scheduler.UsageReport
		within float64
	}{
		"exact":        {change: slices.Clone[[]scheduler.UsageReport], within: 0.05},
		"noise":        {noise: 0.1, change: slices.Clone[[]scheduler.UsageReport], within: 0.35},
		"out of order": {noise: 0.1, change: shuffled, within: 0.35},
		"duplicates": {noise: 0.1, within: 0.35, change: func(list []scheduler.UsageReport) []scheduler.UsageReport {
			var twice []scheduler.UsageReport
			for _, report := range list {
				twice = append(twice, report, report)
			}
			return twice
		}},
		"outliers": {noise: 0.1, within: 0.5, change: func(list []scheduler.UsageReport) []scheduler.UsageReport {
			for i := 60; i < len(list); i += 50 {
				list[i].Tasks[len(list[i].Tasks)-1].Latency *= 20
			}
			return list
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := New()
			observeAll(t, e, c.change(reports(1, 600, interferences, 0.5, c.noise)))
			for kind, want := range interferences {
				got := e.Interference(scheduler.Colocation{Service: "desk", Kind: kind, Load: scheduler.LoadMedium})
				if math.Abs(got.Interference-want) > c.within {
					t.Errorf("%s: got interference %.3f, want %.3f within %.2f", kind, got.Interference, want, c.within)
				}
			}
			if got, ok := e.Baseline("desk", scheduler.LoadMedium); !ok || math.Abs(got.Seconds()-0.01) > 0.001 {
				t.Errorf("got baseline %v, want 10 ms", got)
			}
		})
	}
}

// Guards against a model that does not adapt to a change of the service or the kind.
func TestAdaptsToChange(t *testing.T) {
	e := New()
	observeAll(t, e, reports(1, 600, map[string]float64{"k": 3}, 0.5, 0.1))
	after := reports(2, 600, map[string]float64{"k": 0.2}, 0.5, 0.1)
	for i := range after {
		after[i].From, after[i].Until = after[i].From.Add(2*time.Hour), after[i].Until.Add(2*time.Hour)
	}
	observeAll(t, e, after)
	got := e.Interference(scheduler.Colocation{Service: "desk", Kind: "k", Load: scheduler.LoadMedium})
	if got.Interference > 0.5 {
		t.Errorf("got interference %.2f, want about 0.2", got.Interference)
	}
}

// Guards against unbounded models, against a restart that loses the estimates, and against estimates that are not
// reproducible.
func TestBoundsAndPriors(t *testing.T) {
	interferences := map[string]float64{}
	for i := range 40 {
		interferences[fmt.Sprint("kind", i)] = 1
	}
	e := New()
	observeAll(t, e, reports(1, 300, interferences, 0.5, 0.05))
	coefficients := e.Coefficients()
	if got := len(coefficients); got != maxBatchKinds {
		t.Errorf("got %d coefficients, want %d", got, maxBatchKinds)
	}
	restored := New(WithPriors(coefficients))
	first := coefficients[0]
	got := restored.Interference(scheduler.Colocation{Service: first.Service, Kind: first.Kind, Load: first.Load})
	if got.Interference != first.Interference || got.Deviation < first.Deviation {
		t.Errorf("got %v, want the stored interference %v with no lower deviation", got, first)
	}
	again := New()
	observeAll(t, again, reports(1, 300, interferences, 0.5, 0.05))
	if !reflect.DeepEqual(again.Coefficients(), coefficients) {
		t.Error("got different coefficients from the same reports, want the same")
	}
}

// Guards against reports that cause a division by zero, and against late reports that overwrite the load of newer ones.
func TestInvalidAndLateReports(t *testing.T) {
	e := New()
	list := reports(1, 2, map[string]float64{"k": 1}, 0.9, 0)
	if err := e.Observe(list[0], 0); !Error.Has(err) {
		t.Errorf("got %v, want an error for a worker without CPUs", err)
	}
	if err := e.Observe(scheduler.UsageReport{Worker: "w", From: start, Until: start}, 1); !Error.Has(err) {
		t.Errorf("got %v, want an error for an empty interval", err)
	}
	observeAll(t, e, list[1:])
	observeAll(t, e, reports(1, 1, map[string]float64{"k": 1}, 0.1, 0))
	if got, want := e.Load("desk"), scheduler.LoadHigh; got != want {
		t.Errorf("got load %s after a late report, want %s", got, want)
	}
}
