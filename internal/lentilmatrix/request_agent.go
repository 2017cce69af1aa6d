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

// requestAgent is a thin shell around the real decisions of one agent.
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
	deferred    []func() // what came while paused
	resumedAt   time.Time
	requests    map[uint64]*pendingRequest // by number at the admitter or as a waiter
}

// pendingRequest is an attempt at an agent.
type pendingRequest struct {
	id           uint64
	attempt      *attempt
	ticket       lentilticket.Ticket
	relayedBy    *requestAgent // who relayed it, or nil
	arrivedAt    time.Time
	respond      func(r reply)
	run          *copyRun
	mayHaveRun   bool   // a run of this work may have begun, here or at a peer
	beforeDrain  bool   // taken before a drain began
	abandonRelay func() // ends a relay that is under way
}

// start begins a new incarnation.
func (a *requestAgent) start() {
	w := a.sim
	a.incarnation = lentilid.Incarnation(w.random.Uint64() | 1)
	a.version = 0
	a.alive, a.paused, a.deferred = true, false, nil
	a.requests = make(map[uint64]*pendingRequest)
	a.ledger = lentilticket.Ledger{Incarnation: a.incarnation}
	a.issuer = lentilticket.Issuer{Control: a.control, Incarnation: a.incarnation, Service: requestService}
	a.chooser = lentilhandoff.Chooser{Clock: w.schedule.Clock(), Random: w.random.Float64, Self: a.owner()}
	a.admitter = lentiladmit.Admitter{Clock: w.schedule.Clock(), Random: w.random.Float64, Limiter: lentillimit.Limiter{Slots: copySlots}}
	a.admitter.ChoosePeer = func(lentiladmit.Arrival) (lentilrecord.Record, bool) { return a.chooser.ChooseForRequest(a.load()) }
}

func (a *requestAgent) owner() lentilrecord.Owner {
	return lentilrecord.Owner{Copy: a.name, Incarnation: a.incarnation}
}

func (a *requestAgent) load() lentilhandoff.Load {
	return lentilhandoff.Load{Smoothed: a.admitter.Load(), Demand: a.admitter.Demand(), Capacity: a.admitter.Limiter.Capacity()}
}

// deliver gives an agent something to do: now, when it resumes, or never.
func (a *requestAgent) deliver(f func()) {
	switch {
	case !a.alive:
	case a.paused:
		a.deferred = append(a.deferred, f)
	default:
		f()
	}
}

// forIncarnation returns f for this incarnation only: what was under way does not reach the next one.
func (a *requestAgent) forIncarnation(f func()) func() {
	incarnation := a.incarnation
	return func() {
		if a.incarnation == incarnation {
			a.deliver(f)
		}
	}
}

// crash ends the incarnation; another starts a while later, on the same address.
func (a *requestAgent) crash() {
	a.alive = false
	for _, k := range slices.Sorted(maps.Keys(a.requests)) {
		if r := a.requests[k].run; r != nil {
			a.upstream.cancelRun(r)
		}
	}
	a.sim.schedule.After(requestFaultDuration, a.start)
}

func (a *requestAgent) pause(d time.Duration) {
	a.paused = true
	incarnation := a.incarnation
	a.sim.schedule.After(d, func() {
		if a.incarnation != incarnation || !a.alive {
			return
		}
		a.paused, a.resumedAt = false, a.sim.schedule.Now()
		mail := a.deferred
		a.deferred = nil
		for _, f := range mail {
			a.deliver(f)
		}
	})
}

func (a *requestAgent) drain() {
	for _, x := range a.requests {
		x.beforeDrain = true
	}
	a.perform(a.admitter.Drain())
}

// receive takes an attempt from a caller, or from a peer.
func (a *requestAgent) receive(t *attempt, from *requestAgent, respond func(r reply)) {
	x := &pendingRequest{id: a.sim.nextID(), attempt: t, relayedBy: from, arrivedAt: a.sim.schedule.Now(), respond: respond}
	if t.call.kind != kindOnce {
		a.admit(x)
		return
	}
	if t.ticket == "" {
		a.issueTicket(x)
		return
	}
	ticket, err := a.sim.ring.Parse(t.ticket)
	if err != nil {
		a.sim.violatef("ticket of call %d: %v", t.call.id, err)
		return
	}
	x.ticket = ticket
	a.presentTicket(x)
}

func (a *requestAgent) issueTicket(x *pendingRequest) {
	if a.admitter.Draining() {
		x.respond(reply{kind: replyNotRun, retryAfter: time.Second})
		return
	}
	text, err := a.sim.ring.Seal(a.issuer.Issue())
	if err != nil {
		a.sim.violatef("seal: %v", err)
	}
	a.sim.reachStep(stepIssued, a, x.attempt)
	x.respond(reply{kind: replyTicket, text: text})
}

func (a *requestAgent) presentTicket(x *pendingRequest) {
	c := x.attempt.call
	decision := a.ledger.Present(x.ticket, lentilticket.NewFingerprint("POST", "/bookings", []byte(c.body)), x.id)
	switch decision.Verdict() {
	case lentilticket.VerdictRun:
		a.sim.reachStep(stepBound, a, x.attempt)
		a.admit(x)
	case lentilticket.VerdictWait:
		a.requests[x.id] = x
	case lentilticket.VerdictReplay:
		a.sim.reachStep(stepReplayed, a, x.attempt)
		x.respond(reply{kind: replyAnswer, text: string(decision.Answer().Body)})
	case lentilticket.VerdictElsewhere:
		a.relayByTicket(x, decision.Ticket())
	case lentilticket.VerdictRefuse:
		a.sim.violatef("call %d was refused its own ticket", c.id)
	default:
		x.respond(reply{kind: replyUnknown})
	}
}

// relayByTicket passes an attempt to the agent that its ticket names, once.
func (a *requestAgent) relayByTicket(x *pendingRequest, ticket lentilticket.Ticket) {
	peer := a.sim.agentAt(ticket.Control())
	if x.relayedBy != nil || peer == nil {
		x.respond(reply{kind: replyUnknown})
		return
	}
	done := false
	end := func(r reply) {
		if !done {
			done = true
			x.respond(r)
		}
	}
	a.sendRelay(peer, x, end)
}

// sendRelay sends an attempt to a peer and hands the reply on. At the deadline the outcome is
// unknown, and the peer sees the call closed.
func (a *requestAgent) sendRelay(peer *requestAgent, x *pendingRequest, end func(r reply)) {
	w, t := a.sim, x.attempt
	x.abandonRelay = a.forIncarnation(func() {
		end(reply{kind: replyUnknown})
		peer.deliver(func() { peer.handleClosed(t, a) })
	})
	if t.call.kind != kindStream {
		w.schedule.At(t.deadline, x.abandonRelay)
	}
	w.reachStep(stepRelayed, a, t)
	back := func(r reply) {
		w.send(message{kind: messageRelayAnswer, call: t.call}, a.forIncarnation(func() { end(r) }))
	}
	w.send(message{kind: messageRelay, call: t.call}, func() {
		peer.deliver(func() { peer.receive(t, a, back) })
	})
}
