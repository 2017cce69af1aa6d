package lentilpacketmodel

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconntrack"
	"lentilstair.example/lentilstair/pkg/lentilera"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilledger"
	"lentilstair.example/lentilstair/pkg/lentilplacement"
)

// balancer is a balancer's process. Its decisions are the real ones, and all else is simulated.
type balancer struct {
	*process
	placer lentilplacement.Placer
	ready  bool
	// inRotation is set while the routers send packets to the balancer.
	inRotation   bool
	missedProbes int
	stopping     bool
	// domainsAsOf is the position of the state of the failure domains that the balancer knows.
	domainsAsOf lentilera.Position
	survivors   lentilera.Survivors
	// linkRate is the rate of the balancer's link in bytes a second; 0 is unlimited.
	linkRate int
	// hedgeAt is when the next extra offers are due; zero if none is scheduled.
	hedgeAt time.Time
}

// balancersIn returns the number of balancers in a failure domain.
func (s *Simulation) balancersIn(domain int) (count int) {
	for _, b := range s.balancers {
		if b.domain == domain {
			count++
		}
	}
	return count
}

func (s *Simulation) addBalancer(domain int) {
	b := &balancer{process: s.newProcess(domain)}
	b.receiveTime = s.Setup.ReceiveTime
	if s.Setup.BalancerLinkRates != nil {
		b.linkRate = s.Setup.BalancerLinkRates(domain, s.balancersIn(domain))
		b.linkOut, b.linkIn = newLink(b.linkRate), newLink(b.linkRate)
	}
	s.balancers = append(s.balancers, b)
	b.start()
	s.After(time.Duration(s.Random.Float64()*float64(probeInterval)), b.probe)
}

// start starts a run of the balancer, which reads the store and then becomes ready.
func (b *balancer) start() {
	sim := b.sim
	b.up, b.runNumber, b.ready, b.stopping = true, b.runNumber+1, false, false
	b.survivors = lentilera.Survivors{Clock: sim.Clock}
	b.placer = lentilplacement.Placer{Clock: sim.Clock, Codec: codec(), Random: sim.Random.Float64, Domain: domainName(b.domain), ChooseBy: sim.Setup.ChooseBy}
	if !sim.Setup.LinksUnset {
		b.placer.LinkBytesPerSecond = b.linkRate
	}
	b.placer.SetHedgePercent(sim.Setup.HedgePercent)
	b.hedgeAt = time.Time{}
	b.schedule(storeDelay/10, func() {
		b.placer.Configure(sim.configuration())
		b.readDomains()
		var actions []lentilplacement.Action
		for _, a := range sim.agents {
			if !a.removed {
				actions = b.placer.AddPeer(lentilplacement.Peer{
					Node: lentilflow.Node{Name: a.name(), Domain: domainName(a.domain), Address: a.endpoint}, Service: ServiceName, Stopping: a.stopping,
				}, actions)
			}
		}
		b.perform(actions)
		b.placer.SetAgentsComplete()
		b.schedule(storeDelay, func() { b.ready = true })
	})
	b.schedule(tickInterval, b.tick)
}

func (b *balancer) sendHello(to lentilflow.Endpoint) {
	m := lentilflow.Hello{UnderstandsEra: true, UnderstandsWait: true, Store: b.storeState()}
	if out, known := b.placer.DomainOutOf(to); known {
		m.DomainState = lentilflow.DomainState{AsOf: b.domainsAsOf.Revision, Out: out}
	}
	b.sim.sendDatagram(b.process, to, messageBytes, b.agentHandler(func(g *agent) { g.handleHello(b.endpoint, m) }))
}

func (b *balancer) tick() {
	b.perform(b.placer.Tick(nil))
	b.schedule(tickInterval, b.tick)
}

// probe simulates the readiness probe of the routers. Two missed probes take a balancer out of rotation.
func (b *balancer) probe() {
	if b.up && !b.frozen && b.ready && !b.stopping {
		b.missedProbes, b.inRotation = 0, true
	} else if b.missedProbes++; b.missedProbes >= 2 {
		b.inRotation = false
	}
	b.sim.After(probeInterval, b.probe)
}

func (s *Simulation) configuration() lentilflow.Configuration {
	return lentilflow.NewConfiguration(s.configurationVersion,
		map[lentilflow.Endpoint][]lentilflow.Backend{Address: {{Service: ServiceName, Weight: 1}}},
		map[string]float64{ServiceName: s.Setup.ColdRate}, time.Minute).
		WithTerms(map[lentilflow.Endpoint]lentilflow.Terms{Address: {Target: s.Setup.Target, Repeatable: s.Setup.HedgePercent > 0}})
}

func (b *balancer) handleClientPacket(data []byte) {
	actions, err := b.placer.HandlePacket(slices.Clone(data), nil)
	if err == nil {
		b.perform(actions)
	}
}

