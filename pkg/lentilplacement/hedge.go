package lentilplacement

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilhedge"
)

// Only the opening of a flow can be hedged: packets can't be changed, and an open flow doesn't move.
// A new flow is offered to a second agent if the first hasn't taken it within the time in which
// nearly all recent flows of the route were taken. The flow opens at the copy that the client
// acknowledges, and only its agent passes data on, so no request runs twice. The other copy's
// half-open flow ends by its own timeout.

// HedgeCounts counts decisions about extra offers of new flows.
type HedgeCounts struct {
	// Sent counts extra offers, Won those at whose agent the flow opened, and OverBudget those that
	// were not made because of the percentage.
	Sent, Won, OverBudget uint64
}

// HedgeReport describes an extra offer whose flow has opened. First and Extra are the agents, and
// Delay is the time from the first offer to the extra one.
type HedgeReport struct {
	First, Extra lentilflow.Endpoint
	Delay        time.Duration
	// Won is set if the flow opened at Extra.
	Won bool
}

// hedgeOffer is the extra offer of a flow.
type hedgeOffer struct {
	first, extra lentilflow.Endpoint
	// service is the service for which extra was chosen.
	service string
	at      time.Time
	delay   time.Duration
	// promoted is set once the extra agent has taken the place of the first in the flow's state.
	promoted bool
}

// dueHedge is a flow that is offered to a second agent if it isn't taken at a given time.
type dueHedge struct {
	key  lentilflow.Key
	flow *flow
	at   time.Time
}

// hedger is the state of the extra offers of a Placer.
type hedger struct {
	policy lentilhedge.Policy
	counts HedgeCounts
	// due has the flows that have been offered and not yet checked.
	due []dueHedge
	// refusedAt is when agents without room last refused a flow. Entries older than the window are removed.
	refusedAt map[lentilflow.Endpoint]time.Time
}

// maxDueHedges bounds the flows that wait for an extra offer: 96 KB.
const maxDueHedges = 4096

// SetHedgePercent sets the highest number of extra offers and repeated offers per hundred new flows
// in one second. Zero, the default, means that there are no extra offers. Clock has to be set before.
func (p *Placer) SetHedgePercent(percent int) {
	p.hedger.policy.Percent, p.hedger.policy.Clock = percent, p.Clock
	if percent == 0 {
		p.hedger.due = nil
	}
}

// HedgeCounts returns the counts of extra offers.
func (p *Placer) HedgeCounts() HedgeCounts { return p.hedger.counts }

// HedgeShare returns the extra and repeated offers per new flow of the last second.
func (p *Placer) HedgeShare() float64 { return p.hedger.policy.Share() }

// NextHedge returns when TickHedges has to be called next. ok is false if no flow waits for an
// extra offer.
func (p *Placer) NextHedge() (at time.Time, ok bool) {
	for _, d := range p.hedger.due {
		if !ok || d.at.Before(at) {
			at, ok = d.at, true
		}
	}
	return at, ok
}

// Hedging reports whether extra offers are enabled.
func (p *Placer) Hedging() bool { return p.hedger.policy.Percent > 0 }

// routeKind identifies the flows of a route, whose opening times are compared.
func routeKind(key lentilflow.Key) uint64 {
	return lentilflow.NewKey(lentilflow.Endpoint{}, key.Service()).Hash()
}

// recordOffer charges an offer of a flow to the budget, and schedules the check whether a second
// agent gets the flow.
func (p *Placer) recordOffer(now time.Time, key lentilflow.Key, f *flow) {
	if !p.Hedging() {
		return
	}
	h := &p.hedger
	if f.offered {
		h.policy.RecordRetry()
		return
	}
	f.offered = true
	h.policy.RecordFirst()
	if !p.configuration.Terms(key.Service()).Repeatable || len(h.due) >= maxDueHedges {
		return
	}
	if delay, ok := h.policy.Delay(routeKind(key)); ok {
		h.due = append(h.due, dueHedge{key: key, flow: f, at: now.Add(delay)})
	}
}

// TickHedges offers flows that are due to second agents. Call it at NextHedge.
func (p *Placer) TickHedges(actions []Action) []Action {
	now := p.now()
	var due []dueHedge
	p.hedger.due = slices.DeleteFunc(p.hedger.due, func(d dueHedge) bool {
		if d.at.After(now) {
			return false
		}
		due = append(due, d)
		return true
	})
	for _, d := range due {
		actions = p.hedgeFlow(now, d, actions)
	}
	return actions
}

