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
	// spreadDomains is how many failure domains the nodes are spread over.
	spreadDomains = 4
	// settleTime is how long nodes run before they are measured.
	settleTime = 15 * time.Second
	// measureTime is how long they are measured, with a change each second.
	measureTime = 20 * time.Second
	// changePeriod is the time between two changes.
	changePeriod = time.Second
	// targetBytes bounds what control may cost a node at the sizes of today, in bytes a second.
	targetBytes = 4 << 10
)

// outcome is what a way of spreading records cost and how fast it was.
type outcome struct {
	// bytes is payload a second and node.
	bytes float64
	// mean and worst are seconds until a change is known at every node.
	mean, worst float64
	// missed counts the changes that were not known everywhere in the end.
	missed int
}

// spreader is a way of spreading records among nodes.
type spreader interface {
	// change makes a new version of an agent's record at its lease holders.
	change(agent int)
	// run lets time pass.
	run(d time.Duration)
	// known reports whether all nodes know the latest version of an agent's record.
	known(agent int) bool
	// bytes returns the payload sent so far.
	bytes() int
}

// measureSpread compares the ways at growing numbers of nodes.
func measureSpread(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	sizes := []int{4, 8, 16, 32, 64}
	if setup.Short {
		sizes = sizes[:2]
	}
	for _, nodes := range sizes {
		if ctx.Err() != nil {
			return figures, ctx.Err()
		}
		setup.Note("control: %d nodes on the wire", nodes)
		pulled := observe(newExchanger(setup.Seed, nodes, 0), nodes)
		direct := observe(newExchanger(setup.Seed, nodes, lentilcontrol.DefaultMaxDirectEntries), nodes)
		pushed := observe(newBaseline(setup.Seed, nodes, nodes), nodes)
		gossip := observe(newBaseline(setup.Seed, nodes, 1), nodes)
		figures = append(figures, spreadFigures(nodes, pulled, direct, pushed, gossip)...)
	}
	return figures, nil
}

func spreadFigures(nodes int, pulled, direct, pushed, gossip outcome) []lentilfigure.Figure {
	name := func(what string) string { return fmt.Sprintf("control.spread.%s.%d", what, nodes) }
	return []lentilfigure.Figure{
		lentilfigure.New(name("bytes"), direct.bytes, "bytes/s a node").AtMost(targetBytes).Against("full-state push", pushed.bytes),
		lentilfigure.New(name("bytesOverGossip"), direct.bytes, "bytes/s a node").Against("plain gossip", gossip.bytes),
		lentilfigure.New(name("bytesOverNotices"), direct.bytes, "bytes/s a node").Against("notices and pulls only", pulled.bytes),
		lentilfigure.New(name("seconds"), direct.mean, "s").AtMost(2).Against("full-state push", pushed.mean),
		lentilfigure.New(name("secondsOverGossip"), direct.mean, "s").Against("plain gossip", gossip.mean),
		lentilfigure.New(name("secondsOverNotices"), direct.mean, "s").Against("notices and pulls only", pulled.mean),
		lentilfigure.New(name("worst"), direct.worst, "s").AtMost(2).Against("plain gossip", gossip.worst),
		lentilfigure.New(name("missed"), float64(direct.missed), "changes").AtMost(0).Against("plain gossip", float64(gossip.missed)),
	}
}

// observe runs a way with one change each second.
func observe(s spreader, nodes int) (o outcome) {
	s.run(settleTime)
	before := s.bytes()
	changes := int(measureTime / changePeriod)
	const step = 25 * time.Millisecond
	for i := range changes {
		agent := i * 7 % (nodes * agentsPerNode)
		s.change(agent)
		took := time.Duration(0)
		for passed := time.Duration(0); passed < changePeriod || (took == 0 && passed < measureTime); passed += step {
			s.run(step)
			if took == 0 && s.known(agent) {
				took = passed + step
			}
		}
		if took == 0 {
			o.missed++
		}
		o.mean += took.Seconds() / float64(changes)
		o.worst = max(o.worst, took.Seconds())
	}
	o.bytes = float64(s.bytes()-before) / measureTime.Seconds() / float64(nodes)
	return o
}

