// Package lentilmodel is a model of an upstream copy, for measurements and tests that run the
// decisions on a fake clock: what a copy bears while it warms up, and how it answers when it
// gets more.
package lentilmodel

import (
	"math"
	"time"
)

const (
	// ColdCapacityShare is the share of its slots that a copy bears just after a cold start.
	ColdCapacityShare = 0.2
	// WarmupDuration is the time in which a cold copy comes to bear all its slots, evenly.
	WarmupDuration = 20 * time.Second
	// shedDuration is how long a copy takes to shed.
	shedDuration = time.Millisecond
	// smoothingSeconds is the time over which the load is smoothed, in seconds.
	smoothingSeconds = 1.0
	// shedThreshold is the load over what a copy bears at which it sheds.
	shedThreshold = 2.0
)

// Copy is the model of a copy. It takes longer when it works on more than it bears, by the
// square of the ratio, and sheds beyond twice that.
type Copy struct {
	// Slots is how many requests the copy bears at once when it is warm.
	Slots float64
	// Slowdown is how much longer than others the copy takes; zero is one.
	Slowdown     float64
	coldSince    time.Time
	inFlight     int
	smoothedLoad float64 // load over about the last second
	updatedAt    time.Time
}

// Capacity returns how many slots the copy bears.
func (c *Copy) Capacity(now time.Time) float64 {
	if c.coldSince.IsZero() {
		return c.Slots
	}
	warm := min(now.Sub(c.coldSince).Seconds()/WarmupDuration.Seconds(), 1)
	return c.Slots * (ColdCapacityShare + (1-ColdCapacityShare)*max(warm, 0))
}

// ResetToCold makes the copy as cold as one that has just started.
func (c *Copy) ResetToCold(now time.Time) { c.coldSince = now }

// ColdFor returns for how long the copy has been warming up, if it still does.
func (c *Copy) ColdFor(now time.Time) (d time.Duration, cold bool) {
	d = now.Sub(c.coldSince)
	return d, !c.coldSince.IsZero() && d < WarmupDuration
}

// InFlight returns how many requests the copy works on.
func (c *Copy) InFlight() int { return c.inFlight }

func (c *Copy) slowdown() float64 {
	if c.Slowdown == 0 {
		return 1
	}
	return c.Slowdown
}

// StartRequest takes a request of the given work and returns how long it lasts, or that it is shed.
func (c *Copy) StartRequest(now time.Time, work time.Duration) (lasts time.Duration, shed bool) {
	c.Advance(now)
	c.inFlight++
	bears := c.Capacity(now)
	over := max(float64(c.inFlight)/math.Ceil(bears), c.smoothedLoad/bears)
	if over > shedThreshold {
		return shedDuration, true
	}
	over = max(over, 1)
	return time.Duration(float64(work) * c.slowdown() * over * over), false
}

// EndRequest tells that a request has ended.
func (c *Copy) EndRequest(now time.Time) {
	c.Advance(now)
	c.inFlight--
}

// Advance lets time pass.
func (c *Copy) Advance(now time.Time) {
	seconds := now.Sub(c.updatedAt).Seconds()
	if seconds <= 0 {
		return
	}
	c.smoothedLoad += (float64(c.inFlight) - c.smoothedLoad) * (1 - math.Exp(-seconds/smoothingSeconds))
	c.updatedAt = now
}
