package lentilagent

import (
	"net/netip"
	"sync"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

const (
	// balancersPerCaller is how many balancers are remembered for a caller.
	balancersPerCaller = 4
	// maxCallersPerGeneration is how many callers are remembered in a generation.
	maxCallersPerGeneration = 1 << 16
	// generationDuration is how long a generation of callers lasts; a caller is remembered
	// for one to two of them.
	generationDuration = 30 * time.Second
	// freshDuration is how long an answer goes back the way of the last packet. Later the
	// answers take turns over all known ways, so that no dead balancer holds them up.
	freshDuration = 100 * time.Millisecond
)

// returnPath is the set of balancers that lately delivered packets of a caller.
type returnPath struct {
	balancers [balancersPerCaller]netip.AddrPort
	newest    uint8
	next      uint8
	lastSeen  time.Time
}

// returnPaths remembers through which balancers each caller can be reached. The zero
// returnPaths with a clock is ready to use by several goroutines.
type returnPaths struct {
	clock lentilclock.Clock

	mu              sync.Mutex
	current         map[netip.AddrPort]*returnPath
	previous        map[netip.AddrPort]*returnPath
	generationStart time.Time
	live            map[netip.AddrPort]bool
	liveList        []netip.AddrPort
	next            int
}

// recordBalancer notes that a balancer delivered a packet of a caller.
func (s *returnPaths) recordBalancer(caller, via netip.AddrPort) {
	if !via.IsValid() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	w := s.lookup(caller, now)
	if w == nil {
		w = &returnPath{}
		s.current[caller] = w
	}
	w.lastSeen = now
	for i, known := range w.balancers {
		if known == via {
			w.newest = uint8(i)
			return
		}
	}
	w.newest = (w.newest + 1) % balancersPerCaller
	w.balancers[w.newest] = via
}

// lookup returns the way of a caller in the current generation, or nil.
func (s *returnPaths) lookup(caller netip.AddrPort, now time.Time) (w *returnPath) {
	if s.current == nil || len(s.current) >= maxCallersPerGeneration || now.Sub(s.generationStart) >= generationDuration {
		s.previous, s.current, s.generationStart = s.current, make(map[netip.AddrPort]*returnPath), now
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
func (s *returnPaths) setLive(live []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live = make(map[netip.AddrPort]bool, len(live))
	for _, a := range live {
		s.live[a] = true
	}
	s.liveList = append([]netip.AddrPort(nil), live...)
}

// chooseBalancer returns the balancer for an answer to a caller. ok is false if no
// balancer is known at all.
func (s *returnPaths) chooseBalancer(caller netip.AddrPort) (via netip.AddrPort, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	w := s.lookup(caller, now)
	if w == nil {
		return s.nextLive()
	}
	if newest := w.balancers[w.newest]; now.Sub(w.lastSeen) < freshDuration && s.alive(newest) {
		return newest, true
	}
	for range balancersPerCaller {
		w.next = (w.next + 1) % balancersPerCaller
		if via = w.balancers[w.next]; via.IsValid() && s.alive(via) {
			return via, true
		}
	}
	return s.nextLive()
}

// alive reports whether a balancer isn't known to be dead.
func (s *returnPaths) alive(via netip.AddrPort) bool { return len(s.live) == 0 || s.live[via] }

// nextLive returns some balancer that is alive, a different one each time.
func (s *returnPaths) nextLive() (via netip.AddrPort, ok bool) {
	if len(s.liveList) == 0 {
		return netip.AddrPort{}, false
	}
	s.next = (s.next + 1) % len(s.liveList)
	return s.liveList[s.next], true
}
