// Package lentilpin keeps flows whole at an agent: for each packet that reaches
// the agent it decides whether the flow lives here, at a peer agent, or nowhere.
//
// Packets that carry a place need no memory. For all others the agent remembers
// the flow by its key: it pins the flow to itself, to a peer, or notes which
// peers it still has to ask before it may open the flow. Balancers and agents may
// disagree about who owns a bucket, so an agent opens an unknown flow only after
// every other agent that may hold it has denied it; and an agent that denies a flow
// pins it to the agent that asked. So of two agents that may both open a flow, one
// asks the other, and the one that is asked either has it or never opens it.
package lentilpin

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// Defaults of a Keeper's fields.
const (
	// DefaultMaxFlows bounds the flows that are remembered.
	DefaultMaxFlows = 1 << 17
	// DefaultIdleTimeoutQUIC is how long a first packet is remembered: longer than a handshake takes.
	DefaultIdleTimeoutQUIC = 30 * time.Second
	// DefaultIdleTimeoutDatagram is how long a flow without packets is remembered.
	DefaultIdleTimeoutDatagram = 5 * time.Minute
	// DefaultAskTimeout is how long a QUIC flow waits for an answer to Ask before it
	// is opened here. A second answer does such a flow no harm.
	DefaultAskTimeout = 150 * time.Millisecond
)

// denialTTL is how long a denial is relied on. The agent that denied a flow
// remembers to whom for longer, but only while it believes that agent to be alive.
const denialTTL = time.Second

// seenTTL is how long an agent counts as alive after it has asked for a flow,
// whatever its lease says: longer than control takes to tell that it is back.
const seenTTL = 5 * time.Second

// Bounds on the agents that are asked for one flow. A QUIC flow needs few: what it
// has to lose is a handshake that two agents have half of.
const (
	maxAskedQUIC     = 2
	maxAskedDatagram = 10
)

// Table decides what an agent does with packets. It is not safe for use by
// several goroutines. The zero Table works once Self is set: it then opens every
// unknown flow itself.
type Table struct {
	// Self is where flows of this agent live.
	Self lentilid.Place
	// Protocol is the protocol of the agent's service.
	Protocol lentilroute.Protocol
	// Clock tells the time. Nil means the machine's clock.
	Clock lentilclock.Clock
	// PreferredCandidates appends to dst the places that are likely to hold a flow with the hash,
	// the likeliest first, as lentilroute.Router.PreferredCandidates does. Nil means none.
	PreferredCandidates func(hash uint64, dst []lentilid.Place) []lentilid.Place
	// FallbackCandidates returns the places that may hold any flow while members change, as
	// lentilroute.Router.FallbackCandidates does. They are asked for flows that carry no place
	// only. Nil means none.
	FallbackCandidates func() []lentilid.Place
	// HandOffPeer chooses a peer for a new flow that hops agents have handed off
	// before, or returns false to open it here. It is asked for QUIC flows only: a flow that carries no place would be lost with
	// the agent that handed it off. Nil means that every flow is opened here.
	HandOffPeer func(hops int) (peer lentilid.Place, ok bool)
	// RefusesNewFlows reports whether this agent opens no flows, as while its copy drains. An
	// unknown flow then goes to its bucket's owner. Nil means that it opens flows.
	RefusesNewFlows func() bool
	// Out reports whether operators have taken a failure domain out. Nil means none.
	Out func(domain lentilid.Domain) bool
	// Gone reports whether a place is known to hold no flows any more, as
	// lentilroute.Router.Gone does. Nil means none.
	Gone func(place lentilid.Place) bool
	// MaxFlows, Idle and AskTimeout replace the defaults if they aren't zero.
	MaxFlows    int
	IdleTimeout time.Duration
	AskTimeout  time.Duration

	pins    pinStore
	counts  Counts
	scratch []lentilid.Place
}

