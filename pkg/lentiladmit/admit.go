// Package lentiladmit decides what becomes of each request that reaches an agent:
// sent to the copy, kept in a short queue, passed to a peer, refused or aborted.
//
// The Admitter is a pure state machine: events in, actions out. It sends no more to
// the copy than the copy bears, refuses at once what it can't finish before the
// deadline, and says "not run" only of requests that it never dispatched.
package lentiladmit

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// Arrival is a request that reached the agent. ID is the shell's own number for
// it and must not be used again while the request is in the Admitter.
type Arrival struct {
	ID   uint64
	Kind lentilconfig.Kind
	// Deadline is the time by this process's clock at which the caller stops
	// waiting; the zero time is DefaultTimeout from now.
	Deadline time.Time
	// Relayed requests came from a peer and go to no other peer.
	Relayed bool
	// Bound requests carry a ticket that this agent must serve, so no peer may.
	Bound bool
}

// Admitter decides about the requests of one copy. The zero Admitter is ready to
// use. It is not safe for concurrent use.
type Admitter struct {
	// Clock tells the time; nil is the machine's clock.
	Clock lentilclock.Clock
	// Limiter decides what the copy bears.
	Limiter lentillimit.Limiter
	// Queue is how many requests may wait; zero is DefaultQueue.
	Queue int
	// Connections is how many streams the copy holds; zero is DefaultConnections.
	Connections int
	// Peer chooses a peer for a request that has not begun; nil chooses none.
	Peer func(arrival Arrival) (peer lentilrecord.Record, ok bool)
	// Random returns evenly spread numbers in [0, 1) for jitter; nil is no jitter.
	Random func() float64
	state
}

const (
	// DefaultQueue is how many requests wait at an Admitter whose Queue is zero.
	DefaultQueue = 64
	// DefaultConnections is how many streams a copy holds if Connections is zero.
	DefaultConnections = 2000
	// DefaultTimeout is the time until the deadline of a request without one.
	DefaultTimeout = 10 * time.Second
)

// Arrive tells of a new request.
func (a *Admitter) Arrive(arrival Arrival) (actions []Action) { return a.arrive(arrival) }

// Finished tells how a dispatched request ended at the copy. The shell calls it once
// for every ActionDispatch, also after an ActionAbort, when the copy's answer is
// whole or the call has surely ended.
func (a *Admitter) Finished(id uint64, outcome lentillimit.Outcome) (actions []Action) {
	return a.finished(id, outcome)
}

// Relayed tells how a relay to a peer ended.
func (a *Admitter) Relayed(id uint64, result RelayResult) (actions []Action) {
	return a.relayed(id, result)
}

// Cancelled tells that the caller gave the request up. A dispatched request that may
// not be repeated goes on, so that its answer is there if the caller comes back.
func (a *Admitter) Cancelled(id uint64) (actions []Action) { return a.cancelled(id) }

// Tick lets time pass. Call it at Wake, and some times a second.
func (a *Admitter) Tick() (actions []Action) { return a.tick() }

// Drain begins a planned stop: no new request is dispatched, every request that was
// taken is carried to its end.
func (a *Admitter) Drain() (actions []Action) { return a.drain() }

// Wake returns when Tick has something to do; the zero time means not before an event.
func (a *Admitter) Wake() time.Time { return a.wake() }

// InFlight returns how many requests hold a slot of the copy.
func (a *Admitter) InFlight() int { return a.inFlight }

// Streams returns how many streams are open at the copy.
func (a *Admitter) Streams() int { return a.streams }

// Queued returns how many requests wait.
func (a *Admitter) Queued() int { return len(a.queue) }

// Load returns what the copy works on and what waits for it, smoothed over the last
// seconds, in hundredths of a slot.
func (a *Admitter) Load() uint16 { return a.Limiter.Load() }

// Idle reports whether the Admitter holds no request, so that a drained agent may end.
func (a *Admitter) Idle() bool { return len(a.requests) == 0 }
