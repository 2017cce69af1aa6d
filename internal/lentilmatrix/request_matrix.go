package lentilmatrix

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

const (
	// warmCalls and watchedCalls are how many calls are made before and while faults befall.
	warmCalls    = 400
	watchedCalls = 60
	// burstCalls come at once, so that requests wait.
	burstCalls = 15
	// secondFaultAfter is the time from the first fault of a pair to the second.
	secondFaultAfter = 50 * time.Millisecond
)

// requestCell is one cell of the matrix: faults that begin at a step.
type requestCell struct {
	seed   uint64
	step   requestStep
	faults []requestFault
}

// cellResult is what became of a cell.
type cellResult struct {
	Outcome
	reached bool // the faults were brought about
	words   map[replyKind]int
}

// run drives one cell to its end and checks the promises along the way.
func (c requestCell) run() (result cellResult) {
	w := newRequestWorld(c.seed)
	start := w.schedule.Now()
	w.planCalls(start)
	skip := rand.New(rand.NewPCG(c.seed, 9)).IntN(3)
	w.onStep = func(s requestStep, a *requestAgent, t *attempt) {
		if s != c.step || result.reached || w.schedule.Now().Before(start.Add(warmTime)) {
			return
		}
		if skip > 0 {
			skip--
			return
		}
		result.reached = true
		for i, f := range c.faults {
			w.schedule.After(time.Duration(i)*secondFaultAfter, func() { w.inject(f, a, t) })
		}
	}
	w.schedule.Run(start.Add(warmTime + runTime + endTime))
	w.checkEnd()
	if !result.reached && c.step != 0 {
		w.fail("the step was not reached")
	}
	result.Outcome = w.outcome
	result.words = make(map[replyKind]int)
	for _, c := range w.calls {
		result.words[c.lastWord]++
	}
	return result
}

// planCalls plans the calls: enough to warm the copies, then the watched ones with a burst.
func (w *requestWorld) planCalls(start time.Time) {
	for range warmCalls {
		w.call(start.Add(time.Duration(w.random.Int64N(int64(warmTime)))), kindRepeatable)
	}
	watched := start.Add(warmTime)
	for range watchedCalls {
		w.call(watched.Add(time.Duration(w.random.Int64N(int64(runTime)))), w.kind())
	}
	for range burstCalls {
		w.call(watched.Add(runTime/4), w.kind())
	}
}

func (w *requestWorld) kind() lentilconfig.RequestKind {
	switch w.random.IntN(10) {
	case 0:
		return kindStream
	case 1, 2, 3:
		return kindRepeatable
	default:
		return kindOnce
	}
}

// checkEnd checks that nothing is left behind.
func (w *requestWorld) checkEnd() {
	for _, a := range w.agents {
		switch {
		case !a.alive || a.paused:
		case !a.admitter.Idle():
			w.fail("agent %s still holds requests", a.name)
		case len(a.works) > 0:
			w.fail("agent %s has forgotten %d callers", a.name, len(a.works))
		}
		for _, id := range slices.Sorted(maps.Keys(a.works)) {
			x := a.works[id]
			w.note("held at %s: call %d attempt %d, run %t, begun %t", a.name, x.attempt.call.id, x.attempt.number, x.run != nil, x.begun)
		}
	}
}
