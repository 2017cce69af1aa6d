package lentilconntrack

import (
	"cmp"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// openedBy reports whether packet may be a copy of the packet that opened the flow. Otherwise, the client uses its port for
// another flow.
func (f *flow) openedBy(packet lentilflow.Packet) bool {
	return !f.firstSeen || f.firstSequence == packet.Sequence
}

// isCopy reports whether packet is surely a copy of the packet that opened the flow.
func (f *flow) isCopy(packet lentilflow.Packet) bool {
	return f.firstSeen && f.firstSequence == packet.Sequence
}

// differsFrom reports whether a client's packet belongs to another flow from the same port, which another upstream holds. The
// client's acknowledgements of a flow follow each other within its window; those of another flow start at a random number.
func (f *flow) differsFrom(packet lentilflow.Packet) bool {
	known := cmp.Or(f.acknowledged, f.initialSequence)
	return known != 0 && packet.Flags.Has(lentilflow.Acknowledge) && !lentilflow.OfSameFlow(packet.Acknowledged, known)
}

// ofEarlierFlow reports whether a packet of the upstream belongs to an earlier flow from the same port of the client, of which
// the upstream has still sent it. Its answer must not reach the client of the flow that is opening.
func (f *flow) ofEarlierFlow(packet lentilflow.Packet) bool {
	if f.state != halfOpen || !f.firstSeen || packet.Flags.Has(lentilflow.Open) {
		return false
	}
	if !packet.Flags.Has(lentilflow.Acknowledge) {
		return f.waiting
	}
	return packet.Acknowledged-f.firstSequence > lentilflow.MaxSameFlowOffset
}
