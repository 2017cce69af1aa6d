package lentilcontrolmeasure

import "math"

// point is one measured value y at a position x on an axis.
type point struct{ x, y float64 }

// line is y = intercept + slope x, with the coefficient of determination R².
type line struct{ intercept, slope, rSquared float64 }

// fitLine returns the least-squares line through the points.
func fitLine(points []point) (l line) {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.x / n
		meanY += p.y / n
	}
	var sumXX, sumXY, sumYY float64
	for _, p := range points {
		sumXX += (p.x - meanX) * (p.x - meanX)
		sumXY += (p.x - meanX) * (p.y - meanY)
		sumYY += (p.y - meanY) * (p.y - meanY)
	}
	if sumXX == 0 {
		return line{intercept: meanY}
	}
	l.slope = sumXY / sumXX
	l.intercept = meanY - l.slope*meanX
	l.rSquared = 1
	if sumYY > 0 {
		l.rSquared = sumXY * sumXY / (sumXX * sumYY)
	}
	if math.IsNaN(l.rSquared) {
		l.rSquared = 0
	}
	return l
}
