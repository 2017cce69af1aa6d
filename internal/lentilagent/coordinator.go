package lentilagent

import (
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"

	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilhandoff"
	"lentilstair.example/lentilstair/pkg/lentilhedge"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

// snapshot is the state that the coordinator publishes to the rest of the agent. Weight,
// load, demand and capacity are in hundredths of a slot.
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
	// hedgeShare is the number of extra attempts and retries per first attempt of the last second.
	hedgeShare float64
}

// coordinator is the actor that makes all decisions about requests: whether a request runs
// here, waits, goes to a peer or is refused.
type coordinator struct {
	admitter lentiladmit.Admitter
	ledger   lentilticket.Ledger
	issuer   lentilticket.Issuer
	chooser  lentilhandoff.Chooser
	hedge    lentilhedge.Policy

	// exchanges holds the requests that the admitter decides about, by exchange ID.
	exchanges map[uint64]*exchange
	// waiters holds attempts that wait for the answer of a run under the same ticket.
	waiters map[uint64]*exchange
	// handOffDisabled is true if requests aren't relayed to peers with more room, unless
	// the agent drains.
	handOffDisabled bool
	clock           lentilclock.Clock
	pause           pauseHold
	snapshot        *atomic.Pointer[snapshot]
}

// newCoordinator returns the coordinator of an agent. It publishes its state in published.
func newCoordinator(o *Options, published *atomic.Pointer[snapshot]) (c *coordinator) {
	c = &coordinator{
		ledger:    lentilticket.Ledger{Incarnation: o.Incarnation},
		issuer:    lentilticket.Issuer{Control: o.Control, Incarnation: o.Incarnation, Service: o.Service},
		exchanges: make(map[uint64]*exchange),
		waiters:   make(map[uint64]*exchange),
		snapshot:  published,
		clock:     lentilclock.OrSystem(o.Clock),

		handOffDisabled: o.DisableHandOff,
	}
	c.chooser = lentilhandoff.Chooser{Clock: o.Clock, Random: o.Random, Self: lentilrecord.Owner{Copy: o.Copy, Incarnation: o.Incarnation}}
	c.admitter = newAdmitter(o.Clock, o.Random)
	c.hedge = lentilhedge.Policy{Clock: o.Clock, Percent: o.HedgePercent}
	c.admitter.ChoosePeer = c.choosePeer
	c.admitter.Limiter.WarmupTime = o.WarmupTime
	c.publishSnapshot()
	return c
}

// newAdmitter returns the admitter for a copy that has just started.
func newAdmitter(clock lentilclock.Clock, random func() float64) lentiladmit.Admitter {
	return lentiladmit.Admitter{Clock: clock, Random: random, Limiter: lentillimit.Limiter{Clock: clock}}
}

// Receive implements actor.Actor.
func (c *coordinator) Receive(ctx actor.Context) { c.handle(ctx.Message()) }

// handle handles one message.
func (c *coordinator) handle(message any) {
	switch m := message.(type) {
	case requestArrived:
		c.admit(m.exchange)
	case ticketRequested:
		c.issueTicket(m.exchange)
	case ticketPresented:
		c.presentTicket(m)
	case callFinished:
		c.recordDuration(m.exchange, m.outcome)
		c.perform(c.admitter.Finished(m.exchange.id, m.outcome))
	case callNotRun:
		c.perform(c.admitter.NotRun(m.exchange.id, m.outcome))
		c.refuseAbandoned(m.exchange)
	case callAnswerLost:
		c.recordAnswerLost(m)
	case callAnswered:
		c.storeAnswer(m)
	case relayEnded:
		c.handleRelayEnded(m)
	case peerTicketAnswer:
		c.handlePeerTicket(m)
	case hedgeDue:
		c.decideHedge(m.exchange)
	case firstFailed:
		c.perform(c.admitter.FirstFailed(m.exchange.id, m.outcome, m.mayHaveRun))
	case hedgeEnded:
		c.handleHedgeEnded(m)
	case requestCancelled:
		c.cancel(m.exchange)
	case tick:
		c.handleTick()
	case drainingChanged:
		c.setDraining(m.draining)
	case serviceConfigured:
		c.configure(m)
	case peersChanged:
		c.updatePeers(m.records)
	case copyTurnedCold:
		c.resetToCold()
	default:
		return
	}
	c.removeFinished(message)
	c.publishSnapshot()
}

// admit registers a request and passes it to the admitter, or holds it shortly after a pause.
func (c *coordinator) admit(x *exchange) {
	c.exchanges[x.id] = x
	if c.pause.holds(c.now(), x) {
		return
	}
	c.passToAdmitter(x)
}

