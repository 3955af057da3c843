package predictor

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// Guards against predictions that are not met at the configured confidence, for exact and inaccurate declarations and
// after a change of load.
func TestPredictionsAreMet(t *testing.T) {
	cases := map[string]struct {
		confidence, low, high, slowAfter float64
	}{
		"exact":              {confidence: 0.9, low: 1, high: 1, slowAfter: 1},
		"wrong declarations": {confidence: 0.9, low: 0.3, high: 5, slowAfter: 1},
		"load shift":         {confidence: 0.9, low: 0.5, high: 2, slowAfter: 3},
		"lower confidence":   {confidence: 0.7, low: 0.3, high: 5, slowAfter: 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			predictor, err := New(WithConfidence(test.confidence))
			if err != nil {
				t.Fatal(err)
			}
			random := rand.New(rand.NewPCG(3, 4))
			now, met, count := start, 0, 0
			for i := range 2000 {
				actual := time.Duration(60+540*random.Float64()) * time.Second
				factor := test.low * math.Pow(test.high/test.low, random.Float64())
				declared := time.Duration(float64(actual) * factor)
				job := scheduler.JobID(fmt.Sprint(i))
				completion := predictor.Predict(now, Query{Job: job, Team: "t", Kind: "k", DeclaredRunTime: declared})
				duration := time.Duration(float64(actual) * math.Exp(0.3*random.NormFloat64()))
				if i > 1000 {
					duration = time.Duration(float64(duration) * test.slowAfter)
				}
				now = now.Add(duration)
				predictor.ObserveRunTime("t", "k", declared, actual)
				predictor.JobFinished(now, job)
				if i >= 200 {
					count++
					if !now.After(completion) {
						met++
					}
				}
			}
			if got := float64(met) / float64(count); math.Abs(got-test.confidence) > 0.05 {
				t.Errorf("got a fraction of %.3f of predictions met, want %.2f within 0.05", got, test.confidence)
			}
		})
	}
}

// Guards against inaccurate declarations of one team affecting the predictions for another team.
func TestCorrectionByTeamAndKind(t *testing.T) {
	predictor, _ := New()
	for range 50 {
		predictor.ObserveRunTime("short", "k", time.Minute, 3*time.Minute)
		predictor.ObserveRunTime("long", "k", time.Minute, 20*time.Second)
	}
	short := predictor.Predict(start, Query{Job: "1", Team: "short", Kind: "k", DeclaredRunTime: time.Minute}).Sub(start)
	long := predictor.Predict(start, Query{Job: "2", Team: "long", Kind: "k", DeclaredRunTime: time.Minute}).Sub(start)
	if got, want := float64(short)/float64(long), 9.0; math.Abs(got-want) > 2 {
		t.Errorf("got a ratio of %.1f between the predictions, want about %.0f", got, want)
	}
}

// Guards against missed predictions that are not counted, or are counted more than once, and against counting cancelled
// jobs.
func TestMissedAndRemoved(t *testing.T) {
	predictor, _ := New()
	completion := predictor.Predict(start, Query{Job: "late", DeclaredRunTime: time.Minute})
	predictor.Predict(start, Query{Job: "cancelled", DeclaredRunTime: time.Minute})
	predictor.Remove("cancelled")
	before := predictor.quantile
	predictor.MarkMissed(completion.Add(time.Second))
	once := predictor.quantile
	predictor.MarkMissed(completion.Add(time.Minute))
	predictor.JobFinished(completion.Add(time.Hour), "late")
	predictor.JobFinished(completion.Add(time.Hour), "unknown")
	if once <= before || predictor.quantile != once {
		t.Errorf("got quantiles %v, %v, %v, want one increase for one missed prediction", before, once, predictor.quantile)
	}
	if _, err := New(WithConfidence(1)); !Error.Has(err) {
		t.Errorf("got %v, want an error for a confidence of 1", err)
	}
}
