package lentilflow

import (
	"cmp"
	"time"
)

// DefaultMaxFlows bounds a Table: at about 100 bytes a flow, some 13 MB.
const DefaultMaxFlows = 1 << 17

// Table remembers a value for each flow that was used lately, in constant time and bounded
// memory. It forgets a flow that was not used for between Idle and twice Idle, and the least
// lately used half when it is full. Who reads it must be able to do without what it forgot.
// The zero Table is ready to use. It is not safe for concurrent use.
type Table[V any] struct {
	// IdleTimeout is how long an unused flow is remembered at least; zero is DefaultLife.
	IdleTimeout time.Duration
	// MaxFlows bounds the number of flows; zero is DefaultMaxFlows.
	MaxFlows int

	// Flows used since turned are in current; of the others, previous has those used in the period before.
	current, previous map[Key]*V
	rotatedAt         time.Time
}

// Len returns the number of flows.
func (t *Table[V]) Len() int { return len(t.current) + len(t.previous) }

// Get returns the value of a flow, or nil, and counts as a use of it.
func (t *Table[V]) Get(now time.Time, key Key) (value *V) {
	t.expire(now)
	if value = t.current[key]; value != nil {
		return value
	}
	if value = t.previous[key]; value != nil {
		delete(t.previous, key)
		t.current[key] = value
	}
	return value
}

// Put sets the value of a flow.
func (t *Table[V]) Put(now time.Time, key Key, value *V) {
	t.expire(now)
	if len(t.current) >= max(1, cmp.Or(t.MaxFlows, DefaultMaxFlows)/2) {
		t.rotate(now)
	}
	delete(t.previous, key)
	t.current[key] = value
}

// Delete forgets a flow.
func (t *Table[V]) Delete(key Key) {
	delete(t.current, key)
	delete(t.previous, key)
}

// ForEach calls each for every flow.
func (t *Table[V]) ForEach(each func(key Key, value *V)) {
	for _, m := range []map[Key]*V{t.current, t.previous} {
		for k, v := range m {
			each(k, v)
		}
	}
}

// expire forgets what was not used for long.
func (t *Table[V]) expire(now time.Time) {
	idle := cmp.Or(t.IdleTimeout, DefaultIdleTimeout)
	if t.current == nil {
		t.current, t.rotatedAt = make(map[Key]*V), now
	}
	switch age := now.Sub(t.rotatedAt); {
	case age >= 2*idle:
		t.rotate(now)
		t.rotate(now)
	case age >= idle:
		t.rotate(t.rotatedAt.Add(idle))
	}
}

// rotate begins a new period at the given time.
func (t *Table[V]) rotate(at time.Time) {
	t.previous, t.current, t.rotatedAt = t.current, make(map[Key]*V), at
}
