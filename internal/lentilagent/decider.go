package lentilagent

import (
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"

	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilhandoff"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

// figures is what the decider shows to the rest of the agent.
type figures struct {
	weight   uint16
	load     uint16
	pressing uint16
	bears    uint16
	cold     bool
	draining bool
	idle     bool
	inFlight int
	streams  int
	queued   int
}

// decider is the actor that owns every decision about requests.
type decider struct {
	admitter lentiladmit.Admitter
	ledger   lentilticket.Ledger
	issuer   lentilticket.Issuer
	chooser  lentilhandoff.Chooser

	exchanges map[uint64]*exchange
	waiting   map[uint64]*exchange
	// keepPlaced is true if requests aren't relayed to peers with more room.
	keepPlaced bool
	shown      *atomic.Pointer[figures]
}

// newDecider returns the decider of an agent.
func newDecider(o *Options, shown *atomic.Pointer[figures]) (d *decider) {
	d = &decider{
		ledger:    lentilticket.Ledger{Incarnation: o.Incarnation},
		issuer:    lentilticket.Issuer{Control: o.Control, Incarnation: o.Incarnation, Service: o.Service},
		exchanges: make(map[uint64]*exchange),
		waiting:   make(map[uint64]*exchange),
		shown:     shown,

		keepPlaced: o.KeepPlaced,
	}
	d.chooser = lentilhandoff.Chooser{Clock: o.Clock, Random: o.Random, Self: lentilrecord.Owner{Copy: o.Copy, Incarnation: o.Incarnation}}
	d.admitter = newAdmitter(o.Clock, o.Random)
	d.admitter.ChoosePeer = d.peerFor
	d.admitter.Limiter.WarmupTime = o.Warm
	d.show()
	return d
}

// newAdmitter returns the admitter for a copy that has just started.
func newAdmitter(clock lentilclock.Clock, random func() float64) lentiladmit.Admitter {
	return lentiladmit.Admitter{Clock: clock, Random: random, Limiter: lentillimit.Limiter{Clock: clock}}
}

// Receive implements actor.Actor.
func (d *decider) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case arrived:
		d.admit(m.exchange)
	case ticketless:
		d.issue(m.exchange)
	case presented:
		d.present(m)
	case finished:
		d.perform(d.admitter.Finished(m.exchange.id, m.outcome))
	case notBegun:
		d.perform(d.admitter.NotRun(m.exchange.id, m.outcome))
		d.forgetUnrun(m.exchange)
	case lost:
		d.lose(m)
	case settled:
		d.settle(m)
	case relayEnded:
		d.relayed(m)
	case asked:
		d.delegate(m)
	case cancelled:
		d.cancel(m.exchange)
	case tick:
		d.perform(d.admitter.Tick())
	case drain:
		d.drain(m.begin)
	case configured:
		d.configure(m)
	case peered:
		d.learn(m.records)
	case cold:
		d.countCold()
	default:
		return
	}
	d.sweep(ctx.Message())
	d.show()
}

// admit hands a request to the admitter.
func (d *decider) admit(x *exchange) {
	d.exchanges[x.id] = x
	d.perform(d.admitter.Arrive(lentiladmit.Arrival{
		ID:        x.id,
		Kind:      x.kind,
		Deadline:  x.deadline,
		Caller:    x.caller,
		Relayed:   x.relayed,
		LocalOnly: x.fixed,
	}))
}

// issue gives a ticket, or names a peer that had better give one: whoever gives
// the ticket runs the request.
func (d *decider) issue(x *exchange) {
	arrival := lentiladmit.Arrival{ID: x.id, Kind: x.kind, Caller: x.caller, Relayed: x.relayed, LocalOnly: x.fixed}
	if peer, ok := d.peerFor(arrival); ok {
		d.sent(peer)
		x.reply(reply{order: orderRelay, peer: peer})
		return
	}
	switch {
	case d.admitter.Draining():
		x.reply(reply{order: orderRefuse, reason: lentiladmit.ReasonDraining, retryAfter: lentiladmit.MinRetryAfter})
		return
	case x.relayed && !d.admitter.Limiter.CanSend():
		// The peer that asks still has the request, and may ask another.
		x.reply(reply{order: orderRefuse, reason: lentiladmit.ReasonQueueFull, retryAfter: lentiladmit.MinRetryAfter})
		return
	}
	x.reply(reply{order: orderTicket, ticket: d.issuer.Issue()})
}

