package lentilpin

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// RecordOpen pins a flow to this agent that was opened without a call of Decide.
func (t *Table) RecordOpen(key lentilroute.Key) {
	t.pins.put(key, local, t.Self, t.currentLimit())
}

// RecordClose removes a flow that has ended at this agent.
func (t *Table) RecordClose(key lentilroute.Key) {
	if p := t.pins.byKey[key]; p != nil && p.state == local {
		t.pins.remove(key)
	}
}

// Clear removes all flows, for example when operators take the agent's failure
// domain out of service.
func (t *Table) Clear() { t.pins = pinStore{} }

// RecordHandOff pins a flow to the peer that has taken it.
func (t *Table) RecordHandOff(key lentilroute.Key, peer lentilid.Place) {
	t.pins.put(key, remote, peer, t.currentLimit())
	t.counts.HandedOff++
}

// HandleNotice pins a flow to the agent in a notice. It ignores a notice about a
// flow that lives here or that this agent has not asked for.
func (t *Table) HandleNotice(n Notice) {
	p := t.pins.byKey[n.Key]
	if p == nil || p.state == local || n.Place.Service() != t.Self.Service() || n.Place.Agent() == t.Self.Agent() {
		return
	}
	t.pins.put(n.Key, remote, n.Place, t.currentLimit())
}

// countAction adds an action to the counts.
func (t *Table) countAction(action *Action) {
	t.counts.Packets++
	switch action.Verdict {
	case Local:
	case Forward:
		t.counts.Forwarded++
		if action.Hop.Purpose() == Ask {
			t.counts.Asked++
		}
	default:
		t.counts.Dropped[action.Verdict]++
	}
}

func (t *Table) now() time.Time { return lentilclock.OrSystem(t.Clock).Now() }

// currentLimit returns the limit that applies to a pin added now.
func (t *Table) currentLimit() pinLimit {
	maxPins := t.MaxFlows
	if maxPins == 0 {
		maxPins = DefaultMaxFlows
	}
	return pinLimit{now: t.now(), maxPins: maxPins, evictOldest: t.Protocol == lentilroute.QUIC}
}

// idleTimeout returns how long a flow without packets is remembered.
func (t *Table) idleTimeout() time.Duration {
	switch {
	case t.IdleTimeout != 0:
		return t.IdleTimeout
	case t.Protocol == lentilroute.QUIC:
		return DefaultIdleTimeoutQUIC
	default:
		return DefaultIdleTimeoutDatagram
	}
}

// askTimeout returns how long to wait for an answer, see DefaultAskTimeout.
func (t *Table) askTimeout() time.Duration {
	if t.AskTimeout != 0 {
		return t.AskTimeout
	}
	return DefaultAskTimeout
}

// maxAsked returns how many agents are asked for a flow at most.
func (t *Table) maxAsked() int {
	if t.Protocol == lentilroute.QUIC {
		return maxAskedQUIC
	}
	return maxAskedDatagram
}

// out reports whether a place lies in a failure domain that is out of service.
func (t *Table) out(place lentilid.Place) bool {
	return t.Out != nil && t.Out(place.Domain())
}

// gone reports whether a place is known to hold no flows any more.
func (t *Table) gone(place lentilid.Place) bool {
	return t.out(place) || t.Gone != nil && t.Gone(place)
}

// refusesNewFlows reports whether this agent opens no new flows.
func (t *Table) refusesNewFlows() bool { return t.RefusesNewFlows != nil && t.RefusesNewFlows() }
