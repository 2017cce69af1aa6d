package lentilschedule

import (
	"container/heap"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// Queue holds scheduled events for callers that have a fake clock of their own. The zero
// Queue is empty. It is not safe for concurrent use.
type Queue struct {
	events       eventHeap
	lastSequence uint64
}

// Add schedules an event. Events with the same time run in the order in which they were added.
func (q *Queue) Add(at time.Time, run func()) {
	q.lastSequence++
	heap.Push(&q.events, event{at: at, sequence: q.lastSequence, run: run})
}

// RunUntil advances the clock to the end and runs every event that is due until then, the end
// included. Events that are added during the run are run as well.
func (q *Queue) RunUntil(clock *lentilclock.Fake, end time.Time) {
	for len(q.events) > 0 && !q.events[0].at.After(end) {
		e := heap.Pop(&q.events).(event)
		if d := e.at.Sub(clock.Now()); d > 0 {
			clock.Advance(d)
		}
		e.run()
	}
	if d := end.Sub(clock.Now()); d > 0 {
		clock.Advance(d)
	}
}

// event is a function that runs at a given time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventHeap is a heap of events with the earliest event first.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event, for container/heap.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes and returns the last event, for container/heap.
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
