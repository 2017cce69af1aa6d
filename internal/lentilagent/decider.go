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

// snapshot is what the decider shows to the rest of the agent.
type snapshot struct {
	weight   uint16
	load     uint16
	demand   uint16
	capacity uint16
	cold     bool
	draining bool
	idle     bool
	inFlight int
	streams  int
	queued   int
}

// coordinator is the actor that owns every decision about requests.
type coordinator struct {
	admitter lentiladmit.Admitter
	ledger   lentilticket.Ledger
	issuer   lentilticket.Issuer
	chooser  lentilhandoff.Chooser

	exchanges map[uint64]*exchange
	waiters   map[uint64]*exchange
	// handOffDisabled is true if requests aren't relayed to peers with more room.
	handOffDisabled bool
	snapshot        *atomic.Pointer[snapshot]
}

// newCoordinator returns the decider of an agent.
func newCoordinator(o *Options, shown *atomic.Pointer[snapshot]) (d *coordinator) {
	d = &coordinator{
		ledger:    lentilticket.Ledger{Incarnation: o.Incarnation},
		issuer:    lentilticket.Issuer{Control: o.Control, Incarnation: o.Incarnation, Service: o.Service},
		exchanges: make(map[uint64]*exchange),
		waiters:   make(map[uint64]*exchange),
		snapshot:  shown,

		handOffDisabled: o.DisableHandOff,
	}
	d.chooser = lentilhandoff.Chooser{Clock: o.Clock, Random: o.Random, Self: lentilrecord.Owner{Copy: o.Copy, Incarnation: o.Incarnation}}
	d.admitter = newAdmitter(o.Clock, o.Random)
	d.admitter.ChoosePeer = d.choosePeer
	d.admitter.Limiter.WarmupTime = o.WarmupTime
	d.publishSnapshot()
	return d
}

// newAdmitter returns the admitter for a copy that has just started.
func newAdmitter(clock lentilclock.Clock, random func() float64) lentiladmit.Admitter {
	return lentiladmit.Admitter{Clock: clock, Random: random, Limiter: lentillimit.Limiter{Clock: clock}}
}

// Receive implements actor.Actor.
func (d *coordinator) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case requestArrived:
		d.admit(m.exchange)
	case ticketRequested:
		d.issueTicket(m.exchange)
	case ticketPresented:
		d.presentTicket(m)
	case callFinished:
		d.perform(d.admitter.Finished(m.exchange.id, m.outcome))
	case callNotRun:
		d.perform(d.admitter.NotRun(m.exchange.id, m.outcome))
		d.refuseAbandoned(m.exchange)
	case callAnswerLost:
		d.recordAnswerLost(m)
	case callAnswered:
		d.storeAnswer(m)
	case relayEnded:
		d.handleRelayEnded(m)
	case peerTicketAnswer:
		d.handlePeerTicket(m)
	case requestCancelled:
		d.cancel(m.exchange)
	case tick:
		d.perform(d.admitter.Tick())
	case drainingChanged:
		d.setDraining(m.draining)
	case serviceConfigured:
		d.configure(m)
	case peersChanged:
		d.updatePeers(m.records)
	case copyTurnedCold:
		d.resetToCold()
	default:
		return
	}
	d.removeFinished(ctx.Message())
	d.publishSnapshot()
}

// admit hands a request to the admitter.
func (d *coordinator) admit(x *exchange) {
	d.exchanges[x.id] = x
	d.perform(d.admitter.Arrive(lentiladmit.Arrival{
		ID:        x.id,
		Kind:      x.kind,
		Deadline:  x.deadline,
		Caller:    x.callerHash,
		Relayed:   x.relayed,
		LocalOnly: x.localOnly,
	}))
}

// issueTicket gives a ticket, or names a peer that had better give one: whoever gives
// the ticket runs the request.
func (d *coordinator) issueTicket(x *exchange) {
	arrival := lentiladmit.Arrival{ID: x.id, Kind: x.kind, Caller: x.callerHash, Relayed: x.relayed, LocalOnly: x.localOnly}
	if peer, ok := d.choosePeer(arrival); ok {
		d.recordSent(peer)
		x.sendReply(reply{order: orderRelay, peer: peer})
		return
	}
	switch {
	case d.admitter.Draining():
		x.sendReply(reply{order: orderRefuse, reason: lentiladmit.ReasonDraining, retryAfter: lentiladmit.MinRetryAfter})
		return
	case x.relayed && !d.admitter.Limiter.CanSend():
		// The peer that asks still has the request, and may ask another.
		x.sendReply(reply{order: orderRefuse, reason: lentiladmit.ReasonQueueFull, retryAfter: lentiladmit.MinRetryAfter})
		return
	}
	x.sendReply(reply{order: orderIssueTicket, ticket: d.issuer.Issue()})
}

