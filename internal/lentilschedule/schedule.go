// Package lentilschedule runs planned events in the order of a fake clock, so that whole
// courses of events can be repeated exactly.
package lentilschedule

import (
	"container/heap"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// Schedule is a list of events still to come. The zero Schedule is empty and starts at the time
// of the zero fake clock. It is not safe for concurrent use.
type Schedule struct {
	clock  lentilclock.Fake
	events events
	order  uint64
}

// Clock returns the clock that the events move.
func (s *Schedule) Clock() *lentilclock.Fake { return &s.clock }

// Now returns the time of the present event.
func (s *Schedule) Now() time.Time { return s.clock.Now() }

// At plans an event. Events of one time run in the order in which they were planned.
func (s *Schedule) At(at time.Time, run func()) {
	s.order++
	heap.Push(&s.events, event{at: at, order: s.order, run: run})
}

// After plans an event after a delay.
func (s *Schedule) After(delay time.Duration, run func()) { s.At(s.Now().Add(delay), run) }

// Every plans an event again and again, the first time after one period.
func (s *Schedule) Every(period time.Duration, run func()) {
	s.After(period, func() {
		run()
		s.Every(period, run)
	})
}

// Run runs the events up to and including those at the end.
func (s *Schedule) Run(end time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		if d := e.at.Sub(s.Now()); d > 0 {
			s.clock.Advance(d)
		}
		e.run()
	}
	if d := end.Sub(s.Now()); d > 0 {
		s.clock.Advance(d)
	}
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

// events is a heap, the earliest first.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event; it is called by container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event; it is called by container/heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
