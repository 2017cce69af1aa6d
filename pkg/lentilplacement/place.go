package lentilplacement

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// place sends a flow's first packet to the best agent to which it hasn't been sent yet.
func (p *Placer) place(now time.Time, key lentilflow.Key, f *flow, cause Cause, actions []Action) []Action {
	if now.Sub(f.since) > lentilflow.OpeningPatience {
		return p.abandonPlacement(now, key, f, ClientGone, actions)
	}
	if p.configuration.Version() == 0 {
		return p.abandonPlacement(now, key, f, NoConfiguration, actions)
	}
	backends := p.configuration.Backends(key.Service())
	if len(backends) == 0 {
		return p.abandonPlacement(now, key, f, NoRoute, actions)
	}
	mayWait := len(f.busyAgents) >= maxBusyTries || f.fullRefusals > 0
	excluded := f.triedAgents
	if !mayWait {
		excluded = slices.Concat(f.triedAgents, f.busyAgents)
	}
	chosen := p.chooseAgent(now, key, backends, excluded)
	if chosen.agent == nil && !mayWait && len(f.busyAgents) > 0 {
		mayWait = true
		chosen = p.chooseAgent(now, key, backends, f.triedAgents)
	}
	addr, a := chosen.addr, chosen.agent
	if a == nil || len(f.triedAgents) >= maxTries || f.fullRefusals >= maxFullRefusals {
		return p.abandonPlacement(now, key, f, NoAgent, actions)
	}
	delete(p.heldPlacements, key)
	f.state, f.agent, f.service, f.sentAt = statePlacing, addr, chosen.service, now
	if len(f.triedAgents)+len(f.busyAgents) == 0 {
		f.firstOfferTo, f.firstOfferAt = addr, now
	}
	f.triedAgents, f.possibleHolders = append(f.triedAgents, addr), append(f.possibleHolders, addr)
	if p.pendingPlacements == nil {
		p.pendingPlacements = make(map[lentilflow.Key]*flow)
	}
	p.pendingPlacements[key] = f
	a.flowsSent++
	a.recordSent(now)
	p.recordOffer(now, key, f)
	action := p.placeAction(now, chosen, key, f, f.firstPacket, cause, mayWait)
	action.Refusal = f.lastRefusal
	return append(actions, action)
}

// abandonPlacement ends a flow that can't be placed, by a reset or by dropping its packet. Clients retry
// at once after a reset. The packet is therefore held while an agent may become known in a moment.
func (p *Placer) abandonPlacement(now time.Time, key lentilflow.Key, f *flow, cause Cause, actions []Action) []Action {
	delete(p.pendingPlacements, key)
	if cause == NoAgent && len(f.triedAgents) > 0 {
		cause = AllRefused
		if f.lastRefusal == lentilflow.NotRefused || len(f.possibleHolders) > 0 {
			// An agent that hasn't answered may have taken the flow. A retransmission of the first packet is
			// placed again.
			f.awaitCopy(now)
			return append(actions, Action{Kind: Drop, Cause: NoAgent, Key: key})
		}
		if f.fullRefusals > 0 && !f.overloaded && now.Sub(f.since) < lentilflow.LastOpeningAge {
			// Upstreams that are full for a moment, as after an outage, may have room when the client's next copy
			// of the packet arrives. A reset would use up one of its few attempts within milliseconds.
			f.awaitCopy(now)
			return append(actions, Action{Kind: Drop, Cause: AllRefused, Key: key, Refusal: f.lastRefusal})
		}
		if f.failingSeen && !f.lastResort {
			// An upstream that fails some requests serves clients better than none.
			f.lastResort, f.triedAgents, f.busyAgents, f.fullRefusals = true, nil, nil, 0
			return p.place(now, key, f, ChosenAgain, actions)
		}
	}
	mayBePlaced := cause == NoConfiguration || cause == NoAgent && p.expectsAgents(now, key) ||
		cause == AllRefused && f.fullRefusals < maxFullRefusals && p.awaitsUpstream(now, key)
	switch {
	case mayBePlaced && p.heldPlacements[key] == f:
		return actions
	case mayBePlaced && len(p.heldPlacements) < maxHeldPlacements:
		// An agent that had no upstream may have one when the flow is placed.
		f.triedAgents = slices.DeleteFunc(f.triedAgents, func(tried lentilflow.Endpoint) bool {
			a := p.agents[tried]
			return a != nil && a.status.Phase == lentilflow.Unheard
		})
		return p.holdPlacement(key, f, cause, actions)
	}
	delete(p.heldPlacements, key)
	p.flows.Delete(key)
	kind := ResetClient
	if mayBePlaced || cause == ClientGone {
		kind = Drop
	}
	return append(actions, Action{Kind: kind, Cause: cause, Key: key, Refusal: f.lastRefusal})
}

// awaitCopy prepares the flow for being placed again when the client's next copy of the first packet arrives.
func (f *flow) awaitCopy(now time.Time) {
	f.state, f.sentAt, f.triedAgents, f.busyAgents, f.fullRefusals = statePlacing, now, nil, nil, 0
}

// placeAction returns the action that offers a new flow to an agent. It names the service that was chosen from the route, never
// the one that was last heard of at the address, so that the agent can tell that the flow is meant for another one. mayWait
// allows the agent to hold the flow until its upstream has room.
func (p *Placer) placeAction(now time.Time, to choice, key lentilflow.Key, f *flow, data []byte, cause Cause, mayWait bool) Action {
	c := lentilflow.Carry{
		Purpose: lentilflow.Place, Service: to.service, Version: p.configuration.Version(), ColdRate: float32(p.configuration.ColdRate(to.service)), Packet: data,
	}
	if to.agent.status.UnderstandsTerms {
		c.Terms, c.Age, c.MayWait, c.LastResort = p.configuration.Terms(key.Service()), now.Sub(f.since), mayWait, f.lastResort
		c.MayQueue = p.ChooseBy == ByExpectedWait
	}
	return Action{Kind: SendCarry, Cause: cause, To: to.addr, Key: key, Carry: c}
}

// remembered returns the agent of a flow for another offer. ok is false if the agent isn't known any more, if another
// service's agent has its address, or if the route doesn't send new flows to its service any more.
func (p *Placer) remembered(key lentilflow.Key, f *flow) (to choice, ok bool) {
	a := p.agents[f.agent]
	if a == nil || a.status.Service != f.service {
		return to, false
	}
	backends := p.configuration.Backends(key.Service())
	total := totalWeight(backends)
	ok = slices.ContainsFunc(backends, func(b lentilflow.Backend) bool { return b.Service == f.service && getsFlows(b, total) })
	return choice{addr: f.agent, agent: a, service: f.service}, ok
}
