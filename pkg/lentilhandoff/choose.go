package lentilhandoff

import "lentilstair.example/lentilstair/pkg/lentilrecord"

const (
	// packetExcessMargin is the fraction of the mean utilization by which a copy must exceed the
	// mean before it hands off first packets.
	packetExcessMargin = 0.03
	// proportionalGain is the share of requests that a copy hands off per unit of its relative
	// excess over the mean utilization.
	proportionalGain = 10.0
	// integralGain is the growth of that share per second and unit of the same excess.
	integralGain = 0.5
	// maxRequestUtilization is the maximum utilization that one more request adds at a peer.
	maxRequestUtilization = 0.5
	// maxHedgeUtilization is the utilization of a peer above which it gets no extra attempts. A peer
	// with two slots and this utilization is seldom without a free slot for long.
	maxHedgeUtilization = 0.85
	// minUtilization is the lower bound of the own utilization when the relative excess is
	// computed. It keeps the excess of an idle copy finite.
	minUtilization = 0.01
	// minUtilizationGap is the minimum by which the utilization of a chosen peer is lower than
	// that of the own copy. For a request that the own copy would queue, it is the minimum
	// difference in demand relative to capacity.
	minUtilizationGap = 0.05
	// minQueueGap is the fraction of a peer's queue by which the own queue must be longer.
	minQueueGap = 0.25
)

func (c *Chooser) chooseForPacket(own Load, hops int) (chosen lentilrecord.Record, ok bool) {
	if hops >= MaxPacketHandOffs {
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
	eligible := func(p *peer) bool {
		return !now.Before(p.avoidUntil) && c.utilization(p) < own.utilization()-minUtilizationGap
	}
	switch {
	case own.mustQueue():
		eligible = func(p *peer) bool { return !now.Before(p.avoidUntil) && c.shorterWaitAt(p, own) }
	case !c.shouldHandOff(own):
		return lentilrecord.Record{}, false
	}
	return c.recordOf(c.pickLessLoaded(eligible))
}

func (c *Chooser) chooseForHedge() (chosen lentilrecord.Record, ok bool) {
	now := c.now()
	return c.recordOf(c.pickLessLoaded(func(p *peer) bool {
		return p.record.Phase() == lentilrecord.Ready && !now.Before(p.avoidUntil) &&
			c.utilization(p) <= maxHedgeUtilization && p.queuedLoad < slot
	}))
}

// mustQueue reports whether one more request would be queued.
func (l Load) mustQueue() bool { return float64(l.Demand)+slot > float64(l.Capacity) }

// shorterWaitAt reports whether one more request would wait less at the peer than here. A cold
// peer runs one request at a time with pauses, so the request doesn't count as a whole slot
// at the peer.
func (c *Chooser) shorterWaitAt(p *peer, own Load) bool {
	ownDemand := (float64(own.Demand) + slot) / max(float64(own.Capacity), 1)
	peerDemand := c.utilization(p) + p.queuedLoad/p.capacity + min(slot/p.capacity, maxRequestUtilization)
	return peerDemand+max(minUtilizationGap, (peerDemand-1)*minQueueGap) < ownDemand
}

// shouldHandOff decides at random whether this request is handed off to bring the copy's
// utilization down to the mean. It is a proportional-integral controller. The proportional
// part of the share of requests handed off follows the current excess over the mean. The
// integral part follows the excess of the last seconds. With both, a copy that is slow or
// has busy callers settles at the mean without oscillating.
func (c *Chooser) shouldHandOff(own Load) bool {
	utilization := max(own.utilization(), minUtilization)
	excess := (utilization - c.meanUtilization(own)) / utilization
	now := c.now()
	if seconds := now.Sub(c.integralUpdatedAt).Seconds(); seconds > 0 {
		c.integralShare = min(max(c.integralShare+integralGain*excess*min(seconds, 1), 0), 1)
		c.integralUpdatedAt = now
	}
	return c.randomFloat() < c.integralShare+proportionalGain*excess
}

// recordOf returns the record of a peer, or false if p is nil.
func (c *Chooser) recordOf(p *peer) (chosen lentilrecord.Record, ok bool) {
	if p == nil {
		return lentilrecord.Record{}, false
	}
	return p.record, true
}
