// Package lentilcustody decides what an agent does with the packets of flows that carry no place.
//
// The agent sees every packet between its upstream and the clients. So it alone knows exactly
// which flows its upstream holds, and it alone decides, at the last moment before a new flow
// begins, whether the upstream may have it: whatever balancers believe, no new flow reaches an
// upstream that drains, whose failure domain is out, or that has just started and bears no more.
//
// An agent that was restarted has forgotten the flows that its upstream still holds. It passes on
// packets of unknown flows and sees from what the upstream does with them whether they are its
// own. A flow is reset only if its upstream is gone, or has itself given back a packet of it.
//
// The load it answers: a few thousand flows an agent, some hundred new ones a second, and all of
// them at once when an upstream ends.
package lentilcustody

import (
	"cmp"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// endedLife is how long a flow that has ended is remembered: its last packets may be sent again
	// for some retransmissions of 1.6 s at most.
	endedLife = 4 * time.Second
	// halfOpenLife is how long a flow that the client hasn't confirmed is remembered: clients try
	// to open one for 1.4 s.
	halfOpenLife = 3 * time.Second
	// deniedLife is how long an agent remembers that its upstream doesn't hold a flow.
	deniedLife = 3 * time.Second
	// quietLimit is how long an upstream may leave packets unanswered before it is checked: the
	// first retransmission of a client comes after 200 ms.
	quietLimit = 200 * time.Millisecond
	// quietPackets is how many packets have to be unanswered, since a single one may be lost.
	quietPackets = 2
	// pauseLimit is a gap between ticks that shows that the agent itself stood still.
	pauseLimit = 300 * time.Millisecond
	// overdueIntervals is how many renewals of its registration an upstream may miss.
	overdueIntervals = 2.5
	// coldWindow is the span over which flows to a cold upstream are counted: a second, and a
	// tenth for the time that packets take.
	coldWindow = 1100 * time.Millisecond
	// defaultSlots is assumed of an upstream that hasn't said how much it works on at once.
	defaultSlots = 2
	// sweepInterval is how often ended flows are looked for.
	sweepInterval = time.Second
)

// Custodian decides for one agent. Set the exported fields before its first use; every other
// state is its own. It is not safe for concurrent use.
type Custodian struct {
	// Clock tells the time; nil is the machine's clock.
	Clock lentilclock.Clock
	// Codec reads the packets.
	Codec lentilflow.Codec
	// Service is the service of the upstream; Name, Domain and Run are what balancers are told
	// of the agent.
	Service string
	Name    string
	Domain  string
	Run     uint64
	// Address is where balancers reach the agent.
	Address lentilflow.Endpoint
	// Whole says that the agent has run for longer than its upstream, so that a flow that it doesn't
	// know doesn't live there.
	Whole bool
	// RenewInterval is how often the upstream renews its registration; zero is not known.
	RenewInterval time.Duration
	// ColdFactor and ColdSlack give the number of new flows that a cold upstream gets in a second:
	// the configured rate times ColdFactor, and ColdSlack.
	ColdFactor, ColdSlack float64
	// MaxFlows bounds the flows that are remembered; zero is lentilflow.DefaultMaxFlows.
	MaxFlows int
	// Life is how long a flow without packets is remembered; zero is lentilflow.DefaultLife.
	Life time.Duration

	upstream upstream
	flows    map[lentilflow.Key]*flow
	denied   lentilflow.Table[time.Time]
	busy     int
	open     int
	// half counts flows that the client hasn't confirmed yet.
	half     int
	out      bool
	stopping bool
	// coldRate is what the newest configuration that a balancer worked by says of cold upstreams.
	coldRate    float64
	coldVersion uint64
	coldTaken   []time.Time
	startedAt   time.Time
	// unanswered counts packets since the upstream was last heard; quietSince is the first one's time.
	unanswered int
	quietSince time.Time
	checking   bool
	wasCold    bool
	balancers  map[lentilflow.Endpoint]*balancer
	toldAt     time.Time
	greetedAt  time.Time
	number     uint64
	// former is a ledger of an earlier run, until the upstream has registered.
	former    *Ledger
	writtenAt time.Time
	// unmarked is set while it isn't written yet that a new run of the upstream is there.
	unmarked bool
	// churn counts flows that were opened or ended since the ledger was written.
	churn  int
	ticked time.Time
	swept  time.Time
}

