package lentilplacement

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// agent is what the balancer knows of an agent.
type agent struct {
	status  lentilflow.Status
	heardAt time.Time
	// since is when it was heard again after it had been silent.
	since   time.Time
	metAt   time.Time
	askedAt time.Time
	// sent counts the flows sent there since it last told its load.
	sent int
	// doubted is set while it owes an answer, until it is heard again.
	doubted bool
	// told is set while it has been logged as silent.
	told bool
}

func (a *agent) heard() bool { return !a.heardAt.IsZero() }

// silent reports whether the agent has missed statuses in a row.
func (a *agent) silent(now time.Time) bool {
	return now.Sub(a.heardAt) > silentIntervals*max(a.status.Interval, minInterval)
}

// left reports whether the agent ends, or has ended, after its upstream: nothing can live there.
func (a *agent) left() bool { return a.status.Stopping && a.status.UpstreamEnded }

// Meet makes an agent known that may exist, so that it is asked for its status. One that is stopping was
// asked to end when it was last heard of, and mostly comes back.
func (p *Placer) Meet(node lentilflow.Node, service string, stopping bool, actions []Action) []Action {
	if p.agents[node.Address] != nil {
		return actions
	}
	now := p.now()
	p.add(node.Address, &agent{
		status: lentilflow.Status{Name: node.Name, Domain: node.Domain, Service: service, Stopping: stopping},
		metAt:  now, askedAt: now,
	})
	return append(actions, Action{Verb: SendHello, To: node.Address})
}

func (p *Placer) add(end lentilflow.Endpoint, a *agent) {
	if p.agents == nil {
		p.agents = make(map[lentilflow.Endpoint]*agent)
	}
	p.agents[end] = a
	p.services = nil
}

// Agents returns how many agents are known, and how many of them were heard lately.
func (p *Placer) Agents() (known, heard int) {
	now := p.now()
	for _, a := range p.agents {
		known++
		if a.heard() && !a.silent(now) {
			heard++
		}
	}
	return known, heard
}

// Status takes what an agent says of itself.
func (p *Placer) Status(from lentilflow.Endpoint, m lentilflow.Status, actions []Action) []Action {
	a := p.agents[from]
	if a == nil {
		a = &agent{metAt: p.now()}
		p.add(from, a)
	}
	former := a.status
	if m.RunID == former.RunID && m.Sequence <= former.Sequence {
		return actions
	}
	first := !a.heard() || a.told
	if !a.heard() || a.silent(p.now()) {
		a.since = p.now()
	}
	a.status, a.heardAt, a.sent, a.doubted, a.told = m, p.now(), 0, false, false
	if former.Service != m.Service || former.Domain != m.Domain {
		p.services = nil
	}
	changed := former.RunID != m.RunID || former.Phase != m.Phase || former.Out != m.Out || former.Stopping != m.Stopping || former.Cold != m.Cold
	switch {
	case first:
		return append(actions, Action{Verb: NoteAgent, Cause: AgentHeard, To: from, Phase: m.Phase, Load: m.Load})
	case changed:
		return append(actions, Action{Verb: NoteAgent, Cause: AgentChanged, To: from, Phase: m.Phase, Load: m.Load})
	}
	return actions
}

// isGone reports whether an agent that is silent has ended with its upstream. If most other agents of
// its failure domain are heard, no cut between failure domains hides it. An agent that was asked to
// stop comes back, and its upstream may be there all the time.
func (p *Placer) isGone(now time.Time, a *agent) bool {
	since := a.heardAt
	if since.Before(a.metAt) {
		since = a.metAt
	}
	if now.Sub(since) < goneLimit || a.status.Stopping && now.Sub(since) < forgetLimit {
		return false
	}
	others, heard := 0, 0
	for _, o := range p.agents {
		switch {
		case o == a || o.status.Domain != a.status.Domain:
		case o.heard() && !o.silent(now) && now.Sub(o.since) >= goneLimit:
			others++
			heard++
		case now.Sub(o.heardAt) < forgetLimit || now.Sub(o.metAt) < forgetLimit:
			others++
		}
	}
	return heard > 0 && heard*2 >= others
}

// Forget forgets agents that have been gone for long, and returns their names.
func (p *Placer) Forget() (names []string) {
	now := p.now()
	for end, a := range p.agents {
		if now.Sub(a.heardAt) > forgetLimit && now.Sub(a.metAt) > forgetLimit && p.isGone(now, a) {
			names = append(names, a.status.Name)
			delete(p.agents, end)
			p.services = nil
		}
	}
	return names
}

// load takes an agent's load, which is fresher than its status.
func (p *Placer) load(from lentilflow.Endpoint, load lentilflow.Load) {
	if a := p.agents[from]; a != nil {
		a.status.Load, a.sent, a.doubted, a.heardAt = load, 0, false, p.now()
	}
}

