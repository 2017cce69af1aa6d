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
	// stopOpeningAt is when callers stop opening flows.
	stopOpeningAt = 12 * time.Second
	// endAt is when a run ends.
	endAt = 16 * time.Second
	// openInterval is the time between new flows of each service.
	openInterval = 200 * time.Millisecond
	// rampInterval is the time between steps of a warming copy's weight.
	rampInterval = 500 * time.Millisecond
	// replaceInterval is the time between two replacements.
	replaceInterval = 1500 * time.Millisecond
	// burstFlows is how many flows open or close at once.
	burstFlows = 20
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
		return operationAt + 2*rampInterval + rampInterval/2
	case CopyGoes, DomainEmpty:
		return operationAt + propagationLimit
	case DomainBack:
		return operationAt + 4*time.Second
	case CopiesReplaced:
		return operationAt + replaceInterval + replaceInterval/2
	default:
		return operationAt
	}
}

// scheduleOperation schedules the operation to which the step belongs.
func (w *flowSimulation) scheduleOperation(s Step) {
	switch s {
	case FlowsOpen:
		w.scheduleBurst(operationAt, 5*time.Second)
	case FlowsClose:
		w.scheduleBurst(operationAt-2*time.Second, 2*time.Second)
	case CopyJoins, CopyWarms:
		w.at(operationAt, func() { w.addCopies(copyCount) })
	case CopyLeaves, CopyGoes:
		w.at(operationAt, func() { w.removeCopies(1, propagationLimit) })
	case DomainOut, DomainEmpty, DomainBack:
		w.at(operationAt, func() { w.setDomainOut(2, true) })
		w.at(operationAt+4*time.Second, func() { w.setDomainOut(2, false) })
	case CopiesReplaced:
		for i := range copyCount {
			w.at(operationAt+time.Duration(i)*replaceInterval, func() { w.addCopies(copyCount + i) })
			w.at(operationAt+time.Duration(i)*replaceInterval+replaceInterval/3, func() { w.removeCopies(i, propagationLimit) })
		}
	}
}

// at schedules do for a time since the start.
func (w *flowSimulation) at(time time.Duration, do func()) { w.after(time-w.now(), do) }

// scheduleBurst opens many flows at once, which end together.
func (w *flowSimulation) scheduleBurst(at, life time.Duration) {
	w.at(at, func() {
		for range burstFlows {
			w.openFlow(quicService, life)
			w.openFlow(datagramService, life)
		}
	})
}

// addCopies lists a new copy of each service and starts it cold.
func (w *flowSimulation) addCopies(number int) {
	for _, service := range []string{"quic", "datagram"} {
		doc := copyDoc(service, number)
		w.changeConfiguration(func(d *lentilconfig.Document) { d.Copies = append(d.Copies, doc) })
		a := w.startCopy(doc, fullWeight/10)
		w.rampWeight(a)
	}
}

// rampWeight raises the weight of a cold copy.
func (w *flowSimulation) rampWeight(a *flowAgent) {
	w.after(rampInterval, func() {
		if a.weight >= fullWeight || a.dead || a.leavingSince > 0 {
			return
		}
		a.weight = min(fullWeight, a.weight+fullWeight/5)
		if !a.paused {
			w.announce(a)
		}
		w.rampWeight(a)
	})
}

// removeCopies drains a copy of each service and withdraws it after a while.
func (w *flowSimulation) removeCopies(number int, after time.Duration) {
	for _, service := range []string{"quic", "datagram"} {
		a := w.liveAgent(copyDoc(service, number).Name)
		if a == nil {
			continue
		}
		w.drainCopy(a)
		w.after(after, func() { w.withdrawCopy(a) })
	}
}
