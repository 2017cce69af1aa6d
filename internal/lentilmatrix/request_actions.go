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
	// maxRefusalDelay is the longest time to a refusal from the moment at which the agent could
	// decide on the request. That is the latest of its arrival, the last change or failure of the
	// copy, and the end of a pause or a relay.
	maxRefusalDelay = callTimeout / 2
	// maxTimeToRefusal is the longest time to a refusal from the arrival or the end of a pause or a
	// relay, whatever happens to the copy.
	maxTimeToRefusal = callTimeout * 9 / 10
)

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// admit hands a request to the admitter.
func (a *requestAgent) admit(req *pendingRequest) {
	a.requests[req.id] = req
	a.sim.reachStep(stepAdmitted, a, req.attempt)
	if !a.alive || a.paused {
		return
	}
	queued := a.admitter.Queued()
	a.perform(a.admitter.Arrive(lentiladmit.Arrival{
		ID: req.id, Kind: req.attempt.call.kind, Deadline: req.attempt.deadline, Caller: uint64(req.attempt.call.id),
		Relayed: req.relayedBy != nil, LocalOnly: !req.ticket.IsZero(),
	}))
	if a.admitter.Queued() > queued {
		a.sim.reachStep(stepQueued, a, req.attempt)
	}
}

// perform carries out the admitter's actions.
func (a *requestAgent) perform(actions []lentiladmit.Action) {
	for _, action := range actions {
		req := a.requests[action.ID()]
		if req == nil || !a.alive {
			continue
		}
		switch action.Kind() {
		case lentiladmit.ActionDispatch:
			a.dispatch(req)
		case lentiladmit.ActionRelay:
			a.relay(req, action)
		case lentiladmit.ActionRefuse:
			a.refuse(req, action.RetryAfter())
		case lentiladmit.ActionReportUnknown:
			a.reportUnknown(req)
		case lentiladmit.ActionAbort:
			a.abort(req)
		}
	}
}

func (a *requestAgent) dispatch(req *pendingRequest) {
	req.mayHaveRun = true
	req.run = a.upstream.startRun(req.attempt, func(result runResult) {
		a.forIncarnation(func() { a.handleRunEnd(req, result) })()
	})
	a.sim.reachStep(stepDispatched, a, req.attempt)
}

// handleRunEnd handles the result of a run at the copy.
func (a *requestAgent) handleRunEnd(req *pendingRequest, result runResult) {
	if req.run.showsCold {
		a.upstream.recordColdSeen()
	}
	req.run = nil
	if result == resultNotRun || result == resultAnswerLost {
		a.upstream.recordChange()
	}
	switch result {
	case resultAnswered:
		a.sim.reachStep(stepAnswered, a, req.attempt)
		a.completeRequest(req)
	case resultNotRun:
		req.mayHaveRun = false
		a.perform(a.admitter.NotRun(req.id, lentillimit.OutcomeShed))
		a.closeTicket(req, a.ledger.NotRun, reply{kind: replyNotRun, retryAfter: time.Second})
	case resultAnswerLost:
		a.perform(a.admitter.AnswerLost(req.id, lentillimit.OutcomeFailed))
		a.closeTicket(req, a.ledger.AnswerLost, reply{kind: replyUnknown})
	case resultCancelled:
		a.closeTicketLost(req)
		a.perform(a.admitter.Finished(req.id, lentillimit.OutcomeTimedOut))
	}
}

// closeTicket closes the ticket of a request that the admitter dropped without an action because its
// caller is gone. It answers the other requests that wait for the same ticket. closeEntry closes the
// entry in the ledger.
func (a *requestAgent) closeTicket(req *pendingRequest, closeEntry func(t lentilticket.Ticket) []uint64, r reply) {
	if a.admitter.Holds(req.id) || a.requests[req.id] == nil {
		return
	}
	delete(a.requests, req.id)
	if !req.ticket.IsZero() {
		a.answerWaiters(closeEntry(req.ticket), r)
	}
}

