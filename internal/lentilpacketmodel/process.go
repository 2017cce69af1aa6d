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
	placer       lentilplacement.Placer
	ready        bool
	inRotation   bool
	missedProbes int
	stopping     bool
}

func (w *Simulation) addBalancer(domain int) {
	b := &balancer{process: w.newProcess(domain)}
	w.balancers = append(w.balancers, b)
	b.start()
	w.After(time.Duration(w.Random.Float64()*float64(probeInterval)), b.probe)
}

func (b *balancer) start() {
	w := b.sim
	b.up, b.run, b.ready, b.stopping = true, b.run+1, false, false
	b.placer = lentilplacement.Placer{Clock: w.Clock, Codec: codec(), Random: w.Random.Float64, Domain: domainName(b.domain)}
	b.schedule(storeDelay/10, func() {
		b.placer.Configure(w.configuration())
		b.placer.SetOut(w.domainsOut())
		var actions []lentilplacement.Action
		for _, a := range w.agents {
			if !a.removed {
				actions = b.placer.AddPeer(lentilflow.Node{Name: a.name(), Domain: domainName(a.domain), Address: a.endpoint}, ServiceName, a.stopping, actions)
			}
		}
		b.perform(actions)
		b.placer.SetAgentsComplete()
		b.schedule(storeDelay, func() { b.ready = true })
	})
	b.schedule(tickInterval, b.tick)
}

func (b *balancer) tick() {
	b.perform(b.placer.Tick(nil))
	b.schedule(tickInterval, b.tick)
}

// probe is what the routers do: two misses take a balancer out of rotation.
func (b *balancer) probe() {
	if b.up && !b.frozen && b.ready && !b.stopping {
		b.missedProbes, b.inRotation = 0, true
	} else if b.missedProbes++; b.missedProbes >= 2 {
		b.inRotation = false
	}
	b.sim.After(probeInterval, b.probe)
}

func (w *Simulation) configuration() lentilflow.Configuration {
	return lentilflow.NewConfiguration(w.version,
		map[lentilflow.Endpoint][]lentilflow.Backend{Address: {{Service: ServiceName, Weight: 1}}},
		map[string]float64{ServiceName: w.Setup.ColdRate}, time.Minute)
}

func (b *balancer) handleClientPacket(data []byte) {
	actions, err := b.placer.HandlePacket(slices.Clone(data), nil)
	if err == nil {
		b.perform(actions)
	}
}

func (b *balancer) perform(actions []lentilplacement.Action) {
	w := b.sim
	for i := range actions {
		a := actions[i]
		switch a.Kind {
		case lentilplacement.SendCarry:
			if w.Setup.ChooseAgent != nil && a.Carry.Purpose == lentilflow.Place {
				a.To = w.agents[w.Setup.ChooseAgent(w, a.Key)].endpoint
			}
			m := a.Carry
			m.Packet = slices.Clone(m.Packet)
			b.sendToAgent(a.To, func(g *agent) { g.handleCarry(b.endpoint, m) })
		case lentilplacement.SendAsk:
			m := lentilflow.Ask{Keys: a.Keys}
			b.sendToAgent(a.To, func(g *agent) { g.perform(g.tracker.HandleAsk(b.endpoint, m, nil)) })
		case lentilplacement.SendHello:
			b.sim.sendDatagram(b.process, a.To, b.agentHandler(func(g *agent) { g.perform(g.tracker.HandleHello(b.endpoint, lentilflow.Hello{}, nil)) }))
		case lentilplacement.ResetClient:
			w.sendToClient(b.process, a.Key, codec().AppendReset(nil, a.Key, a.Sequence), a.Cause.String())
		case lentilplacement.Drop, lentilplacement.ReportAgent, lentilplacement.ReportPlaced, lentilplacement.ReportLookup:
		}
	}
}

func (b *balancer) sendToAgent(to lentilflow.Endpoint, take func(g *agent)) {
	b.sim.sendFlowDatagram(b.process, to, b.agentHandler(take))
}

func (b *balancer) agentHandler(take func(g *agent)) func(p *process) {
	return func(p *process) {
		if i := slices.IndexFunc(b.sim.agents, func(g *agent) bool { return g.process == p }); i >= 0 {
			take(b.sim.agents[i])
		}
	}
}

// agent is an agent's process and its machine, with the upstream beside it.
type agent struct {
	*process
	tracker  lentilcustody.Tracker
	upstream *upstream
	// removed is set once the agent has withdrawn its entry, or it was removed.
	removed bool
	// stopping is what its entry says: that it was asked to end.
	stopping bool
}

// savedLedger is a ledger in the store.
type savedLedger struct {
	ledger lentilcustody.Ledger
}

func (a *agent) name() string { return "agent-" + a.endpoint.String() }

func (w *Simulation) addAgent(domain int, first bool) *agent {
	a := &agent{process: w.newProcess(domain)}
	w.agents = append(w.agents, a)
	a.start(first)
	a.upstream = w.newUpstream(a)
	return a
}

