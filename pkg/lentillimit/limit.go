// Package lentillimit decides how much work an upstream copy bears now.
//
// Only what the agent itself sees counts: when requests began and ended, and how.
// What the copy reports about its health and load is not read, since it lags and
// misleads. A copy that has just started begins at a fraction of its slots and
// grows with normal completions; slowness, sheds, timeouts and errors send it back
// at once, since a copy may turn cold again without warning.
package lentillimit

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

//go:generate stringer -type=Outcome -trimprefix=Outcome

// Outcome is how a request at the copy ended.
type Outcome uint8

// The outcomes. The zero Outcome is none of them and is treated as OutcomeFailed.
const (
	// OutcomeDone is a whole answer that says nothing against the copy.
	OutcomeDone Outcome = iota + 1
	// OutcomeShed is a refusal by the copy itself because of load (503 or 429).
	OutcomeShed
	// OutcomeFailed is a transport failure: refused, reset, or a broken answer.
	OutcomeFailed
	// OutcomeTimedOut is a request that the agent gave up when its deadline passed.
	OutcomeTimedOut
	// OutcomeError is a whole answer that says that the copy itself failed (500 and
	// the like). Now and then one is normal; many say that the copy is not, however
	// quick they are.
	OutcomeError
	// OutcomeCancelled is a request that the caller gave up; it says nothing of the copy.
	OutcomeCancelled
)

// Limiter decides what a copy bears, in hundredths of a slot. The zero Limiter is
// ready to use for a copy with DefaultSlots slots that has just started. It is not
// safe for concurrent use.
type Limiter struct {
	// Clock tells the time; nil is the machine's clock.
	Clock lentilclock.Clock
	// Slots is how many requests a warm copy works on at once; zero is DefaultSlots.
	Slots int
	// StartPercent is the share of its slots that a cold copy is trusted with, in percent; zero
	// is DefaultStartPercent.
	StartPercent int
	// WarmupTime is the least time from cold to all slots; zero is DefaultWarm.
	WarmupTime time.Duration
	// TypicalDuration is how long a request takes at a warm copy of the same service, as
	// peers have learned it; zero is not known.
	TypicalDuration time.Duration
	state
}

const (
	// DefaultSlots is the number of slots of a copy whose Slots is zero.
	DefaultSlots = 2
	// DefaultWarmupTime is the least time from cold to all slots.
	DefaultWarmupTime = 20 * time.Second
	// DefaultStartPercent is the share of its slots that a cold copy is trusted with.
	DefaultStartPercent = 10
	// Slot is one slot in the unit of Bears, Weight and Load.
	Slot = 100
)

// Started tells that request id was sent to the copy.
func (l *Limiter) Started(id uint64) { l.started(id) }

// Ended tells how request id ended. An id that was not started is ignored.
func (l *Limiter) Ended(id uint64, outcome Outcome) { l.ended(id, outcome) }

// Tick lets time pass: it looks for requests that have run too long and grows or
// forgets what was learned. Call it some times a second.
func (l *Limiter) Tick() { l.tick() }

// Capacity returns what the copy bears now, in hundredths of a slot.
func (l *Limiter) Capacity() uint16 { return l.capacity() }

// Weight returns the weight to announce: Bears in coarse steps that fall at once
// and rise slowly, in hundredths of a slot.
func (l *Limiter) Weight() uint16 { return l.weight() }

// Load returns the work of the last seconds, smoothed, in hundredths of a slot.
func (l *Limiter) Load() uint16 { return l.load() }

// CanSend reports whether one more request may be sent now.
func (l *Limiter) CanSend() bool { return l.canSend() }

// CanSendAt returns when Free becomes true if nothing ends before; the zero time
// means not before some request has ended.
func (l *Limiter) CanSendAt() time.Time { return l.canSendAt() }

// ExpectedWait returns how long it is expected to take until Free becomes true. Never is the answer while
// requests that look stuck hold the room.
func (l *Limiter) ExpectedWait() time.Duration { return l.expectedWait() }

// Never is a wait without an end.
const Never = time.Duration(1<<63 - 1)

// Cold reports whether the copy bears less than all its slots.
func (l *Limiter) Cold() bool { return l.cold() }

// ExpectedDuration returns how long a request is expected to take at the copy now.
func (l *Limiter) ExpectedDuration() time.Duration { return l.expectedDuration() }

// ColdResets returns how often the copy was taken as cold after it had started.
func (l *Limiter) ColdResets() int { return l.coldResets }
