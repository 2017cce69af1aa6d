// Package lentilplacement decides what a balancer does with the packets of flows that don't identify
// their upstream: which agent gets a new flow, and how the agent that holds an open flow is found again.
//
// A new flow goes to the least loaded of a few candidate agents of its service, or to one drawn by the time that a request is
// expected to take there (ByExpectedWait). The candidates follow from
// the flow's key. A balancer caches which agent holds a flow. If the cache has no entry, because it expired
// or because another balancer placed the flow, the balancer asks the candidates, and then all agents.
// Agents know exactly which flows they hold, and only the one that holds a flow forwards its packets.
// Correctness therefore depends neither on the cache, nor on two balancers agreeing, nor on which agent
// was chosen.
//
// The package is designed for flows that last for minutes on copies with 2 to 4 slots, where one flow more
// or less decides whether requests wait, and for some hundred packets a second on a tenth of a core.
package lentilplacement

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilbudget"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// placeTimeout is how long an agent may take to answer that it took a flow. It exceeds the tenth of a
	// second for which a process with a CPU quota may be paused.
	placeTimeout = 120 * time.Millisecond
	// unresponsiveIntervals is the number of status intervals without a message after which an agent counts
	// as unresponsive: one datagram may be lost, and the next one late.
	unresponsiveIntervals = 3
	// minStatusInterval is the status interval assumed for an agent that hasn't announced it, and the lower
	// bound for announced ones.
	minStatusInterval = 500 * time.Millisecond
	// pauseThreshold is the gap between ticks above which the balancer itself is taken to have been paused.
	pauseThreshold = 300 * time.Millisecond
	// goneAfter is how long an agent must be unresponsive, while its failure domain responds, to count as
	// gone. It is longer than the restart of a process takes.
	goneAfter = 2500 * time.Millisecond
	// expireAfter is how long an agent must be gone before it is forgotten and its entry removed. It is
	// longer than VMs are usually cut off or without power.
	expireAfter = 15 * time.Second
	// denialTTL is how long an agent's denial of a flow counts. A denial stays true, since a flow never
	// moves. The value is twice the longest deadline of the users' requests, 4 s.
	denialTTL = 8 * time.Second
	// askRetryInterval is the time after which agents that haven't answered are asked again, since they may
	// be new, or a datagram may have been lost. It is the status interval, by which new agents are detected.
	askRetryInterval = 500 * time.Millisecond
	// askAgainFor is how long after a lookup has begun agents are asked again without another packet of the client.
	askAgainFor = 2 * time.Second
	// askAllLimit is the number of agents up to which all are asked for a flow that isn't found at its
	// preferred agents. With more agents its likely holders are asked. If none of them holds it, it gets no answer.
	askAllLimit = 256
	// maxLikelyHolders is the usual number of likely holders at the size that the product is designed for: three in each of
	// 15 failure domains. maxLikelyBatch is for how many flows they are asked at a time; they differ from flow to flow.
	maxLikelyHolders = 45
	maxLikelyBatch   = 16
	// asksPerSecond bounds the rate of Ask datagrams. Each takes some 10 us of CPU time. A process may have only
	// a twentieth of a core, and all Asks together take a fifth of that.
	asksPerSecond = 1000
	asksBurst     = 4000
	// askBatchDelay is how long keys are collected for the next Ask after one was sent: a quarter of the
	// clients' retransmission timeout.
	askBatchDelay = 50 * time.Millisecond
	// maxAskQueue bounds the number of flows for which all agents have still to be asked: 12 KB.
	maxAskQueue = 1024
	// maxUnsureAgents bounds how many agents get a packet of a flow at a time because they can't decide without one.
	maxUnsureAgents = 8
	// maxHeldPackets bounds the number of packets held until their flow is found: 300 KB in all.
	maxHeldPackets = 256
	// maxTries bounds how many agents are asked to take one flow.
	maxTries = 8
	// maxBusyTries is how many agents without a free slot may refuse a flow before it is sent to the least
	// loaded of its candidates to wait there. The refusals bring the balancer up to date about their load.
	// Each of them costs a round trip, and a third one hardly finds a better agent.
	maxBusyTries = 2
	// maxFullRefusals is how many agents may refuse a flow that would wait too long there. These are the least
	// loaded candidates, so the other agents are hardly better.
	maxFullRefusals = 3
	// probeInterval is the interval between the probes of an unresponsive agent's machine. It leaves two probes before
	// the agent counts as gone.
	probeInterval = time.Second
	// probesPerSecond bounds the probes of all machines. Each takes some 50 us of CPU time.
	probesPerSecond = 100
	// helloRetryInterval is the interval between Hellos to an unresponsive agent.
	helloRetryInterval = 500 * time.Millisecond
	// helloRetryPeriod is how long after it was last seen or added an unresponsive agent gets Hellos at
	// helloRetryInterval. After that keepaliveInterval applies to it as to responsive ones.
	helloRetryPeriod = 10 * time.Second
	// keepaliveInterval is the interval between Hellos to every agent, which show it that the balancer runs.
	keepaliveInterval = 5 * time.Second
)

