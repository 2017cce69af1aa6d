// Package lentilclock provides the time to state machines. Tests and simulations replace the
// clock to control the time.
package lentilclock

import (
	"sync"
	"time"
)

// Clock is a source of the current time. State machines use it to measure durations. They
// never compare its readings with those of another process.
type Clock interface {
	// Now returns the current time, with a monotonic reading if the clock has one.
	Now() time.Time
}

// System is the system clock.
type System struct{}

// Now returns the current system time.
func (System) Now() time.Time { return time.Now() }

// OrSystem returns the clock, or the system clock if it is nil. With it, the zero value of a
// state machine uses the system clock.
func OrSystem(clock Clock) Clock {
	if clock == nil {
		return System{}
	}
	return clock
}

// Fake is a clock that only Advance changes. The zero Fake is ready to use and starts at the
// Unix epoch. It is safe for concurrent use.
type Fake struct {
	mu     sync.Mutex
	offset time.Duration
}

// Now returns the Unix epoch plus the sum of all advances.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Unix(0, 0).UTC().Add(f.offset)
}

// Advance moves the clock forward by d, or back if d is negative.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offset += d
}
