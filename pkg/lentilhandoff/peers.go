package lentilhandoff

import (
	"math"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

const (
	// pendingDecaySeconds is how long own hand-offs count on top of what is known of a peer, as a time
	// constant in seconds: about as long as a peer's load takes to show them.
	pendingDecaySeconds = 1.0
	// queuedDecaySeconds is how long what a peer said of the requests that wait there counts, as a time
	// constant in seconds.
	queuedDecaySeconds = 2.0
	// refusalPause is how long a peer that had no room is not asked for requests.
	refusalPause = 300 * time.Millisecond
	// packetCost is what a handed-off first packet is taken to bring, in hundredths of a slot.
	packetCost = 20.0
	// slot is one slot in hundredths.
	slot = 100.0
)

// peer is what is known of one peer.
type peer struct {
	record      lentilrecord.Record
	load        float64 // smoothed, in hundredths of a slot
	capacity    float64 // in hundredths of a slot
	pendingLoad float64 // own hand-offs that may not show in busy yet
	queuedLoad  float64 // what the peer said that waited there, fading
	decayedAt   time.Time
	lastSeen    time.Time
	avoidUntil  time.Time // until when no request is passed there
}

// state is the state of a Chooser.
type state struct {
	knownPeers     []*peer // at most one for each copy, in the order in which they were learned
	handOffShare   float64 // of the requests that is passed on while the copy has room
	handOffShareAt time.Time
}

func (c *Chooser) findPeer(owner lentilrecord.Owner) *peer {
	for _, p := range c.knownPeers {
		if p.record.Owner() == owner {
			return p
		}
	}
	return nil
}

func (c *Chooser) applyRecord(record lentilrecord.Record) {
	if record.Owner() == c.Self {
		return
	}
	now := c.now()
	p := c.findPeer(record.Owner())
	if p == nil {
		c.knownPeers = slices.DeleteFunc(c.knownPeers, func(o *peer) bool { return o.record.Owner().Copy == record.Owner().Copy })
		p = &peer{decayedAt: now}
		c.knownPeers = append(c.knownPeers, p)
	}
	p.lastSeen = now
	// The load is renewed under the same version, and told again when nothing is new.
	if record.Version() < p.record.Version() || record == p.record {
		return
	}
	p.record = record
	p.load, p.capacity = float64(record.Load()), float64(record.Weight())
}

func (c *Chooser) removeRecord(owner lentilrecord.Owner) {
	c.knownPeers = slices.DeleteFunc(c.knownPeers, func(p *peer) bool { return p.record.Owner() == owner })
}

func (c *Chooser) updateLoad(owner lentilrecord.Owner, load Load) {
	if p := c.findPeer(owner); p != nil {
		c.decay(p)
		p.load, p.capacity = float64(load.Smoothed), float64(load.Capacity)
		p.queuedLoad = max(0, float64(load.Demand)-float64(load.Capacity))
		p.lastSeen = p.decayedAt
	}
}

func (c *Chooser) recordRefusal(owner lentilrecord.Owner) {
	if p := c.findPeer(owner); p != nil {
		p.avoidUntil = c.now().Add(refusalPause)
	}
}

func (c *Chooser) addPendingLoad(owner lentilrecord.Owner, cost float64) {
	if p := c.findPeer(owner); p != nil {
		c.decay(p)
		p.pendingLoad += cost
		if p.queuedLoad > 0 {
			p.queuedLoad += slot
		}
	}
}

// decay lets the own hand-offs to a peer fade, as its load comes to show them.
func (c *Chooser) decay(p *peer) {
	now := c.now()
	if seconds := now.Sub(p.decayedAt).Seconds(); seconds > 0 {
		p.pendingLoad *= math.Exp(-seconds / pendingDecaySeconds)
		p.queuedLoad *= math.Exp(-seconds / queuedDecaySeconds)
		p.decayedAt = now
	}
}

// usable reports whether a peer may get new work at all.
func (c *Chooser) usable(p *peer) bool {
	phase := p.record.Phase()
	if phase != lentilrecord.Ready && phase != lentilrecord.Warming {
		return false
	}
	if c.Out != nil && c.Out(p.record.Place().Domain()) {
		return false
	}
	return p.capacity > 0 && c.now().Sub(p.lastSeen) <= c.maxAge()
}

// utilization returns the share of what a peer bears that is in utilization, with own hand-offs.
func (c *Chooser) utilization(p *peer) float64 {
	c.decay(p)
	return (p.load + p.pendingLoad) / p.capacity
}

// utilization returns the utilization of what the copy bears that is in use.
func (l Load) utilization() float64 { return float64(l.Smoothed) / max(float64(l.Capacity), 1) }

// meanUtilization returns the use of all usable copies together, the own one included.
func (c *Chooser) meanUtilization(own Load) float64 {
	busy, bears := float64(own.Smoothed), float64(own.Capacity)
	for _, p := range c.knownPeers {
		if c.usable(p) {
			c.decay(p)
			busy += p.load + p.pendingLoad
			bears += p.capacity
		}
	}
	return busy / max(bears, 1)
}

// pickLessLoaded returns the less used of two different random peers among those that fit.
func (c *Chooser) pickLessLoaded(fits func(p *peer) bool) (chosen *peer) {
	candidates := make([]*peer, 0, len(c.knownPeers))
	for _, p := range c.knownPeers {
		if c.usable(p) && fits(p) {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	first := c.randomIndex(len(candidates))
	chosen = candidates[first]
	if len(candidates) == 1 {
		return chosen
	}
	second := candidates[(first+1+c.randomIndex(len(candidates)-1))%len(candidates)]
	if c.utilization(second) < c.utilization(chosen) {
		return second
	}
	return chosen
}

// randomIndex returns a random number from 0 up to n.
func (c *Chooser) randomIndex(n int) int {
	if c.Random == nil {
		return 0
	}
	return min(int(c.Random()*float64(n)), n-1)
}

func (c *Chooser) randomFloat() float64 {
	if c.Random == nil {
		return 0
	}
	return c.Random()
}

func (c *Chooser) maxAge() time.Duration {
	if c.MaxAge == 0 {
		return DefaultMaxAge
	}
	return c.MaxAge
}

func (c *Chooser) now() time.Time {
	if c.Clock == nil {
		return time.Now()
	}
	return c.Clock.Now()
}
