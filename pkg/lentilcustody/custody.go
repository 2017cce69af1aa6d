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
	// closedTimeout is how long a flow that has ended is remembered: its last packets may be sent again
	// for some retransmissions of 1.6 s at most.
	closedTimeout = 4 * time.Second
	// halfOpenTimeout is how long a flow that the client hasn't confirmed is remembered: clients try
	// to open one for 1.4 s.
	halfOpenTimeout = 3 * time.Second
	// denialTTL is how long an agent remembers that its upstream doesn't hold a flow.
	denialTTL = 3 * time.Second
	// unansweredTimeout is how long an upstream may leave packets unanswered before it is checked: the
	// first retransmission of a client comes after 200 ms.
	unansweredTimeout = 200 * time.Millisecond
	// minUnanswered is how many packets have to be unanswered, since a single one may be lost.
	minUnanswered = 2
	// pauseThreshold is a gap between ticks that shows that the agent itself stood still.
	pauseThreshold = 300 * time.Millisecond
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

// Tracker decides for one agent. Set the exported fields before its first use; every other
// state is its own. It is not safe for concurrent use.
type Tracker struct {
	// Clock tells the time; nil is the machine's clock.
	Clock lentilclock.Clock
	// Codec reads the packets.
	Codec lentilflow.Codec
	// Service is the service of the upstream; Name, Domain and Run are what balancers are told
	// of the agent.
	Service string
	Name    string
	Domain  string
	RunID   uint64
	// Address is where balancers reach the agent.
	Address lentilflow.Endpoint
	// FlowsComplete says that the agent has run for longer than its upstream, so that a flow that it doesn't
	// know doesn't live there.
	FlowsComplete bool
	// RenewInterval is how often the upstream renews its registration; zero is not known.
	RenewInterval time.Duration
	// ColdFactor and ColdSlack give the number of new flows that a cold upstream gets in a second:
	// the configured rate times ColdFactor, and ColdSlack.
	ColdFactor, ColdSlack float64
	// MaxFlows bounds the flows that are remembered; zero is lentilflow.DefaultMaxFlows.
	MaxFlows int
	// IdleTimeout is how long a flow without packets is remembered; zero is lentilflow.DefaultLife.
	IdleTimeout time.Duration

	upstream         upstream
	flows            map[lentilflow.Key]*flow
	denied           lentilflow.Table[time.Time]
	requestsInFlight int
	openFlows        int
	// halfOpenFlows counts flows that the client hasn't confirmed yet.
	halfOpenFlows int
	out           bool
	stopping      bool
	// coldRate is what the newest configuration that a balancer worked by says of cold upstreams.
	coldRate        float64
	coldRateVersion uint64
	coldAccepted    []time.Time
	startedAt       time.Time
	// unanswered counts packets since the upstream was last heard; quietSince is the first one's time.
	unanswered      int
	unansweredSince time.Time
	probing         bool
	lastCold        bool
	balancers       map[lentilflow.Endpoint]*balancer
	lastStatusAt    time.Time
	lastHelloAt     time.Time
	statusSequence  uint64
	// previousLedger is a ledger of an earlier run, until the upstream has registered.
	previousLedger  *Ledger
	ledgerWrittenAt time.Time
	// runMarkerDue is set while it isn't written yet that a new run of the upstream is there.
	runMarkerDue bool
	// churn counts flows that were opened or ended since the ledger was written.
	churn     int
	lastTick  time.Time
	lastSweep time.Time
}

// OpenFlows returns the number of flows that are open.
func (c *Tracker) OpenFlows() int { return c.openFlows }

// Load returns what the agent knows of its upstream's work.
func (c *Tracker) Load() lentilflow.Load {
	return lentilflow.Load{Flows: uint32(c.openFlows + c.halfOpenFlows), InFlight: uint16(c.requestsInFlight), Slots: uint16(cmp.Or(c.upstream.slots, defaultSlots))}
}

