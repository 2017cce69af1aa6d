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

// The design size of a fleet.
const (
	designNodes    = 3400
	designAgents   = 26_000
	designServices = 7000
	designDomains  = 15
	designRegions  = 4
	// targetMegabytes is the upper bound of a node's memory for the control plane.
	targetMegabytes = 128
)

// scaleHarness holds one node with the records of a fleet of a given size.
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

// costs holds the cost of one node at some size of the fleet. The fields tick to delta are the
// processor times of one operation in microseconds: a tick, an exchange without entries, an
// exchange with a changed record, a heartbeat, an exchange with the hashes of the record buckets,
// and a change of the configuration. The join fields are the cost of bringing a new node up to date.
type costs struct {
	megabytes                                        float64
	tick, exchange, change, announce, compare, delta float64
	joinBytes, joinSeconds                           float64
}

// measureScale measures the memory of one node and the processor time of its operations, at
// growing sizes of the fleet.
func measureScale(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	divisors := []int{8, 4, 2, 1}
	if setup.Short {
		divisors = divisors[:2]
	}
	axes := map[string][]point{}
	for _, divisor := range divisors {
		if ctx.Err() != nil {
			return figures, ctx.Err()
		}
		nodes := designNodes / divisor
		setup.Progressf("control: one node with records of %d nodes and %d agents", nodes, designAgents/divisor)
		c, err := measureCosts(divisor)
		if err != nil {
			return figures, err
		}
		figures = append(figures, c.figures(nodes, axes)...)
	}
	for _, quantity := range []string{"megabytes", "tick", "exchange", "change", "announce", "compare", "delta", "joinBytes"} {
		l := fitLine(axes[quantity])
		figures = append(figures,
			lentilfigure.New("control.scale."+quantity+".slope", l.slope*1000, "per 1,000 nodes with their agents"),
			lentilfigure.New("control.scale."+quantity+".base", l.intercept, "at 0 nodes"),
			lentilfigure.New("control.scale."+quantity+".explained", l.rSquared, "share of variance"))
	}
	return figures, nil
}

func (c costs) figures(nodes int, axes map[string][]point) (figures []lentilfigure.Figure) {
	add := func(quantity string, value float64, unit string) {
		axes[quantity] = append(axes[quantity], point{x: float64(nodes), y: value})
		f := lentilfigure.New(fmt.Sprintf("control.scale.%s.%d", quantity, nodes), value, unit)
		if quantity == "megabytes" {
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

func measureCosts(divisor int) (c costs, err error) {
	before := heapBytes()
	h := newScaleHarness(divisor)
	if err = h.populate(); err != nil {
		return costs{}, err
	}
	c.megabytes = float64(heapBytes()-before) / (1 << 20)
	c.tick = h.measureStep(func() { h.clock.Advance(200 * time.Millisecond); h.node.Tick() })
	c.exchange = h.measureStep(func() { h.node.HandleExchange(h.exchangeRequest()) })
	c.change = h.measureStep(func() {
		request := h.exchangeRequest()
		h.recordVersion++
		request.Records = []*lentilcontrolpb.Record{recordMessage(int(h.recordVersion)%h.agents, h.recordVersion)}
		h.node.HandleExchange(request)
		h.node.TakeLiveChanges()
	})
	c.announce = h.measureStep(func() {
		h.heartbeat++
		_, _ = h.node.HandleAnnounce(&lentilcontrolpb.AnnounceRequest{Record: recordMessage(int(h.heartbeat)%8, 1), Beat: h.heartbeat, ConfigurationVersion: 1})
	})
	c.compare = h.measureStep(func() {
		request := h.exchangeRequest()
		request.RecordPart.Digest = make([]uint32, 1024)
		h.node.HandleExchange(request)
	})
	c.delta, err = h.measureConfigurationChange()
	if err != nil {
		return costs{}, err
	}
	c.joinBytes, c.joinSeconds = h.measureJoin()
	runtime.KeepAlive(h)
	return c, nil
}

func newScaleHarness(divisor int) *scaleHarness {
	h := &scaleHarness{
		clock:         &lentilclock.Fake{},
		nodes:         designNodes / divisor,
		agents:        designAgents / divisor,
		services:      designServices / divisor,
		recordVersion: 1,
	}
	h.node = h.newNode(0)
	return h
}

// newNode returns node i of the fleet. A node beyond the size of the fleet is one that joins: it has
// a seed, and a failure domain of its own.
func (h *scaleHarness) newNode(i int) *lentilcontrol.Node {
	node := &lentilcontrol.Node{Clock: h.clock, MaxDirectEntries: lentilcontrol.DefaultMaxDirectEntries, Self: h.memberDoc(i)}
	if i >= h.nodes {
		node.Seeds = []netip.AddrPort{nodeAddress(0)}
		node.Self.Domain = "domain-of-its-own"
	}
	node.Start()
	return node
}

func (h *scaleHarness) memberDoc(i int) lentilmember.Doc {
	return lentilmember.Doc{
		RunID:   lentilid.Incarnation(i + 1),
		Control: nodeAddress(i),
		Domain:  fmt.Sprintf("domain-%d", i%designDomains),
	}
}

// populate sends the node the members and records of the whole fleet, as from one peer. The
// node must end up with every record live.
func (h *scaleHarness) populate() (err error) {
	if err = h.node.Offer(h.document(1)); err != nil {
		return err
	}
	h.peerID = uint64(designDomains + 1)
	for i := 1; i < h.nodes; i++ {
		h.node.HandleExchange(&lentilcontrolpb.ExchangeRequest{Sender: h.peerID, Members: []*lentilcontrolpb.Member{h.memberMessage(i)}})
	}
	for agent := range h.agents {
		h.node.HandleExchange(&lentilcontrolpb.ExchangeRequest{Sender: h.peerID, Records: []*lentilcontrolpb.Record{recordMessage(agent, 1)}})
	}
	for range 100 {
		h.clock.Advance(50 * time.Millisecond)
		h.node.Tick()
	}
	if live := len(h.node.LiveRecords()); live != h.agents {
		return fmt.Errorf("node has %d live records, want %d", live, h.agents)
	}
	h.node.TakeLiveChanges()
	return nil
}

// memberMessage returns the member entry of node i, which holds the leases of its share of the
// agents. Only the nodes of domain-0, which include the sending peer, report contact with the other
// domains.
func (h *scaleHarness) memberMessage(i int) *lentilcontrolpb.Member {
	doc := h.memberDoc(i)
	member := &lentilcontrolpb.Member{
		Run: uint64(doc.RunID), Version: 1, Domain: doc.Domain, Region: fmt.Sprintf("region-%d", i%designDomains%designRegions),
		Control: &lentilcontrolpb.Endpoint{Address: 0x7f0f0000 + uint32(i), Port: 9001},
	}
	if i%designDomains == 0 {
		for other := 1; other < designDomains; other++ {
			member.Reaches = append(member.Reaches, fmt.Sprintf("domain-%d", other))
		}
	}
	holders := h.nodes - 1
	for agent := i - 1; agent < h.agents; agent += holders {
		member.Held = append(member.Held, agentIncarnation(agent))
	}
	for agent := i % holders; agent < h.agents; agent += holders {
		member.Held = append(member.Held, agentIncarnation(agent))
	}
	return member
}

// document returns a configuration with the domains, services and copies of the fleet. The
// version determines which copies drain.
func (h *scaleHarness) document(version uint64) lentilconfig.Document {
	document := lentilconfig.Document{Version: version, NoteID: fmt.Sprintf("note-%d", version)}
	for i := range designDomains {
		document.Domains = append(document.Domains, lentilconfig.DomainDoc{
			Name: fmt.Sprintf("domain-%d", i), Number: lentilid.Domain(i + 1), Region: fmt.Sprintf("region-%d", i%designRegions),
		})
	}
	for i := range h.services {
		document.Services = append(document.Services, lentilconfig.ServiceDoc{
			Name: fmt.Sprintf("service-%d", i), Number: lentilid.Service(i + 1), Slots: 2, Connections: 2000,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 15, byte(i >> 8), byte(i)}), uint16(1000+i)),
		})
	}
	for i := range h.agents {
		document.Copies = append(document.Copies, lentilconfig.CopyDoc{
			Name: fmt.Sprintf("service-%d-%d", i%h.services, i/h.services), Service: fmt.Sprintf("service-%d", i%h.services),
			Domain: fmt.Sprintf("domain-%d", i%designDomains), Draining: i < int(version)%h.agents,
		})
	}
	return document
}

