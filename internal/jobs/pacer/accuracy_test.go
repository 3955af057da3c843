package pacer

import (
	"math"
	"testing"
)

// Guards against an accuracy that counts samples without fill tasks as predictions, or a miss as a false alarm.
func TestAccuracyCountsPredictions(t *testing.T) {
	const limit = 0.7
	tests := map[string]struct {
		ratio, predicted, observed float64
		besideFill                 bool
		want                       Accuracy
	}{
		"withoutFill": {ratio: 1.2, predicted: 0.4, observed: 0.8, want: Accuracy{samples: 1, aboveTarget: 1}},
		"missed": {ratio: 1.2, predicted: 0.6, observed: 0.8, besideFill: true, want: Accuracy{
			samples: 1, aboveTarget: 1, aboveTargetBesideFill: 1, predicted: 1, missed: 1,
			errorSum: 0.2, absoluteErrorSum: 0.2,
		}},
		"falseAlarm": {ratio: 0.8, predicted: 0.8, observed: 0.6, besideFill: true, want: Accuracy{
			samples: 1, predicted: 1, falseAlarms: 1, errorSum: -0.2, absoluteErrorSum: 0.2,
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got Accuracy
			got.record(test.ratio, test.predicted, test.observed, limit, test.besideFill)
			if math.Abs(got.Bias()-test.want.Bias()) > 1e-9 || math.Abs(got.MeanAbsoluteError()-test.want.MeanAbsoluteError()) > 1e-9 {
				t.Errorf("got bias %g, error %g, want %g, %g", got.Bias(), got.MeanAbsoluteError(), test.want.Bias(), test.want.MeanAbsoluteError())
			}
			got.errorSum, got.absoluteErrorSum = test.want.errorSum, test.want.absoluteErrorSum
			if got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
