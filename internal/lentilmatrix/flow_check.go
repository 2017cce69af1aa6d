package lentilmatrix

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// propagationLimit is how long after an accepted change everybody must act on it.
const propagationLimit = 3 * time.Second

// reportBroken notes that an established flow has broken, unless it is one that its
// promise gives up.
func (w *flowSimulation) reportBroken(f *flow, format string, args ...any) {
	if f.broken || f.ended || w.exempt(f) {
		return
	}
	f.broken = true
	w.stats.forService(f.service).Broken++
	w.outcome.RecordViolationf(w.now(), "flow %d of service %d broke: "+format, append([]any{f.number, f.service}, args...)...)
}

// exempt reports whether a flow lived at an agent that died, or in a failure
// domain that was taken out. A flow that carries no place is also given up when
// its agent was silent for longer than its lease: then it can't be told from a dead one.
func (w *flowSimulation) exempt(f *flow) bool {
	a := f.agent
	if a == nil {
		return false
	}
	if at, out := w.lastOutAt[a.domain]; out && at >= f.started {
		return true
	}
	return a.dead || w.out[a.domain] || f.protocol == lentilroute.Datagram && w.leaseMayHaveExpired(a)
}

// leaseMayHaveExpired reports whether a pause of the agent may have outlasted its lease, as
// some node that control reaches late sees it.
func (w *flowSimulation) leaseMayHaveExpired(a *flowAgent) bool {
	return a.longestPause > 0 && a.longestPause+renewInterval+w.maxControlDelay >= leaseDuration
}

// checkAnswerTimeout notes a flow whose packets find no answer.
func (w *flowSimulation) checkAnswerTimeout(f *flow) {
	patience := firstAnswerTimeout
	if f.answered {
		patience = answerTimeout
		if f.agent != nil {
			patience += f.agent.longestPause
		}
	}
	if w.now()-f.lastAnswer > patience {
		w.reportBroken(f, "no answer for %v", w.now()-f.lastAnswer)
	}
}

// checkService notes a packet that reached another service.
func (w *flowSimulation) checkService(a *flowAgent, f *flow) {
	if f.service != a.service {
		w.stats.WrongService++
		w.outcome.RecordViolationf(w.now(), "flow %d of service %d reached %s of service %d", f.number, f.service, a.owner.Copy, a.service)
	}
}

// checkDomainOut notes a packet to a failure domain that has been out for a while.
func (w *flowSimulation) checkDomainOut(a *flowAgent) {
	if w.out[a.domain] && w.now()-w.lastOutAt[a.domain] > propagationLimit {
		w.stats.PacketsAfterOut++
		w.outcome.RecordViolationf(w.now(), "%s got a packet %v after its failure domain went out", a.owner.Copy, w.now()-w.lastOutAt[a.domain])
	}
}

// checkLeaving notes new work at a copy that has been leaving for a while.
func (w *flowSimulation) checkLeaving(a *flowAgent, f *flow) {
	if a.leavingSince > 0 && w.now()-a.leavingSince > propagationLimit {
		w.stats.OpenedAfterLeaving++
		w.outcome.RecordViolationf(w.now(), "%s opened flow %d %v after it began to leave", a.owner.Copy, f.number, w.now()-a.leavingSince)
	}
}
