package lentilplacement

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// handleLaterPacket sends a packet of an open flow to its agent, or to every agent that may have it.
func (p *Placer) handleLaterPacket(now time.Time, packet lentilflow.Packet, data []byte, actions []Action) []Action {
	f := p.flows.Get(now, packet.Key)
	if f == nil {
		f = &flow{state: stateLookup}
		p.flows.Put(now, packet.Key, f)
	}
	f.acknowledged = packet.Acknowledged
	switch {
	case f.state == stateKnown, f.state == statePlaced && len(f.possibleHolders) == 1:
		return append(actions, p.forwardAction(f.agent, packet.Key, lentilflow.Owned, data))
	case f.state == stateLookup:
		return p.lookUp(packet.Key, f, data, actions)
	}
	// Several upstreams may have made an offer; only the agent of the right one passes the packet on.
	for _, end := range f.possibleHolders {
		actions = append(actions, p.forwardAction(end, packet.Key, lentilflow.Lookup, data))
	}
	return actions
}

func (p *Placer) forwardAction(to lentilflow.Endpoint, key lentilflow.Key, purpose lentilflow.Purpose, data []byte) Action {
	cause := Found
	if purpose == lentilflow.Lookup {
		cause = Sought
	}
	return Action{Kind: SendCarry, Cause: cause, To: to, Key: key,
		Carry: lentilflow.Carry{Purpose: purpose, Version: p.configuration.Version(), Packet: data}}
}

// lookUp sends a packet to every agent that would have got the flow, and to those that asked for one,
// unless they have denied it.
func (p *Placer) lookUp(key lentilflow.Key, f *flow, data []byte, actions []Action) []Action {
	now := p.now()
	f.expireDenials(now)
	if p.deniedByAll(now, f) {
		return p.resetFlow(key, f, actions)
	}
	p.recordLookup(now, key, f, data)
	before := len(actions)
	for _, end := range p.preferredAgents(key) {
		if !slices.Contains(f.deniedBy, end) {
			actions = append(actions, p.forwardAction(end, key, lentilflow.Lookup, data))
		}
	}
	likely := len(actions) - before
	for _, end := range f.unsureAgents[:min(len(f.unsureAgents), maxUnsureAgents)] {
		if !slices.ContainsFunc(actions[before:before+likely], func(a Action) bool { return a.To == end }) {
			actions = append(actions, p.forwardAction(end, key, lentilflow.Lookup, data))
		}
	}
	if likely > 0 {
		actions = append(actions, Action{Kind: ReportLookup, Cause: Sought, Key: key})
	}
	if now.Sub(f.askedAllAt) >= askRetryInterval && (likely == 0 || now.Sub(f.lookupStartedAt) >= placeTimeout) {
		// An agent that passed the packet on may never hear of it again.
		return p.queueAsk(now, key, f, actions)
	}
	if len(actions) == before {
		return append(actions, Action{Kind: Drop, Cause: AskedAlready, Key: key})
	}
	return actions
}

// recordLookup notes that a flow is sought, and holds its packet until it is found.
func (p *Placer) recordLookup(now time.Time, key lentilflow.Key, f *flow, data []byte) {
	if f.heldPacket == nil && p.heldPackets < maxHeldPackets {
		f.heldPacket = slices.Clone(data)
		p.heldPackets++
	}
	if f.lookupStartedAt.IsZero() {
		f.lookupStartedAt = now
	}
	if p.lookups == nil {
		p.lookups = make(map[lentilflow.Key]*flow)
	}
	p.lookups[key] = f
}

// releaseHeldPacket forgets the packet that was held for a flow.
func (p *Placer) releaseHeldPacket(f *flow) (held []byte) {
	if held = f.heldPacket; held != nil {
		f.heldPacket = nil
		p.heldPackets--
	}
	return held
}

// resetFlow ends a flow that surely lives nowhere.
func (p *Placer) resetFlow(key lentilflow.Key, f *flow, actions []Action) []Action {
	p.releaseHeldPacket(f)
	p.flows.Delete(key)
	delete(p.lookups, key)
	return append(actions, Action{Kind: ResetClient, Cause: AllDenied, Key: key, Sequence: f.acknowledged})
}

// tickLookups ends the flows whose last possible agents have turned out to be gone, and stops to hold
// what isn't found.
func (p *Placer) tickLookups(now time.Time, actions []Action) []Action {
	if len(p.lookups) == 0 || len(p.agents) > askAllLimit {
		return actions
	}
	gone := 0
	for _, a := range p.agents {
		if a.holdsNoFlows() || a.unresponsive(now) && p.isGone(now, a) {
			gone++
		}
	}
	more := gone > p.goneAgents
	p.goneAgents = gone
	for key, f := range p.lookups {
		switch {
		case p.flows.Get(now, key) != f || now.Sub(f.lookupStartedAt) > denialTTL:
			p.releaseHeldPacket(f)
			f.lookupStartedAt = time.Time{}
			delete(p.lookups, key)
		case more && p.deniedByAll(now, f):
			actions = p.resetFlow(key, f, actions)
		}
	}
	return actions
}

// queueAsk asks every agent that hasn't denied a flow whether it lives there, soon.
func (p *Placer) queueAsk(now time.Time, key lentilflow.Key, f *flow, actions []Action) []Action {
	if len(p.agents) > askAllLimit || len(p.askQueue) >= maxAskQueue {
		return append(actions, Action{Kind: Drop, Cause: TooManyAsked, Key: key})
	}
	f.askedAllAt = now
	p.askQueue = append(p.askQueue, key)
	if now.Sub(p.lastAskAt) < askBatchDelay && len(p.askQueue) < lentilflow.MaxKeys {
		return actions
	}
	return p.sendQueuedAsks(now, actions)
}