// Phase returns what the upstream is ready for.
func (c *Tracker) Phase() lentilflow.Phase { return c.upstream.phase }

// Out reports whether the failure domain is out.
func (c *Tracker) Out() bool { return c.out }

// Stopping reports whether the agent was asked to end.
func (c *Tracker) Stopping() bool { return c.stopping }

// Cold reports whether the upstream bears less than usual now, or may do so.
func (c *Tracker) Cold() bool { return c.upstream.cold(c.now()) }

func (c *Tracker) now() (now time.Time) {
	now = lentilclock.OrSystem(c.Clock).Now()
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	return now
}

// HandleCarry takes a client's packet from a balancer.
func (c *Tracker) HandleCarry(from lentilflow.Endpoint, m lentilflow.Carry, actions []Action) (out []Action, err error) {
	packet, err := c.Codec.ParseClientPacket(m.Packet)
	if err != nil {
		return actions, err
	}
	if m.Purpose == lentilflow.Place && m.Version > c.coldRateVersion {
		c.coldRateVersion, c.coldRate = m.Version, float64(m.ColdRate)
	}
	now := c.now()
	if packet.OpensFlow() {
		return c.handleFirst(now, from, m, packet, actions), nil
	}
	return c.handleLater(now, from, m, packet, actions), nil
}

// handleFirst decides about the handleFirst packet of a flow, or a copy of it.
func (c *Tracker) handleFirst(now time.Time, from lentilflow.Endpoint, m lentilflow.Carry, packet lentilflow.Packet, actions []Action) []Action {
	f := c.flows[packet.Key]
	if f != nil && (f.state == halfOpen || f.state == open) {
		f.balancer, f.lastUsed = from, now
		c.expectReply(now)
		return append(actions,
			Action{Kind: ToUpstream, Key: packet.Key, Packet: m.Packet},
			Action{Kind: SendTaken, To: from, Key: packet.Key, Open: f.state == open})
	}
	if refusal := c.refusal(now, m); refusal != lentilflow.NotRefused {
		return append(actions, Action{Kind: SendRefused, To: from, Key: packet.Key, Refusal: refusal, Packet: m.Packet})
	}
	if c.upstream.cold(now) && c.coldRate > 0 {
		c.coldAccepted = append(c.coldAccepted, now)
	}
	c.removeFlow(packet.Key)
	f = &flow{balancer: from, lastUsed: now}
	c.addFlow(packet.Key, f)
	c.setState(f, halfOpen)
	c.expectReply(now)
	return append(actions,
		Action{Kind: ToUpstream, Key: packet.Key, Packet: m.Packet},
		Action{Kind: SendTaken, To: from, Key: packet.Key})
}

// refusal says why the upstream may not have a new flow now.
func (c *Tracker) refusal(now time.Time, m lentilflow.Carry) lentilflow.Refusal {
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
	case c.upstream.cold(now) && c.coldLimitReached(now):
		return lentilflow.UpstreamCold
	case len(c.flows) >= cmp.Or(c.MaxFlows, lentilflow.DefaultMaxFlows):
		return lentilflow.UpstreamFull
	}
	return lentilflow.NotRefused
}

// coldLimitReached reports whether a cold upstream has got as many new flows as it bears in a second; a rate
// of zero means that the configuration doesn't say how many these are.
// One less than the bound is let through, for the copy of a first packet that is still on its way.
func (c *Tracker) coldLimitReached(now time.Time) bool {
	kept := c.coldAccepted[:0]
	for _, t := range c.coldAccepted {
		if now.Sub(t) < coldWindow {
			kept = append(kept, t)
		}
	}
	c.coldAccepted = kept
	if c.coldRate > 0 && !c.FlowsComplete && now.Sub(c.startedAt) < coldWindow {
		// An earlier run of the agent may have passed on all that the upstream bears.
		return true
	}
	return c.coldRate > 0 && float64(len(kept)+1) > c.coldRate*c.ColdFactor+c.ColdSlack-1
}

