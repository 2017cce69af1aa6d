// Package lentilpin keeps every flow at one agent. For each packet that reaches
// an agent it decides whether the flow lives here, at a peer agent, or nowhere.
//
// Packets that carry a place need no state. For all others the agent remembers the
// flow by its key in a table. It pins the flow to itself or to a peer, or records
// which peers it still has to ask before it may open the flow.
//
// Balancers and agents may disagree about the owner of a bucket. An agent therefore
// opens an unknown flow only after every other agent that may hold it has denied it.
// An agent that denies a flow pins it to the agent that asked. Of two agents that may
// both open a flow, one thus asks the other, and the one that is asked either has
// the flow or never opens it.
package lentilpin

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// Defaults of the fields of a Table.
const (
	// DefaultMaxFlows is the highest number of flows that are remembered.
	DefaultMaxFlows = 1 << 17
	// DefaultIdleTimeoutQUIC is how long a QUIC flow without packets is remembered. Only
	// its first packets need it; the timeout is longer than a handshake takes.
	DefaultIdleTimeoutQUIC = 30 * time.Second
	// DefaultIdleTimeoutDatagram is how long a datagram flow without packets is remembered.
	DefaultIdleTimeoutDatagram = 5 * time.Minute
	// DefaultAskTimeout is how long to wait for an answer to an Ask. For a datagram flow
	// the next agent is asked then. For a QUIC flow it bounds the whole lookup: the flow is
	// then opened here, since a second answer does it no harm.
	DefaultAskTimeout = 150 * time.Millisecond
)

// denialTTL is how long a denial is valid. The agent that denied a flow remembers the
// agent that asked for longer, but only while it considers that agent alive.
const denialTTL = time.Second

// seenTTL is how long an agent counts as alive after it has asked for a flow, even if
// its lease has expired. It is longer than the control protocol takes to report that
// the agent is back.
const seenTTL = 5 * time.Second

// Bounds on the number of agents that are asked for one flow. Few are enough for a
// QUIC flow: the worst case is a handshake that is split between two agents.
const (
	maxAskedQUIC     = 2
	maxAskedDatagram = 10
)

// Table holds the flows that are pinned to an agent or its peers, and decides what
// the agent does with packets. It is not safe for concurrent use. A zero Table is
// ready for use once Self is set; it opens every unknown flow itself.
type Table struct {
	// Self is the place of this agent.
	Self lentilid.Place
	// Protocol is the protocol of the agent's service.
	Protocol lentilroute.Protocol
	// Clock is the source of the time. Nil means the system clock.
	Clock lentilclock.Clock
	// PreferredCandidates appends to dst the places that are likely to hold a flow with
	// the given hash, the most likely first, as lentilroute.Router.PreferredCandidates
	// does. Nil means none.
	PreferredCandidates func(hash uint64, dst []lentilid.Place) []lentilid.Place
	// FallbackCandidates returns the places that may hold any flow while members change,
	// as lentilroute.Router.FallbackCandidates does. They are asked only for flows whose
	// packets carry no place. Nil means none.
	FallbackCandidates func() []lentilid.Place
	// HandOffPeer chooses a peer for a new flow that has been handed off by hops agents
	// so far, or returns false to open it here. It is called only for QUIC flows: a flow
	// whose packets carry no place would be lost with the agent that handed it off. Nil
	// means that every flow is opened here.
	HandOffPeer func(hops int) (peer lentilid.Place, ok bool)
	// RefusesNewFlows reports whether this agent opens no flows, for example because its
	// copy is draining. An unknown flow then goes to the owner of its bucket. Nil means
	// that it opens flows.
	RefusesNewFlows func() bool
	// Out reports whether operators have taken a failure domain out of service. Nil
	// means that none is out of service.
	Out func(domain lentilid.Domain) bool
	// Gone reports whether a place is known to hold no flows any more, as
	// lentilroute.Router.Gone does. Nil means that no place is.
	Gone func(place lentilid.Place) bool
	// MaxFlows, IdleTimeout and AskTimeout replace the defaults if they aren't zero.
	MaxFlows    int
	IdleTimeout time.Duration
	AskTimeout  time.Duration

	pins   pinStore
	counts Counts
	// scratch is reused for the results of PreferredCandidates.
	scratch []lentilid.Place
}

