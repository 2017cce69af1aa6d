package lentilmatrix

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilhandoff"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

const requestService = lentilid.Service(1)

// requestAgent is a simulated agent. It carries out the decisions of the product's admitter, ledger,
// issuer and chooser.
type requestAgent struct {
	sim         *requestSimulation
	name        string
	control     netip.AddrPort
	incarnation lentilid.Incarnation
	version     uint64
	admitter    lentiladmit.Admitter
	ledger      lentilticket.Ledger
	issuer      lentilticket.Issuer
	chooser     lentilhandoff.Chooser
	upstream    *requestCopy
	alive       bool
	paused      bool
	reportsIdle bool
	deferred    []func() // events that arrived while paused
	resumedAt   time.Time
	requests    map[uint64]*pendingRequest // by the ID at the admitter or in the ledger
}

// pendingRequest is an attempt that an agent has received and not answered.
type pendingRequest struct {
	id           uint64
	attempt      *attempt
	ticket       lentilticket.Ticket
	relayedBy    *requestAgent // the agent that relayed it, or nil
	arrivedAt    time.Time
	respond      func(r reply)
	run          *copyRun
	mayHaveRun   bool   // a copy may have begun to run it, here or at a peer
	beforeDrain  bool   // received before a drain began
	abandonRelay func() // ends the relay of the request, if one was started
}

// start starts a new incarnation of the agent.
func (a *requestAgent) start() {
	s := a.sim
	a.incarnation = lentilid.Incarnation(s.random.Uint64() | 1)
	a.version = 0
	a.alive, a.paused, a.deferred = true, false, nil
	a.requests = make(map[uint64]*pendingRequest)
	a.ledger = lentilticket.Ledger{Incarnation: a.incarnation}
	a.issuer = lentilticket.Issuer{Control: a.control, Incarnation: a.incarnation, Service: requestService}
	a.chooser = lentilhandoff.Chooser{Clock: s.schedule.Clock(), Random: s.random.Float64, Self: a.owner()}
	a.admitter = lentiladmit.Admitter{Clock: s.schedule.Clock(), Random: s.random.Float64, Limiter: lentillimit.Limiter{Slots: copySlots}}
	a.admitter.ChoosePeer = func(lentiladmit.Arrival) (lentilrecord.Record, bool) { return a.chooser.ChooseForRequest(a.load()) }
}

func (a *requestAgent) owner() lentilrecord.Owner {
	return lentilrecord.Owner{Copy: a.name, Incarnation: a.incarnation}
}

func (a *requestAgent) load() lentilhandoff.Load {
	return lentilhandoff.Load{Smoothed: a.admitter.Load(), Demand: a.admitter.Demand(), Capacity: a.admitter.Limiter.Capacity()}
}

// deliver runs an event at the agent: now, after the pause if it is paused, or never if it is dead.
func (a *requestAgent) deliver(event func()) {
	switch {
	case !a.alive:
	case a.paused:
		a.deferred = append(a.deferred, event)
	default:
		event()
	}
}

// forIncarnation returns a function that delivers an event to the current incarnation of the agent. It
// does nothing once another incarnation has started.
func (a *requestAgent) forIncarnation(event func()) func() {
	incarnation := a.incarnation
	return func() {
		if a.incarnation == incarnation {
			a.deliver(event)
		}
	}
}

// crash ends the incarnation. The next one starts at the same address after requestFaultDuration.
func (a *requestAgent) crash() {
	a.alive = false
	for _, id := range slices.Sorted(maps.Keys(a.requests)) {
		if r := a.requests[id].run; r != nil {
			a.upstream.cancelRun(r)
		}
	}
	a.sim.schedule.After(requestFaultDuration, a.start)
}

// pause suspends the agent for a time. Events that arrive meanwhile are handled when it resumes.
func (a *requestAgent) pause(d time.Duration) {
	a.paused = true
	incarnation := a.incarnation
	a.sim.schedule.After(d, func() {
		if a.incarnation != incarnation || !a.alive {
			return
		}
		a.paused, a.resumedAt = false, a.sim.schedule.Now()
		deferred := a.deferred
		a.deferred = nil
		for _, event := range deferred {
			a.deliver(event)
		}
	})
}