// handleLater decides about a packet of a flow that the client holds for open.
func (c *Tracker) handleLater(now time.Time, from lentilflow.Endpoint, m lentilflow.Carry, packet lentilflow.Packet, actions []Action) []Action {
	f := c.flows[packet.Key]
	if f == nil {
		return c.handleUnknown(now, from, m, packet, actions)
	}
	if f.state == lost {
		return append(actions, Action{Kind: ResetClient, Cause: FlowUnknown, Key: packet.Key, Sequence: packet.Acknowledged})
	}
	if f.state == unverified && m.Purpose == lentilflow.Lookup && now.Sub(f.lastUsed) < denialTTL {
		// One packet is with the upstream already; more of them would only go astray.
		return append(actions, Action{Kind: SendDenied, To: from, Keys: []lentilflow.Key{packet.Key}, Unsure: true})
	}
	if f.state == halfOpen && packet.Flags.Has(lentilflow.Acknowledge) {
		if !f.upstreamAccepted || packet.Acknowledged-f.initialSequence > maxFirstAckOffset {
			// The client has taken the offer of another upstream.
			return append(actions, Action{Kind: SendDenied, To: from, Keys: []lentilflow.Key{packet.Key}})
		}
		c.setState(f, open)
		actions = append(actions, Action{Kind: SendTaken, To: from, Key: packet.Key, Open: true})
	} else if m.Purpose == lentilflow.Lookup && f.state == open {
		actions = append(actions, Action{Kind: SendTaken, To: from, Key: packet.Key, Open: true})
	}
	f.lastUsed, f.balancer = now, from
	c.trackClientPacket(now, f, packet)
	return append(actions, Action{Kind: ToUpstream, Key: packet.Key, Packet: m.Packet})
}

// maxFirstAckOffset is how far a client's acknowledgement may be beyond the first sequence
// number of the upstream whose offer it took: the window of a flow, 16 packets of 1,200 bytes.
const maxFirstAckOffset = 16*1200 + 1

func (c *Tracker) trackClientPacket(now time.Time, f *flow, packet lentilflow.Packet) {
	if packet.Flags.Has(lentilflow.Acknowledge) {
		f.acknowledged = packet.Acknowledged
	}
	if packet.Length > 0 && !f.requestInFlight {
		f.requestAt = now
		c.setRequestInFlight(f, true)
	}
	if packet.Length > 0 || packet.Flags.Has(lentilflow.Close) {
		c.expectReply(now)
	}
	switch {
	case packet.Flags.Has(lentilflow.Reset):
		c.setState(f, closed)
	case packet.Flags.Has(lentilflow.Close):
		c.recordClose(f, closedByClient)
	}
}

