// Package lentilretry limits the retries of requests that may be repeated.
//
// A retry is paid for out of a budget that successes fill, so that retries stay a small
// part of the work however badly the copies do, and can't turn an overload into a larger one.
package lentilretry

import (
	"cmp"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// Budget is the budget for retries of one agent. The zero Budget is ready to use and
// starts with its Burst saved up. It is not safe for concurrent use.
type Budget struct {
	// Percent is how many retries a hundred successes pay for; zero is DefaultPercent.
	Percent int
	// Burst is how many retries may be saved up; zero is DefaultBurst.
	Burst int
	spent int64
}

const (
	// DefaultPercent is how many retries a hundred successes pay for.
	DefaultPercent = 10
	// DefaultBurst is how many retries may be saved up.
	DefaultBurst = 10
	// MaxAttempts is how often a request is sent at all.
	MaxAttempts = 2
)

// RecordSuccess tells that a first attempt succeeded.
func (b *Budget) RecordSuccess() { b.recordSuccess() }

// AllowsRetry reports whether one more attempt of a request may be made: it may be
// repeated, its attempts so far are below MaxAttempts, remaining (the time to its deadline) is
// enough for expected, and the budget has room.
func (b *Budget) AllowsRetry(kind lentilconfig.RequestKind, attempts int, remaining, expected time.Duration) bool {
	return kind == lentilconfig.KindRepeatable && attempts < MaxAttempts && remaining >= expected && b.hasRoom()
}

// Spend takes one retry out of the budget.
func (b *Budget) Spend() { b.spend() }

// unitsPerRetry is the parts into which one retry is divided.
const unitsPerRetry = 100

func (b *Budget) percent() int64 { return int64(cmp.Or(b.Percent, DefaultPercent)) }

func (b *Budget) burst() int64 { return int64(cmp.Or(b.Burst, DefaultBurst)) * unitsPerRetry }

func (b *Budget) recordSuccess() { b.spent = max(0, b.spent-b.percent()) }

func (b *Budget) hasRoom() bool { return b.spent+unitsPerRetry <= b.burst() }

func (b *Budget) spend() { b.spent = min(b.burst(), b.spent+unitsPerRetry) }
