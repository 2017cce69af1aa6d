package lentilcontrolmeasure

import "math"

// point is one measurement on an axis.
type point struct{ x, y float64 }

// line is y = base + slope x, with the share of the variance that it explains.
type line struct{ intercept, slope, rSquared float64 }

// fitLine returns the line with the least squares through the points.
func fitLine(points []point) (l line) {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.x / n
		meanY += p.y / n
	}
	var spread, joint, whole float64
	for _, p := range points {
		spread += (p.x - meanX) * (p.x - meanX)
		joint += (p.x - meanX) * (p.y - meanY)
		whole += (p.y - meanY) * (p.y - meanY)
	}
	if spread == 0 {
		return line{intercept: meanY}
	}
	l.slope = joint / spread
	l.intercept = meanY - l.slope*meanX
	l.rSquared = 1
	if whole > 0 {
		l.rSquared = joint * joint / (spread * whole)
	}
	if math.IsNaN(l.rSquared) {
		l.rSquared = 0
	}
	return l
}