// perform executes the placer's actions.
func (b *balancer) perform(actions []lentilplacement.Action) {
	sim := b.sim
	for i := range actions {
		action := actions[i]
		switch action.Kind {
		case lentilplacement.SendCarry:
			if sim.Setup.ChooseAgent != nil && action.Carry.Purpose == lentilflow.Place {
				action.To = sim.agents[sim.Setup.ChooseAgent(sim, action.Key)].endpoint
			}
			m := action.Carry
			m.Packet = slices.Clone(m.Packet)
			if m.Purpose == lentilflow.Place {
				sim.Stats.Offers++
				sim.periodAt(sim.Clock.Now()).Offers++
			}
			b.sendToAgent(action.To, carryBytes+len(m.Packet), func(g *agent) { g.handleCarry(b.endpoint, m) })
		case lentilplacement.SendAsk:
			m := lentilflow.Ask{Keys: action.Keys}
			b.sendToAgent(action.To, keyBytes*len(m.Keys), func(g *agent) { g.perform(g.tracker.HandleAsk(b.endpoint, m, nil)) })
		case lentilplacement.SendHello:
			b.sendHello(action.To)
		case lentilplacement.ResetClient:
			sim.sendToClient(b.process, codec().AppendReset(nil, action.Key, action.Sequence), action.Cause.String())
		case lentilplacement.SendRelay: // All simulated balancers have a configuration.
		case lentilplacement.ProbeMachine:
			b.probeMachine(action.To)
		case lentilplacement.ReportLookup:
			if action.Cause == lentilplacement.SoughtByKey {
				sim.Stats.LookupsByKey++
			}
		case lentilplacement.Drop, lentilplacement.Hold, lentilplacement.ReportAgent, lentilplacement.ReportPlaced, lentilplacement.ReportHedge:
		}
	}
	b.scheduleHedges()
}

// scheduleHedges schedules the next extra offers.
func (b *balancer) scheduleHedges() {
	at, ok := b.placer.NextHedge()
	if !ok || at.Equal(b.hedgeAt) {
		return
	}
	b.hedgeAt = at
	b.schedule(max(at.Sub(b.sim.Clock.Now()), 0), func() { b.perform(b.placer.TickHedges(nil)) })
}

// probeMachine simulates a connection attempt to an agent's machine.
func (b *balancer) probeMachine(agent lentilflow.Endpoint) {
	p := b.sim.processes[agent]
	answers := func() bool {
		return p != nil && !p.powerless && !p.isolated && !b.isolated && !b.sim.partitions[domainPair(b.domain, p.domain)]
	}
	b.schedule(2*crossDomainDelay, func() { b.perform(b.placer.HandleProbeResult(agent, answers(), nil)) })
}

func (b *balancer) sendToAgent(to lentilflow.Endpoint, bytes int, handle func(g *agent)) {
	b.sim.sendFlowDatagram(b.process, to, bytes, b.agentHandler(handle))
}

// agentHandler returns a function that calls handle with the agent of a process, if it is one.
func (b *balancer) agentHandler(handle func(g *agent)) func(p *process) {
	return func(p *process) {
		if i := slices.IndexFunc(b.sim.agents, func(g *agent) bool { return g.process == p }); i >= 0 {
			handle(b.sim.agents[i])
		}
	}
}

// agent is an agent's process, with the upstream on the same machine.
type agent struct {
	*process
	tracker  lentilconntrack.Tracker
	upstream *upstream
	era      lentilera.Tracker
	// removed is set while the agent has no entry in the store.
	removed bool
	// stopping is set if the agent's entry in the store says that it was asked to stop.
	stopping bool
}

// savedLedger is an agent's ledger in the store.
type savedLedger struct {
	ledger lentilledger.Ledger
}

func (a *agent) name() string { return "agent-" + a.endpoint.String() }

func (s *Simulation) addAgent(domain int, firstStart bool) *agent {
	a := &agent{process: s.newProcess(domain)}
	s.agents = append(s.agents, a)
	a.start(firstStart)
	a.upstream = s.newUpstream(a)
	return a
}

// start starts a run of the agent. Unless it is the first, the agent does not know all flows of its upstream, and
// it restores its ledger from the store.
func (a *agent) start(firstStart bool) {
	sim := a.sim
	a.up, a.runNumber, a.removed, a.stopping = true, a.runNumber+1, false, false
	a.tracker = lentilconntrack.Tracker{
		Clock: sim.Clock, Codec: codec(), Service: ServiceName, Name: a.name(), Domain: domainName(a.domain),
		RunID: uint64(a.runNumber), Address: a.endpoint, FlowsComplete: firstStart, RenewInterval: registrationInterval, ColdFactor: 1.5, ColdSlack: 5,
	}
	a.era = lentilera.Tracker{Clock: sim.Clock}
	a.schedule(storeDelay/10, func() {
		a.era.Observe(sim.era, 0)
		var actions []lentilconntrack.Action
		for _, b := range sim.balancers {
			actions = a.tracker.AddPeer(lentilflow.Node{Address: b.endpoint}, actions)
		}
		if saved, ok := sim.ledgers[a.name()]; ok && !firstStart {
			actions = a.tracker.Restore(saved.ledger, sim.era, actions)
		}
		a.perform(actions)
	})
	a.schedule(tickInterval, a.tick)
}

