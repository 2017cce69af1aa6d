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

// chooseAgent returns the agent where a new flow is expected to wait least, or nil. It draws one of the
// address's services by weight, and takes another one if no agent of that service accepts flows.
func (p *Placer) chooseAgent(now time.Time, key lentilflow.Key, backends []lentilflow.Backend, tried []lentilflow.Endpoint) (addr lentilflow.Endpoint, a *agent) {
	total := 0
	for _, b := range backends {
		total += b.Weight
	}
	draw := p.random() * float64(total)
	first := 0
	for i, b := range backends {
		if draw -= float64(b.Weight); draw < 0 {
			first = i
			break
		}
	}
	for i := range backends {
		b := backends[(first+i)%len(backends)]
		if b.Weight == 0 && total > 0 {
			continue
		}
		if addr, a = p.cheapestAgent(now, key, b.Service, tried); a != nil {
			return addr, a
		}
	}
	return addr, nil
}

// cheapestAgent returns the agent with the lowest cost among the key's candidates. If none of them accepts
// flows, it returns the cheapest of all agents of the service, or nil. Agents in tried are skipped.
func (p *Placer) cheapestAgent(now time.Time, key lentilflow.Key, service string, tried []lentilflow.Endpoint) (addr lentilflow.Endpoint, a *agent) {
	for _, addresses := range [][]lentilflow.Endpoint{p.candidates(key, service), p.agentsOfService(service)} {
		best := 0.0
		start := int(p.random() * float64(len(addresses)))
		for i := range addresses {
			next := addresses[(start+i)%len(addresses)]
			candidate := p.agents[next]
			if slices.Contains(tried, next) || !p.acceptsFlows(candidate) {
				continue
			}
			if cost := p.cost(now, candidate); a == nil || cost < best {
				addr, a, best = next, candidate, cost
			}
		}
		if a != nil {
			return addr, a
		}
	}
	return addr, nil
}

// acceptsFlows reports whether the agent takes new flows, by its last known state and the failure domains out of service.
func (p *Placer) acceptsFlows(a *agent) bool {
	s := a.status
	return a.seen() && !s.Stopping && !s.Out && !p.out[s.Domain] && (s.Phase == lentilflow.Ready || s.Phase == lentilflow.Unheard)
}

// Additions to the cost of an agent, in open flows per slot.
const (
	// otherDomainCost makes agents of the balancer's own failure domain preferred when loads are about equal.
	otherDomainCost = 0.3
	// coldCost compensates for a cold upstream being some 1.6 times slower, at the usual handful of flows
	// per slot.
	coldCost = 2
	// unreportedCost ranks agents whose upstream hasn't reported to them yet behind those with a ready upstream.
	unreportedCost = 1e3
	// failingCost ranks agents whose upstream fails behind all that work, for failingFor after such a refusal.
	// Then they are offered flows again, since only requests show that the upstream works.
	failingCost = 1e4
	// unresponsiveCost ranks agents that don't answer last.
	unresponsiveCost = 1e6
)

// failingFor is how long an agent counts as failing after it refused a flow for this reason. It is the time after
// which the agent first tries its upstream again.
const failingFor = 500 * time.Millisecond

// cost returns the expected load of an agent in flows and requests per slot, plus the additions above.
func (p *Placer) cost(now time.Time, a *agent) (cost float64) {
	load := a.status.Load
	cost = (float64(load.Flows) + float64(load.InFlight) + float64(a.flowsSent)) / float64(max(load.Slots, 1))
	if a.status.Domain != p.Domain {
		cost += otherDomainCost
	}
	if a.status.Cold {
		cost += coldCost
	}
	if a.status.Phase == lentilflow.Unheard {
		cost += unreportedCost
	}
	if now.Sub(a.failingAt) < failingFor {
		cost += failingCost
	}
	if a.suspected || a.unresponsive(now) {
		cost += unresponsiveCost
	}
	return cost
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

// agentsOfService returns the agents of a service in a fixed order.
func (p *Placer) agentsOfService(service string) []lentilflow.Endpoint {
	if p.agentsByService == nil {
		p.agentsByService = make(map[string][]lentilflow.Endpoint)
		for _, addr := range p.sortedAddresses() {
			s := p.agents[addr].status.Service
			p.agentsByService[s] = append(p.agentsByService[s], addr)
		}
	}
	return p.agentsByService[service]
}

const (
	// allCandidatesLimit is the number of agents of a service up to which every one is a candidate for a flow.
	allCandidatesLimit = 8
	// sameDomainCandidates and otherDomainCandidates are the numbers of candidates that accept flows, in the
	// balancer's own failure domain and in all others. They apply above allCandidatesLimit. The best of
	// several agents is hardly worse than the best of all.
	sameDomainCandidates  = 3
	otherDomainCandidates = 3
)

// candidates returns the agents of a service among which one is chosen for a new flow, and at which an
// unknown flow is looked up first. It uses rendezvous hashing, so that balancers of the same failure domain
// agree although their views of the agents differ a little. Agents that don't accept flows but rank before
// the last one that does are included, since they may have accepted flows earlier.
func (p *Placer) candidates(key lentilflow.Key, service string) []lentilflow.Endpoint {
	members := p.agentsOfService(service)
	if len(members) <= allCandidatesLimit {
		return members
	}
	type rankedAgent struct {
		addr lentilflow.Endpoint
		hash uint64
	}
	ranking := make([]rankedAgent, 0, len(members))
	for _, addr := range members {
		ranking = append(ranking, rankedAgent{addr: addr, hash: lentilflow.NewKey(key.Client(), addr).Hash()})
	}
	slices.SortFunc(ranking, func(a, b rankedAgent) int { return cmp.Compare(b.hash, a.hash) })
	var chosen []lentilflow.Endpoint
	sameDomain, otherDomains := 0, 0
	for _, r := range ranking {
		a := p.agents[r.addr]
		count, limit := &otherDomains, otherDomainCandidates
		if a.status.Domain == p.Domain {
			count, limit = &sameDomain, sameDomainCandidates
		}
		if *count >= limit {
			continue
		}
		chosen = append(chosen, r.addr)
		if p.acceptsFlows(a) {
			*count++
		}
	}
	return chosen
}

// preferredAgents returns the agents that are most likely to hold a flow: its candidates by the current
// configuration and by earlier ones.
func (p *Placer) preferredAgents(key lentilflow.Key) (addresses []lentilflow.Endpoint) {
	address := key.Service()
	for _, b := range p.configuration.Backends(address) {
		addresses = append(addresses, p.candidates(key, b.Service)...)
	}
	for _, service := range p.previousServices[address] {
		addresses = append(addresses, p.candidates(key, service)...)
	}
	return addresses
}

// AgentAddresses returns the addresses of all known agents.
func (p *Placer) AgentAddresses() []lentilflow.Endpoint { return p.sortedAddresses() }
