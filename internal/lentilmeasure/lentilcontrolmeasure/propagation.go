package lentilcontrolmeasure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolwire"
	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilmember"
)

const (
	// agentsPerNode is about that of the design size: 26,000 agents on 3,400 nodes.
	agentsPerNode = 8
	// propagationDomains is the number of failure domains of the nodes.
	propagationDomains = 4
	// settleDuration is how long the nodes run before the measurement.
	settleDuration = 15 * time.Second
	// measureDuration is the length of the measurement.
	measureDuration = 20 * time.Second
	// changeInterval is the time between two changes.
	changeInterval = time.Second
	// targetBytesPerSecond is the upper bound of a node's control traffic at the sizes of
	// existing deployments.
	targetBytesPerSecond = 4 << 10
)

// propagationStats holds the cost and speed of a propagator.
type propagationStats struct {
	// bytesPerNodeSecond is the payload per second and node.
	bytesPerNodeSecond float64
	// meanSeconds and worstSeconds are times until every node has a change.
	meanSeconds, worstSeconds float64
	// missed counts the changes that did not reach every node within measureDuration.
	missed int
}

// propagator propagates records among nodes.
type propagator interface {
	// changeRecord creates a new version of an agent's record at its lease holders.
	changeRecord(agent int)
	// advance advances the clock.
	advance(d time.Duration)
	// knownEverywhere reports whether all nodes have the latest version of an agent's record.
	knownEverywhere(agent int) bool
	// sentBytes returns the bytes of payload sent so far.
	sentBytes() int
}

// measurePropagation compares the propagators at growing numbers of nodes.
func measurePropagation(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	sizes := []int{4, 8, 16, 32, 64}
	if setup.Short {
		sizes = sizes[:2]
	}
	for _, nodes := range sizes {
		if ctx.Err() != nil {
			return figures, ctx.Err()
		}
		setup.Progressf("control: propagation of records among %d nodes", nodes)
		pullOnly := observePropagation(newExchangePropagator(setup.Seed, nodes, 0), nodes)
		direct := observePropagation(newExchangePropagator(setup.Seed, nodes, lentilcontrol.DefaultMaxDirectEntries), nodes)
		fullPush := observePropagation(newFullStatePropagator(setup.Seed, nodes, nodes), nodes)
		gossip := observePropagation(newFullStatePropagator(setup.Seed, nodes, 1), nodes)
		figures = append(figures, propagationFigures(nodes, pullOnly, direct, fullPush, gossip)...)
	}
	return figures, nil
}

func propagationFigures(nodes int, pullOnly, direct, fullPush, gossip propagationStats) []lentilfigure.Figure {
	name := func(quantity string) string { return fmt.Sprintf("control.spread.%s.%d", quantity, nodes) }
	return []lentilfigure.Figure{
		lentilfigure.New(name("bytes"), direct.bytesPerNodeSecond, "bytes/s a node").AtMost(targetBytesPerSecond).WithBaseline("full-state push", fullPush.bytesPerNodeSecond),
		lentilfigure.New(name("bytesOverGossip"), direct.bytesPerNodeSecond, "bytes/s a node").WithBaseline("plain gossip", gossip.bytesPerNodeSecond),
		lentilfigure.New(name("bytesOverNotices"), direct.bytesPerNodeSecond, "bytes/s a node").WithBaseline("notices and pulls only", pullOnly.bytesPerNodeSecond),
		lentilfigure.New(name("seconds"), direct.meanSeconds, "s").AtMost(2).WithBaseline("full-state push", fullPush.meanSeconds),
		lentilfigure.New(name("secondsOverGossip"), direct.meanSeconds, "s").WithBaseline("plain gossip", gossip.meanSeconds),
		lentilfigure.New(name("secondsOverNotices"), direct.meanSeconds, "s").WithBaseline("notices and pulls only", pullOnly.meanSeconds),
		lentilfigure.New(name("worst"), direct.worstSeconds, "s").AtMost(2).WithBaseline("plain gossip", gossip.worstSeconds),
		lentilfigure.New(name("missed"), float64(direct.missed), "changes").AtMost(0).WithBaseline("plain gossip", float64(gossip.missed)),
	}
}