// present looks a ticket up and runs its request if nobody did.
func (d *decider) present(m presented) {
	x := m.exchange
	decision := d.ledger.Present(m.ticket, m.fingerprint, x.id)
	switch decision.Verdict() {
	case lentilticket.VerdictRun:
		x.ticket = m.ticket
		d.admit(x)
	case lentilticket.VerdictWait:
		x.ticket = m.ticket
		d.waiting[x.id] = x
	case lentilticket.VerdictReplay:
		x.reply(reply{order: orderReplay, answer: decision.Answer()})
	case lentilticket.VerdictElsewhere:
		x.reply(reply{order: orderElsewhere, ticket: decision.Ticket()})
	case lentilticket.VerdictRefuse:
		x.reply(reply{order: orderMisused})
	default:
		x.reply(reply{order: orderUnknown})
	}
}

// delegate hands a request over to the peer that gave a ticket. From here on this
// incarnation never runs it, and sends every attempt to that peer.
func (d *decider) delegate(m asked) {
	x := m.exchange
	if m.told {
		d.chooser.Observe(m.peer, m.load)
	}
	if m.ticket.IsZero() {
		if !m.gone {
			d.chooser.Refused(m.peer)
		}
		d.perform(d.admitter.RelayEnded(x.id, lentiladmit.RelayNotRun))
		d.forgetUnrun(x)
		return
	}
	r := reply{order: orderElsewhere, ticket: m.ticket}
	x.reply(r)
	d.wake(d.ledger.Delegate(x.ticket, m.ticket), r)
	d.perform(d.admitter.RelayEnded(x.id, lentiladmit.RelayAnswered))
}

// settle stores the answer of a run under a ticket and gives it to all who wait for it.
func (d *decider) settle(m settled) {
	d.perform(d.admitter.Finished(m.exchange.id, m.outcome))
	r := reply{order: orderReplay, answer: m.answer}
	m.exchange.reply(r)
	d.wake(d.ledger.Complete(m.exchange.ticket, m.answer), r)
}

// lose closes a call that may have been run and gave no answer.
func (d *decider) lose(m lost) {
	x := m.exchange
	d.perform(d.admitter.AnswerLost(x.id, m.outcome))
	if x.ticket.IsZero() {
		return
	}
	r := reply{order: orderUnknown}
	x.reply(r)
	d.wake(d.ledger.Lost(x.ticket), r)
}

// wake gives the same reply to all who wait for a run.
func (d *decider) wake(waiters []uint64, r reply) {
	for _, id := range waiters {
		if x := d.waiting[id]; x != nil {
			delete(d.waiting, id)
			x.reply(r)
		}
	}
}

// perform passes the admitter's actions to the handlers.
func (d *decider) perform(actions []lentiladmit.Action) {
	for _, a := range actions {
		x := d.exchanges[a.ID()]
		if x == nil {
			continue
		}
		switch a.Kind() {
		case lentiladmit.ActionDispatch:
			x.reply(reply{order: orderRun})
		case lentiladmit.ActionRelay:
			d.relay(x, a.Peer())
		case lentiladmit.ActionRefuse:
			d.refuse(x, reply{order: orderRefuse, reason: a.Reason(), retryAfter: a.RetryAfter()})
		case lentiladmit.ActionReportUnknown:
			x.reply(reply{order: orderUnknown})
		case lentiladmit.ActionAbort:
			x.stop()
		}
	}
}

// relay has a peer run a request that has not begun: one with a ticket of this
// incarnation only under a ticket of the peer's own.
func (d *decider) relay(x *exchange, peer lentilrecord.Record) {
	d.sent(peer)
	how := orderRelay
	if !x.ticket.IsZero() {
		how = orderAsk
	}
	x.reply(reply{order: how, peer: peer})
}

// sent notes that a request goes to a peer.
func (d *decider) sent(peer lentilrecord.Record) {
	d.chooser.SentRequest(peer.Owner(), d.admitter.Limiter.ExpectedDuration())
}

// refuse answers a request that was surely not run, and all who wait for it.
func (d *decider) refuse(x *exchange, r reply) {
	delete(d.exchanges, x.id)
	x.reply(r)
	if !x.ticket.IsZero() {
		d.wake(d.ledger.NotBegun(x.ticket), r)
	}
}

