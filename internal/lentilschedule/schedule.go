// Package lentilschedule runs planned events in the order of a fake clock, so that whole
// courses of events can be repeated exactly.
package lentilschedule

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// Schedule is a queue of events with a clock of its own. The zero Schedule is empty and starts
// at the time of the zero fake clock. It is not safe for concurrent use.
type Schedule struct {
	clock lentilclock.Fake
	queue Queue
}

// Clock returns the clock that the events move.
func (s *Schedule) Clock() *lentilclock.Fake { return &s.clock }

// Now returns the time of the present event.
func (s *Schedule) Now() time.Time { return s.clock.Now() }

// Elapsed returns the time since the start of the schedule.
func (s *Schedule) Elapsed() time.Duration {
	var zero lentilclock.Fake
	return s.Now().Sub(zero.Now())
}

// At plans an event. Events of one time run in the order in which they were planned.
func (s *Schedule) At(at time.Time, run func()) { s.queue.Add(at, run) }

// After plans an event after a delay.
func (s *Schedule) After(delay time.Duration, run func()) { s.At(s.Now().Add(delay), run) }

// Every plans an event again and again, the first time after one period.
func (s *Schedule) Every(period time.Duration, run func()) {
	s.After(period, func() {
		run()
		s.Every(period, run)
	})
}

// RunUntil runs the events up to and including those at the end.
func (s *Schedule) RunUntil(end time.Time) { s.queue.RunUntil(&s.clock, end) }
