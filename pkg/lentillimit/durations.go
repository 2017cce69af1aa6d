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
	// minSeconds is the minimum duration in seconds; shorter ones count as this.
	minSeconds = 1e-5
)

// add records the duration of one request.
func (t *durationStats) add(d time.Duration) {
	seconds := max(d.Seconds(), minSeconds)
	t.samples = min(t.samples+1, maxSamples)
	t.totalSamples = min(t.totalSamples+1, maxSamples)
	weight := 1 / float64(t.samples)
	delta := math.Log(seconds) - t.logMean
	t.logMean += weight * delta
	t.logVariance += weight * (delta*delta*(1-weight) - t.logVariance)
	t.mean += weight * (seconds - t.mean)
}

// reduceWeight reduces the weight of the recorded durations, so that new ones replace them
// quickly if the copy has changed.
func (t *durationStats) reduceWeight() { t.samples = min(t.samples, minSamples/2) }

// seed adds the duration that peers have measured, if there are no samples and it is known.
func (t *durationStats) seed(typical time.Duration) {
	if t.samples > 0 || typical <= 0 {
		return
	}
	t.add(typical)
}

// stdDev returns the standard deviation of the logarithms, or a minimum if that is larger. The
// minimum is initialStdDev up to minSamples requests. It then falls in inverse proportion to
// the square root of their number, down to minStdDev.
func (t *durationStats) stdDev() float64 {
	initial := initialStdDev * math.Sqrt(minSamples/float64(max(t.totalSamples, 1)))
	return max(math.Sqrt(t.logVariance), min(initial, initialStdDev), minStdDev)
}

// zScore returns how many standard deviations the logarithm of d lies above the mean.
func (t *durationStats) zScore(d time.Duration) float64 {
	if t.samples < minSamples {
		return 0
	}
	return (math.Log(max(d.Seconds(), minSeconds)) - t.logMean) / t.stdDev()
}

// stuckSeconds returns the duration in seconds after which a request is considered stuck.
func (t *durationStats) stuckSeconds() float64 {
	if t.samples == 0 {
		return defaultStuckSeconds
	}
	factor := math.Exp(stuckDeviations * t.stdDev())
	return math.Exp(t.logMean) * min(max(factor, minStuckFactor), maxStuckFactor)
}

// expectedSeconds returns the mean duration in seconds, or a default without samples.
func (t *durationStats) expectedSeconds() float64 {
	if t.samples == 0 {
		return defaultExpectedSeconds
	}
	return t.mean
}
