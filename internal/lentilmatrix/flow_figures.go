package lentilmatrix

import (
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilpin"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// FlowCounts is what a run counts of the flows of one protocol.
type FlowCounts struct {
	// Flows is how many flows callers began, Opened how often an agent opened one.
	Flows, Opened int
	// Broken counts flows that broke, GivenUp those that no promise covers: their agent
	// died or their failure domain went out.
	Broken, GivenUp int
	// Packets is how many tunnel packets reached agents, Forwarded those that an
	// agent handed on.
	Packets, Forwarded int
}

// FlowFigures is what a run counts.
type FlowFigures struct {
	// QUIC is about flows whose packets carry their place, Datagram about flows known
	// by their 5-tuple only.
	QUIC, Datagram FlowCounts
	// WrongService, AfterOut and AfterLeaving count what must never happen.
	WrongService, AfterOut, AfterLeaving int
	// Hops counts packets that reached their flow, by hops between agents.
	Hops [lentilpin.MaxHops + 1]int
	// Dropped counts packets that agents dropped, by verdict.
	Dropped [lentilpin.DropNoRoom + 1]int
	// Unrouted counts packets that balancers dropped.
	Unrouted int
}

// of returns the counts for the protocol of a service.
func (f *FlowFigures) of(service lentilid.Service) (counts *FlowCounts) {
	if protocolOf(service) == lentilroute.Datagram {
		return &f.Datagram
	}
	return &f.QUIC
}

// Add adds the counts of another run.
func (f *FlowFigures) Add(other *FlowFigures) {
	f.QUIC.add(&other.QUIC)
	f.Datagram.add(&other.Datagram)
	f.WrongService += other.WrongService
	f.AfterOut += other.AfterOut
	f.AfterLeaving += other.AfterLeaving
	f.Unrouted += other.Unrouted
	for i, count := range other.Hops {
		f.Hops[i] += count
	}
	for i, count := range other.Dropped {
		f.Dropped[i] += count
	}
}

// add adds the counts of another run.
func (c *FlowCounts) add(other *FlowCounts) {
	c.Flows += other.Flows
	c.Opened += other.Opened
	c.Broken += other.Broken
	c.GivenUp += other.GivenUp
	c.Packets += other.Packets
	c.Forwarded += other.Forwarded
}

// ForwardedShare returns the packets that agents handed on for each packet that
// came from a balancer.
func (c *FlowCounts) ForwardedShare() (share float64) {
	if c.Packets <= c.Forwarded {
		return 0
	}
	return float64(c.Forwarded) / float64(c.Packets-c.Forwarded)
}
