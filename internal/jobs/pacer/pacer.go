package pacer

import (
	"cmp"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// fullShare is the CPU share of an attempt that is not throttled, in percent.
	fullShare = 100
	// shareIncrement is the granularity of shares, in percent. It limits the number of changes, each of which requires
	// an order to the worker.
	shareIncrement = 20
	// maxRatio is the maximum latency of a serving task, relative to its target, that running fill tasks may cause.
	maxRatio = 0.92
	// maxPlacementRatio is the same limit for the placement of another fill task. It is lower because the task stays on
	// the worker when the load rises.
	maxPlacementRatio = 0.8
	// resumeRatio is the latency, relative to the target, below which fill tasks resume after an emergency stop.
	resumeRatio = 0.75
	// stopAfter is the number of consecutive samples above the target after which all fill tasks are stopped, regardless
	// of the estimates.
	stopAfter = 2
	// maxPasses limits how often the shares are reduced for all serving tasks in turn.
	maxPasses = 3
)

// ServingSample is the measured latency of a serving task.
type ServingSample struct {
	Run   scheduler.RunID
	Image string
	// Ratio is the tail latency relative to the target. It must be positive.
	Ratio float64
}

// FillSample is the measured CPU usage of a fill task.
type FillSample struct {
	Run   scheduler.RunID
	Image string
	// Usage is the fraction of the worker's CPU capacity that the task used, and Demand the fraction that it would use
	// without throttling.
	Usage  float64
	Demand float64
	// Share is the current CPU share of the task, in percent.
	Share int
}

// Sample is one set of measurements of the tasks on a worker.
type Sample struct {
	Serving []ServingSample
	Fill    []FillSample
}

// Pacer decides on the CPU shares of the fill tasks on one worker. The zero value is ready to use. It is not safe for
// concurrent use.
type Pacer struct {
	// tasks holds the serving tasks with the estimated utilisation by their own load.
	tasks map[scheduler.RunID]servingTask
	// samplesAboveTarget is the number of consecutive samples with a latency above the target.
	samplesAboveTarget int
	stopped            bool
}

type servingTask struct {
	image string
	load  float64
}

// Decide updates the estimates from a sample and returns the CPU share of each fill task, in percent.
func (pacer *Pacer) Decide(sample Sample, interference *Interference) map[scheduler.RunID]int {
	pacer.observe(sample, interference)
	shares := make([]float64, len(sample.Fill))
	for position := range shares {
		shares[position] = 1
	}
	if pacer.stopped {
		clear(shares)
	} else {
		pacer.reduce(sample.Fill, shares, interference)
	}
	decided := make(map[scheduler.RunID]int, len(shares))
	for position, fill := range sample.Fill {
		decided[fill.Run] = quantise(shares[position], fill.Share)
	}
	return decided
}

// observe updates the loads, the interference estimates and the emergency stop.
func (pacer *Pacer) observe(sample Sample, interference *Interference) {
	usage := map[string]float64{}
	for _, fill := range sample.Fill {
		usage[fill.Image] += fill.Usage
	}
	tasks := make(map[scheduler.RunID]servingTask, len(sample.Serving))
	worst := 0.0
	for _, serving := range sample.Serving {
		load := priorLoad
		if known, found := pacer.tasks[serving.Run]; found {
			load = known.load
		}
		utilisation := interference.observeLatency(serving)
		interference.recordAccuracy(serving, load, utilisation, usage)
		load = interference.update(serving.Image, load, utilisation, usage)
		tasks[serving.Run] = servingTask{image: serving.Image, load: load}
		worst = max(worst, serving.Ratio)
	}
	pacer.tasks = tasks
	switch {
	case worst > 1:
		pacer.samplesAboveTarget++
	default:
		pacer.samplesAboveTarget = 0
	}
	switch {
	case pacer.samplesAboveTarget >= stopAfter:
		pacer.stopped = true
	case worst < resumeRatio:
		pacer.stopped = false
	}
}

