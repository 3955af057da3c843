// Package pacer keeps serving tasks below their latency targets: it learns which fill tasks slow which
// serving tasks down, and decides at which share of their speed fill tasks may work. It is pure decision
// code, made for fill tasks that come and go within seconds beside serving tasks whose load swings.
//
// The model is that of a queue: the tail latency is in inverse proportion to what the load and the fill
// tasks leave of a serving task's speed. Latencies are turned into that utilisation, in which the effects of
// fill tasks add up; as latencies they do not, since the last few percent multiply them.
package pacer

import "math"

const (
	// priorEffect is what is expected of a pair of images that was not seen together, as utilisation for
	// each whole worker that the fill tasks use, and priorDeviation the doubt about it.
	priorEffect    = 1.0
	priorDeviation = 1.2
	// priorLoad is the utilisation by a serving task's own load that is expected at first.
	priorLoad = 0.4
	// loadDeviation is by how much the load moves from one sample to the next, and noise the spread of a
	// sample.
	loadDeviation = 0.12
	noise         = 0.07
	// drift is by how much the variance of an effect grows with each sample, since effects change.
	drift = 0.0005
	// maxUtilisation bounds a sample: beyond it, latencies say only that it is too much.
	maxUtilisation = 0.96
	// idleShare is the latency of an idle serving task as a part of the lowest one seen.
	idleShare = 0.8
	// priorLowest is the lowest latency that is expected at first, as a part of the target.
	priorLowest = 0.3
	// optimism is how many deviations below the estimate an effect is taken to be when a task is placed, so
	// that an image that was blamed for the effect of another is tried again.
	optimism = 0.5
)

// Interference holds what was learned of pairs of images: a Kalman filter with one coefficient for each pair and
// no correlations. It is not safe for concurrent use.
type Interference struct {
	// lowest holds the lowest latency of each serving image, as a part of the target.
	lowest map[string]float64
	pairs  map[pair]*effect
}

type pair struct {
	serving string
	fill    string
}

// effect is by how much the utilisation of a serving image rises if the tasks of a fill image use the whole
// worker.
type effect struct {
	mean     float64
	variance float64
}

// NewInterference returns Effects that know nothing.
func NewInterference() *Interference {
	return &Interference{lowest: map[string]float64{}, pairs: map[pair]*effect{}}
}

// of returns the estimated effect of a fill image on a serving image.
func (effects *Interference) of(serving, fill string) float64 {
	if learned, known := effects.pairs[pair{serving: serving, fill: fill}]; known {
		return learned.mean
	}
	return priorEffect
}

// hoped returns the effect that is assumed when a task is placed.
func (effects *Interference) hoped(serving, fill string) float64 {
	learned, known := effects.pairs[pair{serving: serving, fill: fill}]
	if !known {
		return priorEffect
	}
	return max(0, learned.mean-optimism*math.Sqrt(learned.variance))
}

func (effects *Interference) learned(serving, fill string) *effect {
	key := pair{serving: serving, fill: fill}
	learned := effects.pairs[key]
	if learned == nil {
		learned = &effect{mean: priorEffect, variance: priorDeviation * priorDeviation}
		effects.pairs[key] = learned
	}
	return learned
}

// utilisation turns a latency into the utilisation that explains it, from 0 to maxUtilisation.
func (effects *Interference) utilisation(serving ServingSample) float64 {
	lowest, known := effects.lowest[serving.Image]
	if !known {
		lowest = priorLowest
	}
	if lowest = min(lowest, serving.Ratio); lowest > 0 {
		effects.lowest[serving.Image] = lowest
	}
	return effects.at(serving.Image, serving.Ratio)
}

// at returns the utilisation at which the latency of a serving image is a given part of the target.
func (effects *Interference) at(image string, ratio float64) float64 {
	lowest, known := effects.lowest[image]
	if !known {
		lowest = priorLowest
	}
	return min(max(0, 1-idleShare*lowest/ratio), maxUtilisation)
}

// learn takes the utilisation of a serving task and what the fill images beside it used of the worker. It
// returns the corrected load of the serving task itself.
func (effects *Interference) learn(image string, load, utilisation float64, usage map[string]float64) float64 {
	predicted, spread := load, loadDeviation*loadDeviation+noise*noise
	for fill, used := range usage {
		learned := effects.learned(image, fill)
		learned.variance = min(learned.variance+drift, priorDeviation*priorDeviation)
		predicted += learned.mean * used
		spread += learned.variance * used * used
	}
	failure := utilisation - predicted
	if utilisation >= maxUtilisation && failure < 0 {
		return load // The sample is cut off and does not contradict the prediction.
	}
	for fill, used := range usage {
		learned := effects.learned(image, fill)
		gain := learned.variance * used / spread
		learned.mean = max(0, learned.mean+gain*failure)
		learned.variance = max(0, learned.variance*(1-gain*used))
	}
	return min(max(0, load+failure*loadDeviation*loadDeviation/spread), 1)
}
