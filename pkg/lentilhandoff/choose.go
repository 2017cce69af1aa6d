package lentilhandoff

import "lentilstair.example/lentilstair/pkg/lentilrecord"

const (
	// packetExcessMargin is by how much of the mean use a copy must lie over the mean before it
	// passes first packets on.
	packetExcessMargin = 0.03
	// proportionalGain is the share of its requests that a copy passes on, over its excess over the mean;
	// integral is by how much that share grows each second, over the same excess.
	proportionalGain = 10.0
	integralGain     = 0.5
	// maxRequestUtilization is the most that one request counts over what a peer bears.
	maxRequestUtilization = 0.5
	// minUtilization keeps the excess of an idle copy finite.
	minUtilization = 0.01
	// minUtilizationGap is by how much of what it bears a peer must be less used than the own copy.
	minUtilizationGap = 0.05
	// minQueueGap is by how much of itself a longer queue must lie over a shorter one.
	minQueueGap = 0.25
)

func (c *Chooser) chooseForPacket(own Load, hops int) (chosen lentilrecord.Record, ok bool) {
	if hops >= MaxHops {
		return lentilrecord.Record{}, false
	}
	if own.utilization() <= c.meanUtilization(own)*(1+packetExcessMargin) {
		return lentilrecord.Record{}, false
	}
	limit := own.utilization() - minUtilizationGap
	return c.recordOf(c.pickLessLoaded(func(p *peer) bool { return c.utilization(p) < limit }))
}

func (c *Chooser) chooseForRequest(own Load) (chosen lentilrecord.Record, ok bool) {
	now := c.now()
	fits := func(p *peer) bool {
		return !now.Before(p.avoidUntil) && c.utilization(p) < own.utilization()-minUtilizationGap
	}
	switch {
	case own.mustQueue():
		fits = func(p *peer) bool { return !now.Before(p.avoidUntil) && c.shorterWaitAt(p, own) }
	case !c.shouldHandOff(own):
		return lentilrecord.Record{}, false
	}
	return c.recordOf(c.pickLessLoaded(fits))
}

// mustQueue reports whether one more request would have to wait.
func (l Load) mustQueue() bool { return float64(l.Demand)+slot > float64(l.Capacity) }

// shorterWaitAt reports whether one more request would wait less at the peer than here. A cold
// peer takes one request at a time with pauses, so a whole slot doesn't come on top there.
func (c *Chooser) shorterWaitAt(p *peer, own Load) bool {
	here := (float64(own.Demand) + slot) / max(float64(own.Capacity), 1)
	there := c.utilization(p) + p.queuedLoad/p.capacity + min(slot/p.capacity, maxRequestUtilization)
	return there+max(minUtilizationGap, (there-1)*minQueueGap) < here
}

// shouldHandOff reports whether this request is one of those that bring a copy that is used more
// than the mean back to it. A part of the share that is passed on follows the present
// excess, the other part what was needed over the last seconds, so that a copy that is
// slow or has busy callers settles at the mean and does not sway around it.
func (c *Chooser) shouldHandOff(own Load) bool {
	use := max(own.utilization(), minUtilization)
	excess := (use - c.meanUtilization(own)) / use
	now := c.now()
	if seconds := now.Sub(c.handOffShareAt).Seconds(); seconds > 0 {
		c.handOffShare = min(max(c.handOffShare+integralGain*excess*min(seconds, 1), 0), 1)
		c.handOffShareAt = now
	}
	return c.randomFloat() < c.handOffShare+proportionalGain*excess
}

func (c *Chooser) recordOf(p *peer) (chosen lentilrecord.Record, ok bool) {
	if p == nil {
		return lentilrecord.Record{}, false
	}
	return p.record, true
}
