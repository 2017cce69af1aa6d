// Package lentilretry limits the retries of repeatable requests.
//
// Successful requests fill a budget, and each retry takes from it. Retries therefore stay a
// small part of the load even if many requests fail, and don't amplify an overload.
package lentilretry

import (
	"cmp"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// Budget is the retry budget of one agent. The zero Budget is ready to use. A Budget starts
// full, with Burst retries. It is not safe for concurrent use.
type Budget struct {
	// Percent is the number of retries that a hundred successes add to the budget. Zero means
	// DefaultPercent.
	Percent int
	// Burst is the maximum number of retries in the budget. Zero means DefaultBurst.
	Burst int
	// spent is the part of Burst that is used up, in units of 1/unitsPerRetry of a retry.
	spent int64
}

const (
	// DefaultPercent is the default of Budget.Percent.
	DefaultPercent = 10
	// DefaultBurst is the default of Budget.Burst.
	DefaultBurst = 10
	// MaxAttempts is the maximum number of times that a request is sent.
	MaxAttempts = 2
)

// RecordSuccess records that a first attempt succeeded.
func (b *Budget) RecordSuccess() { b.recordSuccess() }

// AllowsRetry reports whether a request may be sent once more. It must be repeatable and have
// been sent fewer than MaxAttempts times. Remaining, the time to its deadline, must be at
// least expected, its expected duration. The budget must hold a retry.
func (b *Budget) AllowsRetry(kind lentilconfig.RequestKind, attempts int, remaining, expected time.Duration) bool {
	return kind == lentilconfig.KindRepeatable && attempts < MaxAttempts && remaining >= expected && b.hasRoom()
}

// Spend takes one retry from the budget.
func (b *Budget) Spend() { b.spend() }

// unitsPerRetry is the number of units of spent that one retry takes.
const unitsPerRetry = 100

func (b *Budget) percent() int64 { return int64(cmp.Or(b.Percent, DefaultPercent)) }

func (b *Budget) burst() int64 { return int64(cmp.Or(b.Burst, DefaultBurst)) * unitsPerRetry }

func (b *Budget) recordSuccess() { b.spent = max(0, b.spent-b.percent()) }

func (b *Budget) hasRoom() bool { return b.spent+unitsPerRetry <= b.burst() }

func (b *Budget) spend() { b.spent = min(b.burst(), b.spent+unitsPerRetry) }
