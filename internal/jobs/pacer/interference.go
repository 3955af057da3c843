// Package pacer keeps serving tasks below their latency targets. It learns which fill tasks slow down which serving
// tasks and limits the CPU share of fill tasks accordingly. It contains only decision logic. It is meant for fill tasks
// that start and end within seconds next to serving tasks whose load fluctuates.
//
// The model is that of a queue: the tail latency is inversely proportional to the part of a serving task's speed that
// its own load and the fill tasks leave unused. Latencies are converted to this utilisation, because the effects of fill
// tasks add up as utilisations but not as latencies: close to full utilisation, a small increase multiplies the latency.
package pacer

import "math"

const (
	// priorMean is the assumed effect for a pair of images that has not been observed together, as the utilisation
	// of the serving image per whole worker that the fill tasks use. priorDeviation is its standard deviation.
	priorMean      = 1.0
	priorDeviation = 1.2
	// priorLoad is the initial estimate of the utilisation of a serving task by its own load.
	priorLoad = 0.4
	// loadDeviation is the standard deviation of the change of the load between two samples, measurementDeviation that
	// of a sample.
	loadDeviation        = 0.12
	measurementDeviation = 0.07
	// processVariance is added to the variance of an effect with each sample, because effects change over time.
	processVariance = 0.0005
	// maxUtilisation is the upper limit of a utilisation that is derived from a latency. Beyond it, latencies show only
	// that the task is overloaded.
	maxUtilisation = 0.96
	// idleRatio is the assumed latency of an idle serving task relative to the lowest observed latency.
	idleRatio = 0.8
	// priorLowestRatio is the initial estimate of the lowest latency, relative to the target.
	priorLowestRatio = 0.3
	// optimism is the number of standard deviations by which an effect is assumed to be below its estimate when a task
	// is placed. An image to which the effect of another one was attributed is thereby tried again.
	optimism = 0.5
)

// Interference is the estimated effect of fill images on serving images. The estimator is a Kalman filter with one
// coefficient per pair of images and no correlations. It is not safe for concurrent use.
type Interference struct {
	// lowestRatio is the lowest observed latency of each serving image, relative to the target.
	lowestRatio  map[string]float64
	coefficients map[imagePair]*coefficient
	accuracy     Accuracy
}

type imagePair struct {
	serving string
	fill    string
}

// coefficient is the estimated increase of the utilisation of a serving image if the tasks of a fill image use the whole
// worker.
type coefficient struct {
	mean     float64
	variance float64
}

// NewInterference returns an Interference without any observations.
func NewInterference() *Interference {
	return &Interference{lowestRatio: map[string]float64{}, coefficients: map[imagePair]*coefficient{}}
}

// estimate returns the estimated effect of a fill image on a serving image, or priorMean if it is unknown.
func (interference *Interference) estimate(serving, fill string) float64 {
	if entry, known := interference.coefficients[imagePair{serving: serving, fill: fill}]; known {
		return entry.mean
	}
	return priorMean
}

// optimisticEstimate returns the effect that is assumed when a task is placed, see optimism.
func (interference *Interference) optimisticEstimate(serving, fill string) float64 {
	entry, known := interference.coefficients[imagePair{serving: serving, fill: fill}]
	if !known {
		return priorMean
	}
	return max(0, entry.mean-optimism*math.Sqrt(entry.variance))
}

func (interference *Interference) entry(serving, fill string) *coefficient {
	key := imagePair{serving: serving, fill: fill}
	entry := interference.coefficients[key]
	if entry == nil {
		entry = &coefficient{mean: priorMean, variance: priorDeviation * priorDeviation}
		interference.coefficients[key] = entry
	}
	return entry
}

// observeLatency updates the lowest observed latency and converts the latency of a sample to a utilisation from 0 to
// maxUtilisation.
func (interference *Interference) observeLatency(serving ServingSample) float64 {
	lowest, known := interference.lowestRatio[serving.Image]
	if !known {
		lowest = priorLowestRatio
	}
	if lowest = min(lowest, serving.Ratio); lowest > 0 {
		interference.lowestRatio[serving.Image] = lowest
	}
	return interference.utilisationAt(serving.Image, serving.Ratio)
}

// utilisationAt returns the utilisation at which the latency of a serving image has the given ratio to its target.
func (interference *Interference) utilisationAt(image string, ratio float64) float64 {
	lowest, known := interference.lowestRatio[image]
	if !known {
		lowest = priorLowestRatio
	}
	return min(max(0, 1-idleRatio*lowest/ratio), maxUtilisation)
}

// update updates the effects on a serving image from the utilisation of a serving task and the CPU usage of each fill
// image on the same worker. load is the estimated utilisation by the task's own load; update returns its corrected
// value.
func (interference *Interference) update(image string, load, utilisation float64, usage map[string]float64) float64 {
	predicted, innovationVariance := load, loadDeviation*loadDeviation+measurementDeviation*measurementDeviation
	for fill, used := range usage {
		entry := interference.entry(image, fill)
		entry.variance = min(entry.variance+processVariance, priorDeviation*priorDeviation)
		predicted += entry.mean * used
		innovationVariance += entry.variance * used * used
	}
	innovation := utilisation - predicted
	if utilisation >= maxUtilisation && innovation < 0 {
		return load // The sample is capped, so it does not contradict a higher prediction.
	}
	for fill, used := range usage {
		entry := interference.entry(image, fill)
		gain := entry.variance * used / innovationVariance
		entry.mean = max(0, entry.mean+gain*innovation)
		entry.variance = max(0, entry.variance*(1-gain*used))
	}
	return min(max(0, load+innovation*loadDeviation*loadDeviation/innovationVariance), 1)
}
