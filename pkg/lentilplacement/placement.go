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
	// placePatience is how long an agent may take to say that it took a flow: above the tenth of a
	// second for which a processor with a quota may stand still.
	placePatience = 120 * time.Millisecond
	// silentIntervals is how many intervals between statuses an agent may be unheard: one datagram
	// may be lost, and the next one late.
	silentIntervals = 3
	// minInterval is the interval that is assumed of an agent that hasn't told it.
	minInterval = 500 * time.Millisecond
	// pauseLimit is a gap between ticks that shows that the balancer itself stood still.
	pauseLimit = 300 * time.Millisecond
	// goneLimit is how long an agent must be unheard, while its failure domain is heard, to count as gone:
	// longer than the restart of a process takes.
	goneLimit = 2500 * time.Millisecond
	// forgetLimit is after how long an agent that is gone is forgotten, and its entry removed: longer than
	// VMs are usually cut off or without power.
	forgetLimit = 15 * time.Second
	// deniedLife is how long an agent's word counts that it doesn't hold a flow. It stays true, since a
	// flow never moves; twice the longest deadline of the users' requests, 4 s.
	deniedLife = 8 * time.Second
	// askAgain is after how long agents that haven't answered are asked again, as they may be new, or a
	// datagram may have been lost: the interval of statuses, by which new agents show themselves.
	askAgain = 500 * time.Millisecond
	// askAllLimit is up to how many agents all are asked for a flow that isn't found where it would have
	// been placed. Among more, it is left without an answer.
	askAllLimit = 256
	// asksPerSecond bounds how many datagrams with questions are sent a second: each takes some 10 us of a
	// core that may be a twentieth of one, so that all together take a sixth of it.
	asksPerSecond = 1000
	asksBurst     = 4000
	// askGather is for how long questions are gathered after some were sent: a quarter of the time after
	// which clients send a packet again.
	askGather = 50 * time.Millisecond
	// maxAsking bounds the flows for which agents have still to be asked: 12 KB.
	maxAsking = 1024
	// maxUnsure bounds how many agents get a packet because they can't tell without one.
	maxUnsure = 8
	// maxHeld bounds the packets that are held until their flow is found: 300 KB in all.
	maxHeld = 256
	// maxTries bounds how many agents are asked to take one flow.
	maxTries = 8
	// helloInterval is how often an agent that doesn't answer is asked for its status.
	helloInterval = 500 * time.Millisecond
	// lostLimit is after how long unheard an agent is greeted as seldom as one that answers.
	lostLimit = 10 * time.Second
	// greetInterval is how often every agent is greeted, so that it knows that the balancer lives.
	greetInterval = 5 * time.Second
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
	// former has the services that earlier configurations gave an address: flows may still live there.
	former map[lentilflow.Endpoint][]string
	out    map[string]bool
	agents map[lentilflow.Endpoint]*agent
	// services has the agents of each service in a fixed order; nil if that has to be made anew.
	services map[string][]lentilflow.Endpoint
	asks     lentilbudget.Bucket
	// asking has the flows for which all agents will be asked, askedAt when they were last asked for some.
	asking  []lentilflow.Key
	askedAt time.Time
	held    int
	flows   lentilflow.Table[flow]
	// placing has the flows whose agent hasn't answered yet.
	placing map[lentilflow.Key]*flow
	// seeking has the flows that are sought, gone the number of agents that counted as gone when they were
	// last looked through.
	seeking map[lentilflow.Key]*flow
	gone    int
	whole   bool
	ticked  time.Time
}

// flow is what the balancer remembers of a flow.
type flow struct {
	state state
	agent lentilflow.Endpoint
	// first is the packet that asks for the flow, until it is open.
	first  []byte
	sentAt time.Time
	// tried has the agents to which the first packet went, offers those that haven't refused it.
	tried   []lentilflow.Endpoint
	offers  []lentilflow.Endpoint
	refusal lentilflow.Refusal
	// denied has the agents that don't hold the flow, as they said after deniedAt; unsure those that
	// need a packet of it to know.
	denied   []lentilflow.Endpoint
	unsure   []lentilflow.Endpoint
	deniedAt time.Time
	// soughtAt is when the flow was first sought, widelyAt when all agents were last asked for it.
	soughtAt time.Time
	widelyAt time.Time
	// held is the client's last packet, while all agents are asked.
	held []byte
	// acknowledged is what the client has last acknowledged.
	acknowledged uint32
}

