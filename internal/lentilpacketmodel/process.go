package lentilpacketmodel

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilcustody"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilplacement"
)

// balancer is a balancer's process: the real decisions in a shell of the model's.
type balancer struct {
	*process
	placer  lentilplacement.Placer
	ready   bool
	routed  bool
	misses  int
	stopped bool
}

func (w *World) addBalancer(domain int) {
	b := &balancer{process: w.newProcess(domain)}
	w.balancers = append(w.balancers, b)
	b.begin()
	w.After(time.Duration(w.Random.Float64()*float64(probeInterval)), b.probe)
}

func (b *balancer) begin() {
	w := b.world
	b.up, b.run, b.ready, b.stopped = true, b.run+1, false, false
	b.placer = lentilplacement.Placer{Clock: w.Clock, Codec: codec(), Random: w.Random.Float64, Domain: domainName(b.domain)}
	b.soon(storeDelay/10, func() {
		b.placer.Configure(w.configuration())
		b.placer.SetOut(w.domainsOut())
		var actions []lentilplacement.Action
		for _, a := range w.agents {
			if !a.removed {
				actions = b.placer.AddPeer(lentilflow.Node{Name: a.name(), Domain: domainName(a.domain), Address: a.end}, ServiceName, a.stopping, actions)
			}
		}
		b.perform(actions)
		b.placer.SetAgentsComplete()
		b.soon(storeDelay, func() { b.ready = true })
	})
	b.soon(tick, b.tick)
}

func (b *balancer) tick() {
	b.perform(b.placer.Tick(nil))
	b.soon(tick, b.tick)
}

// probe is what the routers do: two misses take a balancer out of rotation.
func (b *balancer) probe() {
	if b.up && !b.frozen && b.ready && !b.stopped {
		b.misses, b.routed = 0, true
	} else if b.misses++; b.misses >= 2 {
		b.routed = false
	}
	b.world.After(probeInterval, b.probe)
}

func (w *World) configuration() lentilflow.Configuration {
	return lentilflow.NewConfiguration(w.version,
		map[lentilflow.Endpoint][]lentilflow.Backend{Address: {{Service: ServiceName, Weight: 1}}},
		map[string]float64{ServiceName: w.Setup.ColdRate}, time.Minute)
}

func (b *balancer) fromClient(data []byte) {
	actions, err := b.placer.HandlePacket(slices.Clone(data), nil)
	if err == nil {
		b.perform(actions)
	}
}

func (b *balancer) perform(actions []lentilplacement.Action) {
	w := b.world
	for i := range actions {
		a := actions[i]
		switch a.Kind {
		case lentilplacement.SendCarry:
			if w.Setup.Choose != nil && a.Carry.Purpose == lentilflow.Place {
				a.To = w.agents[w.Setup.Choose(w, a.Key)].end
			}
			m := a.Carry
			m.Packet = slices.Clone(m.Packet)
			b.toAgent(a.To, func(g *agent) { g.carry(b.end, m) })
		case lentilplacement.SendAsk:
			m := lentilflow.Ask{Keys: a.Keys}
			b.toAgent(a.To, func(g *agent) { g.perform(g.custodian.HandleAsk(b.end, m, nil)) })
		case lentilplacement.SendHello:
			b.world.send(b.process, a.To, b.reach(func(g *agent) { g.perform(g.custodian.HandleHello(b.end, lentilflow.Hello{}, nil)) }))
		case lentilplacement.ResetClient:
			w.toClient(b.process, a.Key, codec().AppendReset(nil, a.Key, a.Sequence), a.Cause.String())
		case lentilplacement.Drop, lentilplacement.NoteAgent, lentilplacement.NotePlaced, lentilplacement.NoteSought:
		}
	}
}

func (b *balancer) toAgent(to lentilflow.Endpoint, take func(g *agent)) {
	b.world.sendAbout(b.process, to, b.reach(take))
}

func (b *balancer) reach(take func(g *agent)) func(p *process) {
	return func(p *process) {
		if i := slices.IndexFunc(b.world.agents, func(g *agent) bool { return g.process == p }); i >= 0 {
			take(b.world.agents[i])
		}
	}
}

// agent is an agent's process and its machine, with the upstream beside it.
type agent struct {
	*process
	custodian lentilcustody.Tracker
	upstream  *upstream
	// removed is set once the agent has withdrawn its entry, or it was removed.
	removed bool
	// stopping is what its entry says: that it was asked to end.
	stopping bool
}

// saved is a ledger in the store.
type saved struct {
	ledger lentilcustody.Ledger
}

func (a *agent) name() string { return "agent-" + a.end.String() }

func (w *World) addAgent(domain int, first bool) *agent {
	a := &agent{process: w.newProcess(domain)}
	w.agents = append(w.agents, a)
	a.begin(first)
	a.upstream = w.newUpstream(a)
	return a
}

