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

// clusterSize is the size of a cluster. Failure domains are distributed over the regions
// round-robin.
type clusterSize struct {
	regions, domains, balancers, agents int
}

// cluster is a test harness of nodes and agents on a fake network.
type cluster struct {
	t       *testing.T
	size    clusterSize
	random  *rand.Rand
	clock   lentilclock.Fake
	network lentilcontrolwire.Network
	nodes   []*lentilcontrol.Node
	clocks  []*processClock
	agents  []*lentilcontrol.Announcer
	docs    []lentilrecord.Doc
	// starts counts the processes started. Agents use it as their incarnation.
	starts int
	// version is the latest configuration version offered to a node.
	version uint64
	// bytes counts the bytes of all messages, crossRegionBytes of those between regions, and
	// calls the messages to each address.
	bytes            int
	calls            map[netip.AddrPort]int
	crossRegionBytes int
	// linkDown reports whether messages between two addresses are lost; nil means none.
	linkDown func(from, to netip.AddrPort) bool
	// faultyDelivery returns the delays of a message on a faulty network; nil means no faults.
	faultyDelivery func() lentilcontrolwire.Delivery
}

// processClock is the clock of one process. It can stand still and jump.
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

// freeze stops the clock; thaw lets it continue from the time at which it was stopped.
func (c *processClock) freeze() { c.frozenAt, c.frozen = c.Now(), true }

func (c *processClock) thaw() {
	c.frozen = false
	c.offset += c.frozenAt.Sub(c.Now())
}

func newCluster(t *testing.T, seed uint64, size clusterSize) *cluster {
	c := &cluster{t: t, size: size, random: rand.New(rand.NewPCG(seed, 0)), calls: map[netip.AddrPort]int{}}
	c.network.Clock = &c.clock
	c.network.Random = c.random
	c.network.Deliver = c.deliver
	c.network.OnSend = func(from, to netip.AddrPort, bytes int) {
		c.bytes += bytes
		c.calls[to]++
		if c.regionAt(from) != c.regionAt(to) {
			c.crossRegionBytes += bytes
		}
	}
	for i := range size.balancers {
		c.startNode(i)
	}
	for i := range size.agents {
		c.startAgent(i)
	}
	return c
}

func (c *cluster) deliver(from, to netip.AddrPort, message []byte) lentilcontrolwire.Delivery {
	if c.linkDown != nil && c.linkDown(from, to) {
		return lentilcontrolwire.Delivery{}
	}
	delivery := lentilcontrolwire.Delivery{Delays: []time.Duration{lentilcontrolwire.DefaultDelay}}
	if c.faultyDelivery != nil {
		delivery = c.faultyDelivery()
	}
	delivery.Message = message
	return delivery
}

// nodeAddress and agentAddress encode the index in the port.
func nodeAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.15.2.1"), uint16(1000+i))
}

func agentAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.15.3.1"), uint16(1000+i))
}

func (c *cluster) domainName(i int) string { return fmt.Sprintf("domain-%d", i%c.size.domains) }

func (c *cluster) regionAt(address netip.AddrPort) int {
	return int(address.Port()-1000) % c.size.domains % c.size.regions
}

func (c *cluster) domainAt(address netip.AddrPort) int {
	return int(address.Port()-1000) % c.size.domains
}

// startNode starts the process of balancer i. A running one is replaced.
func (c *cluster) startNode(i int) {
	c.starts++
	clock := &processClock{base: &c.clock}
	node := &lentilcontrol.Node{
		Clock:  clock,
		Random: c.random,
		Self: lentilmember.Doc{
			RunID:   lentilid.Incarnation(c.random.Uint64() | 1),
			Control: nodeAddress(i),
			Domain:  c.domainName(i),
		},
		Seeds: []netip.AddrPort{nodeAddress(0), nodeAddress(1), nodeAddress(2)},
	}
	node.Start()
	if i < len(c.nodes) {
		c.nodes[i], c.clocks[i] = node, clock
	} else {
		c.nodes, c.clocks = append(c.nodes, node), append(c.clocks, clock)
	}
	c.network.AddNode(node)
}

