// Package lentilschedule runs scheduled events in order of time on a fake clock, so that a
// sequence of events can be repeated exactly.
package lentilschedule

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// Schedule is a queue of events with its own fake clock. The zero Schedule is empty and starts
// at the time of the zero fake clock. It is not safe for concurrent use.
type Schedule struct {
	clock lentilclock.Fake
	queue Queue
}

// Clock returns the clock, which RunUntil advances.
func (s *Schedule) Clock() *lentilclock.Fake { return &s.clock }

// Now returns the present time, which during an event is the time of the event.
func (s *Schedule) Now() time.Time { return s.clock.Now() }

// Elapsed returns the time since the start of the schedule.
func (s *Schedule) Elapsed() time.Duration {
	var zero lentilclock.Fake
	return s.Now().Sub(zero.Now())
}

// At schedules an event. Events with the same time run in the order in which they were
// scheduled.
func (s *Schedule) At(at time.Time, run func()) { s.queue.Add(at, run) }

// After schedules an event after a delay.
func (s *Schedule) After(delay time.Duration, run func()) { s.At(s.Now().Add(delay), run) }

// Every schedules an event periodically, for the first time after one period.
func (s *Schedule) Every(period time.Duration, run func()) {
	s.After(period, func() {
		run()
		s.Every(period, run)
	})
}

// RunUntil runs the events up to and including the given time.
func (s *Schedule) RunUntil(end time.Time) { s.queue.RunUntil(&s.clock, end) }
