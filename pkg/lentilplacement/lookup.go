package lentilplacement

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// handleLaterPacket sends a packet of an open flow to the agent that holds it, or to every agent that may hold it.
func (p *Placer) handleLaterPacket(now time.Time, packet lentilflow.Packet, data []byte, actions []Action) []Action {
	f := p.flows.Get(now, packet.Key)
	if f == nil || p.heldPlacements[packet.Key] == f {
		// A flow whose first packet is held has been opened by another balancer.
		delete(p.heldPlacements, packet.Key)
		f = &flow{state: stateLookup}
		p.flows.Put(now, packet.Key, f)
	}
	if (f.state == stateLookup || f.state == stateKnown) && f.differsFrom(packet) {
		p.releaseHeldPacket(f)
		p.takeBuffered(f)
		delete(p.lookups, packet.Key)
		*f = flow{state: stateLookup, portReusedAt: now}
	}
	f.recordNumbers(packet)
	switch {
	case f.state == stateKnown && p.endedWithAgent(now, f.agent):
		f.holderLost = HolderGone
		if p.mayResetAtOnce(now, f) {
			return p.resetFlow(packet.Key, f, actions)
		}
		f.state = stateLookup
		return p.lookUp(packet, f, data, actions)
	case f.state == stateKnown:
		return append(actions, p.forwardAction(f.agent, packet.Key, lentilflow.Owned, data))
	case f.state == statePlaced && len(f.possibleHolders) == 1:
		return append(actions, p.forwardAction(f.possibleHolders[0], packet.Key, lentilflow.Owned, data))
	case f.state == stateLookup:
		return p.lookUp(packet, f, data, actions)
	}
	// Several upstreams may have accepted the flow. The client uses one of them, and only the agent of that
	// one forwards the packet.
	if p.LinkBytesPerSecond > 0 && len(f.possibleHolders) > 1 {
		return p.forwardToHolders(now, packet, f, data, actions)
	}
	return p.forwardToAll(packet.Key, f, data, actions)
}

// endedWithAgent reports whether the flows of an agent have ended with it and its upstream.
func (p *Placer) endedWithAgent(now time.Time, addr lentilflow.Endpoint) bool {
	a := p.agents[addr]
	return a == nil || a.holdsNoFlows() || a.unresponsive(now) && p.isGone(now, a)
}

// forwardAction returns the action that sends a packet of an open flow to an agent.
func (p *Placer) forwardAction(to lentilflow.Endpoint, key lentilflow.Key, purpose lentilflow.Purpose, data []byte) Action {
	cause := Found
	if purpose == lentilflow.Lookup {
		cause = Sought
	}
	return Action{Kind: SendCarry, Cause: cause, To: to, Key: key,
		Carry: lentilflow.Carry{Purpose: purpose, Version: p.configuration.Version(), Packet: data}}
}

// lookUp sends a packet of a flow whose holder isn't known to its preferred agents and to those that need
// a packet to decide, unless they have denied the flow. If that isn't enough, all agents are asked. A flow
// that every agent has denied is reset.
func (p *Placer) lookUp(packet lentilflow.Packet, f *flow, data []byte, actions []Action) []Action {
	now, key := p.now(), packet.Key
	f.expireDenials(now)
	if p.deniedByAll(now, f) {
		return p.resetFlow(key, f, actions)
	}
	if p.LinkBytesPerSecond > 0 {
		return p.lookUpOnLink(now, packet, f, data, actions)
	}
	p.recordLookup(now, key, f)
	p.holdPacket(f, data)
	before := len(actions)
	for _, addr := range p.preferredAgents(key) {
		if !slices.Contains(f.deniedBy, addr) {
			f.heldSentTo.record(now, addr)
			actions = append(actions, p.forwardAction(addr, key, lentilflow.Lookup, data))
		}
	}
	preferred := len(actions) - before
	for _, addr := range f.unsureAgents[:min(len(f.unsureAgents), maxUnsureAgents)] {
		if !slices.ContainsFunc(actions[before:before+preferred], func(a Action) bool { return a.To == addr }) {
			f.heldSentTo.record(now, addr)
			actions = append(actions, p.forwardAction(addr, key, lentilflow.Lookup, data))
		}
	}
	if preferred > 0 {
		actions = append(actions, Action{Kind: ReportLookup, Cause: Sought, Key: key})
	}
	if p.askAllDue(now, f, preferred) {
		return p.queueAsk(now, key, f, actions)
	}
	if len(actions) == before {
		return append(actions, Action{Kind: Drop, Cause: AskedAlready, Key: key})
	}
	return actions
}

