package lentilmatrix

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// Step is when a fault strikes: a time in the life of flows, copies or failure domains.
type Step uint8

// The steps.
const (
	// FlowsOpen is while many flows open at once.
	FlowsOpen Step = iota
	// FlowsRun is while nothing changes.
	FlowsRun
	// FlowsClose is while many flows close at once.
	FlowsClose
	// CopyJoins is when a copy of each service starts.
	CopyJoins
	// CopyWarms is while the weight of new copies rises.
	CopyWarms
	// CopyLeaves is when a copy of each service begins to drain.
	CopyLeaves
	// CopyGoes is when a copy of each service has drained, is withdrawn, and ends.
	CopyGoes
	// DomainOut is when operators take a failure domain out.
	DomainOut
	// DomainEmpty is when a failure domain is out and empty.
	DomainEmpty
	// DomainBack is when operators take a failure domain back.
	DomainBack
	// CopiesReplaced is while copies are replaced one after another.
	CopiesReplaced
	// LastStep counts the steps.
	LastStep
)

// Times of a run.
const (
	// operationAt is when the operation begins.
	operationAt = 4 * time.Second
	// opensUntil is when callers stop opening flows.
	opensUntil = 12 * time.Second
	// runEnds is when a run ends.
	runEnds = 16 * time.Second
	// openEvery is the time between new flows of each service.
	openEvery = 200 * time.Millisecond
	// rampStep is the time between steps of a warming copy's weight.
	rampStep = 500 * time.Millisecond
	// replaceEvery is the time between two replacements.
	replaceEvery = 1500 * time.Millisecond
	// manyFlows is how many flows open or close at once.
	manyFlows = 20
)

// PlannedChanges returns the steps that belong to a change of copies or failure
// domains, one for each change.
func PlannedChanges() (steps []Step) {
	return []Step{CopyWarms, CopyLeaves, DomainOut, CopiesReplaced}
}

// faultAt returns when a fault strikes so that it meets the step.
func (s Step) faultAt() time.Duration {
	switch s {
	case CopyWarms:
		return operationAt + 2*rampStep + rampStep/2
	case CopyGoes, DomainEmpty:
		return operationAt + settled
	case DomainBack:
		return operationAt + 4*time.Second
	case CopiesReplaced:
		return operationAt + replaceEvery + replaceEvery/2
	default:
		return operationAt
	}
}

// operate schedules the operation to which the step belongs.
func (w *flowWorld) operate(s Step) {
	switch s {
	case FlowsOpen:
		w.burst(operationAt, 5*time.Second)
	case FlowsClose:
		w.burst(operationAt-2*time.Second, 2*time.Second)
	case CopyJoins, CopyWarms:
		w.at(operationAt, func() { w.join(copyCount) })
	case CopyLeaves, CopyGoes:
		w.at(operationAt, func() { w.leave(1, settled) })
	case DomainOut, DomainEmpty, DomainBack:
		w.at(operationAt, func() { w.turnDomain(2, true) })
		w.at(operationAt+4*time.Second, func() { w.turnDomain(2, false) })
	case CopiesReplaced:
		for i := range copyCount {
			w.at(operationAt+time.Duration(i)*replaceEvery, func() { w.join(copyCount + i) })
			w.at(operationAt+time.Duration(i)*replaceEvery+replaceEvery/3, func() { w.leave(i, settled) })
		}
	}
}

// at schedules do for a time since the start.
func (w *flowWorld) at(time time.Duration, do func()) { w.after(time-w.now(), do) }

// burst opens many flows at once, which end together.
func (w *flowWorld) burst(at, life time.Duration) {
	w.at(at, func() {
		for range manyFlows {
			w.openFlow(quicService, life)
			w.openFlow(datagramService, life)
		}
	})
}

// join lists a new copy of each service and starts it cold.
func (w *flowWorld) join(number int) {
	for _, service := range []string{"quic", "datagram"} {
		doc := copyDoc(service, number)
		w.change(func(d *lentilconfig.Document) { d.Copies = append(d.Copies, doc) })
		a := w.startCopy(doc, fullWeight/10)
		w.ramp(a)
	}
}

// ramp raises the weight of a cold copy.
func (w *flowWorld) ramp(a *flowAgent) {
	w.after(rampStep, func() {
		if a.weight >= fullWeight || a.dead || a.leavesAt > 0 {
			return
		}
		a.weight = min(fullWeight, a.weight+fullWeight/5)
		if !a.paused {
			w.announce(a)
		}
		w.ramp(a)
	})
}

// leave drains a copy of each service and withdraws it after a while.
func (w *flowWorld) leave(number int, after time.Duration) {
	for _, service := range []string{"quic", "datagram"} {
		a := w.agentOf(copyDoc(service, number).Name)
		if a == nil {
			continue
		}
		w.drain(a)
		w.after(after, func() { w.withdraw(a) })
	}
}
