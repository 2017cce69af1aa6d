// Package lentilera decides what to believe after the store has returned from an older copy. Such a store has lost what
// it acknowledged in its last seconds, also to this process, and begins a new era, in which it gives out revisions
// again. Positions in its history are therefore compared by era first. What existed before the return counts until the
// writers have had the time to write it again.
//
// The package is designed for drills and failovers: a few returns a year, or several in a minute.
package lentilera

import (
	"cmp"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// SettleTime is how long after the return of the store its content may lack objects that were acknowledged before:
// their writers need about two seconds to write them again.
const SettleTime = 2 * time.Second

// Position is a point in the history of the store. A store that returns from an older copy begins a new era, in which
// it gives out revisions again that it has given out before, for other changes. A store that doesn't tell its era is
// in era 0.
type Position struct{ Era, Revision uint64 }

// Compare returns -1, 0 or 1 if p is before, equal to or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Tracker follows the era of the store as a process learns it from the store and from other processes. The zero
// Tracker knows no era. It is not safe for concurrent use.
type Tracker struct {
	// Clock provides the time; nil means the system clock.
	Clock lentilclock.Clock

	era   uint64
	known bool
	// knownAt is when the era was first seen, and age how long another process had known it then.
	knownAt time.Time
	age     time.Duration
}

func (t *Tracker) now() time.Time { return lentilclock.OrSystem(t.Clock).Now() }

// Era returns the last era; 0 if none is known.
func (t *Tracker) Era() uint64 { return t.era }

// Age returns how long the era is known to have lasted.
func (t *Tracker) Age() time.Duration {
	if !t.known {
		return 0
	}
	return t.age + t.now().Sub(t.knownAt)
}

// Observe records an era that the store or another process reports, and for how long the latter has known it. It
// reports whether the store has returned since the last era that this process knew. An earlier era is ignored: the
// answer was given before the return.
func (t *Tracker) Observe(era uint64, age time.Duration) (returned bool) {
	switch {
	case t.known && era < t.era:
		return false
	case t.known && era == t.era:
		t.age += max(0, age-t.Age())
		return false
	}
	returned = t.known
	t.era, t.known, t.knownAt, t.age = era, true, t.now(), age
	return returned
}

// Survivors decides which objects count after the store has returned from an older copy. An object that existed
// before the return counts until a list shows, SettleTime after this process learned of the return or later, that it
// doesn't exist any more, or until its removal is reported: it may have been written within the time that the store
// has lost. The zero Survivors is ready to use. It is not safe for concurrent use.
type Survivors struct {
	// Clock provides the time; nil means the system clock.
	Clock lentilclock.Clock

	names map[string]bool
	era   uint64
	// kept has the names that the new era hasn't confirmed, and settledAt is until when they count.
	kept      map[string]bool
	settledAt time.Time
}

// Replace takes a list of all objects that was read in the given era. It returns the names that count, and those that
// count only because the list may be too young.
func (s *Survivors) Replace(era uint64, listed map[string]bool) (names, unconfirmed map[string]bool) {
	now := lentilclock.OrSystem(s.Clock).Now()
	if s.names != nil && era > s.era {
		s.kept, s.settledAt = s.names, now.Add(SettleTime)
	}
	if !now.Before(s.settledAt) {
		s.kept = nil
	}
	s.era, s.names = era, make(map[string]bool, len(listed))
	for name := range listed {
		s.names[name] = true
	}
	unconfirmed = make(map[string]bool)
	for name := range s.kept {
		if !s.names[name] {
			s.names[name], unconfirmed[name] = true, true
		}
	}
	return s.names, unconfirmed
}

// Apply takes a change of one object: it was written or removed. It returns the names that count.
func (s *Survivors) Apply(name string, removed bool) (names map[string]bool) {
	next := make(map[string]bool, len(s.names)+1)
	for other := range s.names {
		next[other] = true
	}
	if removed {
		delete(next, name)
		delete(s.kept, name)
	} else {
		next[name] = true
	}
	s.names = next
	return next
}
