// Package lentilhedge decides when an extra attempt at a slow request may be made.
//
// Such requests are known as hedged requests (Dean and Barroso, "The Tail at Scale"). An extra
// attempt is made once the first one has taken longer than nearly all recent requests of the
// same kind. A budget keeps the extra attempts to a percentage of the work, and none are made
// while the service is overloaded, since extra work would then slow down all requests.
//
// The Policy is a state machine without I/O. Whether a request may be repeated, and to whom
// the extra attempt goes, is up to the caller.
package lentilhedge

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

//go:generate stringer -type=Verdict -trimprefix=Verdict

// Verdict is a decision about an extra attempt.
type Verdict uint8

// The verdicts. The zero Verdict is not valid.
const (
	// VerdictAllowed means that the extra attempt may be made.
	VerdictAllowed Verdict = iota + 1
	// VerdictOff means that no percentage is set.
	VerdictOff
	// VerdictOverloaded means that work was refused within the last Window.
	VerdictOverloaded
	// VerdictOverBudget means that the extra attempt would exceed the percentage.
	VerdictOverBudget
)

const (
	// Window is the time over which the percentage holds.
	Window = time.Second
	// MinDelay is the minimum delay of an extra attempt.
	MinDelay = 5 * time.Millisecond
	// MinObservations is the number of observed durations of a kind below which no delay is known.
	MinObservations = 32
	// MaxPercent is the highest percentage that the settings of processes allow.
	MaxPercent = 20
)

// Policy decides about the extra attempts of one process. The zero Policy allows none. It is not
// safe for concurrent use.
type Policy struct {
	// Clock is the time source; nil is the system clock.
	Clock lentilclock.Clock
	// Percent is the number of extra attempts and retries per hundred first attempts above which
	// no extra attempt is made. It may be changed at any time.
	Percent int
	state
}

// RecordFirst records that the first attempt at a request begins.
func (p *Policy) RecordFirst() { p.budget.add(p.now(), first) }

// RecordRetry records that another attempt begins that isn't an extra one. Retries are never held
// back here, but leave less of the budget to extra attempts.
func (p *Policy) RecordRetry() { p.budget.add(p.now(), further) }

// RecordExtra records that an extra attempt begins.
func (p *Policy) RecordExtra() { p.budget.add(p.now(), further) }

// RecordRefusal records that work was refused for lack of room. No extra attempt is allowed for
// one Window.
func (p *Policy) RecordRefusal() { p.refusedAt, p.refused = p.now(), true }

// RecordDuration records how long the first attempt at a request of a kind took. An attempt that
// was cancelled after an extra one had succeeded counts with its time so far. That is longer
// than the delay, so the quantile stays the same as if the attempt had ended.
func (p *Policy) RecordDuration(kind uint64, d time.Duration) { p.durations.add(kind, d) }

// Delay returns the time after which an extra attempt at a request of a kind may be made. ok is
// false if fewer than MinObservations durations are known or no percentage is set.
func (p *Policy) Delay(kind uint64) (delay time.Duration, ok bool) {
	if p.Percent <= 0 {
		return 0, false
	}
	delay, ok = p.durations.quantile(kind)
	return max(delay, MinDelay), ok
}

// Decide returns whether an extra attempt may begin now. RecordExtra must follow if it does.
//
// In the Window that ends with an extra attempt, the extra attempts and retries are at most
// Percent of the first attempts. In any other Window, the extra attempts are therefore at most
// Percent of the first attempts of the Window that ends with the last of them. Whether work
// follows an extra attempt can't be known when it begins.
func (p *Policy) Decide() (verdict Verdict) {
	now := p.now()
	switch {
	case p.Percent <= 0:
		return VerdictOff
	case p.refused && now.Sub(p.refusedAt) < Window:
		return VerdictOverloaded
	case !p.budget.covers(now, p.Percent):
		return VerdictOverBudget
	default:
		return VerdictAllowed
	}
}

// Share returns the number of extra attempts and retries per first attempt of the last Window.
func (p *Policy) Share() float64 {
	if p.Percent <= 0 {
		return 0
	}
	return p.budget.share(p.now())
}

// state is the state of a Policy.
type state struct {
	budget    budget
	durations durations
	refused   bool
	refusedAt time.Time // time of the last refusal
}

func (p *Policy) now() time.Time { return lentilclock.OrSystem(p.Clock).Now() }
