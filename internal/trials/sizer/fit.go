package sizer

import "math"

// Point is one measurement: a size (X) and its cost (Y).
type Point struct {
	X float64
	Y float64
}

// Line is a least-squares regression line. MaxResidual is the largest vertical distance of a point from the line, in
// units of Y.
type Line struct {
	Intercept   float64
	Slope       float64
	MaxResidual float64
}

// Fit computes the least-squares line through points. It needs at least three points, because a line through two always
// fits exactly, and at least two different sizes.
func Fit(points []Point) (Line, error) {
	if len(points) < 3 {
		return Line{}, Error.New("want at least 3 points, got %d", len(points))
	}
	var meanX, meanY float64
	for _, point := range points {
		meanX += point.X / float64(len(points))
		meanY += point.Y / float64(len(points))
	}
	var products, squares float64
	for _, point := range points {
		products += (point.X - meanX) * (point.Y - meanY)
		squares += (point.X - meanX) * (point.X - meanX)
	}
	if squares == 0 {
		return Line{}, Error.New("all points have the size %g", meanX)
	}
	line := Line{Slope: products / squares}
	line.Intercept = meanY - line.Slope*meanX
	for _, point := range points {
		line.MaxResidual = max(line.MaxResidual, math.Abs(point.Y-line.At(point.X)))
	}
	return line, nil
}

// At returns the fitted value for the size x.
func (line Line) At(x float64) float64 { return line.Intercept + line.Slope*x }
