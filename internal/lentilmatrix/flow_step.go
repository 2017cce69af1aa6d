package lentilmatrix

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// Step is the operation of a run and the point in it at which faults are injected: a moment in the
// life of flows, copies or failure domains.
type Step uint8

// The steps.
const (
	// FlowsOpen is when many flows open at once.
	FlowsOpen Step = iota
	// FlowsRun is while nothing changes.
	FlowsRun
	// FlowsClose is when many flows close at once.
	FlowsClose
	// CopyJoins is when a copy of each service starts.
	CopyJoins
	// CopyWarms is while the weight of new copies rises.
	CopyWarms
	// CopyLeaves is when a copy of each service begins to drain.
	CopyLeaves
	// CopyGoes is when a drained copy of each service is withdrawn and ends.
	CopyGoes
	// DomainOut is when operators take a failure domain out of service.
	DomainOut
	// DomainEmpty is when a failure domain is out of service and empty.
	DomainEmpty
	// DomainBack is when operators put a failure domain back into service.
	DomainBack
	// CopiesReplaced is while copies are replaced one after another.
	CopiesReplaced
	// LastStep is the number of steps.
	LastStep
)

// Times and sizes of a run.
const (
	// operationAt is when the operation of the step begins.
	operationAt = 4 * time.Second
	// stopOpeningAt is when clients stop opening flows.
	stopOpeningAt = 12 * time.Second
	// runEndAt is when a run ends.
	runEndAt = 16 * time.Second
	// openInterval is the time between new flows of each service.
	openInterval = 200 * time.Millisecond
	// rampInterval is the time between two increases of a warming copy's weight.
	rampInterval = 500 * time.Millisecond
	// replaceInterval is the time between the replacements of two copies.
	replaceInterval = 1500 * time.Millisecond
	// burstFlows is how many flows of each service open and close at once.
	burstFlows = 20
)

// PlannedChanges returns one step for each planned change of copies or failure domains.
func PlannedChanges() (steps []Step) {
	return []Step{CopyWarms, CopyLeaves, DomainOut, CopiesReplaced}
}

// faultAt returns the time at which the run reaches the step, which is when faults are injected.
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
func (s *flowSimulation) scheduleOperation(step Step) {
	switch step {
	case FlowsOpen:
		s.scheduleBurst(operationAt, 5*time.Second)
	case FlowsClose:
		s.scheduleBurst(operationAt-2*time.Second, 2*time.Second)
	case CopyJoins, CopyWarms:
		s.at(operationAt, func() { s.addCopies(copyCount) })
	case CopyLeaves, CopyGoes:
		s.at(operationAt, func() { s.removeCopies(1, propagationLimit) })
	case DomainOut, DomainEmpty, DomainBack:
		s.at(operationAt, func() { s.setDomainOut(2, true) })
		s.at(operationAt+4*time.Second, func() { s.setDomainOut(2, false) })
	case CopiesReplaced:
		for i := range copyCount {
			s.at(operationAt+time.Duration(i)*replaceInterval, func() { s.addCopies(copyCount + i) })
			s.at(operationAt+time.Duration(i)*replaceInterval+replaceInterval/3, func() { s.removeCopies(i, propagationLimit) })
		}
	}
}

// at schedules an event at a time since the start.
func (s *flowSimulation) at(time time.Duration, event func()) { s.after(time-s.now(), event) }

// scheduleBurst schedules many flows of each service that open at a time and close together.
func (s *flowSimulation) scheduleBurst(at, duration time.Duration) {
	s.at(at, func() {
		for range burstFlows {
			s.openFlow(quicService, duration)
			s.openFlow(datagramService, duration)
		}
	})
}

// addCopies adds a copy with the given number to each service in the configuration, and starts it
// cold.
func (s *flowSimulation) addCopies(number int) {
	for _, service := range []string{"quic", "datagram"} {
		doc := copyDoc(service, number)
		s.changeConfiguration(func(d *lentilconfig.Document) { d.Copies = append(d.Copies, doc) })
		a := s.startCopy(doc, fullWeight/10)
		s.rampWeight(a)
	}
}

// rampWeight raises the weight of a cold copy step by step to fullWeight.
func (s *flowSimulation) rampWeight(a *flowAgent) {
	s.after(rampInterval, func() {
		if a.weight >= fullWeight || a.dead || a.leavingSince > 0 {
			return
		}
		a.weight = min(fullWeight, a.weight+fullWeight/5)
		if !a.paused {
			s.announce(a)
		}
		s.rampWeight(a)
	})
}

// removeCopies drains the numbered copy of each service, and withdraws it after a delay.
func (s *flowSimulation) removeCopies(number int, delay time.Duration) {
	for _, service := range []string{"quic", "datagram"} {
		a := s.liveAgent(copyDoc(service, number).Name)
		if a == nil {
			continue
		}
		s.drainCopy(a)
		s.after(delay, func() { s.withdrawCopy(a) })
	}
}
