package lentilmatrix

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// propagationLimit is the time after an accepted change by which every node must act on it.
const propagationLimit = 3 * time.Second

// reportBroken records a violation because a flow is broken. A flow that has ended or is exempt
// isn't recorded, and each flow is recorded once only.
func (s *flowSimulation) reportBroken(f *flow, format string, args ...any) {
	if f.broken || f.ended || s.exempt(f) {
		return
	}
	f.broken = true
	s.stats.forService(f.service).Broken++
	s.outcome.RecordViolationf(s.now(), "flow %d of service %d broke: "+format, append([]any{f.number, f.service}, args...)...)
}

// exempt reports whether the promise doesn't cover a flow: its agent died, or the failure domain of
// its agent was taken out of service. A datagram flow, whose packets carry no place, is also exempt
// when its agent was paused for longer than its lease. Nodes can't distinguish such an agent from a
// dead one.
func (s *flowSimulation) exempt(f *flow) bool {
	a := f.agent
	if a == nil {
		return false
	}
	if at, out := s.lastOutAt[a.domain]; out && at >= f.startedAt {
		return true
	}
	return a.dead || s.out[a.domain] || f.protocol == lentilroute.Datagram && s.leaseMayHaveExpired(a)
}

// leaseMayHaveExpired reports whether a pause of the agent may have outlasted its lease at a node
// that receives records late.
func (s *flowSimulation) leaseMayHaveExpired(a *flowAgent) bool {
	return a.longestPause > 0 && a.longestPause+renewInterval+s.maxControlDelay >= leaseDuration
}

// checkAnswerTimeout reports a flow as broken if its last answer, or its start if it has none, is
// too long ago. After the first answer, the longest pause of its agent extends the timeout.
func (s *flowSimulation) checkAnswerTimeout(f *flow) {
	timeout := firstAnswerTimeout
	if f.answered {
		timeout = answerTimeout
		if f.agent != nil {
			timeout += f.agent.longestPause
		}
	}
	if s.now()-f.lastAnswerAt > timeout {
		s.reportBroken(f, "no answer for %v", s.now()-f.lastAnswerAt)
	}
}

// checkService records a violation if a packet reached an agent of another service.
func (s *flowSimulation) checkService(a *flowAgent, f *flow) {
	if f.service != a.service {
		s.stats.WrongService++
		s.outcome.RecordViolationf(s.now(), "flow %d of service %d reached %s of service %d", f.number, f.service, a.owner.Copy, a.service)
	}
}

// checkDomainOut records a violation if a packet reached a failure domain that has been out of service
// for longer than propagationLimit.
func (s *flowSimulation) checkDomainOut(a *flowAgent) {
	if s.out[a.domain] && s.now()-s.lastOutAt[a.domain] > propagationLimit {
		s.stats.PacketsAfterOut++
		s.outcome.RecordViolationf(s.now(), "%s received a packet %v after its failure domain went out of service", a.owner.Copy, s.now()-s.lastOutAt[a.domain])
	}
}

// checkLeaving records a violation if a flow opened at a copy that has been draining or withdrawn for
// longer than propagationLimit.
func (s *flowSimulation) checkLeaving(a *flowAgent, f *flow) {
	if a.leavingSince > 0 && s.now()-a.leavingSince > propagationLimit {
		s.stats.OpenedAfterLeaving++
		s.outcome.RecordViolationf(s.now(), "%s opened flow %d %v after it began to drain or was withdrawn", a.owner.Copy, f.number, s.now()-a.leavingSince)
	}
}