// exchangeRequest returns an exchange from a peer that has the same configuration as the node.
func (h *scaleHarness) exchangeRequest() *lentilcontrolpb.ExchangeRequest {
	return &lentilcontrolpb.ExchangeRequest{
		Sender: h.peerID, SenderRank: 4, ConfigurationVersion: h.node.Configuration().Version(),
		MemberPart: &lentilcontrolpb.Part{Root: 1}, RecordPart: &lentilcontrolpb.Part{Root: 1},
	}
}

// measureConfigurationChange returns the mean processor time to put a change of the configuration
// into force.
func (h *scaleHarness) measureConfigurationChange() (microseconds float64, err error) {
	version := h.node.Configuration().Version()
	documents := make([]lentilconfig.Document, 0, 4)
	for i := range 4 {
		documents = append(documents, h.document(version+1+uint64(i)))
	}
	start := processorTime()
	for _, document := range documents {
		if err = h.node.Offer(document); err != nil {
			return 0, err
		}
	}
	return float64((processorTime() - start).Microseconds()) / float64(len(documents)), nil
}

// measureJoin adds a new node, and returns the bytes and seconds until it has the configuration
// and all records of the populated node.
func (h *scaleHarness) measureJoin() (bytes, seconds float64) {
	network := &lentilcontrolwire.Network{Clock: h.clock, OnSend: func(_, _ netip.AddrPort, sent int) { bytes += float64(sent) }}
	joiner := h.newNode(h.nodes)
	network.AddNode(h.node)
	network.AddNode(joiner)
	took, _ := network.AdvanceUntil(time.Minute, func() bool {
		return joiner.Configuration().Version() == h.node.Configuration().Version() && h.hasAllRecords(joiner)
	})
	return bytes, took.Seconds()
}

func (h *scaleHarness) hasAllRecords(node *lentilcontrol.Node) bool {
	for agent := range h.agents {
		if node.RecordVersion(lentilid.Incarnation(agentIncarnation(agent))) == 0 {
			return false
		}
	}
	return true
}

// measureStep returns the mean processor time of a step, in microseconds, over repeated steps.
func (h *scaleHarness) measureStep(step func()) float64 {
	const minDuration = 200 * time.Millisecond
	steps := 0
	start := processorTime()
	for processorTime()-start < minDuration {
		for range 10 {
			step()
		}
		steps += 10
	}
	return float64((processorTime() - start).Nanoseconds()) / 1000 / float64(steps)
}

// processorTime returns the processor time that this process has used, garbage collection
// included.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the heap in use after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
