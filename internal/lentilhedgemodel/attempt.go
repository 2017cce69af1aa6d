package lentilhedgemodel

import (
	"math"
	"time"

	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilhedge"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// recordBegin charges an attempt at a caller's request to the budget of its agent.
func (s *simulation) recordBegin(t *attempt) {
	if t.request.begun {
		t.at.policy.RecordRetry()
		return
	}
	t.request.begun = true
	t.at.policy.RecordFirst()
}

func (s *simulation) relayed(t *attempt) bool { return t.extra == relayedMark }

// relayedMark marks attempts that came from a peer, which have no extra attempt.
var relayedMark = &attempt{}

func (s *simulation) dispatch(t *attempt) {
	now := s.schedule.Now()
	if !s.relayed(t) {
		s.recordBegin(t)
	}
	t.runs, t.began = true, now
	t.run++
	run := t.run
	s.schedule.At(t.at.finishTime(now, s.drawWork()), func() {
		if t.runs && t.run == run {
			s.firstDone(t)
		}
	})
	if s.relayed(t) || !t.at.admitter.MayHedge(t.id) {
		return
	}
	if delay, ok := t.at.policy.Delay(1); ok {
		s.schedule.At(now.Add(delay), func() {
			if t.runs && t.run == run {
				s.hedge(t)
			}
		})
	}
}

// drawWork returns the duration of an attempt at a copy that is neither slow nor paused. The
// durations of two attempts at a request are independent: a request that is slow because of its
// own content gains nothing from an extra attempt.
func (s *simulation) drawWork() time.Duration {
	logMean := math.Log(meanWork.Seconds()) - workSigma*workSigma/2
	return time.Duration(math.Exp(logMean+workSigma*s.random.NormFloat64()) * float64(time.Second))
}

// finishTime returns when a copy ends work that begins now. Pauses don't count.
func (a *agent) finishTime(now time.Time, work time.Duration) time.Time {
	end := now.Add(time.Duration(float64(work) * a.slowdown))
	for _, p := range a.pauses {
		resumed := p.Add(pauseLength)
		if !p.Before(end) {
			break
		}
		if resumed.After(now) {
			end = end.Add(resumed.Sub(later(p, now)))
		}
	}
	return end
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// firstDone ends an attempt whose copy has answered.
func (s *simulation) firstDone(t *attempt) {
	t.runs = false
	a := t.at
	delete(a.attempts, t.id)
	if !s.relayed(t) {
		a.policy.RecordDuration(1, s.schedule.Now().Sub(t.began))
		if extra := t.extra; extra != nil {
			t.extra = nil
			if t.request.measured {
				s.result.Cancelled++
			}
			s.cancel(extra)
		}
	}
	t.onAnswer()
	s.perform(a, a.admitter.Finished(t.id, lentillimit.OutcomeDone))
}

// hedge makes an extra attempt if it is allowed.
func (s *simulation) hedge(t *attempt) {
	a := t.at
	if !a.admitter.MayHedge(t.id) || a.admitter.Limiter.Cold() || a.admitter.Queued() > 0 {
		return
	}
	switch a.policy.Decide() {
	case lentilhedge.VerdictAllowed:
	case lentilhedge.VerdictOverBudget:
		if t.request.measured {
			s.result.OverBudget++
		}
		return
	default:
		return
	}
	peer, ok := a.chooser.ChooseForHedge()
	if !ok {
		return
	}
	a.admitter.Hedge(t.id)
	a.policy.RecordExtra()
	a.chooser.RecordSentRequest(peer.Owner(), a.admitter.Limiter.ExpectedDuration())
	if t.request.measured {
		s.result.Extras++
		if s.schedule.Now().Sub(s.start) > time.Second {
			s.result.LateExtras++
		}
	}
	extra := &attempt{at: s.agents[peer.Control().Port()-1], request: t.request, extra: relayedMark}
	t.extra = extra
	end := func(result lentiladmit.RelayResult) {
		s.schedule.At(s.schedule.Now().Add(hopDelay), func() {
			if t.extra == extra {
				s.extraDone(t, result)
			}
		})
	}
	extra.onAnswer = func() { end(lentiladmit.RelayAnswered) }
	extra.onFailure = end
	s.schedule.At(s.schedule.Now().Add(hopDelay), func() { s.submit(extra, true) })
}

// extraDone handles the result of an extra attempt. If it won, the first one is cancelled.
func (s *simulation) extraDone(t *attempt, result lentiladmit.RelayResult) {
	a := t.at
	t.extra = nil
	s.perform(a, a.admitter.HedgeEnded(t.id, result))
	if result != lentiladmit.RelayAnswered {
		return
	}
	if t.request.measured {
		s.result.Won++
	}
	t.onAnswer()
	if t.runs {
		a.policy.RecordDuration(1, s.schedule.Now().Sub(t.began))
		s.abort(t, lentillimit.OutcomeOvertaken)
	}
}

// cancel ends an attempt from a peer one hop later.
func (s *simulation) cancel(t *attempt) {
	t.onAnswer, t.onFailure = func() {}, func(lentiladmit.RelayResult) {}
	s.schedule.At(s.schedule.Now().Add(hopDelay), func() { s.perform(t.at, t.at.admitter.Cancelled(t.id)) })
}

// abort ends the call of an attempt to the copy.
func (s *simulation) abort(t *attempt, outcome lentillimit.Outcome) {
	if !t.runs {
		return
	}
	t.runs = false
	delete(t.at.attempts, t.id)
	if s.relayed(t) && outcome == lentillimit.OutcomeTimedOut && s.schedule.Now().Sub(t.request.arrivedAt) < timeout {
		outcome = lentillimit.OutcomeCancelled
	}
	s.perform(t.at, t.at.admitter.Finished(t.id, outcome))
}

// relay passes a request that has not begun to a peer.
func (s *simulation) relay(t *attempt, peer lentilrecord.Record) {
	a := t.at
	s.recordBegin(t)
	a.chooser.RecordSentRequest(peer.Owner(), a.admitter.Limiter.ExpectedDuration())
	there := &attempt{at: s.agents[peer.Control().Port()-1], request: t.request, extra: relayedMark}
	ended := false
	end := func(result lentiladmit.RelayResult) {
		if ended {
			return
		}
		ended = true
		load := there.at.load()
		s.schedule.At(s.schedule.Now().Add(hopDelay), func() {
			a.chooser.UpdateLoad(peer.Owner(), load)
			switch result {
			case lentiladmit.RelayAnswered:
				t.onAnswer()
			case lentiladmit.RelayNotRun:
				a.chooser.RecordRefusal(peer.Owner())
			case lentiladmit.RelayAnswerLost:
			}
			s.perform(a, a.admitter.RelayEnded(t.id, result))
		})
	}
	there.onAnswer = func() { end(lentiladmit.RelayAnswered) }
	there.onFailure = end
	s.schedule.At(s.schedule.Now().Add(hopDelay), func() { s.submit(there, true) })
}
