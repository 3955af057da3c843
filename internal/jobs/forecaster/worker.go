package forecaster

import (
	"math"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// maxWorkers is the maximum number of workers whose speed is recorded.
	maxWorkers = 4096
	// workerEnds is the number of most recent ends from which the slowness of a worker is computed.
	workerEnds = 31
	// minWorkerEnds is the number of ends from which a worker's slowness is known.
	minWorkerEnds = 15
	// maxSlowness and its inverse bound the slowness of a worker.
	maxSlowness = 8
	// minFleet is the number of workers with enough ends from which workers are compared.
	minFleet = 3
	// fleetInterval is the number of ends after which the median of all workers is computed again.
	fleetInterval = 64
	// slowThreshold is the slowness from which a worker counts as slow.
	slowThreshold = 1.5
)

// workerSpeed holds the most recent ratios of run times on a worker to those predicted for a healthy worker. Their
// median ignores the few tasks that run long on every worker.
type workerSpeed struct {
	ratios []float32
	next   int
	// median is the median ratio, or 0 as long as too few are known.
	median float64
}

func (workerSpeed *workerSpeed) add(ratio float64) {
	bounded := float32(min(max(ratio, 1.0/maxSlowness), maxSlowness))
	if len(workerSpeed.ratios) < workerEnds {
		workerSpeed.ratios = append(workerSpeed.ratios, bounded)
	} else {
		workerSpeed.ratios[workerSpeed.next] = bounded
		workerSpeed.next = (workerSpeed.next + 1) % workerEnds
	}
	if len(workerSpeed.ratios) >= minWorkerEnds {
		workerSpeed.median = medianOf(slices.Clone(workerSpeed.ratios))
	}
}

// oldestFirst returns the ratios in the order in which they were added.
func (workerSpeed *workerSpeed) oldestFirst() []float32 {
	return slices.Concat(workerSpeed.ratios[workerSpeed.next:], workerSpeed.ratios[:workerSpeed.next])
}

// medianOf returns the median of the values, which it sorts.
func medianOf(values []float32) float64 {
	slices.Sort(values)
	return float64(values[len(values)/2])
}

// fleet compares the speed of workers. They are compared with each other, and not with the predictions, so that tasks
// that take longer on all workers change the predictions instead of making every worker look slow.
type fleet struct {
	workers *recencyMap[scheduler.WorkerName, *workerSpeed]
	// median is the median over the workers at the last computation, or 0 if too few were known. pending is the number
	// of ends since then.
	median  float64
	pending int
}

func newFleet() *fleet {
	return &fleet{workers: newRecencyMap[scheduler.WorkerName, *workerSpeed](maxWorkers)}
}

// add records the ratio of a run time on a worker to its predicted median.
func (fleet *fleet) add(worker scheduler.WorkerName, ratio float64) {
	fleet.workers.touch(worker, func() *workerSpeed { return &workerSpeed{} }).add(ratio)
	if fleet.pending++; fleet.pending >= fleetInterval {
		fleet.updateMedian()
	}
}

func (fleet *fleet) updateMedian() {
	fleet.median, fleet.pending = 0, 0
	var medians []float32
	fleet.workers.visit(func(_ scheduler.WorkerName, workerSpeed *workerSpeed) bool {
		if workerSpeed.median > 0 {
			medians = append(medians, float32(workerSpeed.median))
		}
		return true
	})
	if len(medians) >= minFleet {
		fleet.median = medianOf(medians)
	}
}

// slowness returns the median ratio of a worker relative to that of all workers, or 1 if too few are known.
func (fleet *fleet) slowness(worker scheduler.WorkerName) float64 {
	workerSpeed, found := fleet.workers.find(worker)
	if !found || workerSpeed.median == 0 || fleet.median == 0 {
		return 1
	}
	return min(max(workerSpeed.median/fleet.median, 1.0/maxSlowness), maxSlowness)
}

// isValidRatio reports whether a ratio can have come from add.
func isValidRatio(ratio float32) bool {
	value := float64(ratio)
	return !math.IsNaN(value) && value >= 1.0/maxSlowness && value <= maxSlowness
}
