package lentilpin

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// pinState is what an agent knows about a flow.
type pinState uint8

const (
	// lookingUp flows may live elsewhere; pin.place is asked.
	lookingUp pinState = iota
	// local flows live here.
	local
	// remote flows live at pin.place, or that agent knows more.
	remote
)

// pin is what an agent remembers about a flow.
type pin struct {
	key   lentilroute.Key
	state pinState
	// token numbers the questions of an asking flow.
	token uint8
	place lentilid.Place
	// lookupStartedAt is when the asking began, placeAskedAt is from when on place is lookupStartedAt.
	lookupStartedAt, placeAskedAt time.Time
	// placeSeenAt is when place last showed that it lives.
	placeSeenAt time.Time
	// denied lists the agents that the flow doesn't live at.
	denied []lentilid.Place
	// lastUsed is when the last packet came. Pins are linked in this order.
	lastUsed     time.Time
	older, newer *pin
}

// pinStore holds pinStore by key and by last use.
type pinStore struct {
	byKey          map[lentilroute.Key]*pin
	oldest, newest *pin
}

// pinLimit bounds pins.
type pinLimit struct {
	now     time.Time
	maxPins int
	// evictOldest lets a new pin take the room of the oldest.
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

// put sets what is known about a flow. It returns nil if there is no room.
func (s *pinStore) put(key lentilroute.Key, state pinState, place lentilid.Place, l pinLimit) (p *pin) {
	p = s.byKey[key]
	if p == nil {
		if !s.makeRoom(l) {
			return nil
		}
		p = &pin{key: key}
		s.byKey[key] = p
	} else {
		s.unlink(p)
	}
	p.state, p.place, p.denied, p.placeSeenAt = state, place, nil, time.Time{}
	s.link(p, l.now)
	return p
}

// makeRoom reports whether there is room for one more pin.
func (s *pinStore) makeRoom(l pinLimit) (ok bool) {
	if s.byKey == nil {
		s.byKey = make(map[lentilroute.Key]*pin)
	}
	if len(s.byKey) < l.maxPins {
		return true
	}
	if l.evictOldest && s.oldest != nil {
		s.remove(s.oldest.key)
		return true
	}
	return false
}

// expireBatch bounds the pins that one packet's expiry removes.
const expireBatch = 2

// expire removes a few of the pins that nobody has used for idle.
func (s *pinStore) expire(now time.Time, idle time.Duration) {
	for range expireBatch {
		if s.oldest == nil || now.Sub(s.oldest.lastUsed) < idle {
			return
		}
		s.remove(s.oldest.key)
	}
}

// remove forgets a flow.
func (s *pinStore) remove(key lentilroute.Key) {
	p := s.byKey[key]
	if p == nil {
		return
	}
	s.unlink(p)
	delete(s.byKey, key)
}

// link makes p the newest.
func (s *pinStore) link(p *pin, now time.Time) {
	p.lastUsed, p.older, p.newer = now, s.newest, nil
	if s.newest != nil {
		s.newest.newer = p
	} else {
		s.oldest = p
	}
	s.newest = p
}

// unlink takes p out of the order.
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
