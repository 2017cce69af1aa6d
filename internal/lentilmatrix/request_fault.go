package lentilmatrix

//go:generate stringer -type=requestStep -trimprefix=step -output=request_step_string.go
//go:generate stringer -type=requestFault -trimprefix=fault -output=request_fault_string.go

import "time"

// requestStep is a step in the life of a request, at which a fault is brought about.
type requestStep uint8

const (
	stepAdmitted requestStep = iota + 1
	stepQueued
	stepDispatched
	stepAnswered
	stepRelayed
	stepIssued
	stepBound
	stepCompleted
	stepReplayed
)

// requestSteps are the columns of the matrix.
var requestSteps = []requestStep{
	stepAdmitted, stepQueued, stepDispatched, stepAnswered, stepRelayed,
	stepIssued, stepBound, stepCompleted, stepReplayed,
}

// requestFault is a fault that befalls requests.
type requestFault uint8

const (
	faultNone requestFault = iota
	faultAgentDies
	faultAgentPaused
	faultCopyDies
	faultCopyResets
	faultCopyCold
	faultCopySheds
	faultCopyHangs
	faultLoadLies
	faultAnswerLost
	faultAnswerLate
	faultAnswerCrossed
	faultAnswerDuplicated
	faultRequestDuplicated
	faultCallerCancels
	faultCallerRetries
	faultCallerStartsOver
	faultRelayLostThere
	faultRelayLostBack
	faultDeadlinePasses
	faultDrain
)

// requestFaults are the rows of the matrix.
var requestFaults = []requestFault{
	faultAgentDies, faultAgentPaused, faultCopyDies, faultCopyResets, faultCopyCold, faultCopySheds, faultCopyHangs, faultLoadLies,
	faultAnswerLost, faultAnswerLate, faultAnswerCrossed, faultAnswerDuplicated, faultRequestDuplicated,
	faultCallerCancels, faultCallerRetries, faultCallerStartsOver, faultRelayLostThere, faultRelayLostBack,
	faultDeadlinePasses, faultDrain,
}

const (
	requestFaultDuration = 2 * time.Second
	agentPauseDuration   = 3 * time.Second
	lateDelay            = 1500 * time.Millisecond
)

// injectFault brings a fault about at the agent and the attempt that reached the step.
func (w *requestSimulation) injectFault(f requestFault, a *requestAgent, t *attempt) {
	w.tracef("fault %s at %s, attempt %d of call %d", f, a.name, t.number, t.call.id)
	c := a.upstream
	switch f {
	case faultAgentDies:
		a.crash()
	case faultAgentPaused:
		a.pause(agentPauseDuration)
	case faultCopyDies:
		c.crash()
	case faultCopyResets:
		c.resetRuns()
	case faultCopyCold:
		c.turnCold()
	case faultCopySheds:
		c.setFor(requestFaultDuration, func(on bool) { c.sheds = on })
	case faultCopyHangs:
		c.setFor(requestFaultDuration, func(on bool) { c.hangs = on })
	case faultLoadLies:
		c.setFor(requestFaultDuration, func(on bool) { a.reportsIdle = on })
	case faultCallerCancels:
		w.cancelAttempt(t)
	case faultCallerRetries:
		w.sendAttempt(t.call)
	case faultCallerStartsOver:
		t.call.ticket = ""
		w.sendAttempt(t.call)
	case faultDeadlinePasses:
		c.stallRuns()
	case faultDrain:
		a.drain()
	default:
		w.injectMessageFault(f, t)
	}
}

// injectMessageFault brings about a fault of the messages of an attempt's call.
func (w *requestSimulation) injectMessageFault(f requestFault, t *attempt) {
	end := w.schedule.Now().Add(requestFaultDuration)
	w.messageFaults = append(w.messageFaults, func(m message) (delays []time.Duration, hit bool) {
		if m.call != t.call || w.schedule.Now().After(end) {
			return nil, false
		}
		switch {
		case f == faultAnswerLost && m.kind == messageAnswer,
			f == faultRelayLostThere && m.kind == messageRelay,
			f == faultRelayLostBack && m.kind == messageRelayAnswer:
			return nil, true
		case f == faultAnswerLate && m.isAnswer():
			return []time.Duration{lateDelay}, true
		case f == faultAnswerCrossed && m.isAnswer():
			return []time.Duration{time.Duration(w.random.IntN(int(lateDelay)))}, true
		case f == faultAnswerDuplicated && m.isAnswer(), f == faultRequestDuplicated && !m.isAnswer():
			return []time.Duration{hopDelay, lateDelay}, true
		}
		return nil, false
	})
}
