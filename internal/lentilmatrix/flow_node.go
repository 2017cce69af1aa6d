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

// lease is how long a node believes a record that isn't renewed.
const lease = 3 * time.Second

// renewEvery is how often an agent renews its record.
const renewEvery = time.Second

// node is what balancers and agents have in common: a view, fed with delay.
type node struct {
	view          *lentilview.View
	configuration lentilconfig.Configuration
	heard         map[lentilrecord.Owner]time.Duration
	versions      map[lentilrecord.Owner]uint64
	// only is the service whose records an agent takes; zero takes all.
	only lentilid.Service
	// configured is called after each new configuration, if it isn't nil.
	configured func()
}

// balancer is a balancer: nothing but a node that is up or not.
type balancer struct {
	node
	up bool
}

// newNode returns a node that knows nothing.
func (w *flowWorld) newNode() (n node) {
	view := &lentilview.View{Clock: w.schedule.Clock(), Sealer: w.sealer, OwnerRetention: w.window, Protocol: func(s *lentilconfig.Service) lentilroute.Protocol {
		return protocolOf(s.Number())
	}}
	return node{
		view:     view,
		heard:    make(map[lentilrecord.Owner]time.Duration),
		versions: make(map[lentilrecord.Owner]uint64),
	}
}

// eachNode calls do for every process that lives.
func (w *flowWorld) eachNode(do func(n *node)) {
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

// catchUp gives a process that starts what its peers know.
func (w *flowWorld) catchUp(n *node, only lentilid.Service) {
	n.only = only
	n.configure(w.configuration)
	for _, a := range w.agents {
		if record, ok := w.records[a.owner]; ok && w.now()-w.announced(a) < lease {
			n.observe(w, record)
		}
	}
}

// announced returns when an agent last renewed its record, as far as the first
// balancer knows.
func (w *flowWorld) announced(a *flowAgent) (at time.Duration) {
	if len(w.balancers) == 0 {
		return w.now()
	}
	return w.balancers[0].heard[a.owner]
}

// configure takes a configuration.
func (n *node) configure(configuration lentilconfig.Configuration) {
	if configuration.Version() > n.configuration.Version() {
		n.configuration = configuration
	}
	n.view.ApplyConfiguration(configuration)
	if n.configured != nil {
		n.configured()
	}
}

// observe takes a record and watches its lease.
func (n *node) observe(w *flowWorld, record lentilrecord.Record) {
	owner := record.Owner()
	if n.only != 0 && record.Service() != n.only || record.Version() <= n.versions[owner] {
		return
	}
	n.versions[owner] = record.Version()
	n.heard[owner] = w.now()
	n.view.ApplyRecord(record)
	w.after(lease, func() {
		if w.now()-n.heard[owner] >= lease {
			n.view.RemoveRecord(owner)
		}
	})
}

// startBalancer starts a balancer that has caught up with its peers.
func (w *flowWorld) startBalancer() {
	b := &balancer{node: w.newNode(), up: true}
	w.catchUp(&b.node, 0)
	w.balancers = append(w.balancers, b)
}

// spray hands a packet of a caller to any balancer, as the fabric does.
func (w *flowWorld) spray(p *packet) {
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
func (w *flowWorld) forward(b *balancer, p *packet) {
	if !b.up {
		return
	}
	service := p.flow.service
	if w.naive {
		if place, ok := naiveChoice(b, service, p.flow.client); ok {
			w.tunnel(place, &datagram{service: service, packet: p})
		}
		return
	}
	decision := b.view.Router().Route(service, p.bytes, p.flow.client)
	w.tracef("balancer: flow %d %v: %v %v", p.flow.number, p.kind, decision.Verdict, w.nameOf(decision.Place.Agent()))
	switch decision.Verdict {
	case lentilroute.ToPlace, lentilroute.ToBucket:
		w.tunnel(decision.Place, &datagram{service: service, packet: p})
	default:
		w.figures.Unrouted++
	}
}

// naiveChoice is the baseline: the caller's address modulo the copies in view.
func naiveChoice(b *balancer, service lentilid.Service, client netip.AddrPort) (place lentilid.Place, ok bool) {
	table := b.view.Router().Table(service)
	if table == nil || len(table.Members()) == 0 {
		return lentilid.Place{}, false
	}
	key := lentilroute.AddressKey(client)
	members := table.Members()
	return members[key.Hash(service)%uint64(len(members))].Place, true
}
