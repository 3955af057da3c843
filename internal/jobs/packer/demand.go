package packer

// imageDemands holds the demand of images.
type imageDemands []imageDemand

// imageDemand is the CPU that the pending fill tasks of an image request, as a fraction of the CPU that all pending fill
// tasks of the decision request.
type imageDemand struct {
	image    string
	fraction float64
}

// typicalFraction is the fraction of a worker's CPU that a fill task is assumed to request when only its image is
// considered.
const typicalFraction = 0.1

// recordPlaceableDemand records for each worker the demand of the images whose pending fill tasks could be assigned to
// it, judged by predicted interference alone. It is meant for workloads in which a few images interfere with most
// serving tasks, so that few workers accept their tasks. Without the record, fill tasks that any worker accepts would
// take the capacity of these workers. It records nothing for a single pending image, which competes with no other.
func recordPlaceableDemand(workers []*Worker, groups []Group) {
	pending := pendingFillDemand(groups)
	if len(pending) < 2 {
		return
	}
	for _, worker := range workers {
		for _, demand := range pending {
			if worker.Forecast == nil || worker.Forecast.Excess(demand.image, typicalFraction) <= 0 {
				worker.placeableDemand = append(worker.placeableDemand, demand)
			}
		}
	}
}

// pendingFillDemand returns the demand of each image of the groups' fill tasks.
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

// totalWithout returns the total demand of all images but the given one.
func (imageDemands imageDemands) totalWithout(image string) float64 {
	sum := 0.0
	for _, demand := range imageDemands {
		if demand.image != image {
			sum += demand.fraction
		}
	}
	return sum
}
