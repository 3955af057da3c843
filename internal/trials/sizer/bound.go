package sizer

import "math"

// The bound of section 1.7 of the design page for control on a node.
const (
	boundPercent = 1.4
	boundMemory  = 32e6
	boundBytes   = 4000
)

// position returns the horizontal position of a multiple of a bound: 340 for a hundredth, 120 further for
// each factor of ten.
func position(multiple float64) float64 {
	if multiple <= 0 {
		return 340
	}
	return 340 + 120*(2+math.Log10(multiple))
}
