package pacer

import "math"

// Accuracy compares the predictions of an Interference with the samples that followed them.
type Accuracy struct {
	samples, aboveTarget, aboveTargetBesideFill int
	// predicted counts the samples beside fill tasks. The sums are over these.
	predicted                  int
	errorSum, absoluteErrorSum float64
	missed, falseAlarms        int
}

// Samples returns the number of samples of serving tasks.
func (accuracy *Accuracy) Samples() int { return accuracy.samples }

// AboveTarget returns the number of samples above the latency target.
func (accuracy *Accuracy) AboveTarget() int { return accuracy.aboveTarget }

// AboveTargetBesideFill returns the number of samples above the target while fill tasks used CPU on the same worker.
func (accuracy *Accuracy) AboveTargetBesideFill() int { return accuracy.aboveTargetBesideFill }

// Predicted returns the number of samples beside fill tasks, whose utilisation was predicted from the usage of these.
func (accuracy *Accuracy) Predicted() int { return accuracy.predicted }

// Missed returns the number of samples above the target that were predicted below it.
func (accuracy *Accuracy) Missed() int { return accuracy.missed }

// FalseAlarms returns the number of samples below the target that were predicted above it.
func (accuracy *Accuracy) FalseAlarms() int { return accuracy.falseAlarms }

// Bias returns the mean of observed minus predicted utilisation, or 0 without predicted samples.
func (accuracy *Accuracy) Bias() float64 {
	return accuracy.errorSum / float64(max(1, accuracy.predicted))
}

// MeanAbsoluteError returns the mean absolute error of the predicted utilisation, or 0 without predicted samples.
func (accuracy *Accuracy) MeanAbsoluteError() float64 {
	return accuracy.absoluteErrorSum / float64(max(1, accuracy.predicted))
}

// record adds a sample. limit is the utilisation at the latency target.
func (accuracy *Accuracy) record(ratio, predicted, observed, limit float64, besideFill bool) {
	accuracy.samples++
	above := ratio > 1
	if above {
		accuracy.aboveTarget++
	}
	if !besideFill {
		return
	}
	if above {
		accuracy.aboveTargetBesideFill++
	}
	accuracy.predicted++
	accuracy.errorSum += observed - predicted
	accuracy.absoluteErrorSum += math.Abs(observed - predicted)
	switch {
	case above && predicted <= limit:
		accuracy.missed++
	case !above && predicted > limit:
		accuracy.falseAlarms++
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
