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
	// agentsPerNode is about that of the fleet to design for: 26,000 over 3,400.
	agentsPerNode = 8
	// propagationDomains is how many failure domains the nodes are spread over.
	propagationDomains = 4
	// settleDuration is how long nodes run before they are measured.
	settleDuration = 15 * time.Second
	// measureDuration is how long they are measured, with a change each second.
	measureDuration = 20 * time.Second
	// changeInterval is the time between two changes.
	changeInterval = time.Second
	// targetBytesPerSecond bounds what control may cost a node at the sizes of today, in bytes a second.
	targetBytesPerSecond = 4 << 10
)

// propagationStats is what a way of spreading records cost and how fast it was.
type propagationStats struct {
	// bytesPerNodeSecond is payload a second and node.
	bytesPerNodeSecond float64
	// meanSeconds and worstSeconds are seconds until a change is known at every node.
	meanSeconds, worstSeconds float64
	// missed counts the changes that were not known everywhere in the end.
	missed int
}

// propagator is a way of spreading records among nodes.
type propagator interface {
	// changeRecord makes a new version of an agent's record at its lease holders.
	changeRecord(agent int)
	// advance lets time pass.
	advance(d time.Duration)
	// knownEverywhere reports whether all nodes know the latest version of an agent's record.
	knownEverywhere(agent int) bool
	// sentBytes returns the payload sent so far.
	sentBytes() int
}

// measurePropagation compares the ways at growing numbers of nodes.
func measurePropagation(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	sizes := []int{4, 8, 16, 32, 64}
	if setup.Short {
		sizes = sizes[:2]
	}
	for _, nodes := range sizes {
		if ctx.Err() != nil {
			return figures, ctx.Err()
		}
		setup.Progressf("control: %d nodes on the wire", nodes)
		pulled := observePropagation(newExchangePropagator(setup.Seed, nodes, 0), nodes)
		direct := observePropagation(newExchangePropagator(setup.Seed, nodes, lentilcontrol.DefaultMaxDirectEntries), nodes)
		pushed := observePropagation(newFullStatePropagator(setup.Seed, nodes, nodes), nodes)
		gossip := observePropagation(newFullStatePropagator(setup.Seed, nodes, 1), nodes)
		figures = append(figures, propagationFigures(nodes, pulled, direct, pushed, gossip)...)
	}
	return figures, nil
}

func propagationFigures(nodes int, pulled, direct, pushed, gossip propagationStats) []lentilfigure.Figure {
	name := func(what string) string { return fmt.Sprintf("control.spread.%s.%d", what, nodes) }
	return []lentilfigure.Figure{
		lentilfigure.New(name("bytes"), direct.bytesPerNodeSecond, "bytes/s a node").AtMost(targetBytesPerSecond).WithBaseline("full-state push", pushed.bytesPerNodeSecond),
		lentilfigure.New(name("bytesOverGossip"), direct.bytesPerNodeSecond, "bytes/s a node").WithBaseline("plain gossip", gossip.bytesPerNodeSecond),
		lentilfigure.New(name("bytesOverNotices"), direct.bytesPerNodeSecond, "bytes/s a node").WithBaseline("notices and pulls only", pulled.bytesPerNodeSecond),
		lentilfigure.New(name("seconds"), direct.meanSeconds, "s").AtMost(2).WithBaseline("full-state push", pushed.meanSeconds),
		lentilfigure.New(name("secondsOverGossip"), direct.meanSeconds, "s").WithBaseline("plain gossip", gossip.meanSeconds),
		lentilfigure.New(name("secondsOverNotices"), direct.meanSeconds, "s").WithBaseline("notices and pulls only", pulled.meanSeconds),
		lentilfigure.New(name("worst"), direct.worstSeconds, "s").AtMost(2).WithBaseline("plain gossip", gossip.worstSeconds),
		lentilfigure.New(name("missed"), float64(direct.missed), "changes").AtMost(0).WithBaseline("plain gossip", float64(gossip.missed)),
	}
}

// observePropagation runs a way with one change each second.
func observePropagation(s propagator, nodes int) (o propagationStats) {
	s.advance(settleDuration)
	before := s.sentBytes()
	changes := int(measureDuration / changeInterval)
	const step = 25 * time.Millisecond
	for i := range changes {
		agent := i * 7 % (nodes * agentsPerNode)
		s.changeRecord(agent)
		took := time.Duration(0)
		for passed := time.Duration(0); passed < changeInterval || (took == 0 && passed < measureDuration); passed += step {
			s.advance(step)
			if took == 0 && s.knownEverywhere(agent) {
				took = passed + step
			}
		}
		if took == 0 {
			o.missed++
		}
		o.meanSeconds += took.Seconds() / float64(changes)
		o.worstSeconds = max(o.worstSeconds, took.Seconds())
	}
	o.bytesPerNodeSecond = float64(s.sentBytes()-before) / measureDuration.Seconds() / float64(nodes)
	return o
}

// exchangePropagator spreads by the product's nodes.
type exchangePropagator struct {
	clock     lentilclock.Fake
	network   lentilcontrolwire.Network
	nodes     []*lentilcontrol.Node
	versions  []uint64
	heartbeat uint64
	sent      int
	renewedAt time.Time
}

func newExchangePropagator(seed uint64, nodes, direct int) *exchangePropagator {
	e := &exchangePropagator{versions: make([]uint64, nodes*agentsPerNode)}
	random := rand.New(rand.NewPCG(seed, uint64(nodes)))
	e.network.Clock = &e.clock
	e.network.Random = random
	e.network.OnSend = func(_, _ netip.AddrPort, bytes int) { e.sent += bytes }
	for i := range nodes {
		node := &lentilcontrol.Node{
			Clock:            &e.clock,
			Random:           random,
			MaxDirectEntries: direct,
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

// renewLeases sends an agent's heartbeat to its two lease holders. Its bytes are not counted,
// since they do not depend on how records spread.
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

// agentIncarnation gives agents incarnations that look drawn at random.
func agentIncarnation(agent int) uint64 {
	return rand.New(rand.NewPCG(uint64(agent), 1)).Uint64() | 1
}

func (e *exchangePropagator) advance(d time.Duration) {
	const slice = 25 * time.Millisecond
	for passed := time.Duration(0); passed < d; passed += slice {
		if e.renewedAt.IsZero() || e.clock.Now().Sub(e.renewedAt) >= time.Second {
			e.renewedAt = e.clock.Now()
			for agent := range e.versions {
				e.renewLeases(agent)
			}
		}
		e.network.Advance(min(slice, d))
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