// presentTicket looks a ticket up and runs its request if nobody did.
func (d *coordinator) presentTicket(m ticketPresented) {
	x := m.exchange
	decision := d.ledger.Present(m.ticket, m.fingerprint, x.id)
	switch decision.Verdict() {
	case lentilticket.VerdictRun:
		x.ticket = m.ticket
		d.admit(x)
	case lentilticket.VerdictWait:
		x.ticket = m.ticket
		d.waiters[x.id] = x
	case lentilticket.VerdictReplay:
		x.sendReply(reply{order: orderReplay, answer: decision.Answer()})
	case lentilticket.VerdictElsewhere:
		x.sendReply(reply{order: orderForward, ticket: decision.Ticket()})
	case lentilticket.VerdictRefuse:
		x.sendReply(reply{order: orderRejectTicket})
	default:
		x.sendReply(reply{order: orderReportUnknown})
	}
}

// handlePeerTicket hands a request over to the peer that gave a ticket. From here on this
// incarnation never runs it, and sends every attempt to that peer.
func (d *coordinator) handlePeerTicket(m peerTicketAnswer) {
	x := m.exchange
	if m.hasLoad {
		d.chooser.UpdateLoad(m.peer, m.load)
	}
	if m.ticket.IsZero() {
		if !m.callerGone {
			d.chooser.RecordRefusal(m.peer)
		}
		d.perform(d.admitter.RelayEnded(x.id, lentiladmit.RelayNotRun))
		d.refuseAbandoned(x)
		return
	}
	r := reply{order: orderForward, ticket: m.ticket}
	x.sendReply(r)
	d.replyToWaiters(d.ledger.Delegate(x.ticket, m.ticket), r)
	d.perform(d.admitter.RelayEnded(x.id, lentiladmit.RelayAnswered))
}

// storeAnswer stores the answer of a run under a ticket and gives it to all who wait for it.
func (d *coordinator) storeAnswer(m callAnswered) {
	d.perform(d.admitter.Finished(m.exchange.id, m.outcome))
	r := reply{order: orderReplay, answer: m.answer}
	m.exchange.sendReply(r)
	d.replyToWaiters(d.ledger.Complete(m.exchange.ticket, m.answer), r)
}

// recordAnswerLost closes a call that may have been run and gave no answer.
func (d *coordinator) recordAnswerLost(m callAnswerLost) {
	x := m.exchange
	d.perform(d.admitter.AnswerLost(x.id, m.outcome))
	if x.ticket.IsZero() {
		return
	}
	r := reply{order: orderReportUnknown}
	x.sendReply(r)
	d.replyToWaiters(d.ledger.AnswerLost(x.ticket), r)
}

// replyToWaiters gives the same reply to all who wait for a run.
func (d *coordinator) replyToWaiters(waiters []uint64, r reply) {
	for _, id := range waiters {
		if x := d.waiters[id]; x != nil {
			delete(d.waiters, id)
			x.sendReply(r)
		}
	}
}

// perform passes the admitter's actions to the handlers.
func (d *coordinator) perform(actions []lentiladmit.Action) {
	for _, a := range actions {
		x := d.exchanges[a.ID()]
		if x == nil {
			continue
		}
		switch a.Kind() {
		case lentiladmit.ActionDispatch:
			x.sendReply(reply{order: orderRun})
		case lentiladmit.ActionRelay:
			d.relayToPeer(x, a.Peer())
		case lentiladmit.ActionRefuse:
			d.refuse(x, reply{order: orderRefuse, reason: a.Reason(), retryAfter: a.RetryAfter()})
		case lentiladmit.ActionReportUnknown:
			x.sendReply(reply{order: orderReportUnknown})
		case lentiladmit.ActionAbort:
			x.abortCall()
		}
	}
}

// relayToPeer has a peer run a request that has not begun: one with a ticket of this
// incarnation only under a ticket of the peer's own.
func (d *coordinator) relayToPeer(x *exchange, peer lentilrecord.Record) {
	d.recordSent(peer)
	how := orderRelay
	if !x.ticket.IsZero() {
		how = orderRequestTicket
	}
	x.sendReply(reply{order: how, peer: peer})
}

// recordSent notes that a request goes to a peer.
func (d *coordinator) recordSent(peer lentilrecord.Record) {
	d.chooser.RecordSentRequest(peer.Owner(), d.admitter.Limiter.ExpectedDuration())
}

// refuse answers a request that was surely not run, and all who wait for it.
func (d *coordinator) refuse(x *exchange, r reply) {
	delete(d.exchanges, x.id)
	x.sendReply(r)
	if !x.ticket.IsZero() {
		d.replyToWaiters(d.ledger.NotRun(x.ticket), r)
	}
}

