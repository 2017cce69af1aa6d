package lentilplacement

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// agent is what the balancer knows of an agent.
type agent struct {
	status   lentilflow.Status
	lastSeen time.Time
	// responsiveSince is when it was heard again after it had been silent.
	responsiveSince time.Time
	addedAt         time.Time
	helloAt         time.Time
	// flowsSent counts the flows flowsSent there since it last told its load.
	flowsSent int
	// suspected is set while it owes an answer, until it is heard again.
	suspected bool
	// unresponsiveLogged is set while it has been logged as silent.
	unresponsiveLogged bool
}

func (a *agent) seen() bool { return !a.lastSeen.IsZero() }

// unresponsive reports whether the agent has missed statuses in a row.
func (a *agent) unresponsive(now time.Time) bool {
	return now.Sub(a.lastSeen) > unresponsiveIntervals*max(a.status.Interval, minStatusInterval)
}

// holdsNoFlows reports whether the agent ends, or has ended, after its upstream: nothing can live there.
func (a *agent) holdsNoFlows() bool { return a.status.Stopping && a.status.UpstreamEnded }

// AddPeer makes an agent known that may exist, so that it is asked for its status. One that is stopping was
// asked to end when it was last heard of, and mostly comes back.
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

func (p *Placer) putAgent(end lentilflow.Endpoint, a *agent) {
	if p.agents == nil {
		p.agents = make(map[lentilflow.Endpoint]*agent)
	}
	p.agents[end] = a
	p.agentsByService = nil
}

// AgentCounts returns how many agents are known, and how many of them were heard lately.
func (p *Placer) AgentCounts() (known, heard int) {
	now := p.now()
	for _, a := range p.agents {
		known++
		if a.seen() && !a.unresponsive(now) {
			heard++
		}
	}
	return known, heard
}

// HandleStatus takes what an agent says of itself.
func (p *Placer) HandleStatus(from lentilflow.Endpoint, m lentilflow.Status, actions []Action) []Action {
	a := p.agents[from]
	if a == nil {
		a = &agent{addedAt: p.now()}
		p.putAgent(from, a)
	}
	former := a.status
	if m.RunID == former.RunID && m.Sequence <= former.Sequence {
		return actions
	}
	first := !a.seen() || a.unresponsiveLogged
	if !a.seen() || a.unresponsive(p.now()) {
		a.responsiveSince = p.now()
	}
	a.status, a.lastSeen, a.flowsSent, a.suspected, a.unresponsiveLogged = m, p.now(), 0, false, false
	if former.Service != m.Service || former.Domain != m.Domain {
		p.agentsByService = nil
	}
	changed := former.RunID != m.RunID || former.Phase != m.Phase || former.Out != m.Out || former.Stopping != m.Stopping || former.Cold != m.Cold
	switch {
	case first:
		return append(actions, Action{Kind: ReportAgent, Cause: AgentHeard, To: from, Phase: m.Phase, Load: m.Load})
	case changed:
		return append(actions, Action{Kind: ReportAgent, Cause: AgentChanged, To: from, Phase: m.Phase, Load: m.Load})
	}
	return actions
}

// isGone reports whether an agent that is silent has ended with its upstream. If most other agents of
// its failure domain are heard, no cut between failure domains hides it. An agent that was asked to
// stop comes back, and its upstream may be there all the time.
func (p *Placer) isGone(now time.Time, a *agent) bool {
	since := a.lastSeen
	if since.Before(a.addedAt) {
		since = a.addedAt
	}
	if now.Sub(since) < goneAfter || a.status.Stopping && now.Sub(since) < expireAfter {
		return false
	}
	others, heard := 0, 0
	for _, o := range p.agents {
		switch {
		case o == a || o.status.Domain != a.status.Domain:
		case o.seen() && !o.unresponsive(now) && now.Sub(o.responsiveSince) >= goneAfter:
			others++
			heard++
		case now.Sub(o.lastSeen) < expireAfter || now.Sub(o.addedAt) < expireAfter:
			others++
		}
	}
	return heard > 0 && heard*2 >= others
}

