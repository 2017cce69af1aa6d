// Package lentilplacement decides what a balancer does with the packets of flows that carry no
// place: which agent gets a new flow, and how the agent of an open flow is found again.
//
// A new flow goes to the least loaded of a few agents, which the flow's name picks from those of its
// service. A balancer remembers softly where flows live. What it has forgotten, or never knew because
// another balancer placed the flow, it finds by asking the same few agents, and then all: agents know
// their flows exactly, and just the right one passes the packet on. So no promise rests on what a
// balancer remembers, on two balancers agreeing, or on the choice that it made.
//
// The load it answers: flows that last for minutes on copies with 2 to 4 slots, so that one flow
// more or less decides whether requests wait, and some hundred packets a second on a tenth of a core.
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
	// placeTimeout is how long an agent may take to say that it took a flow: above the tenth of a
	// second for which a processor with a quota may stand still.
	placeTimeout = 120 * time.Millisecond
	// unresponsiveIntervals is how many intervals between statuses an agent may be unheard: one datagram
	// may be lost, and the next one late.
	unresponsiveIntervals = 3
	// minStatusInterval is the interval that is assumed of an agent that hasn't told it.
	minStatusInterval = 500 * time.Millisecond
	// pauseThreshold is a gap between ticks that shows that the balancer itself stood still.
	pauseThreshold = 300 * time.Millisecond
	// goneAfter is how long an agent must be unheard, while its failure domain is heard, to count as gone:
	// longer than the restart of a process takes.
	goneAfter = 2500 * time.Millisecond
	// expireAfter is after how long an agent that is gone is forgotten, and its entry removed: longer than
	// VMs are usually cut off or without power.
	expireAfter = 15 * time.Second
	// denialTTL is how long an agent's word counts that it doesn't hold a flow. It stays true, since a
	// flow never moves; twice the longest deadline of the users' requests, 4 s.
	denialTTL = 8 * time.Second
	// askRetryInterval is after how long agents that haven't answered are asked again, as they may be new, or a
	// datagram may have been lost: the interval of statuses, by which new agents show themselves.
	askRetryInterval = 500 * time.Millisecond
	// askAllLimit is up to how many agents all are asked for a flow that isn't found where it would have
	// been placed. Among more, it is left without an answer.
	askAllLimit = 256
	// asksPerSecond bounds how many datagrams with questions are sent a second: each takes some 10 us of a
	// core that may be a twentieth of one, so that all together take a sixth of it.
	asksPerSecond = 1000
	asksBurst     = 4000
	// askBatchDelay is for how long questions are gathered after some were sent: a quarter of the time after
	// which clients send a packet again.
	askBatchDelay = 50 * time.Millisecond
	// maxAskQueue bounds the flows for which agents have still to be asked: 12 KB.
	maxAskQueue = 1024
	// maxUnsureAgents bounds how many agents get a packet because they can't tell without one.
	maxUnsureAgents = 8
	// maxHeldPackets bounds the packets that are held until their flow is found: 300 KB in all.
	maxHeldPackets = 256
	// maxTries bounds how many agents are asked to take one flow.
	maxTries = 8
	// helloRetryInterval is how often an agent that doesn't answer is asked for its status.
	helloRetryInterval = 500 * time.Millisecond
	// helloRetryPeriod is after how long unheard an agent is greeted as seldom as one that answers.
	helloRetryPeriod = 10 * time.Second
	// keepaliveInterval is how often every agent is greeted, so that it knows that the balancer lives.
	keepaliveInterval = 5 * time.Second
)

// Placer decides for one balancer. Set the exported fields before its first use. It is not safe
// for concurrent use.
type Placer struct {
	// Clock tells the time; nil is the machine's clock.
	Clock lentilclock.Clock
	// Codec reads the packets.
	Codec lentilflow.Codec
	// Random returns evenly spread numbers in [0, 1); nil always takes the first of equals.
	Random func() float64
	// Domain is the balancer's own failure domain, preferred among equals.
	Domain string
	// MaxFlows bounds the flows that are remembered; zero is lentilflow.DefaultMaxFlows.
	MaxFlows int

	configuration lentilflow.Configuration
	// previousServices has the services that earlier configurations gave an address: flows may still live there.
	previousServices map[lentilflow.Endpoint][]string
	out              map[string]bool
	agents           map[lentilflow.Endpoint]*agent
	// agentsByService has the agents of each service in a fixed order; nil if that has to be made anew.
	agentsByService map[string][]lentilflow.Endpoint
	askBudget       lentilbudget.Bucket
	// askQueue has the flows for which all agents will be asked, askedAt when they were last asked for some.
	askQueue    []lentilflow.Key
	lastAskAt   time.Time
	heldPackets int
	flows       lentilflow.Table[flow]
	// pendingPlacements has the flows whose agent hasn't answered yet.
	pendingPlacements map[lentilflow.Key]*flow
	// lookups has the flows that are sought, gone the number of agents that counted as gone when they were
	// last looked through.
	lookups        map[lentilflow.Key]*flow
	goneAgents     int
	agentsComplete bool
	lastTick       time.Time
}

