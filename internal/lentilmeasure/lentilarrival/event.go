package lentilarrival

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

// events is a heap, the earliest first, in the order of planning at equal times.
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

func (w *world) at(at time.Time, run func()) {
	w.order++
	heap.Push(&w.events, event{at: at, order: w.order, run: run})
}

func (w *world) every(period time.Duration, run func()) {
	w.at(w.clock.Now().Add(period), func() {
		run()
		w.every(period, run)
	})
}
