package lentilmatrix

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// settled is how long after an accepted change everybody must act on it.
const settled = 3 * time.Second

// breakFlow notes that an established flow has broken, unless it is one that its
// promise gives up.
func (w *flowWorld) breakFlow(f *flow, format string, args ...any) {
	if f.broken || f.ended || w.givenUp(f) {
		return
	}
	f.broken = true
	w.figures.of(f.service).Broken++
	w.outcome.Violatef(w.now(), "flow %d of service %d broke: "+format, append([]any{f.number, f.service}, args...)...)
}

// givenUp reports whether a flow lived at an agent that died, or in a failure
// domain that was taken out. A flow that carries no place is also given up when
// its agent was silent for longer than its lease: then it can't be told from a dead one.
func (w *flowWorld) givenUp(f *flow) bool {
	a := f.home
	if a == nil {
		return false
	}
	if at, out := w.lastOut[a.domain]; out && at >= f.started {
		return true
	}
	return a.dead || w.out[a.domain] || f.protocol == lentilroute.Datagram && w.lapsed(a)
}

// lapsed reports whether a pause of the agent may have outlasted its lease, as
// some node that control reaches late sees it.
func (w *flowWorld) lapsed(a *flowAgent) bool {
	return a.silent > 0 && a.silent+renewEvery+w.skew >= lease
}

// checkCut notes a flow whose packets find no answer.
func (w *flowWorld) checkCut(f *flow) {
	patience := openWithin
	if f.answered {
		patience = cutAfter
		if f.home != nil {
			patience += f.home.silent
		}
	}
	if w.now()-f.lastAnswer > patience {
		w.breakFlow(f, "no answer for %v", w.now()-f.lastAnswer)
	}
}

// checkService notes a packet that reached another service.
func (w *flowWorld) checkService(a *flowAgent, f *flow) {
	if f.service != a.service {
		w.figures.WrongService++
		w.outcome.Violatef(w.now(), "flow %d of service %d reached %s of service %d", f.number, f.service, a.owner.Copy, a.service)
	}
}

// checkOut notes a packet to a failure domain that has been out for a while.
func (w *flowWorld) checkOut(a *flowAgent) {
	if w.out[a.domain] && w.now()-w.lastOut[a.domain] > settled {
		w.figures.AfterOut++
		w.outcome.Violatef(w.now(), "%s got a packet %v after its failure domain went out", a.owner.Copy, w.now()-w.lastOut[a.domain])
	}
}

// checkLeaving notes new work at a copy that has been leaving for a while.
func (w *flowWorld) checkLeaving(a *flowAgent, f *flow) {
	if a.leavesAt > 0 && w.now()-a.leavesAt > settled {
		w.figures.AfterLeaving++
		w.outcome.Violatef(w.now(), "%s opened flow %d %v after it began to leave", a.owner.Copy, f.number, w.now()-a.leavesAt)
	}
}