func (a *agent) tick() {
	a.perform(a.tracker.Tick(nil))
	if ledger, due := a.tracker.DueLedger(); due {
		ledger.Era = a.era.Era()
		a.sim.After(storeDelay/10, func() { a.sim.saveLedger(a.name(), savedLedger{ledger: ledger}) })
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

// perform executes the tracker's actions.
func (a *agent) perform(actions []lentilconntrack.Action) {
	sim := a.sim
	for i := range actions {
		action := actions[i]
		switch action.Kind {
		case lentilconntrack.ToUpstream:
			data := slices.Clone(action.Packet)
			if u := a.upstream; u != nil {
				sim.After(sameDomainDelay, func() { u.receive(a, data) })
			}
		case lentilconntrack.ToClient:
			sim.sendToClient(a.process, slices.Clone(action.Packet), "")
		case lentilconntrack.ResetClient:
			sim.sendToClient(a.process, codec().AppendReset(nil, action.Key, action.Sequence), action.Cause.String())
		case lentilconntrack.SendTaken:
			m := lentilflow.Taken{Key: action.Key, Open: action.Open, Load: a.loadFor(action.To)}
			a.sendToBalancer(action.To, messageBytes, func(b *balancer) { b.perform(b.placer.HandleTaken(a.endpoint, m, nil)) })
		case lentilconntrack.SendRefused:
			m := lentilflow.Refused{Reason: action.Refusal, Load: a.loadFor(action.To), Packet: slices.Clone(action.Packet)}
			a.sendToBalancer(action.To, carryBytes+len(m.Packet), func(b *balancer) {
				if actions, err := b.placer.HandleRefused(a.endpoint, m, nil); err == nil {
					b.perform(actions)
				}
			})
		case lentilconntrack.SendDenied:
			m := lentilflow.Denied{Keys: action.Keys, Unsure: action.Unsure}
			a.sendToBalancer(action.To, keyBytes*len(m.Keys), func(b *balancer) { b.perform(b.placer.HandleDenied(a.endpoint, m, nil)) })
		case lentilconntrack.SendStatus:
			m := a.tracker.Status()
			m.Load = a.loadFor(action.To)
			a.sim.sendDatagram(a.process, action.To, messageBytes, a.balancerHandler(func(b *balancer) { b.perform(b.placer.HandleStatus(a.endpoint, m, nil)) }))
		case lentilconntrack.ProbeUpstream:
			a.schedule(sameDomainDelay, a.probeUpstream)
		case lentilconntrack.Rediscover, lentilconntrack.ReportStateChange, lentilconntrack.ReportQueueShare:
		}
	}
}

// loadFor returns the load that the agent reports to a balancer.
func (a *agent) loadFor(balancer lentilflow.Endpoint) lentilflow.Load {
	load := a.tracker.LoadFor(balancer)
	if n := a.sim.Setup.EarlierAgents; n > 0 && slices.Index(a.sim.agents, a) < n {
		return load.WithoutWait()
	}
	return load
}

func (a *agent) sendToBalancer(to lentilflow.Endpoint, bytes int, handle func(b *balancer)) {
	a.sim.sendFlowDatagram(a.process, to, bytes, a.balancerHandler(handle))
}

// balancerHandler returns a function that calls handle with the balancer of a process, if it is one.
func (a *agent) balancerHandler(handle func(b *balancer)) func(p *process) {
	return func(p *process) {
		if i := slices.IndexFunc(a.sim.balancers, func(b *balancer) bool { return b.process == p }); i >= 0 {
			handle(a.sim.balancers[i])
		}
	}
}

// probeUpstream simulates a connection to the upstream's address.
func (a *agent) probeUpstream() {
	const timeout = 250 * time.Millisecond
	probe := a.tracker.BeginProbe()
	switch u := a.upstream; {
	case u != nil && u.alive():
		a.perform(a.tracker.HandleProbeResult(lentilconntrack.ProbeAccepted, probe, nil))
	case u != nil && u.unresponsive:
		a.schedule(timeout, func() { a.perform(a.tracker.HandleProbeResult(lentilconntrack.ProbeTimedOut, probe, nil)) })
	default:
		a.perform(a.tracker.HandleProbeResult(lentilconntrack.ProbeRefused, probe, nil))
	}
}