// exchanger spreads by the product's nodes.
type exchanger struct {
	clock    lentilclock.Fake
	wire     lentilcontrolwire.Network
	nodes    []*lentilcontrol.Node
	versions []uint64
	beat     uint64
	sent     int
	renewed  time.Time
}

func newExchanger(seed uint64, nodes, direct int) *exchanger {
	e := &exchanger{versions: make([]uint64, nodes*agentsPerNode)}
	random := rand.New(rand.NewPCG(seed, uint64(nodes)))
	e.wire.Clock = &e.clock
	e.wire.Random = random
	e.wire.OnSend = func(_, _ netip.AddrPort, bytes int) { e.sent += bytes }
	for i := range nodes {
		node := &lentilcontrol.Node{
			Clock:            &e.clock,
			Random:           random,
			MaxDirectEntries: direct,
			Self: lentilmember.Doc{
				RunID:   lentilid.Incarnation(random.Uint64() | 1),
				Control: nodeAddress(i),
				Domain:  fmt.Sprintf("domain-%d", i%spreadDomains),
			},
			Seeds: []netip.AddrPort{nodeAddress(0), nodeAddress(1)},
		}
		node.Start()
		e.nodes = append(e.nodes, node)
		e.wire.AddNode(node)
	}
	for agent := range e.versions {
		e.versions[agent] = 1
	}
	return e
}

func nodeAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 15, byte(i >> 8), byte(i)}), 9001)
}

func (e *exchanger) change(agent int) {
	e.versions[agent]++
	e.renew(agent)
}

// renew sends an agent's heartbeat to its two lease holders. Its bytes are not counted,
// since they do not depend on how records spread.
func (e *exchanger) renew(agent int) {
	e.beat++
	for _, holder := range []int{agent % len(e.nodes), (agent + 1) % len(e.nodes)} {
		_, _ = e.nodes[holder].HandleAnnounce(&lentilcontrolpb.AnnounceRequest{Record: record(agent, e.versions[agent]), Beat: e.beat})
	}
}

func record(agent int, version uint64) *lentilcontrolpb.Record {
	return &lentilcontrolpb.Record{
		Copy:        fmt.Sprintf("service-%d-%d", agent/4, agent%4),
		Incarnation: lentilcontrolHash(agent),
		Version:     version,
		Service:     uint32(1 + agent/4),
		Domain:      uint32(1 + agent%spreadDomains),
		Tunnel:      &lentilcontrolpb.Endpoint{Address: 0x7f0f0001 + uint32(agent), Port: 9002},
		Control:     &lentilcontrolpb.Endpoint{Address: 0x7f0f0001 + uint32(agent), Port: 9001},
		Phase:       2,
		Weight:      200 + uint32(version%64),
	}
}

// lentilcontrolHash gives agents incarnations that look drawn at random.
func lentilcontrolHash(agent int) uint64 {
	return rand.New(rand.NewPCG(uint64(agent), 1)).Uint64() | 1
}

func (e *exchanger) run(d time.Duration) {
	const slice = 25 * time.Millisecond
	for passed := time.Duration(0); passed < d; passed += slice {
		if e.renewed.IsZero() || e.clock.Now().Sub(e.renewed) >= time.Second {
			e.renewed = e.clock.Now()
			for agent := range e.versions {
				e.renew(agent)
			}
		}
		e.wire.Advance(min(slice, d))
	}
}

func (e *exchanger) known(agent int) bool {
	for _, n := range e.nodes {
		if n.RecordVersion(lentilid.Incarnation(lentilcontrolHash(agent))) < e.versions[agent] {
			return false
		}
	}
	return true
}

func (e *exchanger) bytes() int { return e.sent }
