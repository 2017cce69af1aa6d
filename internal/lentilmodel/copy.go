// Package lentilmodel is a model of an upstream copy, for measurements and tests that run the
// decisions on a fake clock: what a copy bears while it warms up, and how it answers when it
// gets more.
package lentilmodel

import (
	"math"
	"time"
)

const (
	// ColdShare is the share of its slots that a copy bears just after a cold start.
	ColdShare = 0.2
	// Warming is the time in which a cold copy comes to bear all its slots, evenly.
	Warming = 20 * time.Second
	// shedTime is how long a copy takes to shed.
	shedTime = time.Millisecond
	// overloadWindow is the time over which the load is smoothed, in seconds.
	overloadWindow = 1.0
	// shedAt is the load over what a copy bears at which it sheds.
	shedAt = 2.0
)

// Copy is the model of a copy. It takes longer when it works on more than it bears, by the
// square of the ratio, and sheds beyond twice that.
type Copy struct {
	// Slots is how many requests the copy bears at once when it is warm.
	Slots float64
	// Factor is how much longer than others the copy takes; zero is one.
	Factor   float64
	coldFrom time.Time
	inFlight int
	smoothed float64 // load over about the last second
	at       time.Time
}

// Bears returns how many slots the copy bears.
func (c *Copy) Bears(now time.Time) float64 {
	if c.coldFrom.IsZero() {
		return c.Slots
	}
	warm := min(now.Sub(c.coldFrom).Seconds()/Warming.Seconds(), 1)
	return c.Slots * (ColdShare + (1-ColdShare)*max(warm, 0))
}

// TurnCold makes the copy as cold as one that has just started.
func (c *Copy) TurnCold(now time.Time) { c.coldFrom = now }

// ColdFor returns for how long the copy has been warming up, if it still does.
func (c *Copy) ColdFor(now time.Time) (d time.Duration, cold bool) {
	d = now.Sub(c.coldFrom)
	return d, !c.coldFrom.IsZero() && d < Warming
}

// InFlight returns how many requests the copy works on.
func (c *Copy) InFlight() int { return c.inFlight }

func (c *Copy) speed() float64 {
	if c.Factor == 0 {
		return 1
	}
	return c.Factor
}

// Begin takes a request of the given work and returns how long it lasts, or that it is shed.
func (c *Copy) Begin(now time.Time, work time.Duration) (lasts time.Duration, shed bool) {
	c.Advance(now)
	c.inFlight++
	bears := c.Bears(now)
	over := max(float64(c.inFlight)/math.Ceil(bears), c.smoothed/bears)
	if over > shedAt {
		return shedTime, true
	}
	over = max(over, 1)
	return time.Duration(float64(work) * c.speed() * over * over), false
}

// End tells that a request has ended.
func (c *Copy) End(now time.Time) {
	c.Advance(now)
	c.inFlight--
}

// Advance lets time pass.
func (c *Copy) Advance(now time.Time) {
	seconds := now.Sub(c.at).Seconds()
	if seconds <= 0 {
		return
	}
	c.smoothed += (float64(c.inFlight) - c.smoothed) * (1 - math.Exp(-seconds/overloadWindow))
	c.at = now
}
