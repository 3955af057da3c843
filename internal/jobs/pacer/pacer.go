package pacer

import (
	"cmp"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// fullShare is the share of an attempt that is not held back, in percent.
	fullShare = 100
	// shareStep is the smallest change of a share, in percent: each change is an order to the worker.
	shareStep = 20
	// limitRatio is the latency, as a part of the target, to which fill tasks may bring a serving task.
	limitRatio = 0.92
	// placeRatio is the same for a further fill task, which stays while the load may rise.
	placeRatio = 0.8
	// calmRatio is the latency below which fill tasks work again after all were stopped.
	calmRatio = 0.75
	// stopAfter is after how many samples in succession above the target all fill tasks are stopped,
	// whatever was learned.
	stopAfter = 2
	// passes is how often the shares are reduced for the serving tasks in turn.
	passes = 3
)

// ServingSample is the latency of a serving task.
type ServingSample struct {
	Run   scheduler.RunID
	Image string
	// Ratio is the tail latency as a part of the target, more than 0.
	Ratio float64
}

// FillSample is a fill task on a worker.
type FillSample struct {
	Run   scheduler.RunID
	Image string
	// Usage is the part of the worker's processors that the task used, and Wanted what it would use at full
	// speed.
	Usage   float64
	Demand float64
	// Share is the share at which it works, in percent.
	Share int
}

// Sample is one look at a worker.
type Sample struct {
	Serving []ServingSample
	Fill    []FillSample
}

// Pacer decides about the fill tasks of one worker. The zero value is ready to use. It is not safe for
// concurrent use.
type Pacer struct {
	// tasks holds the serving tasks with the utilisation by their own load.
	tasks map[scheduler.RunID]servingTask
	// above counts the samples in succession with a latency above the target.
	above   int
	stopped bool
}

type servingTask struct {
	image string
	load  float64
}

// Decide learns from a sample and returns the share in percent at which each fill task may work.
func (pace *Pacer) Decide(sample Sample, effects *Interference) map[scheduler.RunID]int {
	pace.observe(sample, effects)
	shares := make([]float64, len(sample.Fill))
	for position := range shares {
		shares[position] = 1
	}
	if pace.stopped {
		clear(shares)
	} else {
		pace.reduce(sample.Fill, shares, effects)
	}
	decided := make(map[scheduler.RunID]int, len(shares))
	for position, fill := range sample.Fill {
		decided[fill.Run] = round(shares[position], fill.Share)
	}
	return decided
}

// observe brings the loads, the effects and the emergency stop up to date.
func (pace *Pacer) observe(sample Sample, effects *Interference) {
	usage := map[string]float64{}
	for _, fill := range sample.Fill {
		usage[fill.Image] += fill.Usage
	}
	tasks := make(map[scheduler.RunID]servingTask, len(sample.Serving))
	worst := 0.0
	for _, serving := range sample.Serving {
		load := priorLoad
		if known, found := pace.tasks[serving.Run]; found {
			load = known.load
		}
		load = effects.learn(serving.Image, load, effects.utilisation(serving), usage)
		tasks[serving.Run] = servingTask{image: serving.Image, load: load}
		worst = max(worst, serving.Ratio)
	}
	pace.tasks = tasks
	switch {
	case worst > 1:
		pace.above++
	default:
		pace.above = 0
	}
	switch {
	case pace.above >= stopAfter:
		pace.stopped = true
	case worst < calmRatio:
		pace.stopped = false
	}
}

// reduce lowers the shares of the fill tasks with the largest effects until every serving task is expected
// below the limit.
func (pace *Pacer) reduce(fills []FillSample, shares []float64, effects *Interference) {
	for range passes {
		reduced := false
		for _, serving := range pace.tasks {
			reduced = pace.reduceFor(serving, fills, shares, effects) || reduced
		}
		if !reduced {
			return
		}
	}
}

func (pace *Pacer) reduceFor(serving servingTask, fills []FillSample, shares []float64, effects *Interference) bool {
	excess := serving.load - effects.at(serving.image, limitRatio)
	order := make([]int, len(fills))
	for position, fill := range fills {
		order[position] = position
		excess += effects.of(serving.image, fill.Image) * fill.Demand * shares[position]
	}
	if excess <= 0 {
		return false
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(effects.of(serving.image, fills[b].Image), effects.of(serving.image, fills[a].Image)), cmp.Compare(a, b))
	})
	for _, position := range order {
		full := effects.of(serving.image, fills[position].Image) * fills[position].Demand
		if excess <= 0 || full <= 0 {
			break
		}
		taken := min(shares[position], excess/full)
		shares[position] -= taken
		excess -= taken * full
	}
	return true
}

// round turns a share into percent in whole steps. The present share stays when the difference is small.
func round(share float64, present int) int {
	percent := int(share * fullShare)
	if percent >= present && percent < present+shareStep && percent < fullShare {
		return present
	}
	return percent / shareStep * shareStep
}

// Forecast tells what further fill tasks would do to the serving tasks of a worker. It is made for one
// decision and is not safe for concurrent use.
type Forecast struct {
	effects *Interference
	stopped bool
	serving []expectation
}

// expectation is by how much a serving task is expected to exceed what fill tasks may bring it to.
type expectation struct {
	image  string
	excess float64
}

// ImageUsage is the part of a worker's processors that the fill tasks of an image use.
type ImageUsage struct {
	Image string
	Fraction  float64
}

// Forecast returns the forecast for a worker on which fill tasks use parts of it, nil without serving tasks.
func (pace *Pacer) Forecast(usage []ImageUsage, effects *Interference) *Forecast {
	if len(pace.tasks) == 0 {
		return nil
	}
	forecast := &Forecast{effects: effects, stopped: pace.stopped}
	for _, serving := range pace.tasks {
		forecast.note(serving)
	}
	for position := range forecast.serving {
		expected := &forecast.serving[position]
		expected.excess -= effects.at(expected.image, placeRatio)
		for _, fill := range usage {
			expected.excess += effects.hoped(expected.image, fill.Image) * fill.Fraction
		}
	}
	return forecast
}

// note takes over the load of a serving task. Of the tasks of an image, the one with the highest load decides.
func (forecast *Forecast) note(serving servingTask) {
	for position := range forecast.serving {
		if expected := &forecast.serving[position]; expected.image == serving.image {
			expected.excess = max(expected.excess, serving.load)
			return
		}
	}
	forecast.serving = append(forecast.serving, expectation{image: serving.image, excess: serving.load})
}

// Excess returns by how much the utilisation of a serving task is expected to exceed what a further fill task
// may bring it to, if that task uses a part of the worker. It is negative while there is room.
func (forecast *Forecast) Excess(image string, part float64) float64 {
	highest := -1.0
	for _, serving := range forecast.serving {
		highest = max(highest, serving.excess+forecast.effects.hoped(serving.image, image)*part)
	}
	if forecast.stopped {
		highest = max(highest, 1)
	}
	return highest
}

// Add counts a fill task as placed. A negative part takes it back.
func (forecast *Forecast) Add(image string, part float64) {
	for position := range forecast.serving {
		serving := &forecast.serving[position]
		serving.excess += forecast.effects.hoped(serving.image, image) * part
	}
}
