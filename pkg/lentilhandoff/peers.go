package lentilhandoff

import (
	"math"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

const (
	// settle is how long own hand-offs count on top of what is known of a peer, as a time
	// constant in seconds: about as long as a peer's load takes to show them.
	settle = 1.0
	// fade is how long what a peer said of the requests that wait there counts, as a time
	// constant in seconds.
	fade = 2.0
	// rest is how long a peer that had no room is not asked for requests.
	rest = 300 * time.Millisecond
	// packetCost is what a handed-off first packet is taken to bring, in hundredths of a slot.
	packetCost = 20.0
	// slot is one slot in hundredths.
	slot = 100.0
)

// peer is what is known of one peer.
type peer struct {
	record  lentilrecord.Record
	busy    float64 // smoothed, in hundredths of a slot
	bears   float64 // in hundredths of a slot
	pending float64 // own hand-offs that may not show in busy yet
	waiting float64 // what the peer said that waited there, fading
	at      time.Time
	seen    time.Time
	resting time.Time // until when no request is passed there
}

// peers is the state of a Chooser.
type peers struct {
	known     []*peer // at most one for each copy, in the order in which they were learned
	shedShare float64 // of the requests that is passed on while the copy has room
	shedAt    time.Time
}

func (c *Chooser) find(owner lentilrecord.Owner) *peer {
	for _, p := range c.known {
		if p.record.Owner() == owner {
			return p
		}
	}
	return nil
}

func (c *Chooser) learn(record lentilrecord.Record) {
	if record.Owner() == c.Self {
		return
	}
	now := c.now()
	p := c.find(record.Owner())
	if p == nil {
		c.known = slices.DeleteFunc(c.known, func(o *peer) bool { return o.record.Owner().Copy == record.Owner().Copy })
		p = &peer{at: now}
		c.known = append(c.known, p)
	}
	p.seen = now
	// The load is renewed under the same version, and told again when nothing is new.
	if record.Version() < p.record.Version() || record == p.record {
		return
	}
	p.record = record
	p.busy, p.bears = float64(record.Load()), float64(record.Weight())
}

func (c *Chooser) forget(owner lentilrecord.Owner) {
	c.known = slices.DeleteFunc(c.known, func(p *peer) bool { return p.record.Owner() == owner })
}

func (c *Chooser) observe(owner lentilrecord.Owner, load Load) {
	if p := c.find(owner); p != nil {
		c.decay(p)
		p.busy, p.bears = float64(load.Busy), float64(load.Bears)
		p.waiting = max(0, float64(load.Now)-float64(load.Bears))
		p.seen = p.at
	}
}

func (c *Chooser) refused(owner lentilrecord.Owner) {
	if p := c.find(owner); p != nil {
		p.resting = c.now().Add(rest)
	}
}

func (c *Chooser) sent(owner lentilrecord.Owner, cost float64) {
	if p := c.find(owner); p != nil {
		c.decay(p)
		p.pending += cost
		if p.waiting > 0 {
			p.waiting += slot
		}
	}
}

// decay lets the own hand-offs to a peer fade, as its load comes to show them.
func (c *Chooser) decay(p *peer) {
	now := c.now()
	if seconds := now.Sub(p.at).Seconds(); seconds > 0 {
		p.pending *= math.Exp(-seconds / settle)
		p.waiting *= math.Exp(-seconds / fade)
		p.at = now
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
	return p.bears > 0 && c.now().Sub(p.seen) <= c.maxAge()
}

// use returns the share of what a peer bears that is in use, with own hand-offs.
func (c *Chooser) use(p *peer) float64 {
	c.decay(p)
	return (p.busy + p.pending) / p.bears
}

// share returns the share of what the copy bears that is in use.
func (l Load) share() float64 { return float64(l.Busy) / max(float64(l.Bears), 1) }

// meanUse returns the use of all usable copies together, the own one included.
func (c *Chooser) meanUse(own Load) float64 {
	busy, bears := float64(own.Busy), float64(own.Bears)
	for _, p := range c.known {
		if c.usable(p) {
			c.decay(p)
			busy += p.busy + p.pending
			bears += p.bears
		}
	}
	return busy / max(bears, 1)
}

// lessLoaded returns the less used of two different random peers among those that fit.
func (c *Chooser) lessLoaded(fits func(p *peer) bool) (chosen *peer) {
	candidates := make([]*peer, 0, len(c.known))
	for _, p := range c.known {
		if c.usable(p) && fits(p) {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	first := c.pick(len(candidates))
	chosen = candidates[first]
	if len(candidates) == 1 {
		return chosen
	}
	second := candidates[(first+1+c.pick(len(candidates)-1))%len(candidates)]
	if c.use(second) < c.use(chosen) {
		return second
	}
	return chosen
}

// pick returns a random number from 0 up to n.
func (c *Chooser) pick(n int) int {
	if c.Random == nil {
		return 0
	}
	return min(int(c.Random()*float64(n)), n-1)
}

func (c *Chooser) chance() float64 {
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