func (a *agent) start(first bool) {
	w := a.sim
	a.up, a.run, a.removed, a.stopping = true, a.run+1, false, false
	a.tracker = lentilcustody.Tracker{
		Clock: w.Clock, Codec: codec(), Service: ServiceName, Name: a.name(), Domain: domainName(a.domain),
		RunID: uint64(a.run), Address: a.endpoint, FlowsComplete: first, RenewInterval: registrationInterval, ColdFactor: 1.5, ColdSlack: 5,
	}
	a.schedule(storeDelay/10, func() {
		var actions []lentilcustody.Action
		actions = a.tracker.SetOut(w.domainsOut()[domainName(a.domain)], actions)
		for _, b := range w.balancers {
			actions = a.tracker.AddPeer(lentilflow.Node{Address: b.endpoint}, actions)
		}
		if s, ok := w.ledgers[a.name()]; ok && !first {
			actions = a.tracker.Restore(s.ledger, actions)
		}
		a.perform(actions)
	})
	a.schedule(tickInterval, a.tick)
}

func (a *agent) tick() {
	a.perform(a.tracker.Tick(nil))
	if ledger, due := a.tracker.DueLedger(); due {
		a.sim.After(storeDelay/10, func() { a.sim.ledgers[a.name()] = savedLedger{ledger: ledger} })
	}
	a.schedule(tickInterval, a.tick)
}

func (a *agent) handleCarry(from lentilflow.Endpoint, m lentilflow.Carry) {
	actions, err := a.tracker.HandleCarry(from, m, nil)
	if err == nil {
		a.perform(actions)
	}
}

func (a *agent) handleUpstreamPacket(data []byte) {
	actions, err := a.tracker.HandleUpstreamPacket(data, nil)
	if err == nil {
		a.perform(actions)
	}
}

func (a *agent) perform(actions []lentilcustody.Action) {
	w := a.sim
	for i := range actions {
		x := actions[i]
		switch x.Kind {
		case lentilcustody.ToUpstream:
			data := slices.Clone(x.Packet)
			if u := a.upstream; u != nil {
				w.After(sameDomainDelay, func() { u.receive(a, data) })
			}
		case lentilcustody.ToClient:
			w.sendToClient(a.process, x.Key, slices.Clone(x.Packet), "")
		case lentilcustody.ResetClient:
			w.sendToClient(a.process, x.Key, codec().AppendReset(nil, x.Key, x.Sequence), x.Cause.String())
		case lentilcustody.SendTaken:
			m := lentilflow.Taken{Key: x.Key, Open: x.Open, Load: a.tracker.Load()}
			a.sendToBalancer(x.To, func(b *balancer) { b.perform(b.placer.HandleTaken(a.endpoint, m, nil)) })
		case lentilcustody.SendRefused:
			m := lentilflow.Refused{Reason: x.Refusal, Load: a.tracker.Load(), Packet: slices.Clone(x.Packet)}
			a.sendToBalancer(x.To, func(b *balancer) {
				if actions, err := b.placer.HandleRefused(a.endpoint, m, nil); err == nil {
					b.perform(actions)
				}
			})
		case lentilcustody.SendDenied:
			m := lentilflow.Denied{Keys: x.Keys, Unsure: x.Unsure}
			a.sendToBalancer(x.To, func(b *balancer) { b.perform(b.placer.HandleDenied(a.endpoint, m, nil)) })
		case lentilcustody.SendStatus:
			m := a.tracker.Status()
			a.sim.sendDatagram(a.process, x.To, a.balancerHandler(func(b *balancer) { b.perform(b.placer.HandleStatus(a.endpoint, m, nil)) }))
		case lentilcustody.ProbeUpstream:
			a.schedule(sameDomainDelay, a.probeUpstream)
		case lentilcustody.Rediscover, lentilcustody.ReportStateChange:
		}
	}
}

func (a *agent) sendToBalancer(to lentilflow.Endpoint, take func(b *balancer)) {
	a.sim.sendFlowDatagram(a.process, to, a.balancerHandler(take))
}

func (a *agent) balancerHandler(take func(b *balancer)) func(p *process) {
	return func(p *process) {
		if i := slices.IndexFunc(a.sim.balancers, func(b *balancer) bool { return b.process == p }); i >= 0 {
			take(a.sim.balancers[i])
		}
	}
}

// probeUpstream is a connection to the upstream's address.
func (a *agent) probeUpstream() {
	const timeout = 250 * time.Millisecond
	switch u := a.upstream; {
	case u != nil && u.alive():
		a.perform(a.tracker.HandleProbeResult(lentilcustody.ProbeAccepted, nil))
	case u != nil && u.unresponsive:
		a.schedule(timeout, func() { a.perform(a.tracker.HandleProbeResult(lentilcustody.ProbeTimedOut, nil)) })
	default:
		a.perform(a.tracker.HandleProbeResult(lentilcustody.ProbeRefused, nil))
	}
}
