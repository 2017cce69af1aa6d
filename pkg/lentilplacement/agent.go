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
	// askedAt is when the agent was first asked something that it hasn't answered yet; zero if it owes no answer.
	askedAt time.Time
	// steadySince is since when no two messages of the agent were more than answerTimeout apart.
	steadySince time.Time
	// responsiveSince is when the agent was first seen, or seen again after it was unresponsive.
	responsiveSince time.Time
	addedAt         time.Time
	// listedRun is the run that the list of agents names, if the agent was added from it.
	listedRun uint64
	// supersededRun is the run of the agent, or of another one at its address, before the present one.
	supersededRun uint64
	// runSeenAt is when the first status of the agent's run arrived.
	runSeenAt time.Time
	// helloAt is when the agent was last asked for its status.
	helloAt time.Time
	// machineSeenAt is when the agent's machine last answered a connection attempt, and probedAt the time of the last
	// attempt.
	machineSeenAt, probedAt time.Time
	// flowsSent counts the flows sent to the agent since it last reported its load.
	flowsSent int
	// loadAt is when the agent last reported its load.
	loadAt time.Time
	// full is set if the agent then refused a flow because its upstream had no free slot.
	full bool
	// work is the expected work of the flows sent to the agent, in requests, as of workAt.
	work   float64
	workAt time.Time
	// suspected is set when a flow is offered to another agent since this one hasn't answered, until it is seen again.
	suspected bool
	// failingAt is when the agent last refused a flow because its upstream fails.
	failingAt time.Time
	// unresponsiveLogged is set once AgentSilent was reported, until the agent's next status.
	unresponsiveLogged bool
}

func (a *agent) seen() bool { return !a.lastSeen.IsZero() }

// holdsNoFlows reports whether the agent is stopping, or has stopped, after its upstream ended:
// no flow can be left with it.
func (a *agent) holdsNoFlows() bool { return a.status.Stopping && a.status.UpstreamEnded }

// Peer is an agent as the list of agents names it.
type Peer struct {
	Node    lentilflow.Node
	Service string
	// Stopping means that the agent's last known state was a requested stop, after which agents usually come back.
	Stopping bool
	// RunID identifies the run of the agent; zero if it isn't known.
	RunID uint64
}

// AddPeer adds an agent that may exist, and asks it for its status.
func (p *Placer) AddPeer(peer Peer, actions []Action) []Action {
	if p.agents[peer.Node.Address] != nil {
		return actions
	}
	now := p.now()
	p.putAgent(peer.Node.Address, &agent{
		status:  lentilflow.Status{Name: peer.Node.Name, Domain: peer.Node.Domain, Service: peer.Service, Stopping: peer.Stopping},
		addedAt: now, helloAt: now, listedRun: peer.RunID,
	})
	return append(actions, Action{Kind: SendHello, To: peer.Node.Address})
}

