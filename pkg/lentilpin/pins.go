package lentilpin

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// pinState says where a flow lives.
type pinState uint8

const (
	// lookingUp flows may live at another agent; pin.place is being asked.
	lookingUp pinState = iota
	// local flows live at this agent.
	local
	// remote flows live at pin.place, or its agent decides where they live.
	remote
)

// pin is the entry for one flow.
type pin struct {
	key   lentilroute.Key
	state pinState
	// token is the number of the current Ask while the flow is looked up.
	token uint8
	place lentilid.Place
	// lookupStartedAt is the start of the lookup, placeAskedAt the time since which
	// place is being asked.
	lookupStartedAt, placeAskedAt time.Time
	// placeSeenAt is the time of the Ask by which the flow was pinned to place. It is zero if
	// the flow was pinned in another way.
	placeSeenAt time.Time
	// denied lists the agents that have denied the flow.
	denied []lentilid.Place
	// lastUsed is the time of the latest use. Pins are linked in this order.
	lastUsed     time.Time
	older, newer *pin
}

// pinStore holds pins by key, and in a linked list in the order of their last use.
type pinStore struct {
	byKey          map[lentilroute.Key]*pin
	oldest, newest *pin
}

// pinLimit bounds the number of pins in a pinStore.
type pinLimit struct {
	now     time.Time
	maxPins int
	// evictOldest lets a new pin replace the oldest one if the store is full.
	evictOldest bool
}

// get returns the pin of a flow, or nil, and marks it as used.
func (s *pinStore) get(key lentilroute.Key, now time.Time) (p *pin) {
	p = s.byKey[key]
	if p != nil {
		s.unlink(p)
		s.link(p, now)
	}
	return p
}

// put adds or overwrites the pin of a flow. It returns nil if the store is full.
func (s *pinStore) put(key lentilroute.Key, state pinState, place lentilid.Place, limit pinLimit) (p *pin) {
	p = s.byKey[key]
	if p == nil {
		if !s.makeRoom(limit) {
			return nil
		}
		p = &pin{key: key}
		s.byKey[key] = p
	} else {
		s.unlink(p)
	}
	p.state, p.place, p.denied, p.placeSeenAt = state, place, nil, time.Time{}
	s.link(p, limit.now)
	return p
}

// makeRoom reports whether one more pin can be added. It may evict the oldest pin.
func (s *pinStore) makeRoom(limit pinLimit) (ok bool) {
	if s.byKey == nil {
		s.byKey = make(map[lentilroute.Key]*pin)
	}
	if len(s.byKey) < limit.maxPins {
		return true
	}
	if limit.evictOldest && s.oldest != nil {
		s.remove(s.oldest.key)
		return true
	}
	return false
}

// expireBatch is the highest number of pins that one call of expire removes.
const expireBatch = 2

// expire removes up to expireBatch pins that have not been used for idleTimeout.
func (s *pinStore) expire(now time.Time, idleTimeout time.Duration) {
	for range expireBatch {
		if s.oldest == nil || now.Sub(s.oldest.lastUsed) < idleTimeout {
			return
		}
		s.remove(s.oldest.key)
	}
}

// remove deletes the pin of a flow.
func (s *pinStore) remove(key lentilroute.Key) {
	p := s.byKey[key]
	if p == nil {
		return
	}
	s.unlink(p)
	delete(s.byKey, key)
}

// link appends p to the list as the newest pin.
func (s *pinStore) link(p *pin, now time.Time) {
	p.lastUsed, p.older, p.newer = now, s.newest, nil
	if s.newest != nil {
		s.newest.newer = p
	} else {
		s.oldest = p
	}
	s.newest = p
}

// unlink removes p from the list.
func (s *pinStore) unlink(p *pin) {
	if p.older != nil {
		p.older.newer = p.newer
	} else {
		s.oldest = p.newer
	}
	if p.newer != nil {
		p.newer.older = p.older
	} else {
		s.newest = p.older
	}
}
