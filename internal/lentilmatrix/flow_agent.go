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
	owner   lentilrecord.Owner
	service lentilid.Service
	domain  lentilid.Domain
	place   lentilid.Place
	keeper  lentilpin.Table
	version uint64
	phase   lentilrecord.Phase
	weight  uint16
	flows   map[*flow]*connection

	dead     bool
	paused   bool
	silent   time.Duration
	held     []func()
	leavesAt time.Duration
	nonce    uint32
}

// connection is what the agent holds of a flow.
type connection struct {
	// parts are the pieces of a QUIC flow's first message that have come, by bit.
	parts uint8
}

// bothParts is set in a connection whose first message is whole.
const bothParts = 0b11

// datagram is a tunnel packet to an agent.
type datagram struct {
	service lentilid.Service
	hop     lentilpin.Hop
	from    lentilid.Place
	notice  lentilpin.Notice
	packet  *packet
}

// startAgent starts the process of a copy.
func (w *flowWorld) startAgent(copy string, service lentilid.Service, domain lentilid.Domain, address netip.AddrPort, weight uint16) (a *flowAgent) {
	owner := lentilrecord.Owner{Copy: copy, Incarnation: lentilid.Incarnation(w.random.Uint64() | 1)}
	a = &flowAgent{
		owner: owner, service: service, domain: domain,
		place:  lentilid.NewPlace(address, domain, service, owner.Incarnation),
		phase:  lentilrecord.Ready,
		weight: weight,
		flows:  make(map[*flow]*connection),
	}
	a.node = w.newNode()
	a.view.Self = owner
	a.configured = a.closeIfOut
	a.keeper = lentilpin.Table{
		Self:     a.place,
		Protocol: protocolOf(service),
		Clock:    w.schedule.Clock(),
		PreferredCandidates: func(hash uint64, dst []lentilid.Place) []lentilid.Place {
			return a.view.Router().PreferredCandidates(service, hash, w.schedule.Now(), dst)
		},
		FallbackCandidates: func() []lentilid.Place { return a.view.Router().FallbackCandidates(service, w.schedule.Now()) },
		HandOffPeer:        func(int) (lentilid.Place, bool) { return w.chooseHandOff(a) },
		RefusesNewFlows:    a.leaving,
		Out:                func(domain lentilid.Domain) bool { return a.view.Router().Out(domain) },
		Gone:               func(place lentilid.Place) bool { return a.view.Router().Gone(place) },
	}
	w.agents = append(w.agents, a)
	w.processes[address] = a
	w.catchUp(&a.node, service)
	w.renew(a)
	w.tracef("agent %s starts at %v, service %d, domain %d", copy, address, service, domain)
	return a
}

// closeIfOut gives up all flows when the failure domain of the agent is out.
func (a *flowAgent) closeIfOut() {
	if a.view.Router().Out(a.domain) {
		clear(a.flows)
		a.keeper.Clear()
	}
}

// leaving reports whether the agent knows that its copy leaves.
func (a *flowAgent) leaving() bool {
	listed := a.configuration.Copy(a.owner.Copy)
	return listed == nil || listed.Draining() || a.phase == lentilrecord.Draining
}

// renew announces the agent again and again, until it is dead.
func (w *flowWorld) renew(a *flowAgent) {
	if a.dead {
		return
	}
	if !a.paused {
		w.announce(a)
	}
	w.after(renewEvery, func() { w.renew(a) })
}

// announce spreads a new version of the agent's record.
func (w *flowWorld) announce(a *flowAgent) {
	a.version++
	record := lentilrecord.New(lentilrecord.Doc{
		Owner: a.owner, Version: a.version, Service: a.service, Domain: a.domain,
		Tunnel: a.place.Agent(), Phase: a.phase, Weight: a.weight,
	})
	w.records[a.owner] = record
	w.eachNode(func(n *node) { w.after(w.between(0, w.skew), func() { n.observe(w, record) }) })
}

// arrive takes a tunnel packet, or holds it while the process is paused.
func (w *flowWorld) arrive(a *flowAgent, d *datagram) {
	if a.dead {
		return
	}
	w.checkOut(a)
	if a.paused {
		a.held = append(a.held, func() { w.take(a, d) })
		return
	}
	w.take(a, d)
}

// take works on a tunnel packet.
func (w *flowWorld) take(a *flowAgent, d *datagram) {
	if a.dead || a.view.Router().Out(a.domain) {
		return
	}
	w.figures.of(d.service).Packets++
	if w.naive {
		w.local(a, d.packet)
		return
	}
	if d.hop == lentilpin.NoticeHop {
		a.keeper.HandleNotice(d.notice)
		return
	}
	w.decide(a, d)
}

// decide asks the keeper and carries out what it says.
func (w *flowWorld) decide(a *flowAgent, d *datagram) {
	action := a.keeper.Decide(&lentilpin.Packet{
		Service: d.service,
		Hop:     d.hop,
		From:    d.from,
		Flow:    lentilroute.Classify(a.view.Router().Sealer(), a.keeper.Protocol, d.packet.bytes, d.packet.flow.client),
	})
	w.tracef("%s: flow %d from %s, %v/%d: %v %v %v", a.owner.Copy, d.packet.flow.number,
		w.nameOf(d.from.Agent()), d.hop.Purpose(), d.hop.Count(), action.Verdict, action.Hop.Purpose(), w.nameOf(action.Place.Agent()))
	if !action.NoticeTo.IsZero() {
		w.tunnel(action.NoticeTo, &datagram{service: a.service, hop: lentilpin.NoticeHop, notice: action.Notice, packet: d.packet})
	}
	switch action.Verdict {
	case lentilpin.Local:
		w.figures.Hops[d.hop.Count()]++
		w.local(a, d.packet)
	case lentilpin.Forward:
		w.figures.of(d.service).Forwarded++
		w.tunnel(action.Place, &datagram{service: a.service, hop: action.Hop, from: action.From, packet: d.packet})
	default:
		w.figures.Dropped[action.Verdict]++
	}
}

// tunnel sends a tunnel packet to the process at a place, whoever that is now.
func (w *flowWorld) tunnel(place lentilid.Place, d *datagram) {
	w.send(func() {
		if a := w.processes[place.Agent()]; a != nil {
			w.arrive(a, d)
		}
	})
}

// chooseHandOff hands some of the new QUIC flows to a peer.
func (w *flowWorld) chooseHandOff(a *flowAgent) (peer lentilid.Place, ok bool) {
	if w.random.Float64() >= handOffShare {
		return lentilid.Place{}, false
	}
	table := a.view.Router().Table(a.service)
	if table == nil {
		return lentilid.Place{}, false
	}
	return table.Pick(w.random.Uint64())
}

// kill ends the process of an agent.
func (w *flowWorld) kill(a *flowAgent) {
	if a.dead {
		return
	}
	a.dead = true
	if w.processes[a.place.Agent()] == a {
		delete(w.processes, a.place.Agent())
	}
	w.tracef("agent %s ends", a.owner.Copy)
}

// pause stops a process for a time, in which what it gets is held.
func (w *flowWorld) pause(a *flowAgent, d time.Duration) {
	a.paused = true
	a.silent = max(a.silent, d)
	w.tracef("agent %s is paused for %v", a.owner.Copy, d)
	w.after(d, func() {
		a.paused = false
		w.announce(a)
		held := a.held
		a.held = nil
		for _, do := range held {
			do()
		}
	})
}