// startAgent starts the process of agent i. A running one is replaced.
func (c *cluster) startAgent(i int) {
	c.starts++
	doc := lentilrecord.Doc{
		Owner:   lentilrecord.Owner{Copy: fmt.Sprintf("copy-%d", i), Incarnation: lentilid.Incarnation(c.starts)},
		Service: lentilid.Service(1 + i/4),
		Domain:  lentilid.Domain(1 + i%c.size.domains),
		Tunnel:  agentAddress(i),
		Control: agentAddress(i),
		Phase:   lentilrecord.Ready,
		Weight:  200,
	}
	announcer := &lentilcontrol.Announcer{Clock: &c.clock, Random: c.random}
	for j := range min(c.size.balancers, 2*c.size.domains) {
		if j%c.size.domains%c.size.regions == c.regionAt(agentAddress(i)) {
			announcer.Seeds = append(announcer.Seeds, nodeAddress(j))
		}
	}
	announcer.SetRecord(doc)
	if i < len(c.agents) {
		c.agents[i], c.docs[i] = announcer, doc
	} else {
		c.agents, c.docs = append(c.agents, announcer), append(c.docs, doc)
	}
	c.network.AddAgent(agentAddress(i), announcer)
}

// document returns a configuration for the cluster. All copies are draining in even versions.
func (c *cluster) document(version uint64) lentilconfig.Document {
	document := lentilconfig.Document{Version: version, NoteID: fmt.Sprintf("note-%d", version)}
	for i := range c.size.domains {
		document.Domains = append(document.Domains, lentilconfig.DomainDoc{
			Name: c.domainName(i), Number: lentilid.Domain(1 + i), Region: fmt.Sprintf("region-%d", i%c.size.regions),
		})
	}
	for i := 0; i < c.size.agents; i += 4 {
		document.Services = append(document.Services, lentilconfig.ServiceDoc{
			Name: fmt.Sprintf("service-%d", i/4), Number: lentilid.Service(1 + i/4),
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.15.0.1"), uint16(4000+i/4)), Slots: 2, Connections: 2000,
		})
	}
	for i := range c.size.agents {
		document.Copies = append(document.Copies, lentilconfig.CopyDoc{
			Name: fmt.Sprintf("copy-%d", i), Service: fmt.Sprintf("service-%d", i/4), Domain: c.domainName(i),
			Draining: version%2 == 0,
		})
	}
	return document
}

// offerNextVersion offers a new configuration version to node i, as if read from the platform.
func (c *cluster) offerNextVersion(i int) {
	c.t.Helper()
	c.version++
	if err := c.nodes[i].Offer(c.document(c.version)); err != nil {
		c.t.Fatal(err)
	}
}

// settle offers version 1 and waits until the cluster has converged.
func (c *cluster) settle() {
	c.t.Helper()
	c.offerNextVersion(0)
	c.expectWithin(15*time.Second, "the cluster converges after the start", func() bool {
		return c.converged(c.size.agents) && c.allDomainsReached()
	})
	// Then the agents move to the lease holders chosen with the complete membership.
	c.network.Advance(5 * time.Second)
}

// allDomainsReached reports whether all nodes reach all failure domains.
func (c *cluster) allDomainsReached() bool {
	for _, n := range c.nodes {
		if len(n.ReachedDomains()) != c.size.domains {
			return false
		}
	}
	return true
}

// converged reports whether all nodes are ready and hold the given number of live records, and
// all nodes and agents have the latest configuration version.
func (c *cluster) converged(records int) bool {
	for _, n := range c.nodes {
		if n.Configuration().Version() != c.version || !n.Ready() || len(n.LiveRecords()) != records {
			return false
		}
	}
	for _, a := range c.agents {
		if a.Version() != c.version {
			return false
		}
	}
	return true
}

// holdsLive reports whether a node holds a live record of an agent's incarnation.
func holdsLive(n *lentilcontrol.Node, owner lentilid.Incarnation) bool {
	for _, r := range n.LiveRecords() {
		if r.Owner().Incarnation == owner {
			return true
		}
	}
	return false
}

// expectWithin runs the cluster until a condition holds, and fails the test if it doesn't
// within limit. It returns the elapsed time.
func (c *cluster) expectWithin(limit time.Duration, want string, condition func() bool) time.Duration {
	c.t.Helper()
	elapsed, ok := c.network.AdvanceUntil(limit, condition)
	if !ok {
		c.t.Fatalf("not within %v: %s%s", limit, want, c)
	}
	return elapsed
}

// expectAlways runs the cluster for d and fails the test with the given failure if a condition
// doesn't hold throughout.
func (c *cluster) expectAlways(d time.Duration, failure string, condition func() bool) {
	c.t.Helper()
	if elapsed, violated := c.network.AdvanceUntil(d, func() bool { return !condition() }); violated {
		c.t.Fatalf("after %v: %s%s", elapsed, failure, c)
	}
}