// Placer makes the decisions of one balancer. Set the exported fields before the first use. It is not
// safe for concurrent use.
type Placer struct {
	// Clock is the source of time; nil is the machine's clock.
	Clock lentilclock.Clock
	// Codec parses the packets.
	Codec lentilflow.Codec
	// Random returns uniformly distributed numbers in [0, 1). If nil, the first of equal agents is taken.
	Random func() float64
	// Domain is the balancer's own failure domain, preferred among equally loaded agents.
	Domain string
	// ChooseBy is what agents are compared by for a new flow.
	ChooseBy Criterion
	// MaxFlows bounds the number of cached flows; zero is lentilflow.DefaultMaxFlows.
	MaxFlows int
	// LinkBytesPerSecond is the rate of the balancer's link. Copies of clients' packets, which lookups and second offers
	// send, then take at most a tenth of it. Zero means that they are not limited.
	LinkBytesPerSecond int

	configuration lentilflow.Configuration
	// previousServices has the services that an address had in earlier configurations and lost. Their
	// agents may still hold flows of the address.
	previousServices map[lentilflow.Endpoint][]string
	// out has the failure domains out of service.
	out    map[string]bool
	agents map[lentilflow.Endpoint]*agent
	// agentsByService has the agents of each service in a fixed order; nil if it has to be rebuilt.
	agentsByService map[string][]lentilflow.Endpoint
	askBudget       lentilbudget.Bucket
	probeBudget     lentilbudget.Bucket
	// witnessOffset is the share of the agents, in the order of their addresses, after which witnesses are chosen. Zero means that it
	// hasn't been drawn yet.
	witnessOffset float64
	// askQueue has the flows for which all agents have still to be asked.
	askQueue []lentilflow.Key
	// lastAskAt is when Asks were last sent.
	lastAskAt time.Time
	// heldPackets is the number of flows with a heldPacket.
	heldPackets int
	// estimates is reused by every choice by expected wait.
	estimates []estimate
	flows     lentilflow.Table[flow]
	// pendingPlacements has the new flows whose agent hasn't answered yet.
	pendingPlacements map[lentilflow.Key]*flow
	// heldPlacements has the new flows for which no agent is known yet. heldPlacementsDue is set when one may have
	// become known.
	heldPlacements    map[lentilflow.Key]*flow
	heldPlacementsDue bool
	// lookups has the flows that are being looked up.
	lookups map[lentilflow.Key]*flow
	// goneAgents is the number of agents that held no flows or were gone when lookups was last checked.
	goneAgents int
	// agentsComplete is set by SetAgentsComplete.
	agentsComplete bool
	lastTick       time.Time
	// relays has the balancers that have a configuration, with the time when an agent last named them.
	relays map[lentilflow.Endpoint]time.Time
	// copyBudget limits the copies of clients' packets if LinkBytesPerSecond is set.
	copyBudget lentilbudget.Bucket
	buffer     buffer
	// preferredAskQueue has the flows for which their most likely agents have still to be asked by key, and
	// lastPreferredAskAt is when such Asks were last sent.
	preferredAskQueue  []lentilflow.Key
	lastPreferredAskAt time.Time
	preferredAskBudget lentilbudget.Bucket
	// smoothedRTT is the smoothed time that agents take to answer an offer.
	smoothedRTT time.Duration
	hedger      hedger
}

// Configure puts a configuration in force if it is newer than the current one, and reports whether it did.
func (p *Placer) Configure(configuration lentilflow.Configuration) (changed bool) {
	if configuration.Version() <= p.configuration.Version() {
		return false
	}
	p.recordPreviousServices(configuration)
	p.configuration, p.heldPlacementsDue = configuration, true
	return true
}

// recordPreviousServices records the services that addresses lose with the next configuration.
func (p *Placer) recordPreviousServices(next lentilflow.Configuration) {
	for address, backends := range p.configuration.All() {
		for _, b := range backends {
			stillServed := slices.ContainsFunc(next.Backends(address), func(other lentilflow.Backend) bool { return other.Service == b.Service })
			if stillServed || slices.Contains(p.previousServices[address], b.Service) {
				continue
			}
			if p.previousServices == nil {
				p.previousServices = make(map[lentilflow.Endpoint][]string)
			}
			p.previousServices[address] = append(p.previousServices[address], b.Service)
		}
	}
}

// Version returns the version of the configuration in force.
func (p *Placer) Version() uint64 { return p.configuration.Version() }

