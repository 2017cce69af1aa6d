package lentilarrival

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
)

// perform carries out an agent's actions.
func (w *world) perform(a *agent, actions []lentiladmit.Action) {
	for _, action := range actions {
		x, relayed := w.relays[action.ID()]
		if !relayed {
			x = w.exchanges[action.ID()]
		}
		if x == nil {
			continue
		}
		switch action.Kind() {
		case lentiladmit.ActionDispatch:
			w.dispatch(a, x, action.ID())
		case lentiladmit.ActionRelay:
			w.relay(a, x, action)
		case lentiladmit.ActionRefuse:
			w.refuse(x, action, relayed)
		case lentiladmit.ActionReportUnknown:
			w.unknown(x, action.ID())
		case lentiladmit.ActionAbort:
			// The model's copies run to the end.
		}
	}
}

func (w *world) dispatch(a *agent, x *exchange, id uint64) {
	x.began = true
	w.tally.began(a)
	knowing := 0
	if since, cold := a.upstream.ColdFor(w.schedule.Now()); cold && since >= time.Second {
		knowing = 1
	}
	a.knowing += knowing
	lasts, shed := a.upstream.Begin(w.schedule.Now(), x.work)
	w.schedule.At(w.schedule.Now().Add(lasts), func() {
		a.upstream.End(w.schedule.Now())
		a.knowing -= knowing
		if shed {
			w.perform(a, a.admitter.AnswerLost(id, lentillimit.OutcomeShed))
			return
		}
		w.answer(x, id)
		w.perform(a, a.admitter.Finished(id, lentillimit.OutcomeDone))
	})
}

// answer brings a copy's answer to the caller, by way of the agent that relayed.
func (w *world) answer(x *exchange, id uint64) {
	if id == x.id {
		w.tally.answered(w, x)
		return
	}
	w.back(x, id, lentiladmit.RelayAnswered)
}

// unknown ends a request whose outcome is unknown.
func (w *world) unknown(x *exchange, id uint64) {
	if id == x.id {
		w.tally.late(x)
		return
	}
	w.back(x, id, lentiladmit.RelayAnswerLost)
}

// back brings the end of a relay to the agent that it came from, once.
func (w *world) back(x *exchange, id uint64, result lentiladmit.RelayResult) {
	if w.relays[id] == nil {
		return
	}
	delete(w.relays, id)
	runner := w.runners[id]
	delete(w.runners, id)
	load := runner.load()
	w.schedule.At(w.schedule.Now().Add(hop), func() {
		x.entry.chooser.UpdateLoad(runner.owner, load)
		switch result {
		case lentiladmit.RelayAnswered:
			w.tally.answered(w, x)
		case lentiladmit.RelayNotRun:
			w.tally.bounced(x)
			x.entry.chooser.RecordRefusal(runner.owner)
		case lentiladmit.RelayAnswerLost:
		}
		w.perform(x.entry, x.entry.admitter.RelayEnded(x.id, result))
	})
}

func (w *world) relay(a *agent, x *exchange, action lentiladmit.Action) {
	w.tally.relayed(x)
	peer := w.agents[action.Peer().Control().Port()-1]
	a.chooser.RecordSentRequest(peer.owner, a.admitter.Limiter.ExpectedDuration())
	w.next++
	id := w.next
	w.schedule.At(w.schedule.Now().Add(hop), func() {
		w.relays[id] = x
		w.runners[id] = peer
		w.perform(peer, peer.admitter.Arrive(lentiladmit.Arrival{
			ID: id, Kind: lentilconfig.KindRepeatable, Deadline: x.deadline, Relayed: true,
		}))
	})
}

func (w *world) refuse(x *exchange, action lentiladmit.Action, relayed bool) {
	if relayed {
		w.back(x, action.ID(), lentiladmit.RelayNotRun)
		return
	}
	w.tally.refused(w, x, action.RetryAfter())
}