// hedgeFlow offers a flow to a second agent if the first still owes its answer and the policy
// allows it.
func (p *Placer) hedgeFlow(now time.Time, d dueHedge, actions []Action) []Action {
	f := d.flow
	if p.flows.Get(now, d.key) != f || f.state != statePlacing || p.pendingPlacements[d.key] != f || f.hedge != nil || len(f.triedAgents) != 1 || len(f.busyAgents) > 0 {
		return actions
	}
	terms := p.configuration.Terms(d.key.Service())
	if !terms.Repeatable || p.overloaded(now, f.agent) {
		return actions
	}
	switch p.hedger.policy.Decide() {
	case lentilhedge.VerdictAllowed:
	case lentilhedge.VerdictOverBudget:
		p.hedger.counts.OverBudget++
		return actions
	default:
		return actions
	}
	extra := p.chooseAgent(now, d.key, p.configuration.Backends(d.key.Service()), f.triedAgents)
	addr, a := extra.addr, extra.agent
	if a == nil || a.status.Phase != lentilflow.Ready || a.suspected || a.unresponsive(now) {
		return actions
	}
	p.hedger.policy.RecordExtra()
	p.hedger.counts.Sent++
	f.hedge = &hedgeOffer{first: f.agent, extra: addr, service: extra.service, at: now, delay: now.Sub(f.sentAt)}
	f.triedAgents, f.possibleHolders = append(f.triedAgents, addr), append(f.possibleHolders, addr)
	a.flowsSent++
	// An extra offer doesn't wait for a slot.
	return append(actions, p.placeAction(now, extra, d.key, f, f.firstPacket, Hedged, false))
}

// overloaded reports whether a share of the agents above the percentage has refused flows for lack
// of room within the last second. The agents are those of the service of the given one.
func (p *Placer) overloaded(now time.Time, addr lentilflow.Endpoint) bool {
	for refusing, at := range p.hedger.refusedAt {
		if now.Sub(at) >= lentilhedge.Window {
			delete(p.hedger.refusedAt, refusing)
		}
	}
	a := p.agents[addr]
	if a == nil {
		return true
	}
	const hundred = 100
	members, refusing := p.agentsOfService(a.status.Service), 0
	for _, member := range members {
		if _, ok := p.hedger.refusedAt[member]; ok {
			refusing++
		}
	}
	return refusing*hundred > len(members)*p.hedger.policy.Percent
}

// recordHedgeRefusal records that an agent has refused a flow. It reports whether that ends the
// matter: the agent had the extra offer, or the extra offer takes the place of the refused one.
func (p *Placer) recordHedgeRefusal(now time.Time, from lentilflow.Endpoint, f *flow, reason lentilflow.Refusal) (done bool) {
	if !p.Hedging() {
		return false
	}
	switch reason {
	case lentilflow.UpstreamBusy, lentilflow.UpstreamFull, lentilflow.UpstreamCold, lentilflow.UpstreamOverloaded:
		if p.hedger.refusedAt == nil {
			p.hedger.refusedAt = make(map[lentilflow.Endpoint]time.Time)
		}
		p.hedger.refusedAt[from] = now
	}
	if f == nil || f.hedge == nil || f.state > statePlaced {
		return false
	}
	switch {
	case from == f.hedge.extra && !f.hedge.promoted:
		f.possibleHolders = slices.DeleteFunc(f.possibleHolders, func(holder lentilflow.Endpoint) bool { return holder == from })
		f.hedge = nil
		return true
	case from == f.hedge.first && f.agent == from && p.promoteHedge(f):
		f.possibleHolders = slices.DeleteFunc(f.possibleHolders, func(holder lentilflow.Endpoint) bool { return holder == from })
		return true
	}
	return false
}

// promoteHedge lets the agent with the extra offer take the place of the first one, which has
// refused the flow or hasn't answered. So an extra offer doesn't add to the repeated offers that
// recover from lost datagrams. It reports whether there is one.
func (p *Placer) promoteHedge(f *flow) (promoted bool) {
	if f.hedge == nil || f.hedge.promoted {
		return false
	}
	f.hedge.promoted = true
	f.agent, f.service, f.sentAt = f.hedge.extra, f.hedge.service, f.hedge.at
	return true
}

// awaitsHedge lets the extra offer take the place of the first one, which hasn't been answered in
// time. It reports whether the extra one has still time to be answered.
func (p *Placer) awaitsHedge(now time.Time, f *flow) bool {
	return p.promoteHedge(f) && now.Sub(f.sentAt) < placeTimeout
}

// recordHedgeTaken learns how long an agent took to take a flow, and reports an extra offer once
// the flow is open.
func (p *Placer) recordHedgeTaken(now time.Time, from lentilflow.Endpoint, m lentilflow.Taken, f *flow, actions []Action) []Action {
	if !p.Hedging() {
		return actions
	}
	if f.state == statePlacing && !m.Open {
		begin := f.sentAt
		if f.hedge != nil {
			// If the second agent answered first, the first one's time so far counts.
			begin = f.hedge.at.Add(-f.hedge.delay)
		}
		p.hedger.policy.RecordDuration(routeKind(m.Key), now.Sub(begin))
	}
	if f.hedge == nil || !m.Open {
		return actions
	}
	report := &HedgeReport{First: f.hedge.first, Extra: f.hedge.extra, Delay: f.hedge.delay, Won: from == f.hedge.extra}
	if report.Won {
		p.hedger.counts.Won++
	}
	return append(actions, Action{Kind: ReportHedge, To: from, Key: m.Key, Hedge: report})
}