// reduce lowers the shares of the fill tasks with the largest effects until every serving task is predicted to stay
// below maxRatio.
func (pacer *Pacer) reduce(fills []FillSample, shares []float64, interference *Interference) {
	for range maxPasses {
		reduced := false
		for _, serving := range pacer.tasks {
			reduced = pacer.reduceFor(serving, fills, shares, interference) || reduced
		}
		if !reduced {
			return
		}
	}
}

func (pacer *Pacer) reduceFor(serving servingTask, fills []FillSample, shares []float64, interference *Interference) bool {
	excess := serving.load - interference.utilisationAt(serving.image, maxRatio)
	order := make([]int, len(fills))
	for position, fill := range fills {
		order[position] = position
		excess += interference.estimate(serving.image, fill.Image) * fill.Demand * shares[position]
	}
	if excess <= 0 {
		return false
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(interference.estimate(serving.image, fills[b].Image), interference.estimate(serving.image, fills[a].Image)),
			cmp.Compare(a, b),
		)
	})
	for _, position := range order {
		full := interference.estimate(serving.image, fills[position].Image) * fills[position].Demand
		if excess <= 0 || full <= 0 {
			break
		}
		reduction := min(shares[position], excess/full)
		shares[position] -= reduction
		excess -= reduction * full
	}
	return true
}

// quantise converts a share to percent, rounded down to a multiple of shareIncrement. The current share is kept if the
// difference is small.
func quantise(share float64, current int) int {
	percent := int(share * fullShare)
	if percent >= current && percent < current+shareIncrement && percent < fullShare {
		return current
	}
	return percent / shareIncrement * shareIncrement
}

// Forecast predicts the interference of additional fill tasks with the serving tasks on a worker. It is valid for one
// decision and not safe for concurrent use.
type Forecast struct {
	interference *Interference
	stopped      bool
	serving      []expectedExcess
}

// expectedExcess is the predicted utilisation of a serving image above the limit for placements.
type expectedExcess struct {
	image  string
	excess float64
}

// ImageUsage is the fraction of a worker's CPU capacity that the fill tasks of an image use.
type ImageUsage struct {
	Image    string
	Fraction float64
}

// Forecast returns the forecast for a worker with the given usage by fill tasks, or nil if there are no serving tasks.
func (pacer *Pacer) Forecast(usage []ImageUsage, interference *Interference) *Forecast {
	if len(pacer.tasks) == 0 {
		return nil
	}
	forecast := &Forecast{interference: interference, stopped: pacer.stopped}
	for _, serving := range pacer.tasks {
		forecast.addServing(serving)
	}
	for position := range forecast.serving {
		expected := &forecast.serving[position]
		expected.excess -= interference.utilisationAt(expected.image, maxPlacementRatio)
		for _, fill := range usage {
			expected.excess += interference.optimisticEstimate(expected.image, fill.Image) * fill.Fraction
		}
	}
	return forecast
}

// addServing adds the load of a serving task. Only the task with the highest load of each image counts.
func (forecast *Forecast) addServing(serving servingTask) {
	for position := range forecast.serving {
		if expected := &forecast.serving[position]; expected.image == serving.image {
			expected.excess = max(expected.excess, serving.load)
			return
		}
	}
	forecast.serving = append(forecast.serving, expectedExcess{image: serving.image, excess: serving.load})
}

// Excess returns the highest utilisation of a serving task above the limit for placements, as predicted for another
// fill task of the image that uses a fraction of the worker. It is negative if all serving tasks stay below the limit,
// and at least 1 during an emergency stop.
func (forecast *Forecast) Excess(image string, fraction float64) float64 {
	highest := -1.0
	for _, serving := range forecast.serving {
		highest = max(highest, serving.excess+forecast.interference.optimisticEstimate(serving.image, image)*fraction)
	}
	if forecast.stopped {
		highest = max(highest, 1)
	}
	return highest
}

// Add includes a fill task in the forecast. A negative fraction removes it again.
func (forecast *Forecast) Add(image string, fraction float64) {
	for position := range forecast.serving {
		serving := &forecast.serving[position]
		serving.excess += forecast.interference.optimisticEstimate(serving.image, image) * fraction
	}
}