// HandleAsk takes a balancer's question for some flows.
func (c *Tracker) HandleAsk(from lentilflow.Endpoint, m lentilflow.Ask, actions []Action) []Action {
	now := c.now()
	denied, unsure := Action{Kind: SendDenied, To: from}, Action{Kind: SendDenied, To: from, Unsure: true}
	for _, key := range m.Keys {
		switch f := c.flows[key]; {
		case f != nil && f.state == open:
			f.balancer = from
			actions = append(actions, Action{Kind: SendTaken, To: from, Key: key, Open: true})
		case f != nil && f.state == halfOpen:
			// The client's next packet may open it here.
			unsure.Keys = append(unsure.Keys, key)
		case c.knownAbsent(now, key):
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

// knownAbsent reports whether the upstream surely doesn't hold a flow that the agent doesn't know.
func (c *Tracker) knownAbsent(now time.Time, key lentilflow.Key) bool {
	tried := c.denied.Get(now, key)
	return c.FlowsComplete || c.upstream.ended || (tried != nil && now.Sub(*tried) < denialTTL)
}

// handleUnknown decides about a packet of a flow that the agent doesn't know.
func (c *Tracker) handleUnknown(now time.Time, from lentilflow.Endpoint, m lentilflow.Carry, packet lentilflow.Packet, actions []Action) []Action {
	if c.knownAbsent(now, packet.Key) {
		return append(actions, Action{Kind: SendDenied, To: from, Keys: []lentilflow.Key{packet.Key}})
	}
	f := &flow{state: unverified, balancer: from, lastUsed: now}
	c.addFlow(packet.Key, f)
	c.trackClientPacket(now, f, packet)
	return append(actions, Action{Kind: ToUpstream, Key: packet.Key, Packet: m.Packet})
}

// HandleUpstreamPacket takes a packet of the upstream.
func (c *Tracker) HandleUpstreamPacket(data []byte, actions []Action) (out []Action, err error) {
	packet, err := c.Codec.ParseUpstreamPacket(data)
	if err != nil {
		return actions, err
	}
	now := c.now()
	c.markUpstreamAlive()
	if packet.Flags.Has(lentilflow.Returned) {
		return c.handleReturned(now, packet, data, actions), nil
	}
	f := c.flows[packet.Key]
	if f == nil {
		f = &flow{state: unverified, lastUsed: now}
		c.addFlow(packet.Key, f)
	}
	if f.state == unverified && packet.Flags.Has(lentilflow.Reset) {
		// An upstream that has just started also answers so to a flow that lives elsewhere.
		return c.denyFlow(now, packet.Key, f, actions), nil
	}
	f.lastUsed = now
	if packet.Flags.Has(lentilflow.Open) {
		f.initialSequence, f.upstreamAccepted = packet.Sequence, true
		if f.state == unverified {
			// The first packet was passed on by an earlier run of the agent.
			c.setState(f, halfOpen)
		}
	} else if f.state == unverified || f.state == halfOpen {
		c.setState(f, open)
		f.acknowledged = packet.Sequence
		if f.balancer != (lentilflow.Endpoint{}) {
			actions = append(actions, Action{Kind: SendTaken, To: f.balancer, Key: packet.Key, Open: true})
		}
	}
	waited := time.Duration(0)
	if packet.Length > 0 && f.requestInFlight {
		waited = now.Sub(f.requestAt)
		c.setRequestInFlight(f, false)
	}
	switch {
	case packet.Flags.Has(lentilflow.Reset):
		c.setState(f, closed)
	case packet.Flags.Has(lentilflow.Close):
		c.recordClose(f, closedByUpstream)
	}
	return append(actions, Action{Kind: ToClient, Key: packet.Key, Packet: data, ResponseTime: waited}), nil
}

// handleReturned decides about a client's packet that the upstream has given back.
func (c *Tracker) handleReturned(now time.Time, packet lentilflow.Packet, data []byte, actions []Action) []Action {
	c.Codec.ClearReturned(data)
	f := c.flows[packet.Key]
	if f == nil || f.state == closed || f.state == lost {
		return actions
	}
	if packet.OpensFlow() {
		if f.state != halfOpen || f.upstreamAccepted {
			return actions
		}
		c.removeFlow(packet.Key)
		return append(actions, Action{Kind: SendRefused, To: f.balancer, Key: packet.Key, Refusal: lentilflow.UpstreamFull, Packet: data})
	}
	if f.state == open {
		c.setState(f, lost)
		return append(actions, Action{Kind: ResetClient, Cause: FlowUnknown, Key: packet.Key, Sequence: packet.Acknowledged})
	}
	return c.denyFlow(now, packet.Key, f, actions)
}

// denyFlow notes that the upstream doesn't hold a flow.
func (c *Tracker) denyFlow(now time.Time, key lentilflow.Key, f *flow, actions []Action) []Action {
	c.removeFlow(key)
	c.denied.Put(now, key, &now)
	if f.balancer == (lentilflow.Endpoint{}) {
		return actions
	}
	return append(actions, Action{Kind: SendDenied, To: f.balancer, Keys: []lentilflow.Key{key}})
}