// refuseAbandoned closes a request that surely didn't run if the admitter has given it
// up without a word, since its caller has gone.
func (d *coordinator) refuseAbandoned(x *exchange) {
	if d.exchanges[x.id] != nil && !d.admitter.Holds(x.id) {
		d.refuse(x, reply{order: orderRefuse, reason: lentiladmit.ReasonCopy, retryAfter: lentiladmit.MinRetryAfter})
	}
}

// removeFinished forgets the exchange of a message if the admitter has.
func (d *coordinator) removeFinished(message any) {
	var x *exchange
	switch m := message.(type) {
	case callFinished:
		x = m.exchange
	case callAnswerLost:
		x = m.exchange
	case callAnswered:
		x = m.exchange
	case relayEnded:
		x = m.exchange
	case peerTicketAnswer:
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
func (d *coordinator) cancel(x *exchange) {
	if d.waiters[x.id] != nil {
		delete(d.waiters, x.id)
		d.ledger.RemoveWaiter(x.ticket, x.id)
		return
	}
	if d.exchanges[x.id] == nil {
		return
	}
	d.perform(d.admitter.Cancelled(x.id))
	d.cancelUnreadOrders(x)
	d.refuseAbandoned(x)
}

// cancelUnreadOrders closes what the unread orders to a handler have begun.
func (d *coordinator) cancelUnreadOrders(x *exchange) {
	for {
		select {
		case r := <-x.replies:
			switch r.order {
			case orderRun:
				d.perform(d.admitter.NotRun(x.id, lentillimit.OutcomeCancelled))
			case orderRelay, orderRequestTicket:
				d.perform(d.admitter.RelayEnded(x.id, lentiladmit.RelayNotRun))
			}
		default:
			return
		}
	}
}

// handleRelayEnded takes in how a relay ended.
func (d *coordinator) handleRelayEnded(m relayEnded) {
	if m.hasLoad {
		d.chooser.UpdateLoad(m.peer, m.load)
	}
	if m.result == lentiladmit.RelayNotRun {
		d.chooser.RecordRefusal(m.peer)
	}
	d.perform(d.admitter.RelayEnded(m.exchange.id, m.result))
}

// setDraining begins or ends a planned stop.
func (d *coordinator) setDraining(begin bool) {
	if !begin {
		d.admitter.Resume()
		return
	}
	d.perform(d.admitter.Drain())
}

// configure puts the figures of the service in force.
func (d *coordinator) configure(m serviceConfigured) {
	d.admitter.Limiter.Slots = m.slots
	d.admitter.MaxStreams = m.connections
	d.chooser.Out = m.out
}

// updatePeers takes in the peers' records.
func (d *coordinator) updatePeers(records []lentilrecord.Record) {
	for _, r := range records {
		if r.Service() == d.issuer.Service {
			d.chooser.ApplyRecord(r)
		}
	}
}

// resetToCold makes the copy count as cold, as if it had just started.
func (d *coordinator) resetToCold() {
	old := &d.admitter.Limiter
	d.admitter.Limiter = lentillimit.Limiter{Clock: old.Clock, Slots: old.Slots, WarmupTime: old.WarmupTime, TypicalDuration: old.TypicalDuration}
}

// choosePeer chooses a peer for a request that has not begun.
func (d *coordinator) choosePeer(arrival lentiladmit.Arrival) (peer lentilrecord.Record, ok bool) {
	if arrival.Relayed || arrival.LocalOnly || d.handOffDisabled && !d.admitter.Draining() {
		return lentilrecord.Record{}, false
	}
	return d.chooser.ChooseForRequest(d.ownLoad())
}

// ownLoad returns the ownLoad of the own copy.
func (d *coordinator) ownLoad() (load lentilhandoff.Load) {
	load = lentilhandoff.Load{Smoothed: d.admitter.Load(), Demand: d.admitter.Demand(), Capacity: d.admitter.Limiter.Capacity()}
	if d.admitter.Draining() {
		load.Capacity = 0
	}
	return load
}

// publishSnapshot publishes the figures.
func (d *coordinator) publishSnapshot() {
	d.snapshot.Store(&snapshot{
		weight:   d.admitter.Limiter.Weight(),
		load:     d.admitter.Load(),
		demand:   d.admitter.Demand(),
		capacity: d.admitter.Limiter.Capacity(),
		cold:     d.admitter.Limiter.Cold(),
		draining: d.admitter.Draining(),
		idle:     d.admitter.Idle() && len(d.exchanges) == 0 && len(d.waiters) == 0,
		inFlight: d.admitter.InFlight(),
		streams:  d.admitter.Streams(),
		queued:   d.admitter.Queued(),
	})
}
