package lentilhandoff

import (
	"math"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

const (
	// pendingDecaySeconds is the time constant, in seconds, with which the load of own hand-offs
	// decays. It is about the time until they show in the load that the peer reports.
	pendingDecaySeconds = 1.0
	// queuedDecaySeconds is the time constant, in seconds, with which the queued load that a peer
	// reported decays.
	queuedDecaySeconds = 2.0
	// refusalPause is the time for which no requests are handed off to a peer that refused one.
	refusalPause = 300 * time.Millisecond
	// packetCost is the load assumed for a first packet that is handed off, in hundredths of a slot.
	packetCost = 20.0
	// slot is the load of one slot, in hundredths of a slot.
	slot = 100.0
)

// peer is the state of one peer. All loads are in hundredths of a slot.
type peer struct {
	record      lentilrecord.Record
	load        float64 // smoothed, as reported by the peer
	capacity    float64
	pendingLoad float64 // own hand-offs that may not show in load yet, decaying
	queuedLoad  float64 // requests queued at the peer, decaying
	decayedAt   time.Time
	lastSeen    time.Time
	avoidUntil  time.Time // no request is handed off before this time
}

// state is the state of a Chooser.
type state struct {
	knownPeers        []*peer // at most one for each copy, in the order in which they were added
	integralShare     float64 // part of the share of requests handed off, see integralGain
	integralUpdatedAt time.Time
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
	// The load changes without a new version. An unchanged record is sent again as well, and must
	// not overwrite a load from updateLoad.
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

// addPendingLoad adds the load of an own hand-off to a peer. If the peer has a queue, the
// hand-off counts as one more queued request as well.
func (c *Chooser) addPendingLoad(owner lentilrecord.Owner, cost float64) {
	if p := c.findPeer(owner); p != nil {
		c.decay(p)
		p.pendingLoad += cost
		if p.queuedLoad > 0 {
			p.queuedLoad += slot
		}
	}
}

// decay reduces the pending and queued load of a peer by the time since the last call.
func (c *Chooser) decay(p *peer) {
	now := c.now()
	if seconds := now.Sub(p.decayedAt).Seconds(); seconds > 0 {
		p.pendingLoad *= math.Exp(-seconds / pendingDecaySeconds)
		p.queuedLoad *= math.Exp(-seconds / queuedDecaySeconds)
		p.decayedAt = now
	}
}

// usable reports whether a peer may get new work.
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

// utilization returns the load of a peer, including own hand-offs, as a fraction of its
// capacity.
func (c *Chooser) utilization(p *peer) float64 {
	c.decay(p)
	return (p.load + p.pendingLoad) / p.capacity
}

// utilization returns the smoothed load as a fraction of the capacity.
func (l Load) utilization() float64 { return float64(l.Smoothed) / max(float64(l.Capacity), 1) }

// meanUtilization returns the total load of all usable peers and the own copy as a fraction of
// their total capacity.
func (c *Chooser) meanUtilization(own Load) float64 {
	load, capacity := float64(own.Smoothed), float64(own.Capacity)
	for _, p := range c.knownPeers {
		if c.usable(p) {
			c.decay(p)
			load += p.load + p.pendingLoad
			capacity += p.capacity
		}
	}
	return load / max(capacity, 1)
}

// pickLessLoaded returns the peer with the lower utilization of two different random peers among
// those that are usable and eligible, or nil if there is none.
func (c *Chooser) pickLessLoaded(eligible func(p *peer) bool) (chosen *peer) {
	candidates := make([]*peer, 0, len(c.knownPeers))
	for _, p := range c.knownPeers {
		if c.usable(p) && eligible(p) {
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

// randomIndex returns a random integer in [0, n).
func (c *Chooser) randomIndex(n int) int {
	if c.Random == nil {
		return 0
	}
	return min(int(c.Random()*float64(n)), n-1)
}

// randomFloat returns a random number in [0, 1).
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
