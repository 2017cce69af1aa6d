package lentilcontrol_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolwire"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilmember"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// clusterSize says how large a fleet is. Domains are spread over regions in turn.
type clusterSize struct {
	regions, domains, balancers, agents int
}

// cluster is a few nodes and agents on a fake wire.
type cluster struct {
	t                *testing.T
	size             clusterSize
	random           *rand.Rand
	clock            lentilclock.Fake
	network          lentilcontrolwire.Network
	nodes            []*lentilcontrol.Node
	clocks           []*processClock
	agents           []*lentilcontrol.Announcer
	docs             []lentilrecord.Doc
	starts           int
	version          uint64
	bytes            int
	calls            map[netip.AddrPort]int
	crossRegionBytes int
	linkDown         func(from, to netip.AddrPort) bool
	faultyDelivery   func() lentilcontrolwire.Delivery
}

// processClock is the clock of one process, which may stop and jump.
type processClock struct {
	base     lentilclock.Clock
	frozen   bool
	frozenAt time.Time
	offset   time.Duration
}

// Now returns the process's time.
func (c *processClock) Now() time.Time {
	if c.frozen {
		return c.frozenAt
	}
	return c.base.Now().Add(c.offset)
}

// freeze stops the clock; thaw lets it go on from where it stood.
func (c *processClock) freeze() { c.frozenAt, c.frozen = c.Now(), true }

func (c *processClock) thaw() {
	c.frozen = false
	c.offset += c.frozenAt.Sub(c.Now())
}

func newCluster(t *testing.T, seed uint64, size clusterSize) *cluster {
	f := &cluster{t: t, size: size, random: rand.New(rand.NewPCG(seed, 0)), calls: map[netip.AddrPort]int{}}
	f.network.Clock = &f.clock
	f.network.Random = f.random
	f.network.Deliver = f.deliver
	f.network.OnSend = func(from, to netip.AddrPort, bytes int) {
		f.bytes += bytes
		f.calls[to]++
		if f.regionAt(from) != f.regionAt(to) {
			f.crossRegionBytes += bytes
		}
	}
	for i := range size.balancers {
		f.startNode(i)
	}
	for i := range size.agents {
		f.startAgent(i)
	}
	return f
}

func (f *cluster) deliver(from, to netip.AddrPort, message []byte) lentilcontrolwire.Delivery {
	if f.linkDown != nil && f.linkDown(from, to) {
		return lentilcontrolwire.Delivery{}
	}
	passage := lentilcontrolwire.Delivery{Delays: []time.Duration{lentilcontrolwire.DefaultDelay}}
	if f.faultyDelivery != nil {
		passage = f.faultyDelivery()
	}
	passage.Message = message
	return passage
}

// nodeAddress and agentAddress carry the number in the port.
func nodeAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.15.2.1"), uint16(1000+i))
}

func agentAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.15.3.1"), uint16(1000+i))
}

func (f *cluster) domainName(i int) string { return fmt.Sprintf("domain-%d", i%f.size.domains) }

func (f *cluster) regionAt(address netip.AddrPort) int {
	return int(address.Port()-1000) % f.size.domains % f.size.regions
}

func (f *cluster) domainAt(address netip.AddrPort) int {
	return int(address.Port()-1000) % f.size.domains
}

// startNode starts the process of balancer i, anew if there was one.
func (f *cluster) startNode(i int) {
	f.starts++
	clock := &processClock{base: &f.clock}
	node := &lentilcontrol.Node{
		Clock:  clock,
		Random: f.random,
		Self: lentilmember.Doc{
			RunID:   lentilid.Incarnation(f.random.Uint64() | 1),
			Control: nodeAddress(i),
			Domain:  f.domainName(i),
		},
		Seeds: []netip.AddrPort{nodeAddress(0), nodeAddress(1), nodeAddress(2)},
	}
	node.Start()
	if i < len(f.nodes) {
		f.nodes[i], f.clocks[i] = node, clock
	} else {
		f.nodes, f.clocks = append(f.nodes, node), append(f.clocks, clock)
	}
	f.network.AddNode(node)
}