// KnowsAgent reports whether there is an agent of the given name.
func (p *Placer) KnowsAgent(name string) bool {
	for _, a := range p.agents {
		if a.status.Name == name {
			return true
		}
	}
	return false
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

// serviceOf returns the service that an agent has reported last.
func (p *Placer) serviceOf(addr lentilflow.Endpoint) string {
	if a := p.agents[addr]; a != nil {
		return a.status.Service
	}
	return ""
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

// lateStatusLimit is how late a status may arrive. It is far more than a way between failure domains takes.
const lateStatusLimit = time.Second

// superseded reports whether a status is a late one of an earlier run. Runs have no order, so a late status may also seem to begin a run.
// The run before the present one is therefore ignored only for as long as its statuses may be late, and so is any that has begun with a
// stop: no run stops as it starts.
func (a *agent) superseded(now time.Time, m lentilflow.Status) bool {
	return m.RunID != a.status.RunID && (m.RunID == a.supersededRun || m.Stopping) && now.Sub(a.runSeenAt) < lateStatusLimit
}

// HandleStatus updates the state of an agent from its status. A status that isn't newer than the
// last one of the same run, or that is a late one of the run before, is ignored.
func (p *Placer) HandleStatus(from lentilflow.Endpoint, m lentilflow.Status, actions []Action) []Action {
	a := p.agents[from]
	if a == nil {
		a = &agent{addedAt: p.now()}
		p.putAgent(from, a)
	}
	previous := a.status
	if m.RunID == previous.RunID && m.Sequence <= previous.Sequence || a.superseded(p.now(), m) {
		return actions
	}
	p.recordRelay(m.ConfiguredBalancer)
	appeared := !a.seen() || a.unresponsiveLogged
	p.heldPlacementsDue = true
	a.recordHeard(p.now())
	a.recordLoad(a.lastSeen, m.Load, false)
	if previous.RunID != m.RunID {
		a.runSeenAt, a.supersededRun = a.lastSeen, previous.RunID
	}
	a.status, a.unresponsiveLogged = m, false
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
	case replaces(m, previous):
		return append(actions, Action{
			Kind: ReportAgent, Cause: AgentReplaced, To: from, Phase: m.Phase, Load: m.Load, PreviousName: previous.Name, PreviousService: previous.Service,
		})
	case appeared:
		return append(actions, Action{Kind: ReportAgent, Cause: AgentHeard, To: from, Phase: m.Phase, Load: m.Load})
	case changed:
		return append(actions, Action{Kind: ReportAgent, Cause: AgentChanged, To: from, Phase: m.Phase, Load: m.Load})
	}
	return actions
}

// replaces reports whether the status m is from another agent than the previous one at the same address, or for another service.
func replaces(m, previous lentilflow.Status) bool {
	return previous.Name != "" && m.Name != previous.Name || previous.Service != "" && m.Service != previous.Service
}

// LastStatus returns the last status of an agent, updated by its later answers, and the time since it was last seen. For an agent
// that is only listed, the status has no run ID, and age is zero. ok is false if no agent is known at the address.
func (p *Placer) LastStatus(addr lentilflow.Endpoint) (status lentilflow.Status, age time.Duration, ok bool) {
	a := p.agents[addr]
	if a == nil {
		return status, 0, false
	}
	if a.seen() {
		age = p.now().Sub(a.lastSeen)
	}
	return a.status, age, true
}

// ExpireAgents removes agents that have been gone for longer than expireAfter, and returns those whose names no other agent has.
func (p *Placer) ExpireAgents() (gone []Peer) {
	now := p.now()
	for addr, a := range p.agents {
		if now.Sub(a.lastSeen) > expireAfter && now.Sub(a.addedAt) > expireAfter && p.isGone(now, a) {
			node := lentilflow.Node{Name: a.status.Name, Domain: a.status.Domain, Address: addr}
			gone = append(gone, Peer{Node: node, Service: a.status.Service, Stopping: a.status.Stopping, RunID: cmp.Or(a.status.RunID, a.listedRun)})
			delete(p.agents, addr)
			p.agentsByService = nil
		}
	}
	return slices.DeleteFunc(gone, func(g Peer) bool { return p.KnowsAgent(g.Node.Name) })
}

// StopArbiter returns the agent that a balancer of the placer's failure domain asks whether it may stop. Balancers with the
// same view choose the same one; a higher number chooses another one. ok is false if no agent responds.
func (p *Placer) StopArbiter(number int) (arbiter lentilflow.Endpoint, ok bool) {
	now := p.now()
	var near, all []lentilflow.Endpoint
	for _, addr := range p.sortedAddresses() {
		a := p.agents[addr]
		if !a.seen() || a.unresponsive(now) || a.status.Stopping {
			continue
		}
		all = append(all, addr)
		if a.status.Domain == p.Domain {
			near = append(near, addr)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return arbiter, false
	}
	return near[number%len(near)], true
}

// updateLoad records the load that came with an agent's answer, which is newer than its last status.
func (p *Placer) updateLoad(from lentilflow.Endpoint, load lentilflow.Load) {
	if a := p.agents[from]; a != nil {
		a.recordHeard(p.now())
		a.recordLoad(a.lastSeen, load, false)
	}
}

// applyRefusal updates the state of an agent from its refusal of a flow, which is newer than its last status.
func (p *Placer) applyRefusal(now time.Time, from lentilflow.Endpoint, m lentilflow.Refused) {
	a := p.agents[from]
	if a == nil {
		return
	}
	a.recordHeard(now)
	a.recordLoad(now, m.Load, m.Reason == lentilflow.UpstreamBusy || m.Reason == lentilflow.UpstreamFull || m.Reason == lentilflow.UpstreamOverloaded)
	a.recordReturned(now)
	switch m.Reason {
	case lentilflow.DomainOut:
		a.status.Out = true
	case lentilflow.UpstreamDraining:
		a.status.Phase = lentilflow.Draining
	case lentilflow.NoUpstream:
		if a.status.Phase != lentilflow.Unheard {
			a.status.Phase = lentilflow.Gone
		}
	case lentilflow.Stopping:
		a.status.Stopping = true
	case lentilflow.UpstreamFailing:
		a.failingAt = now
	case lentilflow.OtherService:
		// Its current service is unknown until its next status.
		a.status.Phase = lentilflow.Gone
	}
}

// recordLoad records a load that the agent has reported. full is set if it refused a flow because its upstream had no
// free slot.
func (a *agent) recordLoad(now time.Time, load lentilflow.Load, full bool) {
	a.status.Load, a.flowsSent, a.loadAt, a.full = load, 0, now, full
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

// AgentAddresses returns the addresses of all known agents.
func (p *Placer) AgentAddresses() []lentilflow.Endpoint { return p.sortedAddresses() }
