package lentilarrival

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
)

// perform carries out an agent's actions.
func (w *simulation) perform(a *agent, actions []lentiladmit.Action) {
	for _, action := range actions {
		x, relayed := w.relays[action.ID()]
		if !relayed {
			x = w.requests[action.ID()]
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
			w.endUnknown(x, action.ID())
		case lentiladmit.ActionAbort:
			// The model's copies run to the end.
		}
	}
}

func (w *simulation) dispatch(a *agent, x *request, id uint64) {
	x.started = true
	w.stats.recordStart(a)
	knowing := 0
	if since, cold := a.upstream.ColdFor(w.schedule.Now()); cold && since >= time.Second {
		knowing = 1
	}
	a.sentWhileCold += knowing
	lasts, shed := a.upstream.StartRequest(w.schedule.Now(), x.work)
	w.schedule.At(w.schedule.Now().Add(lasts), func() {
		a.upstream.EndRequest(w.schedule.Now())
		a.sentWhileCold -= knowing
		if shed {
			w.perform(a, a.admitter.AnswerLost(id, lentillimit.OutcomeShed))
			return
		}
		w.deliverAnswer(x, id)
		w.perform(a, a.admitter.Finished(id, lentillimit.OutcomeDone))
	})
}

// deliverAnswer brings a copy's deliverAnswer to the caller, by way of the agent that relayed.
func (w *simulation) deliverAnswer(x *request, id uint64) {
	if id == x.id {
		w.stats.recordAnswer(w, x)
		return
	}
	w.endRelay(x, id, lentiladmit.RelayAnswered)
}

// endUnknown ends a request whose outcome is endUnknown.
func (w *simulation) endUnknown(x *request, id uint64) {
	if id == x.id {
		w.stats.recordLate(x)
		return
	}
	w.endRelay(x, id, lentiladmit.RelayAnswerLost)
}

// endRelay brings the end of a relay to the agent that it came from, once.
func (w *simulation) endRelay(x *request, id uint64, result lentiladmit.RelayResult) {
	if w.relays[id] == nil {
		return
	}
	delete(w.relays, id)
	runner := w.relayTargets[id]
	delete(w.relayTargets, id)
	load := runner.load()
	w.schedule.At(w.schedule.Now().Add(hopDelay), func() {
		x.entryAgent.chooser.UpdateLoad(runner.owner, load)
		switch result {
		case lentiladmit.RelayAnswered:
			w.stats.recordAnswer(w, x)
		case lentiladmit.RelayNotRun:
			w.stats.recordRefusedRelay(x)
			x.entryAgent.chooser.RecordRefusal(runner.owner)
		case lentiladmit.RelayAnswerLost:
		}
		w.perform(x.entryAgent, x.entryAgent.admitter.RelayEnded(x.id, result))
	})
}

func (w *simulation) relay(a *agent, x *request, action lentiladmit.Action) {
	w.stats.recordRelay(x)
	peer := w.agents[action.Peer().Control().Port()-1]
	a.chooser.RecordSentRequest(peer.owner, a.admitter.Limiter.ExpectedDuration())
	w.lastID++
	id := w.lastID
	w.schedule.At(w.schedule.Now().Add(hopDelay), func() {
		w.relays[id] = x
		w.relayTargets[id] = peer
		w.perform(peer, peer.admitter.Arrive(lentiladmit.Arrival{
			ID: id, Kind: lentilconfig.KindRepeatable, Deadline: x.deadline, Relayed: true,
		}))
	})
}

func (w *simulation) refuse(x *request, action lentiladmit.Action, relayed bool) {
	if relayed {
		w.endRelay(x, action.ID(), lentiladmit.RelayNotRun)
		return
	}
	w.stats.recordRefusal(w, x, action.RetryAfter())
}
