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

// Guards against dates that are not met as often as stated, at any kind of wrong declaration and after a
// change of load.
func TestStatedDatesAreMet(t *testing.T) {
	cases := map[string]struct {
		confidence, low, high, slowAfter float64
	}{
		"exact":              {confidence: 0.9, low: 1, high: 1, slowAfter: 1},
		"wrong declarations": {confidence: 0.9, low: 0.3, high: 5, slowAfter: 1},
		"load shift":         {confidence: 0.9, low: 0.5, high: 2, slowAfter: 3},
		"lower confidence":   {confidence: 0.7, low: 0.3, high: 5, slowAfter: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, err := New(WithConfidence(c.confidence))
			if err != nil {
				t.Fatal(err)
			}
			random := rand.New(rand.NewPCG(3, 4))
			now, met, count := start, 0, 0
			for i := range 2000 {
				actual := time.Duration(60+540*random.Float64()) * time.Second
				off := c.low * math.Pow(c.high/c.low, random.Float64())
				declared := time.Duration(float64(actual) * off)
				job := scheduler.JobID(fmt.Sprint(i))
				date := p.Predict(now, Query{Job: job, Team: "t", Kind: "k", DeclaredRunTime: declared})
				took := time.Duration(float64(actual) * math.Exp(0.3*random.NormFloat64()))
				if i > 1000 {
					took = time.Duration(float64(took) * c.slowAfter)
				}
				now = now.Add(took)
				p.ObserveRunTime("t", "k", declared, actual)
				p.JobFinished(now, job)
				if i >= 200 {
					count++
					if !now.After(date) {
						met++
					}
				}
			}
			if got := float64(met) / float64(count); math.Abs(got-c.confidence) > 0.05 {
				t.Errorf("got %.3f of the dates met, want %.2f within 0.05", got, c.confidence)
			}
		})
	}
}

// Guards against one team's wrong declarations spoiling the dates of another.
func TestCorrectionByTeamAndKind(t *testing.T) {
	p, _ := New()
	for range 50 {
		p.ObserveRunTime("short", "k", time.Minute, 3*time.Minute)
		p.ObserveRunTime("long", "k", time.Minute, 20*time.Second)
	}
	short := p.Predict(start, Query{Job: "1", Team: "short", Kind: "k", DeclaredRunTime: time.Minute}).Sub(start)
	long := p.Predict(start, Query{Job: "2", Team: "long", Kind: "k", DeclaredRunTime: time.Minute}).Sub(start)
	if got, want := float64(short)/float64(long), 9.0; math.Abs(got-want) > 2 {
		t.Errorf("got a ratio of %.1f between the dates, want about %.0f", got, want)
	}
}

// Guards against dates that count as open for ever and against counting cancelled jobs.
func TestMissedAndRemoved(t *testing.T) {
	p, _ := New()
	date := p.Predict(start, Query{Job: "late", DeclaredRunTime: time.Minute})
	p.Predict(start, Query{Job: "cancelled", DeclaredRunTime: time.Minute})
	p.Remove("cancelled")
	before := p.level
	p.MarkMissed(date.Add(time.Second))
	once := p.level
	p.MarkMissed(date.Add(time.Minute))
	p.JobFinished(date.Add(time.Hour), "late")
	p.JobFinished(date.Add(time.Hour), "unknown")
	if once <= before || p.level != once {
		t.Errorf("got levels %v, %v, %v, want one rise for one missed date", before, once, p.level)
	}
	if _, err := New(WithConfidence(1)); !Error.Has(err) {
		t.Errorf("got %v, want an error for a confidence of 1", err)
	}
}
