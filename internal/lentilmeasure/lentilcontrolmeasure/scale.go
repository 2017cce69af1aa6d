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
	designNodes    = 3400
	designAgents   = 26_000
	designServices = 7000
	designDomains  = 15
	designRegions  = 4
	// targetMegabytes is the memory that control may take of a node.
	targetMegabytes = 128
)

// scaleHarness is one node that knows a fleet of some size.
type scaleHarness struct {
	clock         *lentilclock.Fake
	node          *lentilcontrol.Node
	nodes         int
	agents        int
	services      int
	heartbeat     uint64
	recordVersion uint64
	peerID        uint64
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
		nodes := designNodes / part
		setup.Progressf("control: one node that knows %d nodes and %d agents", nodes, designAgents/part)
		c, err := measureCosts(part)
		if err != nil {
			return figures, err
		}
		figures = append(figures, c.figures(nodes, axes)...)
	}
	for _, what := range []string{"megabytes", "tick", "exchange", "change", "announce", "compare", "delta", "joinBytes"} {
		l := fitLine(axes[what])
		figures = append(figures,
			lentilfigure.New("control.scale."+what+".slope", l.slope*1000, "per 1,000 nodes with their agents"),
			lentilfigure.New("control.scale."+what+".base", l.intercept, "at 0 nodes"),
			lentilfigure.New("control.scale."+what+".explained", l.rSquared, "share of variance"))
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

func measureCosts(part int) (c costs, err error) {
	before := heapBytes()
	v := newScaleHarness(part)
	if err = v.populate(); err != nil {
		return costs{}, err
	}
	c.megabytes = float64(heapBytes()-before) / (1 << 20)
	c.tick = v.measureStep(func() { v.clock.Advance(200 * time.Millisecond); v.node.Tick() })
	c.exchange = v.measureStep(func() { v.node.HandleExchange(v.exchangeRequest()) })
	c.change = v.measureStep(func() {
		request := v.exchangeRequest()
		v.recordVersion++
		request.Records = []*lentilcontrolpb.Record{recordMessage(int(v.recordVersion)%v.agents, v.recordVersion)}
		v.node.HandleExchange(request)
		v.node.TakeLiveChanges()
	})
	c.announce = v.measureStep(func() {
		v.heartbeat++
		_, _ = v.node.HandleAnnounce(&lentilcontrolpb.AnnounceRequest{Record: recordMessage(int(v.heartbeat)%8, 1), Beat: v.heartbeat, ConfigurationVersion: 1})
	})
	c.compare = v.measureStep(func() {
		request := v.exchangeRequest()
		request.RecordPart.Digest = make([]uint32, 1024)
		v.node.HandleExchange(request)
	})
	c.delta, err = v.measureConfigurationChange()
	if err != nil {
		return costs{}, err
	}
	c.joinBytes, c.joinSeconds = v.measureJoin()
	runtime.KeepAlive(v)
	return c, nil
}

func newScaleHarness(part int) *scaleHarness {
	v := &scaleHarness{
		clock:         &lentilclock.Fake{},
		nodes:         designNodes / part,
		agents:        designAgents / part,
		services:      designServices / part,
		recordVersion: 1,
	}
	v.node = v.newNode(0)
	return v
}

func (v *scaleHarness) newNode(i int) *lentilcontrol.Node {
	node := &lentilcontrol.Node{Clock: v.clock, MaxDirectEntries: lentilcontrol.DefaultMaxDirectEntries, Self: v.memberDoc(i)}
	if i >= v.nodes {
		node.Seeds = []netip.AddrPort{nodeAddress(0)}
		node.Self.Domain = "domain-of-its-own"
	}
	node.Start()
	return node
}

func (v *scaleHarness) memberDoc(i int) lentilmember.Doc {
	return lentilmember.Doc{
		RunID:   lentilid.Incarnation(i + 1),
		Control: nodeAddress(i),
		Domain:  fmt.Sprintf("domain-%d", i%designDomains),
	}
}

// populate lets a peer tell the node of the whole fleet.
func (v *scaleHarness) populate() (err error) {
	if err = v.node.Offer(v.document(1)); err != nil {
		return err
	}
	v.peerID = uint64(designDomains + 1)
	for i := 1; i < v.nodes; i++ {
		v.node.HandleExchange(&lentilcontrolpb.ExchangeRequest{Sender: v.peerID, Members: []*lentilcontrolpb.Member{v.memberMessage(i)}})
	}
	for agent := range v.agents {
		v.node.HandleExchange(&lentilcontrolpb.ExchangeRequest{Sender: v.peerID, Records: []*lentilcontrolpb.Record{recordMessage(agent, 1)}})
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

// memberMessage returns the entry of node i, which holds the leases of its share of the agents.
func (v *scaleHarness) memberMessage(i int) *lentilcontrolpb.Member {
	doc := v.memberDoc(i)
	member := &lentilcontrolpb.Member{
		Run: uint64(doc.RunID), Version: 1, Domain: doc.Domain, Region: fmt.Sprintf("region-%d", i%designDomains%designRegions),
		Control: &lentilcontrolpb.Endpoint{Address: 0x7f0f0000 + uint32(i), Port: 9001},
	}
	if i%designDomains == 0 {
		for other := 1; other < designDomains; other++ {
			member.Reaches = append(member.Reaches, fmt.Sprintf("domain-%d", other))
		}
	}
	holders := v.nodes - 1
	for agent := i - 1; agent < v.agents; agent += holders {
		member.Held = append(member.Held, agentIncarnation(agent))
	}
	for agent := i % holders; agent < v.agents; agent += holders {
		member.Held = append(member.Held, agentIncarnation(agent))
	}
	return member
}

// document returns a configuration of the fleet's size.
func (v *scaleHarness) document(version uint64) lentilconfig.Document {
	document := lentilconfig.Document{Version: version, NoteID: fmt.Sprintf("note-%d", version)}
	for i := range designDomains {
		document.Domains = append(document.Domains, lentilconfig.DomainDoc{
			Name: fmt.Sprintf("domain-%d", i), Number: lentilid.Domain(i + 1), Region: fmt.Sprintf("region-%d", i%designRegions),
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
			Domain: fmt.Sprintf("domain-%d", i%designDomains), Draining: i < int(version)%v.agents,
		})
	}
	return document
}

// exchangeRequest returns an exchange of a peer that holds the same as the node.
func (v *scaleHarness) exchangeRequest() *lentilcontrolpb.ExchangeRequest {
	return &lentilcontrolpb.ExchangeRequest{
		Sender: v.peerID, SenderRank: 4, ConfigurationVersion: v.node.Configuration().Version(),
		MemberPart: &lentilcontrolpb.Part{Root: 1}, RecordPart: &lentilcontrolpb.Part{Root: 1},
	}
}

// measureConfigurationChange returns what it takes to put one change of configuration into force.
func (v *scaleHarness) measureConfigurationChange() (microseconds float64, err error) {
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

// measureJoin lets a new node learn everything from the full one over the wire.
func (v *scaleHarness) measureJoin() (bytes, seconds float64) {
	wire := &lentilcontrolwire.Network{Clock: v.clock, OnSend: func(_, _ netip.AddrPort, sent int) { bytes += float64(sent) }}
	newcomer := v.newNode(v.nodes)
	wire.AddNode(v.node)
	wire.AddNode(newcomer)
	took, _ := wire.AdvanceUntil(time.Minute, func() bool {
		return newcomer.Configuration().Version() == v.node.Configuration().Version() && v.hasAllRecords(newcomer)
	})
	return bytes, took.Seconds()
}

func (v *scaleHarness) hasAllRecords(node *lentilcontrol.Node) bool {
	for agent := range v.agents {
		if node.RecordVersion(lentilid.Incarnation(agentIncarnation(agent))) == 0 {
			return false
		}
	}
	return true
}

// measureStep returns the processor measureStep that one step takes, in microseconds.
func (v *scaleHarness) measureStep(step func()) float64 {
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

// heapBytes returns the bytes in use after a collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
