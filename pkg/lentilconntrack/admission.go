package lentilconntrack

import (
	"cmp"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilbreaker"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilflowqueue"
)

// openAtUpstream forwards the first packet of a flow to the upstream.
func (t *Tracker) openAtUpstream(now time.Time, key lentilflow.Key, f *flow, actions []Action) []Action {
	t.recordCold(now)
	t.breaker.RecordAdmitted()
	t.expectReply(now)
	f.waiting, f.lastUsed, f.upstreamRun = false, now, t.upstreamRuns
	return append(actions, Action{Kind: ToUpstream, Key: key, Packet: f.firstPacket})
}

// admission returns the reason why the upstream gets a new flow neither now nor later, or lentilflow.NotRefused
// and whether the flow has to wait.
func (t *Tracker) admission(now time.Time, m lentilflow.Carry, packet lentilflow.Packet) (refusal lentilflow.Refusal, wait bool) {
	switch refusal = t.unavailable(now); {
	case m.Service != t.Service:
		return lentilflow.OtherService, false
	case refusal != lentilflow.NotRefused:
		return refusal, false
	case !m.LastResort && !t.breaker.Admits(m.Terms.Repeatable):
		return lentilflow.UpstreamFailing, false
	case len(t.flows) >= cmp.Or(t.MaxFlows, lentilflow.DefaultMaxFlows):
		return lentilflow.UpstreamFull, false
	}
	blocked := t.upstream.cold(now) && t.coldLimitReached(now)
	offer := lentilflowqueue.Offer{
		Key: packet.Key, Age: max(packet.OpeningAge, m.Age), Terms: m.Terms, MayQueue: m.MayQueue,
		// Balancers of earlier releases neither send terms nor allow flows to wait.
		MayWait: m.MayWait || m.Terms == lentilflow.Terms{} && !blocked,
	}
	switch verdict := t.queue.Offer(offer, t.requestsInFlight, blocked); {
	case verdict == lentilflowqueue.Admit:
		return lentilflow.NotRefused, false
	case verdict == lentilflowqueue.Wait:
		return lentilflow.NotRefused, true
	case blocked:
		return lentilflow.UpstreamCold, false
	case verdict == lentilflowqueue.Busy:
		return lentilflow.UpstreamBusy, false
	case verdict == lentilflowqueue.Overloaded:
		return lentilflow.UpstreamOverloaded, false
	}
	return lentilflow.UpstreamFull, false
}

// copyRefusal returns the reason why a first packet for the ends of a flow in the table isn't passed on, or
// lentilflow.NotRefused. A packet that may be that of another flow is refused like one of a new flow.
func (t *Tracker) copyRefusal(now time.Time, m lentilflow.Carry, f *flow, packet lentilflow.Packet) lentilflow.Refusal {
	switch {
	case !t.upstreamKnown(now):
		return lentilflow.NoUpstream
	case t.isCopy(f, packet):
		return lentilflow.NotRefused
	case m.Service != t.Service:
		return lentilflow.OtherService
	}
	if refusal := t.unavailable(now); refusal != lentilflow.NotRefused {
		return refusal
	}
	if t.upstream.cold(now) && t.coldLimitReached(now) {
		return lentilflow.UpstreamCold
	}
	return lentilflow.NotRefused
}

// isCopy reports whether the run of the upstream that is registered has got the first packet of a flow of which packet is surely a copy.
func (t *Tracker) isCopy(f *flow, packet lentilflow.Packet) bool {
	return f.isCopy(packet) && f.upstreamRun == t.upstreamRuns
}

// recordCold counts a new flow that a cold upstream gets.
func (t *Tracker) recordCold(now time.Time) {
	if t.upstream.cold(now) && t.coldRate > 0 {
		t.coldAccepted = append(t.coldAccepted, now)
	}
}

// unavailable returns the reason why the upstream gets no new flows, or lentilflow.NotRefused.
func (t *Tracker) unavailable(now time.Time) lentilflow.Refusal {
	switch {
	case t.stopping:
		return lentilflow.Stopping
	case t.out:
		return lentilflow.DomainOut
	case t.upstream.phase == lentilflow.Draining:
		return lentilflow.UpstreamDraining
	case t.upstream.phase == lentilflow.Gone, !t.upstreamKnown(now):
		return lentilflow.NoUpstream
	case t.resumedAt.Sub(t.pausedAt) > maxPause && t.justResumed(now):
		return lentilflow.UpstreamFull
	}
	return lentilflow.NotRefused
}

// admitWaiting opens waiting flows for which the upstream has room. It returns all of them to their balancers if
// the upstream gets no more flows, and those that have waited in vain.
func (t *Tracker) admitWaiting(now time.Time, actions []Action) []Action {
	if t.queue.Waiting() == 0 {
		return actions
	}
	refusal := t.unavailable(now)
	if refusal == lentilflow.NotRefused && t.breaker.State() != lentilbreaker.Closed {
		refusal = lentilflow.UpstreamFailing
	}
	if refusal != lentilflow.NotRefused {
		for _, key := range t.queue.Flush() {
			actions = t.returnFirstPacket(key, refusal, actions)
		}
		return actions
	}
	for _, key := range t.queue.Expire() {
		// The balancer knows whether the flow has been opened elsewhere meanwhile.
		actions = t.returnFirstPacket(key, lentilflow.UpstreamFull, actions)
	}
	for !t.upstream.cold(now) || !t.coldLimitReached(now) {
		key, ok := t.queue.Next(t.requestsInFlight)
		if !ok {
			break
		}
		if f := t.flows[key]; f != nil && f.state == halfOpen && f.waiting {
			actions = t.openAtUpstream(now, key, f, actions)
		}
	}
	return actions
}

// returnFirstPacket forgets a flow that the upstream hasn't accepted, and returns its first packet to the
// balancer, which may place the flow elsewhere.
func (t *Tracker) returnFirstPacket(key lentilflow.Key, refusal lentilflow.Refusal, actions []Action) []Action {
	f := t.flows[key]
	if f == nil || f.firstPacket == nil {
		return actions
	}
	t.removeFlow(key)
	return append(actions, Action{Kind: SendRefused, To: f.balancer, Key: key, Refusal: refusal, Packet: f.firstPacket})
}

// coldLimitReached reports whether a cold upstream has got all the new flows that it has capacity for in a second.
// With a rate of zero, no rate is configured, and there is no limit. The limit is one less than the bound, since a
// copy of a first packet may still be in transit.
func (t *Tracker) coldLimitReached(now time.Time) bool {
	kept := t.coldAccepted[:0]
	for _, acceptedAt := range t.coldAccepted {
		if now.Sub(acceptedAt) < coldWindow {
			kept = append(kept, acceptedAt)
		}
	}
	t.coldAccepted = kept
	if t.coldRate > 0 && !t.FlowsComplete && now.Sub(t.startedAt) < coldWindow {
		// An earlier run of the agent may have forwarded as many new flows as the upstream has capacity for.
		return true
	}
	return t.coldRate > 0 && float64(len(kept)+1) > t.coldRate*t.ColdFactor+t.ColdSlack-1
}