// forgetUnrun closes a request that surely didn't run if the admitter has given it
// up without a word, since its caller has gone.
func (d *decider) forgetUnrun(x *exchange) {
	if d.exchanges[x.id] != nil && !d.admitter.Holds(x.id) {
		d.refuse(x, reply{order: orderRefuse, reason: lentiladmit.ReasonCopy, retryAfter: lentiladmit.MinRetryAfter})
	}
}

// sweep forgets the exchange of a message if the admitter has.
func (d *decider) sweep(message any) {
	var x *exchange
	switch m := message.(type) {
	case finished:
		x = m.exchange
	case lost:
		x = m.exchange
	case settled:
		x = m.exchange
	case relayEnded:
		x = m.exchange
	case asked:
		x = m.exchange
	default:
		return
	}
	if !d.admitter.Holds(x.id) {
		delete(d.exchanges, x.id)
	}
}

// cancel takes a request back whose caller has gone. A run under a ticket goes on. The
// handler has ended, so that the orders which it has not read are taken back too.
func (d *decider) cancel(x *exchange) {
	if d.waiting[x.id] != nil {
		delete(d.waiting, x.id)
		d.ledger.Leave(x.ticket, x.id)
		return
	}
	if d.exchanges[x.id] == nil {
		return
	}
	d.perform(d.admitter.Cancelled(x.id))
	d.takeBack(x)
	d.forgetUnrun(x)
}

// takeBack closes what the unread orders to a handler have begun.
func (d *decider) takeBack(x *exchange) {
	for {
		select {
		case r := <-x.replies:
			switch r.order {
			case orderRun:
				d.perform(d.admitter.NotRun(x.id, lentillimit.OutcomeCancelled))
			case orderRelay, orderAsk:
				d.perform(d.admitter.RelayEnded(x.id, lentiladmit.RelayNotRun))
			}
		default:
			return
		}
	}
}

// relayed takes in how a relay ended.
func (d *decider) relayed(m relayEnded) {
	if m.told {
		d.chooser.Observe(m.peer, m.load)
	}
	if m.result == lentiladmit.RelayNotRun {
		d.chooser.Refused(m.peer)
	}
	d.perform(d.admitter.RelayEnded(m.exchange.id, m.result))
}

// drain begins or ends a planned stop.
func (d *decider) drain(begin bool) {
	if !begin {
		d.admitter.Resume()
		return
	}
	d.perform(d.admitter.Drain())
}

// configure puts the figures of the service in force.
func (d *decider) configure(m configured) {
	d.admitter.Limiter.Slots = m.slots
	d.admitter.MaxStreams = m.connections
	d.chooser.Out = m.out
}

// learn takes in the peers' records.
func (d *decider) learn(records []lentilrecord.Record) {
	for _, r := range records {
		if r.Service() == d.issuer.Service {
			d.chooser.Learn(r)
		}
	}
}

// countCold makes the copy count as cold, as if it had just started.
func (d *decider) countCold() {
	old := &d.admitter.Limiter
	d.admitter.Limiter = lentillimit.Limiter{Clock: old.Clock, Slots: old.Slots, WarmupTime: old.WarmupTime, TypicalDuration: old.TypicalDuration}
}

// peerFor chooses a peer for a request that has not begun.
func (d *decider) peerFor(arrival lentiladmit.Arrival) (peer lentilrecord.Record, ok bool) {
	if arrival.Relayed || arrival.LocalOnly || d.keepPlaced && !d.admitter.Draining() {
		return lentilrecord.Record{}, false
	}
	return d.chooser.ForRequest(d.load())
}

// load returns the load of the own copy.
func (d *decider) load() (load lentilhandoff.Load) {
	load = lentilhandoff.Load{Busy: d.admitter.Load(), Now: d.admitter.Demand(), Bears: d.admitter.Limiter.Capacity()}
	if d.admitter.Draining() {
		load.Bears = 0
	}
	return load
}

// show publishes the figures.
func (d *decider) show() {
	d.shown.Store(&figures{
		weight:   d.admitter.Limiter.Weight(),
		load:     d.admitter.Load(),
		pressing: d.admitter.Demand(),
		bears:    d.admitter.Limiter.Capacity(),
		cold:     d.admitter.Limiter.Cold(),
		draining: d.admitter.Draining(),
		idle:     d.admitter.Idle() && len(d.exchanges) == 0 && len(d.waiting) == 0,
		inFlight: d.admitter.InFlight(),
		streams:  d.admitter.Streams(),
		queued:   d.admitter.Queued(),
	})
}