// Counts holds the counters of a Table since its creation.
type Counts struct {
	// Packets counts all packets, Forwarded those that went to another agent.
	Packets, Forwarded uint64
	// Asked counts the packets that were forwarded as an Ask.
	Asked uint64
	// Opened counts new flows opened here, HandedOff those handed off to a peer.
	Opened, HandedOff uint64
	// Dropped counts dropped packets by verdict.
	Dropped [DropNoRoom + 1]uint64
}

// Counts returns the counters of the table.
func (t *Table) Counts() Counts { return t.counts }

// FlowCount returns the number of flows in the table.
func (t *Table) FlowCount() int { return len(t.pins.byKey) }

// Decide returns what the agent does with a packet, and updates the table for the
// flow of the packet.
func (t *Table) Decide(packet *Packet) (action Action) {
	t.pins.expire(t.now(), t.idleTimeout())
	action = t.decide(packet)
	t.countAction(&action)
	return action
}

// decide distinguishes packets that carry a place from those that only have a key.
func (t *Table) decide(packet *Packet) (action Action) {
	if packet.Service != t.Self.Service() {
		return Action{Verdict: DropWrongService}
	}
	switch packet.Flow.Verdict {
	case lentilroute.ToPlace:
		return t.decideByPlace(packet)
	case lentilroute.ToBucket:
		return t.decideByKey(packet)
	default:
		return Action{Verdict: DropMalformed}
	}
}

// decideByPlace decides on a packet that carries a place.
func (t *Table) decideByPlace(packet *Packet) (action Action) {
	place := packet.Flow.Place
	switch {
	case place.Service() != t.Self.Service():
		return Action{Verdict: DropWrongService}
	case place.Agent() != t.Self.Agent() && t.out(place):
		return Action{Verdict: DropDomainOut}
	case place.Agent() != t.Self.Agent():
		return t.forward(packet, place, Owned)
	case place.Incarnation() != t.Self.Incarnation():
		return Action{Verdict: DropStale}
	default:
		return Action{Verdict: Local}
	}
}

// decideByKey decides on a packet that only has the key of its flow.
func (t *Table) decideByKey(packet *Packet) (action Action) {
	p := t.pins.get(packet.Flow.Key, t.now())
	if p != nil && p.state == remote && t.unreachable(p) {
		t.pins.remove(packet.Flow.Key)
		p = nil
	}
	purpose := packet.Hop.Purpose()
	switch {
	case purpose == Ask && t.out(packet.From):
		// One of the two agents has not yet learned that the failure domain is out of
		// service or back. Until then, neither denies the flow to the other.
		return Action{Verdict: DropDomainOut}
	case p == nil && !packet.Flow.MayOpen:
		return Action{Verdict: DropUnknown}
	case p == nil && purpose == Ask:
		return t.yieldToAsker(packet, nil)
	case purpose == HandOff:
		return t.openFlow(packet)
	case p == nil:
		return t.startLookup(packet)
	case p.state == local:
		return t.addNotice(packet, Action{Verdict: Local})
	case p.state == remote:
		return t.decideRemote(packet, p)
	default:
		return t.decideLookup(packet, p)
	}
}

// unreachable reports whether the agent of a pinned flow can't be reached any more.
// An agent whose lease has expired may only have been paused. If the flow was pinned to
// it by its own Ask in the last seenTTL, it is alive.
func (t *Table) unreachable(p *pin) bool {
	return t.out(p.place) || t.gone(p.place) && t.now().Sub(p.placeSeenAt) > seenTTL
}

// decideRemote decides on a packet of a flow that is pinned to another agent.
func (t *Table) decideRemote(packet *Packet, p *pin) (action Action) {
	fromPinned := p.place.Agent() == packet.From.Agent()
	switch purpose := packet.Hop.Purpose(); {
	case purpose == Ask && fromPinned:
		return t.forward(packet, packet.From, Return)
	case purpose == Ask:
		return t.forward(packet, p.place, Ask)
	case purpose == Owned && fromPinned:
		// Each agent assumes that the other has the flow.
		return t.startLookup(packet)
	default:
		return t.forward(packet, p.place, Owned)
	}
}

