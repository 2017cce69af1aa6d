// Package lentilroutemeasure times the choices that balancers and agents make for
// each packet.
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

// Experiment is the entry in the table of experiments.
var Experiment = lentilfigure.Experiment{
	Name: "route",
	Text: "time and allocations of each choice for a packet, by Go's benchmark",
	Run:  run,
}

const (
	// boundNanoseconds and boundAllocations are the targets for choosing where a packet goes.
	boundNanoseconds = 200
	boundAllocations = 0
	// copies is how many copies each service has, service and datagrams their numbers.
	copies                     = 7
	service   lentilid.Service = 1
	datagrams lentilid.Service = 2
)

// choice is one thing that is timed.
type choice struct {
	name string
	do   func()
}

func run(ctx context.Context, _ lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	choices, err := choices()
	if err != nil {
		return nil, err
	}
	for _, c := range choices {
		if err = ctx.Err(); err != nil {
			return figures, err
		}
		result := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.do()
			}
		})
		nanoseconds := float64(result.T.Nanoseconds()) / float64(result.N)
		figures = append(figures,
			lentilfigure.New("route."+c.name, nanoseconds, "ns").AtMost(boundNanoseconds),
			lentilfigure.New("route."+c.name+".allocations", float64(result.AllocsPerOp()), "allocations").AtMost(boundAllocations))
	}
	return figures, nil
}

// choices returns what is timed.
func choices() (list []choice, err error) {
	sealer, err := lentilid.NewSealer([]lentilid.Key{{ID: 1, Secret: bytes.Repeat([]byte{1}, 16)}})
	if err != nil {
		return nil, err
	}
	home := place(1)
	router := newRouter(sealer)
	keeper := &lentilpin.Table{Self: home}
	client := netip.MustParseAddrPort("198.51.100.7:4433")
	id := sealer.AppendID(nil, home, 1)
	established := append([]byte{0x40}, id...)
	forged := bytes.Clone(established)
	forged[len(forged)-1]++
	initial := append([]byte{0xc0, 0, 0, 0, 1, 18}, bytes.Repeat([]byte{3}, 19)...)
	arrival := &lentilpin.Packet{Service: service, Flow: lentilroute.Classify(sealer, lentilroute.QUIC, established, client)}
	first := &lentilpin.Packet{Service: service, Flow: lentilroute.Classify(sealer, lentilroute.QUIC, initial, client)}
	return []choice{
		{"balancer.established", func() { router.Route(service, established, client) }},
		{"balancer.new", func() { router.Route(service, initial, client) }},
		{"balancer.forged", func() { router.Route(service, forged, client) }},
		{"balancer.datagram", func() { router.Route(datagrams, nil, client) }},
		{"open", func() { sealer.Open(id) }},
		{"agent.established", func() { keeper.Decide(arrival) }},
		{"agent.pinned", func() { keeper.Decide(first) }},
	}, nil
}

// newRouter returns a router with a QUIC service and one of opaque datagrams.
func newRouter(sealer *lentilid.Sealer) (router *lentilroute.Router) {
	var members []lentilroute.Member
	for i := range byte(copies) {
		members = append(members, lentilroute.Member{Place: place(i + 1), Weight: 200})
	}
	builder := lentilroute.NewBuilder(nil)
	builder.SetSealer(sealer)
	builder.SetService(service, lentilroute.ServiceRouting{Table: lentilroute.NewTable(members)})
	builder.SetService(datagrams, lentilroute.ServiceRouting{Protocol: lentilroute.Datagram, Table: lentilroute.NewTable(members)})
	return builder.Build()
}

// place returns the place of a numbered agent.
func place(number byte) (p lentilid.Place) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 7000)
	return lentilid.NewPlace(address, 1, service, lentilid.Incarnation(number))
}