// passToAdmitter has the admitter decide about a request.
func (c *coordinator) passToAdmitter(x *exchange) {
	c.perform(c.admitter.Arrive(lentiladmit.Arrival{
		ID:        x.id,
		Kind:      x.kind,
		Deadline:  x.deadline,
		Caller:    x.callerHash,
		Relayed:   x.relayed,
		LocalOnly: x.localOnly,
	}))
}

// issueTicket issues a ticket for a request, or has a peer with more room issue one. The
// agent that issues the ticket is the one that runs the request.
func (c *coordinator) issueTicket(x *exchange) {
	arrival := lentiladmit.Arrival{ID: x.id, Kind: x.kind, Caller: x.callerHash, Relayed: x.relayed, LocalOnly: x.localOnly}
	if peer, ok := c.choosePeer(arrival); ok {
		c.recordSent(peer)
		x.sendReply(reply{order: orderRelay, peer: peer})
		return
	}
	switch {
	case c.admitter.Draining():
		x.sendReply(reply{order: orderRefuse, reason: lentiladmit.ReasonDraining, retryAfter: lentiladmit.MinRetryAfter})
		return
	case x.relayed && !c.admitter.Limiter.CanSend():
		// The relaying peer still holds the request and may try another agent.
		x.sendReply(reply{order: orderRefuse, reason: lentiladmit.ReasonQueueFull, retryAfter: lentiladmit.MinRetryAfter})
		return
	}
	x.sendReply(reply{order: orderIssueTicket, ticket: c.issuer.Issue()})
}

