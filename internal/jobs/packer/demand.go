package packer

// imageDemands is the pending fill work by image, as fractions of all pending fill work.
type imageDemands []imageDemand

type imageDemand struct {
	image    string
	fraction float64
}

// typicalFraction is the fraction of a worker's CPU that a fill task is assumed to request when only its image is
// considered.
const typicalFraction = 0.1

// recordRunnableImages records for each worker which of the pending images could run on it. It is meant for workloads
// in which a few images interfere with most serving tasks and therefore fit on few workers. Without the record,
// images that could run anywhere would take the capacity of these workers.
func recordRunnableImages(workers []*Worker, groups []Group) {
	pending := pendingFillDemand(groups)
	if len(pending) < 2 {
		return
	}
	for _, worker := range workers {
		for _, demand := range pending {
			if worker.Forecast == nil || worker.Forecast.Excess(demand.image, typicalFraction) <= 0 {
				worker.runnable = append(worker.runnable, demand)
			}
		}
	}
}

// pendingFillDemand returns the fill work of the groups by image.
func pendingFillDemand(groups []Group) imageDemands {
	var pending imageDemands
	total := 0.0
	for position := range groups {
		group := &groups[position]
		if !group.Step.Fill {
			continue
		}
		requested := float64(int64(len(group.Tasks)) * group.Step.Request.MilliCores)
		total += requested
		pending.add(group.Step.Image, requested)
	}
	for position := range pending {
		pending[position].fraction /= max(total, 1)
	}
	return pending
}

func (imageDemands *imageDemands) add(image string, requested float64) {
	for position := range *imageDemands {
		if (*imageDemands)[position].image == image {
			(*imageDemands)[position].fraction += requested
			return
		}
	}
	*imageDemands = append(*imageDemands, imageDemand{image: image, fraction: requested})
}

// exceptImage returns the total demand of all images but one.
func (imageDemands imageDemands) exceptImage(image string) float64 {
	sum := 0.0
	for _, demand := range imageDemands {
		if demand.image != image {
			sum += demand.fraction
		}
	}
	return sum
}