// SetOut sets the failure domains that operators have taken out of service.
func (p *Placer) SetOut(out map[string]bool) { p.out = out }

// DomainOutOf reports whether operators have taken an agent's failure domain out of service. known is false if the
// agent's failure domain isn't known, or if the agent reads that state itself.
func (p *Placer) DomainOutOf(addr lentilflow.Endpoint) (out, known bool) {
	a := p.agents[addr]
	if a == nil || !a.status.UnderstandsTerms {
		return false, false
	}
	return p.out[a.status.Domain], true
}

// SetAgentsComplete records that every agent that existed a moment ago has been added with AddPeer.
// Until then, no flow is reset on the ground that all known agents denied it or that there is no agent to try.
func (p *Placer) SetAgentsComplete() { p.agentsComplete, p.heldPlacementsDue = true, true }

// BufferedBytes returns how many bytes of clients' packets are buffered until their flows are found.
func (p *Placer) BufferedBytes() int { return p.buffer.bytes }

// Flows returns the number of cached flows.
func (p *Placer) Flows() int { return p.flows.Len() }

func (p *Placer) now() time.Time { return lentilclock.OrSystem(p.Clock).Now() }

func (p *Placer) random() float64 {
	if p.Random == nil {
		return 0
	}
	return p.Random()
}

// HandlePacket decides about a packet from a client. The returned actions may refer to data.
func (p *Placer) HandlePacket(data []byte, actions []Action) (result []Action, err error) {
	packet, err := p.Codec.ParseClientPacket(data)
	if err != nil {
		return actions, err
	}
	now := p.now()
	if to, ok := p.relayFor(now, packet.Key); ok {
		return append(actions, Action{Kind: SendRelay, Cause: NoConfiguration, To: to, Key: packet.Key, Carry: lentilflow.Carry{Packet: data}}), nil
	}
	return p.handlePacket(now, packet, data, actions), nil
}

// HandleRelayed decides about a client's packet that another balancer has relayed. Without a configuration, which the
// other one can't know, the packet is dropped.
func (p *Placer) HandleRelayed(m lentilflow.Relay, actions []Action) (result []Action, err error) {
	packet, err := p.Codec.ParseClientPacket(m.Packet)
	switch {
	case err != nil:
		return actions, err
	case p.configuration.Version() == 0:
		return append(actions, Action{Kind: Drop, Cause: NoConfiguration, Key: packet.Key}), nil
	}
	return p.handlePacket(p.now(), packet, m.Packet, actions), nil
}

func (p *Placer) handlePacket(now time.Time, packet lentilflow.Packet, data []byte, actions []Action) []Action {
	p.flows.MaxFlows = p.MaxFlows
	p.flows.IdleTimeout = cmp.Or(p.configuration.IdleTimeout(), lentilflow.DefaultIdleTimeout)
	if packet.OpensFlow() {
		return p.handleFirstPacket(now, packet, data, actions)
	}
	return p.handleLaterPacket(now, packet, data, actions)
}

// handleFirstPacket places a new flow, or forwards a retransmitted first packet.
func (p *Placer) handleFirstPacket(now time.Time, packet lentilflow.Packet, data []byte, actions []Action) []Action {
	key := packet.Key
	f := p.flows.Get(now, key)
	if f == nil || p.opensAnew(now, key, f) {
		earlier := f != nil
		f = &flow{state: statePlacing, firstPacket: slices.Clone(data), since: now.Add(-packet.OpeningAge)}
		if earlier {
			f.recordReuse(now)
		}
		p.flows.Put(now, key, f)
		return p.place(now, key, f, Chosen, actions)
	}
	if p.heldPlacements[key] == f {
		return actions
	}
	if f.state == stateKnown {
		f.recordReuse(now)
		f.since = now.Add(-packet.OpeningAge)
	}
	if f.state == statePlacing && now.Sub(f.sentAt) >= p.offerTimeout() && p.mayOfferAgain(now, f) && !p.awaitsHedge(now, f) {
		return p.place(now, key, f, ChosenAgain, actions)
	}
	to, ok := p.remembered(key, f)
	if !ok || f.state == statePlaced && to.agent.status.Stopping {
		// The answer of a stopping agent's upstream may find nobody to forward it.
		return p.place(now, key, f, ChosenAgain, actions)
	}
	// Retransmissions go to the same agent, since the client may already have its upstream's reply.
	return append(actions, p.placeAction(now, to, key, f, data, Remembered, true))
}

