package lentilplacement

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Clients use a port for one flow after the other, and balancers share them. So what a balancer remembers of the ends of a flow, and what an
// agent says of them, may be about an earlier flow than the one that the client has now. The client's numbers tell most flows of a
// port apart, but may be alike by chance. A flow is therefore reset only if no agent holds one with its ends.

// lateDenialLimit is how late a denial may arrive.
const lateDenialLimit = lateStatusLimit

// recordNumbers records the numbers of a client's packet.
func (f *flow) recordNumbers(packet lentilflow.Packet) {
	if packet.Flags.Has(lentilflow.Acknowledge) {
		f.acknowledged, f.sequence, f.numbersSeen = packet.Acknowledged, packet.Sequence, true
	}
}

// differsFrom reports whether a client's packet certainly belongs to another flow from the same port than the last one did.
func (f *flow) differsFrom(packet lentilflow.Packet) bool {
	return f.numbersSeen && packet.Flags.Has(lentilflow.Acknowledge) &&
		(!lentilflow.OfSameFlow(packet.Acknowledged, f.acknowledged) || !lentilflow.OfSameFlow(packet.Sequence, f.sequence))
}

// recordReuse records that the client uses the port of a cached flow for another one.
func (f *flow) recordReuse(now time.Time) {
	f.numbersSeen, f.confirmed, f.portReusedAt = false, false, now
}

// portJustReused reports whether denials of an earlier flow from the client's port may still arrive.
func (f *flow) portJustReused(now time.Time) bool {
	return !f.portReusedAt.IsZero() && now.Sub(f.portReusedAt) < lateDenialLimit
}

// expireDenials clears the denials and unsure agents of a flow when they are older than denialTTL, and those that may be of an earlier
// flow once none of these can arrive any more. The agents are then asked again.
func (f *flow) expireDenials(now time.Time) {
	mayBeEarlier := !f.portReusedAt.IsZero() && !f.portJustReused(now)
	if mayBeEarlier {
		f.portReusedAt, f.askedAllAt = time.Time{}, time.Time{}
	}
	if mayBeEarlier || now.Sub(f.denialsSince) > denialTTL {
		f.deniedBy, f.unsureAgents, f.denialsSince = f.deniedBy[:0], f.unsureAgents[:0], now
	}
}

// mayResetAtOnce reports whether a flow is reset as soon as the agent that held it doesn't any more. On sites where not all agents
// are asked, no other way shows that a flow has ended; it then takes an agent that has confirmed the flow of these numbers.
func (p *Placer) mayResetAtOnce(now time.Time, f *flow) bool {
	return len(p.agents) > askAllLimit && f.confirmed && !f.portJustReused(now)
}

// handleHolderDenied handles that the agent which held a flow doesn't. Another one may hold a later flow from the port.
func (p *Placer) handleHolderDenied(now time.Time, from lentilflow.Endpoint, key lentilflow.Key, f *flow, actions []Action) []Action {
	f.holderLost = HolderDenied
	if p.mayResetAtOnce(now, f) {
		return p.resetFlow(key, f, actions)
	}
	f.state = stateLookup
	f.expireDenials(now)
	f.deniedBy = append(f.deniedBy, from)
	if p.deniedByAll(now, f) {
		return p.resetFlow(key, f, actions)
	}
	p.recordLookup(now, key, f)
	return p.queueAsk(now, key, f, actions)
}
