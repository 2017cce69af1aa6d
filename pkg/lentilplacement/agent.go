package lentilplacement

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// agent is the balancer's view of an agent.
type agent struct {
	// status is the last one received, updated by the agent's later answers.
	status   lentilflow.Status
	lastSeen time.Time
	// responsiveSince is when the agent was first seen, or seen again after it was unresponsive.
	responsiveSince time.Time
	addedAt         time.Time
	// helloAt is when the agent was last asked for its status.
	helloAt time.Time
	// machineSeenAt is when the agent's machine last answered a connection attempt, and probedAt the time of the last
	// attempt.
	machineSeenAt, probedAt time.Time
	// flowsSent counts the flows sent to the agent since it last reported its load.
	flowsSent int
	// suspected is set when the agent misses placeTimeout, until it is seen again.
	suspected bool
	// failingAt is when the agent last refused a flow because its upstream fails.
	failingAt time.Time
	// unresponsiveLogged is set once AgentSilent was reported, until the agent's next status.
	unresponsiveLogged bool
}

func (a *agent) seen() bool { return !a.lastSeen.IsZero() }

// unresponsive reports whether nothing has come from the agent for several status intervals.
func (a *agent) unresponsive(now time.Time) bool {
	return now.Sub(a.lastSeen) > unresponsiveIntervals*max(a.status.Interval, minStatusInterval)
}

// holdsNoFlows reports whether the agent is stopping, or has stopped, after its upstream ended:
// no flow can be left with it.
func (a *agent) holdsNoFlows() bool { return a.status.Stopping && a.status.UpstreamEnded }

// AddPeer adds an agent that may exist, and asks it for its status. stopping means that its last known state
// was a requested stop, after which agents usually come back.
func (p *Placer) AddPeer(node lentilflow.Node, service string, stopping bool, actions []Action) []Action {
	if p.agents[node.Address] != nil {
		return actions
	}
	now := p.now()
	p.putAgent(node.Address, &agent{
		status:  lentilflow.Status{Name: node.Name, Domain: node.Domain, Service: service, Stopping: stopping},
		addedAt: now, helloAt: now,
	})
	return append(actions, Action{Kind: SendHello, To: node.Address})
}

// UnderstandsEra reports whether an agent accepts the era of the store in a Hello.
func (p *Placer) UnderstandsEra(addr lentilflow.Endpoint) bool {
	a := p.agents[addr]
	return a != nil && a.status.UnderstandsEra
}

func (p *Placer) putAgent(addr lentilflow.Endpoint, a *agent) {
	if p.agents == nil {
		p.agents = make(map[lentilflow.Endpoint]*agent)
	}
	p.agents[addr] = a
	p.agentsByService = nil
}

// AgentCounts returns the numbers of known and of responsive agents.
func (p *Placer) AgentCounts() (known, responsive int) {
	now := p.now()
	for _, a := range p.agents {
		known++
		if a.seen() && !a.unresponsive(now) {
			responsive++
		}
	}
	return known, responsive
}

// HandleStatus updates the state of an agent from its status. A status that isn't newer than the
// last one of the same run is ignored.
func (p *Placer) HandleStatus(from lentilflow.Endpoint, m lentilflow.Status, actions []Action) []Action {
	a := p.agents[from]
	if a == nil {
		a = &agent{addedAt: p.now()}
		p.putAgent(from, a)
	}
	previous := a.status
	if m.RunID == previous.RunID && m.Sequence <= previous.Sequence {
		return actions
	}
	p.recordRelay(m.ConfiguredBalancer)
	appeared := !a.seen() || a.unresponsiveLogged
	p.heldPlacementsDue = true
	if !a.seen() || a.unresponsive(p.now()) {
		a.responsiveSince = p.now()
	}
	a.status, a.lastSeen, a.flowsSent, a.suspected, a.unresponsiveLogged = m, p.now(), 0, false, false
	if previous.Service != m.Service || previous.Domain != m.Domain {
		p.agentsByService = nil
	}
	if wrong := m.UnderstandsTerms && m.Out != p.out[m.Domain]; (wrong || previous.RunID != m.RunID) && a.lastSeen.Sub(a.helloAt) >= helloRetryInterval {
		// The agent doesn't know the state of its failure domain, which a Hello carries, or knows a newer one.
		a.helloAt = a.lastSeen
		actions = append(actions, Action{Kind: SendHello, To: from})
	}
	changed := previous.RunID != m.RunID || previous.Phase != m.Phase || previous.Out != m.Out || previous.Stopping != m.Stopping || previous.Cold != m.Cold
	switch {
	case appeared:
		return append(actions, Action{Kind: ReportAgent, Cause: AgentHeard, To: from, Phase: m.Phase, Load: m.Load})
	case changed:
		return append(actions, Action{Kind: ReportAgent, Cause: AgentChanged, To: from, Phase: m.Phase, Load: m.Load})
	}
	return actions
}

// HandleProbeResult records whether the machine of an agent has answered a connection attempt, by accepting or by
// refusing it.
func (p *Placer) HandleProbeResult(addr lentilflow.Endpoint, answered bool, actions []Action) []Action {
	a := p.agents[addr]
	if a == nil || !answered {
		return actions
	}
	now, known := p.now(), a.machineSeenAt.After(a.lastSeen)
	a.machineSeenAt = now
	if known {
		return actions
	}
	return append(actions, Action{
		Kind: ReportAgent, Cause: MachineAnswered, To: addr, Phase: a.status.Phase, AgeMillis: now.Sub(a.lastSeen).Milliseconds(),
	})
}

