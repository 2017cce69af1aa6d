// Package lentilroutemeasure measures the time and allocations of the routing decisions that
// balancers and agents make for each packet.
package lentilroutemeasure

import (
	"bytes"
	"context"
	"net/netip"
	"testing"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilpin"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// Experiment is the entry in the list of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "route",
	Description: "time and allocations of each routing decision for a packet, by Go's benchmark",
	Run:         run,
}

const (
	// maxNanoseconds and maxAllocations are the upper bounds for one routing decision.
	maxNanoseconds = 200
	maxAllocations = 0
	// copies is the number of copies of each service. quicService and datagramService are the
	// numbers of the services.
	copies                           = 7
	quicService     lentilid.Service = 1
	datagramService lentilid.Service = 2
)

// decision is a routing decision to measure, or the opening of a connection ID as a part of one.
type decision struct {
	name string
	run  func()
}

func run(ctx context.Context, _ lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	list, err := decisions()
	if err != nil {
		return nil, err
	}
	for _, d := range list {
		if err = ctx.Err(); err != nil {
			return figures, err
		}
		result := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d.run()
			}
		})
		nanoseconds := float64(result.T.Nanoseconds()) / float64(result.N)
		figures = append(figures,
			lentilfigure.New("route."+d.name, nanoseconds, "ns").AtMost(maxNanoseconds),
			lentilfigure.New("route."+d.name+".allocations", float64(result.AllocsPerOp()), "allocations").AtMost(maxAllocations))
	}
	return figures, nil
}

// decisions returns the routing decisions to measure.
func decisions() (list []decision, err error) {
	sealer, err := lentilid.NewSealer([]lentilid.Key{{ID: 1, Secret: bytes.Repeat([]byte{1}, 16)}})
	if err != nil {
		return nil, err
	}
	ownPlace := agentPlace(1)
	router := newRouter(sealer)
	flowTable := &lentilpin.Table{Self: ownPlace}
	client := netip.MustParseAddrPort("198.51.100.7:4433")
	id := sealer.AppendID(nil, ownPlace, 1)
	established := append([]byte{0x40}, id...)
	forged := bytes.Clone(established)
	forged[len(forged)-1]++
	initial := append([]byte{0xc0, 0, 0, 0, 1, 18}, bytes.Repeat([]byte{3}, 19)...)
	establishedPacket := &lentilpin.Packet{Service: quicService, Flow: lentilroute.Classify(sealer, lentilroute.QUIC, established, client)}
	initialPacket := &lentilpin.Packet{Service: quicService, Flow: lentilroute.Classify(sealer, lentilroute.QUIC, initial, client)}
	return []decision{
		{"balancer.established", func() { router.Route(quicService, established, client) }},
		{"balancer.new", func() { router.Route(quicService, initial, client) }},
		{"balancer.forged", func() { router.Route(quicService, forged, client) }},
		{"balancer.datagram", func() { router.Route(datagramService, nil, client) }},
		{"open", func() { sealer.Open(id) }},
		{"agent.established", func() { flowTable.Decide(establishedPacket) }},
		{"agent.pinned", func() { flowTable.Decide(initialPacket) }},
	}, nil
}

// newRouter returns a router with a QUIC service and an opaque datagram service.
func newRouter(sealer *lentilid.Sealer) (router *lentilroute.Router) {
	var members []lentilroute.Member
	for i := range byte(copies) {
		members = append(members, lentilroute.Member{Place: agentPlace(i + 1), Weight: 200})
	}
	builder := lentilroute.NewBuilder(nil)
	builder.SetSealer(sealer)
	builder.SetService(quicService, lentilroute.ServiceRouting{Table: lentilroute.NewTable(members)})
	builder.SetService(datagramService, lentilroute.ServiceRouting{Protocol: lentilroute.Datagram, Table: lentilroute.NewTable(members)})
	return builder.Build()
}

// agentPlace returns the place of an agent by its number.
func agentPlace(number byte) (p lentilid.Place) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 7000)
	return lentilid.NewPlace(address, 1, quicService, lentilid.Incarnation(number))
}
