package lentilmatrix

import (
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilpin"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// ProtocolStats counts the flows and packets of one protocol.
type ProtocolStats struct {
	// Flows is how many flows clients started, Opened how often an agent opened one.
	Flows, Opened int
	// Broken counts flows that broke. Exempt counts flows that no promise covers: their agent
	// died, or their failure domain went out of service.
	Broken, Exempt int
	// Packets counts tunnel packets that agents handled, notices included. Forwarded counts
	// client packets that an agent forwarded to another one.
	Packets, Forwarded int
}

// FlowStats holds the counters of a run.
type FlowStats struct {
	// QUIC counts flows whose packets carry their place, Datagram flows that are identified by
	// their 5-tuple only.
	QUIC, Datagram ProtocolStats
	// WrongService counts packets at an agent of another service, PacketsAfterOut packets to a
	// failure domain that was out of service, and OpenedAfterLeaving flows that opened at a copy
	// that was draining or withdrawn. All must stay zero.
	WrongService, PacketsAfterOut, OpenedAfterLeaving int
	// Hops counts delivered packets by the number of hops between agents.
	Hops [lentilpin.MaxHops + 1]int
	// Dropped counts packets that agents dropped, by verdict.
	Dropped [lentilpin.DropNoRoom + 1]int
	// Unrouted counts packets that balancers dropped.
	Unrouted int
}

// forService returns the counters for the protocol of a service.
func (f *FlowStats) forService(service lentilid.Service) (counts *ProtocolStats) {
	if protocolOf(service) == lentilroute.Datagram {
		return &f.Datagram
	}
	return &f.QUIC
}

// Add adds the counters of another run.
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

// add adds the counters of another run.
func (c *ProtocolStats) add(other *ProtocolStats) {
	c.Flows += other.Flows
	c.Opened += other.Opened
	c.Broken += other.Broken
	c.Exempt += other.Exempt
	c.Packets += other.Packets
	c.Forwarded += other.Forwarded
}

// ForwardedShare returns how many packets agents forwarded for each other packet that they
// handled. The other packets are those from balancers, and notices between agents.
func (c *ProtocolStats) ForwardedShare() (share float64) {
	if c.Packets <= c.Forwarded {
		return 0
	}
	return float64(c.Forwarded) / float64(c.Packets-c.Forwarded)
}