// startAgent starts the process of agent i, anew if there was one.
func (f *cluster) startAgent(i int) {
	f.starts++
	doc := lentilrecord.Doc{
		Owner:   lentilrecord.Owner{Copy: fmt.Sprintf("copy-%d", i), Incarnation: lentilid.Incarnation(f.starts)},
		Service: lentilid.Service(1 + i/4),
		Domain:  lentilid.Domain(1 + i%f.size.domains),
		Tunnel:  agentAddress(i),
		Control: agentAddress(i),
		Phase:   lentilrecord.Ready,
		Weight:  200,
	}
	announcer := &lentilcontrol.Announcer{Clock: &f.clock, Random: f.random}
	for j := range min(f.size.balancers, 2*f.size.domains) {
		if j%f.size.domains%f.size.regions == f.regionAt(agentAddress(i)) {
			announcer.Seeds = append(announcer.Seeds, nodeAddress(j))
		}
	}
	announcer.SetRecord(doc)
	if i < len(f.agents) {
		f.agents[i], f.docs[i] = announcer, doc
	} else {
		f.agents, f.docs = append(f.agents, announcer), append(f.docs, doc)
	}
	f.network.AddAgent(agentAddress(i), announcer)
}

// document returns the fleet's configuration.
func (f *cluster) document(version uint64) lentilconfig.Document {
	document := lentilconfig.Document{Version: version, NoteID: fmt.Sprintf("note-%d", version)}
	for i := range f.size.domains {
		document.Domains = append(document.Domains, lentilconfig.DomainDoc{
			Name: f.domainName(i), Number: lentilid.Domain(1 + i), Region: fmt.Sprintf("region-%d", i%f.size.regions),
		})
	}
	for i := 0; i < f.size.agents; i += 4 {
		document.Services = append(document.Services, lentilconfig.ServiceDoc{
			Name: fmt.Sprintf("service-%d", i/4), Number: lentilid.Service(1 + i/4),
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.15.0.1"), uint16(4000+i/4)), Slots: 2, Connections: 2000,
		})
	}
	for i := range f.size.agents {
		document.Copies = append(document.Copies, lentilconfig.CopyDoc{
			Name: fmt.Sprintf("copy-%d", i), Service: fmt.Sprintf("service-%d", i/4), Domain: f.domainName(i),
			Draining: version%2 == 0,
		})
	}
	return document
}

// offerNextVersion lets one node learn a new version from the platform.
func (f *cluster) offerNextVersion(i int) {
	f.t.Helper()
	f.version++
	if err := f.nodes[i].Offer(f.document(f.version)); err != nil {
		f.t.Fatal(err)
	}
}

// settle starts the fleet with version 1 and waits until all agree.
func (f *cluster) settle() {
	f.t.Helper()
	f.offerNextVersion(0)
	f.expectWithin(15*time.Second, "the fleet agrees after its start", func() bool {
		return f.converged(f.size.agents) && f.allDomainsReached()
	})
	// Agents then move to the holders that the whole membership names.
	f.network.Advance(5 * time.Second)
}

// allDomainsReached reports whether all nodes are in contact with all failure domains.
func (f *cluster) allDomainsReached() bool {
	for _, n := range f.nodes {
		if len(n.ReachedDomains()) != f.size.domains {
			return false
		}
	}
	return true
}

// converged reports whether all nodes are ready at the latest version, with as many
// live records, all of them the same.
func (f *cluster) converged(records int) bool {
	for _, n := range f.nodes {
		if n.Configuration().Version() != f.version || !n.Ready() || len(n.LiveRecords()) != records {
			return false
		}
	}
	for _, a := range f.agents {
		if a.Version() != f.version {
			return false
		}
	}
	return true
}

// holdsLive reports whether a node holds the record of a run of an agent as live.
func holdsLive(n *lentilcontrol.Node, owner lentilid.Incarnation) bool {
	for _, r := range n.LiveRecords() {
		if r.Owner().Incarnation == owner {
			return true
		}
	}
	return false
}

func (f *cluster) expectWithin(limit time.Duration, what string, met func() bool) time.Duration {
	f.t.Helper()
	passed, ok := f.network.AdvanceUntil(limit, met)
	if !ok {
		f.t.Fatalf("not within %v: %s%s", limit, what, f)
	}
	return passed
}

// expectAlways runs the fleet for d and checks a condition all the time.
func (f *cluster) expectAlways(d time.Duration, what string, holds func() bool) {
	f.t.Helper()
	if passed, broken := f.network.AdvanceUntil(d, func() bool { return !holds() }); broken {
		f.t.Fatalf("after %v: %s%s", passed, what, f)
	}
}