// isGone reports whether an unresponsive agent is presumed to have ended together with its upstream. A machine that
// answers shows that only the agent has ended, or is starved, which says nothing about its upstream.
// At least half of the other agents of its failure domain must respond: this rules out that a network
// partition between failure domains hides the agent. An agent counts as responding only after it has done so
// for goneAfter, since after a partition its agents are seen again one by one. An agent that was asked to
// stop usually comes back and its upstream may run all the time, so it counts as gone only after expireAfter.
func (p *Placer) isGone(now time.Time, a *agent) bool {
	since := a.lastSeen
	if since.Before(a.addedAt) {
		since = a.addedAt
	}
	if since.Before(a.machineSeenAt) {
		since = a.machineSeenAt
	}
	if now.Sub(since) < goneAfter || a.status.Stopping && now.Sub(since) < expireAfter {
		return false
	}
	others, responsive := 0, 0
	for _, o := range p.agents {
		switch {
		case o == a || o.status.Domain != a.status.Domain:
		case o.seen() && !o.unresponsive(now) && now.Sub(o.responsiveSince) >= goneAfter:
			others++
			responsive++
		case now.Sub(o.lastSeen) < expireAfter || now.Sub(o.addedAt) < expireAfter:
			others++
		}
	}
	return responsive > 0 && responsive*2 >= others
}

// ExpireAgents removes agents that have been gone for longer than expireAfter, and returns their names.
func (p *Placer) ExpireAgents() (names []string) {
	now := p.now()
	for addr, a := range p.agents {
		if now.Sub(a.lastSeen) > expireAfter && now.Sub(a.addedAt) > expireAfter && p.isGone(now, a) {
			names = append(names, a.status.Name)
			delete(p.agents, addr)
			p.agentsByService = nil
		}
	}
	return names
}

// updateLoad records the load that came with an agent's answer, which is newer than its last status.
func (p *Placer) updateLoad(from lentilflow.Endpoint, load lentilflow.Load) {
	if a := p.agents[from]; a != nil {
		a.status.Load, a.flowsSent, a.suspected, a.lastSeen = load, 0, false, p.now()
	}
}

// applyRefusal updates the state of an agent from its refusal of a flow, which is newer than its last status.
func (p *Placer) applyRefusal(now time.Time, from lentilflow.Endpoint, m lentilflow.Refused) {
	a := p.agents[from]
	if a == nil {
		return
	}
	a.status.Load, a.flowsSent, a.suspected, a.lastSeen = m.Load, 0, false, now
	switch m.Reason {
	case lentilflow.DomainOut:
		a.status.Out = true
	case lentilflow.UpstreamDraining:
		a.status.Phase = lentilflow.Draining
	case lentilflow.NoUpstream:
		a.status.Phase = lentilflow.Gone
	case lentilflow.Stopping:
		a.status.Stopping = true
	case lentilflow.UpstreamFailing:
		a.failingAt = now
	case lentilflow.OtherService:
		// Its current service is unknown until its next status.
		a.status.Phase = lentilflow.Gone
	}
}

// sortedAddresses returns the addresses of all agents, sorted to make tests reproducible.
func (p *Placer) sortedAddresses() []lentilflow.Endpoint {
	addresses := make([]lentilflow.Endpoint, 0, len(p.agents))
	for addr := range p.agents {
		addresses = append(addresses, addr)
	}
	slices.SortFunc(addresses, func(a, b lentilflow.Endpoint) int {
		x, y := a.Address(), b.Address()
		return cmp.Or(slices.Compare(x[:], y[:]), cmp.Compare(a.Port(), b.Port()))
	})
	return addresses
}

// tickAgents sends due Hellos, more often to agents that are unresponsive, probes the machines of these, and reports agents
// that have become so.
func (p *Placer) tickAgents(now time.Time, actions []Action) []Action {
	p.probeBudget.PerSecond, p.probeBudget.Burst = probesPerSecond, probesPerSecond
	if gap := now.Sub(p.lastTick); !p.lastTick.IsZero() && gap > pauseThreshold {
		// This process was paused, and the messages that arrived meanwhile are still unread.
		// The pause doesn't count as time in which the agents were unresponsive.
		for _, a := range p.agents {
			if a.seen() {
				a.lastSeen, a.responsiveSince = a.lastSeen.Add(gap), a.responsiveSince.Add(gap)
			}
			a.addedAt = a.addedAt.Add(gap)
		}
	}
	p.lastTick = now
	for addr, a := range p.agents {
		unresponsive := a.unresponsive(now)
		if unresponsive && a.seen() && !a.unresponsiveLogged {
			a.unresponsiveLogged = true
			actions = append(actions, Action{Kind: ReportAgent, Cause: AgentSilent, To: addr, Phase: a.status.Phase, AgeMillis: now.Sub(a.lastSeen).Milliseconds()})
		}
		interval := keepaliveInterval
		if unresponsive && (now.Sub(a.lastSeen) <= helloRetryPeriod || now.Sub(a.addedAt) <= helloRetryPeriod) {
			interval = helloRetryInterval
			if now.Sub(a.probedAt) >= probeInterval && now.Sub(a.addedAt) >= probeInterval && p.probeBudget.Allow(now, 1) {
				a.probedAt = now
				actions = append(actions, Action{Kind: ProbeMachine, To: addr})
			}
		}
		if now.Sub(a.helloAt) >= interval {
			a.helloAt = now
			actions = append(actions, Action{Kind: SendHello, To: addr})
		}
	}
	return actions
}

// AgentAddresses returns the addresses of all known agents.
func (p *Placer) AgentAddresses() []lentilflow.Endpoint { return p.sortedAddresses() }
