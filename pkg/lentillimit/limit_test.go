package lentillimit

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/internal/lentilgolden"
	"lentilstair.example/lentilstair/pkg/lentilclock"
)

const testDuration = 100 * time.Millisecond

// harness runs a Limiter in simulated time and sends as many requests as it allows.
type harness struct {
	clock    lentilclock.Fake
	limiter  Limiter
	lastID   uint64
	endTimes map[uint64]time.Time
	outcomes map[uint64]Outcome
	// nextResult returns the duration and the outcome of the next request.
	nextResult func() (time.Duration, Outcome)
}

func newHarness(l Limiter) *harness {
	h := &harness{limiter: l, endTimes: make(map[uint64]time.Time), outcomes: make(map[uint64]Outcome)}
	h.limiter.Clock = &h.clock
	h.nextResult = func() (time.Duration, Outcome) { return testDuration, OutcomeDone }
	return h
}

// run advances the clock by d. With demand, it sends requests whenever the Limiter allows.
func (h *harness) run(d time.Duration, demand bool) {
	for end := h.clock.Now().Add(d); h.clock.Now().Before(end); h.clock.Advance(10 * time.Millisecond) {
		for id := uint64(1); id <= h.lastID; id++ {
			if at, ok := h.endTimes[id]; ok && !h.clock.Now().Before(at) {
				delete(h.endTimes, id)
				h.limiter.Ended(id, h.outcomes[id])
			}
		}
		h.limiter.Tick()
		for demand && h.limiter.CanSend() {
			h.lastID++
			duration, outcome := h.nextResult()
			h.outcomes[h.lastID] = outcome
			h.endTimes[h.lastID] = h.clock.Now().Add(duration)
			h.limiter.Started(h.lastID)
		}
	}
}

func TestWarmup(t *testing.T) {
	var lines strings.Builder
	for _, slots := range []int{2, 4} {
		h := newHarness(Limiter{Slots: slots})
		for second := range 31 {
			fmt.Fprintf(&lines, "%d slots, %2d s: capacity %3d, weight %3d\n", slots, second, h.limiter.Capacity(), h.limiter.Weight())
			h.run(time.Second, true)
		}
	}
	lentilgolden.Check(t, "testdata/warming.golden", lines.String())
}

// The average use of a cold copy must stay within its fractional limit, though it gets whole requests.
func TestColdCopyPacing(t *testing.T) {
	h := newHarness(Limiter{Slots: 2, WarmupTime: 1000 * time.Hour})
	h.run(20*time.Second, true)
	// 0.2 slots for 20 s are 40 requests of 100 ms.
	if h.lastID < 38 || h.lastID > 41 {
		t.Errorf("%d requests, want about 40", h.lastID)
	}
}

func TestResetToCold(t *testing.T) {
	for _, c := range []struct {
		name     string
		duration time.Duration
		outcome  Outcome
		within   time.Duration
		reset    bool
	}{
		{"shed", time.Millisecond, OutcomeShed, 50 * time.Millisecond, true},
		{"connection refused", time.Millisecond, OutcomeFailed, 50 * time.Millisecond, true},
		{"hangs", time.Hour, OutcomeTimedOut, 500 * time.Millisecond, true},
		{"times out", 200 * time.Millisecond, OutcomeTimedOut, time.Second, true},
		{"three times as slow", 300 * time.Millisecond, OutcomeDone, time.Second, true},
		{"twice as slow", 200 * time.Millisecond, OutcomeDone, time.Second, true},
		{"slightly slower", 120 * time.Millisecond, OutcomeDone, 10 * time.Second, false},
		{"callers cancel", time.Millisecond, OutcomeCancelled, 10 * time.Second, false},
		{"quicker", 20 * time.Millisecond, OutcomeDone, 10 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(Limiter{StartPercent: 10, WarmupTime: time.Second})
			h.run(time.Minute, true)
			if h.limiter.Cold() || h.limiter.ColdResets() > 0 {
				t.Fatalf("capacity %d after a minute", h.limiter.Capacity())
			}
			h.limiter.WarmupTime = time.Hour
			h.nextResult = func() (time.Duration, Outcome) { return c.duration, c.outcome }
			h.run(testDuration+c.within, true)
			if got := h.limiter.ColdResets() > 0; got != c.reset {
				t.Errorf("reset to cold: %t, capacity %d", got, h.limiter.Capacity())
			}
		})
	}
}

