// Package lentiladmit decides what becomes of each request that reaches an agent:
// sent to the copy, kept in a short queue, passed to a peer, refused or aborted.
//
// The Admitter is a pure state machine: events in, actions out. It sends no more to
// the copy than the copy bears, refuses at once what it can't finish before the
// deadline, and says "not run" only of requests of which it is certain.
package lentiladmit

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilretry"
)

// Arrival is a request that reached the agent.
type Arrival struct {
	// ID is the shell's own number for the request. It must not be used again while
	// the Admitter holds the request; a second arrival of a held ID is ignored.
	ID   uint64
	Kind lentilconfig.Kind
	// Deadline is the time by this process's clock at which the caller stops
	// waiting; the zero time is DefaultTimeout from now. Streams have none.
	Deadline time.Time
	// Caller tells callers apart, for instance by a hash of the connection, so that one
	// of them can't fill the queue. Zero is not known.
	Caller uint64
	// Relayed requests came from a peer and go to no other peer.
	Relayed bool
	// LocalOnly requests carry a ticket that this agent must serve, so no peer may.
	LocalOnly bool
}

// Admitter decides about the requests of one copy. The zero Admitter is ready to
// use. It is not safe for concurrent use.
type Admitter struct {
	// Clock tells the time; nil is the machine's clock.
	Clock lentilclock.Clock
	// Limiter decides what the copy bears. Its Clock is set to the Admitter's if nil.
	Limiter lentillimit.Limiter
	// RetryBudget is the budget for further attempts of requests that may be repeated.
	RetryBudget lentilretry.Budget
	// MaxQueue is how many requests may wait; zero is DefaultQueue.
	MaxQueue int
	// MaxStreams is how many streams a warm copy holds; zero is DefaultConnections.
	MaxStreams int
	// ChoosePeer chooses a peer for a request that has not begun; nil chooses none. It is asked
	// on arrival, also when the copy has room, and again while the request waits.
	ChoosePeer func(arrival Arrival) (peer lentilrecord.Record, ok bool)
	// Random returns evenly spread numbers in [0, 1) for jitter; nil is no jitter.
	Random func() float64
	state
}

const (
	// DefaultMaxQueue is how many requests wait at an Admitter whose Queue is zero.
	DefaultMaxQueue = 64
	// DefaultMaxStreams is how many streams a copy holds if Connections is zero.
	DefaultMaxStreams = 2000
	// DefaultTimeout is the time until the deadline of a request without one.
	DefaultTimeout = 10 * time.Second
	// OnceGrace is for how long after its deadline a dispatched request that may not be
	// repeated may go on, so that its answer is there when the caller comes back.
	OnceGrace = 10 * time.Second
	// MinRetryAfter is the least time after which a refused caller may come back.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the longest time after which a refused caller may come back, before
	// jitter adds up to half.
	MaxRetryAfter = 20 * time.Second
	// MaxRelays is how many peers a request is passed to at most, one after another.
	MaxRelays = 2
	// MaxDispatches is how often a request is sent to the copy at most, if it surely did not
	// run before.
	MaxDispatches = 3
	// TickInterval is how often Tick is due while the Admitter holds requests.
	TickInterval = 20 * time.Millisecond
)

// Arrive tells of a new request.
func (a *Admitter) Arrive(arrival Arrival) (actions []Action) {
	a.initialize()
	if a.requests[arrival.ID] != nil {
		return nil
	}
	if arrival.Deadline.IsZero() {
		arrival.Deadline = a.now().Add(DefaultTimeout)
	}
	r := &request{arrival: arrival}
	a.requests[arrival.ID] = r
	a.decide(r)
	return a.takeActions()
}

// Finished tells how a dispatched request ended at the copy, when an answer, or part of one,
// reached the caller or is stored, or the call was aborted and has surely ended. For
// every ActionDispatch the shell calls one of Finished, NotBegun and Lost, once.
func (a *Admitter) Finished(id uint64, outcome lentillimit.Outcome) (actions []Action) {
	if r := a.release(id, outcome); r != nil {
		if outcome == lentillimit.OutcomeDone && r.attempts == 1 {
			a.RetryBudget.Succeeded()
		}
		delete(a.requests, id)
	}
	a.processQueue()
	return a.takeActions()
}

