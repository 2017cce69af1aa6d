package lentilmatrix

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

const (
	kindStream     = lentilconfig.KindStream
	kindRepeatable = lentilconfig.KindRepeatable
	kindOnce       = lentilconfig.KindOnce
)

const (
	// maxRefusalDelay is the longest time from when a request could be judged to its refusal: from its
	// arrival, from the last change or failure of the copy, or from the end of a pause or a relay.
	maxRefusalDelay = callTimeout / 2
	// maxTimeToRefusal is the longest time from arrival to refusal, whatever happens to the copy.
	maxTimeToRefusal = callTimeout * 9 / 10
)

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// admit hands a request to the admitter.
func (a *requestAgent) admit(x *pendingRequest) {
	a.requests[x.id] = x
	a.sim.reachStep(stepAdmitted, a, x.attempt)
	if !a.alive || a.paused {
		return
	}
	queued := a.admitter.Queued()
	a.perform(a.admitter.Arrive(lentiladmit.Arrival{
		ID: x.id, Kind: x.attempt.call.kind, Deadline: x.attempt.deadline, Caller: uint64(x.attempt.call.id),
		Relayed: x.relayedBy != nil, LocalOnly: !x.ticket.IsZero(),
	}))
	if a.admitter.Queued() > queued {
		a.sim.reachStep(stepQueued, a, x.attempt)
	}
}

// perform carries the admitter's actions out.
func (a *requestAgent) perform(actions []lentiladmit.Action) {
	for _, action := range actions {
		x := a.requests[action.ID()]
		if x == nil || !a.alive {
			continue
		}
		switch action.Kind() {
		case lentiladmit.ActionDispatch:
			a.dispatch(x)
		case lentiladmit.ActionRelay:
			a.relay(x, action)
		case lentiladmit.ActionRefuse:
			a.refuse(x, action.RetryAfter())
		case lentiladmit.ActionReportUnknown:
			a.reportUnknown(x)
		case lentiladmit.ActionAbort:
			a.abort(x)
		}
	}
}

func (a *requestAgent) dispatch(x *pendingRequest) {
	x.mayHaveRun = true
	x.run = a.upstream.startRun(x.attempt, func(e runResult) {
		a.forIncarnation(func() { a.handleRunEnd(x, e) })()
	})
	a.sim.reachStep(stepDispatched, a, x.attempt)
}

// handleRunEnd takes in how a run at the copy handleRunEnd.
func (a *requestAgent) handleRunEnd(x *pendingRequest, e runResult) {
	if x.run.showsCold {
		a.upstream.recordColdSeen()
	}
	x.run = nil
	if e == resultNotRun || e == resultAnswerLost {
		a.upstream.recordChange()
	}
	switch e {
	case resultAnswered:
		a.sim.reachStep(stepAnswered, a, x.attempt)
		a.completeRequest(x)
	case resultNotRun:
		x.mayHaveRun = false
		a.perform(a.admitter.NotRun(x.id, lentillimit.OutcomeShed))
		a.closeTicket(x, a.ledger.NotRun, reply{kind: replyNotRun, retryAfter: time.Second})
	case resultAnswerLost:
		a.perform(a.admitter.AnswerLost(x.id, lentillimit.OutcomeFailed))
		a.closeTicket(x, a.ledger.AnswerLost, reply{kind: replyUnknown})
	case resultCancelled:
		a.closeTicketLost(x)
		a.perform(a.admitter.Finished(x.id, lentillimit.OutcomeTimedOut))
	}
}

// closeTicket closes the ticket of a request that the admitter let go without a word, because its
// caller is gone: others may wait for the same ticket.
func (a *requestAgent) closeTicket(x *pendingRequest, how func(t lentilticket.Ticket) []uint64, r reply) {
	if a.admitter.Holds(x.id) || a.requests[x.id] == nil {
		return
	}
	delete(a.requests, x.id)
	if !x.ticket.IsZero() {
		a.answerWaiters(how(x.ticket), r)
	}
}