type state uint8

const (
	// seeking flows are open somewhere, as their clients believe.
	seeking state = iota
	// placing flows have been sent to an agent that hasn't answered.
	placing
	// placed flows have been taken by an agent, but not yet confirmed by their client.
	placed
	// known flows live at their agent, as it said.
	known
)

// Configure puts a configuration in force unless a newer one is.
func (p *Placer) Configure(configuration lentilflow.Configuration) (changed bool) {
	if configuration.Version() <= p.configuration.Version() {
		return false
	}
	p.remember(configuration)
	p.configuration = configuration
	return true
}

// remember keeps the services that an address had and no longer has.
func (p *Placer) remember(next lentilflow.Configuration) {
	for address, backends := range p.configuration.All() {
		for _, b := range backends {
			kept := slices.ContainsFunc(next.Backends(address), func(n lentilflow.Backend) bool { return n.Service == b.Service })
			if kept || slices.Contains(p.former[address], b.Service) {
				continue
			}
			if p.former == nil {
				p.former = make(map[lentilflow.Endpoint][]string)
			}
			p.former[address] = append(p.former[address], b.Service)
		}
	}
}

// Version returns the version of the configuration in force.
func (p *Placer) Version() uint64 { return p.configuration.Version() }

// SetOut says which failure domains operators have taken out.
func (p *Placer) SetOut(out map[string]bool) { p.out = out }

// SetWhole says that every agent has been made known, with Meet, that existed a moment ago.
func (p *Placer) SetWhole() { p.whole = true }

// Flows returns the number of flows that are remembered.
func (p *Placer) Flows() int { return p.flows.Len() }

func (p *Placer) now() time.Time { return lentilclock.OrSystem(p.Clock).Now() }

func (p *Placer) random() float64 {
	if p.Random == nil {
		return 0
	}
	return p.Random()
}

// Packet takes a client's packet. The actions share its memory.
func (p *Placer) Packet(data []byte, actions []Action) (out []Action, err error) {
	packet, err := p.Codec.ParseClientPacket(data)
	if err != nil {
		return actions, err
	}
	now := p.now()
	p.flows.MaxFlows = p.MaxFlows
	p.flows.IdleTimeout = cmp.Or(p.configuration.IdleTimeout(), lentilflow.DefaultIdleTimeout)
	if packet.OpensFlow() {
		return p.first(now, packet, data, actions), nil
	}
	return p.later(now, packet, data, actions), nil
}

func (p *Placer) first(now time.Time, packet lentilflow.Packet, data []byte, actions []Action) []Action {
	f := p.flows.Get(now, packet.Key)
	switch {
	case f == nil || f.state == seeking:
		f = &flow{state: placing, first: slices.Clone(data)}
		p.flows.Put(now, packet.Key, f)
		return p.place(now, packet.Key, f, Chosen, actions)
	case f.state == placing && now.Sub(f.sentAt) >= placePatience:
		return p.place(now, packet.Key, f, ChosenAgain, actions)
	default:
		// The same agent, since the client may have got its upstream's offer.
		return append(actions, p.carry(f.agent, packet.Key, data, Chosen))
	}
}

// place sends a flow's first packet to the best agent that it hasn't been sent to.
func (p *Placer) place(now time.Time, key lentilflow.Key, f *flow, cause Cause, actions []Action) []Action {
	if p.configuration.Version() == 0 {
		return p.giveUp(now, key, f, NoConfiguration, actions)
	}
	backends := p.configuration.Backends(key.Service())
	if len(backends) == 0 {
		return p.giveUp(now, key, f, NoRoute, actions)
	}
	end, a := p.choose(now, key, backends, f.tried)
	if a == nil || len(f.tried) >= maxTries {
		return p.giveUp(now, key, f, NoAgent, actions)
	}
	f.state, f.agent, f.sentAt = placing, end, now
	f.tried, f.offers = append(f.tried, end), append(f.offers, end)
	if p.placing == nil {
		p.placing = make(map[lentilflow.Key]*flow)
	}
	p.placing[key] = f
	a.sent++
	action := p.carry(end, key, f.first, cause)
	action.Load, action.Age, action.Refusal = a.status.Load, now.Sub(a.heardAt).Milliseconds(), f.refusal
	return append(actions, action)
}

