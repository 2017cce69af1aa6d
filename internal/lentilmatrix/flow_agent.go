package lentilmatrix

import (
	"net/netip"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilpin"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// flowAgent is the agent of a copy: a real lentilpin.Table and lentilview.View over a simulated
// network.
type flowAgent struct {
	node
	owner       lentilrecord.Owner
	service     lentilid.Service
	domain      lentilid.Domain
	place       lentilid.Place
	pinTable    lentilpin.Table
	version     uint64
	phase       lentilrecord.Phase
	weight      uint16
	connections map[*flow]*connection

	dead         bool
	paused       bool
	longestPause time.Duration
	// deferred holds the packets that arrived while the agent is paused.
	deferred []func()
	// leavingSince is when the copy began to drain or was withdrawn. Zero means neither.
	leavingSince time.Duration
	// nonce makes the connection IDs that the agent issues unique.
	nonce uint32
}

// connection is the state that a copy keeps for a flow.
type connection struct {
	// receivedParts has a bit set for each part of a QUIC flow's first message that has arrived.
	receivedParts uint8
}

// bothParts is the value of receivedParts when the first message is complete.
const bothParts = 0b11

// tunnelPacket is a tunnel packet to an agent: a client's packet, or a notice if hop is
// lentilpin.NoticeHop.
type tunnelPacket struct {
	service lentilid.Service
	hop     lentilpin.Hop
	from    lentilid.Place
	notice  lentilpin.Notice
	packet  *packet
}

// startAgent starts the agent of a copy.
func (s *flowSimulation) startAgent(copy string, service lentilid.Service, domain lentilid.Domain, address netip.AddrPort, weight uint16) (a *flowAgent) {
	owner := lentilrecord.Owner{Copy: copy, Incarnation: lentilid.Incarnation(s.random.Uint64() | 1)}
	a = &flowAgent{
		owner: owner, service: service, domain: domain,
		place:       lentilid.NewPlace(address, domain, service, owner.Incarnation),
		phase:       lentilrecord.Ready,
		weight:      weight,
		connections: make(map[*flow]*connection),
	}
	a.node = s.newNode()
	a.view.Self = owner
	a.onConfiguration = a.dropFlowsIfOut
	a.pinTable = lentilpin.Table{
		Self:     a.place,
		Protocol: protocolOf(service),
		Clock:    s.schedule.Clock(),
		PreferredCandidates: func(hash uint64, dst []lentilid.Place) []lentilid.Place {
			return a.view.Router().PreferredCandidates(service, hash, s.schedule.Now(), dst)
		},
		FallbackCandidates: func() []lentilid.Place { return a.view.Router().FallbackCandidates(service, s.schedule.Now()) },
		HandOffPeer:        func(int) (lentilid.Place, bool) { return s.chooseHandOffPeer(a) },
		RefusesNewFlows:    a.leaving,
		Out:                func(domain lentilid.Domain) bool { return a.view.Router().Out(domain) },
		Gone:               func(place lentilid.Place) bool { return a.view.Router().Gone(place) },
	}
	s.agents = append(s.agents, a)
	s.agentsByAddress[address] = a
	s.bootstrap(&a.node, service)
	s.announcePeriodically(a)
	s.tracef("agent %s starts at %v, service %d, domain %d", copy, address, service, domain)
	return a
}

// dropFlowsIfOut drops all flows if the agent's failure domain is out of service.
func (a *flowAgent) dropFlowsIfOut() {
	if a.view.Router().Out(a.domain) {
		clear(a.connections)
		a.pinTable.Clear()
	}
}

// leaving reports whether the agent knows that its copy is draining or withdrawn.
func (a *flowAgent) leaving() bool {
	listed := a.configuration.Copy(a.owner.Copy)
	return listed == nil || listed.Draining() || a.phase == lentilrecord.Draining
}

// announcePeriodically announces the agent's record once per renewInterval until the agent is dead.
func (s *flowSimulation) announcePeriodically(a *flowAgent) {
	if a.dead {
		return
	}
	if !a.paused {
		s.announce(a)
	}
	s.after(renewInterval, func() { s.announcePeriodically(a) })
}

// announce sends a new version of the agent's record to every running node, each after a random
// delay.
func (s *flowSimulation) announce(a *flowAgent) {
	a.version++
	record := lentilrecord.New(lentilrecord.Doc{
		Owner: a.owner, Version: a.version, Service: a.service, Domain: a.domain,
		Tunnel: a.place.Agent(), Phase: a.phase, Weight: a.weight,
	})
	s.records[a.owner] = record
	s.eachNode(func(n *node) { s.after(s.randomDuration(0, s.maxControlDelay), func() { n.applyRecord(s, record) }) })
}

// receive handles a tunnel packet that arrived at an agent. While the agent is paused, it defers
// the packet.
func (s *flowSimulation) receive(a *flowAgent, t *tunnelPacket) {
	if a.dead {
		return
	}
	s.checkDomainOut(a)
	if a.paused {
		a.deferred = append(a.deferred, func() { s.handleTunnelPacket(a, t) })
		return
	}
	s.handleTunnelPacket(a, t)
}

// handleTunnelPacket applies a notice to the agent's pin table, and decides on any other packet.
func (s *flowSimulation) handleTunnelPacket(a *flowAgent, t *tunnelPacket) {
	if a.dead || a.view.Router().Out(a.domain) {
		return
	}
	s.stats.forService(t.service).Packets++
	if s.baseline {
		s.deliver(a, t.packet)
		return
	}
	if t.hop == lentilpin.NoticeHop {
		a.pinTable.HandleNotice(t.notice)
		return
	}
	s.applyDecision(a, t)
}

// applyDecision carries out the pin table's decision on a packet: deliver, forward or drop it.
func (s *flowSimulation) applyDecision(a *flowAgent, t *tunnelPacket) {
	action := a.pinTable.Decide(&lentilpin.Packet{
		Service: t.service,
		Hop:     t.hop,
		From:    t.from,
		Flow:    lentilroute.Classify(a.view.Router().Sealer(), a.pinTable.Protocol, t.packet.bytes, t.packet.flow.client),
	})
	s.tracef("%s: flow %d from %s, %v/%d: %v %v %v", a.owner.Copy, t.packet.flow.number,
		s.copyAt(t.from.Agent()), t.hop.Purpose(), t.hop.Count(), action.Verdict, action.Hop.Purpose(), s.copyAt(action.Place.Agent()))
	if !action.NoticeTo.IsZero() {
		s.sendTunnelPacket(action.NoticeTo, &tunnelPacket{service: a.service, hop: lentilpin.NoticeHop, notice: action.Notice, packet: t.packet})
	}
	switch action.Verdict {
	case lentilpin.Local:
		s.stats.Hops[t.hop.Count()]++
		s.deliver(a, t.packet)
	case lentilpin.Forward:
		s.stats.forService(t.service).Forwarded++
		s.sendTunnelPacket(action.Place, &tunnelPacket{service: a.service, hop: action.Hop, from: action.From, packet: t.packet})
	default:
		s.stats.Dropped[action.Verdict]++
	}
}

// sendTunnelPacket sends a tunnel packet to the address of a place. It reaches the agent that has
// this address on arrival, which may be another one.
func (s *flowSimulation) sendTunnelPacket(place lentilid.Place, t *tunnelPacket) {
	s.send(func() {
		if a := s.agentsByAddress[place.Agent()]; a != nil {
			s.receive(a, t)
		}
	})
}

// chooseHandOffPeer picks a random peer for handOffShare of the new QUIC flows.
func (s *flowSimulation) chooseHandOffPeer(a *flowAgent) (peer lentilid.Place, ok bool) {
	if s.random.Float64() >= handOffShare {
		return lentilid.Place{}, false
	}
	table := a.view.Router().Table(a.service)
	if table == nil {
		return lentilid.Place{}, false
	}
	return table.Pick(s.random.Uint64())
}

// killAgent ends the process of an agent at once.
func (s *flowSimulation) killAgent(a *flowAgent) {
	if a.dead {
		return
	}
	a.dead = true
	if s.agentsByAddress[a.place.Agent()] == a {
		delete(s.agentsByAddress, a.place.Agent())
	}
	s.tracef("agent %s ends", a.owner.Copy)
}

// pauseAgent suspends an agent for a time. Packets that arrive meanwhile are handled when it
// resumes.
func (s *flowSimulation) pauseAgent(a *flowAgent, d time.Duration) {
	a.paused = true
	a.longestPause = max(a.longestPause, d)
	s.tracef("agent %s is paused for %v", a.owner.Copy, d)
	s.after(d, func() {
		a.paused = false
		s.announce(a)
		deferred := a.deferred
		a.deferred = nil
		for _, handle := range deferred {
			handle()
		}
	})
}