func (a *requestAgent) completeRequest(x *pendingRequest) {
	text := answerFor(x.attempt.call)
	delete(a.requests, x.id)
	if x.ticket.IsZero() {
		x.respond(reply{kind: replyAnswer, text: text})
	} else {
		waiters := a.ledger.Complete(x.ticket, lentilticket.Answer{Status: 201, Body: []byte(text)})
		a.sim.reachStep(stepCompleted, a, x.attempt)
		x.respond(reply{kind: replyAnswer, text: text})
		a.answerWaiters(waiters, reply{kind: replyAnswer, text: text})
	}
	a.perform(a.admitter.Finished(x.id, lentillimit.OutcomeDone))
}

func (a *requestAgent) answerWaiters(waiters []uint64, r reply) {
	for _, id := range waiters {
		if y := a.requests[id]; y != nil {
			delete(a.requests, id)
			y.respond(r)
		}
	}
}

func (a *requestAgent) relay(x *pendingRequest, action lentiladmit.Action) {
	peer := a.sim.agentAt(action.Peer().Control())
	a.chooser.RecordSentRequest(action.Peer().Owner(), a.admitter.Limiter.ExpectedDuration())
	done := false
	end := func(r reply) {
		if done {
			return
		}
		done = true
		switch r.kind {
		case replyAnswer:
			delete(a.requests, x.id)
			x.respond(r)
			a.perform(a.admitter.RelayEnded(x.id, lentiladmit.RelayAnswered))
		case replyNotRun:
			a.chooser.RecordRefusal(action.Peer().Owner())
			x.arrivedAt = a.sim.schedule.Now()
			a.perform(a.admitter.RelayEnded(x.id, lentiladmit.RelayNotRun))
		default:
			x.mayHaveRun = true
			a.perform(a.admitter.RelayEnded(x.id, lentiladmit.RelayAnswerLost))
		}
		if !a.admitter.Holds(x.id) {
			delete(a.requests, x.id)
		}
	}
	a.sendRelay(peer, x, end)
}

func (a *requestAgent) refuse(x *pendingRequest, after time.Duration) {
	w := a.sim
	delete(a.requests, x.id)
	if x.mayHaveRun {
		w.violatef("call %d was told \"not run\" although a run had begun", x.attempt.call.id)
	}
	waited := w.schedule.Now().Sub(later(x.arrivedAt, later(a.upstream.changedAt, a.resumedAt)))
	if all := w.schedule.Now().Sub(later(x.arrivedAt, a.resumedAt)); waited > maxRefusalDelay || all > maxTimeToRefusal {
		w.violatef("call %d was refused only after %s", x.attempt.call.id, waited)
	}
	r := reply{kind: replyNotRun, retryAfter: after}
	x.respond(r)
	if !x.ticket.IsZero() {
		a.answerWaiters(a.ledger.NotRun(x.ticket), r)
	}
}

func (a *requestAgent) reportUnknown(x *pendingRequest) {
	x.respond(reply{kind: replyUnknown})
	if x.run == nil {
		delete(a.requests, x.id)
		a.closeTicketLost(x)
	}
}

// closeTicketLost closes the ticket of a run that gave no answer.
func (a *requestAgent) closeTicketLost(x *pendingRequest) {
	delete(a.requests, x.id)
	if !x.ticket.IsZero() {
		a.answerWaiters(a.ledger.AnswerLost(x.ticket), reply{kind: replyUnknown})
	}
}

func (a *requestAgent) abort(x *pendingRequest) {
	if x.beforeDrain && a.admitter.Draining() && !x.attempt.ended() {
		a.sim.violatef("call %d was cut by a planned stop", x.attempt.call.id)
	}
	switch {
	case x.run != nil:
		a.upstream.cancelRun(x.run)
	case x.abandonRelay != nil:
		x.abandonRelay()
	}
}
