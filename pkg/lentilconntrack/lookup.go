package lentilconntrack

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// HandleAsk answers a balancer that asks which of some flows the upstream holds.
func (t *Tracker) HandleAsk(from lentilflow.Endpoint, m lentilflow.Ask, actions []Action) []Action {
	now := t.now()
	denied, unsure := Action{Kind: SendDenied, To: from}, Action{Kind: SendDenied, To: from, Unsure: true}
	for _, key := range m.Keys {
		switch f := t.flows[key]; {
		case f != nil && f.state == open && !f.unconfirmed:
			f.balancer = from
			actions = append(actions, Action{Kind: SendTaken, To: from, Key: key, Open: true})
		case f != nil && (f.state == halfOpen || f.state == open):
			// The client's next packet shows whether it opens here, or is open still.
			unsure.Keys = append(unsure.Keys, key)
		case t.knownAbsent(now, key):
			denied.Keys = append(denied.Keys, key)
		default:
			unsure.Keys = append(unsure.Keys, key)
		}
	}
	for _, a := range []Action{denied, unsure} {
		if len(a.Keys) > 0 {
			actions = append(actions, a)
		}
	}
	return actions
}

// knownAbsent reports whether the upstream certainly doesn't hold a flow that isn't in the table.
func (t *Tracker) knownAbsent(now time.Time, key lentilflow.Key) bool {
	deniedAt := t.denied.Get(now, key)
	return t.FlowsComplete || t.upstream.ended || (deniedAt != nil && now.Sub(*deniedAt) < denialTTL)
}

// handleUnknown handles a packet of a flow that isn't in the table. Unless the upstream certainly doesn't hold the
// flow, the packet is forwarded to find out.
func (t *Tracker) handleUnknown(now time.Time, from lentilflow.Endpoint, m lentilflow.Carry, packet lentilflow.Packet, actions []Action) []Action {
	if t.knownAbsent(now, packet.Key) {
		return append(actions, Action{Kind: SendDenied, To: from, Keys: []lentilflow.Key{packet.Key}})
	}
	f := &flow{state: unverified, balancer: from, lastUsed: now}
	t.addFlow(packet.Key, f)
	t.trackClientPacket(now, f, packet)
	return append(actions, Action{Kind: ToUpstream, Key: packet.Key, Packet: m.Packet})
}

// denyFlow removes a flow that the upstream doesn't hold and notifies its balancer.
func (t *Tracker) denyFlow(now time.Time, key lentilflow.Key, f *flow, actions []Action) []Action {
	t.removeFlow(key)
	t.denied.Put(now, key, &now)
	if f.balancer == (lentilflow.Endpoint{}) {
		return actions
	}
	return append(actions, Action{Kind: SendDenied, To: f.balancer, Keys: []lentilflow.Key{key}})
}