// Counts says what a keeper has done since it was made.
type Counts struct {
	// Packets is all packets, Forwarded those that went to another agent.
	Packets, Forwarded uint64
	// Asked is how often a packet went to an agent to ask for its flow.
	Asked uint64
	// Opened and HandedOff count new flows.
	Opened, HandedOff uint64
	// Dropped counts by verdict.
	Dropped [DropNoRoom + 1]uint64
}

// Counts returns what the keeper has done.
func (k *Table) Counts() Counts { return k.counts }

// FlowCount returns how many flows the keeper remembers.
func (k *Table) FlowCount() int { return len(k.pins.byKey) }

// Decide says what the agent does with a packet and remembers what follows for
// the packet's flow.
func (k *Table) Decide(a *Packet) (action Action) {
	k.pins.expire(k.now(), k.idleTimeout())
	action = k.decide(a)
	k.countAction(&action)
	return action
}

// decide sorts packets by what they carry.
func (k *Table) decide(a *Packet) (action Action) {
	if a.Service != k.Self.Service() {
		return Action{Verdict: DropWrongService}
	}
	switch a.Flow.Verdict {
	case lentilroute.ToPlace:
		return k.decideByPlace(a)
	case lentilroute.ToBucket:
		return k.decideByKey(a)
	default:
		return Action{Verdict: DropMalformed}
	}
}

// decideByPlace decides on a packet that carries a place.
func (k *Table) decideByPlace(a *Packet) (action Action) {
	place := a.Flow.Place
	switch {
	case place.Service() != k.Self.Service():
		return Action{Verdict: DropWrongService}
	case place.Agent() != k.Self.Agent() && k.out(place):
		return Action{Verdict: DropDomainOut}
	case place.Agent() != k.Self.Agent():
		return k.forward(a, place, Owned)
	case place.Incarnation() != k.Self.Incarnation():
		return Action{Verdict: DropStale}
	default:
		return Action{Verdict: Local}
	}
}

// decideByKey decides on a packet of which only the flow's key is known.
func (k *Table) decideByKey(a *Packet) (action Action) {
	p := k.pins.get(a.Flow.Key, k.now())
	if p != nil && p.state == remote && k.unreachable(p) {
		k.pins.remove(a.Flow.Key)
		p = nil
	}
	purpose := a.Hop.Purpose()
	switch {
	case purpose == Ask && k.out(a.From):
		// One of the two has not heard yet that the failure domain is out or back.
		// Until it has, neither denies the flow to the other.
		return Action{Verdict: DropDomainOut}
	case p == nil && !a.Flow.MayOpen:
		return Action{Verdict: DropUnknown}
	case p == nil && purpose == Ask:
		return k.yieldToAsker(a, nil)
	case purpose == HandOff:
		return k.openFlow(a)
	case p == nil:
		return k.startLookup(a)
	case p.state == local:
		return k.addNotice(a, Action{Verdict: Local})
	case p.state == remote:
		return k.decideRemote(a, p)
	default:
		return k.decideLookup(a, p)
	}
}

// unreachable reports whether a pinned flow can't be reached any more. An agent whose lease
// is over may have been paused only: if it has asked since, it lives.
func (k *Table) unreachable(p *pin) bool {
	return k.out(p.place) || k.gone(p.place) && k.now().Sub(p.placeSeenAt) > seenTTL
}

// decideRemote decides on a packet of a flow that is pinned to another agent.
func (k *Table) decideRemote(a *Packet, p *pin) (action Action) {
	back := p.place.Agent() == a.From.Agent()
	switch purpose := a.Hop.Purpose(); {
	case purpose == Ask && back:
		return k.forward(a, a.From, Return)
	case purpose == Ask:
		return k.forward(a, p.place, Ask)
	case purpose == Owned && back:
		// Each believes that the other has the flow.
		return k.startLookup(a)
	default:
		return k.forward(a, p.place, Owned)
	}
}

