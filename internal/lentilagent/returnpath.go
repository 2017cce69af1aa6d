package lentilagent

import (
	"net/netip"
	"sync"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

const (
	// balancersPerCaller is the number of balancers that are remembered for a caller.
	balancersPerCaller = 4
	// maxCallersPerGeneration is the number of callers that are remembered in a generation.
	maxCallersPerGeneration = 1 << 16
	// generationDuration is how long a generation of callers lasts. A caller is remembered
	// for one to two generations.
	generationDuration = 30 * time.Second
	// freshDuration is how long after a caller's last packet answers go through the balancer
	// that delivered it. After that, answers rotate over all of the caller's balancers, so
	// that a dead balancer doesn't hold all of them up.
	freshDuration = 100 * time.Millisecond
)

// returnPath holds the balancers that recently delivered packets of one caller: newest is the
// index of the latest, next that of the last one used in rotation.
type returnPath struct {
	balancers [balancersPerCaller]netip.AddrPort
	newest    uint8
	next      uint8
	lastSeen  time.Time
}

// returnPaths remembers through which balancers each caller can be reached. A zero
// returnPaths with its clock set is ready to use and safe for concurrent use.
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

// recordBalancer records that a balancer has delivered a packet of a caller.
func (p *returnPaths) recordBalancer(caller, via netip.AddrPort) {
	if !via.IsValid() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	path := p.lookup(caller, now)
	if path == nil {
		path = &returnPath{}
		p.current[caller] = path
	}
	path.lastSeen = now
	for i, known := range path.balancers {
		if known == via {
			path.newest = uint8(i)
			return
		}
	}
	path.newest = (path.newest + 1) % balancersPerCaller
	path.balancers[path.newest] = via
}

// lookup returns the return path of a caller, or nil. It starts a new generation if the
// current one is full or has ended, and moves the caller into the current one.
func (p *returnPaths) lookup(caller netip.AddrPort, now time.Time) (path *returnPath) {
	if p.current == nil || len(p.current) >= maxCallersPerGeneration || now.Sub(p.generationStart) >= generationDuration {
		p.previous, p.current, p.generationStart = p.current, make(map[netip.AddrPort]*returnPath), now
	}
	if path = p.current[caller]; path != nil {
		return path
	}
	if path = p.previous[caller]; path != nil {
		p.current[caller] = path
	}
	return path
}

// setLive sets the live balancers. An empty list means that they are not known.
func (p *returnPaths) setLive(live []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live = make(map[netip.AddrPort]bool, len(live))
	for _, via := range live {
		p.live[via] = true
	}
	p.liveList = append([]netip.AddrPort(nil), live...)
}

// chooseBalancer returns the balancer for an answer to a caller: the one that delivered the
// caller's last packet if that is recent, else the next live one in rotation. ok is false if
// no balancer is known.
func (p *returnPaths) chooseBalancer(caller netip.AddrPort) (via netip.AddrPort, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	path := p.lookup(caller, now)
	if path == nil {
		return p.nextLive()
	}
	if newest := path.balancers[path.newest]; now.Sub(path.lastSeen) < freshDuration && p.alive(newest) {
		return newest, true
	}
	for range balancersPerCaller {
		path.next = (path.next + 1) % balancersPerCaller
		if via = path.balancers[path.next]; via.IsValid() && p.alive(via) {
			return via, true
		}
	}
	return p.nextLive()
}

// alive reports whether a balancer is live, or the live balancers aren't known.
func (p *returnPaths) alive(via netip.AddrPort) bool { return len(p.live) == 0 || p.live[via] }

// nextLive returns the next of the live balancers in rotation.
func (p *returnPaths) nextLive() (via netip.AddrPort, ok bool) {
	if len(p.liveList) == 0 {
		return netip.AddrPort{}, false
	}
	p.next = (p.next + 1) % len(p.liveList)
	return p.liveList[p.next], true
}
