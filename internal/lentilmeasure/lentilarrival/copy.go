package lentilarrival

import (
	"math"
	"time"
)

const (
	// coldShare is the share of its slots that a copy bears just after a cold start.
	coldShare = 0.2
	// warming is the time in which a cold copy comes to bear all its slots, evenly.
	warming = 20 * time.Second
	// slowFactor is how much longer a slow copy takes.
	slowFactor = 2.0
	// overloadWindow is the time over which a copy feels its load, in seconds.
	overloadWindow = 1.0
	// shedAt is the load over what a copy bears at which it sheds.
	shedAt = 2.0
)

// upstream is the model of a copy. It takes longer when it works on more than it bears, by the
// square of the ratio, and sheds beyond shedAt.
type upstream struct {
	slots    float64
	factor   float64
	coldFrom time.Time
	inFlight int
	knowing  int     // of those, sent when it had been cold for a second or more
	felt     float64 // load over the last second, smoothed
	at       time.Time
}

// bears returns how many slots the copy bears.
func (u *upstream) bears(now time.Time) float64 {
	if u.coldFrom.IsZero() {
		return u.slots
	}
	warm := min(now.Sub(u.coldFrom).Seconds()/warming.Seconds(), 1)
	return u.slots * (coldShare + (1-coldShare)*max(warm, 0))
}

// begin takes a request of the given work and returns how long it lasts, or that it is shed.
func (u *upstream) begin(now time.Time, work time.Duration) (lasts time.Duration, shed bool) {
	u.feel(now)
	u.inFlight++
	bears := u.bears(now)
	over := max(float64(u.inFlight)/math.Ceil(bears), u.felt/bears)
	if over > shedAt {
		return time.Millisecond, true
	}
	over = max(over, 1)
	return time.Duration(float64(work) * u.factor * over * over), false
}

func (u *upstream) end(now time.Time) {
	u.feel(now)
	u.inFlight--
}

func (u *upstream) feel(now time.Time) {
	seconds := now.Sub(u.at).Seconds()
	if seconds <= 0 {
		return
	}
	u.felt += (float64(u.inFlight) - u.felt) * (1 - math.Exp(-seconds/overloadWindow))
	u.at = now
}
