package overseer

import (
	"github.com/crocusplank/crocusplank/internal/jobs/pacer"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
)

// survey is what a decision needs to know of the attempts on a worker. It is made for each worker and each
// decision, so it is gathered in one pass and kept in short lists.
type survey struct {
	// slack is how much processor time the tasks leave unused, in thousandths of a core.
	slack int64
	// images counts the serving tasks by image.
	images packer.ImageCounts
	// usage holds the parts of the worker that fill tasks use by image.
	usage []pacer.ImageUsage
}

// servingLoad divides the request of a serving task: it uses about half of it on average.
const servingLoad = 2

// survey looks at all attempts. Fill tasks count with their full request, so that several ones that start
// together are not all placed on a worker that was idle.
func (worker *worker) survey() survey {
	survey := survey{slack: worker.beat.Capacity.MilliCores}
	for _, attempt := range worker.attempts {
		spec := &attempt.spec
		used := spec.Request.MilliCores
		if spec.LatencyTarget > 0 {
			used /= servingLoad
			survey.images.Add(spec.Image, 1)
		}
		survey.slack -= used
		if spec.Fill {
			survey.addUsage(spec.Image, worker.part(float64(spec.Request.MilliCores)))
		}
	}
	return survey
}

func (survey *survey) addUsage(image string, part float64) {
	for position := range survey.usage {
		if survey.usage[position].Image == image {
			survey.usage[position].Fraction += part
			return
		}
	}
	survey.usage = append(survey.usage, pacer.ImageUsage{Image: image, Fraction: part})
}

// forecast returns the forecast for a worker, nil without serving tasks.
func (leadership *leadership) forecast(life *worker, survey survey) packer.Forecast {
	if forecast := life.pace.Forecast(survey.usage, leadership.effects); forecast != nil {
		return forecast
	}
	return nil
}
