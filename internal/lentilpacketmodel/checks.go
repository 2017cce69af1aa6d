package lentilpacketmodel

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilplacement"
)

// Bounds of the guarantees that are checked, as on the users' platform.
const (
	// drainBound is how long an upstream may get new flows after its drain was acknowledged.
	drainBound = 3 * time.Second
	// domainOutBound is how long an upstream may get new flows after its failure domain was taken out of service.
	domainOutBound = 5 * time.Second
	// A flow is misdelivered if it has sent packets to other upstreams for at least misdeliveryWindow, the last
	// misdeliveryLimit of them within misdeliveryWindow.
	misdeliveryWindow = 2 * time.Second
	misdeliveryLimit  = 3
	// A cold upstream may get its cold rate times coldFactor, plus coldSlack, new flows within a second.
	coldFactor = 1.5
	coldSlack  = 5
)

// checkReset checks that a flow is not reset by a balancer or an agent while its upstream serves it.
func (c *client) checkReset(from *process, cause string) {
	u := c.flowUpstream
	if cause == "" || u == nil || !u.alive() {
		return
	}
	if flow := u.flows[c.key]; flow == nil || !flow.open {
		return
	}
	if !from.stable() || !u.agent.stable() {
		return
	}
	c.sim.addViolation("flow %s was reset (%s) while %s serves it", c.key, cause, u.id)
}

// checkNewFlow checks that the upstream may get a new flow now.
func (u *upstream) checkNewFlow() {
	sim := u.sim
	now := sim.Clock.Now()
	if !u.drainAckedAt.IsZero() && now.Sub(u.drainAckedAt) > drainBound && u.agent.stable() {
		sim.addViolation("%s received a new flow %s after its drain was acknowledged", u.id, now.Sub(u.drainAckedAt))
	}
	if since, ok := sim.outSince[u.agent.domain]; ok && now.Sub(since) > domainOutBound && u.agent.stable() {
		sim.addViolation("%s received a new flow %s after its failure domain was taken out of service", u.id, now.Sub(since))
	}
	if sim.Setup.ColdRate > 0 && now.Sub(u.startedAt) < sim.Setup.ColdFor {
		u.recentFlows = slices.DeleteFunc(append(u.recentFlows, now), func(openedAt time.Time) bool { return now.Sub(openedAt) >= time.Second })
		if float64(len(u.recentFlows)) > sim.Setup.ColdRate*coldFactor+coldSlack {
			sim.addViolation("%s is cold and received %d new flows in a second", u.id, len(u.recentFlows))
		}
	}
}

// checkDelivery records that a packet of a flow has reached an upstream, and checks that the flow's packets don't
// keep going to another upstream than the one that holds the flow.
func (s *Simulation) checkDelivery(u *upstream, key lentilflow.Key) {
	address := key.Client().Address()
	c := s.clients[int(address[2])<<8|int(address[3])]
	if c.key != key {
		return
	}
	if flow := u.flows[key]; flow != nil && flow.open {
		c.flowUpstream = u
	}
	switch {
	case c.flowUpstream == nil || c.state == opening:
	case c.flowUpstream == u:
		c.misdeliveries = nil
	case c.flowUpstream.alive():
		now := s.Clock.Now()
		c.misdeliveries = append(c.misdeliveries, now)
		oldest := c.misdeliveries[max(0, len(c.misdeliveries)-misdeliveryLimit)]
		if len(c.misdeliveries) >= misdeliveryLimit && now.Sub(oldest) <= misdeliveryWindow &&
			now.Sub(c.misdeliveries[0]) >= misdeliveryWindow && c.flowUpstream.agent.stable() {
			s.addViolation("packets of flow %s are delivered to %s instead of %s", key, u.id, c.flowUpstream.id)
		}
	}
}

// requestID identifies a request of a flow.
type requestID struct {
	key      lentilflow.Key
	sequence uint32
}

// checkRun checks that a request runs at one upstream only.
func (s *Simulation) checkRun(u *upstream, packet lentilflow.Packet) {
	if s.Setup.HedgePercent == 0 {
		return
	}
	id := requestID{key: packet.Key, sequence: packet.Sequence}
	if other, ran := s.requestRuns[id]; ran && other != u.id {
		s.addViolation("a request of flow %s ran at %s and at %s", packet.Key, other, u.id)
	}
	s.requestRuns[id] = u.id
}

// HedgeCounts returns the sums of the balancers' extra offers.
func (s *Simulation) HedgeCounts() (sum lentilplacement.HedgeCounts) {
	for _, b := range s.balancers {
		counts := b.placer.HedgeCounts()
		sum.Sent += counts.Sent
		sum.Won += counts.Won
		sum.OverBudget += counts.OverBudget
	}
	return sum
}

// AnsweredShare returns the share of answered requests among those that have ended; it is 0 if none has.
func (s Stats) AnsweredShare() float64 {
	ended := s.Answered + s.Refused + s.InterruptedRequests + s.Expired
	if ended == 0 {
		return 0
	}
	return float64(s.Answered) / float64(ended)
}
