package packer

// demand is the fill work that waits, by image. Parts are of all fill work that waits.
type demand []imageDemand

type imageDemand struct {
	image string
	part  float64
}

// typicalPart is the part of a worker that a fill task is taken to use when only its image is looked at.
const typicalPart = 0.1

// noteDemand notes on each worker which of the waiting images could run there. It answers a load in which a few
// images harm most serving tasks: they find room on few workers, and without it other images, which could run
// anywhere, would take that room.
func noteDemand(workers []*Worker, groups []Group) {
	waiting := demandOf(groups)
	if len(waiting) < 2 {
		return
	}
	for _, worker := range workers {
		for _, wanted := range waiting {
			if worker.Forecast == nil || worker.Forecast.Excess(wanted.image, typicalPart) <= 0 {
				worker.suited = append(worker.suited, wanted)
			}
		}
	}
}

// demandOf returns the fill work of the groups.
func demandOf(groups []Group) demand {
	var waiting demand
	total := 0.0
	for position := range groups {
		group := &groups[position]
		if !group.Step.Fill {
			continue
		}
		asked := float64(int64(len(group.Tasks)) * group.Step.Request.MilliCores)
		total += asked
		waiting.add(group.Step.Image, asked)
	}
	for position := range waiting {
		waiting[position].part /= max(total, 1)
	}
	return waiting
}

func (demand *demand) add(image string, asked float64) {
	for position := range *demand {
		if (*demand)[position].image == image {
			(*demand)[position].part += asked
			return
		}
	}
	*demand = append(*demand, imageDemand{image: image, part: asked})
}

// others returns the demand of all images but one.
func (demand demand) others(image string) float64 {
	sum := 0.0
	for _, wanted := range demand {
		if wanted.image != image {
			sum += wanted.part
		}
	}
	return sum
}
