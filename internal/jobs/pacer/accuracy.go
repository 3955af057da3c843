package pacer

import "math"

// Accuracy compares the predictions of an Interference with the samples that followed them.
type Accuracy struct {
	// Samples counts the samples of serving tasks, AboveTarget those above the latency target, and AboveTargetBesideFill
	// those above it while fill tasks used CPU on the same worker.
	Samples, AboveTarget, AboveTargetBesideFill int
	// Predicted counts the samples beside fill tasks, whose utilisation was predicted from theirs.
	Predicted int
	// errorSum and absoluteErrorSum are sums over the predicted samples.
	errorSum, absoluteErrorSum float64
	// Missed counts the samples above the target that were predicted below it, False the reverse.
	Missed, False int
}

// Bias returns the mean of observed minus predicted utilisation, or 0 without predicted samples.
func (accuracy *Accuracy) Bias() float64 {
	return accuracy.errorSum / float64(max(1, accuracy.Predicted))
}

// MeanAbsoluteError returns the mean absolute error of the predicted utilisation, or 0 without predicted samples.
func (accuracy *Accuracy) MeanAbsoluteError() float64 {
	return accuracy.absoluteErrorSum / float64(max(1, accuracy.Predicted))
}

// record adds a sample. limit is the utilisation at the latency target.
func (accuracy *Accuracy) record(ratio, predicted, observed, limit float64, besideFill bool) {
	accuracy.Samples++
	above := ratio > 1
	if above {
		accuracy.AboveTarget++
	}
	if !besideFill {
		return
	}
	if above {
		accuracy.AboveTargetBesideFill++
	}
	accuracy.Predicted++
	accuracy.errorSum += observed - predicted
	accuracy.absoluteErrorSum += math.Abs(observed - predicted)
	switch {
	case above && predicted <= limit:
		accuracy.Missed++
	case !above && predicted > limit:
		accuracy.False++
	}
}

// TakeAccuracy returns the accuracy since the previous call.
func (interference *Interference) TakeAccuracy() Accuracy {
	accuracy := interference.accuracy
	interference.accuracy = Accuracy{}
	return accuracy
}

// recordAccuracy compares a sample with the prediction from the estimates before it.
func (interference *Interference) recordAccuracy(
	serving ServingSample, load, utilisation float64, usage map[string]float64,
) {
	predicted, used := load, 0.0
	for fill, fraction := range usage {
		predicted += interference.estimate(serving.Image, fill) * fraction
		used += fraction
	}
	interference.accuracy.record(serving.Ratio, min(predicted, maxUtilisation), utilisation,
		interference.utilisationAt(serving.Image, 1), used > 0)
}