// giveUp ends a flow that can't be placed. Clients try again at once after a reset, so one is sent
// only if another try may do no better by itself: what isn't known yet may be known in a moment.
func (p *Placer) giveUp(now time.Time, key lentilflow.Key, f *flow, cause Cause, actions []Action) []Action {
	delete(p.placing, key)
	if cause == NoAgent && len(f.tried) > 0 {
		cause = AllRefused
		if f.refusal == lentilflow.NotRefused {
			// No agent has answered. The copies of the first packet go to the last one again.
			f.state, f.sentAt, f.tried = placing, now, nil
			return append(actions, Action{Verb: Drop, Cause: NoAgent, Key: key})
		}
	}
	p.flows.Delete(key)
	verb := ResetClient
	if cause == NoConfiguration || cause == NoAgent && !p.whole {
		verb = Drop
	}
	return append(actions, Action{Verb: verb, Cause: cause, Key: key, Refusal: f.refusal})
}

func (p *Placer) carry(to lentilflow.Endpoint, key lentilflow.Key, data []byte, cause Cause) Action {
	c := lentilflow.Carry{Purpose: lentilflow.Place, Version: p.configuration.Version(), Packet: data}
	if a := p.agents[to]; a != nil {
		c.Service = a.status.Service
		c.ColdRate = float32(p.configuration.ColdRate(c.Service))
	}
	return Action{Verb: SendCarry, Cause: cause, To: to, Key: key, Carry: c}
}

// Taken takes an agent's word that a flow lives there. It gets the packet that was held, if it
// was asked for the flow without one.
func (p *Placer) Taken(from lentilflow.Endpoint, m lentilflow.Taken, actions []Action) []Action {
	now := p.now()
	p.load(from, m.Load)
	f := p.flows.Get(now, m.Key)
	if f == nil {
		if !m.Open {
			return actions
		}
		f = &flow{}
		p.flows.Put(now, m.Key, f)
	}
	delete(p.placing, m.Key)
	held := p.release(f)
	switch {
	case m.Open:
		if held != nil && !f.widelyAt.IsZero() {
			actions = append(actions, p.pass(from, m.Key, lentilflow.Owned, held))
		}
		delete(p.seeking, m.Key)
		*f = flow{state: known, agent: from}
	case f.state == placing:
		f.state, f.agent = placed, from
		actions = append(actions, Action{Verb: NotePlaced, To: from, Key: m.Key, Waited: now.Sub(f.sentAt)})
	}
	return actions
}

// Refused takes back the first packet of a flow that an agent doesn't take.
func (p *Placer) Refused(from lentilflow.Endpoint, m lentilflow.Refused, actions []Action) (out []Action, err error) {
	packet, err := p.Codec.ParseClientPacket(m.Packet)
	if err != nil {
		return actions, err
	}
	now := p.now()
	p.refused(now, from, m)
	f := p.flows.Get(now, packet.Key)
	if f == nil || f.agent != from || f.state > placed {
		return actions, nil
	}
	f.refusal = m.Reason
	f.offers = slices.DeleteFunc(f.offers, func(e lentilflow.Endpoint) bool { return e == from })
	return p.place(now, packet.Key, f, ChosenAgain, actions), nil
}

// Tick does what time brings. Call it some times a second.
func (p *Placer) Tick(actions []Action) []Action {
	now := p.now()
	for key, f := range p.placing {
		if now.Sub(f.sentAt) >= placePatience {
			if a := p.agents[f.agent]; a != nil {
				a.doubted = true
			}
			actions = p.place(now, key, f, ChosenAgain, actions)
		}
	}
	return p.tickSeeking(now, p.tickAgents(now, p.ask(now, actions)))
}
