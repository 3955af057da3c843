package forecaster

import (
	"math"
	"slices"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// significantDigits is the precision of the histograms. With one digit a value is off by at most 7%, and a
	// histogram takes about 2 KB; two digits would take ten times as much.
	significantDigits = 1
	// observationWeight is the count by which one observation increases a histogram. It exceeds 1 so that an
	// observation loses its influence in several steps when the counts are halved.
	observationWeight = 64
	// maxWeight is the total count at which all counts are halved. A distribution thus follows the most recent few
	// hundred observations.
	maxWeight = 512 * observationWeight
	// minWeight is the total count from which a distribution is used for predictions.
	minWeight = 8 * observationWeight
	// minTailWeight is the count above a value from which the recorded values describe the tail beyond it.
	minTailWeight = 2 * observationWeight
	// tailIndex is the index of the Pareto distribution that continues the tail beyond the recorded values. Its mean is
	// finite and its variance infinite, which is common for run times of batch work.
	tailIndex = 1.5
)

// distribution is the distribution of positive values of which older ones lose their influence.
type distribution struct {
	histogram *hdrhistogram.Histogram
	// brackets is the cumulative distribution at its last computation, and pending the count added since then.
	brackets []bracket
	pending  int64
}

// bracket is the middle of a range of values and the total count up to the end of the range. Both are small, because
// values and weights are bounded.
type bracket struct {
	value      int32
	cumulative int32
}

// newDistribution returns an empty distribution of values from 1 to limit.
func newDistribution(limit int64) *distribution {
	return &distribution{histogram: hdrhistogram.New(1, limit, significantDigits)}
}

// add records an observation. Values outside the range count as its nearest end.
func (distribution *distribution) add(value, weight int64) {
	value = min(max(value, 1), distribution.histogram.HighestTrackableValue())
	if err := distribution.histogram.RecordValues(value, weight); err != nil {
		return // Unreachable, because the value is in range.
	}
	distribution.pending += weight
	if distribution.weight() >= maxWeight {
		distribution.halve()
	}
}

// halve halves all counts.
func (distribution *distribution) halve() {
	snapshot := distribution.histogram.Export()
	for position := range snapshot.Counts {
		snapshot.Counts[position] /= 2
	}
	distribution.histogram = hdrhistogram.Import(snapshot)
	distribution.brackets = nil
}

func (distribution *distribution) weight() int64 {
	if distribution == nil {
		return 0
	}
	return distribution.histogram.TotalCount()
}

// isUsable reports whether enough values have been recorded for predictions.
func (distribution *distribution) isUsable() bool { return distribution.weight() >= minWeight }

// quantile returns a quantile of the recorded values.
func (distribution *distribution) quantile(quantile float64) float64 {
	brackets := distribution.cumulative()
	return valueAt(brackets, quantile*totalOf(brackets))
}

// spread returns by which factor the values vary, or infinity if too few have been recorded.
func (distribution *distribution) spread() float64 {
	if !distribution.isUsable() {
		return math.Inf(1)
	}
	return distribution.quantile(upperQuartile) / distribution.quantile(lowerQuartile)
}

const (
	lowerQuartile = 0.25
	upperQuartile = 0.75
)

// remaining returns a quantile of the difference between a value and threshold, given that the value exceeds threshold.
func (distribution *distribution) remaining(threshold, quantile float64) float64 {
	brackets := distribution.cumulative()
	total, below := totalOf(brackets), weightUpTo(brackets, threshold)
	if total-below < minTailWeight {
		return tailExcess(threshold, quantile)
	}
	value := valueAt(brackets, below+quantile*(total-below))
	return max(value-threshold, 0)
}

// tailExcess returns a quantile of the difference between a value and threshold where no recorded values describe it.
func tailExcess(threshold, quantile float64) float64 {
	quantile = min(max(quantile, 0), maxQuantile)
	return threshold * (math.Pow(1-quantile, -1/tailIndex) - 1)
}

// maxQuantile bounds the quantiles of a tail that has no end.
const maxQuantile = 0.999

// valueAt returns the value at which the cumulative count reaches target.
func valueAt(brackets []bracket, target float64) float64 {
	position := sort.Search(len(brackets), func(position int) bool {
		return float64(brackets[position].cumulative) >= target
	})
	return float64(brackets[min(position, len(brackets)-1)].value)
}

// weightUpTo returns the count of the values up to threshold.
func weightUpTo(brackets []bracket, threshold float64) float64 {
	position := sort.Search(len(brackets), func(position int) bool {
		return float64(brackets[position].value) > threshold
	})
	if position == 0 {
		return 0
	}
	return float64(brackets[position-1].cumulative)
}

// totalOf returns the count of all values.
func totalOf(brackets []bracket) float64 { return float64(brackets[len(brackets)-1].cumulative) }

// staleDivisor sets the part of all counts that may be missing from a cumulative distribution: one in staleDivisor.
const staleDivisor = 32

// cumulative returns the cumulative distribution without, at most, the last few values. It must not be called while
// nothing is recorded.
func (distribution *distribution) cumulative() []bracket {
	if distribution.brackets != nil && distribution.pending*staleDivisor <= distribution.weight() {
		return distribution.brackets
	}
	distribution.rebuild()
	return distribution.brackets
}

// rebuild computes the cumulative distribution.
func (distribution *distribution) rebuild() {
	var brackets []bracket
	var total int64
	for _, bar := range distribution.histogram.Distribution() {
		if bar.Count > 0 {
			total += bar.Count
			brackets = append(brackets, bracket{value: int32((bar.From + bar.To) / 2), cumulative: int32(total)})
		}
	}
	distribution.brackets, distribution.pending = slices.Clip(brackets), 0
}
