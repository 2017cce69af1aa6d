// Package lentiladmit implements admission control for the requests that reach an agent.
// Each request is dispatched to the copy, queued, relayed to a peer, refused or aborted.
//
// The Admitter is a state machine without I/O: the agent reports events and performs the
// returned actions. The Admitter sends no more requests to the copy than its capacity
// allows. It refuses requests at once that can't finish before their deadline. It answers
// "not run" only if the request certainly did not run.
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
	// ID is the number that the agent gave the request. It must not be reused while the
	// Admitter holds the request. A second Arrival with the ID of a held request is ignored.
	ID   uint64
	Kind lentilconfig.RequestKind
	// Deadline is the time by this process's clock at which the caller stops
	// waiting. The zero time means DefaultTimeout from now. Streams have no deadline.
	Deadline time.Time
	// Caller identifies the caller, for instance by a hash of the connection. It keeps a
	// single caller from filling the queue. Zero means unknown.
	Caller uint64
	// Relayed marks a request that came from a peer. It is not relayed again.
	Relayed bool
	// LocalOnly marks a request with a ticket that this agent must serve. It is not relayed.
	LocalOnly bool
}

// Admitter controls the admission of requests to one copy. The zero Admitter is ready to
// use. It is not safe for concurrent use.
type Admitter struct {
	// Clock is the time source; nil is the system clock.
	Clock lentilclock.Clock
	// Limiter computes the capacity of the copy. Its Clock is set to the Admitter's if nil.
	Limiter lentillimit.Limiter
	// RetryBudget limits the retries of repeatable requests.
	RetryBudget lentilretry.Budget
	// MaxQueue is the maximum number of queued requests; zero is DefaultMaxQueue.
	MaxQueue int
	// MaxStreams is the maximum number of open streams at a warm copy; zero is DefaultMaxStreams.
	MaxStreams int
	// ChoosePeer chooses a peer to which a request that is not running is relayed; nil chooses
	// none. It is called on arrival, even if the copy has capacity left, and again while the
	// request is queued.
	ChoosePeer func(arrival Arrival) (peer lentilrecord.Record, ok bool)
	// Random returns uniformly distributed numbers in [0, 1) for jitter; nil means no jitter.
	Random func() float64
	state
}

const (
	// DefaultMaxQueue is the MaxQueue of an Admitter whose MaxQueue is zero.
	DefaultMaxQueue = 64
	// DefaultMaxStreams is the MaxStreams of an Admitter whose MaxStreams is zero.
	DefaultMaxStreams = 2000
	// DefaultTimeout is the time to the deadline of a request that has none.
	DefaultTimeout = 10 * time.Second
	// OnceGrace is the time after its deadline for which a dispatched request that must not
	// be repeated continues, so that its answer is available if the caller retries.
	OnceGrace = 10 * time.Second
	// MinRetryAfter is the minimum delay after which a refused caller may retry.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the maximum delay after which a refused caller may retry, before
	// jitter adds up to half of it.
	MaxRetryAfter = 20 * time.Second
	// MaxRelays is the maximum number of peers to which a request is relayed, one after another.
	MaxRelays = 2
	// MaxDispatches is the maximum number of times that a request is sent to the copy, if it
	// certainly did not run before.
	MaxDispatches = 3
	// TickInterval is the longest interval between calls of Tick while NextTick is not zero.
	TickInterval = 20 * time.Millisecond
)

// Arrive handles a new request.
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

// Finished records the outcome of a dispatched request when an answer, or part of one,
// reached the caller or was stored, or when the call was aborted and has certainly ended.
// The agent must call exactly one of Finished, NotRun and AnswerLost for each ActionDispatch.
func (a *Admitter) Finished(id uint64, outcome lentillimit.Outcome) (actions []Action) {
	if r := a.release(id, outcome); r != nil {
		if outcome == lentillimit.OutcomeDone && r.attempts == 1 {
			a.RetryBudget.RecordSuccess()
		}
		delete(a.requests, id)
	}
	a.processQueue()
	return a.takeActions()
}

// NotRun records that a dispatched request certainly did not run, because the copy could
// not be reached or said so. The request is dispatched, queued or relayed again if it may
// still finish in time, and is refused otherwise. Like AnswerLost and RelayEnded, it drops a
// request whose caller is gone without an action. The agent then finds by Holds that the
// request was dropped, and closes the entry of its ticket.
func (a *Admitter) NotRun(id uint64, outcome lentillimit.Outcome) (actions []Action) {
	if r := a.release(id, outcome); r != nil {
		r.dropUnsentHedge()
		a.retryNotRun(r)
	}
	a.processQueue()
	return a.takeActions()
}

// AnswerLost records that a dispatched request may have run, but that no part of its answer
// reached the caller. A repeatable request is dispatched, queued or relayed again if the
// retry budget allows. Otherwise its outcome is unknown.
func (a *Admitter) AnswerLost(id uint64, outcome lentillimit.Outcome) (actions []Action) {
	if r := a.release(id, outcome); r != nil {
		r.dropUnsentHedge()
		a.retryAnswerLost(r)
	}
	a.processQueue()
	return a.takeActions()
}

// RelayEnded records the result of a relay to a peer. The agent must call it exactly once for
// each ActionRelay.
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

// Cancelled records that the caller abandoned the request. A dispatched or relayed request
// that must not be repeated continues, so that its answer is available if the caller retries.
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

// Tick handles everything that is due at the current time. Call it at NextTick.
func (a *Admitter) Tick() (actions []Action) {
	a.initialize()
	a.Limiter.Tick()
	a.expire()
	a.processQueue()
	return a.takeActions()
}

// Drain starts a planned stop. New requests and queued requests are relayed to a peer if
// possible. A new request without a peer is refused. Requests that were accepted before
// are completed.
func (a *Admitter) Drain() (actions []Action) {
	a.initialize()
	a.draining = true
	a.processQueue()
	return a.takeActions()
}

// Resume ends a planned stop that operators have revoked.
func (a *Admitter) Resume() { a.draining = false }

// NextTick returns when Tick must be called next. The zero time means that it need not be
// called before another event.
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

// InFlight returns the number of requests that occupy a slot of the copy.
func (a *Admitter) InFlight() int { return a.inFlight }

// Streams returns the number of streams that are open at the copy.
func (a *Admitter) Streams() int { return a.streams }

// Queued returns the number of queued requests.
func (a *Admitter) Queued() int { return len(a.queue) }

// Load returns the load to announce: the smoothed use of the copy over the last seconds, in
// hundredths of a slot.
func (a *Admitter) Load() uint16 { return a.Limiter.Load() }

// Demand returns the number of requests that are running at the copy or queued for it now,
// in hundredths of a slot.
func (a *Admitter) Demand() uint16 {
	return uint16(min((a.inFlight+len(a.queue))*lentillimit.Slot, maxLoad))
}

// Draining reports whether a planned stop is in progress.
func (a *Admitter) Draining() bool { return a.draining }

// Holds reports whether the Admitter still holds a request. If Cancelled has just removed a
// request that must not be repeated, it certainly did not run. A repeatable request may have
// run before it was queued for a retry.
func (a *Admitter) Holds(id uint64) bool { return a.requests[id] != nil }

// Idle reports whether the Admitter holds no requests. A drained agent may exit then.
func (a *Admitter) Idle() bool { return len(a.requests) == 0 }
