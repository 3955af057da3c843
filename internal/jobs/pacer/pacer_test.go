package pacer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// simulation simulates a worker whose serving tasks behave like queues. A sample covers half a second.
type simulation struct {
	random *rand.Rand
	// effects holds the true effect of each fill image on the serving image.
	effects map[string]float64
	fills   []FillSample
	time    int
	pacer   Pacer
}

const (
	servingTasks  = 4
	idleLatency   = 0.22
	samplesPerRun = 10
)

// ratio returns the latency of a serving task, relative to its target, at the current shares or at full speed.
func (simulation *simulation) ratio(task int, fullSpeed bool) float64 {
	load := 0.42 + 0.2*math.Sin(float64(simulation.time)/4+float64(task))
	for _, fill := range simulation.fills {
		share := float64(fill.Share) / fullShare
		if fullSpeed {
			share = 1
		}
		load += simulation.effects[fill.Image] * fill.Demand * share
	}
	return idleLatency / max(1-load, 0.01) * (0.9 + 0.2*simulation.random.Float64())
}

// step simulates half a second and returns the highest latency, relative to its target.
func (simulation *simulation) step(interference *Interference) float64 {
	simulation.time++
	worst := 0.0
	var sample Sample
	for task := range servingTasks {
		ratio := simulation.ratio(task, false)
		worst = max(worst, ratio)
		run := scheduler.RunID{Task: scheduler.StepTaskID{Job: "serving", Index: task}}
		sample.Serving = append(sample.Serving, ServingSample{Run: run, Image: "chart", Ratio: ratio})
	}
	for position := range simulation.fills {
		fill := &simulation.fills[position]
		fill.Usage = fill.Demand * float64(fill.Share) / fullShare
	}
	sample.Fill = simulation.fills
	shares := simulation.pacer.Decide(sample, interference)
	for position := range simulation.fills {
		simulation.fills[position].Share = shares[simulation.fills[position].Run]
	}
	return worst
}

// addFill starts a fill task.
func (simulation *simulation) addFill(image string, number int) {
	run := scheduler.RunID{Task: scheduler.StepTaskID{Job: "fill", Index: number}}
	simulation.fills = append(simulation.fills, FillSample{Run: run, Image: image, Demand: 0.1, Share: fullShare})
}

// Guards against a serving task whose latency stays above its target while fill tasks of any image start and end next to
// serving tasks with a fluctuating load. The limit is 4 s, which is eight samples.
func TestServingTasksRecover(t *testing.T) {
	const bound = 8
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, seed))
		simulation := &simulation{random: random, effects: map[string]float64{"light": 0.1, "middle": 1, "heavy": 3, "heavier": 6}}
		interference := NewInterference()
		images := []string{"light", "middle", "heavy", "heavier"}
		above, longest := 0, 0
		for number := range 300 {
			if number%3 == 0 {
				simulation.addFill(images[random.IntN(len(images))], number)
			}
			if len(simulation.fills) > samplesPerRun {
				simulation.fills = simulation.fills[1:]
			}
			if simulation.step(interference) > 1 {
				above++
			} else {
				above = 0
			}
			longest = max(longest, above)
		}
		if longest >= bound {
			t.Errorf("seed %d: got %d samples above the target in succession, want fewer than %d", seed, longest, bound)
		}
	}
}

// Guards against effects that are attributed to the wrong image, whose tasks then wait without need.
func TestInterferenceIsAttributedToTheRightImage(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	interference := NewInterference()
	effects := map[string]float64{"light": 0.1, "heavy": 2.5}
	for number := range 60 {
		simulation := &simulation{random: random, effects: effects, time: number}
		simulation.addFill("light", 0)
		if number%2 == 0 {
			simulation.addFill("heavy", 1)
		}
		for range 4 {
			simulation.step(interference)
		}
	}
	if light, heavy := interference.estimate("chart", "light"), interference.estimate("chart", "heavy"); light > 0.6 || heavy < 1.5 {
		t.Errorf("got effects of %.2f for light and %.2f for heavy, want about 0.1 and 2.5", light, heavy)
	}
}

// Guards against fill tasks that are throttled although all serving tasks meet their targets.
func TestHarmlessFillTasksWorkAtFullSpeed(t *testing.T) {
	simulation := &simulation{random: rand.New(rand.NewPCG(2, 2)), effects: map[string]float64{"light": 0}}
	interference := NewInterference()
	for number := range 4 {
		simulation.addFill("light", number)
	}
	for range 30 {
		simulation.step(interference)
	}
	for _, fill := range simulation.fills {
		if fill.Share != fullShare {
			t.Errorf("got a share of %d, want %d", fill.Share, fullShare)
		}
	}
}

// Guards against placing a fill task next to serving tasks that it would bring above their limit, and against rejecting
// one that would not.
func TestForecast(t *testing.T) {
	tests := map[string]struct {
		load     float64
		stopped  bool
		usage    map[string]float64
		wantFits bool
	}{
		"idle and harmless":   {load: 0.3, usage: map[string]float64{"light": 0.3}, wantFits: true},
		"idle and harmful":    {load: 0.3, usage: map[string]float64{"heavy": 0.3}},
		"busy":                {load: 0.75, usage: map[string]float64{"light": 0.1}},
		"emergency stop":      {load: 0.3, stopped: true, usage: map[string]float64{"light": 0.1}},
		"small harmful usage": {load: 0.3, usage: map[string]float64{"heavy": 0.05}, wantFits: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			interference := NewInterference()
			interference.coefficients[imagePair{serving: "chart", fill: "light"}] = &coefficient{mean: 0.1}
			interference.coefficients[imagePair{serving: "chart", fill: "heavy"}] = &coefficient{mean: 3}
			pacer := Pacer{stopped: test.stopped, tasks: map[scheduler.RunID]servingTask{{}: {image: "chart", load: test.load}}}
			forecast := pacer.Forecast(nil, interference)
			for image, fraction := range test.usage {
				if got := forecast.Excess(image, fraction) <= 0; got != test.wantFits {
					t.Errorf("got fits %v before the placement, want %v", got, test.wantFits)
				}
				forecast.Add(image, fraction)
			}
			if got := forecast.Excess("none", 0) <= 0; got != test.wantFits {
				t.Errorf("got below the limit %v, want %v", got, test.wantFits)
			}
		})
	}
}

// Guards against an order to the worker for every small change of a share.
func TestQuantise(t *testing.T) {
	tests := map[string]struct {
		share   float64
		current int
		want    int
	}{
		"none": {0, 60, 0}, "full": {1, 60, 100}, "slightly higher": {0.7, 60, 60}, "slightly lower": {0.55, 60, 40}, "much lower": {0.25, 100, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := quantise(test.share, test.current); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
	if got, want := fmt.Sprint(quantise(1, 0)), "100"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