// observePropagation measures a propagator with one change each second.
func observePropagation(p propagator, nodes int) (stats propagationStats) {
	p.advance(settleDuration)
	before := p.sentBytes()
	changes := int(measureDuration / changeInterval)
	const step = 25 * time.Millisecond
	for i := range changes {
		agent := i * 7 % (nodes * agentsPerNode)
		p.changeRecord(agent)
		took := time.Duration(0)
		for elapsed := time.Duration(0); elapsed < changeInterval || (took == 0 && elapsed < measureDuration); elapsed += step {
			p.advance(step)
			if took == 0 && p.knownEverywhere(agent) {
				took = elapsed + step
			}
		}
		if took == 0 {
			stats.missed++
		}
		stats.meanSeconds += took.Seconds() / float64(changes)
		stats.worstSeconds = max(stats.worstSeconds, took.Seconds())
	}
	stats.bytesPerNodeSecond = float64(p.sentBytes()-before) / measureDuration.Seconds() / float64(nodes)
	return stats
}

// exchangePropagator propagates records with the product's control nodes.
type exchangePropagator struct {
	clock     lentilclock.Fake
	network   lentilcontrolwire.Network
	nodes     []*lentilcontrol.Node
	versions  []uint64
	heartbeat uint64
	sent      int
	renewedAt time.Time
}

func newExchangePropagator(seed uint64, nodes, maxDirectEntries int) *exchangePropagator {
	e := &exchangePropagator{versions: make([]uint64, nodes*agentsPerNode)}
	random := rand.New(rand.NewPCG(seed, uint64(nodes)))
	e.network.Clock = &e.clock
	e.network.Random = random
	e.network.OnSend = func(_, _ netip.AddrPort, bytes int) { e.sent += bytes }
	for i := range nodes {
		node := &lentilcontrol.Node{
			Clock:            &e.clock,
			Random:           random,
			MaxDirectEntries: maxDirectEntries,
			Self: lentilmember.Doc{
				RunID:   lentilid.Incarnation(random.Uint64() | 1),
				Control: nodeAddress(i),
				Domain:  fmt.Sprintf("domain-%d", i%propagationDomains),
			},
			Seeds: []netip.AddrPort{nodeAddress(0), nodeAddress(1)},
		}
		node.Start()
		e.nodes = append(e.nodes, node)
		e.network.AddNode(node)
	}
	for agent := range e.versions {
		e.versions[agent] = 1
	}
	return e
}

func nodeAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 15, byte(i >> 8), byte(i)}), 9001)
}

func (e *exchangePropagator) changeRecord(agent int) {
	e.versions[agent]++
	e.renewLeases(agent)
}

// renewLeases sends an agent's heartbeat to its two lease holders. The bytes of heartbeats are
// not counted, because they do not depend on the propagation of records.
func (e *exchangePropagator) renewLeases(agent int) {
	e.heartbeat++
	for _, holder := range []int{agent % len(e.nodes), (agent + 1) % len(e.nodes)} {
		_, _ = e.nodes[holder].HandleAnnounce(&lentilcontrolpb.AnnounceRequest{Record: recordMessage(agent, e.versions[agent]), Beat: e.heartbeat})
	}
}

func recordMessage(agent int, version uint64) *lentilcontrolpb.Record {
	return &lentilcontrolpb.Record{
		Copy:        fmt.Sprintf("service-%d-%d", agent/4, agent%4),
		Incarnation: agentIncarnation(agent),
		Version:     version,
		Service:     uint32(1 + agent/4),
		Domain:      uint32(1 + agent%propagationDomains),
		Tunnel:      &lentilcontrolpb.Endpoint{Address: 0x7f0f0001 + uint32(agent), Port: 9002},
		Control:     &lentilcontrolpb.Endpoint{Address: 0x7f0f0001 + uint32(agent), Port: 9001},
		Phase:       2,
		Weight:      200 + uint32(version%64),
	}
}

// agentIncarnation returns the incarnation of an agent, a pseudorandom number seeded with the
// agent's number.
func agentIncarnation(agent int) uint64 {
	return rand.New(rand.NewPCG(uint64(agent), 1)).Uint64() | 1
}

func (e *exchangePropagator) advance(d time.Duration) {
	const step = 25 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		if e.renewedAt.IsZero() || e.clock.Now().Sub(e.renewedAt) >= time.Second {
			e.renewedAt = e.clock.Now()
			for agent := range e.versions {
				e.renewLeases(agent)
			}
		}
		e.network.Advance(min(step, d))
	}
}

func (e *exchangePropagator) knownEverywhere(agent int) bool {
	for _, n := range e.nodes {
		if n.RecordVersion(lentilid.Incarnation(agentIncarnation(agent))) < e.versions[agent] {
			return false
		}
	}
	return true
}

func (e *exchangePropagator) sentBytes() int { return e.sent }
