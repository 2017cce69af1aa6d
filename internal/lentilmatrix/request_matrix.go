package lentilmatrix

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

const (
	// warmupCalls is the number of calls before the faults, testCalls the number of calls during
	// the faults.
	warmupCalls = 400
	testCalls   = 60
	// burstCalls is the number of further calls that start at once. They make requests queue.
	burstCalls = 15
	// secondFaultDelay is the time between the two faults of a pair.
	secondFaultDelay = 50 * time.Millisecond
)

// requestCell is one cell of the matrix: faults that are injected at a step.
type requestCell struct {
	seed   uint64
	step   requestStep
	faults []requestFault
}

// requestResult is the result of a cell.
type requestResult struct {
	Outcome
	faultsInjected bool // the step was reached and the faults were injected
	lastReplies    map[replyKind]int
}

// run runs one cell to its end, and checks the promises. It injects the faults the first, second or
// third time that an attempt reaches the step after the warm-up. The seed determines which.
func (c requestCell) run() (result requestResult) {
	s := newRequestSimulation(c.seed)
	start := s.schedule.Now()
	s.scheduleCalls(start)
	skip := rand.New(rand.NewPCG(c.seed, 9)).IntN(3)
	s.onStep = func(step requestStep, a *requestAgent, t *attempt) {
		if step != c.step || result.faultsInjected || s.schedule.Now().Before(start.Add(warmupDuration)) {
			return
		}
		if skip > 0 {
			skip--
			return
		}
		result.faultsInjected = true
		for i, f := range c.faults {
			s.schedule.After(time.Duration(i)*secondFaultDelay, func() { s.injectFault(f, a, t) })
		}
	}
	s.schedule.RunUntil(start.Add(warmupDuration + callPeriod + completionPeriod))
	s.checkFinalState()
	if !result.faultsInjected && c.step != 0 {
		s.violatef("the step was not reached")
	}
	result.Outcome = s.outcome
	result.lastReplies = make(map[replyKind]int)
	for _, c := range s.calls {
		result.lastReplies[c.lastReply]++
	}
	return result
}

// scheduleCalls schedules the calls of the warm-up, in which the agents' limits rise to all slots,
// then the test calls and a burst.
func (s *requestSimulation) scheduleCalls(start time.Time) {
	for range warmupCalls {
		s.scheduleCall(start.Add(time.Duration(s.random.Int64N(int64(warmupDuration)))), kindRepeatable)
	}
	testStart := start.Add(warmupDuration)
	for range testCalls {
		s.scheduleCall(testStart.Add(time.Duration(s.random.Int64N(int64(callPeriod)))), s.randomKind())
	}
	for range burstCalls {
		s.scheduleCall(testStart.Add(callPeriod/4), s.randomKind())
	}
}

// randomKind returns a random kind of request: 10% streams, 30% repeatable, 60% once.
func (s *requestSimulation) randomKind() lentilconfig.RequestKind {
	switch s.random.IntN(10) {
	case 0:
		return kindStream
	case 1, 2, 3:
		return kindRepeatable
	default:
		return kindOnce
	}
}

// checkFinalState records a violation if an agent still holds a request at the end.
func (s *requestSimulation) checkFinalState() {
	for _, a := range s.agents {
		switch {
		case !a.alive || a.paused:
		case !a.admitter.Idle():
			s.violatef("admitter of agent %s still holds requests", a.name)
		case len(a.requests) > 0:
			s.violatef("agent %s has not answered %d requests", a.name, len(a.requests))
		}
		for _, id := range slices.Sorted(maps.Keys(a.requests)) {
			req := a.requests[id]
			s.tracef("held at %s: call %d attempt %d, running %t, may have run %t", a.name, req.attempt.call.id, req.attempt.number, req.run != nil, req.mayHaveRun)
		}
	}
}
