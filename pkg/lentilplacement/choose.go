package lentilplacement

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// choice is the agent that is chosen for a new flow, and the service of the route that it is chosen for. The zero choice has no
// agent.
type choice struct {
	addr    lentilflow.Endpoint
	agent   *agent
	service string
}

// totalWeight returns the sum of the backends' weights.
func totalWeight(backends []lentilflow.Backend) (total int) {
	for _, b := range backends {
		total += b.Weight
	}
	return total
}

// getsFlows reports whether a backend of a route whose weights add up to total gets new flows.
func getsFlows(b lentilflow.Backend, total int) bool { return b.Weight > 0 || total == 0 }

// chooseAgent returns the agent where a new flow is expected to wait least, if there is one. It draws one of the
// address's services by weight, and takes another one if no agent of that service accepts flows.
func (p *Placer) chooseAgent(now time.Time, key lentilflow.Key, backends []lentilflow.Backend, tried []lentilflow.Endpoint) (chosen choice) {
	total := totalWeight(backends)
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
		if !getsFlows(b, total) {
			continue
		}
		if addr, a := p.cheapestAgent(now, key, b.Service, tried); a != nil {
			return choice{addr: addr, agent: a, service: b.Service}
		}
	}
	return chosen
}

// cheapestAgent returns the agent with the lowest cost among the key's candidates, or draws one by expected time. If none of them accepts
// flows, it returns the cheapest of all agents of the service, or nil. Agents in tried are skipped.
func (p *Placer) cheapestAgent(now time.Time, key lentilflow.Key, service string, tried []lentilflow.Endpoint) (addr lentilflow.Endpoint, a *agent) {
	for _, addresses := range [][]lentilflow.Endpoint{p.candidates(key, service), p.agentsOfService(service)} {
		if p.ChooseBy == ByExpectedWait {
			if addr, a = p.drawAgent(now, addresses, tried); a != nil {
				return addr, a
			}
		}
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
	return a.seen() && !s.Stopping && !s.Out && !p.out[s.Domain] && s.Phase == lentilflow.Ready
}

// Additions to the cost of an agent, in open flows per slot.
const (
	// otherDomainCost makes agents of the balancer's own failure domain preferred when loads are about equal.
	otherDomainCost = 0.3
	// coldCost compensates for a cold upstream being some 1.6 times slower, at the usual handful of flows
	// per slot.
	coldCost = 2
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
	return (float64(load.Flows)+float64(load.InFlight)+float64(a.flowsSent))/float64(max(load.Slots, 1)) + p.penalty(now, a)
}

// penalty returns what is added to the cost of an agent for other reasons than its load.
func (p *Placer) penalty(now time.Time, a *agent) (cost float64) {
	if a.status.Domain != p.Domain {
		cost += otherDomainCost
	}
	if a.status.Cold {
		cost += coldCost
	}
	if now.Sub(a.failingAt) < failingFor {
		cost += failingCost
	}
	if a.suspected || a.unresponsive(now) {
		cost += unresponsiveCost
	}
	return cost
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
	sameDomain, otherDomains := 0, 0
	return p.chooseRanked(key, members, func(a *agent) (count *int, limit int) {
		if a.status.Domain == p.Domain {
			return &sameDomain, sameDomainCandidates
		}
		return &otherDomains, otherDomainCandidates
	})
}

// candidatesOfAll returns the agents of a service that are candidates for a flow in the view of any balancer. A candidate of
// balancers in other failure domains ranks among the first of its own domain too.
func (p *Placer) candidatesOfAll(key lentilflow.Key, service string) []lentilflow.Endpoint {
	members := p.agentsOfService(service)
	if len(members) <= allCandidatesLimit {
		return members
	}
	counts := make(map[string]*int)
	return p.chooseRanked(key, members, func(a *agent) (count *int, limit int) {
		if counts[a.status.Domain] == nil {
			counts[a.status.Domain] = new(int)
		}
		return counts[a.status.Domain], max(sameDomainCandidates, otherDomainCandidates)
	})
}

// chooseRanked returns the members that rank first for a flow in their groups: as many as accept flows up to the limit of the
// group, and those before the last of them.
func (p *Placer) chooseRanked(key lentilflow.Key, members []lentilflow.Endpoint, group func(a *agent) (count *int, limit int)) (chosen []lentilflow.Endpoint) {
	type rankedAgent struct {
		addr lentilflow.Endpoint
		hash uint64
	}
	ranking := make([]rankedAgent, 0, len(members))
	for _, addr := range members {
		ranking = append(ranking, rankedAgent{addr: addr, hash: lentilflow.NewKey(key.Client(), addr).Hash()})
	}
	slices.SortFunc(ranking, func(a, b rankedAgent) int { return cmp.Compare(b.hash, a.hash) })
	for _, r := range ranking {
		a := p.agents[r.addr]
		count, limit := group(a)
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
	return p.agentsOfAddress(key, p.candidates)
}

// likelyHolders returns the agents that any balancer can have chosen for a flow.
func (p *Placer) likelyHolders(key lentilflow.Key) (addresses []lentilflow.Endpoint) {
	return p.agentsOfAddress(key, p.candidatesOfAll)
}

// agentsOfAddress returns those agents that of returns for each service that the flow's address has or had.
func (p *Placer) agentsOfAddress(key lentilflow.Key, of func(key lentilflow.Key, service string) []lentilflow.Endpoint) (addresses []lentilflow.Endpoint) {
	address := key.Service()
	for _, b := range p.configuration.Backends(address) {
		addresses = append(addresses, of(key, b.Service)...)
	}
	for _, service := range p.previousServices[address] {
		addresses = append(addresses, of(key, service)...)
	}
	return addresses
}