// askAllDue reports whether all agents have to be asked for a flow, given how many preferred agents haven't denied it. An agent
// that forwarded the packet may get no reply from its upstream, and then never answers.
func (p *Placer) askAllDue(now time.Time, f *flow, preferred int) bool {
	return now.Sub(f.askedAllAt) >= askRetryInterval && (preferred == 0 || now.Sub(f.lookupStartedAt) >= p.offerTimeout())
}

// holdPacket holds a packet of a flow until the flow is found.
func (p *Placer) holdPacket(f *flow, data []byte) {
	if f.heldPacket == nil && p.heldPackets < maxHeldPackets {
		f.heldPacket = slices.Clone(data)
		p.heldPackets++
	}
}

// recordLookup records that a flow is being looked up.
func (p *Placer) recordLookup(now time.Time, key lentilflow.Key, f *flow) {
	if f.lookupStartedAt.IsZero() {
		f.lookupStartedAt = now
	}
	if p.lookups == nil {
		p.lookups = make(map[lentilflow.Key]*flow)
	}
	p.lookups[key] = f
}

// releaseHeldPacket returns the packet held for a flow, or nil, and stops holding it.
func (p *Placer) releaseHeldPacket(f *flow) (held []byte) {
	if held = f.heldPacket; held != nil {
		f.heldPacket, f.heldSentTo = nil, nil
		p.heldPackets--
	}
	return held
}

// resetFlow resets the client of a flow that no agent holds, and forgets the flow.
func (p *Placer) resetFlow(key lentilflow.Key, f *flow, actions []Action) []Action {
	cause := cmp.Or(f.holderLost, AllDenied)
	p.releaseHeldPacket(f)
	p.takeBuffered(f)
	p.flows.Delete(key)
	delete(p.lookups, key)
	return append(actions, Action{Kind: ResetClient, Cause: cause, Key: key, Sequence: f.acknowledged})
}

// tickLookups resets flows that all other agents have denied once the remaining ones are gone. It ends
// lookups that take longer than denialTTL, and releases their held packets.
func (p *Placer) tickLookups(now time.Time, actions []Action) []Action {
	if len(p.lookups) == 0 {
		return actions
	}
	gone := 0
	for _, a := range p.agents {
		if a.holdsNoFlows() || a.unresponsive(now) && p.isGone(now, a) {
			gone++
		}
	}
	moreGone := gone > p.goneAgents
	p.goneAgents = gone
	for key, f := range p.lookups {
		f.expireDenials(now)
		switch {
		case p.flows.Get(now, key) != f || now.Sub(f.lookupStartedAt) > denialTTL:
			p.releaseHeldPacket(f)
			f.lookupStartedAt = time.Time{}
			delete(p.lookups, key)
		case moreGone && p.deniedByAll(now, f):
			actions = p.resetFlow(key, f, actions)
		case now.Sub(f.askedAllAt) >= askRetryInterval && now.Sub(f.lookupStartedAt) >= p.offerTimeout() && now.Sub(f.lookupStartedAt) < askAgainFor:
			// The client may send its next packet only after its deadline.
			actions = p.queueAsk(now, key, f, actions)
		}
	}
	return actions
}

// queueAsk queues a flow for the next Ask to the agents that may hold it, and sends the queue if due.
func (p *Placer) queueAsk(now time.Time, key lentilflow.Key, f *flow, actions []Action) []Action {
	if len(p.askQueue) >= maxAskQueue {
		return append(actions, Action{Kind: Drop, Cause: TooManyAsked, Key: key})
	}
	f.askedAllAt = now
	p.askQueue = append(p.askQueue, key)
	if now.Sub(p.lastAskAt) < askBatchDelay && len(p.askQueue) < p.askBatchSize() {
		return actions
	}
	return p.sendQueuedAsks(now, actions)
}

