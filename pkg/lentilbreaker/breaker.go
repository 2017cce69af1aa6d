// Package lentilbreaker decides whether an upstream gets new work while it ends requests without an answer.
//
// An upstream that fails at once always looks idle, so a balancer that prefers the least loaded one sends it
// ever more work. A Breaker stops that: after some failures it admits nothing for a while, then single trials,
// and normal work again after several of them succeeded. It answers the load of a service that has spare
// upstreams; if all of them fail, its caller has to ignore the breakers.
//
// A Breaker judges by what its owner sees of requests, not by health checks, which may be wrong either way.
package lentilbreaker

import (
	"math/bits"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

//go:generate stringer -type=State -output=enum_string.go

const (
	// minFailures is the number of failures among the last eight requests that opens the breaker. Single requests
	// fail when their upstream crashes or a client's own limit ends them.
	minFailures = 4
	// minOpenTime is how long the breaker stays open at first. Each trial that fails doubles it, up to
	// maxOpenTime, which bounds how long an upstream that works again stays unused.
	minOpenTime = 500 * time.Millisecond
	maxOpenTime = 4 * time.Second
	// trialTimeout is how long the outcome of a trial is awaited before another trial may begin.
	trialTimeout = time.Second
	// trialSuccesses is the number of successful trials in a row that closes the breaker. An upstream that
	// fails half of its requests seldom reaches it.
	trialSuccesses = 3
	// repeatableOnlyFor is how long only requests that may be repeated are trials. After that, others are
	// too, since a service may have no such requests.
	repeatableOnlyFor = time.Second
	// forgetAfter is how long the breaker must have been closed to start again from minOpenTime.
	forgetAfter = 10 * time.Second
)

// State is the state of a Breaker.
type State uint8

// The states.
const (
	// Closed breakers admit all requests.
	Closed State = iota
	// Open breakers admit none.
	Open
	// Trying breakers admit one request at a time.
	Trying
)

// Breaker is the circuit breaker of one upstream. The zero Breaker is closed. It is not safe for concurrent use.
type Breaker struct {
	// Clock is the source of time; nil is the system clock.
	Clock lentilclock.Clock

	state State
	// outcomes has a bit for each of the last eight requests, the latest in the lowest one, set if it failed.
	outcomes uint8
	// changedAt is when state was entered.
	changedAt time.Time
	openTime  time.Duration
	// trialAt is when the trial in progress began; zero if there is none.
	trialAt time.Time
	// successes counts the successful trials in a row.
	successes int
}

func (b *Breaker) now() time.Time { return lentilclock.OrSystem(b.Clock).Now() }

// State returns the current state.
func (b *Breaker) State() State {
	if b.state == Open && b.now().Sub(b.changedAt) >= b.openTime {
		return Trying
	}
	return b.state
}

// Admits reports whether a new request may go to the upstream.
func (b *Breaker) Admits(repeatable bool) bool {
	switch b.State() {
	case Closed:
		return true
	case Open:
		return false
	}
	now := b.now()
	tryingFor := now.Sub(b.changedAt)
	if b.state == Open {
		tryingFor -= b.openTime
	}
	return (repeatable || tryingFor >= repeatableOnlyFor) && (b.trialAt.IsZero() || now.Sub(b.trialAt) >= trialTimeout)
}

// RecordAdmitted records that a request was admitted. Unless the breaker is closed, it is a trial.
func (b *Breaker) RecordAdmitted() {
	if b.State() == Trying {
		if b.state == Open {
			b.enter(Trying)
		}
		b.trialAt = b.now()
	}
}

// RecordSuccess records a request that was answered. It reports whether the breaker has closed.
func (b *Breaker) RecordSuccess() (closed bool) {
	switch b.state {
	case Closed:
		b.outcomes <<= 1
	case Trying:
		b.trialAt = time.Time{}
		if b.successes++; b.successes >= trialSuccesses {
			b.enter(Closed)
			return true
		}
	}
	return false
}

// RecordFailure records a request that ended without an answer. It reports whether the breaker has opened.
func (b *Breaker) RecordFailure() (opened bool) {
	switch b.state {
	case Closed:
		b.outcomes = b.outcomes<<1 | 1
		if bits.OnesCount8(b.outcomes) < minFailures {
			return false
		}
		if b.now().Sub(b.changedAt) >= forgetAfter {
			b.openTime = 0
		}
	case Open:
		// The request was admitted before the breaker opened.
		return false
	}
	b.openTime = min(max(2*b.openTime, minOpenTime), maxOpenTime)
	b.enter(Open)
	return true
}

// Reset closes the breaker and forgets all outcomes, as for another run of the upstream.
func (b *Breaker) Reset() { *b = Breaker{Clock: b.Clock} }

func (b *Breaker) enter(state State) {
	b.state, b.changedAt, b.outcomes, b.successes, b.trialAt = state, b.now(), 0, 0, time.Time{}
}
