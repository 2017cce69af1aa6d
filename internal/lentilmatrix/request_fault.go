package lentilmatrix

//go:generate stringer -type=requestStep -trimprefix=step -output=request_step_string.go
//go:generate stringer -type=requestFault -trimprefix=fault -output=request_fault_string.go

import "time"

// requestStep is a step in the processing of a request, at which a fault is injected.
type requestStep uint8

const (
	// stepAdmitted is when an agent hands a request to its admitter.
	stepAdmitted requestStep = iota + 1
	// stepQueued is when the admitter has queued the request.
	stepQueued
	// stepDispatched is when the request was sent to the copy.
	stepDispatched
	// stepAnswered is when the agent has the answer of the copy.
	stepAnswered
	// stepRelayed is when an agent relays the request to a peer.
	stepRelayed
	// stepIssued is when an agent has issued a ticket, but not yet sent it to the caller.
	stepIssued
	// stepBound is when the ledger lets the request run under its ticket.
	stepBound
	// stepCompleted is when the ledger has stored the answer, but the caller has not been answered.
	stepCompleted
	// stepReplayed is when an agent sends the stored answer again.
	stepReplayed
)

// requestSteps are the columns of the matrix.
var requestSteps = []requestStep{
	stepAdmitted, stepQueued, stepDispatched, stepAnswered, stepRelayed,
	stepIssued, stepBound, stepCompleted, stepReplayed,
}

// requestFault is a fault that a request cell injects.
type requestFault uint8

const (
	// faultNone injects nothing.
	faultNone requestFault = iota
	// faultAgentDies ends the agent. A new incarnation starts at its address later.
	faultAgentDies
	// faultAgentPaused suspends the agent for agentPauseDuration.
	faultAgentPaused
	// faultCopyDies ends the copy and its runs. The copy starts again, cold.
	faultCopyDies
	// faultCopyResets makes the copy lose its runs but keep running.
	faultCopyResets
	// faultCopyCold resets the capacity of the copy to that of a cold copy.
	faultCopyCold
	// faultCopySheds makes the copy refuse all requests.
	faultCopySheds
	// faultCopyHangs makes the copy start requests that it never answers.
	faultCopyHangs
	// faultLoadLies makes the agent announce a high weight and no load.
	faultLoadLies
	// faultAnswerLost loses the replies to the caller.
	faultAnswerLost
	// faultAnswerLate delays replies by lateDelay.
	faultAnswerLate
	// faultAnswerCrossed delays replies at random, so that they may overtake each other.
	faultAnswerCrossed
	// faultAnswerDuplicated delivers replies a second time, after lateDelay.
	faultAnswerDuplicated
	// faultRequestDuplicated delivers requests and relays a second time, after lateDelay.
	faultRequestDuplicated
	// faultCallerCancels makes the caller close the attempt.
	faultCallerCancels
	// faultCallerRetries makes the caller send another attempt before the first is answered.
	faultCallerRetries
	// faultCallerStartsOver makes the caller send another attempt without its ticket.
	faultCallerStartsOver
	// faultRelayLostThere loses relayed requests on the way to the peer.
	faultRelayLostThere
	// faultRelayLostBack loses the peers' replies to relayed requests.
	faultRelayLostBack
	// faultDeadlinePasses delays the answers of the copy's present runs, except streams, past the
	// callers' deadlines.
	faultDeadlinePasses
	// faultDrain drains the agent.
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
	// requestFaultDuration is how long a fault lasts, unless it is a pause. It is also the downtime after
	// a crash.
	requestFaultDuration = 2 * time.Second
	// agentPauseDuration is how long a paused agent is suspended.
	agentPauseDuration = 3 * time.Second
	// lateDelay is the delay of a late or duplicated message, and the longest delay of a reordered
	// answer.
	lateDelay = 1500 * time.Millisecond
)

// injectFault injects a fault at the agent and the attempt that reached the step.
func (s *requestSimulation) injectFault(f requestFault, a *requestAgent, t *attempt) {
	s.tracef("fault %s at %s, attempt %d of call %d", f, a.name, t.number, t.call.id)
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
		c.enableFor(requestFaultDuration, func(on bool) { c.sheds = on })
	case faultCopyHangs:
		c.enableFor(requestFaultDuration, func(on bool) { c.hangs = on })
	case faultLoadLies:
		c.enableFor(requestFaultDuration, func(on bool) { a.reportsIdle = on })
	case faultCallerCancels:
		s.cancelAttempt(t)
	case faultCallerRetries:
		s.sendAttempt(t.call)
	case faultCallerStartsOver:
		t.call.ticket = ""
		s.sendAttempt(t.call)
	case faultDeadlinePasses:
		c.stallRuns()
	case faultDrain:
		a.drain()
	default:
		s.injectMessageFault(f, t)
	}
}

// injectMessageFault injects a fault into the messages of an attempt's call, for
// requestFaultDuration.
func (s *requestSimulation) injectMessageFault(f requestFault, t *attempt) {
	end := s.schedule.Now().Add(requestFaultDuration)
	s.messageFaults = append(s.messageFaults, func(m message) (delays []time.Duration, applies bool) {
		if m.call != t.call || s.schedule.Now().After(end) {
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
			return []time.Duration{time.Duration(s.random.IntN(int(lateDelay)))}, true
		case f == faultAnswerDuplicated && m.isAnswer(), f == faultRequestDuplicated && !m.isAnswer():
			return []time.Duration{hopDelay, lateDelay}, true
		}
		return nil, false
	})
}