// Flows returns the number of flows that are open.
func (c *Custodian) Flows() int { return c.open }

// Load returns what the agent knows of its upstream's work.
func (c *Custodian) Load() lentilflow.Load {
	return lentilflow.Load{Flows: uint32(c.open + c.half), InFlight: uint16(c.busy), Slots: uint16(cmp.Or(c.upstream.slots, defaultSlots))}
}

// Phase returns what the upstream is ready for.
func (c *Custodian) Phase() lentilflow.Phase { return c.upstream.phase }

// Out reports whether the failure domain is out.
func (c *Custodian) Out() bool { return c.out }

// Stopping reports whether the agent was asked to end.
func (c *Custodian) Stopping() bool { return c.stopping }

// Cold reports whether the upstream bears less than usual now, or may do so.
func (c *Custodian) Cold() bool { return c.upstream.cold(c.now()) }

func (c *Custodian) now() (now time.Time) {
	now = lentilclock.OrSystem(c.Clock).Now()
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	return now
}

// Carry takes a client's packet from a balancer.
func (c *Custodian) Carry(from lentilflow.Endpoint, m lentilflow.Carry, actions []Action) (out []Action, err error) {
	packet, err := c.Codec.ParseClientPacket(m.Packet)
	if err != nil {
		return actions, err
	}
	if m.Purpose == lentilflow.Place && m.Version > c.coldVersion {
		c.coldVersion, c.coldRate = m.Version, float64(m.ColdRate)
	}
	now := c.now()
	if packet.OpensFlow() {
		return c.first(now, from, m, packet, actions), nil
	}
	return c.later(now, from, m, packet, actions), nil
}

// first decides about the first packet of a flow, or a copy of it.
func (c *Custodian) first(now time.Time, from lentilflow.Endpoint, m lentilflow.Carry, packet lentilflow.Packet, actions []Action) []Action {
	f := c.flows[packet.Key]
	if f != nil && (f.state == halfOpen || f.state == open) {
		f.balancer, f.used = from, now
		c.expect(now)
		return append(actions,
			Action{Verb: ToUpstream, Key: packet.Key, Packet: m.Packet},
			Action{Verb: SendTaken, To: from, Key: packet.Key, Open: f.state == open})
	}
	if refusal := c.refusal(now, m); refusal != lentilflow.NotRefused {
		return append(actions, Action{Verb: SendRefused, To: from, Key: packet.Key, Refusal: refusal, Packet: m.Packet})
	}
	if c.upstream.cold(now) && c.coldRate > 0 {
		c.coldTaken = append(c.coldTaken, now)
	}
	c.remove(packet.Key)
	f = &flow{balancer: from, used: now}
	c.add(packet.Key, f)
	c.setState(f, halfOpen)
	c.expect(now)
	return append(actions,
		Action{Verb: ToUpstream, Key: packet.Key, Packet: m.Packet},
		Action{Verb: SendTaken, To: from, Key: packet.Key})
}

// refusal says why the upstream may not have a new flow now.
func (c *Custodian) refusal(now time.Time, m lentilflow.Carry) lentilflow.Refusal {
	switch {
	case m.Service != c.Service:
		return lentilflow.OtherService
	case c.stopping:
		return lentilflow.Stopping
	case c.out:
		return lentilflow.DomainOut
	case c.upstream.phase == lentilflow.Draining:
		return lentilflow.UpstreamDraining
	case c.upstream.phase == lentilflow.Gone:
		return lentilflow.NoUpstream
	case c.upstream.cold(now) && c.coldFull(now):
		return lentilflow.UpstreamCold
	case len(c.flows) >= cmp.Or(c.MaxFlows, lentilflow.DefaultMaxFlows):
		return lentilflow.UpstreamFull
	}
	return lentilflow.NotRefused
}

