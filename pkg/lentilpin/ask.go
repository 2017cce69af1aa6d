package lentilpin

import (
	"slices"

	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// startAsking begins to look for the flow at other agents.
func (k *Keeper) startAsking(a *Arrival) (action Action) {
	if k.refuses() {
		return k.redirect(a)
	}
	p := k.pins.put(a.Flow.Key, asking, lentilid.Place{}, k.limit())
	if p == nil {
		return Action{Verdict: DropFull}
	}
	p.asked = k.now()
	return k.ask(a, p)
}

// ask sends the packet to the next agent that may hold the flow, or opens the
// flow if there is none left.
func (k *Keeper) ask(a *Arrival, p *pin) (action Action) {
	now := k.now()
	if k.Protocol == lentilroute.QUIC && now.Sub(p.asked) > k.askTimeout() {
		return k.open(a)
	}
	if now.Sub(p.asked) > denialLife {
		p.asked, p.denied = now, nil
		p.token++
	}
	places := k.candidates(a, p.denied)
	if len(places) == 0 || len(p.denied) >= k.maxAsked() {
		return k.open(a)
	}
	next := places[0]
	if at := slices.Index(places, p.place); at >= 0 {
		next = p.place
		if now.Sub(p.since) > k.askTimeout() {
			// It is silent. Another one may have the flow meanwhile.
			next = places[(at+1)%len(places)]
		}
	}
	if p.place != next {
		p.place, p.since = next, now
		p.token++
	}
	a.Hop = newHop(Ask, a.Hop.Count(), p.token)
	a.From = k.Self
	return k.forward(a, next, Ask)
}

// candidates returns the places that may hold the flow, the likeliest first, but
// for this agent, those that have denied it and those that are gone. An agent that asks
// is among them: its question may be old, and the flow may live there by now.
func (k *Keeper) candidates(a *Arrival, denied []lentilid.Place) (places []lentilid.Place) {
	places = k.likelyPlaces(a)
	if k.Others != nil && k.Protocol == lentilroute.Datagram {
		for _, place := range k.Others() {
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

// likely returns the likeliest of the places that are likely to hold the flow, but
// for the one that asks.
func (k *Keeper) likely(a *Arrival, denied []lentilid.Place) (next lentilid.Place, ok bool) {
	for _, place := range k.likelyPlaces(a) {
		asker := a.Hop.Purpose() == Ask && place.Agent() == a.From.Agent()
		if !asker && k.mayHold(place) && !slices.Contains(denied, place) {
			return place, true
		}
	}
	return lentilid.Place{}, false
}

// likelyPlaces returns what Owners says about the flow.
func (k *Keeper) likelyPlaces(a *Arrival) (places []lentilid.Place) {
	if k.Owners == nil {
		return nil
	}
	k.scratch = k.Owners(a.Flow.Key.Hash(k.Self.Service()), k.scratch[:0])
	return k.scratch
}

// mayHold reports whether a place is one to ask for a flow.
func (k *Keeper) mayHold(place lentilid.Place) bool {
	return place.Agent() != k.Self.Agent() && !k.gone(place)
}
