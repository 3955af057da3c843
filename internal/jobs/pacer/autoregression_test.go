package pacer

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	testSampleInterval = 280 * time.Millisecond
	testPeriod         = 10 * time.Second
)

// swingError plays tasks whose load swings by the given fraction, each with its own phase and mean. It returns the
// root mean square errors of the predicted load and of the assumption that the load stays as it is.
func swingError(swing float64, horizon time.Duration) (predictedError, constantError float64) {
	random := rand.New(rand.NewPCG(1, 2))
	model := &loadModel{}
	samples := 0
	for range 100 {
		phase, mean := random.Float64()*2*math.Pi, 0.3+0.2*random.Float64()
		load := func(at time.Duration) float64 {
			return mean * (1 + swing*math.Sin(2*math.Pi*float64(at)/float64(testPeriod)+phase))
		}
		history := loadHistory{}
		for at := testSampleInterval; at < 40*time.Second; at += testSampleInterval {
			observed := load(at) + 0.03*random.NormFloat64()
			change := model.predict(&history, observed, at)
			if at < 20*time.Second {
				continue
			}
			expected := change.pacing
			if horizon == placementHorizon*historyInterval {
				expected = model.placement.change(&history, observed)
			}
			samples++
			predictedError += math.Pow(load(at+horizon)-observed-expected, 2)
			constantError += math.Pow(load(at+horizon)-observed, 2)
		}
	}
	return math.Sqrt(predictedError / float64(samples)), math.Sqrt(constantError / float64(samples))
}

// Guards against fill tasks that are placed or throttled by a load that has changed by the time they run: with a swing
// of half in 10 s it changes by a quarter within a second and a half. The error of placement must be at most half of that
// without prediction. Half a second ahead, the noise of a sample is about as large as the change, so less is asked of it.
func TestSwingingLoadIsPredicted(t *testing.T) {
	tests := map[string]struct {
		horizon  time.Duration
		fraction float64
	}{
		"pacing":    {horizon: pacingHorizon * historyInterval, fraction: math.Sqrt(trustedError)},
		"placement": {horizon: placementHorizon * historyInterval, fraction: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, constant := swingError(0.5, test.horizon)
			if want := constant * test.fraction; got > want {
				t.Errorf("got error %.3f, want at most %.3f", got, want)
			}
		})
	}
}

// Guards against predictions that add error where the load is steady.
func TestSteadyLoadIsKept(t *testing.T) {
	got, constant := swingError(0, placementHorizon*historyInterval)
	if got > constant {
		t.Errorf("got error %.3f, want at most %.3f, that without prediction", got, constant)
	}
}

// Guards against a change of decisions for callers that give no time.
func TestNoPredictionWithoutTime(t *testing.T) {
	model, history := &loadModel{}, loadHistory{}
	for step := range 100 {
		if got, want := model.predict(&history, math.Sin(float64(step)), 0), (loadChange{}); got != want {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	}
}
