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
	// refusalTime is the longest time from when a request could be judged to its refusal: from its
	// arrival, from the last change or failure of the copy, or from the end of a pause or a relay.
	refusalTime = callTimeout / 2
	// latestRefusal is the longest time from arrival to refusal, whatever happens to the copy.
	latestRefusal = callTimeout * 9 / 10
)

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// admit hands a request to the admitter.
func (a *requestAgent) admit(x *work) {
	a.works[x.id] = x
	a.world.reach(stepAdmitted, a, x.attempt)
	if !a.alive || a.paused {
		return
	}
	queued := a.admitter.Queued()
	a.perform(a.admitter.Arrive(lentiladmit.Arrival{
		ID: x.id, Kind: x.attempt.call.kind, Deadline: x.attempt.deadline, Caller: uint64(x.attempt.call.id),
		Relayed: x.from != nil, LocalOnly: !x.ticket.IsZero(),
	}))
	if a.admitter.Queued() > queued {
		a.world.reach(stepQueued, a, x.attempt)
	}
}

// perform carries the admitter's actions out.
func (a *requestAgent) perform(actions []lentiladmit.Action) {
	for _, action := range actions {
		x := a.works[action.ID()]
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
			a.unknown(x)
		case lentiladmit.ActionAbort:
			a.abort(x)
		}
	}
}

func (a *requestAgent) dispatch(x *work) {
	x.begun = true
	x.run = a.upstream.begin(x.attempt, func(e runEnd) {
		a.own(func() { a.ended(x, e) })()
	})
	a.world.reach(stepDispatched, a, x.attempt)
}

// ended takes in how a run at the copy ended.
func (a *requestAgent) ended(x *work, e runEnd) {
	if x.run.slow {
		a.upstream.show()
	}
	x.run = nil
	if e == endNotBegun || e == endLost {
		a.upstream.changed()
	}
	switch e {
	case endAnswer:
		a.world.reach(stepAnswered, a, x.attempt)
		a.answered(x)
	case endNotBegun:
		x.begun = false
		a.perform(a.admitter.NotRun(x.id, lentillimit.OutcomeShed))
		a.close(x, a.ledger.NotRun, reply{kind: replyNotRun, after: time.Second})
	case endLost:
		a.perform(a.admitter.AnswerLost(x.id, lentillimit.OutcomeFailed))
		a.close(x, a.ledger.AnswerLost, reply{kind: replyUnknown})
	case endCancelled:
		a.lose(x)
		a.perform(a.admitter.Finished(x.id, lentillimit.OutcomeTimedOut))
	}
}

// close closes the ticket of a request that the admitter let go without a word, because its
// caller is gone: others may wait for the same ticket.
func (a *requestAgent) close(x *work, how func(t lentilticket.Ticket) []uint64, r reply) {
	if a.admitter.Holds(x.id) || a.works[x.id] == nil {
		return
	}
	delete(a.works, x.id)
	if !x.ticket.IsZero() {
		a.wake(how(x.ticket), r)
	}
}

func (a *requestAgent) answered(x *work) {
	text := answerOf(x.attempt.call)
	delete(a.works, x.id)
	if x.ticket.IsZero() {
		x.respond(reply{kind: replyAnswer, text: text})
	} else {
		waiters := a.ledger.Complete(x.ticket, lentilticket.Answer{Status: 201, Body: []byte(text)})
		a.world.reach(stepCompleted, a, x.attempt)
		x.respond(reply{kind: replyAnswer, text: text})
		a.wake(waiters, reply{kind: replyAnswer, text: text})
	}
	a.perform(a.admitter.Finished(x.id, lentillimit.OutcomeDone))
}

func (a *requestAgent) wake(waiters []uint64, r reply) {
	for _, id := range waiters {
		if y := a.works[id]; y != nil {
			delete(a.works, id)
			y.respond(r)
		}
	}
}

func (a *requestAgent) relay(x *work, action lentiladmit.Action) {
	peer := a.world.find(action.Peer().Control())
	a.chooser.RecordSentRequest(action.Peer().Owner(), a.admitter.Limiter.ExpectedDuration())
	done := false
	end := func(r reply) {
		if done {
			return
		}
		done = true
		switch r.kind {
		case replyAnswer:
			delete(a.works, x.id)
			x.respond(r)
			a.perform(a.admitter.RelayEnded(x.id, lentiladmit.RelayAnswered))
		case replyNotRun:
			a.chooser.RecordRefusal(action.Peer().Owner())
			x.arrived = a.world.schedule.Now()
			a.perform(a.admitter.RelayEnded(x.id, lentiladmit.RelayNotRun))
		default:
			x.begun = true
			a.perform(a.admitter.RelayEnded(x.id, lentiladmit.RelayAnswerLost))
		}
		if !a.admitter.Holds(x.id) {
			delete(a.works, x.id)
		}
	}
	a.pass(peer, x, end)
}

func (a *requestAgent) refuse(x *work, after time.Duration) {
	w := a.world
	delete(a.works, x.id)
	if x.begun {
		w.fail("call %d was told \"not run\" although a run had begun", x.attempt.call.id)
	}
	waited := w.schedule.Now().Sub(later(x.arrived, later(a.upstream.changedAt, a.resumedAt)))
	if all := w.schedule.Now().Sub(later(x.arrived, a.resumedAt)); waited > refusalTime || all > latestRefusal {
		w.fail("call %d was refused only after %s", x.attempt.call.id, waited)
	}
	r := reply{kind: replyNotRun, after: after}
	x.respond(r)
	if !x.ticket.IsZero() {
		a.wake(a.ledger.NotRun(x.ticket), r)
	}
}

func (a *requestAgent) unknown(x *work) {
	x.respond(reply{kind: replyUnknown})
	if x.run == nil {
		delete(a.works, x.id)
		a.lose(x)
	}
}

// lose closes the ticket of a run that gave no answer.
func (a *requestAgent) lose(x *work) {
	delete(a.works, x.id)
	if !x.ticket.IsZero() {
		a.wake(a.ledger.AnswerLost(x.ticket), reply{kind: replyUnknown})
	}
}

func (a *requestAgent) abort(x *work) {
	if x.before && a.admitter.Draining() && !x.attempt.ended() {
		a.world.fail("call %d was cut by a planned stop", x.attempt.call.id)
	}
	switch {
	case x.run != nil:
		a.upstream.cancel(x.run)
	case x.drop != nil:
		x.drop()
	}
}
