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

const serviceNumber = lentilid.Service(1)

// requestAgent is a thin shell around the real decisions of one agent.
type requestAgent struct {
	world       *requestWorld
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
	lies        bool
	mail        []func() // what came while paused
	resumedAt   time.Time
	works       map[uint64]*work // by number at the admitter or as a waiter
}

// work is an attempt at an agent.
type work struct {
	id      uint64
	attempt *attempt
	ticket  lentilticket.Ticket
	from    *requestAgent // who relayed it, or nil
	arrived time.Time
	respond func(r reply)
	run     *run
	begun   bool   // a run of this work may have begun, here or at a peer
	before  bool   // taken before a drain began
	drop    func() // ends a relay that is under way
}

// start begins a new incarnation.
func (a *requestAgent) start() {
	w := a.world
	a.incarnation = lentilid.Incarnation(w.random.Uint64() | 1)
	a.version = 0
	a.alive, a.paused, a.mail = true, false, nil
	a.works = make(map[uint64]*work)
	a.ledger = lentilticket.Ledger{Incarnation: a.incarnation}
	a.issuer = lentilticket.Issuer{Control: a.control, Incarnation: a.incarnation, Service: serviceNumber}
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
		a.mail = append(a.mail, f)
	default:
		f()
	}
}

// own returns f for this incarnation only: what was under way does not reach the next one.
func (a *requestAgent) own(f func()) func() {
	incarnation := a.incarnation
	return func() {
		if a.incarnation == incarnation {
			a.deliver(f)
		}
	}
}

// die ends the incarnation; another starts a while later, on the same address.
func (a *requestAgent) die() {
	a.alive = false
	for _, k := range slices.Sorted(maps.Keys(a.works)) {
		if r := a.works[k].run; r != nil {
			a.upstream.cancel(r)
		}
	}
	a.world.schedule.After(faultLength, a.start)
}

func (a *requestAgent) pause(d time.Duration) {
	a.paused = true
	incarnation := a.incarnation
	a.world.schedule.After(d, func() {
		if a.incarnation != incarnation || !a.alive {
			return
		}
		a.paused, a.resumedAt = false, a.world.schedule.Now()
		mail := a.mail
		a.mail = nil
		for _, f := range mail {
			a.deliver(f)
		}
	})
}

func (a *requestAgent) drain() {
	for _, x := range a.works {
		x.before = true
	}
	a.perform(a.admitter.Drain())
}

// receive takes an attempt from a caller, or from a peer.
func (a *requestAgent) receive(t *attempt, from *requestAgent, respond func(r reply)) {
	x := &work{id: a.world.number(), attempt: t, from: from, arrived: a.world.schedule.Now(), respond: respond}
	if t.call.kind != kindOnce {
		a.admit(x)
		return
	}
	if t.ticket == "" {
		a.issue(x)
		return
	}
	ticket, err := a.world.ring.Parse(t.ticket)
	if err != nil {
		a.world.fail("ticket of call %d: %v", t.call.id, err)
		return
	}
	x.ticket = ticket
	a.present(x)
}

func (a *requestAgent) issue(x *work) {
	if a.admitter.Draining() {
		x.respond(reply{kind: replyNotRun, after: time.Second})
		return
	}
	text, err := a.world.ring.Seal(a.issuer.Issue())
	if err != nil {
		a.world.fail("seal: %v", err)
	}
	a.world.reach(stepIssued, a, x.attempt)
	x.respond(reply{kind: replyTicket, text: text})
}

func (a *requestAgent) present(x *work) {
	c := x.attempt.call
	decision := a.ledger.Present(x.ticket, lentilticket.NewFingerprint("POST", "/bookings", []byte(c.body)), x.id)
	switch decision.Verdict() {
	case lentilticket.VerdictRun:
		a.world.reach(stepBound, a, x.attempt)
		a.admit(x)
	case lentilticket.VerdictWait:
		a.works[x.id] = x
	case lentilticket.VerdictReplay:
		a.world.reach(stepReplayed, a, x.attempt)
		x.respond(reply{kind: replyAnswer, text: string(decision.Answer().Body)})
	case lentilticket.VerdictElsewhere:
		a.elsewhere(x, decision.Ticket())
	case lentilticket.VerdictRefuse:
		a.world.fail("call %d was refused its own ticket", c.id)
	default:
		x.respond(reply{kind: replyUnknown})
	}
}

// elsewhere passes an attempt to the agent that its ticket names, once.
func (a *requestAgent) elsewhere(x *work, ticket lentilticket.Ticket) {
	peer := a.world.find(ticket.Control())
	if x.from != nil || peer == nil {
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
	a.pass(peer, x, end)
}

// pass sends an attempt to a peer and hands the reply on. At the deadline the outcome is
// unknown, and the peer sees the call closed.
func (a *requestAgent) pass(peer *requestAgent, x *work, end func(r reply)) {
	w, t := a.world, x.attempt
	x.drop = a.own(func() {
		end(reply{kind: replyUnknown})
		peer.deliver(func() { peer.closed(t, a) })
	})
	if t.call.kind != kindStream {
		w.schedule.At(t.deadline, x.drop)
	}
	w.reach(stepRelayed, a, t)
	back := func(r reply) {
		w.send(message{kind: messageRelayAnswer, call: t.call}, a.own(func() { end(r) }))
	}
	w.send(message{kind: messageRelay, call: t.call}, func() {
		peer.deliver(func() { peer.receive(t, a, back) })
	})
}
