package lentilarrival

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
)

// perform carries out an agent's actions.
func (s *simulation) perform(a *agent, actions []lentiladmit.Action) {
	for _, action := range actions {
		r, relayed := s.relays[action.ID()]
		if !relayed {
			r = s.requests[action.ID()]
		}
		if r == nil {
			continue
		}
		switch action.Kind() {
		case lentiladmit.ActionDispatch:
			s.dispatch(a, r, action.ID())
		case lentiladmit.ActionRelay:
			s.relay(a, r, action)
		case lentiladmit.ActionRefuse:
			s.refuse(r, action, relayed)
		case lentiladmit.ActionReportUnknown:
			s.endUnknown(r, action.ID())
		case lentiladmit.ActionAbort:
			// The modelled copies don't cancel requests.
		}
	}
}

func (s *simulation) dispatch(a *agent, r *request, id uint64) {
	r.started = true
	s.stats.recordStart(a)
	afterFirstSecond := 0
	if coldFor, cold := a.upstream.ColdFor(s.schedule.Now()); cold && coldFor >= time.Second {
		afterFirstSecond = 1
	}
	a.sentWhileCold += afterFirstSecond
	duration, shed := a.upstream.StartRequest(s.schedule.Now(), r.work)
	s.schedule.At(s.schedule.Now().Add(duration), func() {
		a.upstream.EndRequest(s.schedule.Now())
		a.sentWhileCold -= afterFirstSecond
		if shed {
			s.perform(a, a.admitter.AnswerLost(id, lentillimit.OutcomeShed))
			return
		}
		s.deliverAnswer(r, id)
		s.perform(a, a.admitter.Finished(id, lentillimit.OutcomeDone))
	})
}

// deliverAnswer delivers a copy's answer to the caller, through the agent that relayed the
// request if it was relayed.
func (s *simulation) deliverAnswer(r *request, id uint64) {
	if id == r.id {
		s.stats.recordAnswer(s, r)
		return
	}
	s.endRelay(r, id, lentiladmit.RelayAnswered)
}

// endUnknown ends a request with an unknown outcome.
func (s *simulation) endUnknown(r *request, id uint64) {
	if id == r.id {
		s.stats.recordLate(r)
		return
	}
	s.endRelay(r, id, lentiladmit.RelayAnswerLost)
}

// endRelay reports the result of a relay to the agent that sent it. Later results of the
// same relay are ignored.
func (s *simulation) endRelay(r *request, id uint64, result lentiladmit.RelayResult) {
	if s.relays[id] == nil {
		return
	}
	delete(s.relays, id)
	peer := s.relayTargets[id]
	delete(s.relayTargets, id)
	load := peer.load()
	s.schedule.At(s.schedule.Now().Add(hopDelay), func() {
		r.entryAgent.chooser.UpdateLoad(peer.owner, load)
		switch result {
		case lentiladmit.RelayAnswered:
			s.stats.recordAnswer(s, r)
		case lentiladmit.RelayNotRun:
			s.stats.recordRefusedRelay(r)
			r.entryAgent.chooser.RecordRefusal(peer.owner)
		case lentiladmit.RelayAnswerLost:
		}
		s.perform(r.entryAgent, r.entryAgent.admitter.RelayEnded(r.id, result))
	})
}

func (s *simulation) relay(a *agent, r *request, action lentiladmit.Action) {
	s.stats.recordRelay(r)
	peer := s.agents[action.Peer().Control().Port()-1]
	a.chooser.RecordSentRequest(peer.owner, a.admitter.Limiter.ExpectedDuration())
	s.lastID++
	id := s.lastID
	s.schedule.At(s.schedule.Now().Add(hopDelay), func() {
		s.relays[id] = r
		s.relayTargets[id] = peer
		s.perform(peer, peer.admitter.Arrive(lentiladmit.Arrival{
			ID: id, Kind: lentilconfig.KindRepeatable, Deadline: r.deadline, Relayed: true,
		}))
	})
}

func (s *simulation) refuse(r *request, action lentiladmit.Action, relayed bool) {
	if relayed {
		s.endRelay(r, action.ID(), lentiladmit.RelayNotRun)
		return
	}
	s.stats.recordRefusal(s, r, action.RetryAfter())
}
