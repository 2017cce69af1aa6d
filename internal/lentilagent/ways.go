package lentilagent

import (
	"net/netip"
	"sync"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

const (
	// waysPerCaller is how many balancers are remembered for a caller.
	waysPerCaller = 4
	// maxWays is how many callers are remembered in a generation.
	maxWays = 1 << 16
	// wayLife is how long a generation of callers lasts; a caller is remembered
	// for one to two of them.
	wayLife = 30 * time.Second
	// wayFresh is how long an answer goes back the way of the last packet. Later the
	// answers take turns over all known ways, so that no dead balancer holds them up.
	wayFresh = 100 * time.Millisecond
)

// way is the set of balancers that lately delivered packets of a caller.
type way struct {
	via  [waysPerCaller]netip.AddrPort
	last uint8
	turn uint8
	at   time.Time
}

// ways remembers through which balancers each caller can be reached. The zero
// ways with a clock is ready to use by several goroutines.
type ways struct {
	clock lentilclock.Clock

	mu       sync.Mutex
	current  map[netip.AddrPort]*way
	previous map[netip.AddrPort]*way
	since    time.Time
	live     map[netip.AddrPort]bool
	spare    []netip.AddrPort
	turn     int
}

// learn notes that a balancer delivered a packet of a caller.
func (s *ways) learn(caller, via netip.AddrPort) {
	if !via.IsValid() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	w := s.find(caller, now)
	if w == nil {
		w = &way{}
		s.current[caller] = w
	}
	w.at = now
	for i, known := range w.via {
		if known == via {
			w.last = uint8(i)
			return
		}
	}
	w.last = (w.last + 1) % waysPerCaller
	w.via[w.last] = via
}

// find returns the way of a caller in the current generation, or nil.
func (s *ways) find(caller netip.AddrPort, now time.Time) (w *way) {
	if s.current == nil || len(s.current) >= maxWays || now.Sub(s.since) >= wayLife {
		s.previous, s.current, s.since = s.current, make(map[netip.AddrPort]*way), now
	}
	if w = s.current[caller]; w != nil {
		return w
	}
	if w = s.previous[caller]; w != nil {
		s.current[caller] = w
	}
	return w
}

// setLive says which balancers are alive; none means that it isn't known.
func (s *ways) setLive(live []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live = make(map[netip.AddrPort]bool, len(live))
	for _, a := range live {
		s.live[a] = true
	}
	s.spare = append([]netip.AddrPort(nil), live...)
}

// choose returns the balancer for an answer to a caller. ok is false if no
// balancer is known at all.
func (s *ways) choose(caller netip.AddrPort) (via netip.AddrPort, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	w := s.find(caller, now)
	if w == nil {
		return s.anyLive()
	}
	if newest := w.via[w.last]; now.Sub(w.at) < wayFresh && s.alive(newest) {
		return newest, true
	}
	for range waysPerCaller {
		w.turn = (w.turn + 1) % waysPerCaller
		if via = w.via[w.turn]; via.IsValid() && s.alive(via) {
			return via, true
		}
	}
	return s.anyLive()
}

// alive reports whether a balancer isn't known to be dead.
func (s *ways) alive(via netip.AddrPort) bool { return len(s.live) == 0 || s.live[via] }

// anyLive returns some balancer that is alive, a different one each time.
func (s *ways) anyLive() (via netip.AddrPort, ok bool) {
	if len(s.spare) == 0 {
		return netip.AddrPort{}, false
	}
	s.turn = (s.turn + 1) % len(s.spare)
	return s.spare[s.turn], true
}