// flow is what the balancer remembers of a flow.
type flow struct {
	state flowState
	agent lentilflow.Endpoint
	// firstPacket is the packet that asks for the flow, until it is open.
	firstPacket []byte
	sentAt      time.Time
	// triedAgents has the agents to which the first packet went, offers those that haven't refused it.
	triedAgents     []lentilflow.Endpoint
	possibleHolders []lentilflow.Endpoint
	lastRefusal     lentilflow.Refusal
	// deniedBy has the agents that don't hold the flow, as they said after deniedAt; unsure those that
	// need a packet of it to know.
	deniedBy     []lentilflow.Endpoint
	unsureAgents []lentilflow.Endpoint
	denialsSince time.Time
	// lookupStartedAt is when the flow was first sought, widelyAt when all agents were last asked for it.
	lookupStartedAt time.Time
	askedAllAt      time.Time
	// heldPacket is the client's last packet, while all agents are asked.
	heldPacket []byte
	// acknowledged is what the client has last acknowledged.
	acknowledged uint32
}

type flowState uint8

const (
	// stateLookup flows are open somewhere, as their clients believe.
	stateLookup flowState = iota
	// statePlacing flows have been sent to an agent that hasn't answered.
	statePlacing
	// statePlaced flows have been taken by an agent, but not yet confirmed by their client.
	statePlaced
	// stateKnown flows live at their agent, as it said.
	stateKnown
)

// Configure puts a configuration in force unless a newer one is.
func (p *Placer) Configure(configuration lentilflow.Configuration) (changed bool) {
	if configuration.Version() <= p.configuration.Version() {
		return false
	}
	p.recordPreviousServices(configuration)
	p.configuration = configuration
	return true
}

