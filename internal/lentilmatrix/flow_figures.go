package lentilmatrix

import (
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilpin"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// ProtocolStats is what a run counts of the flows of one protocol.
type ProtocolStats struct {
	// Flows is how many flows callers began, Opened how often an agent opened one.
	Flows, Opened int
	// Broken counts flows that broke, Exempt those that no promise covers: their agent
	// died or their failure domain went out.
	Broken, Exempt int
	// Packets is how many tunnel packets reached agents, Forwarded those that an
	// agent handed on.
	Packets, Forwarded int
}

// FlowStats is what a run counts.
type FlowStats struct {
	// QUIC is about flows whose packets carry their place, Datagram about flows known
	// by their 5-tuple only.
	QUIC, Datagram ProtocolStats
	// WrongService, PacketsAfterOut and OpenedAfterLeaving count what must never happen.
	WrongService, PacketsAfterOut, OpenedAfterLeaving int
	// Hops counts packets that reached their flow, by hops between agents.
	Hops [lentilpin.MaxHops + 1]int
	// Dropped counts packets that agents dropped, by verdict.
	Dropped [lentilpin.DropNoRoom + 1]int
	// Unrouted counts packets that balancers dropped.
	Unrouted int
}

// forService returns the counts for the protocol forService a service.
func (f *FlowStats) forService(service lentilid.Service) (counts *ProtocolStats) {
	if protocolOf(service) == lentilroute.Datagram {
		return &f.Datagram
	}
	return &f.QUIC
}

// Add adds the counts of another run.
func (f *FlowStats) Add(other *FlowStats) {
	f.QUIC.add(&other.QUIC)
	f.Datagram.add(&other.Datagram)
	f.WrongService += other.WrongService
	f.PacketsAfterOut += other.PacketsAfterOut
	f.OpenedAfterLeaving += other.OpenedAfterLeaving
	f.Unrouted += other.Unrouted
	for i, count := range other.Hops {
		f.Hops[i] += count
	}
	for i, count := range other.Dropped {
		f.Dropped[i] += count
	}
}

// add adds the counts of another run.
func (c *ProtocolStats) add(other *ProtocolStats) {
	c.Flows += other.Flows
	c.Opened += other.Opened
	c.Broken += other.Broken
	c.Exempt += other.Exempt
	c.Packets += other.Packets
	c.Forwarded += other.Forwarded
}

// ForwardedShare returns the packets that agents handed on for each packet that
// came from a balancer.
func (c *ProtocolStats) ForwardedShare() (share float64) {
	if c.Packets <= c.Forwarded {
		return 0
	}
	return float64(c.Forwarded) / float64(c.Packets-c.Forwarded)
}