// coldFull reports whether a cold upstream has got as many new flows as it bears in a second; a rate
// of zero means that the configuration doesn't say how many these are.
// One less than the bound is let through, for the copy of a first packet that is still on its way.
func (c *Custodian) coldFull(now time.Time) bool {
	kept := c.coldTaken[:0]
	for _, t := range c.coldTaken {
		if now.Sub(t) < coldWindow {
			kept = append(kept, t)
		}
	}
	c.coldTaken = kept
	if c.coldRate > 0 && !c.Whole && now.Sub(c.startedAt) < coldWindow {
		// An earlier run of the agent may have passed on all that the upstream bears.
		return true
	}
	return c.coldRate > 0 && float64(len(kept)+1) > c.coldRate*c.ColdFactor+c.ColdSlack-1
}

// later decides about a packet of a flow that the client holds for open.
func (c *Custodian) later(now time.Time, from lentilflow.Endpoint, m lentilflow.Carry, packet lentilflow.Packet, actions []Action) []Action {
	f := c.flows[packet.Key]
	if f == nil {
		return c.unknown(now, from, m, packet, actions)
	}
	if f.state == lost {
		return append(actions, Action{Verb: ResetClient, Cause: FlowUnknown, Key: packet.Key, Sequence: packet.Acknowledged})
	}
	if f.state == sought && m.Purpose == lentilflow.Lookup && now.Sub(f.used) < deniedLife {
		// One packet is with the upstream already; more of them would only go astray.
		return append(actions, Action{Verb: SendDenied, To: from, Keys: []lentilflow.Key{packet.Key}, Unsure: true})
	}
	if f.state == halfOpen && packet.Flags.Has(lentilflow.Acknowledge) {
		if !f.granted || packet.Acknowledged-f.opening > maxFirstAcknowledged {
			// The client has taken the offer of another upstream.
			return append(actions, Action{Verb: SendDenied, To: from, Keys: []lentilflow.Key{packet.Key}})
		}
		c.setState(f, open)
		actions = append(actions, Action{Verb: SendTaken, To: from, Key: packet.Key, Open: true})
	} else if m.Purpose == lentilflow.Lookup && f.state == open {
		actions = append(actions, Action{Verb: SendTaken, To: from, Key: packet.Key, Open: true})
	}
	f.used, f.balancer = now, from
	c.fromClient(now, f, packet)
	return append(actions, Action{Verb: ToUpstream, Key: packet.Key, Packet: m.Packet})
}

// maxFirstAcknowledged is how far a client's acknowledgement may be beyond the first sequence
// number of the upstream whose offer it took: the window of a flow, 16 packets of 1,200 bytes.
const maxFirstAcknowledged = 16*1200 + 1

func (c *Custodian) fromClient(now time.Time, f *flow, packet lentilflow.Packet) {
	if packet.Flags.Has(lentilflow.Acknowledge) {
		f.acknowledged = packet.Acknowledged
	}
	if packet.Length > 0 && !f.working {
		f.asked = now
		c.setWorking(f, true)
	}
	if packet.Length > 0 || packet.Flags.Has(lentilflow.Close) {
		c.expect(now)
	}
	switch {
	case packet.Flags.Has(lentilflow.Reset):
		c.setState(f, ended)
	case packet.Flags.Has(lentilflow.Close):
		c.closed(f, byClient)
	}
}

// Ask takes a balancer's question for some flows.
func (c *Custodian) Ask(from lentilflow.Endpoint, m lentilflow.Ask, actions []Action) []Action {
	now := c.now()
	denied, unsure := Action{Verb: SendDenied, To: from}, Action{Verb: SendDenied, To: from, Unsure: true}
	for _, key := range m.Keys {
		switch f := c.flows[key]; {
		case f != nil && f.state == open:
			f.balancer = from
			actions = append(actions, Action{Verb: SendTaken, To: from, Key: key, Open: true})
		case f != nil && f.state == halfOpen:
			// The client's next packet may open it here.
			unsure.Keys = append(unsure.Keys, key)
		case c.lacks(now, key):
			denied.Keys = append(denied.Keys, key)
		default:
			unsure.Keys = append(unsure.Keys, key)
		}
	}
	for _, a := range []Action{denied, unsure} {
		if len(a.Keys) > 0 {
			actions = append(actions, a)
		}
	}
	return actions
}

