package lentilmatrix

import (
	"net/netip"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilroute"
	"lentilstair.example/lentilstair/pkg/lentilview"
)

// leaseDuration is how long a node believes a record that isn't renewed.
const leaseDuration = 3 * time.Second

// renewInterval is how often an agent renews its record.
const renewInterval = time.Second

// node is what balancers and agents have in common: a view, fed with delay.
type node struct {
	view          *lentilview.View
	configuration lentilconfig.Configuration
	lastSeen      map[lentilrecord.Owner]time.Duration
	versions      map[lentilrecord.Owner]uint64
	// serviceFilter is the service whose records an agent takes; zero takes all.
	serviceFilter lentilid.Service
	// onConfiguration is called after each new configuration, if it isn't nil.
	onConfiguration func()
}

// balancer is a balancer: nothing but a node that is up or not.
type balancer struct {
	node
	up bool
}

// newNode returns a node that knows nothing.
func (w *flowSimulation) newNode() (n node) {
	view := &lentilview.View{Clock: w.schedule.Clock(), Sealer: w.sealer, OwnerRetention: w.ownerRetention, Protocol: func(s *lentilconfig.Service) lentilroute.Protocol {
		return protocolOf(s.Number())
	}}
	return node{
		view:     view,
		lastSeen: make(map[lentilrecord.Owner]time.Duration),
		versions: make(map[lentilrecord.Owner]uint64),
	}
}

// eachNode calls do for every process that lives.
func (w *flowSimulation) eachNode(do func(n *node)) {
	for _, b := range w.balancers {
		if b.up {
			do(&b.node)
		}
	}
	for _, a := range w.agents {
		if !a.dead {
			do(&a.node)
		}
	}
}

// bootstrap gives a process that starts what its peers know.
func (w *flowSimulation) bootstrap(n *node, only lentilid.Service) {
	n.serviceFilter = only
	n.applyConfiguration(w.configuration)
	for _, a := range w.agents {
		if record, ok := w.records[a.owner]; ok && w.now()-w.lastAnnouncedAt(a) < leaseDuration {
			n.applyRecord(w, record)
		}
	}
}

// lastAnnouncedAt returns when an agent last renewed its record, as far as the first
// balancer knows.
func (w *flowSimulation) lastAnnouncedAt(a *flowAgent) (at time.Duration) {
	if len(w.balancers) == 0 {
		return w.now()
	}
	return w.balancers[0].lastSeen[a.owner]
}

// applyConfiguration takes a configuration.
func (n *node) applyConfiguration(configuration lentilconfig.Configuration) {
	if configuration.Version() > n.configuration.Version() {
		n.configuration = configuration
	}
	n.view.ApplyConfiguration(configuration)
	if n.onConfiguration != nil {
		n.onConfiguration()
	}
}

// applyRecord takes a record and watches its lease.
func (n *node) applyRecord(w *flowSimulation, record lentilrecord.Record) {
	owner := record.Owner()
	if n.serviceFilter != 0 && record.Service() != n.serviceFilter || record.Version() <= n.versions[owner] {
		return
	}
	n.versions[owner] = record.Version()
	n.lastSeen[owner] = w.now()
	n.view.ApplyRecord(record)
	w.after(leaseDuration, func() {
		if w.now()-n.lastSeen[owner] >= leaseDuration {
			n.view.RemoveRecord(owner)
		}
	})
}

// startBalancer starts a balancer that has caught up with its peers.
func (w *flowSimulation) startBalancer() {
	b := &balancer{node: w.newNode(), up: true}
	w.bootstrap(&b.node, 0)
	w.balancers = append(w.balancers, b)
}

// sendToBalancer hands a packet of a caller to any balancer, as the fabric does.
func (w *flowSimulation) sendToBalancer(p *packet) {
	first := w.random.IntN(len(w.balancers))
	for i := range w.balancers {
		b := w.balancers[(first+i)%len(w.balancers)]
		if b.up {
			w.send(func() { w.forward(b, p) })
			return
		}
	}
}

// forward is what a balancer does with a packet.
func (w *flowSimulation) forward(b *balancer, p *packet) {
	if !b.up {
		return
	}
	service := p.flow.service
	if w.baseline {
		if place, ok := baselineChoice(b, service, p.flow.client); ok {
			w.sendTunnelPacket(place, &tunnelPacket{service: service, packet: p})
		}
		return
	}
	decision := b.view.Router().Route(service, p.bytes, p.flow.client)
	w.tracef("balancer: flow %d %v: %v %v", p.flow.number, p.kind, decision.Verdict, w.copyAt(decision.Place.Agent()))
	switch decision.Verdict {
	case lentilroute.ToPlace, lentilroute.ToBucket:
		w.sendTunnelPacket(decision.Place, &tunnelPacket{service: service, packet: p})
	default:
		w.stats.Unrouted++
	}
}

// baselineChoice is the baseline: the caller's address modulo the copies in view.
func baselineChoice(b *balancer, service lentilid.Service, client netip.AddrPort) (place lentilid.Place, ok bool) {
	table := b.view.Router().Table(service)
	if table == nil || len(table.Members()) == 0 {
		return lentilid.Place{}, false
	}
	key := lentilroute.AddressKey(client)
	members := table.Members()
	return members[key.Hash(service)%uint64(len(members))].Place, true
}