// sendQueuedAsks sends the questions that have gathered: one datagram for many flows, since each costs a
// processor as much as a hundred flows in it.
func (p *Placer) sendQueuedAsks(now time.Time, actions []Action) []Action {
	p.askBudget.PerSecond, p.askBudget.Burst = asksPerSecond, asksBurst
	for len(p.askQueue) > 0 && p.askBudget.Allow(now, len(p.agents)) {
		p.lastAskAt = now
		batch := p.askQueue[:min(len(p.askQueue), lentilflow.MaxKeys)]
		p.askQueue = p.askQueue[len(batch):]
		for _, key := range batch {
			actions = append(actions, Action{Kind: ReportLookup, Cause: SoughtWidely, Key: key})
		}
		for _, end := range p.sortedAddresses() {
			if keys := p.keysNotDenied(now, batch, end); len(keys) > 0 {
				actions = append(actions, Action{Kind: SendAsk, Cause: SoughtWidely, To: end, Keys: keys})
			}
		}
	}
	if len(p.askQueue) == 0 {
		p.askQueue = nil
	}
	return actions
}

// keysNotDenied returns the flows of some that an agent hasn't denied.
func (p *Placer) keysNotDenied(now time.Time, keys []lentilflow.Key, end lentilflow.Endpoint) (left []lentilflow.Key) {
	for _, key := range keys {
		if f := p.flows.Get(now, key); f != nil && f.state == stateLookup && !slices.Contains(f.deniedBy, end) {
			left = append(left, key)
		}
	}
	return left
}

// HandleDenied takes an agent's word that some flows don't live there.
func (p *Placer) HandleDenied(from lentilflow.Endpoint, m lentilflow.Denied, actions []Action) []Action {
	now := p.now()
	for _, key := range m.Keys {
		f := p.flows.Get(now, key)
		if f == nil || (f.state == stateKnown && f.agent != from) {
			continue
		}
		f.possibleHolders = slices.DeleteFunc(f.possibleHolders, func(e lentilflow.Endpoint) bool { return e == from })
		if f.state == stateKnown || (f.state != stateLookup && len(f.possibleHolders) == 0) {
			f.state = stateLookup
			delete(p.pendingPlacements, key)
		}
		f.expireDenials(now)
		if m.Unsure {
			actions = p.handleUnsure(from, key, f, actions)
		} else {
			actions = p.handleDenial(now, from, key, f, actions)
		}
	}
	return actions
}

// expireDenials forgets who doesn't hold a flow after some time.
func (f *flow) expireDenials(now time.Time) {
	if now.Sub(f.denialsSince) > denialTTL {
		f.deniedBy, f.unsureAgents, f.denialsSince = f.deniedBy[:0], f.unsureAgents[:0], now
	}
}

// handleUnsure sends an agent that can't tell otherwise the packet that is held.
func (p *Placer) handleUnsure(from lentilflow.Endpoint, key lentilflow.Key, f *flow, actions []Action) []Action {
	if f.state != stateLookup || slices.Contains(f.unsureAgents, from) {
		return actions
	}
	f.unsureAgents = append(f.unsureAgents, from)
	if f.heldPacket == nil || len(f.unsureAgents) > maxUnsureAgents {
		return actions
	}
	return append(actions, p.forwardAction(from, key, lentilflow.Lookup, f.heldPacket))
}

// handleDenial takes an agent's word that a flow doesn't live there.
func (p *Placer) handleDenial(now time.Time, from lentilflow.Endpoint, key lentilflow.Key, f *flow, actions []Action) []Action {
	if !slices.Contains(f.deniedBy, from) {
		f.deniedBy = append(f.deniedBy, from)
	}
	f.unsureAgents = slices.DeleteFunc(f.unsureAgents, func(e lentilflow.Endpoint) bool { return e == from })
	switch {
	case f.state != stateLookup:
	case p.deniedByAll(now, f):
		return p.resetFlow(key, f, actions)
	case f.askedAllAt.IsZero() && p.deniedByPreferred(now, key, f):
		return p.queueAsk(now, key, f, actions)
	}
	return actions
}

// deniedByPreferred reports whether every agent that would have got the flow has said that it doesn't
// hold it. One that is silent will not answer.
func (p *Placer) deniedByPreferred(now time.Time, key lentilflow.Key, f *flow) bool {
	for _, end := range p.preferredAgents(key) {
		if !slices.Contains(f.deniedBy, end) && !p.agents[end].unresponsive(now) {
			return false
		}
	}
	return true
}

// deniedByAll reports whether a flow surely lives nowhere: every agent has said that it doesn't hold
// it, whatever its service, or is gone for good. An earlier configuration, of which this balancer
// knows nothing, may have given the address to any service.
func (p *Placer) deniedByAll(now time.Time, f *flow) bool {
	if !p.agentsComplete || p.configuration.Version() == 0 || len(f.deniedBy) == 0 {
		return false
	}
	for end, a := range p.agents {
		switch silent := a.unresponsive(now); {
		case a.holdsNoFlows():
		case silent && !p.isGone(now, a), !silent && !slices.Contains(f.deniedBy, end):
			return false
		}
	}
	return true
}
