package lentilflow

import (
	"cmp"
	"time"
)

// DefaultMaxFlows is the default size limit of a Table: about 13 MB at about 100 bytes per flow.
const DefaultMaxFlows = 1 << 17

// Table holds a value for each recently used flow, with constant-time operations and bounded memory.
// It forgets a flow after it has been unused for between IdleTimeout and twice IdleTimeout. When it is
// full, it forgets the least recently used half. Callers must tolerate missing entries.
// The zero Table is ready to use. It is not safe for concurrent use.
type Table[V any] struct {
	// IdleTimeout is the minimum time for which an unused flow is kept; zero means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// MaxFlows is the maximum number of flows; zero means DefaultMaxFlows.
	MaxFlows int

	// current holds the flows used since rotatedAt, previous the other flows used in the period before it.
	current, previous map[Key]*V
	rotatedAt         time.Time
}

// Len returns the number of flows.
func (t *Table[V]) Len() int { return len(t.current) + len(t.previous) }

// Get returns the value of a flow, or nil if the table has none. It counts as a use of the flow.
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

// Put sets the value of a flow. It counts as a use of the flow.
func (t *Table[V]) Put(now time.Time, key Key, value *V) {
	t.expire(now)
	if len(t.current) >= max(1, cmp.Or(t.MaxFlows, DefaultMaxFlows)/2) {
		t.rotate(now)
	}
	delete(t.previous, key)
	t.current[key] = value
}

// Delete removes a flow.
func (t *Table[V]) Delete(key Key) {
	delete(t.current, key)
	delete(t.previous, key)
}

// ForEach calls visit for every flow, in no particular order.
func (t *Table[V]) ForEach(visit func(key Key, value *V)) {
	for _, m := range []map[Key]*V{t.current, t.previous} {
		for k, v := range m {
			visit(k, v)
		}
	}
}

// expire rotates the maps if their period has passed, which drops flows that have been unused for too long.
func (t *Table[V]) expire(now time.Time) {
	idleTimeout := cmp.Or(t.IdleTimeout, DefaultIdleTimeout)
	if t.current == nil {
		t.current, t.rotatedAt = make(map[Key]*V), now
	}
	switch age := now.Sub(t.rotatedAt); {
	case age >= 2*idleTimeout:
		t.rotate(now)
		t.rotate(now)
	case age >= idleTimeout:
		t.rotate(t.rotatedAt.Add(idleTimeout))
	}
}

// rotate starts a new period at the given time and drops the flows last used before the period that ends.
func (t *Table[V]) rotate(at time.Time) {
	t.previous, t.current, t.rotatedAt = t.current, make(map[Key]*V), at
}