// opensAnew reports whether a first packet with the ends of a cached flow is placed as that of a new flow: its client uses the
// port again, or what is known of the earlier flow can't be used.
func (p *Placer) opensAnew(now time.Time, key lentilflow.Key, f *flow) bool {
	switch f.state {
	case stateLookup:
		return true
	case stateKnown:
		_, ok := p.remembered(key, f)
		return !ok || p.endedWithAgent(now, f.agent)
	}
	return p.heldPlacements[key] != f && now.Sub(f.since) > lentilflow.OpeningPatience
}

// HandleTaken records that an agent holds a flow. If the agent was asked for the flow without a packet,
// it gets the held one.
func (p *Placer) HandleTaken(from lentilflow.Endpoint, m lentilflow.Taken, actions []Action) []Action {
	now := p.now()
	p.updateLoad(from, m.Load)
	f := p.flows.Get(now, m.Key)
	if f == nil {
		if !m.Open {
			return actions
		}
		f = &flow{}
		p.flows.Put(now, m.Key, f)
	}
	p.recordOfferAnswer(now, from, f)
	delete(p.pendingPlacements, m.Key)
	if a := p.agents[from]; a != nil && a.holdsNoFlows() {
		// The status is of an earlier run, and the first one of the present run hasn't arrived.
		a.status.UpstreamEnded = false
	}
	held := p.releaseHeldPacket(f)
	actions = p.recordHedgeTaken(now, from, m, f, actions)
	switch {
	case m.Open:
		if held != nil && !f.askedAllAt.IsZero() {
			actions = append(actions, p.forwardAction(from, m.Key, lentilflow.Owned, held))
		}
		actions = p.releaseBuffered(from, m.Key, f, lentilflow.Owned, actions)
		delete(p.lookups, m.Key)
		*f = flow{
			state: stateKnown, agent: from, service: p.serviceOf(from), confirmed: f.numbersSeen, portReusedAt: f.portReusedAt,
			acknowledged: f.acknowledged, sequence: f.sequence, numbersSeen: f.numbersSeen,
		}
	case f.state == statePlacing:
		if from != f.agent {
			f.service = p.serviceOf(from)
		}
		f.state, f.agent = statePlaced, from
		actions = append(actions, Action{Kind: ReportPlaced, To: from, Key: m.Key, Latency: now.Sub(f.sentAt)})
	}
	return actions
}

// HandleRefused sends the first packet of a flow that an agent refused to the next agent.
func (p *Placer) HandleRefused(from lentilflow.Endpoint, m lentilflow.Refused, actions []Action) (result []Action, err error) {
	packet, err := p.Codec.ParseClientPacket(m.Packet)
	if err != nil {
		return actions, err
	}
	now := p.now()
	p.applyRefusal(now, from, m)
	f := p.flows.Get(now, packet.Key)
	if p.recordHedgeRefusal(now, from, f, m.Reason) {
		return actions, nil
	}
	if f == nil || f.agent != from {
		return actions, nil
	}
	if f.state == stateKnown {
		// The agent no longer holds the flow: its client has closed it and uses the port again.
		f = &flow{state: statePlacing, agent: from, firstPacket: slices.Clone(m.Packet), since: now.Add(-packet.OpeningAge), triedAgents: []lentilflow.Endpoint{from}}
		f.recordReuse(now)
		p.flows.Put(now, packet.Key, f)
	}
	f.lastRefusal = m.Reason
	p.recordOfferAnswer(now, from, f)
	switch m.Reason {
	case lentilflow.UpstreamBusy:
		f.triedAgents = slices.DeleteFunc(f.triedAgents, func(tried lentilflow.Endpoint) bool { return tried == from })
		f.busyAgents = append(f.busyAgents, from)
	case lentilflow.UpstreamFull, lentilflow.UpstreamOverloaded:
		f.fullRefusals++
		f.overloaded = f.overloaded || m.Reason == lentilflow.UpstreamOverloaded
	case lentilflow.UpstreamFailing:
		f.failingSeen = true
	}
	f.possibleHolders = slices.DeleteFunc(f.possibleHolders, func(holder lentilflow.Endpoint) bool { return holder == from })
	return p.handleHoldersChanged(now, packet.Key, f, p.place(now, packet.Key, f, ChosenAgain, actions)), nil
}

// Tick handles timeouts and sends what is due. Call it several times a second.
func (p *Placer) Tick(actions []Action) []Action {
	now := p.now()
	for key, f := range p.pendingPlacements {
		if now.Sub(f.sentAt) >= p.offerTimeout() && p.mayOfferAgain(now, f) {
			if a := p.agents[f.agent]; a != nil {
				a.suspected = true
			}
			if p.awaitsHedge(now, f) {
				continue
			}
			actions = p.place(now, key, f, ChosenAgain, actions)
		}
	}
	actions = p.tickHeldPlacements(now, p.tickBuffer(now, actions))
	return p.tickLookups(now, p.tickAgents(now, p.sendQueuedAsks(now, actions)))
}