// askBatchSize returns for how many flows agents are asked at a time.
func (p *Placer) askBatchSize() int {
	if len(p.agents) > askAllLimit {
		return maxLikelyBatch
	}
	return lentilflow.MaxKeys
}

// sendQueuedAsks sends the queued keys as far as the budget allows. One datagram holds many keys, since a datagram itself
// takes as much CPU time as a hundred keys in it.
func (p *Placer) sendQueuedAsks(now time.Time, actions []Action) []Action {
	p.askBudget.PerSecond, p.askBudget.Burst = asksPerSecond, asksBurst
	for len(p.askQueue) > 0 {
		batch := p.askQueue[:min(len(p.askQueue), p.askBatchSize())]
		cost := len(p.agents)
		if cost > askAllLimit {
			cost = min(cost, len(batch)*maxLikelyHolders)
		}
		if !p.askBudget.Allow(now, cost) {
			return actions
		}
		p.lastAskAt = now
		p.askQueue = p.askQueue[len(batch):]
		for _, key := range batch {
			actions = append(actions, Action{Kind: ReportLookup, Cause: SoughtWidely, Key: key})
		}
		for _, a := range p.asks(now, batch) {
			p.agents[a.To].recordAsked(now)
			actions = append(actions, a)
		}
	}
	p.askQueue = nil
	return actions
}

// asks returns the Asks for some flows: to every agent or, above askAllLimit, to those of a flow's service that any
// balancer can have chosen for it.
func (p *Placer) asks(now time.Time, batch []lentilflow.Key) (asks []Action) {
	askedFor := make(map[lentilflow.Endpoint][]lentilflow.Key)
	if len(p.agents) <= askAllLimit {
		for addr := range p.agents {
			askedFor[addr] = batch
		}
	} else {
		for _, key := range batch {
			for _, addr := range p.likelyHolders(key) {
				askedFor[addr] = append(askedFor[addr], key)
			}
		}
	}
	for _, addr := range p.sortedAddresses() {
		if keys := p.keysNotDenied(now, askedFor[addr], addr); len(keys) > 0 {
			asks = append(asks, Action{Kind: SendAsk, Cause: SoughtWidely, To: addr, Keys: keys})
		}
	}
	return asks
}

// keysNotDenied returns those of the given flows that are still looked up and that an agent hasn't denied.
func (p *Placer) keysNotDenied(now time.Time, keys []lentilflow.Key, addr lentilflow.Endpoint) (remaining []lentilflow.Key) {
	for _, key := range keys {
		if f := p.flows.Get(now, key); f != nil && f.state == stateLookup && !slices.Contains(f.deniedBy, addr) {
			remaining = append(remaining, key)
		}
	}
	return remaining
}

// HandleDenied records that an agent doesn't hold some flows, or needs a packet of each to decide. A flow
// whose last possible holder denies it is looked up again.
func (p *Placer) HandleDenied(from lentilflow.Endpoint, m lentilflow.Denied, actions []Action) []Action {
	now := p.now()
	if a := p.agents[from]; a != nil {
		a.recordHeard(now)
	}
	for _, key := range m.Keys {
		f := p.flows.Get(now, key)
		if f == nil || (f.state == stateKnown && f.agent != from) {
			continue
		}
		if f.state != stateLookup && !m.Unsure && f.portJustReused(now) {
			// It may be about the earlier flow from the port.
			continue
		}
		if f.state == stateKnown && !m.Unsure {
			actions = p.handleHolderDenied(now, from, key, f, actions)
			continue
		}
		if m.Unsure && len(f.buffered) > 0 && f.state != stateLookup && slices.Contains(f.possibleHolders, from) {
			// The agent has taken the flow, and the client's acknowledgement hasn't reached it.
			actions = p.handleUnsureOnLink(now, from, key, f, actions)
			continue
		}
		f.possibleHolders = slices.DeleteFunc(f.possibleHolders, func(holder lentilflow.Endpoint) bool { return holder == from })
		if f.state == stateKnown || (f.state != stateLookup && len(f.possibleHolders) == 0) {
			f.state = stateLookup
			delete(p.pendingPlacements, key)
		}
		f.expireDenials(now)
		actions = p.handleHoldersChanged(now, key, f, actions)
		switch {
		case m.Unsure && len(f.buffered) > 0:
			actions = p.handleUnsureOnLink(now, from, key, f, actions)
		case m.Unsure:
			actions = p.handleUnsure(now, from, key, f, actions)
		default:
			actions = p.handleDenial(now, from, key, f, actions)
		}
	}
	return actions
}