// recordPreviousServices keeps the services that an address had and no longer has.
func (p *Placer) recordPreviousServices(next lentilflow.Configuration) {
	for address, backends := range p.configuration.All() {
		for _, b := range backends {
			kept := slices.ContainsFunc(next.Backends(address), func(n lentilflow.Backend) bool { return n.Service == b.Service })
			if kept || slices.Contains(p.previousServices[address], b.Service) {
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

// SetOut says which failure domains operators have taken out.
func (p *Placer) SetOut(out map[string]bool) { p.out = out }

// SetAgentsComplete says that every agent has been made known, with Meet, that existed a moment ago.
func (p *Placer) SetAgentsComplete() { p.agentsComplete = true }

// Flows returns the number of flows that are remembered.
func (p *Placer) Flows() int { return p.flows.Len() }

func (p *Placer) now() time.Time { return lentilclock.OrSystem(p.Clock).Now() }

func (p *Placer) random() float64 {
	if p.Random == nil {
		return 0
	}
	return p.Random()
}

// HandlePacket takes a client's packet. The actions share its memory.
func (p *Placer) HandlePacket(data []byte, actions []Action) (out []Action, err error) {
	packet, err := p.Codec.ParseClientPacket(data)
	if err != nil {
		return actions, err
	}
	now := p.now()
	p.flows.MaxFlows = p.MaxFlows
	p.flows.IdleTimeout = cmp.Or(p.configuration.IdleTimeout(), lentilflow.DefaultIdleTimeout)
	if packet.OpensFlow() {
		return p.handleFirstPacket(now, packet, data, actions), nil
	}
	return p.handleLaterPacket(now, packet, data, actions), nil
}

func (p *Placer) handleFirstPacket(now time.Time, packet lentilflow.Packet, data []byte, actions []Action) []Action {
	f := p.flows.Get(now, packet.Key)
	switch {
	case f == nil || f.state == stateLookup:
		f = &flow{state: statePlacing, firstPacket: slices.Clone(data)}
		p.flows.Put(now, packet.Key, f)
		return p.place(now, packet.Key, f, Chosen, actions)
	case f.state == statePlacing && now.Sub(f.sentAt) >= placeTimeout:
		return p.place(now, packet.Key, f, ChosenAgain, actions)
	default:
		// The same agent, since the client may have got its upstream's offer.
		return append(actions, p.placeAction(f.agent, packet.Key, data, Chosen))
	}
}

// place sends a flow's first packet to the best agent that it hasn't been sent to.
func (p *Placer) place(now time.Time, key lentilflow.Key, f *flow, cause Cause, actions []Action) []Action {
	if p.configuration.Version() == 0 {
		return p.abandonPlacement(now, key, f, NoConfiguration, actions)
	}
	backends := p.configuration.Backends(key.Service())
	if len(backends) == 0 {
		return p.abandonPlacement(now, key, f, NoRoute, actions)
	}
	end, a := p.chooseAgent(now, key, backends, f.triedAgents)
	if a == nil || len(f.triedAgents) >= maxTries {
		return p.abandonPlacement(now, key, f, NoAgent, actions)
	}
	f.state, f.agent, f.sentAt = statePlacing, end, now
	f.triedAgents, f.possibleHolders = append(f.triedAgents, end), append(f.possibleHolders, end)
	if p.pendingPlacements == nil {
		p.pendingPlacements = make(map[lentilflow.Key]*flow)
	}
	p.pendingPlacements[key] = f
	a.flowsSent++
	action := p.placeAction(end, key, f.firstPacket, cause)
	action.Load, action.AgeMillis, action.Refusal = a.status.Load, now.Sub(a.lastSeen).Milliseconds(), f.lastRefusal
	return append(actions, action)
}

// abandonPlacement ends a flow that can't be placed. Clients try again at once after a reset, so one is sent
// only if another try may do no better by itself: what isn't known yet may be known in a moment.
func (p *Placer) abandonPlacement(now time.Time, key lentilflow.Key, f *flow, cause Cause, actions []Action) []Action {
	delete(p.pendingPlacements, key)
	if cause == NoAgent && len(f.triedAgents) > 0 {
		cause = AllRefused
		if f.lastRefusal == lentilflow.NotRefused {
			// No agent has answered. The copies of the first packet go to the last one again.
			f.state, f.sentAt, f.triedAgents = statePlacing, now, nil
			return append(actions, Action{Kind: Drop, Cause: NoAgent, Key: key})
		}
	}
	p.flows.Delete(key)
	verb := ResetClient
	if cause == NoConfiguration || cause == NoAgent && !p.agentsComplete {
		verb = Drop
	}
	return append(actions, Action{Kind: verb, Cause: cause, Key: key, Refusal: f.lastRefusal})
}

func (p *Placer) placeAction(to lentilflow.Endpoint, key lentilflow.Key, data []byte, cause Cause) Action {
	c := lentilflow.Carry{Purpose: lentilflow.Place, Version: p.configuration.Version(), Packet: data}
	if a := p.agents[to]; a != nil {
		c.Service = a.status.Service
		c.ColdRate = float32(p.configuration.ColdRate(c.Service))
	}
	return Action{Kind: SendCarry, Cause: cause, To: to, Key: key, Carry: c}
}

// HandleTaken takes an agent's word that a flow lives there. It gets the packet that was held, if it
// was asked for the flow without one.
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
	delete(p.pendingPlacements, m.Key)
	held := p.releaseHeldPacket(f)
	switch {
	case m.Open:
		if held != nil && !f.askedAllAt.IsZero() {
			actions = append(actions, p.forwardAction(from, m.Key, lentilflow.Owned, held))
		}
		delete(p.lookups, m.Key)
		*f = flow{state: stateKnown, agent: from}
	case f.state == statePlacing:
		f.state, f.agent = statePlaced, from
		actions = append(actions, Action{Kind: ReportPlaced, To: from, Key: m.Key, Latency: now.Sub(f.sentAt)})
	}
	return actions
}

// HandleRefused takes back the first packet of a flow that an agent doesn't take.
func (p *Placer) HandleRefused(from lentilflow.Endpoint, m lentilflow.Refused, actions []Action) (out []Action, err error) {
	packet, err := p.Codec.ParseClientPacket(m.Packet)
	if err != nil {
		return actions, err
	}
	now := p.now()
	p.applyRefusal(now, from, m)
	f := p.flows.Get(now, packet.Key)
	if f == nil || f.agent != from || f.state > statePlaced {
		return actions, nil
	}
	f.lastRefusal = m.Reason
	f.possibleHolders = slices.DeleteFunc(f.possibleHolders, func(e lentilflow.Endpoint) bool { return e == from })
	return p.place(now, packet.Key, f, ChosenAgain, actions), nil
}

// Tick does what time brings. Call it some times a second.
func (p *Placer) Tick(actions []Action) []Action {
	now := p.now()
	for key, f := range p.pendingPlacements {
		if now.Sub(f.sentAt) >= placeTimeout {
			if a := p.agents[f.agent]; a != nil {
				a.suspected = true
			}
			actions = p.place(now, key, f, ChosenAgain, actions)
		}
	}
	return p.tickLookups(now, p.tickAgents(now, p.sendQueuedAsks(now, actions)))
}
