package pacer

import "github.com/crocusplank/crocusplank/pkg/scheduler"

const (
	// fullShare and noShare are the bounds of the share of an attempt, in percent.
	fullShare = 100
	noShare   = 0
	// slowShare is the share of fill tasks that are blamed for a latency above the target.
	slowShare = 25
	// calmRatio is the latency below which fill tasks may speed up again, and highRatio the one above which
	// they slow down, as parts of the target. Between the two the shares stay.
	calmRatio = 0.7
	highRatio = 0.9
	// calmSamples is how many calm samples in succession let fill tasks speed up by one level.
	calmSamples = 2
	// blamed is the part of the largest blame from which a fill task shares it.
	blamed = 0.2
)

// level is how strictly the fill tasks of a worker are held back.
type level int

const (
	// levelFree lets all fill tasks work at full speed.
	levelFree level = iota
	// levelSlow slows down those that are blamed.
	levelSlow
	// levelHold stops those that are blamed and slows down the others.
	levelHold
	// levelStop stops all.
	levelStop
)

// Fill is a fill task on a worker.
type Fill struct {
	Run   scheduler.RunID
	Image string
	// Usage is the part of the worker's processors that the task uses.
	Usage float64
}

// Sample is one look at a worker.
type Sample struct {
	Serving []Serving
	Fill    []Fill
}

// usage returns what each fill image uses of the worker.
func (sample Sample) usage() map[string]float64 {
	usage := map[string]float64{}
	for _, fill := range sample.Fill {
		usage[fill.Image] += fill.Usage
	}
	return usage
}

// worst returns the highest latency as a part of the target.
func (sample Sample) worst() Serving {
	var worst Serving
	for _, serving := range sample.Serving {
		if serving.Ratio > worst.Ratio {
			worst = serving
		}
	}
	return worst
}

// Pace decides about the fill tasks of one worker. The zero value is ready to use. It is not safe for
// concurrent use.
type Pace struct {
	level level
	calm  int
	// culprit is the serving image that was above its target last.
	culprit string
}

// Held reports whether fill tasks on the worker are held back, so that no further ones should be placed.
func (pace *Pace) Held() bool { return pace.level > levelFree }

// Decide learns from a sample and returns the share in percent at which each fill task may work. The
// level rises with each sample above the target, so that a serving task is above it for no longer than a
// few samples, whoever is to blame.
func (pace *Pace) Decide(sample Sample, pressures *Pressures) map[scheduler.RunID]int {
	usage := sample.usage()
	for _, serving := range sample.Serving {
		pressures.Learn(serving, usage)
	}
	worst := sample.worst()
	switch {
	case worst.Ratio > highRatio && len(sample.Fill) > 0:
		pace.level, pace.calm, pace.culprit = min(pace.level+1, levelStop), 0, worst.Image
	case worst.Ratio > calmRatio:
		pace.calm = 0
	case pace.level > levelFree:
		pace.relax()
	}
	return pace.shares(sample, pressures)
}

func (pace *Pace) relax() {
	pace.calm++
	if pace.calm >= calmSamples {
		pace.level, pace.calm = pace.level-1, 0
	}
}

// shares returns the share of each fill task at the current level.
func (pace *Pace) shares(sample Sample, pressures *Pressures) map[scheduler.RunID]int {
	largest := 0.0
	for _, fill := range sample.Fill {
		largest = max(largest, pressures.Pair(pace.culprit, fill.Image))
	}
	shares := make(map[scheduler.RunID]int, len(sample.Fill))
	for _, fill := range sample.Fill {
		guilty := pressures.Pair(pace.culprit, fill.Image) >= blamed*largest
		shares[fill.Run] = pace.level.share(guilty)
	}
	return shares
}

func (level level) share(guilty bool) int {
	switch {
	case level == levelFree:
		return fullShare
	case level == levelStop, level == levelHold && guilty:
		return noShare
	case level == levelHold, guilty:
		return slowShare
	}
	return fullShare
}
