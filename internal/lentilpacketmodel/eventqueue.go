package lentilpacketmodel

import "time"

// event is a function that runs at a simulated time. Events of the same time run in the order of their numbers.
type event struct {
	// at is the time since the start of the simulation.
	at     time.Duration
	number uint64
	// function is the index of the event's function in eventQueue.functions.
	function int
}

func (e event) before(other event) bool {
	return e.at < other.at || e.at == other.at && e.number < other.number
}

// eventQueue is a binary heap of events. Most of a simulation's time goes into it, so its entries hold no pointers,
// which would cost a write barrier for each move, and it doesn't use an interface as container/heap does.
type eventQueue struct {
	heap       []event
	functions  []func()
	free       []int
	lastNumber uint64
}

func (q *eventQueue) push(at time.Duration, run func()) {
	q.lastNumber++
	e := event{at: at, number: q.lastNumber}
	if n := len(q.free); n > 0 {
		e.function, q.free = q.free[n-1], q.free[:n-1]
		q.functions[e.function] = run
	} else {
		e.function = len(q.functions)
		q.functions = append(q.functions, run)
	}
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

// pop removes and returns the next event that is due by until.
func (q *eventQueue) pop(until time.Duration) (at time.Duration, run func(), ok bool) {
	if len(q.heap) == 0 || q.heap[0].at > until {
		return 0, nil, false
	}
	first := q.heap[0]
	run = q.functions[first.function]
	q.functions[first.function] = nil
	q.free = append(q.free, first.function)
	last := q.heap[len(q.heap)-1]
	q.heap = q.heap[:len(q.heap)-1]
	if n := len(q.heap); n > 0 {
		i := 0
		for {
			child := 2*i + 1
			if child >= n {
				break
			}
			if child+1 < n && q.heap[child+1].before(q.heap[child]) {
				child++
			}
			if !q.heap[child].before(last) {
				break
			}
			q.heap[i] = q.heap[child]
			i = child
		}
		q.heap[i] = last
	}
	return first.at, run, true
}
