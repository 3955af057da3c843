package sizer

import "math"

// The resource budget of the control plane on one node, from section 1.7 of docs/design.md.
const (
	boundCPUPercent     = 1.4
	boundMemoryBytes    = 32e6
	boundBytesPerSecond = 4000
)

// barPosition maps a multiple of a bound to an x coordinate in the plot, on a logarithmic scale: 0.01 is at x = 340
// and each factor of ten adds 120.
func barPosition(multiple float64) float64 {
	if multiple <= 0 {
		return 340
	}
	return 340 + 120*(2+math.Log10(multiple))
}