// NotRun tells that a dispatched request surely did not run, because the copy could
// not be reached or said so. The request is decided about anew if it may still finish in
// time, and is refused otherwise. A request whose caller is gone is let go without an action, as
// by Lost and Relayed: the shell asks Holds, and closes the entry of its ticket.
func (a *Admitter) NotRun(id uint64, outcome lentillimit.Outcome) (actions []Action) {
	if r := a.release(id, outcome); r != nil {
		a.retryNotRun(r)
	}
	a.processQueue()
	return a.takeActions()
}

// AnswerLost tells that a dispatched request may have run, and that nothing of its answer
// reached the caller. A request that may be repeated is decided about anew if the budget
// for retries has room; otherwise its outcome is unknown.
func (a *Admitter) AnswerLost(id uint64, outcome lentillimit.Outcome) (actions []Action) {
	if r := a.release(id, outcome); r != nil {
		a.retryAnswerLost(r)
	}
	a.processQueue()
	return a.takeActions()
}

// RelayEnded tells how a relay to a peer ended. The shell calls it once for every ActionRelay.
func (a *Admitter) RelayEnded(id uint64, result RelayResult) (actions []Action) {
	r := a.requests[id]
	if r == nil || r.stage != stageRelayed {
		return nil
	}
	a.deactivate(r)
	switch result {
	case RelayAnswered:
		delete(a.requests, id)
	case RelayNotRun:
		a.retryNotRun(r)
	default:
		a.retryAnswerLost(r)
	}
	a.processQueue()
	return a.takeActions()
}

// Cancelled tells that the caller gave the request up. A dispatched or relayed request
// that may not be repeated goes on, so that its answer is there if the caller comes back.
func (a *Admitter) Cancelled(id uint64) (actions []Action) {
	r := a.requests[id]
	if r == nil {
		return nil
	}
	r.callerDone = true
	switch {
	case r.stage == stageQueued:
		a.removeQueued(r)
		delete(a.requests, id)
	case r.mayAbort() && !r.aborted:
		a.abort(r)
	}
	a.processQueue()
	return a.takeActions()
}

// Tick lets time pass. Call it at Wake.
func (a *Admitter) Tick() (actions []Action) {
	a.initialize()
	a.Limiter.Tick()
	a.expire()
	a.processQueue()
	return a.takeActions()
}

// Drain begins a planned stop: requests that come later, and those that wait and may go
// elsewhere, go to a peer; later ones are refused if there is none. What was taken is
// carried to its end.
func (a *Admitter) Drain() (actions []Action) {
	a.initialize()
	a.draining = true
	a.processQueue()
	return a.takeActions()
}

// Resume ends a planned stop that operators have taken back.
func (a *Admitter) Resume() { a.draining = false }

// NextTick returns when Tick is due; the zero time means not before another event.
func (a *Admitter) NextTick() time.Time {
	if len(a.queue) == 0 && len(a.active) == 0 {
		return time.Time{}
	}
	now := a.now()
	due := now.Add(TickInterval)
	if free := a.Limiter.CanSendAt(); len(a.queue) > 0 && free.After(now) && free.Before(due) {
		due = free
	}
	return due
}

// InFlight returns how many requests hold a slot of the copy.
func (a *Admitter) InFlight() int { return a.inFlight }

// Streams returns how many streams are open at the copy.
func (a *Admitter) Streams() int { return a.streams }

// Queued returns how many requests wait.
func (a *Admitter) Queued() int { return len(a.queue) }

// Load returns the work at the copy, smoothed over the last seconds, in hundredths of a slot. It
// is the load to announce.
func (a *Admitter) Load() uint16 { return a.Limiter.Load() }

// Demand returns what the copy works on and what waits for it at this moment, in
// hundredths of a slot.
func (a *Admitter) Demand() uint16 {
	return uint16(min((a.inFlight+len(a.queue))*lentillimit.Slot, maxLoad))
}

// Draining reports whether a planned stop has begun.
func (a *Admitter) Draining() bool { return a.draining }

// Holds reports whether the Admitter still holds a request. After Cancelled, one that it no
// longer holds was surely not run.
func (a *Admitter) Holds(id uint64) bool { return a.requests[id] != nil }

// Idle reports whether the Admitter holds no request, so that a drained agent may end.
func (a *Admitter) Idle() bool { return len(a.requests) == 0 }
