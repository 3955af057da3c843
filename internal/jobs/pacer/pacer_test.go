package pacer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// simulation is a worker whose serving tasks behave like queues. A sample covers half a second.
type simulation struct {
	random *rand.Rand
	// truth is the effect of each fill image on the serving image.
	truth map[string]float64
	fills []FillSample
	time  int
	pace  Pacer
}

const (
	servingTasks  = 4
	idleLatency   = 0.22
	samplesPerRun = 10
)

// ratio returns the latency of a serving task, as a part of its target, at the present shares.
func (simulation *simulation) ratio(task int, fullSpeed bool) float64 {
	load := 0.42 + 0.2*math.Sin(float64(simulation.time)/4+float64(task))
	for _, fill := range simulation.fills {
		share := float64(fill.Share) / fullShare
		if fullSpeed {
			share = 1
		}
		load += simulation.truth[fill.Image] * fill.Demand * share
	}
	return idleLatency / max(1-load, 0.01) * (0.9 + 0.2*simulation.random.Float64())
}

// step lets half a second pass and returns the highest latency.
func (simulation *simulation) step(effects *Interference) float64 {
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
	shares := simulation.pace.Decide(sample, effects)
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

// Guards against a serving task that stays above its target, under a load of fill tasks that come and go
// beside serving tasks whose load swings, whatever the images are. Four seconds, eight samples, are the bound.
func TestServingTasksRecover(t *testing.T) {
	const bound = 8
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, seed))
		simulation := &simulation{random: random, truth: map[string]float64{"light": 0.1, "middle": 1, "heavy": 3, "heavier": 6}}
		effects := NewInterference()
		images := []string{"light", "middle", "heavy", "heavier"}
		above, longest := 0, 0
		for number := range 300 {
			if number%3 == 0 {
				simulation.addFill(images[random.IntN(len(images))], number)
			}
			if len(simulation.fills) > samplesPerRun {
				simulation.fills = simulation.fills[1:]
			}
			if simulation.step(effects) > 1 {
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

// Guards against images that are blamed for the effect of others, which then wait for nothing.
func TestEffectsAreToldApart(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	effects := NewInterference()
	truth := map[string]float64{"light": 0.1, "heavy": 2.5}
	for number := range 60 {
		simulation := &simulation{random: random, truth: truth, time: number}
		simulation.addFill("light", 0)
		if number%2 == 0 {
			simulation.addFill("heavy", 1)
		}
		for range 4 {
			simulation.step(effects)
		}
	}
	if light, heavy := effects.of("chart", "light"), effects.of("chart", "heavy"); light > 0.6 || heavy < 1.5 {
		t.Errorf("got effects of %.2f for light and %.2f for heavy, want about 0.1 and 2.5", light, heavy)
	}
}

// Guards against fill tasks that are held back although nothing is slow.
func TestHarmlessFillTasksWorkAtFullSpeed(t *testing.T) {
	simulation := &simulation{random: rand.New(rand.NewPCG(2, 2)), truth: map[string]float64{"light": 0}}
	effects := NewInterference()
	for number := range 4 {
		simulation.addFill("light", number)
	}
	for range 30 {
		simulation.step(effects)
	}
	for _, fill := range simulation.fills {
		if fill.Share != fullShare {
			t.Errorf("got a share of %d, want %d", fill.Share, fullShare)
		}
	}
}

// Guards against a fill task that is placed where serving tasks have no room, and against one that is refused
// where there is.
func TestForecast(t *testing.T) {
	tests := map[string]struct {
		load     float64
		stopped  bool
		usage    map[string]float64
		wantRoom bool
	}{
		"idle and harmless":    {load: 0.3, usage: map[string]float64{"light": 0.3}, wantRoom: true},
		"idle and harmful":     {load: 0.3, usage: map[string]float64{"heavy": 0.3}},
		"busy":                 {load: 0.75, usage: map[string]float64{"light": 0.1}},
		"emergency stop":       {load: 0.3, stopped: true, usage: map[string]float64{"light": 0.1}},
		"a little of a harmer": {load: 0.3, usage: map[string]float64{"heavy": 0.05}, wantRoom: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			effects := NewInterference()
			effects.pairs[pair{serving: "chart", fill: "light"}] = &effect{mean: 0.1}
			effects.pairs[pair{serving: "chart", fill: "heavy"}] = &effect{mean: 3}
			pace := Pacer{stopped: test.stopped, tasks: map[scheduler.RunID]servingTask{{}: {image: "chart", load: test.load}}}
			forecast := pace.Forecast(nil, effects)
			for image, part := range test.usage {
				if got := forecast.Excess(image, part) <= 0; got != test.wantRoom {
					t.Errorf("got room %v before it is placed, want %v", got, test.wantRoom)
				}
				forecast.Add(image, part)
			}
			if got := forecast.Excess("none", 0) <= 0; got != test.wantRoom {
				t.Errorf("got room %v, want %v", got, test.wantRoom)
			}
		})
	}
}

// Guards against an order for every small change of a share.
func TestRound(t *testing.T) {
	tests := map[string]struct {
		share   float64
		present int
		want    int
	}{
		"none": {0, 60, 0}, "full": {1, 60, 100}, "a little more": {0.7, 60, 60}, "a little less": {0.55, 60, 40}, "much less": {0.25, 100, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := round(test.share, test.present); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
	if got, want := fmt.Sprint(round(1, 0)), "100"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