func (a *agent) begin(first bool) {
	w := a.world
	a.up, a.run, a.removed, a.stopping = true, a.run+1, false, false
	a.custodian = lentilcustody.Tracker{
		Clock: w.Clock, Codec: codec(), Service: ServiceName, Name: a.name(), Domain: domainName(a.domain),
		RunID: uint64(a.run), Address: a.end, FlowsComplete: first, RenewInterval: renewal, ColdFactor: 1.5, ColdSlack: 5,
	}
	a.soon(storeDelay/10, func() {
		var actions []lentilcustody.Action
		actions = a.custodian.SetOut(w.domainsOut()[domainName(a.domain)], actions)
		for _, b := range w.balancers {
			actions = a.custodian.AddPeer(lentilflow.Node{Address: b.end}, actions)
		}
		if s, ok := w.ledgerOf[a.name()]; ok && !first {
			actions = a.custodian.Restore(s.ledger, actions)
		}
		a.perform(actions)
	})
	a.soon(tick, a.tick)
}

func (a *agent) tick() {
	a.perform(a.custodian.Tick(nil))
	if ledger, due := a.custodian.DueLedger(); due {
		a.world.After(storeDelay/10, func() { a.world.ledgerOf[a.name()] = saved{ledger: ledger} })
	}
	a.soon(tick, a.tick)
}

func (a *agent) carry(from lentilflow.Endpoint, m lentilflow.Carry) {
	actions, err := a.custodian.HandleCarry(from, m, nil)
	if err == nil {
		a.perform(actions)
	}
}

func (a *agent) fromUpstream(data []byte) {
	actions, err := a.custodian.HandleUpstreamPacket(data, nil)
	if err == nil {
		a.perform(actions)
	}
}

func (a *agent) perform(actions []lentilcustody.Action) {
	w := a.world
	for i := range actions {
		x := actions[i]
		switch x.Kind {
		case lentilcustody.ToUpstream:
			data := slices.Clone(x.Packet)
			if u := a.upstream; u != nil {
				w.After(nearDelay, func() { u.take(a, data) })
			}
		case lentilcustody.ToClient:
			w.toClient(a.process, x.Key, slices.Clone(x.Packet), "")
		case lentilcustody.ResetClient:
			w.toClient(a.process, x.Key, codec().AppendReset(nil, x.Key, x.Sequence), x.Cause.String())
		case lentilcustody.SendTaken:
			m := lentilflow.Taken{Key: x.Key, Open: x.Open, Load: a.custodian.Load()}
			a.toBalancer(x.To, func(b *balancer) { b.perform(b.placer.HandleTaken(a.end, m, nil)) })
		case lentilcustody.SendRefused:
			m := lentilflow.Refused{Reason: x.Refusal, Load: a.custodian.Load(), Packet: slices.Clone(x.Packet)}
			a.toBalancer(x.To, func(b *balancer) {
				if actions, err := b.placer.HandleRefused(a.end, m, nil); err == nil {
					b.perform(actions)
				}
			})
		case lentilcustody.SendDenied:
			m := lentilflow.Denied{Keys: x.Keys, Unsure: x.Unsure}
			a.toBalancer(x.To, func(b *balancer) { b.perform(b.placer.HandleDenied(a.end, m, nil)) })
		case lentilcustody.SendStatus:
			m := a.custodian.Status()
			a.world.send(a.process, x.To, a.reach(func(b *balancer) { b.perform(b.placer.HandleStatus(a.end, m, nil)) }))
		case lentilcustody.Check:
			a.soon(nearDelay, a.check)
		case lentilcustody.Rejoin, lentilcustody.Note:
		}
	}
}

func (a *agent) toBalancer(to lentilflow.Endpoint, take func(b *balancer)) {
	a.world.sendAbout(a.process, to, a.reach(take))
}

func (a *agent) reach(take func(b *balancer)) func(p *process) {
	return func(p *process) {
		if i := slices.IndexFunc(a.world.balancers, func(b *balancer) bool { return b.process == p }); i >= 0 {
			take(a.world.balancers[i])
		}
	}
}

// check is a connection to the upstream's address.
func (a *agent) check() {
	const timeout = 250 * time.Millisecond
	switch u := a.upstream; {
	case u != nil && u.alive():
		a.perform(a.custodian.HandleProbeResult(lentilcustody.ProbeAccepted, nil))
	case u != nil && u.dark:
		a.soon(timeout, func() { a.perform(a.custodian.HandleProbeResult(lentilcustody.ProbeTimedOut, nil)) })
	default:
		a.perform(a.custodian.HandleProbeResult(lentilcustody.ProbeRefused, nil))
	}
}
