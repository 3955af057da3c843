package sizer

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/state/messenger"
)

// Checks the intercept, slope and residual of fits. Too few points, which any line fits, and points of a single size must
// be rejected.
func TestFit(t *testing.T) {
	cases := map[string]struct {
		points []Point
		want   Line
		fails  bool
	}{
		"exact":         {[]Point{{0, 3}, {10, 5}, {20, 7}}, Line{Intercept: 3, Slope: 0.2}, false},
		"flat":          {[]Point{{1, 4}, {2, 4}, {9, 4}}, Line{Intercept: 4}, false},
		"with residual": {[]Point{{0, 0}, {1, 3}, {2, 0}}, Line{Intercept: 1, Slope: 0, MaxResidual: 2}, false},
		"unequal gaps":  {[]Point{{0, 1}, {1, 3}, {2, 5}, {10, 21}}, Line{Intercept: 1, Slope: 2}, false},
		"two points":    {[]Point{{0, 0}, {1, 1}}, Line{}, true},
		"one size":      {[]Point{{5, 1}, {5, 2}, {5, 3}}, Line{}, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := Fit(test.points)
			if failed := err != nil; failed != test.fails {
				t.Fatalf("error: got %v, want an error: %v", err, test.fails)
			}
			if math.Abs(got.Intercept-test.want.Intercept) > 1e-9 || math.Abs(got.Slope-test.want.Slope) > 1e-9 ||
				math.Abs(got.MaxResidual-test.want.MaxResidual) > 1e-9 {
				t.Errorf("line: got %+v, want %+v", got, test.want)
			}
		})
	}
}

// Rates must be kept apart by kind and group, and must include a group that is absent from the first sample.
func TestRatesBetween(t *testing.T) {
	first := Sample{At: time.Unix(0, 0), Traffic: []messenger.Traffic{
		{Group: "a", Kind: "append", SentMessages: 10, SentBytes: 100},
	}}
	last := Sample{At: time.Unix(2, 0), Traffic: []messenger.Traffic{
		{Group: "a", Kind: "append", SentMessages: 14, SentBytes: 140},
		{Group: "b", Kind: "append", ReceivedMessages: 6, ReceivedBytes: 20},
	}}
	rates := ratesBetween(first, last)
	if len(rates) != 2 {
		t.Fatalf("rates: got %d, want 2", len(rates))
	}
	if got, want := rates[0], (Rate{Group: "a", Kind: "append", SentMessages: 2, SentBytes: 20}); got != want {
		t.Errorf("known kind: got %+v, want %+v", got, want)
	}
	if got, want := rates[1], (Rate{Group: "b", Kind: "append", ReceivedMessages: 3, ReceivedBytes: 10}); got != want {
		t.Errorf("new kind: got %+v, want %+v", got, want)
	}
	if got, want := sumByKind(rates)["append"], (Rate{
		SentMessages: 2, SentBytes: 20, ReceivedMessages: 3, ReceivedBytes: 10,
	}); got != want {
		t.Errorf("sum over groups: got %+v, want %+v", got, want)
	}
}

// A series must include only measurements in which the other variables are constant, and a plot only the leader and
// follower of the sessions "seventh" and "whole".
func TestSeriesAndPlot(t *testing.T) {
	measurement := func(session string, workers, endpoints, starts int, percent float64) Measurement {
		return Measurement{Session: session, Workers: workers, Endpoints: endpoints, StartRate: starts, Processes: []ProcessCost{
			{Role: "leader", CPUPercent: percent, ResidentBytes: 32e6}, {Role: "other", CPUPercent: 99},
		}}
	}
	report := Report{Measurements: []Measurement{
		measurement("endpoints", 50, 50, 0, 1), measurement("endpoints", 50, 500, 0, 9), measurement("starts", 200, 50, 0, 2),
		measurement("starts", 200, 50, 100, 8), measurement("workers", 860, 50, 0, 6), measurement("whole", 860, 2700, 400, 50),
	}}
	got := seriesPoints(report, 0, 0, "leader")
	want := []Point{{50, 1}, {200, 2}, {860, 6}}
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] || got[2] != want[2] {
		t.Errorf("points: got %v, want %v", got, want)
	}
	var drawn strings.Builder
	if err := Plot(&drawn, report); err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Count(drawn.String(), "whole, 400 starts/s, leader"), 3; got != want {
		t.Errorf("bars of the leader: got %d, want %d", got, want)
	}
	if strings.Contains(drawn.String(), "endpoints, ") {
		t.Error("the plot has bars of a session with other sizes")
	}
}
