package lentilplacement

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// later sends a packet of an open flow to its agent, or to every agent that may have it.
func (p *Placer) later(now time.Time, packet lentilflow.Packet, data []byte, actions []Action) []Action {
	f := p.flows.Get(now, packet.Key)
	if f == nil {
		f = &flow{state: seeking}
		p.flows.Put(now, packet.Key, f)
	}
	f.acknowledged = packet.Acknowledged
	switch {
	case f.state == known, f.state == placed && len(f.offers) == 1:
		return append(actions, p.pass(f.agent, packet.Key, lentilflow.Owned, data))
	case f.state == seeking:
		return p.seek(packet.Key, f, data, actions)
	}
	// Several upstreams may have made an offer; only the agent of the right one passes the packet on.
	for _, end := range f.offers {
		actions = append(actions, p.pass(end, packet.Key, lentilflow.Lookup, data))
	}
	return actions
}

func (p *Placer) pass(to lentilflow.Endpoint, key lentilflow.Key, purpose lentilflow.Purpose, data []byte) Action {
	cause := Found
	if purpose == lentilflow.Lookup {
		cause = Sought
	}
	return Action{Verb: SendCarry, Cause: cause, To: to, Key: key,
		Carry: lentilflow.Carry{Purpose: purpose, Version: p.configuration.Version(), Packet: data}}
}

// seek sends a packet to every agent that would have got the flow, and to those that asked for one,
// unless they have denied it.
func (p *Placer) seek(key lentilflow.Key, f *flow, data []byte, actions []Action) []Action {
	now := p.now()
	f.expireDenials(now)
	if p.deniedByAll(now, f) {
		return p.resetDenied(key, f, actions)
	}
	p.noteSeeking(now, key, f, data)
	before := len(actions)
	for _, end := range p.likely(key) {
		if !slices.Contains(f.denied, end) {
			actions = append(actions, p.pass(end, key, lentilflow.Lookup, data))
		}
	}
	likely := len(actions) - before
	for _, end := range f.unsure[:min(len(f.unsure), maxUnsure)] {
		if !slices.ContainsFunc(actions[before:before+likely], func(a Action) bool { return a.To == end }) {
			actions = append(actions, p.pass(end, key, lentilflow.Lookup, data))
		}
	}
	if likely > 0 {
		actions = append(actions, Action{Verb: NoteSought, Cause: Sought, Key: key})
	}
	if now.Sub(f.widelyAt) >= askAgain && (likely == 0 || now.Sub(f.soughtAt) >= placePatience) {
		// An agent that passed the packet on may never hear of it again.
		return p.askAll(now, key, f, actions)
	}
	if len(actions) == before {
		return append(actions, Action{Verb: Drop, Cause: AskedAlready, Key: key})
	}
	return actions
}

// noteSeeking notes that a flow is sought, and holds its packet until it is found.
func (p *Placer) noteSeeking(now time.Time, key lentilflow.Key, f *flow, data []byte) {
	if f.held == nil && p.held < maxHeld {
		f.held = slices.Clone(data)
		p.held++
	}
	if f.soughtAt.IsZero() {
		f.soughtAt = now
	}
	if p.seeking == nil {
		p.seeking = make(map[lentilflow.Key]*flow)
	}
	p.seeking[key] = f
}

// release forgets the packet that was held for a flow.
func (p *Placer) release(f *flow) (held []byte) {
	if held = f.held; held != nil {
		f.held = nil
		p.held--
	}
	return held
}

// resetDenied ends a flow that surely lives nowhere.
func (p *Placer) resetDenied(key lentilflow.Key, f *flow, actions []Action) []Action {
	p.release(f)
	p.flows.Delete(key)
	delete(p.seeking, key)
	return append(actions, Action{Verb: ResetClient, Cause: AllDenied, Key: key, Sequence: f.acknowledged})
}

// tickSeeking ends the flows whose last possible agents have turned out to be gone, and stops to hold
// what isn't found.
func (p *Placer) tickSeeking(now time.Time, actions []Action) []Action {
	if len(p.seeking) == 0 || len(p.agents) > askAllLimit {
		return actions
	}
	gone := 0
	for _, a := range p.agents {
		if a.left() || a.silent(now) && p.isGone(now, a) {
			gone++
		}
	}
	more := gone > p.gone
	p.gone = gone
	for key, f := range p.seeking {
		switch {
		case p.flows.Get(now, key) != f || now.Sub(f.soughtAt) > deniedLife:
			p.release(f)
			f.soughtAt = time.Time{}
			delete(p.seeking, key)
		case more && p.deniedByAll(now, f):
			actions = p.resetDenied(key, f, actions)
		}
	}
	return actions
}

