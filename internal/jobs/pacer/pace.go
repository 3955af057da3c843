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
	limitRatio = 0.85
	// placeRatio is the same for a further fill task, which stays while the load may rise.
	placeRatio = 0.7
	// calmRatio is the latency below which fill tasks work again after all were stopped.
	calmRatio = 0.75
	// stopAfter is after how many samples in succession above the target all fill tasks are stopped,
	// whatever was learned.
	stopAfter = 2
	// passes is how often the shares are reduced for the serving tasks in turn.
	passes = 3
)

// Serving is the latency of a serving task.
type Serving struct {
	Run   scheduler.RunID
	Image string
	// Ratio is the tail latency as a part of the target, more than 0.
	Ratio float64
}

// Fill is a fill task on a worker.
type Fill struct {
	Run   scheduler.RunID
	Image string
	// Used is the part of the worker's processors that the task used, and Wanted what it would use at full
	// speed.
	Used   float64
	Wanted float64
	// Share is the share at which it works, in percent.
	Share int
}

// Sample is one look at a worker.
type Sample struct {
	Serving []Serving
	Fill    []Fill
}

// Pace decides about the fill tasks of one worker. The zero value is ready to use. It is not safe for
// concurrent use.
type Pace struct {
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
func (pace *Pace) Decide(sample Sample, effects *Effects) map[scheduler.RunID]int {
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
func (pace *Pace) observe(sample Sample, effects *Effects) {
	usage := map[string]float64{}
	for _, fill := range sample.Fill {
		usage[fill.Image] += fill.Used
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
func (pace *Pace) reduce(fills []Fill, shares []float64, effects *Effects) {
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

func (pace *Pace) reduceFor(serving servingTask, fills []Fill, shares []float64, effects *Effects) bool {
	excess := serving.load - effects.at(serving.image, limitRatio)
	order := make([]int, len(fills))
	for position, fill := range fills {
		order[position] = position
		excess += effects.of(serving.image, fill.Image) * fill.Wanted * shares[position]
	}
	if excess <= 0 {
		return false
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(effects.of(serving.image, fills[b].Image), effects.of(serving.image, fills[a].Image)), cmp.Compare(a, b))
	})
	for _, position := range order {
		full := effects.of(serving.image, fills[position].Image) * fills[position].Wanted
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

// Expect returns by how much the utilisation of a serving task on the worker is expected to exceed what a
// further fill task may bring it to, beside fill tasks that use parts of the worker by image. It is negative
// while there is room.
func (pace *Pace) Expect(usage map[string]float64, effects *Effects) float64 {
	highest := -1.0
	for _, serving := range pace.tasks {
		expected := serving.load - effects.at(serving.image, placeRatio)
		for fill, used := range usage {
			expected += effects.hoped(serving.image, fill) * used
		}
		highest = max(highest, expected)
	}
	if pace.stopped {
		highest = max(highest, 1)
	}
	return highest
}
