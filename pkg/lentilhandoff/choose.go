package lentilhandoff

import "lentilstair.example/lentilstair/pkg/lentilrecord"

const (
	// margin is by how much of the mean use a copy must lie over the mean before it
	// passes first packets on.
	margin = 0.03
	// gain is the share of its requests that a copy passes on, over its excess over the mean;
	// integral is by how much that share grows each second, over the same excess.
	gain     = 10.0
	integral = 0.5
	// mostSlot is the most that one request counts over what a peer bears.
	mostSlot = 0.5
	// leastUse keeps the excess of an idle copy finite.
	leastUse = 0.01
	// gap is by how much of what it bears a peer must be less used than the own copy.
	gap = 0.05
	// queueGap is by how much of itself a longer queue must lie over a shorter one.
	queueGap = 0.25
)

func (c *Chooser) forPacket(own Load, hops int) (chosen lentilrecord.Record, ok bool) {
	if hops >= MaxHops {
		return lentilrecord.Record{}, false
	}
	if own.share() <= c.meanUse(own)*(1+margin) {
		return lentilrecord.Record{}, false
	}
	limit := own.share() - gap
	return c.recordOf(c.lessLoaded(func(p *peer) bool { return c.use(p) < limit }))
}

func (c *Chooser) forRequest(own Load) (chosen lentilrecord.Record, ok bool) {
	now := c.now()
	fits := func(p *peer) bool { return !now.Before(p.resting) && c.use(p) < own.share()-gap }
	switch {
	case own.blocked():
		fits = func(p *peer) bool { return !now.Before(p.resting) && c.sooner(p, own) }
	case !c.sheds(own):
		return lentilrecord.Record{}, false
	}
	return c.recordOf(c.lessLoaded(fits))
}

// blocked reports whether one more request would have to wait.
func (l Load) blocked() bool { return float64(l.Now)+slot > float64(l.Bears) }

// sooner reports whether one more request would wait less at the peer than here. A cold
// peer takes one request at a time with pauses, so a whole slot doesn't come on top there.
func (c *Chooser) sooner(p *peer, own Load) bool {
	here := (float64(own.Now) + slot) / max(float64(own.Bears), 1)
	there := c.use(p) + p.waiting/p.bears + min(slot/p.bears, mostSlot)
	return there+max(gap, (there-1)*queueGap) < here
}

// sheds reports whether this request is one of those that bring a copy that is used more
// than the mean back to it. A part of the share that is passed on follows the present
// excess, the other part what was needed over the last seconds, so that a copy that is
// slow or has busy callers settles at the mean and does not sway around it.
func (c *Chooser) sheds(own Load) bool {
	use := max(own.share(), leastUse)
	excess := (use - c.meanUse(own)) / use
	now := c.now()
	if seconds := now.Sub(c.shedAt).Seconds(); seconds > 0 {
		c.shedShare = min(max(c.shedShare+integral*excess*min(seconds, 1), 0), 1)
		c.shedAt = now
	}
	return c.chance() < c.shedShare+gain*excess
}

func (c *Chooser) recordOf(p *peer) (chosen lentilrecord.Record, ok bool) {
	if p == nil {
		return lentilrecord.Record{}, false
	}
	return p.record, true
}
