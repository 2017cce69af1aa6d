package lentilpin

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// RecordOpen pins a flow to this agent that Decide hasn't opened.
func (k *Table) RecordOpen(key lentilroute.Key) {
	k.pins.put(key, local, k.Self, k.currentLimit())
}

// RecordClose forgets a flow that has ended here.
func (k *Table) RecordClose(key lentilroute.Key) {
	if p := k.pins.byKey[key]; p != nil && p.state == local {
		k.pins.remove(key)
	}
}

// Clear forgets every flow, as when operators take the agent's failure domain out.
func (k *Table) Clear() { k.pins = pinStore{} }

// RecordHandOff pins a flow to the peer that has taken it.
func (k *Table) RecordHandOff(key lentilroute.Key, peer lentilid.Place) {
	k.pins.put(key, remote, peer, k.currentLimit())
	k.counts.HandedOff++
}

// HandleNotice takes a notice from another agent. A notice about a flow that lives
// here, or that this agent has not asked for, changes nothing.
func (k *Table) HandleNotice(n Notice) {
	p := k.pins.byKey[n.Key]
	if p == nil || p.state == local || n.Place.Service() != k.Self.Service() || n.Place.Agent() == k.Self.Agent() {
		return
	}
	k.pins.put(n.Key, remote, n.Place, k.currentLimit())
}

// countAction adds an action to the counts.
func (k *Table) countAction(action *Action) {
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
func (k *Table) now() time.Time { return lentilclock.OrSystem(k.Clock).Now() }

// currentLimit returns the time and what bounds the pins.
func (k *Table) currentLimit() pinLimit {
	most := k.MaxFlows
	if most == 0 {
		most = DefaultMaxFlows
	}
	return pinLimit{now: k.now(), maxPins: most, evictOldest: k.Protocol == lentilroute.QUIC}
}

// idleTimeout returns how long a flow without packets is remembered.
func (k *Table) idleTimeout() time.Duration {
	switch {
	case k.IdleTimeout != 0:
		return k.IdleTimeout
	case k.Protocol == lentilroute.QUIC:
		return DefaultIdleTimeoutQUIC
	default:
		return DefaultIdleTimeoutDatagram
	}
}

// askTimeout returns how long a QUIC flow waits for an answer.
func (k *Table) askTimeout() time.Duration {
	if k.AskTimeout != 0 {
		return k.AskTimeout
	}
	return DefaultAskTimeout
}

// maxAsked returns how many agents are asked for a flow.
func (k *Table) maxAsked() int {
	if k.Protocol == lentilroute.QUIC {
		return maxAskedQUIC
	}
	return maxAskedDatagram
}

// out reports whether a place lies in a failure domain that is out.
func (k *Table) out(place lentilid.Place) bool {
	return k.Out != nil && k.Out(place.Domain())
}

// gone reports whether a place is known to hold no flows any more.
func (k *Table) gone(place lentilid.Place) bool {
	return k.out(place) || k.Gone != nil && k.Gone(place)
}

// refusesNewFlows reports whether this agent opens no flows.
func (k *Table) refusesNewFlows() bool { return k.RefusesNewFlows != nil && k.RefusesNewFlows() }
