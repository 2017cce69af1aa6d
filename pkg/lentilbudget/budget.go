// Package lentilbudget limits what a node spends: bytes and calls by token buckets, and
// repeated attempts by exponential backoff with full jitter. Nodes that fail at the same time
// thus don't overload each other or the platform with their retries.
package lentilbudget

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// Bucket is a token bucket for bytes or calls. Its methods take the current time. It starts
// full. The zero Bucket allows nothing.
type Bucket struct {
	// PerSecond is the number of tokens added per second.
	PerSecond float64
	// Burst is the maximum number of tokens in the bucket.
	Burst int

	limiter *rate.Limiter
}

func (b *Bucket) initialize() {
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(b.PerSecond), b.Burst)
	}
}

// Allow takes n tokens. It takes none and returns false if the bucket holds fewer than n.
func (b *Bucket) Allow(now time.Time, n int) (ok bool) {
	b.initialize()
	return b.limiter.AllowN(now, n)
}

// Spend takes n tokens, at most Burst, even if the bucket holds fewer. The number of tokens
// then becomes negative. It is for costs that are known only afterwards.
func (b *Bucket) Spend(now time.Time, n int) {
	b.initialize()
	b.limiter.ReserveN(now, min(n, b.Burst))
}

// Tokens returns the number of tokens in the bucket. It is negative after more was spent than it held.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.initialize()
	return b.limiter.TokensAt(now)
}

// HasTokens reports whether the bucket holds at least one token.
func (b *Bucket) HasTokens(now time.Time) (ok bool) {
	b.initialize()
	return b.limiter.TokensAt(now) >= 1
}

// Defaults of a Backoff.
const (
	// DefaultBase is the default of Backoff.Base.
	DefaultBase = 200 * time.Millisecond
	// DefaultMax is the default of Backoff.Max.
	DefaultMax = 30 * time.Second
)

// Backoff computes the delays between attempts. Each delay is uniformly distributed between
// 0 and a maximum that doubles with every failure. The jitter spreads out the attempts of
// nodes that failed at the same time. The zero Backoff is ready to use.
type Backoff struct {
	// Base is the maximum of the first delay. Zero means DefaultBase.
	Base time.Duration
	// Max is the maximum of all delays. Zero means DefaultMax.
	Max time.Duration
	// Random is the source of the jitter. Nil means the global source of math/rand/v2.
	Random *rand.Rand

	failures int
}

// Next returns the delay before the next attempt and increments the number of failures.
func (b *Backoff) Next() time.Duration {
	maxDelay := b.maxDelay()
	b.failures++
	if b.Random == nil {
		return rand.N(maxDelay)
	}
	return time.Duration(b.Random.Int64N(int64(maxDelay)))
}

// maxDelay returns the maximum of the next delay.
func (b *Backoff) maxDelay() time.Duration {
	delay, limit := b.Base, b.Max
	if delay == 0 {
		delay = DefaultBase
	}
	if limit == 0 {
		limit = DefaultMax
	}
	for range b.failures {
		delay *= 2
		if delay >= limit {
			return limit
		}
	}
	return min(delay, limit)
}

// Reset sets the number of failures to zero. It is called after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Failures returns the number of consecutive failures.
func (b *Backoff) Failures() int { return b.failures }
