package lentilpin

import (
	"slices"

	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// startLookup starts to ask other agents for the flow of a packet.
func (t *Table) startLookup(packet *Packet) (action Action) {
	if t.refusesNewFlows() {
		return t.redirectToOwner(packet)
	}
	p := t.pins.put(packet.Flow.Key, lookingUp, lentilid.Place{}, t.currentLimit())
	if p == nil {
		return Action{Verdict: DropFull}
	}
	p.lookupStartedAt = t.now()
	return t.askNext(packet, p)
}

// askNext sends the packet as an Ask to the next agent that may hold the flow, or
// opens the flow if no agent is left to ask.
func (t *Table) askNext(packet *Packet, p *pin) (action Action) {
	now := t.now()
	if t.Protocol == lentilroute.QUIC && now.Sub(p.lookupStartedAt) > t.askTimeout() {
		return t.openFlow(packet)
	}
	if now.Sub(p.lookupStartedAt) > denialTTL {
		p.lookupStartedAt, p.denied = now, nil
		p.token++
	}
	places := t.remainingCandidates(packet, p.denied)
	if len(places) == 0 || len(p.denied) >= t.maxAsked() {
		return t.openFlow(packet)
	}
	next := places[0]
	if at := slices.Index(places, p.place); at >= 0 {
		next = p.place
		if now.Sub(p.placeAskedAt) > t.askTimeout() {
			// The agent is unresponsive. Another one may have the flow meanwhile.
			next = places[(at+1)%len(places)]
		}
	}
	if p.place != next {
		p.place, p.placeAskedAt = next, now
		p.token++
	}
	packet.Hop = newHop(Ask, packet.Hop.Count(), p.token)
	packet.From = t.Self
	return t.forward(packet, next, Ask)
}

// remainingCandidates returns the places that may hold the flow, the most likely
// first. It leaves out this agent, agents that have denied the flow and places that
// are gone. The agent that sent an Ask is included: its Ask may be old, and it may
// have opened the flow since.
func (t *Table) remainingCandidates(packet *Packet, denied []lentilid.Place) (places []lentilid.Place) {
	places = t.preferredCandidates(packet)
	if t.FallbackCandidates != nil && t.Protocol == lentilroute.Datagram {
		for _, place := range t.FallbackCandidates() {
			if !slices.Contains(places, place) {
				places = append(places, place)
			}
		}
		t.scratch = places
	}
	return slices.DeleteFunc(places, func(place lentilid.Place) bool {
		return !t.mayHold(place) || slices.Contains(denied, place)
	})
}

// nextPreferred returns the first preferred candidate that may hold the flow and
// has not denied it. It skips the agent that sent an Ask.
func (t *Table) nextPreferred(packet *Packet, denied []lentilid.Place) (next lentilid.Place, ok bool) {
	for _, place := range t.preferredCandidates(packet) {
		isAsker := packet.Hop.Purpose() == Ask && place.Agent() == packet.From.Agent()
		if !isAsker && t.mayHold(place) && !slices.Contains(denied, place) {
			return place, true
		}
	}
	return lentilid.Place{}, false
}

// preferredCandidates returns the PreferredCandidates for the flow. The slice is
// valid until the next call.
func (t *Table) preferredCandidates(packet *Packet) (places []lentilid.Place) {
	if t.PreferredCandidates == nil {
		return nil
	}
	t.scratch = t.PreferredCandidates(packet.Flow.Key.Hash(t.Self.Service()), t.scratch[:0])
	return t.scratch
}

// mayHold reports whether a place is another agent that may hold flows.
func (t *Table) mayHold(place lentilid.Place) bool {
	return place.Agent() != t.Self.Agent() && !t.gone(place)
}
