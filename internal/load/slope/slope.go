// Package slope fits a straight line to measurements at several sizes.
package slope

import "math"

// Line is a least-squares line: y = Intercept + PerUnit * x. RSquared is the
// coefficient of determination, 1 for a perfect fit.
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

// New fits a line to the points, which must have at least two different sizes.
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

// At returns the line's value at the size.
func (line Line) At(size float64) float64 {
	return line.Intercept + line.PerUnit*size
}