// askAll asks every agent that hasn't denied a flow whether it lives there, soon.
func (p *Placer) askAll(now time.Time, key lentilflow.Key, f *flow, actions []Action) []Action {
	if len(p.agents) > askAllLimit || len(p.asking) >= maxAsking {
		return append(actions, Action{Verb: Drop, Cause: TooManyAsked, Key: key})
	}
	f.widelyAt = now
	p.asking = append(p.asking, key)
	if now.Sub(p.askedAt) < askGather && len(p.asking) < lentilflow.MaxKeys {
		return actions
	}
	return p.ask(now, actions)
}

// ask sends the questions that have gathered: one datagram for many flows, since each costs a
// processor as much as a hundred flows in it.
func (p *Placer) ask(now time.Time, actions []Action) []Action {
	p.asks.PerSecond, p.asks.Burst = asksPerSecond, asksBurst
	for len(p.asking) > 0 && p.asks.Allow(now, len(p.agents)) {
		p.askedAt = now
		batch := p.asking[:min(len(p.asking), lentilflow.MaxKeys)]
		p.asking = p.asking[len(batch):]
		for _, key := range batch {
			actions = append(actions, Action{Verb: NoteSought, Cause: SoughtWidely, Key: key})
		}
		for _, end := range p.order() {
			if keys := p.undenied(now, batch, end); len(keys) > 0 {
				actions = append(actions, Action{Verb: SendAsk, Cause: SoughtWidely, To: end, Keys: keys})
			}
		}
	}
	if len(p.asking) == 0 {
		p.asking = nil
	}
	return actions
}

// undenied returns the flows of some that an agent hasn't denied.
func (p *Placer) undenied(now time.Time, keys []lentilflow.Key, end lentilflow.Endpoint) (left []lentilflow.Key) {
	for _, key := range keys {
		if f := p.flows.Get(now, key); f != nil && f.state == seeking && !slices.Contains(f.denied, end) {
			left = append(left, key)
		}
	}
	return left
}

// Denied takes an agent's word that some flows don't live there.
func (p *Placer) Denied(from lentilflow.Endpoint, m lentilflow.Denied, actions []Action) []Action {
	now := p.now()
	for _, key := range m.Keys {
		f := p.flows.Get(now, key)
		if f == nil || (f.state == known && f.agent != from) {
			continue
		}
		f.offers = slices.DeleteFunc(f.offers, func(e lentilflow.Endpoint) bool { return e == from })
		if f.state == known || (f.state != seeking && len(f.offers) == 0) {
			f.state = seeking
			delete(p.placing, key)
		}
		f.expireDenials(now)
		if m.Unsure {
			actions = p.unsure(from, key, f, actions)
		} else {
			actions = p.denied(now, from, key, f, actions)
		}
	}
	return actions
}

// expireDenials forgets who doesn't hold a flow after some time.
func (f *flow) expireDenials(now time.Time) {
	if now.Sub(f.deniedAt) > deniedLife {
		f.denied, f.unsure, f.deniedAt = f.denied[:0], f.unsure[:0], now
	}
}

// unsure sends an agent that can't tell otherwise the packet that is held.
func (p *Placer) unsure(from lentilflow.Endpoint, key lentilflow.Key, f *flow, actions []Action) []Action {
	if f.state != seeking || slices.Contains(f.unsure, from) {
		return actions
	}
	f.unsure = append(f.unsure, from)
	if f.held == nil || len(f.unsure) > maxUnsure {
		return actions
	}
	return append(actions, p.pass(from, key, lentilflow.Lookup, f.held))
}

// denied takes an agent's word that a flow doesn't live there.
func (p *Placer) denied(now time.Time, from lentilflow.Endpoint, key lentilflow.Key, f *flow, actions []Action) []Action {
	if !slices.Contains(f.denied, from) {
		f.denied = append(f.denied, from)
	}
	f.unsure = slices.DeleteFunc(f.unsure, func(e lentilflow.Endpoint) bool { return e == from })
	switch {
	case f.state != seeking:
	case p.deniedByAll(now, f):
		return p.resetDenied(key, f, actions)
	case f.widelyAt.IsZero() && p.deniedByLikely(now, key, f):
		return p.askAll(now, key, f, actions)
	}
	return actions
}

// deniedByLikely reports whether every agent that would have got the flow has said that it doesn't
// hold it. One that is silent will not answer.
func (p *Placer) deniedByLikely(now time.Time, key lentilflow.Key, f *flow) bool {
	for _, end := range p.likely(key) {
		if !slices.Contains(f.denied, end) && !p.agents[end].silent(now) {
			return false
		}
	}
	return true
}

// deniedByAll reports whether a flow surely lives nowhere: every agent has said that it doesn't hold
// it, whatever its service, or is gone for good. An earlier configuration, of which this balancer
// knows nothing, may have given the address to any service.
func (p *Placer) deniedByAll(now time.Time, f *flow) bool {
	if !p.whole || p.configuration.Version() == 0 || len(f.denied) == 0 {
		return false
	}
	for end, a := range p.agents {
		switch silent := a.silent(now); {
		case a.left():
		case silent && !p.isGone(now, a), !silent && !slices.Contains(f.denied, end):
			return false
		}
	}
	return true
}
