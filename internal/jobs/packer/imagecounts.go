package packer

// ImageCounts counts tasks by image. It is a list because a worker runs few images, for which a list is faster than
// a map. The zero value is empty.
type ImageCounts []ImageCount

// ImageCount is the number of tasks of an image. It is always positive.
type ImageCount struct {
	Image string
	Count int
}

// Add adds change to the count of an image and removes the image when its count reaches 0.
func (imageCounts *ImageCounts) Add(image string, change int) {
	for position := range *imageCounts {
		count := &(*imageCounts)[position]
		if count.Image != image {
			continue
		}
		count.Count += change
		if count.Count <= 0 {
			*imageCounts = append((*imageCounts)[:position], (*imageCounts)[position+1:]...)
		}
		return
	}
	if change > 0 {
		*imageCounts = append(*imageCounts, ImageCount{Image: image, Count: change})
	}
}

// Others returns the number of images other than the given one.
func (imageCounts ImageCounts) Others(image string) int {
	others := 0
	for _, count := range imageCounts {
		if count.Image != image {
			others++
		}
	}
	return others
}