// decideLookup decides on a packet of a flow that this agent is looking up.
func (t *Table) decideLookup(packet *Packet, p *pin) (action Action) {
	switch purpose := packet.Hop.Purpose(); {
	case purpose == Return && packet.Hop.Token() == p.token:
		p.denied = append(p.denied, p.place)
		p.token++
	case purpose == Ask && packet.From.Agent().Compare(t.Self.Agent()) < 0:
		// Both agents look up the same flow. The one with the lower address continues,
		// the other one yields.
		return t.yieldToAsker(packet, p.denied)
	}
	return t.askNext(packet, p)
}

// yieldToAsker denies the flow and pins it to the agent that asked. It forwards the Ask
// to the candidate that this agent would have asked, since an agent that has just joined
// may not know that candidate. The candidate's answer goes to the agent that asked.
// Without such a candidate, the packet returns to the agent that asked at once.
func (t *Table) yieldToAsker(packet *Packet, denied []lentilid.Place) (action Action) {
	next, ok := t.nextPreferred(packet, denied)
	p := t.pins.put(packet.Flow.Key, remote, packet.From, t.currentLimit())
	if p == nil {
		return Action{Verdict: DropFull}
	}
	p.placeSeenAt = t.now()
	if ok {
		return t.forward(packet, next, Ask)
	}
	return t.forward(packet, packet.From, Return)
}

// openFlow opens a new flow here or hands it off to a peer that has room.
func (t *Table) openFlow(packet *Packet) (action Action) {
	if peer, ok := t.handOffPeer(packet); ok {
		t.pins.put(packet.Flow.Key, remote, peer, t.currentLimit())
		t.counts.HandedOff++
		return t.forward(packet, peer, HandOff)
	}
	if t.refusesNewFlows() {
		return t.redirectToOwner(packet)
	}
	if t.pins.put(packet.Flow.Key, local, t.Self, t.currentLimit()) == nil {
		return Action{Verdict: DropFull}
	}
	t.counts.Opened++
	return Action{Verdict: Local}
}

// redirectToOwner sends a flow that this agent must not open to the owner of its
// bucket, which looks the flow up before it opens it.
func (t *Table) redirectToOwner(packet *Packet) (action Action) {
	next, ok := t.nextPreferred(packet, nil)
	if !ok {
		t.pins.remove(packet.Flow.Key)
		return Action{Verdict: DropNoRoom}
	}
	if t.pins.put(packet.Flow.Key, remote, next, t.currentLimit()) == nil {
		return Action{Verdict: DropFull}
	}
	return t.forward(packet, next, Owned)
}

// maxHandOffs is the highest number of agents that may hand off one flow.
const maxHandOffs = 2

// handOffPeer chooses a peer to which a new flow is handed off.
func (t *Table) handOffPeer(packet *Packet) (peer lentilid.Place, ok bool) {
	if t.HandOffPeer == nil || t.Protocol != lentilroute.QUIC {
		return lentilid.Place{}, false
	}
	hops := 0
	if packet.Hop.Purpose() == HandOff {
		hops = int(packet.Hop.Token())
	}
	if hops >= maxHandOffs {
		return lentilid.Place{}, false
	}
	peer, ok = t.HandOffPeer(hops)
	involved := peer.Agent() == t.Self.Agent() || peer.Agent() == packet.From.Agent()
	return peer, ok && !involved && !t.gone(peer)
}

// addNotice adds to the action a notice to the agent that asked, that the flow lives here.
func (t *Table) addNotice(packet *Packet, action Action) Action {
	if packet.Hop.Purpose() == Ask {
		action.NoticeTo = packet.From
		action.Notice = Notice{Key: packet.Flow.Key, Place: t.Self}
	}
	return action
}

// forward sends a packet to another agent. An Ask keeps the place and the token of
// the agent that asked, a Return keeps the token.
func (t *Table) forward(packet *Packet, place lentilid.Place, purpose Purpose) (action Action) {
	if packet.Hop.Count() >= MaxHops {
		// The pins of several agents may form a loop. Removing this pin breaks it.
		t.pins.remove(packet.Flow.Key)
		return Action{Verdict: DropHops}
	}
	action = Action{Verdict: Forward, Place: place, From: t.Self}
	token := packet.Hop.Token()
	switch purpose {
	case Ask:
		action.From = packet.From
	case HandOff:
		token = 1
		if packet.Hop.Purpose() == HandOff {
			token = packet.Hop.Token() + 1
		}
	}
	action.Hop = newHop(purpose, packet.Hop.Count()+1, token)
	return action
}
