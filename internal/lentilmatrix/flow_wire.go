package lentilmatrix

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// Times that a packet takes, one way.
const (
	shortestTrip = 400 * time.Microsecond
	longestTrip  = 900 * time.Microsecond
)

// event is something that happens at a time.
type event struct {
	at     time.Duration
	number uint64
	do     func()
}

// events is a heap by time, then by the order of scheduling.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is part of heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// flowWire is time and the network: it carries out events in order, and loses,
// doubles and holds up packets as it is told.
type flowWire struct {
	clock  lentilclock.Fake
	random *rand.Rand
	now    time.Duration
	events events
	number uint64
	// loss and double are the shares of packets that are lost and sent twice.
	loss, double float64
	// late is the share of packets that are held up for up to lateness.
	late     float64
	lateness time.Duration
}

// after schedules do.
func (w *flowWire) after(delay time.Duration, do func()) {
	w.number++
	heap.Push(&w.events, event{at: w.now + delay, number: w.number, do: do})
}

// run carries out all events until a time.
func (w *flowWire) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.advance(e.at)
		e.do()
	}
	w.advance(until)
}

// advance moves time forward.
func (w *flowWire) advance(to time.Duration) {
	w.clock.Advance(to - w.now)
	w.now = to
}

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
