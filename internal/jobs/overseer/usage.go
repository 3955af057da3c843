package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/pacer"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
)

// usageSummary is the resource usage of the attempts on a worker, as planning needs it. It is built for each worker
// in every planning cycle, so it is computed in one pass and stored in short slices.
type usageSummary struct {
	// slack is the CPU capacity that the tasks are expected to leave unused, in millicores.
	slack int64
	// images counts the serving tasks by image.
	images packer.ImageCounts
	// usage holds the fraction of the worker's CPU capacity that fill tasks use, by image.
	usage     []pacer.ImageUsage
	isolation packer.Isolation
}

// servingLoadDivisor divides the request of a serving task, because a serving task uses about half of its request on
// average.
const servingLoadDivisor = 2

// usageSummary computes the summary of all attempts. Fill tasks count with their full request, so that several tasks
// that start at the same time are not all placed on the same idle worker.
func (worker *worker) usageSummary(now time.Duration) usageSummary {
	usageSummary := usageSummary{slack: worker.heartbeat.Capacity.MilliCores}
	for _, attempt := range worker.attempts {
		spec := &attempt.spec
		used := spec.Request.MilliCores
		if spec.LatencyTarget > 0 {
			used /= servingLoadDivisor
			usageSummary.images.Add(spec.Image, 1)
		}
		usageSummary.slack -= used
		attempt.addTo(&usageSummary.isolation, now)
		if spec.Fill {
			usageSummary.addUsage(spec.Image, worker.fraction(float64(spec.Request.MilliCores)))
		}
	}
	return usageSummary
}

func (usageSummary *usageSummary) addUsage(image string, fraction float64) {
	for position := range usageSummary.usage {
		if usageSummary.usage[position].Image == image {
			usageSummary.usage[position].Fraction += fraction
			return
		}
	}
	usageSummary.usage = append(usageSummary.usage, pacer.ImageUsage{Image: image, Fraction: fraction})
}

// forecast returns the latency forecast for a worker, or nil if it has no serving tasks.
func (leadership *leadership) forecast(instance *worker, usageSummary usageSummary) packer.Forecast {
	if forecast := instance.pace.Forecast(usageSummary.usage, leadership.interference); forecast != nil {
		return forecast
	}
	return nil
}
