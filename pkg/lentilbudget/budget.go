// Package lentilbudget bounds what a node spends: bytes and calls by token
// buckets, and repeated attempts by backoff with full jitter.
package lentilbudget

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// Bucket is a token bucket over bytes or calls, with the time passed in. It
// starts full. The zero Bucket allows nothing.
type Bucket struct {
	// PerSecond is how many tokens the bucket gains in a second.
	PerSecond float64
	// Burst is how many tokens the bucket holds.
	Burst int

	limiter *rate.Limiter
}

func (b *Bucket) initialize() {
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(b.PerSecond), b.Burst)
	}
}

// Allow takes n tokens, or none and reports false if there are fewer.
func (b *Bucket) Allow(now time.Time, n int) (ok bool) {
	b.initialize()
	return b.limiter.AllowN(now, n)
}

// Spend takes n tokens even when there are fewer, for costs that are known only
// afterwards: the bucket then owes them. No more than the burst is taken at once.
func (b *Bucket) Spend(now time.Time, n int) {
	b.initialize()
	b.limiter.ReserveN(now, min(n, b.Burst))
}

// HasTokens reports whether the bucket holds any token.
func (b *Bucket) HasTokens(now time.Time) (ok bool) {
	b.initialize()
	return b.limiter.TokensAt(now) >= 1
}

// Defaults of a Backoff.
const (
	// DefaultBase is the bound of the first delay.
	DefaultBase = 200 * time.Millisecond
	// DefaultMax is the bound of every delay.
	DefaultMax = 30 * time.Second
)

// Backoff gives the delays between attempts: each is drawn evenly between 0 and
// a bound that doubles, so that nodes that failed together do not return together.
// The zero Backoff is ready to use.
type Backoff struct {
	// Base bounds the first delay; 0 means DefaultBase.
	Base time.Duration
	// Max bounds every delay; 0 means DefaultMax.
	Max time.Duration
	// Random is the source of jitter; nil means the shared source.
	Random *rand.Rand

	failures int
}

// Next returns the delay before the next attempt, and counts a failure.
func (b *Backoff) Next() time.Duration {
	bound := b.maxDelay()
	b.failures++
	if b.Random == nil {
		return rand.N(bound)
	}
	return time.Duration(b.Random.Int64N(int64(bound)))
}

func (b *Backoff) maxDelay() time.Duration {
	base, highest := b.Base, b.Max
	if base == 0 {
		base = DefaultBase
	}
	if highest == 0 {
		highest = DefaultMax
	}
	for range b.failures {
		base *= 2
		if base >= highest {
			return highest
		}
	}
	return min(base, highest)
}

// Reset forgets the failures after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Failures returns how many attempts have failed in a row.
func (b *Backoff) Failures() int { return b.failures }
