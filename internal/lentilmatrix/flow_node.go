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

// leaseDuration is how long a node keeps a record that isn't renewed.
const leaseDuration = 3 * time.Second

// renewInterval is how often an agent renews its record.
const renewInterval = time.Second

// node is the part that balancers and agents have in common: a view that receives
// configurations and records with a delay.
type node struct {
	view          *lentilview.View
	configuration lentilconfig.Configuration
	// lastSeen is when the newest record of an owner was applied, versions its version.
	lastSeen map[lentilrecord.Owner]time.Duration
	versions map[lentilrecord.Owner]uint64
	// serviceFilter is the only service whose records the node applies. Zero applies all.
	serviceFilter lentilid.Service
	// onConfiguration is called after each configuration is applied, if it isn't nil.
	onConfiguration func()
}

// balancer is a simulated balancer: a node that is up or down.
type balancer struct {
	node
	up bool
}

// newNode returns a node without configuration and records.
func (s *flowSimulation) newNode() (n node) {
	view := &lentilview.View{
		Clock: s.schedule.Clock(), Sealer: s.sealer, OwnerRetention: s.ownerRetention,
		Protocol: func(service *lentilconfig.Service) lentilroute.Protocol { return protocolOf(service.Number()) },
	}
	return node{
		view:     view,
		lastSeen: make(map[lentilrecord.Owner]time.Duration),
		versions: make(map[lentilrecord.Owner]uint64),
	}
}

// eachNode calls visit for every running balancer and agent.
func (s *flowSimulation) eachNode(visit func(n *node)) {
	for _, b := range s.balancers {
		if b.up {
			visit(&b.node)
		}
	}
	for _, a := range s.agents {
		if !a.dead {
			visit(&a.node)
		}
	}
}

// bootstrap gives a starting node the configuration and the records whose lease runs, as it would
// read them from its peers.
func (s *flowSimulation) bootstrap(n *node, serviceFilter lentilid.Service) {
	n.serviceFilter = serviceFilter
	n.applyConfiguration(s.configuration)
	for _, a := range s.agents {
		if record, ok := s.records[a.owner]; ok && s.now()-s.lastAnnouncedAt(a) < leaseDuration {
			n.applyRecord(s, record)
		}
	}
}

// lastAnnouncedAt returns when the first balancer last received a record of an agent, or now if
// no balancer was started yet.
func (s *flowSimulation) lastAnnouncedAt(a *flowAgent) (at time.Duration) {
	if len(s.balancers) == 0 {
		return s.now()
	}
	return s.balancers[0].lastSeen[a.owner]
}

// applyConfiguration applies a configuration to the view.
func (n *node) applyConfiguration(configuration lentilconfig.Configuration) {
	if configuration.Version() > n.configuration.Version() {
		n.configuration = configuration
	}
	n.view.ApplyConfiguration(configuration)
	if n.onConfiguration != nil {
		n.onConfiguration()
	}
}

// applyRecord applies a record, and removes it again when its lease expires.
func (n *node) applyRecord(s *flowSimulation, record lentilrecord.Record) {
	owner := record.Owner()
	if n.serviceFilter != 0 && record.Service() != n.serviceFilter || record.Version() <= n.versions[owner] {
		return
	}
	n.versions[owner] = record.Version()
	n.lastSeen[owner] = s.now()
	n.view.ApplyRecord(record)
	s.after(leaseDuration, func() {
		if s.now()-n.lastSeen[owner] >= leaseDuration {
			n.view.RemoveRecord(owner)
		}
	})
}

// startBalancer starts a balancer with the configuration and records of its peers.
func (s *flowSimulation) startBalancer() {
	b := &balancer{node: s.newNode(), up: true}
	s.bootstrap(&b.node, 0)
	s.balancers = append(s.balancers, b)
}

// sendToBalancer sends a client's packet to a random running balancer, as the network fabric does.
func (s *flowSimulation) sendToBalancer(p *packet) {
	first := s.random.IntN(len(s.balancers))
	for i := range s.balancers {
		b := s.balancers[(first+i)%len(s.balancers)]
		if b.up {
			s.send(func() { s.forward(b, p) })
			return
		}
	}
}

// forward sends a client's packet from a balancer to the agent that the balancer's router chooses,
// or drops it.
func (s *flowSimulation) forward(b *balancer, p *packet) {
	if !b.up {
		return
	}
	service := p.flow.service
	if s.baseline {
		if place, ok := baselineChoice(b, service, p.flow.client); ok {
			s.sendTunnelPacket(place, &tunnelPacket{service: service, packet: p})
		}
		return
	}
	decision := b.view.Router().Route(service, p.bytes, p.flow.client)
	s.tracef("balancer: flow %d %v: %v %v", p.flow.number, p.kind, decision.Verdict, s.copyAt(decision.Place.Agent()))
	switch decision.Verdict {
	case lentilroute.ToPlace, lentilroute.ToBucket:
		s.sendTunnelPacket(decision.Place, &tunnelPacket{service: service, packet: p})
	default:
		s.stats.Unrouted++
	}
}

// baselineChoice is the baseline's routing: it hashes the client's address modulo the number of
// copies that the balancer has records of.
func baselineChoice(b *balancer, service lentilid.Service, client netip.AddrPort) (place lentilid.Place, ok bool) {
	table := b.view.Router().Table(service)
	if table == nil || len(table.Members()) == 0 {
		return lentilid.Place{}, false
	}
	key := lentilroute.AddressKey(client)
	members := table.Members()
	return members[key.Hash(service)%uint64(len(members))].Place, true
}
