package lentillimit

import (
	"math"
	"time"
)

// durationStats keeps moving statistics of the durations of requests. It uses logarithms, so
// that a doubled duration is the same deviation at a millisecond as at a second. The zero
// durationStats has no samples.
type durationStats struct {
	samples      int     // requests since the last reduceWeight, up to maxSamples
	totalSamples int     // all requests, up to maxSamples
	logMean      float64 // mean of the logarithms of the durations in seconds
	logVariance  float64 // variance of these logarithms
	mean         float64 // mean duration in seconds
}

const (
	// maxSamples is the number of requests over which the mean and variance are taken.
	maxSamples = 100
	// minSamples is the number of requests below which zScore returns zero.
	minSamples = 8
	// minStdDev is the minimum standard deviation of the logarithms. initialStdDev is the
	// minimum up to minSamples requests, when the measured one is not yet reliable.
	minStdDev     = 0.3
	initialStdDev = 0.7
	// defaultExpectedSeconds is the expected duration while no duration is known.
	defaultExpectedSeconds = 0.1
	// minSeconds is the minimum duration in seconds; shorter ones count as this. Below a
	// millisecond a duration shows how the agent's own process is scheduled, not the copy.
	minSeconds = 1e-3
	// minStuckSeconds is the minimum of stuckSeconds: one period of the kernel's CPU quota
	// (100 ms by default), for which a process pauses that has spent its share.
	minStuckSeconds = 0.1
)

// add records the duration of one request.
func (s *durationStats) add(d time.Duration) {
	seconds := max(d.Seconds(), minSeconds)
	s.samples = min(s.samples+1, maxSamples)
	s.totalSamples = min(s.totalSamples+1, maxSamples)
	weight := 1 / float64(s.samples)
	delta := math.Log(seconds) - s.logMean
	s.logMean += weight * delta
	s.logVariance += weight * (delta*delta*(1-weight) - s.logVariance)
	s.mean += weight * (seconds - s.mean)
}

// reduceWeight reduces the weight of the recorded durations, so that new ones replace them
// quickly if the copy has changed.
func (s *durationStats) reduceWeight() { s.samples = min(s.samples, minSamples/2) }

// seed adds the duration that peers have measured, if there are no samples and it is known.
func (s *durationStats) seed(typical time.Duration) {
	if s.samples > 0 || typical <= 0 {
		return
	}
	s.add(typical)
}

// stdDev returns the standard deviation of the logarithms, or a minimum if that is larger. The
// minimum is initialStdDev up to minSamples requests. It then falls in inverse proportion to
// the square root of their number, down to minStdDev.
func (s *durationStats) stdDev() float64 {
	initial := initialStdDev * math.Sqrt(minSamples/float64(max(s.totalSamples, 1)))
	return max(math.Sqrt(s.logVariance), min(initial, initialStdDev), minStdDev)
}

// zScore returns how many standard deviations the logarithm of d lies above the mean.
func (s *durationStats) zScore(d time.Duration) float64 {
	if s.samples < minSamples {
		return 0
	}
	return (math.Log(max(d.Seconds(), minSeconds)) - s.logMean) / s.stdDev()
}

// stuckSeconds returns the duration in seconds after which a request is considered stuck.
func (s *durationStats) stuckSeconds() float64 {
	if s.samples == 0 {
		return defaultStuckSeconds
	}
	factor := math.Exp(stuckDeviations * s.stdDev())
	return max(math.Exp(s.logMean)*min(max(factor, minStuckFactor), maxStuckFactor), minStuckSeconds)
}

// expectedSeconds returns the mean duration in seconds, or a default without samples.
func (s *durationStats) expectedSeconds() float64 {
	if s.samples == 0 {
		return defaultExpectedSeconds
	}
	return s.mean
}