func (a *requestAgent) drain() {
	for _, req := range a.requests {
		req.beforeDrain = true
	}
	a.perform(a.admitter.Drain())
}

// receive handles an attempt that comes from a caller, or from the peer that relayed it.
func (a *requestAgent) receive(t *attempt, relayedBy *requestAgent, respond func(r reply)) {
	req := &pendingRequest{id: a.sim.nextID(), attempt: t, relayedBy: relayedBy, arrivedAt: a.sim.schedule.Now(), respond: respond}
	if t.call.kind != kindOnce {
		a.admit(req)
		return
	}
	if t.ticket == "" {
		a.issueTicket(req)
		return
	}
	ticket, err := a.sim.ring.Parse(t.ticket)
	if err != nil {
		a.sim.violatef("call %d presented a malformed ticket: %v", t.call.id, err)
		return
	}
	req.ticket = ticket
	a.presentTicket(req)
}

// issueTicket answers an attempt without a ticket with a new one, or refuses it while the agent drains.
func (a *requestAgent) issueTicket(req *pendingRequest) {
	if a.admitter.Draining() {
		req.respond(reply{kind: replyNotRun, retryAfter: time.Second})
		return
	}
	text, err := a.sim.ring.Seal(a.issuer.Issue())
	if err != nil {
		a.sim.violatef("sealing a ticket failed: %v", err)
	}
	a.sim.reachStep(stepIssued, a, req.attempt)
	req.respond(reply{kind: replyTicket, text: text})
}

// presentTicket checks the ticket of an attempt against the ledger, and acts on the verdict.
func (a *requestAgent) presentTicket(req *pendingRequest) {
	c := req.attempt.call
	decision := a.ledger.Present(req.ticket, lentilticket.NewFingerprint("POST", "/bookings", []byte(c.body)), req.id)
	switch decision.Verdict() {
	case lentilticket.VerdictRun:
		a.sim.reachStep(stepBound, a, req.attempt)
		a.admit(req)
	case lentilticket.VerdictWait:
		a.requests[req.id] = req
	case lentilticket.VerdictReplay:
		a.sim.reachStep(stepReplayed, a, req.attempt)
		req.respond(reply{kind: replyAnswer, text: string(decision.Answer().Body)})
	case lentilticket.VerdictElsewhere:
		a.relayByTicket(req, decision.Ticket())
	case lentilticket.VerdictRefuse:
		a.sim.violatef("call %d was refused its own ticket", c.id)
	default:
		req.respond(reply{kind: replyUnknown})
	}
}

// relayByTicket relays an attempt to the agent that its ticket names. An attempt that was relayed
// before isn't relayed again: its outcome is unknown.
func (a *requestAgent) relayByTicket(req *pendingRequest, ticket lentilticket.Ticket) {
	peer := a.sim.agentAt(ticket.Control())
	if req.relayedBy != nil || peer == nil {
		req.respond(reply{kind: replyUnknown})
		return
	}
	done := false
	end := func(r reply) {
		if !done {
			done = true
			req.respond(r)
		}
	}
	a.sendRelay(peer, req, end)
}

// sendRelay relays an attempt to a peer, and calls end with the reply. At the deadline, or when the
// relay is abandoned, it reports the outcome as unknown and closes the call at the peer. Streams have
// no deadline.
func (a *requestAgent) sendRelay(peer *requestAgent, req *pendingRequest, end func(r reply)) {
	s, t := a.sim, req.attempt
	req.abandonRelay = a.forIncarnation(func() {
		end(reply{kind: replyUnknown})
		peer.deliver(func() { peer.handleClosed(t, a) })
	})
	if t.call.kind != kindStream {
		s.schedule.At(t.deadline, req.abandonRelay)
	}
	s.reachStep(stepRelayed, a, t)
	respond := func(r reply) {
		s.send(message{kind: messageRelayAnswer, call: t.call}, a.forIncarnation(func() { end(r) }))
	}
	s.send(message{kind: messageRelay, call: t.call}, func() {
		peer.deliver(func() { peer.receive(t, a, respond) })
	})
}
