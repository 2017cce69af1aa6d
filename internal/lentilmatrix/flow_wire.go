package lentilmatrix

import (
	"math/rand/v2"
	"time"

	"lentilstair.example/lentilstair/internal/lentilschedule"
)

// Times that a packet takes, one way.
const (
	minPacketDelay = 400 * time.Microsecond
	maxPacketDelay = 900 * time.Microsecond
)

// flowNetwork is time and the network: it carries out events in order, and loses,
// doubles and holds up packets as it is told.
type flowNetwork struct {
	schedule lentilschedule.Schedule
	random   *rand.Rand
	// lossShare and duplicateShare are the shares of packets that are lost and sent twice.
	lossShare, duplicateShare float64
	// delayedShare is the share of packets that are held up for up to lateness.
	delayedShare  float64
	maxExtraDelay time.Duration
}

// now returns the time since the start.
func (w *flowNetwork) now() time.Duration { return w.schedule.Elapsed() }

// after schedules do.
func (w *flowNetwork) after(delay time.Duration, do func()) { w.schedule.After(delay, do) }

// runUntil carries out all events until a time.
func (w *flowNetwork) runUntil(until time.Duration) {
	w.schedule.Run(w.schedule.Now().Add(until - w.now()))
}

// send carries a packet, which arrives by do.
func (w *flowNetwork) send(do func()) {
	copies := 1
	if w.random.Float64() < w.duplicateShare {
		copies = 2
	}
	for range copies {
		if w.random.Float64() >= w.lossShare {
			w.after(w.packetDelay(), do)
		}
	}
}

// packetDelay returns how long a packet takes.
func (w *flowNetwork) packetDelay() time.Duration {
	trip := w.randomDuration(minPacketDelay, maxPacketDelay)
	if w.random.Float64() < w.delayedShare {
		trip += w.randomDuration(0, w.maxExtraDelay)
	}
	return trip
}

// randomDuration returns a random time randomDuration two others.
func (w *flowNetwork) randomDuration(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}
