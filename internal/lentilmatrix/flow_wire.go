package lentilmatrix

import (
	"math/rand/v2"
	"time"

	"lentilstair.example/lentilstair/internal/lentilschedule"
)

// Times that a packet takes, one way.
const (
	shortestTrip = 400 * time.Microsecond
	longestTrip  = 900 * time.Microsecond
)

// flowWire is time and the network: it carries out events in order, and loses,
// doubles and holds up packets as it is told.
type flowWire struct {
	schedule lentilschedule.Schedule
	random   *rand.Rand
	// loss and double are the shares of packets that are lost and sent twice.
	loss, double float64
	// late is the share of packets that are held up for up to lateness.
	late     float64
	lateness time.Duration
}

// now returns the time since the start.
func (w *flowWire) now() time.Duration { return w.schedule.Elapsed() }

// after schedules do.
func (w *flowWire) after(delay time.Duration, do func()) { w.schedule.After(delay, do) }

// run carries out all events until a time.
func (w *flowWire) run(until time.Duration) { w.schedule.Run(w.schedule.Now().Add(until - w.now())) }

// send carries a packet, which arrives by do.
func (w *flowWire) send(do func()) {
	copies := 1
	if w.random.Float64() < w.double {
		copies = 2
	}
	for range copies {
		if w.random.Float64() >= w.loss {
			w.after(w.trip(), do)
		}
	}
}

// trip returns how long a packet takes.
func (w *flowWire) trip() time.Duration {
	trip := w.between(shortestTrip, longestTrip)
	if w.random.Float64() < w.late {
		trip += w.between(0, w.lateness)
	}
	return trip
}

// between returns a random time between two others.
func (w *flowWire) between(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}
