package lentilpin

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// state is what an agent knows about a flow.
type state uint8

const (
	// asking flows may live elsewhere; pin.place is asked.
	asking state = iota
	// local flows live here.
	local
	// remote flows live at pin.place, or that agent knows more.
	remote
)

// pin is what an agent remembers about a flow.
type pin struct {
	key   lentilroute.Key
	state state
	// token numbers the questions of an asking flow.
	token uint8
	place lentilid.Place
	// asked is when the asking began, since is from when on place is asked.
	asked, since time.Time
	// proven is when place last showed that it lives.
	proven time.Time
	// denied lists the agents that the flow doesn't live at.
	denied []lentilid.Place
	// used is when the last packet came. Pins are linked in this order.
	used           time.Time
	earlier, later *pin
}

// pins holds pins by key and by last use.
type pins struct {
	byKey          map[lentilroute.Key]*pin
	oldest, newest *pin
}

// limit bounds pins.
type limit struct {
	now  time.Time
	most int
	// replace lets a new pin take the room of the oldest.
	replace bool
}

// get returns the pin of a flow, or nil, and marks it as used.
func (s *pins) get(key lentilroute.Key, now time.Time) (p *pin) {
	p = s.byKey[key]
	if p != nil {
		s.unlink(p)
		s.link(p, now)
	}
	return p
}

// put sets what is known about a flow. It returns nil if there is no room.
func (s *pins) put(key lentilroute.Key, state state, place lentilid.Place, l limit) (p *pin) {
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
	p.state, p.place, p.denied, p.proven = state, place, nil, time.Time{}
	s.link(p, l.now)
	return p
}

// makeRoom reports whether there is room for one more pin.
func (s *pins) makeRoom(l limit) (ok bool) {
	if s.byKey == nil {
		s.byKey = make(map[lentilroute.Key]*pin)
	}
	if len(s.byKey) < l.most {
		return true
	}
	if l.replace && s.oldest != nil {
		s.remove(s.oldest.key)
		return true
	}
	return false
}

// expireBatch bounds the pins that one packet's expiry removes.
const expireBatch = 2

// expire removes a few of the pins that nobody has used for idle.
func (s *pins) expire(now time.Time, idle time.Duration) {
	for range expireBatch {
		if s.oldest == nil || now.Sub(s.oldest.used) < idle {
			return
		}
		s.remove(s.oldest.key)
	}
}

// remove forgets a flow.
func (s *pins) remove(key lentilroute.Key) {
	p := s.byKey[key]
	if p == nil {
		return
	}
	s.unlink(p)
	delete(s.byKey, key)
}

// link makes p the newest.
func (s *pins) link(p *pin, now time.Time) {
	p.used, p.earlier, p.later = now, s.newest, nil
	if s.newest != nil {
		s.newest.later = p
	} else {
		s.oldest = p
	}
	s.newest = p
}

// unlink takes p out of the order.
func (s *pins) unlink(p *pin) {
	if p.earlier != nil {
		p.earlier.later = p.later
	} else {
		s.oldest = p.later
	}
	if p.later != nil {
		p.later.earlier = p.earlier
	} else {
		s.newest = p.earlier
	}
}
