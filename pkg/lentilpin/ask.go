package lentilpin

import (
	"slices"

	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// startLookup begins to look for the flow at other agents.
func (k *Table) startLookup(a *Packet) (action Action) {
	if k.refusesNewFlows() {
		return k.redirectToOwner(a)
	}
	p := k.pins.put(a.Flow.Key, lookingUp, lentilid.Place{}, k.currentLimit())
	if p == nil {
		return Action{Verdict: DropFull}
	}
	p.lookupStartedAt = k.now()
	return k.askNext(a, p)
}

// askNext sends the packet to the next agent that may hold the flow, or opens the
// flow if there is none left.
func (k *Table) askNext(a *Packet, p *pin) (action Action) {
	now := k.now()
	if k.Protocol == lentilroute.QUIC && now.Sub(p.lookupStartedAt) > k.askTimeout() {
		return k.openFlow(a)
	}
	if now.Sub(p.lookupStartedAt) > denialTTL {
		p.lookupStartedAt, p.denied = now, nil
		p.token++
	}
	places := k.remainingCandidates(a, p.denied)
	if len(places) == 0 || len(p.denied) >= k.maxAsked() {
		return k.openFlow(a)
	}
	next := places[0]
	if at := slices.Index(places, p.place); at >= 0 {
		next = p.place
		if now.Sub(p.placeAskedAt) > k.askTimeout() {
			// It is silent. Another one may have the flow meanwhile.
			next = places[(at+1)%len(places)]
		}
	}
	if p.place != next {
		p.place, p.placeAskedAt = next, now
		p.token++
	}
	a.Hop = newHop(Ask, a.Hop.Count(), p.token)
	a.From = k.Self
	return k.forward(a, next, Ask)
}

// remainingCandidates returns the places that may hold the flow, the likeliest first, but
// for this agent, those that have denied it and those that are gone. An agent that asks
// is among them: its question may be old, and the flow may live there by now.
func (k *Table) remainingCandidates(a *Packet, denied []lentilid.Place) (places []lentilid.Place) {
	places = k.preferredCandidates(a)
	if k.FallbackCandidates != nil && k.Protocol == lentilroute.Datagram {
		for _, place := range k.FallbackCandidates() {
			if !slices.Contains(places, place) {
				places = append(places, place)
			}
		}
		k.scratch = places
	}
	return slices.DeleteFunc(places, func(place lentilid.Place) bool {
		return !k.mayHold(place) || slices.Contains(denied, place)
	})
}

// nextPreferred returns the likeliest of the places that are nextPreferred to hold the flow, but
// for the one that asks.
func (k *Table) nextPreferred(a *Packet, denied []lentilid.Place) (next lentilid.Place, ok bool) {
	for _, place := range k.preferredCandidates(a) {
		asker := a.Hop.Purpose() == Ask && place.Agent() == a.From.Agent()
		if !asker && k.mayHold(place) && !slices.Contains(denied, place) {
			return place, true
		}
	}
	return lentilid.Place{}, false
}

// preferredCandidates returns what Owners says about the flow.
func (k *Table) preferredCandidates(a *Packet) (places []lentilid.Place) {
	if k.PreferredCandidates == nil {
		return nil
	}
	k.scratch = k.PreferredCandidates(a.Flow.Key.Hash(k.Self.Service()), k.scratch[:0])
	return k.scratch
}

// mayHold reports whether a place is one to ask for a flow.
func (k *Table) mayHold(place lentilid.Place) bool {
	return place.Agent() != k.Self.Agent() && !k.gone(place)
}
