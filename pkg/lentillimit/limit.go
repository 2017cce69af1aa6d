// Package lentillimit adapts the concurrency limit of an upstream copy.
//
// The limit depends only on what the agent observes itself: when requests started and
// ended, and with what outcome. The health and load that the copy reports are not used,
// since they are late and misleading. A copy that has just started begins with a
// fraction of its slots, and its limit grows with normal completions. A copy may turn
// cold again without warning. A shed, a transport failure, or a request that is stuck
// while no other completes therefore resets the limit to that fraction at once. Slow
// requests, timeouts and errors do so as soon as there are too many of them to be random
// variation.
package lentillimit

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

//go:generate stringer -type=Outcome -trimprefix=Outcome

// Outcome is the result of a request that was sent to the copy.
type Outcome uint8

// The outcomes. The zero Outcome is not valid and is treated as OutcomeFailed.
const (
	// OutcomeDone is a complete answer that shows no failure of the copy.
	OutcomeDone Outcome = iota + 1
	// OutcomeShed is a refusal by the copy itself because of load (503 or 429).
	OutcomeShed
	// OutcomeFailed is a transport failure: a refused or reset connection, or a broken answer.
	OutcomeFailed
	// OutcomeTimedOut is a request that the agent abandoned when its deadline passed.
	OutcomeTimedOut
	// OutcomeError is a complete answer that reports a failure of the copy itself (500 and
	// the like). Occasional errors are normal. Many of them mean that the copy is not
	// working normally, however fast it answers.
	OutcomeError
	// OutcomeCancelled is a request that the caller abandoned. It does not affect the limit.
	OutcomeCancelled
	// OutcomeOvertaken is a request that the agent abandoned since an extra attempt at a peer
	// had succeeded. Its time so far counts as its duration, so that the extra attempt doesn't
	// hide a slow copy. It is no sign that the copy works.
	OutcomeOvertaken
)

// Limiter computes the capacity of one copy: how many requests it may work on at once, in
// hundredths of a slot. The zero Limiter is ready to use for a copy with DefaultSlots slots
// that has just started. It is not safe for concurrent use.
type Limiter struct {
	// Clock is the time source; nil is the system clock.
	Clock lentilclock.Clock
	// Slots is the number of requests that a warm copy works on at once; zero is DefaultSlots.
	Slots int
	// StartPercent is the share of its slots that a cold copy may use, in percent; zero is
	// DefaultStartPercent.
	StartPercent int
	// WarmupTime is the minimum time from the cold limit to all slots; zero is DefaultWarmupTime.
	WarmupTime time.Duration
	// TypicalDuration is the usual duration of a request at a warm copy of the same service,
	// as measured by peers; zero means unknown.
	TypicalDuration time.Duration
	state
}

const (
	// DefaultSlots is the number of slots of a Limiter whose Slots is zero.
	DefaultSlots = 2
	// DefaultWarmupTime is the WarmupTime of a Limiter whose WarmupTime is zero.
	DefaultWarmupTime = 20 * time.Second
	// DefaultStartPercent is the StartPercent of a Limiter whose StartPercent is zero.
	DefaultStartPercent = 10
	// Slot is one slot in the unit of Capacity, Weight and Load.
	Slot = 100
)

// Started records that request id was sent to the copy.
func (l *Limiter) Started(id uint64) { l.started(id) }

// Ended records the outcome of request id. An id that was not started is ignored.
func (l *Limiter) Ended(id uint64, outcome Outcome) { l.ended(id, outcome) }

// Tick advances the state to the current time: it raises the limit, and lowers it if
// requests have run too long or the copy was idle. Call it several times a second.
func (l *Limiter) Tick() { l.tick() }

// Capacity returns the current capacity of the copy, in hundredths of a slot.
func (l *Limiter) Capacity() uint16 { return l.capacity() }

// Weight returns the weight to announce, in hundredths of a slot. It follows Capacity
// down at once and up in coarse steps. The lower limit of an idle copy is not announced.
func (l *Limiter) Weight() uint16 { return l.weight() }

// Load returns the smoothed use of the copy over the last seconds, in hundredths of a slot.
func (l *Limiter) Load() uint16 { return l.load() }

// CanSend reports whether one more request may be sent to the copy now.
func (l *Limiter) CanSend() bool { return l.canSend() }

// CanSendAt returns when CanSend becomes true if no request ends before then. The zero
// time means that a request has to end first.
func (l *Limiter) CanSendAt() time.Time { return l.canSendAt() }

// ExpectedWait returns the expected time until CanSend becomes true. It is Never while
// requests that look stuck occupy the capacity.
func (l *Limiter) ExpectedWait() time.Duration { return l.expectedWait() }

// Never is an ExpectedWait without a known end.
const Never = time.Duration(1<<63 - 1)

// Cold reports whether the copy may use less than all its slots. The lower limit of an idle
// copy does not count.
func (l *Limiter) Cold() bool { return l.cold() }

// ExpectedDuration returns the expected duration of a request at the copy now.
func (l *Limiter) ExpectedDuration() time.Duration { return l.expectedDuration() }

// ColdResets returns how often the limit was reset to that of a cold copy.
func (l *Limiter) ColdResets() int { return l.coldResets }
