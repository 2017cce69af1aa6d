package lentilcontrolmeasure

import "math"

// point is one measurement on an axis.
type point struct{ x, y float64 }

// line is y = base + slope x, with the share of the variance that it explains.
type line struct{ base, slope, explained float64 }

// fit returns the line with the least squares through the points.
func fit(points []point) (l line) {
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
		return line{base: meanY}
	}
	l.slope = joint / spread
	l.base = meanY - l.slope*meanX
	l.explained = 1
	if whole > 0 {
		l.explained = joint * joint / (spread * whole)
	}
	if math.IsNaN(l.explained) {
		l.explained = 0
	}
	return l
}