// completeRequest sends the answer of a run to the caller and to the requests that wait for its ticket.
func (a *requestAgent) completeRequest(req *pendingRequest) {
	text := answerFor(req.attempt.call)
	delete(a.requests, req.id)
	if req.ticket.IsZero() {
		req.respond(reply{kind: replyAnswer, text: text})
	} else {
		waiters := a.ledger.Complete(req.ticket, lentilticket.Answer{Status: 201, Body: []byte(text)})
		a.sim.reachStep(stepCompleted, a, req.attempt)
		req.respond(reply{kind: replyAnswer, text: text})
		a.answerWaiters(waiters, reply{kind: replyAnswer, text: text})
	}
	a.perform(a.admitter.Finished(req.id, lentillimit.OutcomeDone))
}

// answerWaiters answers the requests that waited for the run of a ticket.
func (a *requestAgent) answerWaiters(waiters []uint64, r reply) {
	for _, id := range waiters {
		if waiter := a.requests[id]; waiter != nil {
			delete(a.requests, id)
			waiter.respond(r)
		}
	}
}

// relay relays a request to the peer that the admitter chose.
func (a *requestAgent) relay(req *pendingRequest, action lentiladmit.Action) {
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
			delete(a.requests, req.id)
			req.respond(r)
			a.perform(a.admitter.RelayEnded(req.id, lentiladmit.RelayAnswered))
		case replyNotRun:
			a.chooser.RecordRefusal(action.Peer().Owner())
			req.arrivedAt = a.sim.schedule.Now()
			a.perform(a.admitter.RelayEnded(req.id, lentiladmit.RelayNotRun))
		default:
			req.mayHaveRun = true
			a.perform(a.admitter.RelayEnded(req.id, lentiladmit.RelayAnswerLost))
		}
		if !a.admitter.Holds(req.id) {
			delete(a.requests, req.id)
		}
	}
	a.sendRelay(peer, req, end)
}

// refuse answers "not run". It records a violation if the request may have run, or if the refusal
// comes too late.
func (a *requestAgent) refuse(req *pendingRequest, retryAfter time.Duration) {
	s := a.sim
	delete(a.requests, req.id)
	if req.mayHaveRun {
		s.violatef("call %d got the reply \"not run\", but a run may have begun", req.attempt.call.id)
	}
	waited := s.schedule.Now().Sub(later(req.arrivedAt, later(a.upstream.changedAt, a.resumedAt)))
	if sinceArrival := s.schedule.Now().Sub(later(req.arrivedAt, a.resumedAt)); waited > maxRefusalDelay || sinceArrival > maxTimeToRefusal {
		s.violatef("call %d was refused only after %s", req.attempt.call.id, waited)
	}
	r := reply{kind: replyNotRun, retryAfter: retryAfter}
	req.respond(r)
	if !req.ticket.IsZero() {
		a.answerWaiters(a.ledger.NotRun(req.ticket), r)
	}
}

// reportUnknown answers that the outcome is unknown.
func (a *requestAgent) reportUnknown(req *pendingRequest) {
	req.respond(reply{kind: replyUnknown})
	if req.run == nil {
		delete(a.requests, req.id)
		a.closeTicketLost(req)
	}
}

// closeTicketLost closes the ticket of a run whose answer is lost.
func (a *requestAgent) closeTicketLost(req *pendingRequest) {
	delete(a.requests, req.id)
	if !req.ticket.IsZero() {
		a.answerWaiters(a.ledger.AnswerLost(req.ticket), reply{kind: replyUnknown})
	}
}

// abort cancels the run or the relay of a request. It records a violation if a draining agent aborts a
// request that it received before the drain and whose caller still waits.
func (a *requestAgent) abort(req *pendingRequest) {
	if req.beforeDrain && a.admitter.Draining() && !req.attempt.ended() {
		a.sim.violatef("call %d was aborted by a planned stop", req.attempt.call.id)
	}
	switch {
	case req.run != nil:
		a.upstream.cancelRun(req.run)
	case req.abandonRelay != nil:
		req.abandonRelay()
	}
}
