package labbench

import "math"

// Fit is a least-squares line through the values of a figure at several sizes.
type Fit struct {
	slope     float64
	intercept float64
	residual  float64
	rSquared  float64
}

// minSizes is the least number of sizes to which a line is fitted.
const minSizes = 4

// NewFit returns the line through the points. It returns false for fewer than four points,
// for slices of different lengths and if all sizes are equal. Each product is rounded, since some
// architectures fuse multiplication and addition otherwise, which changes the last digits.
func NewFit(x, y []float64) (Fit, bool) {
	if len(x) < minSizes || len(x) != len(y) {
		return Fit{}, false
	}
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += float64(x[i] * x[i])
		sumXY += float64(x[i] * y[i])
	}
	denominator := float64(n*sumXX) - float64(sumX*sumX)
	if denominator == 0 {
		return Fit{}, false
	}
	f := Fit{slope: (float64(n*sumXY) - float64(sumX*sumY)) / denominator}
	f.intercept = (sumY - float64(f.slope*sumX)) / n
	f.setQuality(x, y, sumY/n)
	return f, true
}

// setQuality computes the residual and r².
func (f *Fit) setQuality(x, y []float64, meanY float64) {
	var residualSquares, totalSquares float64
	for i := range x {
		d := y[i] - f.At(x[i])
		residualSquares += float64(d * d)
		totalSquares += float64((y[i] - meanY) * (y[i] - meanY))
	}
	f.residual = math.Sqrt(residualSquares / float64(len(x)))
	f.rSquared = 1
	// Equal values differ from their mean by rounding errors only.
	if totalSquares > 1e-18*meanY*meanY {
		f.rSquared = 1 - residualSquares/totalSquares
	}
}

// Slope is the growth for each unit of the axis.
func (f Fit) Slope() float64 { return f.slope }

// Intercept is the line's value at size 0.
func (f Fit) Intercept() float64 { return f.intercept }

// Residual is the root of the mean squared distance of the points from the line.
func (f Fit) Residual() float64 { return f.residual }

// RSquared is the share of the variance that the line explains (r²).
func (f Fit) RSquared() float64 { return f.rSquared }

// At is the line's value at a size.
func (f Fit) At(x float64) float64 { return f.intercept + float64(f.slope*x) }
