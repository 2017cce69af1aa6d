// Package lentilmodel models an upstream copy for measurements and tests on a fake clock. The
// model covers the capacity of the copy while it warms up, and its response times and shedding
// under overload.
package lentilmodel

import (
	"math"
	"time"
)

const (
	// ColdCapacityShare is the capacity of a copy just after a cold start, as a share of its slots.
	ColdCapacityShare = 0.2
	// WarmupDuration is the time in which the capacity of a cold copy grows linearly to all its
	// slots.
	WarmupDuration = 20 * time.Second
	// shedDuration is the time that a copy takes to shed a request.
	shedDuration = time.Millisecond
	// smoothingSeconds is the time constant of the load average, in seconds.
	smoothingSeconds = 1.0
	// shedThreshold is the ratio of load to capacity above which a copy sheds.
	shedThreshold = 2.0
)

// Copy is the model of a copy. Above its capacity, requests take longer by the square of the
// ratio of load to capacity. Above twice its capacity the copy sheds requests.
type Copy struct {
	// Slots is the capacity of the warm copy: how many requests it can process concurrently.
	Slots float64
	// Slowdown is the factor by which requests take longer than at other copies; zero means one.
	Slowdown     float64
	coldSince    time.Time
	inFlight     int
	smoothedLoad float64 // requests in flight, averaged over about the last second
	updatedAt    time.Time
}

// Capacity returns the present capacity of the copy, in slots.
func (c *Copy) Capacity(now time.Time) float64 {
	if c.coldSince.IsZero() {
		return c.Slots
	}
	warmShare := min(now.Sub(c.coldSince).Seconds()/WarmupDuration.Seconds(), 1)
	return c.Slots * (ColdCapacityShare + (1-ColdCapacityShare)*max(warmShare, 0))
}

// ResetToCold starts the warm-up again, as after a restart.
func (c *Copy) ResetToCold(now time.Time) { c.coldSince = now }

// ColdFor returns the time since the copy turned cold. cold is false after the warm-up.
func (c *Copy) ColdFor(now time.Time) (d time.Duration, cold bool) {
	d = now.Sub(c.coldSince)
	return d, !c.coldSince.IsZero() && d < WarmupDuration
}

// InFlight returns the number of requests in progress.
func (c *Copy) InFlight() int { return c.inFlight }

func (c *Copy) slowdown() float64 {
	if c.Slowdown == 0 {
		return 1
	}
	return c.Slowdown
}

// StartRequest starts a request with the given work. It returns the duration of the request and
// whether the copy sheds it. A shed request also counts as in flight until EndRequest.
func (c *Copy) StartRequest(now time.Time, work time.Duration) (duration time.Duration, shed bool) {
	c.Advance(now)
	c.inFlight++
	capacity := c.Capacity(now)
	overload := max(float64(c.inFlight)/math.Ceil(capacity), c.smoothedLoad/capacity)
	if overload > shedThreshold {
		return shedDuration, true
	}
	overload = max(overload, 1)
	return time.Duration(float64(work) * c.slowdown() * overload * overload), false
}

// EndRequest records the end of a request.
func (c *Copy) EndRequest(now time.Time) {
	c.Advance(now)
	c.inFlight--
}

// Advance brings the load average up to the given time.
func (c *Copy) Advance(now time.Time) {
	elapsed := now.Sub(c.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	c.smoothedLoad += (float64(c.inFlight) - c.smoothedLoad) * (1 - math.Exp(-elapsed/smoothingSeconds))
	c.updatedAt = now
}
