package lentilpacketmodel

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// What is promised, in the figures of the users' platform.
const (
	drainBound        = 3 * time.Second
	domainBound       = 5 * time.Second
	misdeliveryWindow = 2 * time.Second
	misdeliveryLimit  = 3
	coldFactor        = 1.5
	coldSlack         = 5
)

// checkReset looks whether the upstream of a flow that is reset is really gone.
func (c *client) checkReset(from *process, cause string) {
	u := c.flowUpstream
	if cause == "" || u == nil || !u.alive() {
		return
	}
	if h := u.flows[c.key]; h == nil || !h.open {
		return
	}
	if !from.stable() || !u.agent.stable() {
		return
	}
	c.sim.addViolation("flow %s was reset (%s) while %s serves it", c.key, cause, u.id)
}

// checkNewFlow looks whether the upstream may get a new flow now.
func (u *upstream) checkNewFlow() {
	w := u.sim
	now := w.Clock.Now()
	if !u.drainAckedAt.IsZero() && now.Sub(u.drainAckedAt) > drainBound && u.agent.stable() {
		w.addViolation("%s got a new flow %s after its drain was acknowledged", u.id, now.Sub(u.drainAckedAt))
	}
	if since, ok := w.outSince[u.agent.domain]; ok && now.Sub(since) > domainBound && u.agent.stable() {
		w.addViolation("%s got a new flow %s after its failure domain was taken out", u.id, now.Sub(since))
	}
	if w.Setup.ColdRate > 0 && now.Sub(u.startedAt) < w.Setup.ColdFor {
		u.recentFlows = slices.DeleteFunc(append(u.recentFlows, now), func(t time.Time) bool { return now.Sub(t) >= time.Second })
		if float64(len(u.recentFlows)) > w.Setup.ColdRate*coldFactor+coldSlack {
			w.addViolation("%s is cold and got %d new flows in a second", u.id, len(u.recentFlows))
		}
	}
}

// checkDelivery notes which upstream a packet of a flow has checkDelivery.
func (w *Simulation) checkDelivery(u *upstream, key lentilflow.Key) {
	address := key.Client().Address()
	c := w.clients[int(address[2])<<8|int(address[3])]
	if c.key != key {
		return
	}
	if h := u.flows[key]; h != nil && h.open {
		c.flowUpstream = u
	}
	switch {
	case c.flowUpstream == nil || c.state == opening:
	case c.flowUpstream == u:
		c.misdeliveries = nil
	case c.flowUpstream.alive():
		now := w.Clock.Now()
		c.misdeliveries = append(c.misdeliveries, now)
		first := c.misdeliveries[max(0, len(c.misdeliveries)-misdeliveryLimit)]
		if len(c.misdeliveries) >= misdeliveryLimit && now.Sub(first) <= misdeliveryWindow && now.Sub(c.misdeliveries[0]) >= misdeliveryWindow && c.flowUpstream.agent.stable() {
			w.addViolation("packets of flow %s reach %s and not %s", key, u.id, c.flowUpstream.id)
		}
	}
}

// AnsweredShare returns the share of requests that were answered, of all that have ended.
func (t Stats) AnsweredShare() float64 {
	ended := t.Answered + t.Refused + t.InterruptedRequests + t.Expired
	if ended == 0 {
		return 0
	}
	return float64(t.Answered) / float64(ended)
}
