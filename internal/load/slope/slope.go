// Package slope fits a line through measurements at several sizes.
package slope

import "math"

// Line is a least-squares line: y = Base + PerUnit x. Fit is the coefficient of
// determination, 1 for a perfect line.
type Line struct {
	Intercept float64
	PerUnit   float64
	RSquared  float64
}

// Point is one measurement.
type Point struct {
	Size  float64
	Value float64
}

// New fits the points, of which there must be at least two sizes.
func New(points []Point) Line {
	count := float64(len(points))
	var sumX, sumY, sumXX, sumXY, sumYY float64
	for _, point := range points {
		sumX += point.Size
		sumY += point.Value
		sumXX += point.Size * point.Size
		sumXY += point.Size * point.Value
		sumYY += point.Value * point.Value
	}
	spreadX := count*sumXX - sumX*sumX
	spreadY := count*sumYY - sumY*sumY
	joint := count*sumXY - sumX*sumY
	perUnit := joint / spreadX
	return Line{
		Intercept: (sumY - perUnit*sumX) / count,
		PerUnit:   perUnit,
		RSquared:  joint * joint / (spreadX * math.Max(spreadY, math.SmallestNonzeroFloat64)),
	}
}

// At returns the line's value at a size.
func (slope Line) At(size float64) float64 {
	return slope.Intercept + slope.PerUnit*size
}