// presentTicket looks up a ticket in the ledger. The request runs if no attempt under the
// ticket has run it before.
func (c *coordinator) presentTicket(m ticketPresented) {
	x := m.exchange
	decision := c.ledger.Present(m.ticket, m.fingerprint, x.id)
	switch decision.Verdict() {
	case lentilticket.VerdictRun:
		x.ticket = m.ticket
		c.admit(x)
	case lentilticket.VerdictWait:
		x.ticket = m.ticket
		c.waiters[x.id] = x
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

// handlePeerTicket delegates a request to the peer that issued a ticket for it. From then on
// this incarnation never runs the request; it forwards every attempt to that peer.
// Without a ticket the admitter decides about the request again.
func (c *coordinator) handlePeerTicket(m peerTicketAnswer) {
	x := m.exchange
	if m.hasLoad {
		c.chooser.UpdateLoad(m.peer, m.load)
	}
	if m.ticket.IsZero() {
		if !m.callerGone {
			c.chooser.RecordRefusal(m.peer)
		}
		c.perform(c.admitter.RelayEnded(x.id, lentiladmit.RelayNotRun))
		c.refuseAbandoned(x)
		return
	}
	r := reply{order: orderForward, ticket: m.ticket}
	x.sendReply(r)
	c.replyToWaiters(c.ledger.Delegate(x.ticket, m.ticket), r)
	c.perform(c.admitter.RelayEnded(x.id, lentiladmit.RelayAnswered))
}

// storeAnswer stores the answer of a run under a ticket and sends it to all waiters.
func (c *coordinator) storeAnswer(m callAnswered) {
	c.perform(c.admitter.Finished(m.exchange.id, m.outcome))
	r := reply{order: orderReplay, answer: m.answer}
	m.exchange.sendReply(r)
	c.replyToWaiters(c.ledger.Complete(m.exchange.ticket, m.answer), r)
}

// recordAnswerLost handles a call that may have run at the copy and whose answer was lost.
// Under a ticket, all attempts are answered as outcome unknown.
func (c *coordinator) recordAnswerLost(m callAnswerLost) {
	x := m.exchange
	c.perform(c.admitter.AnswerLost(x.id, m.outcome))
	if x.ticket.IsZero() {
		return
	}
	r := reply{order: orderReportUnknown}
	x.sendReply(r)
	c.replyToWaiters(c.ledger.AnswerLost(x.ticket), r)
}

// replyToWaiters sends the same reply to all given waiters.
func (c *coordinator) replyToWaiters(waiters []uint64, r reply) {
	for _, id := range waiters {
		if x := c.waiters[id]; x != nil {
			delete(c.waiters, id)
			x.sendReply(r)
		}
	}
}

// perform carries out the admitter's actions by sending orders to the handlers.
func (c *coordinator) perform(actions []lentiladmit.Action) {
	for _, a := range actions {
		x := c.exchanges[a.ID()]
		if x == nil {
			continue
		}
		switch a.Kind() {
		case lentiladmit.ActionDispatch:
			c.recordBegin(x)
			x.sendReply(reply{order: orderRun, hedgeAfter: c.hedgeDelay(x)})
		case lentiladmit.ActionRelay:
			c.recordBegin(x)
			c.relayToPeer(x, a.Peer())
		case lentiladmit.ActionRefuse:
			c.hedge.RecordRefusal()
			c.refuse(x, reply{order: orderRefuse, reason: a.Reason(), retryAfter: a.RetryAfter()})
		case lentiladmit.ActionReportUnknown:
			x.sendReply(reply{order: orderReportUnknown})
		case lentiladmit.ActionAbort:
			x.abortCall()
		}
	}
}

// relayToPeer orders a request that has not begun to be relayed to a peer. The peer may
// run a request with a ticket of this incarnation only under a ticket that it issues
// itself, so the handler first requests one.
func (c *coordinator) relayToPeer(x *exchange, peer lentilrecord.Record) {
	c.recordSent(peer)
	next := orderRelay
	if !x.ticket.IsZero() {
		next = orderRequestTicket
	}
	x.sendReply(reply{order: next, peer: peer})
}

// recordSent adds a request that goes to a peer to the peer's load, as the chooser sees it.
func (c *coordinator) recordSent(peer lentilrecord.Record) {
	c.chooser.RecordSentRequest(peer.Owner(), c.admitter.Limiter.ExpectedDuration())
}

// refuse removes a request that has certainly not run, and sends the refusal to its handler
// and to all waiters.
func (c *coordinator) refuse(x *exchange, r reply) {
	delete(c.exchanges, x.id)
	x.sendReply(r)
	if !x.ticket.IsZero() {
		c.replyToWaiters(c.ledger.NotRun(x.ticket), r)
	}
}

// refuseAbandoned refuses a request that has certainly not run and that the admitter no
// longer holds. The admitter drops a request without an action if its caller has gone; the
// entry of its ticket must still be closed.
func (c *coordinator) refuseAbandoned(x *exchange) {
	if c.exchanges[x.id] != nil && !c.admitter.Holds(x.id) {
		c.refuse(x, reply{order: orderRefuse, reason: lentiladmit.ReasonCopy, retryAfter: lentiladmit.MinRetryAfter})
	}
}

// setDraining begins or ends a planned stop.
func (c *coordinator) setDraining(draining bool) {
	if !draining {
		c.admitter.Resume()
		return
	}
	c.perform(c.admitter.Drain())
}

// configure applies the limits of the service.
func (c *coordinator) configure(m serviceConfigured) {
	c.admitter.Limiter.Slots = m.slots
	c.admitter.MaxStreams = m.connections
	c.chooser.Out = m.out
}

// updatePeers passes the records of the peers of the same service to the chooser.
func (c *coordinator) updatePeers(records []lentilrecord.Record) {
	for _, r := range records {
		if r.Service() == c.issuer.Service {
			c.chooser.ApplyRecord(r)
		}
	}
}

// resetToCold treats the copy as cold, as if it had just started.
func (c *coordinator) resetToCold() {
	previous := &c.admitter.Limiter
	c.admitter.Limiter = lentillimit.Limiter{
		Clock: previous.Clock, Slots: previous.Slots, WarmupTime: previous.WarmupTime, TypicalDuration: previous.TypicalDuration,
	}
}

// choosePeer chooses a peer for a request that has not begun. ok is false if the request
// may not leave this agent or no peer has more room.
func (c *coordinator) choosePeer(arrival lentiladmit.Arrival) (peer lentilrecord.Record, ok bool) {
	if arrival.Relayed || arrival.LocalOnly || c.handOffDisabled && !c.admitter.Draining() {
		return lentilrecord.Record{}, false
	}
	return c.chooser.ChooseForRequest(c.ownLoad())
}

// ownLoad returns the load of the agent's copy. A draining copy has no capacity.
func (c *coordinator) ownLoad() (load lentilhandoff.Load) {
	load = lentilhandoff.Load{Smoothed: c.admitter.Load(), Demand: c.admitter.Demand(), Capacity: c.admitter.Limiter.Capacity()}
	if c.admitter.Draining() {
		load.Capacity = 0
	}
	return load
}

// publishSnapshot publishes the coordinator's current state.
func (c *coordinator) publishSnapshot() {
	c.snapshot.Store(&snapshot{
		weight:   c.admitter.Limiter.Weight(),
		load:     c.admitter.Load(),
		demand:   c.admitter.Demand(),
		capacity: c.admitter.Limiter.Capacity(),
		cold:     c.admitter.Limiter.Cold(),
		draining: c.admitter.Draining(),
		idle:     c.admitter.Idle() && len(c.exchanges) == 0 && len(c.waiters) == 0,
		inFlight: c.admitter.InFlight(),
		streams:  c.admitter.Streams(),
		queued:   c.admitter.Queued(),

		hedgeShare: c.hedge.Share(),
	})
}
