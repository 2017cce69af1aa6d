package lentilhandoff

import "lentilstair.example/lentilstair/pkg/lentilrecord"

const (
	// margin is by how much of the mean use a copy must lie over the mean before it
	// passes anything on while it still has room.
	margin = 0.03
	// gain is how strongly a copy over the mean passes requests on.
	gain = 3.0
	// gap is by how much of what it bears a peer must be less used than the own copy.
	gap = 0.05
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
	blocked := float64(own.Now)+slot > float64(own.Bears)
	limit := own.share() - gap
	if blocked {
		limit = 1
	} else if !c.sheds(own) {
		return lentilrecord.Record{}, false
	}
	now := c.now()
	return c.recordOf(c.lessLoaded(func(p *peer) bool {
		return !now.Before(p.resting) && c.use(p) < limit
	}))
}

// sheds reports whether this request is one of those that bring a copy that is used more
// than the mean back to it.
func (c *Chooser) sheds(own Load) bool {
	use := own.share()
	over := use - c.meanUse(own)*(1+margin)
	return over > 0 && c.chance() < gain*over/use
}

func (c *Chooser) recordOf(p *peer) (chosen lentilrecord.Record, ok bool) {
	if p == nil {
		return lentilrecord.Record{}, false
	}
	return p.record, true
}
