package lentilmatrix

import (
	"net/netip"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilpin"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// flowAgent is the process beside a copy: a real Keeper and View over the fake wire.
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
	deferred     []func()
	leavingSince time.Duration
	nonce        uint32
}

// connection is what the agent holds of a flow.
type connection struct {
	// receivedParts are the pieces of a QUIC flow's first message that have come, by bit.
	receivedParts uint8
}

// bothParts is set in a connection whose first message is whole.
const bothParts = 0b11

// tunnelPacket is a tunnel packet to an agent.
type tunnelPacket struct {
	service lentilid.Service
	hop     lentilpin.Hop
	from    lentilid.Place
	notice  lentilpin.Notice
	packet  *packet
}

// startAgent starts the process of a copy.
func (w *flowSimulation) startAgent(copy string, service lentilid.Service, domain lentilid.Domain, address netip.AddrPort, weight uint16) (a *flowAgent) {
	owner := lentilrecord.Owner{Copy: copy, Incarnation: lentilid.Incarnation(w.random.Uint64() | 1)}
	a = &flowAgent{
		owner: owner, service: service, domain: domain,
		place:       lentilid.NewPlace(address, domain, service, owner.Incarnation),
		phase:       lentilrecord.Ready,
		weight:      weight,
		connections: make(map[*flow]*connection),
	}
	a.node = w.newNode()
	a.view.Self = owner
	a.onConfiguration = a.dropFlowsIfOut
	a.pinTable = lentilpin.Table{
		Self:     a.place,
		Protocol: protocolOf(service),
		Clock:    w.schedule.Clock(),
		PreferredCandidates: func(hash uint64, dst []lentilid.Place) []lentilid.Place {
			return a.view.Router().PreferredCandidates(service, hash, w.schedule.Now(), dst)
		},
		FallbackCandidates: func() []lentilid.Place { return a.view.Router().FallbackCandidates(service, w.schedule.Now()) },
		HandOffPeer:        func(int) (lentilid.Place, bool) { return w.chooseHandOffPeer(a) },
		RefusesNewFlows:    a.leaving,
		Out:                func(domain lentilid.Domain) bool { return a.view.Router().Out(domain) },
		Gone:               func(place lentilid.Place) bool { return a.view.Router().Gone(place) },
	}
	w.agents = append(w.agents, a)
	w.agentsByAddress[address] = a
	w.bootstrap(&a.node, service)
	w.announcePeriodically(a)
	w.tracef("agent %s starts at %v, service %d, domain %d", copy, address, service, domain)
	return a
}

// dropFlowsIfOut gives up all flows when the failure domain of the agent is out.
func (a *flowAgent) dropFlowsIfOut() {
	if a.view.Router().Out(a.domain) {
		clear(a.connections)
		a.pinTable.Clear()
	}
}

// leaving reports whether the agent knows that its copy leaves.
func (a *flowAgent) leaving() bool {
	listed := a.configuration.Copy(a.owner.Copy)
	return listed == nil || listed.Draining() || a.phase == lentilrecord.Draining
}

// announcePeriodically announces the agent again and again, until it is dead.
func (w *flowSimulation) announcePeriodically(a *flowAgent) {
	if a.dead {
		return
	}
	if !a.paused {
		w.announce(a)
	}
	w.after(renewInterval, func() { w.announcePeriodically(a) })
}

// announce spreads a new version of the agent's record.
func (w *flowSimulation) announce(a *flowAgent) {
	a.version++
	record := lentilrecord.New(lentilrecord.Doc{
		Owner: a.owner, Version: a.version, Service: a.service, Domain: a.domain,
		Tunnel: a.place.Agent(), Phase: a.phase, Weight: a.weight,
	})
	w.records[a.owner] = record
	w.eachNode(func(n *node) { w.after(w.randomDuration(0, w.maxControlDelay), func() { n.applyRecord(w, record) }) })
}

