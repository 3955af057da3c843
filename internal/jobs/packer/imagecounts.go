package packer

// ImageCounts counts tasks by image. A worker has few images, so a list is faster than a map. The zero value
// is empty.
type ImageCounts []ImageCount

// ImageCount is the number of tasks of an image, more than 0.
type ImageCount struct {
	Image string
	Count int
}

// Add changes the count of an image.
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

// Others returns how many images differ from one.
func (imageCounts ImageCounts) Others(image string) int {
	others := 0
	for _, count := range imageCounts {
		if count.Image != image {
			others++
		}
	}
	return others
}
