package lentilpin

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// Opened pins a flow to this agent that Decide hasn't opened.
func (k *Keeper) Opened(key lentilroute.Key) {
	k.pins.put(key, local, k.Self, k.limit())
}

// Closed forgets a flow that has ended here.
func (k *Keeper) Closed(key lentilroute.Key) {
	if p := k.pins.byKey[key]; p != nil && p.state == local {
		k.pins.remove(key)
	}
}

// Clear forgets every flow, as when operators take the agent's failure domain out.
func (k *Keeper) Clear() { k.pins = pins{} }

// HandedOff pins a flow to the peer that has taken it.
func (k *Keeper) HandedOff(key lentilroute.Key, peer lentilid.Place) {
	k.pins.put(key, remote, peer, k.limit())
	k.counts.HandedOff++
}

// Notify takes a notice from another agent. A notice about a flow that lives
// here, or that this agent has not asked for, changes nothing.
func (k *Keeper) Notify(n Notice) {
	p := k.pins.byKey[n.Key]
	if p == nil || p.state == local || n.Place.Service() != k.Self.Service() || n.Place.Agent() == k.Self.Agent() {
		return
	}
	k.pins.put(n.Key, remote, n.Place, k.limit())
}

// count adds an action to the counts.
func (k *Keeper) count(action *Action) {
	k.counts.Packets++
	switch action.Verdict {
	case Local:
	case Forward:
		k.counts.Forwarded++
		if action.Hop.Purpose() == Ask {
			k.counts.Asked++
		}
	default:
		k.counts.Dropped[action.Verdict]++
	}
}

// now returns the time.
func (k *Keeper) now() time.Time { return lentilclock.OrSystem(k.Clock).Now() }

// limit returns the time and what bounds the pins.
func (k *Keeper) limit() limit {
	most := k.MaxFlows
	if most == 0 {
		most = DefaultMaxFlows
	}
	return limit{now: k.now(), most: most, replace: k.Protocol == lentilroute.QUIC}
}

// idle returns how long a flow without packets is remembered.
func (k *Keeper) idle() time.Duration {
	switch {
	case k.Idle != 0:
		return k.Idle
	case k.Protocol == lentilroute.QUIC:
		return DefaultIdleQUIC
	default:
		return DefaultIdleDatagram
	}
}

// askTimeout returns how long a QUIC flow waits for an answer.
func (k *Keeper) askTimeout() time.Duration {
	if k.AskTimeout != 0 {
		return k.AskTimeout
	}
	return DefaultAskTimeout
}

// maxAsked returns how many agents are asked for a flow.
func (k *Keeper) maxAsked() int {
	if k.Protocol == lentilroute.QUIC {
		return maxAskedQUIC
	}
	return maxAskedDatagram
}

// out reports whether a place lies in a failure domain that is out.
func (k *Keeper) out(place lentilid.Place) bool {
	return k.Out != nil && k.Out(place.Domain())
}

// gone reports whether a place is known to hold no flows any more.
func (k *Keeper) gone(place lentilid.Place) bool {
	return k.out(place) || k.Gone != nil && k.Gone(place)
}

// refuses reports whether this agent opens no flows.
func (k *Keeper) refuses() bool { return k.Refuse != nil && k.Refuse() }