// receive takes a tunnel packet, or holds it while the process is paused.
func (w *flowSimulation) receive(a *flowAgent, d *tunnelPacket) {
	if a.dead {
		return
	}
	w.checkDomainOut(a)
	if a.paused {
		a.deferred = append(a.deferred, func() { w.handleTunnelPacket(a, d) })
		return
	}
	w.handleTunnelPacket(a, d)
}

// handleTunnelPacket works on a tunnel packet.
func (w *flowSimulation) handleTunnelPacket(a *flowAgent, d *tunnelPacket) {
	if a.dead || a.view.Router().Out(a.domain) {
		return
	}
	w.stats.forService(d.service).Packets++
	if w.baseline {
		w.deliver(a, d.packet)
		return
	}
	if d.hop == lentilpin.NoticeHop {
		a.pinTable.HandleNotice(d.notice)
		return
	}
	w.applyDecision(a, d)
}

// applyDecision asks the keeper and carries out what it says.
func (w *flowSimulation) applyDecision(a *flowAgent, d *tunnelPacket) {
	action := a.pinTable.Decide(&lentilpin.Packet{
		Service: d.service,
		Hop:     d.hop,
		From:    d.from,
		Flow:    lentilroute.Classify(a.view.Router().Sealer(), a.pinTable.Protocol, d.packet.bytes, d.packet.flow.client),
	})
	w.tracef("%s: flow %d from %s, %v/%d: %v %v %v", a.owner.Copy, d.packet.flow.number,
		w.copyAt(d.from.Agent()), d.hop.Purpose(), d.hop.Count(), action.Verdict, action.Hop.Purpose(), w.copyAt(action.Place.Agent()))
	if !action.NoticeTo.IsZero() {
		w.sendTunnelPacket(action.NoticeTo, &tunnelPacket{service: a.service, hop: lentilpin.NoticeHop, notice: action.Notice, packet: d.packet})
	}
	switch action.Verdict {
	case lentilpin.Local:
		w.stats.Hops[d.hop.Count()]++
		w.deliver(a, d.packet)
	case lentilpin.Forward:
		w.stats.forService(d.service).Forwarded++
		w.sendTunnelPacket(action.Place, &tunnelPacket{service: a.service, hop: action.Hop, from: action.From, packet: d.packet})
	default:
		w.stats.Dropped[action.Verdict]++
	}
}

// sendTunnelPacket sends a sendTunnelPacket packet to the process at a place, whoever that is now.
func (w *flowSimulation) sendTunnelPacket(place lentilid.Place, d *tunnelPacket) {
	w.send(func() {
		if a := w.agentsByAddress[place.Agent()]; a != nil {
			w.receive(a, d)
		}
	})
}

// chooseHandOffPeer hands some of the new QUIC flows to a peer.
func (w *flowSimulation) chooseHandOffPeer(a *flowAgent) (peer lentilid.Place, ok bool) {
	if w.random.Float64() >= handOffShare {
		return lentilid.Place{}, false
	}
	table := a.view.Router().Table(a.service)
	if table == nil {
		return lentilid.Place{}, false
	}
	return table.Pick(w.random.Uint64())
}

// killAgent ends the process of an agent.
func (w *flowSimulation) killAgent(a *flowAgent) {
	if a.dead {
		return
	}
	a.dead = true
	if w.agentsByAddress[a.place.Agent()] == a {
		delete(w.agentsByAddress, a.place.Agent())
	}
	w.tracef("agent %s ends", a.owner.Copy)
}

// pauseAgent stops a process for a time, in which what it gets is held.
func (w *flowSimulation) pauseAgent(a *flowAgent, d time.Duration) {
	a.paused = true
	a.longestPause = max(a.longestPause, d)
	w.tracef("agent %s is paused for %v", a.owner.Copy, d)
	w.after(d, func() {
		a.paused = false
		w.announce(a)
		held := a.deferred
		a.deferred = nil
		for _, do := range held {
			do()
		}
	})
}
