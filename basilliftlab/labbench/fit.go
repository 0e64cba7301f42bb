package labbench

import "math"

// Fit is a least-squares line through measured sizes.
type Fit struct {
	slope     float64
	intercept float64
	residual  float64
	square    float64
}

// minimumSizes is the least number of sizes from which a slope is drawn.
const minimumSizes = 4

// NewFit returns the line through the points, and false for fewer than four sizes.
func NewFit(x, y []float64) (Fit, bool) {
	if len(x) < minimumSizes || len(x) != len(y) {
		return Fit{}, false
	}
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return Fit{}, false
	}
	f := Fit{slope: (n*sumXY - sumX*sumY) / spread}
	f.intercept = (sumY - f.slope*sumX) / n
	f.judge(x, y, sumY/n)
	return f, true
}

func (f *Fit) judge(x, y []float64, center float64) {
	var unexplained, all float64
	for i := range x {
		d := y[i] - f.At(x[i])
		unexplained += d * d
		all += (y[i] - center) * (y[i] - center)
	}
	f.residual = math.Sqrt(unexplained / float64(len(x)))
	f.square = 1
	// Equal values differ from their mean by rounding only.
	if all > 1e-18*center*center {
		f.square = 1 - unexplained/all
	}
}

// Slope is the growth for each unit of the axis.
func (f Fit) Slope() float64 { return f.slope }

// Intercept is the line's value at size 0.
func (f Fit) Intercept() float64 { return f.intercept }

// Residual is the root of the mean squared distance of the points from the line.
func (f Fit) Residual() float64 { return f.residual }

// Square is the share of the variance that the line explains (r²).
func (f Fit) Square() float64 { return f.square }

// At is the line's value at a size.
func (f Fit) At(x float64) float64 { return f.intercept + f.slope*x }
