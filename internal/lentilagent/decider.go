package lentilagent

import (
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilhandoff"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilretry"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

// figures is what the decider shows to the rest of the agent.
type figures struct {
	weight   uint16
	load     uint16
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
	budget   lentilretry.Budget

	exchanges map[uint64]*exchange
	waiting   map[uint64]*exchange
	draining  bool
	shown     *atomic.Pointer[figures]
}

// newDecider returns the decider of an agent.
func newDecider(o *Options, shown *atomic.Pointer[figures]) (d *decider) {
	d = &decider{
		ledger:    lentilticket.Ledger{Incarnation: o.Incarnation},
		issuer:    lentilticket.Issuer{Control: o.Control, Incarnation: o.Incarnation, Service: o.Service},
		exchanges: make(map[uint64]*exchange),
		waiting:   make(map[uint64]*exchange),
		shown:     shown,
	}
	d.chooser = lentilhandoff.Chooser{Clock: o.Clock, Random: o.Random, Self: lentilrecord.Owner{Copy: o.Copy, Incarnation: o.Incarnation}}
	d.admitter = newAdmitter(o.Clock, o.Random)
	d.admitter.Peer = d.peerFor
	d.admitter.Limiter.Warm = o.Warm
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
		d.leave(m.exchange, m.outcome == lentillimit.OutcomeDone)
	case settled:
		d.settle(m)
	case relayEnded:
		d.relayed(m)
	case cancelled:
		d.cancel(m.exchange)
	case retry:
		d.retry(m)
	case tick:
		d.admitter.Limiter.Tick()
		d.perform(d.admitter.Tick())
	case drain:
		d.draining = true
		d.perform(d.admitter.Drain())
	case configured:
		d.configure(m)
	case peered:
		d.learn(m.records)
	case cold:
		d.chill()
	default:
		return
	}
	d.show()
}

// admit hands a request to the admitter.
func (d *decider) admit(x *exchange) {
	d.exchanges[x.id] = x
	d.perform(d.admitter.Arrive(lentiladmit.Arrival{
		ID:       x.id,
		Kind:     x.kind,
		Deadline: x.deadline,
		Relayed:  x.relayed,
		Bound:    x.fixed || !x.ticket.IsZero(),
	}))
}

// issue gives a ticket, or names a peer that had better give one: whoever gives
// the ticket runs the request.
func (d *decider) issue(x *exchange) {
	if d.draining || !d.admitter.Limiter.Free() {
		if peer, ok := d.peerFor(lentiladmit.Arrival{ID: x.id, Kind: x.kind, Relayed: x.relayed}); ok && !x.relayed {
			d.chooser.SentRequest(peer.Owner(), d.admitter.Limiter.Expected())
			x.reply(reply{order: orderRelay, peer: peer})
			return
		}
	}
	if d.draining {
		x.reply(reply{order: orderRefuse, reason: lentiladmit.ReasonDraining, retryAfter: time.Second})
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

// settle closes a run under a ticket and tells everybody who waits for it.
func (d *decider) settle(m settled) {
	x := m.exchange
	d.perform(d.admitter.Finished(x.id, m.outcome))
	delete(d.exchanges, x.id)
	switch m.ending {
	case endingWhole:
		r := reply{order: orderReplay, answer: m.answer}
		x.reply(r)
		d.wake(d.ledger.Complete(x.ticket, m.answer), r)
	case endingNotBegun:
		r := reply{order: orderRefuse, reason: lentiladmit.ReasonDraining, retryAfter: time.Second}
		x.reply(r)
		d.wake(d.ledger.NotBegun(x.ticket), r)
	default:
		r := reply{order: orderUnknown}
		x.reply(r)
		d.wake(d.ledger.Lost(x.ticket), r)
	}
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
			x.run = true
			x.reply(reply{order: orderRun})
		case lentiladmit.ActionRelay:
			d.chooser.SentRequest(a.Peer().Owner(), d.admitter.Limiter.Expected())
			x.reply(reply{order: orderRelay, peer: a.Peer()})
		case lentiladmit.ActionRefuse:
			r := reply{order: orderRefuse, reason: a.Reason(), retryAfter: a.RetryAfter()}
			x.reply(r)
			d.notBegun(x, r)
		case lentiladmit.ActionUnknown:
			x.reply(reply{order: orderUnknown})
			if !x.run {
				delete(d.exchanges, x.id)
			}
		case lentiladmit.ActionAbort:
			x.stop()
		}
	}
}

// notBegun forgets a request that never reached the copy.
func (d *decider) notBegun(x *exchange, r reply) {
	delete(d.exchanges, x.id)
	if !x.ticket.IsZero() {
		d.wake(d.ledger.NotBegun(x.ticket), r)
	}
}

// cancel takes a request back whose caller has gone. A run under a ticket goes on.
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
	if !x.run {
		d.notBegun(x, reply{order: orderRefuse, reason: lentiladmit.ReasonDeadline, retryAfter: time.Second})
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
	if d.exchanges[m.exchange.id] == nil {
		return
	}
	d.perform(d.admitter.Relayed(m.exchange.id, m.result))
	if m.result != lentiladmit.RelayNotRun {
		delete(d.exchanges, m.exchange.id)
	}
}

// leave forgets a request that the copy has answered or failed.
func (d *decider) leave(x *exchange, succeeded bool) {
	delete(d.exchanges, x.id)
	if succeeded && x.kind == lentilconfig.KindRepeatable {
		d.budget.Succeeded()
	}
}

// retry answers whether one more attempt may be made, and takes it out of the budget.
func (d *decider) retry(m retry) {
	allowed := d.budget.Allows(m.kind, m.attempts, m.remaining, d.admitter.Limiter.Expected())
	if allowed {
		d.budget.Spend()
	}
	m.allowed <- allowed
}

// configure puts the figures of the service in force.
func (d *decider) configure(m configured) {
	d.admitter.Limiter.Slots = m.slots
	d.admitter.Connections = m.connections
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

// chill makes the copy count as cold.
func (d *decider) chill() {
	old := &d.admitter.Limiter
	d.admitter.Limiter = lentillimit.Limiter{Clock: old.Clock, Slots: old.Slots, Warm: old.Warm, Typical: old.Typical}
}

// peerFor chooses a peer for a request that has not begun.
func (d *decider) peerFor(arrival lentiladmit.Arrival) (peer lentilrecord.Record, ok bool) {
	if arrival.Relayed || arrival.Bound {
		return lentilrecord.Record{}, false
	}
	own := lentilhandoff.Load{Busy: d.admitter.Load(), Bears: d.admitter.Limiter.Bears()}
	return d.chooser.ForRequest(own)
}

// show publishes the figures.
func (d *decider) show() {
	d.shown.Store(&figures{
		weight:   d.admitter.Limiter.Weight(),
		load:     d.admitter.Load(),
		bears:    d.admitter.Limiter.Bears(),
		cold:     d.admitter.Limiter.Cold(),
		draining: d.draining,
		idle:     d.admitter.Idle() && len(d.exchanges) == 0 && len(d.waiting) == 0,
		inFlight: d.admitter.InFlight(),
		streams:  d.admitter.Streams(),
		queued:   d.admitter.Queued(),
	})
}