// ExpireAgents forgets agents that have been gone for long, and returns their names.
func (p *Placer) ExpireAgents() (names []string) {
	now := p.now()
	for end, a := range p.agents {
		if now.Sub(a.lastSeen) > expireAfter && now.Sub(a.addedAt) > expireAfter && p.isGone(now, a) {
			names = append(names, a.status.Name)
			delete(p.agents, end)
			p.agentsByService = nil
		}
	}
	return names
}

// updateLoad takes an agent's updateLoad, which is fresher than its status.
func (p *Placer) updateLoad(from lentilflow.Endpoint, load lentilflow.Load) {
	if a := p.agents[from]; a != nil {
		a.status.Load, a.flowsSent, a.suspected, a.lastSeen = load, 0, false, p.now()
	}
}

// applyRefusal takes an agent's reason for refusing a flow, which tells more than its last status.
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
	case lentilflow.OtherService:
		// Its next status says which service it has now.
		a.status.Phase = lentilflow.Gone
	}
}

// sortedAddresses returns the agents in an sortedAddresses that is the same in each run of a test.
func (p *Placer) sortedAddresses() []lentilflow.Endpoint {
	ends := make([]lentilflow.Endpoint, 0, len(p.agents))
	for end := range p.agents {
		ends = append(ends, end)
	}
	slices.SortFunc(ends, func(a, b lentilflow.Endpoint) int {
		x, y := a.Address(), b.Address()
		return cmp.Or(slices.Compare(x[:], y[:]), cmp.Compare(a.Port(), b.Port()))
	})
	return ends
}

// chooseAgent returns the agent where a new flow is expected to wait least. A service is drawn by
// weight; another one of the address serves if it has no agent.
func (p *Placer) chooseAgent(now time.Time, key lentilflow.Key, backends []lentilflow.Backend, tried []lentilflow.Endpoint) (end lentilflow.Endpoint, a *agent) {
	total := 0
	for _, b := range backends {
		total += b.Weight
	}
	at := p.random() * float64(total)
	first := 0
	for i, b := range backends {
		if at -= float64(b.Weight); at < 0 {
			first = i
			break
		}
	}
	for i := range backends {
		b := backends[(first+i)%len(backends)]
		if b.Weight == 0 && total > 0 {
			continue
		}
		if end, a = p.cheapestAgent(now, key, b.Service, tried); a != nil {
			return end, a
		}
	}
	return end, nil
}

// cheapestAgent returns the agent with the lowest cost of the few that the key picks, or else of all.
func (p *Placer) cheapestAgent(now time.Time, key lentilflow.Key, service string, tried []lentilflow.Endpoint) (end lentilflow.Endpoint, a *agent) {
	for _, ends := range [][]lentilflow.Endpoint{p.candidates(key, service), p.agentsOfService(service)} {
		best := 0.0
		start := int(p.random() * float64(len(ends)))
		for i := range ends {
			e := ends[(start+i)%len(ends)]
			candidate := p.agents[e]
			if slices.Contains(tried, e) || !p.acceptsFlows(candidate) {
				continue
			}
			if cost := p.cost(now, candidate); a == nil || cost < best {
				end, a, best = e, candidate, cost
			}
		}
		if a != nil {
			return end, a
		}
	}
	return end, nil
}

// acceptsFlows reports whether the agent may have a new flow, as far as the balancer knows.
func (p *Placer) acceptsFlows(a *agent) bool {
	s := a.status
	return a.seen() && !s.Stopping && !s.Out && !p.out[s.Domain] && (s.Phase == lentilflow.Ready || s.Phase == lentilflow.Unheard)
}

// Weights of the cost of an agent, in open flows per slot.
const (
	// otherDomainCost prefers the own failure domain when agents are about equally loaded.
	otherDomainCost = 0.3
	// coldCost makes up for a cold upstream's slowness, some 1.6 times, at the usual handful of flows a slot.
	coldCost = 2
	// unreportedCost puts upstreams last that have told their agent nothing yet.
	unreportedCost = 1e3
	// unresponsiveCost puts agents last that don't answer.
	unresponsiveCost = 1e6
)

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
	if a.suspected || a.unresponsive(now) {
		cost += unresponsiveCost
	}
	return cost
}

