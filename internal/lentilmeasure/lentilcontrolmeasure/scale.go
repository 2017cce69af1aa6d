package lentilcontrolmeasure

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"syscall"
	"time"

	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolwire"
	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilmember"
)

// The fleet to design for.
const (
	fleetNodes    = 3400
	fleetAgents   = 26_000
	fleetServices = 7000
	fleetDomains  = 15
	fleetRegions  = 4
	// targetMegabytes is the memory that control may take of a node.
	targetMegabytes = 128
)

// fleetView is one node that knows a fleet of some size.
type fleetView struct {
	clock    *lentilclock.Fake
	node     *lentilcontrol.Node
	nodes    int
	agents   int
	services int
	beat     uint64
	version  uint64
	peer     uint64
}

// costs are what a node's work takes at some size of the fleet.
type costs struct {
	megabytes                                        float64
	tick, exchange, change, announce, compare, delta float64
	joinBytes, joinSeconds                           float64
}

// measureScale fills one node with fleets of growing size and times its work.
func measureScale(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	parts := []int{8, 4, 2, 1}
	if setup.Short {
		parts = parts[:2]
	}
	axes := map[string][]point{}
	for _, part := range parts {
		if ctx.Err() != nil {
			return figures, ctx.Err()
		}
		nodes := fleetNodes / part
		setup.Note("control: one node that knows %d nodes and %d agents", nodes, fleetAgents/part)
		c, err := costsAt(part)
		if err != nil {
			return figures, err
		}
		figures = append(figures, c.figures(nodes, axes)...)
	}
	for _, what := range []string{"megabytes", "tick", "exchange", "change", "announce", "compare", "delta", "joinBytes"} {
		l := fit(axes[what])
		figures = append(figures,
			lentilfigure.New("control.scale."+what+".slope", l.slope*1000, "per 1,000 nodes with their agents"),
			lentilfigure.New("control.scale."+what+".base", l.base, "at 0 nodes"),
			lentilfigure.New("control.scale."+what+".explained", l.explained, "share of variance"))
	}
	return figures, nil
}

func (c costs) figures(nodes int, axes map[string][]point) (figures []lentilfigure.Figure) {
	add := func(what string, value float64, unit string) {
		axes[what] = append(axes[what], point{x: float64(nodes), y: value})
		f := lentilfigure.New(fmt.Sprintf("control.scale.%s.%d", what, nodes), value, unit)
		if what == "megabytes" {
			f = f.AtMost(targetMegabytes)
		}
		figures = append(figures, f)
	}
	add("megabytes", c.megabytes, "MB")
	add("tick", c.tick, "us")
	add("exchange", c.exchange, "us")
	add("change", c.change, "us")
	add("announce", c.announce, "us")
	add("compare", c.compare, "us")
	add("delta", c.delta, "us")
	add("joinBytes", c.joinBytes, "bytes")
	add("joinSeconds", c.joinSeconds, "s")
	return figures
}

func costsAt(part int) (c costs, err error) {
	before := heap()
	v := newFleetView(part)
	if err = v.fill(); err != nil {
		return costs{}, err
	}
	c.megabytes = float64(heap()-before) / (1 << 20)
	c.tick = v.time(func() { v.clock.Advance(200 * time.Millisecond); v.node.Tick() })
	c.exchange = v.time(func() { v.node.HandleExchange(v.request()) })
	c.change = v.time(func() {
		request := v.request()
		v.version++
		request.Records = []*lentilcontrolpb.Record{record(int(v.version)%v.agents, v.version)}
		v.node.HandleExchange(request)
		v.node.TakeLiveChanges()
	})
	c.announce = v.time(func() {
		v.beat++
		_, _ = v.node.HandleAnnounce(&lentilcontrolpb.AnnounceRequest{Record: record(int(v.beat)%8, 1), Beat: v.beat, ConfigurationVersion: 1})
	})
	c.compare = v.time(func() {
		request := v.request()
		request.RecordPart.Digest = make([]uint32, 1024)
		v.node.HandleExchange(request)
	})
	c.delta, err = v.deltaTime()
	if err != nil {
		return costs{}, err
	}
	c.joinBytes, c.joinSeconds = v.join()
	runtime.KeepAlive(v)
	return c, nil
}

func newFleetView(part int) *fleetView {
	v := &fleetView{
		clock:    &lentilclock.Fake{},
		nodes:    fleetNodes / part,
		agents:   fleetAgents / part,
		services: fleetServices / part,
		version:  1,
	}
	v.node = v.newNode(0)
	return v
}

func (v *fleetView) newNode(i int) *lentilcontrol.Node {
	node := &lentilcontrol.Node{Clock: v.clock, MaxDirectEntries: lentilcontrol.DefaultMaxDirectEntries, Self: v.self(i)}
	if i >= v.nodes {
		node.Seeds = []netip.AddrPort{nodeAddress(0)}
		node.Self.Domain = "domain-of-its-own"
	}
	node.Start()
	return node
}

func (v *fleetView) self(i int) lentilmember.Doc {
	return lentilmember.Doc{
		RunID:   lentilid.Incarnation(i + 1),
		Control: nodeAddress(i),
		Domain:  fmt.Sprintf("domain-%d", i%fleetDomains),
	}
}