// lacks reports whether the upstream surely doesn't hold a flow that the agent doesn't know.
func (c *Custodian) lacks(now time.Time, key lentilflow.Key) bool {
	tried := c.denied.Get(now, key)
	return c.Whole || c.upstream.ended || (tried != nil && now.Sub(*tried) < deniedLife)
}

// unknown decides about a packet of a flow that the agent doesn't know.
func (c *Custodian) unknown(now time.Time, from lentilflow.Endpoint, m lentilflow.Carry, packet lentilflow.Packet, actions []Action) []Action {
	if c.lacks(now, packet.Key) {
		return append(actions, Action{Verb: SendDenied, To: from, Keys: []lentilflow.Key{packet.Key}})
	}
	f := &flow{state: sought, balancer: from, used: now}
	c.add(packet.Key, f)
	c.fromClient(now, f, packet)
	return append(actions, Action{Verb: ToUpstream, Key: packet.Key, Packet: m.Packet})
}

// FromUpstream takes a packet of the upstream.
func (c *Custodian) FromUpstream(data []byte, actions []Action) (out []Action, err error) {
	packet, err := c.Codec.ParseUpstreamPacket(data)
	if err != nil {
		return actions, err
	}
	now := c.now()
	c.heard()
	if packet.Flags.Has(lentilflow.Returned) {
		return c.returned(now, packet, data, actions), nil
	}
	f := c.flows[packet.Key]
	if f == nil {
		f = &flow{state: sought, used: now}
		c.add(packet.Key, f)
	}
	if f.state == sought && packet.Flags.Has(lentilflow.Reset) {
		// An upstream that has just started also answers so to a flow that lives elsewhere.
		return c.deny(now, packet.Key, f, actions), nil
	}
	f.used = now
	if packet.Flags.Has(lentilflow.Open) {
		f.opening, f.granted = packet.Sequence, true
		if f.state == sought {
			// The first packet was passed on by an earlier run of the agent.
			c.setState(f, halfOpen)
		}
	} else if f.state == sought || f.state == halfOpen {
		c.setState(f, open)
		f.acknowledged = packet.Sequence
		if f.balancer != (lentilflow.Endpoint{}) {
			actions = append(actions, Action{Verb: SendTaken, To: f.balancer, Key: packet.Key, Open: true})
		}
	}
	waited := time.Duration(0)
	if packet.Length > 0 && f.working {
		waited = now.Sub(f.asked)
		c.setWorking(f, false)
	}
	switch {
	case packet.Flags.Has(lentilflow.Reset):
		c.setState(f, ended)
	case packet.Flags.Has(lentilflow.Close):
		c.closed(f, byUpstream)
	}
	return append(actions, Action{Verb: ToClient, Key: packet.Key, Packet: data, Waited: waited}), nil
}

// returned decides about a client's packet that the upstream has given back.
func (c *Custodian) returned(now time.Time, packet lentilflow.Packet, data []byte, actions []Action) []Action {
	c.Codec.ClearReturned(data)
	f := c.flows[packet.Key]
	if f == nil || f.state == ended || f.state == lost {
		return actions
	}
	if packet.OpensFlow() {
		if f.state != halfOpen || f.granted {
			return actions
		}
		c.remove(packet.Key)
		return append(actions, Action{Verb: SendRefused, To: f.balancer, Key: packet.Key, Refusal: lentilflow.UpstreamFull, Packet: data})
	}
	if f.state == open {
		c.setState(f, lost)
		return append(actions, Action{Verb: ResetClient, Cause: FlowUnknown, Key: packet.Key, Sequence: packet.Acknowledged})
	}
	return c.deny(now, packet.Key, f, actions)
}

// deny notes that the upstream doesn't hold a flow.
func (c *Custodian) deny(now time.Time, key lentilflow.Key, f *flow, actions []Action) []Action {
	c.remove(key)
	c.denied.Put(now, key, &now)
	if f.balancer == (lentilflow.Endpoint{}) {
		return actions
	}
	return append(actions, Action{Verb: SendDenied, To: f.balancer, Keys: []lentilflow.Key{key}})
}
