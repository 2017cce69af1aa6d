package lentillimit

import (
	"math"
	"time"
)

// durationStats learns how long requests take, in logarithms, so that a copy that takes
// twice as long is as far from the usual at a millisecond as at a second. The zero durationStats has
// seen nothing.
type durationStats struct {
	samples      int     // requests since the last doubt, up to memory
	totalSamples int     // requests in all, up to memory
	logMean      float64 // mean of the logarithm of the seconds
	logVariance  float64 // of the same logarithm
	mean         float64 // seconds
}

const (
	// maxSamples is over how many requests a mean is taken.
	maxSamples = 100
	// minSamples is below how many requests no deviation is judged.
	minSamples = 8
	// minStdDev is the least standard deviation of the logarithm, and earlySpread that after
	// fewTimes requests, when the measured one is not yet trusted.
	minStdDev     = 0.3
	initialStdDev = 0.7
	// defaultExpectedSeconds is the duration of a request of which nothing is known, in seconds.
	defaultExpectedSeconds = 0.1
	// minSeconds is the minSeconds duration that is told apart, in seconds.
	minSeconds = 1e-5
)

// add takes in the duration of one request.
func (t *durationStats) add(d time.Duration) {
	seconds := max(d.Seconds(), minSeconds)
	t.samples = min(t.samples+1, maxSamples)
	t.totalSamples = min(t.totalSamples+1, maxSamples)
	share := 1 / float64(t.samples)
	step := math.Log(seconds) - t.logMean
	t.logMean += share * step
	t.logVariance += share * (step*step*(1-share) - t.logVariance)
	t.mean += share * (seconds - t.mean)
}

// reduceWeight makes what was learned weigh little, so that a copy that has changed is learned anew.
func (t *durationStats) reduceWeight() { t.samples = min(t.samples, minSamples/2) }

// seed fills in what peers have learned, if nothing is known.
func (t *durationStats) seed(typical time.Duration) {
	if t.samples > 0 || typical <= 0 {
		return
	}
	t.add(typical)
}

func (t *durationStats) stdDev() float64 {
	early := initialStdDev * math.Sqrt(minSamples/float64(max(t.totalSamples, 1)))
	return max(math.Sqrt(t.logVariance), min(early, initialStdDev), minStdDev)
}

// zScore returns how many standard deviations d lies over the usual.
func (t *durationStats) zScore(d time.Duration) float64 {
	if t.samples < minSamples {
		return 0
	}
	return (math.Log(max(d.Seconds(), minSeconds)) - t.logMean) / t.stdDev()
}

// stuckSeconds returns the duration after which a request is taken as stuck, in seconds.
func (t *durationStats) stuckSeconds() float64 {
	if t.samples == 0 {
		return defaultStuckSeconds
	}
	factor := math.Exp(stuckDeviations * t.stdDev())
	return math.Exp(t.logMean) * min(max(factor, minStuckFactor), maxStuckFactor)
}

// expectedSeconds returns the mean duration in seconds.
func (t *durationStats) expectedSeconds() float64 {
	if t.samples == 0 {
		return defaultExpectedSeconds
	}
	return t.mean
}
