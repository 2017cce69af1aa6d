package lentillimit

import (
	"math"
	"time"
)

// times learns how long requests take, in logarithms, so that a copy that takes
// twice as long is as far from the usual at a millisecond as at a second. The zero times has
// seen nothing.
type times struct {
	count    int     // requests since the last doubt, up to memory
	seen     int     // requests in all, up to memory
	center   float64 // mean of the logarithm of the seconds
	variance float64 // of the same logarithm
	mean     float64 // seconds
}

const (
	// memory is over how many requests a mean is taken.
	memory = 100
	// fewTimes is below how many requests no deviation is judged.
	fewTimes = 8
	// minSpread is the least standard deviation of the logarithm, and earlySpread that after
	// fewTimes requests, when the measured one is not yet trusted.
	minSpread   = 0.3
	earlySpread = 0.7
	// defaultExpected is the duration of a request of which nothing is known, in seconds.
	defaultExpected = 0.1
	// shortest is the shortest duration that is told apart, in seconds.
	shortest = 1e-5
)

// learn takes in the duration of one request.
func (t *times) learn(d time.Duration) {
	seconds := max(d.Seconds(), shortest)
	t.count = min(t.count+1, memory)
	t.seen = min(t.seen+1, memory)
	share := 1 / float64(t.count)
	step := math.Log(seconds) - t.center
	t.center += share * step
	t.variance += share * (step*step*(1-share) - t.variance)
	t.mean += share * (seconds - t.mean)
}

// doubt makes what was learned weigh little, so that a copy that has changed is learned anew.
func (t *times) doubt() { t.count = min(t.count, fewTimes/2) }

// hint fills in what peers have learned, if nothing is known.
func (t *times) hint(typical time.Duration) {
	if t.count > 0 || typical <= 0 {
		return
	}
	t.learn(typical)
}

func (t *times) spread() float64 {
	early := earlySpread * math.Sqrt(fewTimes/float64(max(t.seen, 1)))
	return max(math.Sqrt(t.variance), min(early, earlySpread), minSpread)
}

// deviation returns how many standard deviations d lies over the usual.
func (t *times) deviation(d time.Duration) float64 {
	if t.count < fewTimes {
		return 0
	}
	return (math.Log(max(d.Seconds(), shortest)) - t.center) / t.spread()
}

// hung returns the duration after which a request is taken as stuck, in seconds.
func (t *times) hung() float64 {
	if t.count == 0 {
		return unknownHang
	}
	factor := math.Exp(hangDeviations * t.spread())
	return math.Exp(t.center) * min(max(factor, minHangFactor), maxHangFactor)
}

// expected returns the mean duration in seconds.
func (t *times) expected() float64 {
	if t.count == 0 {
		return defaultExpected
	}
	return t.mean
}