// handleUnsure sends the held packet to an agent that can't decide without one. If it was sent one long before, that was lost, or came to an
// earlier run of the agent.
func (p *Placer) handleUnsure(now time.Time, from lentilflow.Endpoint, key lentilflow.Key, f *flow, actions []Action) []Action {
	if f.state != stateLookup {
		return actions
	}
	if !slices.Contains(f.unsureAgents, from) {
		f.unsureAgents = append(f.unsureAgents, from)
	}
	f.heldSentTo.forgetUntil(from, now.Add(-p.offerTimeout()))
	if f.heldPacket == nil || f.heldSentTo.contains(from) || slices.Index(f.unsureAgents, from) >= maxUnsureAgents {
		return actions
	}
	f.heldSentTo.record(now, from)
	return append(actions, p.forwardAction(from, key, lentilflow.Lookup, f.heldPacket))
}

// handleDenial records an agent's denial of a flow. It resets the flow if no agent can hold it, and asks
// all agents once its preferred ones have denied it.
func (p *Placer) handleDenial(now time.Time, from lentilflow.Endpoint, key lentilflow.Key, f *flow, actions []Action) []Action {
	if !slices.Contains(f.deniedBy, from) {
		f.deniedBy = append(f.deniedBy, from)
	}
	if i := slices.Index(f.unsureAgents, from); i >= 0 {
		f.unsureAgents = slices.Delete(f.unsureAgents, i, i+1)
		if i < maxUnsureAgents && len(f.unsureAgents) >= maxUnsureAgents && f.heldPacket != nil && f.state == stateLookup {
			// The next one gets the packet now.
			next := f.unsureAgents[maxUnsureAgents-1]
			f.heldSentTo.record(now, next)
			actions = append(actions, p.forwardAction(next, key, lentilflow.Lookup, f.heldPacket))
		}
		actions = p.probeNext(now, key, f, actions)
	}
	switch {
	case f.state != stateLookup:
	case p.deniedByAll(now, f):
		return p.resetFlow(key, f, actions)
	case f.askedAllAt.IsZero() && p.deniedByPreferred(now, key, f):
		return p.queueAsk(now, key, f, actions)
	}
	return actions
}

// deniedByPreferred reports whether every preferred agent of a flow has denied it. Unresponsive agents are
// skipped, since they won't answer.
func (p *Placer) deniedByPreferred(now time.Time, key lentilflow.Key, f *flow) bool {
	for _, addr := range p.preferredAgents(key) {
		if !slices.Contains(f.deniedBy, addr) && !p.agents[addr].unresponsive(now) {
			return false
		}
	}
	return true
}

// deniedByAll reports whether no agent can hold a flow: every agent has denied it, has ended after its
// upstream, or is gone. Agents of all services count, since an earlier configuration that this balancer
// never had may have given the address to any service.
func (p *Placer) deniedByAll(now time.Time, f *flow) bool {
	if !p.agentsComplete || p.configuration.Version() == 0 || len(f.deniedBy) == 0 && f.holderLost == NoCause || f.portJustReused(now) {
		return false
	}
	for addr, a := range p.agents {
		switch unresponsive := a.unresponsive(now); {
		case a.holdsNoFlows():
		case unresponsive && !p.isGone(now, a), !unresponsive && !slices.Contains(f.deniedBy, addr):
			return false
		}
	}
	return true
}