// decideLookup decides on a packet of a flow that this agent still asks for.
func (k *Table) decideLookup(a *Packet, p *pin) (action Action) {
	switch purpose := a.Hop.Purpose(); {
	case purpose == Return && a.Hop.Token() == p.token:
		p.denied = append(p.denied, p.place)
		p.token++
	case purpose == Ask && a.From.Agent().Compare(k.Self.Agent()) < 0:
		// Both ask for the same flow: the lower address goes on, the other gives way.
		return k.yieldToAsker(a, p.denied)
	}
	return k.askNext(a, p)
}

// yieldToAsker says that the flow doesn't live here, and that it will live at the
// agent that asks. The question goes on to whom this agent would have asked, since
// an agent that has just joined may not know of it, and from there to the asker.
func (k *Table) yieldToAsker(a *Packet, denied []lentilid.Place) (action Action) {
	next, ok := k.nextPreferred(a, denied)
	p := k.pins.put(a.Flow.Key, remote, a.From, k.currentLimit())
	if p == nil {
		return Action{Verdict: DropFull}
	}
	p.placeSeenAt = k.now()
	if ok {
		return k.forward(a, next, Ask)
	}
	return k.forward(a, a.From, Return)
}

// openFlow takes a new flow: here, or at a peer that has room.
func (k *Table) openFlow(a *Packet) (action Action) {
	if peer, ok := k.handOffPeer(a); ok {
		k.pins.put(a.Flow.Key, remote, peer, k.currentLimit())
		k.counts.HandedOff++
		return k.forward(a, peer, HandOff)
	}
	if k.refusesNewFlows() {
		return k.redirectToOwner(a)
	}
	if k.pins.put(a.Flow.Key, local, k.Self, k.currentLimit()) == nil {
		return Action{Verdict: DropFull}
	}
	k.counts.Opened++
	return Action{Verdict: Local}
}

// redirectToOwner sends a flow that this agent doesn't open to the bucket's owner, which
// asks for it before it opens it.
func (k *Table) redirectToOwner(a *Packet) (action Action) {
	next, ok := k.nextPreferred(a, nil)
	if !ok {
		k.pins.remove(a.Flow.Key)
		return Action{Verdict: DropNoRoom}
	}
	if k.pins.put(a.Flow.Key, remote, next, k.currentLimit()) == nil {
		return Action{Verdict: DropFull}
	}
	return k.forward(a, next, Owned)
}

// maxHandOffs is how many agents may hand off one flow.
const maxHandOffs = 2

// handOffPeer chooses a peer for a new flow.
func (k *Table) handOffPeer(a *Packet) (peer lentilid.Place, ok bool) {
	if k.HandOffPeer == nil || k.Protocol != lentilroute.QUIC {
		return lentilid.Place{}, false
	}
	hops := 0
	if a.Hop.Purpose() == HandOff {
		hops = int(a.Hop.Token())
	}
	if hops >= maxHandOffs {
		return lentilid.Place{}, false
	}
	peer, ok = k.HandOffPeer(hops)
	known := peer.Agent() == k.Self.Agent() || peer.Agent() == a.From.Agent()
	return peer, ok && !known && !k.gone(peer)
}

// addNotice adds to action the notice for the agent that asks where the flow lives.
func (k *Table) addNotice(a *Packet, action Action) Action {
	if a.Hop.Purpose() == Ask {
		action.NoticeTo = a.From
		action.Notice = Notice{Key: a.Flow.Key, Place: k.Self}
	}
	return action
}

// forward hands a packet on. An Ask keeps the asker's name and token, and a
// Return the token.
func (k *Table) forward(a *Packet, place lentilid.Place, purpose Purpose) (action Action) {
	if a.Hop.Count() >= MaxHops {
		// Beliefs may run in a circle; without this one they don't.
		k.pins.remove(a.Flow.Key)
		return Action{Verdict: DropHops}
	}
	action = Action{Verdict: Forward, Place: place, From: k.Self}
	token := a.Hop.Token()
	switch purpose {
	case Ask:
		action.From = a.From
	case HandOff:
		token = 1
		if a.Hop.Purpose() == HandOff {
			token = a.Hop.Token() + 1
		}
	}
	action.Hop = newHop(purpose, a.Hop.Count()+1, token)
	return action
}
