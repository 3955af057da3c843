// Package pacer keeps serving tasks below their latency targets: it learns which fill tasks slow which
// serving tasks down, and decides at which share of their speed fill tasks may work. It is pure decision
// code, made for fill tasks that come and go within seconds and whose effect on a serving task is between
// none and many times its target, depending on the two images.
package pacer

const (
	// priorPressure is what is expected of a pair of images that was not seen together: a fill task that
	// uses a tenth of the worker raises the latency by a third of the target.
	priorPressure = 3.0
	// priorBase is the latency without fill tasks that is expected at first, as a part of the target.
	priorBase = 0.4
	// learningRate is the share of a prediction's error that one sample corrects.
	learningRate = 0.5
	// baseRate is the same for the latency without fill tasks, which moves slowly.
	baseRate = 0.05
	// minUsage keeps fill tasks that use next to nothing from taking large blame.
	minUsage = 0.02
	// maxRatio bounds a sample, since a latency far above the target says no more than one above it.
	maxRatio = 8.0
)

// Serving is the latency of a serving task.
type Serving struct {
	Image string
	// Ratio is the tail latency as a part of the target.
	Ratio float64
}

// Pressures holds what was learned of pairs of images. It is not safe for concurrent use.
type Pressures struct {
	base map[string]float64
	// pairs holds, for a serving and a fill image, by how many targets the latency rises if the fill tasks
	// use the whole worker.
	pairs map[pair]float64
}

type pair struct {
	serving string
	fill    string
}

// NewPressures returns Pressures that know nothing.
func NewPressures() *Pressures {
	return &Pressures{base: map[string]float64{}, pairs: map[pair]float64{}}
}

// Pair returns the learned effect of a fill image on a serving image.
func (pressures *Pressures) Pair(serving, fill string) float64 {
	if learned, known := pressures.pairs[pair{serving: serving, fill: fill}]; known {
		return learned
	}
	return priorPressure
}

func (pressures *Pressures) baseOf(serving string) float64 {
	if learned, known := pressures.base[serving]; known {
		return learned
	}
	return priorBase
}

// Learn takes the latency of a serving task and what the fill images beside it used of the worker.
func (pressures *Pressures) Learn(serving Serving, usage map[string]float64) {
	ratio := min(serving.Ratio, maxRatio)
	predicted, squares := pressures.baseOf(serving.Image), 0.0
	for image, used := range usage {
		predicted += pressures.Pair(serving.Image, image) * used
		squares += used * used
	}
	if squares < minUsage*minUsage {
		base := pressures.baseOf(serving.Image)
		pressures.base[serving.Image] = base + baseRate*(ratio-base)
		return
	}
	failure := ratio - min(predicted, maxRatio)
	for image, used := range usage {
		key := pair{serving: serving.Image, fill: image}
		pressures.pairs[key] = max(0, pressures.Pair(serving.Image, image)+learningRate*failure*used/squares)
	}
}

// Expect returns the highest latency, as a part of the target, that the serving images on a worker are
// expected to have beside the given usage.
func (pressures *Pressures) Expect(serving []string, usage map[string]float64) float64 {
	highest := 0.0
	for _, image := range serving {
		expected := pressures.baseOf(image)
		for fill, used := range usage {
			expected += pressures.Pair(image, fill) * used
		}
		highest = max(highest, expected)
	}
	return highest
}
