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
	faultLength = 2 * time.Second
	pauseLength = 3 * time.Second
	lateBy      = 1500 * time.Millisecond
)

// inject brings a fault about at the agent and the attempt that reached the step.
func (w *requestWorld) inject(f requestFault, a *requestAgent, t *attempt) {
	w.note("fault %s at %s, attempt %d of call %d", f, a.name, t.number, t.call.id)
	c := a.upstream
	switch f {
	case faultAgentDies:
		a.die()
	case faultAgentPaused:
		a.pause(pauseLength)
	case faultCopyDies:
		c.die()
	case faultCopyResets:
		c.reset()
	case faultCopyCold:
		c.turnCold()
	case faultCopySheds:
		c.during(faultLength, func(on bool) { c.sheds = on })
	case faultCopyHangs:
		c.during(faultLength, func(on bool) { c.hangs = on })
	case faultLoadLies:
		c.during(faultLength, func(on bool) { a.lies = on })
	case faultCallerCancels:
		w.cancel(t)
	case faultCallerRetries:
		w.try(t.call)
	case faultCallerStartsOver:
		t.call.ticket = ""
		w.try(t.call)
	case faultDeadlinePasses:
		c.stall()
	case faultDrain:
		a.drain()
	default:
		w.injectWire(f, t)
	}
}

// injectWire brings about a fault of the messages of an attempt's call.
func (w *requestWorld) injectWire(f requestFault, t *attempt) {
	end := w.schedule.Now().Add(faultLength)
	w.wires = append(w.wires, func(m message) (delays []time.Duration, hit bool) {
		if m.call != t.call || w.schedule.Now().After(end) {
			return nil, false
		}
		switch {
		case f == faultAnswerLost && m.kind == messageAnswer,
			f == faultRelayLostThere && m.kind == messageRelay,
			f == faultRelayLostBack && m.kind == messageRelayAnswer:
			return nil, true
		case f == faultAnswerLate && m.answers():
			return []time.Duration{lateBy}, true
		case f == faultAnswerCrossed && m.answers():
			return []time.Duration{time.Duration(w.random.IntN(int(lateBy)))}, true
		case f == faultAnswerDuplicated && m.answers(), f == faultRequestDuplicated && !m.answers():
			return []time.Duration{hopTime, lateBy}, true
		}
		return nil, false
	})
}