// tickAgents asks agents for their status that aren't heard, and notes who has gone silent.
func (p *Placer) tickAgents(now time.Time, actions []Action) []Action {
	if gap := now.Sub(p.lastTick); !p.lastTick.IsZero() && gap > pauseThreshold {
		// This process stood still, and what it was told meanwhile waits to be read.
		for _, a := range p.agents {
			if a.seen() {
				a.lastSeen, a.responsiveSince = a.lastSeen.Add(gap), a.responsiveSince.Add(gap)
			}
			a.addedAt = a.addedAt.Add(gap)
		}
	}
	p.lastTick = now
	for end, a := range p.agents {
		silent := a.unresponsive(now)
		if silent && a.seen() && !a.unresponsiveLogged {
			a.unresponsiveLogged = true
			actions = append(actions, Action{Kind: ReportAgent, Cause: AgentSilent, To: end, Phase: a.status.Phase, AgeMillis: now.Sub(a.lastSeen).Milliseconds()})
		}
		interval := keepaliveInterval
		if silent && (now.Sub(a.lastSeen) <= helloRetryPeriod || now.Sub(a.addedAt) <= helloRetryPeriod) {
			interval = helloRetryInterval
		}
		if now.Sub(a.helloAt) >= interval {
			a.helloAt = now
			actions = append(actions, Action{Kind: SendHello, To: end})
		}
	}
	return actions
}

// agentsOfService returns the agents of a service in a fixed order.
func (p *Placer) agentsOfService(service string) []lentilflow.Endpoint {
	if p.agentsByService == nil {
		p.agentsByService = make(map[string][]lentilflow.Endpoint)
		for _, end := range p.sortedAddresses() {
			s := p.agents[end].status.Service
			p.agentsByService[s] = append(p.agentsByService[s], end)
		}
	}
	return p.agentsByService[service]
}

const (
	// lookUpAllLimit is up to how many agents all get a packet of a flow that isn't known.
	lookUpAllLimit = 24
	// allCandidatesLimit is up to how many agents of a service all are candidates for a flow.
	allCandidatesLimit = 12
	// sameDomainCandidates and farCandidates are how many usable agents in the balancer's own failure domain and
	// in others are candidates otherwise: with the best of several, hardly more is lost than with the best of all.
	sameDomainCandidates  = 3
	otherDomainCandidates = 3
)

// candidates returns the agents of a service among which one is chosen for a flow, and at which it is
// sought: by rendezvous hashing, so that balancers of a failure domain agree although their views differ
// a little. Agents that rank before the last usable one are among them, since they may have been usable.
func (p *Placer) candidates(key lentilflow.Key, service string) []lentilflow.Endpoint {
	members := p.agentsOfService(service)
	if len(members) <= allCandidatesLimit {
		return members
	}
	type ranked struct {
		end  lentilflow.Endpoint
		hash uint64
	}
	ranking := make([]ranked, 0, len(members))
	for _, end := range members {
		ranking = append(ranking, ranked{end: end, hash: lentilflow.NewKey(key.Client(), end).Hash()})
	}
	slices.SortFunc(ranking, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	var chosen []lentilflow.Endpoint
	near, far := 0, 0
	for _, r := range ranking {
		a := p.agents[r.end]
		count, limit := &far, otherDomainCandidates
		if a.status.Domain == p.Domain {
			count, limit = &near, sameDomainCandidates
		}
		if *count >= limit {
			continue
		}
		chosen = append(chosen, r.end)
		if p.acceptsFlows(a) {
			*count++
		}
	}
	return chosen
}

// preferredAgents returns the agents that a flow would have got by the present configuration or an earlier one.
func (p *Placer) preferredAgents(key lentilflow.Key) (ends []lentilflow.Endpoint) {
	if len(p.agents) <= lookUpAllLimit {
		return p.sortedAddresses()
	}
	address := key.Service()
	for _, b := range p.configuration.Backends(address) {
		ends = append(ends, p.candidates(key, b.Service)...)
	}
	for _, service := range p.previousServices[address] {
		ends = append(ends, p.candidates(key, service)...)
	}
	return ends
}

// AgentAddresses returns the addresses of all agents that are known.
func (p *Placer) AgentAddresses() []lentilflow.Endpoint { return p.sortedAddresses() }