// refused takes an agent's reason for refusing a flow, which tells more than its last status.
func (p *Placer) refused(now time.Time, from lentilflow.Endpoint, m lentilflow.Refused) {
	a := p.agents[from]
	if a == nil {
		return
	}
	a.status.Load, a.sent, a.doubted, a.heardAt = m.Load, 0, false, now
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

// order returns the agents in an order that is the same in each run of a test.
func (p *Placer) order() []lentilflow.Endpoint {
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

// choose returns the agent where a new flow is expected to wait least. A service is drawn by
// weight; another one of the address serves if it has no agent.
func (p *Placer) choose(now time.Time, key lentilflow.Key, backends []lentilflow.Backend, tried []lentilflow.Endpoint) (end lentilflow.Endpoint, a *agent) {
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
		if end, a = p.least(now, key, b.Service, tried); a != nil {
			return end, a
		}
	}
	return end, nil
}

// least returns the agent with the lowest cost of the few that the key picks, or else of all.
func (p *Placer) least(now time.Time, key lentilflow.Key, service string, tried []lentilflow.Endpoint) (end lentilflow.Endpoint, a *agent) {
	for _, ends := range [][]lentilflow.Endpoint{p.candidates(key, service), p.members(service)} {
		best := 0.0
		start := int(p.random() * float64(len(ends)))
		for i := range ends {
			e := ends[(start+i)%len(ends)]
			candidate := p.agents[e]
			if slices.Contains(tried, e) || !p.usable(candidate) {
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

// usable reports whether the agent may have a new flow, as far as the balancer knows.
func (p *Placer) usable(a *agent) bool {
	s := a.status
	return a.heard() && !s.Stopping && !s.Out && !p.out[s.Domain] && (s.Phase == lentilflow.Ready || s.Phase == lentilflow.Unheard)
}

// Weights of the cost of an agent, in open flows per slot.
const (
	// farCost prefers the own failure domain when agents are about equally loaded.
	farCost = 0.3
	// coldCost makes up for a cold upstream's slowness, some 1.6 times, at the usual handful of flows a slot.
	coldCost = 2
	// unheardCost puts upstreams last that have told their agent nothing yet.
	unheardCost = 1e3
	// silentCost puts agents last that don't answer.
	silentCost = 1e6
)

func (p *Placer) cost(now time.Time, a *agent) (cost float64) {
	load := a.status.Load
	cost = (float64(load.Flows) + float64(load.InFlight) + float64(a.sent)) / float64(max(load.Slots, 1))
	if a.status.Domain != p.Domain {
		cost += farCost
	}
	if a.status.Cold {
		cost += coldCost
	}
	if a.status.Phase == lentilflow.Unheard {
		cost += unheardCost
	}
	if a.doubted || a.silent(now) {
		cost += silentCost
	}
	return cost
}

// tickAgents asks agents for their status that aren't heard, and notes who has gone silent.
func (p *Placer) tickAgents(now time.Time, actions []Action) []Action {
	if gap := now.Sub(p.ticked); !p.ticked.IsZero() && gap > pauseLimit {
		// This process stood still, and what it was told meanwhile waits to be read.
		for _, a := range p.agents {
			if a.heard() {
				a.heardAt, a.since = a.heardAt.Add(gap), a.since.Add(gap)
			}
			a.metAt = a.metAt.Add(gap)
		}
	}
	p.ticked = now
	for end, a := range p.agents {
		silent := a.silent(now)
		if silent && a.heard() && !a.told {
			a.told = true
			actions = append(actions, Action{Verb: NoteAgent, Cause: AgentSilent, To: end, Phase: a.status.Phase, Age: now.Sub(a.heardAt).Milliseconds()})
		}
		interval := greetInterval
		if silent && (now.Sub(a.heardAt) <= lostLimit || now.Sub(a.metAt) <= lostLimit) {
			interval = helloInterval
		}
		if now.Sub(a.askedAt) >= interval {
			a.askedAt = now
			actions = append(actions, Action{Verb: SendHello, To: end})
		}
	}
	return actions
}

// members returns the agents of a service in a fixed order.
func (p *Placer) members(service string) []lentilflow.Endpoint {
	if p.services == nil {
		p.services = make(map[string][]lentilflow.Endpoint)
		for _, end := range p.order() {
			s := p.agents[end].status.Service
			p.services[s] = append(p.services[s], end)
		}
	}
	return p.services[service]
}

const (
	// smallFleet is up to how many agents all get a packet of a flow that isn't known.
	smallFleet = 24
	// fewAgents is up to how many agents of a service all are candidates for a flow.
	fewAgents = 12
	// nearCandidates and farCandidates are how many usable agents in the balancer's own failure domain and
	// in others are candidates otherwise: with the best of several, hardly more is lost than with the best of all.
	nearCandidates = 3
	farCandidates  = 3
)

// candidates returns the agents of a service among which one is chosen for a flow, and at which it is
// sought: by rendezvous hashing, so that balancers of a failure domain agree although their views differ
// a little. Agents that rank before the last usable one are among them, since they may have been usable.
func (p *Placer) candidates(key lentilflow.Key, service string) []lentilflow.Endpoint {
	members := p.members(service)
	if len(members) <= fewAgents {
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
		count, limit := &far, farCandidates
		if a.status.Domain == p.Domain {
			count, limit = &near, nearCandidates
		}
		if *count >= limit {
			continue
		}
		chosen = append(chosen, r.end)
		if p.usable(a) {
			*count++
		}
	}
	return chosen
}

// likely returns the agents that a flow would have got by the present configuration or an earlier one.
func (p *Placer) likely(key lentilflow.Key) (ends []lentilflow.Endpoint) {
	if len(p.agents) <= smallFleet {
		return p.order()
	}
	address := key.Service()
	for _, b := range p.configuration.Backends(address) {
		ends = append(ends, p.candidates(key, b.Service)...)
	}
	for _, service := range p.former[address] {
		ends = append(ends, p.candidates(key, service)...)
	}
	return ends
}

// Ends returns the addresses of all agents that are known.
func (p *Placer) Ends() []lentilflow.Endpoint { return p.order() }
