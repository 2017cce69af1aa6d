// Package lentilclock passes time into the state machines, so that a test or a
// bench decides what the time is.
package lentilclock

import (
	"sync"
	"time"
)

// Clock tells the time. State machines measure durations with it and never
// compare its readings with those of another process.
type Clock interface {
	// Now returns the current time, with a monotonic reading where there is one.
	Now() time.Time
}

// System is the clock of the machine.
type System struct{}

// Now returns the machine's time.
func (System) Now() time.Time { return time.Now() }

// OrSystem returns the clock, or the machine's if it is nil, so that the zero value of a
// state machine with a clock works.
func OrSystem(clock Clock) Clock {
	if clock == nil {
		return System{}
	}
	return clock
}

// Fake is a clock that moves only when told to. The zero Fake starts at the
// Unix epoch and is ready to use by several goroutines.
type Fake struct {
	mu     sync.Mutex
	offset time.Duration
}

// Now returns the time to which the clock has been moved.
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