// fill lets a peer tell the node of the whole fleet.
func (v *fleetView) fill() (err error) {
	if err = v.node.Offer(v.document(1)); err != nil {
		return err
	}
	v.peer = uint64(fleetDomains + 1)
	for i := 1; i < v.nodes; i++ {
		v.node.HandleExchange(&lentilcontrolpb.ExchangeRequest{Sender: v.peer, Members: []*lentilcontrolpb.Member{v.member(i)}})
	}
	for agent := range v.agents {
		v.node.HandleExchange(&lentilcontrolpb.ExchangeRequest{Sender: v.peer, Records: []*lentilcontrolpb.Record{record(agent, 1)}})
	}
	for range 100 {
		v.clock.Advance(50 * time.Millisecond)
		v.node.Tick()
	}
	if live := len(v.node.LiveRecords()); live != v.agents {
		return fmt.Errorf("the node has %d live records of %d", live, v.agents)
	}
	v.node.TakeLiveChanges()
	return nil
}

// member returns the entry of node i, which holds the leases of its share of the agents.
func (v *fleetView) member(i int) *lentilcontrolpb.Member {
	doc := v.self(i)
	member := &lentilcontrolpb.Member{
		Run: uint64(doc.RunID), Version: 1, Domain: doc.Domain, Region: fmt.Sprintf("region-%d", i%fleetDomains%fleetRegions),
		Control: &lentilcontrolpb.Endpoint{Address: 0x7f0f0000 + uint32(i), Port: 9001},
	}
	if i%fleetDomains == 0 {
		for other := 1; other < fleetDomains; other++ {
			member.Reaches = append(member.Reaches, fmt.Sprintf("domain-%d", other))
		}
	}
	holders := v.nodes - 1
	for agent := i - 1; agent < v.agents; agent += holders {
		member.Held = append(member.Held, lentilcontrolHash(agent))
	}
	for agent := i % holders; agent < v.agents; agent += holders {
		member.Held = append(member.Held, lentilcontrolHash(agent))
	}
	return member
}

// document returns a configuration of the fleet's size.
func (v *fleetView) document(version uint64) lentilconfig.Document {
	document := lentilconfig.Document{Version: version, NoteID: fmt.Sprintf("note-%d", version)}
	for i := range fleetDomains {
		document.Domains = append(document.Domains, lentilconfig.DomainDoc{
			Name: fmt.Sprintf("domain-%d", i), Number: lentilid.Domain(i + 1), Region: fmt.Sprintf("region-%d", i%fleetRegions),
		})
	}
	for i := range v.services {
		document.Services = append(document.Services, lentilconfig.ServiceDoc{
			Name: fmt.Sprintf("service-%d", i), Number: lentilid.Service(i + 1), Slots: 2, Connections: 2000,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 15, byte(i >> 8), byte(i)}), uint16(1000+i)),
		})
	}
	for i := range v.agents {
		document.Copies = append(document.Copies, lentilconfig.CopyDoc{
			Name: fmt.Sprintf("service-%d-%d", i%v.services, i/v.services), Service: fmt.Sprintf("service-%d", i%v.services),
			Domain: fmt.Sprintf("domain-%d", i%fleetDomains), Draining: i < int(version)%v.agents,
		})
	}
	return document
}

// request returns an exchange of a peer that holds the same as the node.
func (v *fleetView) request() *lentilcontrolpb.ExchangeRequest {
	return &lentilcontrolpb.ExchangeRequest{
		Sender: v.peer, SenderRank: 4, ConfigurationVersion: v.node.Configuration().Version(),
		MemberPart: &lentilcontrolpb.Part{Root: 1}, RecordPart: &lentilcontrolpb.Part{Root: 1},
	}
}

// deltaTime returns what it takes to put one change of configuration into force.
func (v *fleetView) deltaTime() (microseconds float64, err error) {
	version := v.node.Configuration().Version()
	documents := make([]lentilconfig.Document, 0, 4)
	for i := range 4 {
		documents = append(documents, v.document(version+1+uint64(i)))
	}
	began := processorTime()
	for _, document := range documents {
		if err = v.node.Offer(document); err != nil {
			return 0, err
		}
	}
	return float64((processorTime() - began).Microseconds()) / float64(len(documents)), nil
}

// join lets a new node learn everything from the full one over the wire.
func (v *fleetView) join() (bytes, seconds float64) {
	wire := &lentilcontrolwire.Network{Clock: v.clock, OnSend: func(_, _ netip.AddrPort, sent int) { bytes += float64(sent) }}
	newcomer := v.newNode(v.nodes)
	wire.AddNode(v.node)
	wire.AddNode(newcomer)
	took, _ := wire.AdvanceUntil(time.Minute, func() bool {
		return newcomer.Configuration().Version() == v.node.Configuration().Version() && v.knowsAll(newcomer)
	})
	return bytes, took.Seconds()
}

func (v *fleetView) knowsAll(node *lentilcontrol.Node) bool {
	for agent := range v.agents {
		if node.RecordVersion(lentilid.Incarnation(lentilcontrolHash(agent))) == 0 {
			return false
		}
	}
	return true
}

// time returns the processor time that one step takes, in microseconds.
func (v *fleetView) time(step func()) float64 {
	const least = 200 * time.Millisecond
	steps := 0
	began := processorTime()
	for processorTime()-began < least {
		for range 10 {
			step()
		}
		steps += 10
	}
	return float64((processorTime() - began).Nanoseconds()) / 1000 / float64(steps)
}

// processorTime returns what this process has used, garbage collection included.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