// Random variation alone must seldom cause a cold reset, also with exponentially distributed durations.
func TestRandomDurationsSeldomReset(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	h := newHarness(Limiter{})
	h.nextResult = func() (time.Duration, Outcome) {
		return max(time.Duration(random.ExpFloat64()*float64(testDuration)), time.Millisecond), OutcomeDone
	}
	h.run(10*time.Minute, true)
	if got := h.limiter.ColdResets(); got > 1 {
		t.Errorf("%d cold resets in %d requests", got, h.lastID)
	}
}

// A copy that answers errors fast must be reset to cold, or it would attract requests by its
// speed. Occasional errors must not cause a reset.
func TestFastErrors(t *testing.T) {
	for _, c := range []struct {
		name  string
		share float64
		reset bool
	}{{"one in twenty", 0.05, false}, {"two of three", 0.67, true}, {"all", 1, true}} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			h := newHarness(Limiter{WarmupTime: 5 * time.Second})
			h.run(20*time.Second, true)
			h.nextResult = func() (time.Duration, Outcome) {
				if random.Float64() < c.share {
					return time.Millisecond, OutcomeError
				}
				return testDuration, OutcomeDone
			}
			h.run(time.Second, true)
			if got := h.limiter.ColdResets() > 0; got != c.reset {
				t.Errorf("%d cold resets", h.limiter.ColdResets())
			}
		})
	}
}

// Processes that wait for a processor make some requests of a fast copy take many times as long
// as usual. The copy is not cold then, but it is if a request hangs.
func TestPausesOfFastCopy(t *testing.T) {
	for _, c := range []struct {
		name         string
		usual, pause time.Duration
		between      int // usual requests from one pause to the next
		reset        bool
	}{
		{"a quota spent, answers below the clock's resolution", 0, 90 * time.Millisecond, 20, false},
		{"short pauses, answers below the clock's resolution", 0, 3 * time.Millisecond, 2, false},
		{"a quota spent, answers of 50 us", 50 * time.Microsecond, 90 * time.Millisecond, 20, false},
		{"a quota spent, answers of 2 ms", 2 * time.Millisecond, 90 * time.Millisecond, 20, false},
		{"it hangs, answers below the clock's resolution", 0, time.Hour, 20, true},
		{"it hangs, answers of 2 ms", 2 * time.Millisecond, time.Hour, 20, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var clock lentilclock.Fake
			l := Limiter{Clock: &clock}
			for id := range uint64(200) {
				clock.Advance(100 * time.Millisecond)
				duration := c.usual
				if (id+1)%uint64(c.between+1) == 0 {
					duration = c.pause
				}
				l.Started(id)
				for left := min(duration, 500*time.Millisecond); left > 0; left -= 20 * time.Millisecond {
					clock.Advance(min(left, 20*time.Millisecond))
					l.Tick()
				}
				l.Ended(id, OutcomeDone)
			}
			if got := l.ColdResets() > 0; got != c.reset {
				t.Errorf("%d cold resets", l.ColdResets())
			}
		})
	}
}

// A copy that stays slow must be reset to cold once its durations change, and reach all its
// slots again with the new durations.
func TestPermanentlySlowCopy(t *testing.T) {
	h := newHarness(Limiter{WarmupTime: 5 * time.Second})
	h.run(20*time.Second, true)
	h.nextResult = func() (time.Duration, Outcome) { return 4 * testDuration, OutcomeDone }
	h.run(2*time.Minute, true)
	if h.limiter.ColdResets() == 0 || h.limiter.Cold() {
		t.Errorf("%d cold resets, capacity %d", h.limiter.ColdResets(), h.limiter.Capacity())
	}
}

func TestOneRequestAfterIdle(t *testing.T) {
	h := newHarness(Limiter{Slots: 4, WarmupTime: time.Second})
	h.run(30*time.Second, true)
	h.run(time.Minute, false)
	if got := h.limiter.Capacity(); got != Slot || h.limiter.Weight() != 4*Slot {
		t.Errorf("capacity %d and weight %d while idle", got, h.limiter.Weight())
	}
	h.run(2*time.Second, true)
	if got := h.limiter.Capacity(); got != 4*Slot {
		t.Errorf("capacity %d two seconds later", got)
	}
}

func TestZeroLimiter(t *testing.T) {
	var l Limiter
	if l.Capacity() != 20 || l.Weight() != 20 || !l.CanSend() || !l.Cold() || l.Load() != 0 {
		t.Errorf("zero Limiter: capacity %d, weight %d, load %d", l.Capacity(), l.Weight(), l.Load())
	}
	l.Ended(7, OutcomeShed)
	l.Started(1)
	if l.CanSend() || l.ExpectedWait() == Never {
		t.Error("a cold copy with one running request must allow no other and have a finite expected wait")
	}
}
