package lentilmatrix

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

const (
	// warmupCalls and watchedCalls are how many calls are made before and while faults befall.
	warmupCalls = 400
	testCalls   = 60
	// burstCalls come at once, so that requests wait.
	burstCalls = 15
	// secondFaultDelay is the time from the first fault of a pair to the second.
	secondFaultDelay = 50 * time.Millisecond
)

// requestCell is one cell of the matrix: faults that begin at a step.
type requestCell struct {
	seed   uint64
	step   requestStep
	faults []requestFault
}

// requestResult is what became of a cell.
type requestResult struct {
	Outcome
	faultsInjected bool // the faults were brought about
	lastReplies    map[replyKind]int
}

// run drives one cell to its end and checks the promises along the way.
func (c requestCell) run() (result requestResult) {
	w := newRequestSimulation(c.seed)
	start := w.schedule.Now()
	w.scheduleCalls(start)
	skip := rand.New(rand.NewPCG(c.seed, 9)).IntN(3)
	w.onStep = func(s requestStep, a *requestAgent, t *attempt) {
		if s != c.step || result.faultsInjected || w.schedule.Now().Before(start.Add(warmupDuration)) {
			return
		}
		if skip > 0 {
			skip--
			return
		}
		result.faultsInjected = true
		for i, f := range c.faults {
			w.schedule.After(time.Duration(i)*secondFaultDelay, func() { w.injectFault(f, a, t) })
		}
	}
	w.schedule.Run(start.Add(warmupDuration + callPeriod + completionPeriod))
	w.checkFinalState()
	if !result.faultsInjected && c.step != 0 {
		w.violatef("the step was not reached")
	}
	result.Outcome = w.outcome
	result.lastReplies = make(map[replyKind]int)
	for _, c := range w.calls {
		result.lastReplies[c.lastReply]++
	}
	return result
}

// scheduleCalls plans the calls: enough to warm the copies, then the watched ones with a burst.
func (w *requestSimulation) scheduleCalls(start time.Time) {
	for range warmupCalls {
		w.scheduleCall(start.Add(time.Duration(w.random.Int64N(int64(warmupDuration)))), kindRepeatable)
	}
	watched := start.Add(warmupDuration)
	for range testCalls {
		w.scheduleCall(watched.Add(time.Duration(w.random.Int64N(int64(callPeriod)))), w.randomKind())
	}
	for range burstCalls {
		w.scheduleCall(watched.Add(callPeriod/4), w.randomKind())
	}
}

func (w *requestSimulation) randomKind() lentilconfig.RequestKind {
	switch w.random.IntN(10) {
	case 0:
		return kindStream
	case 1, 2, 3:
		return kindRepeatable
	default:
		return kindOnce
	}
}

// checkFinalState checks that nothing is left behind.
func (w *requestSimulation) checkFinalState() {
	for _, a := range w.agents {
		switch {
		case !a.alive || a.paused:
		case !a.admitter.Idle():
			w.violatef("agent %s still holds requests", a.name)
		case len(a.requests) > 0:
			w.violatef("agent %s has forgotten %d callers", a.name, len(a.requests))
		}
		for _, id := range slices.Sorted(maps.Keys(a.requests)) {
			x := a.requests[id]
			w.tracef("held at %s: call %d attempt %d, run %t, begun %t", a.name, x.attempt.call.id, x.attempt.number, x.run != nil, x.mayHaveRun)
		}
	}
}
