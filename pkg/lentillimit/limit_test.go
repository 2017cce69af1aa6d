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

// harness drives a Limiter with as many requests as it lets pass.
type harness struct {
	clock    lentilclock.Fake
	limiter  Limiter
	lastID   uint64
	endTimes map[uint64]time.Time
	outcomes map[uint64]Outcome
	// nextResult returns how long the next request nextResult and how it ends.
	nextResult func() (time.Duration, Outcome)
}

func newHarness(l Limiter) *harness {
	r := &harness{limiter: l, endTimes: make(map[uint64]time.Time), outcomes: make(map[uint64]Outcome)}
	r.limiter.Clock = &r.clock
	r.nextResult = func() (time.Duration, Outcome) { return testDuration, OutcomeDone }
	return r
}

// run lets time pass, with new requests whenever there is room.
func (r *harness) run(d time.Duration, demand bool) {
	for end := r.clock.Now().Add(d); r.clock.Now().Before(end); r.clock.Advance(10 * time.Millisecond) {
		for id := uint64(1); id <= r.lastID; id++ {
			if at, ok := r.endTimes[id]; ok && !r.clock.Now().Before(at) {
				delete(r.endTimes, id)
				r.limiter.Ended(id, r.outcomes[id])
			}
		}
		r.limiter.Tick()
		for demand && r.limiter.CanSend() {
			r.lastID++
			takes, outcome := r.nextResult()
			r.outcomes[r.lastID] = outcome
			r.endTimes[r.lastID] = r.clock.Now().Add(takes)
			r.limiter.Started(r.lastID)
		}
	}
}

func TestWarmup(t *testing.T) {
	var lines strings.Builder
	for _, slots := range []int{2, 4} {
		r := newHarness(Limiter{Slots: slots})
		for second := range 31 {
			fmt.Fprintf(&lines, "%d slots, %2d s: bears %3d, announces %3d\n", slots, second, r.limiter.Capacity(), r.limiter.Weight())
			r.run(time.Second, true)
		}
	}
	lentilgolden.Check(t, "testdata/warming.golden", lines.String())
}

// A cold copy gets no more than its level on average, though it takes whole requests.
func TestColdCopyPacing(t *testing.T) {
	r := newHarness(Limiter{Slots: 2, WarmupTime: 1000 * time.Hour})
	r.run(20*time.Second, true)
	// 0.2 slots for 20 s are 40 requests of 100 ms.
	if r.lastID < 38 || r.lastID > 41 {
		t.Errorf("%d requests, want about 40", r.lastID)
	}
}

func TestResetToCold(t *testing.T) {
	for _, c := range []struct {
		name    string
		takes   time.Duration
		outcome Outcome
		within  time.Duration
		falls   bool
	}{
		{"shed", time.Millisecond, OutcomeShed, 50 * time.Millisecond, true},
		{"connection refused", time.Millisecond, OutcomeFailed, 50 * time.Millisecond, true},
		{"hangs", time.Hour, OutcomeTimedOut, 500 * time.Millisecond, true},
		{"times out", 200 * time.Millisecond, OutcomeTimedOut, time.Second, true},
		{"three times as slow", 300 * time.Millisecond, OutcomeDone, time.Second, true},
		{"twice as slow", 200 * time.Millisecond, OutcomeDone, time.Second, true},
		{"a little slower", 120 * time.Millisecond, OutcomeDone, 10 * time.Second, false},
		{"callers leave", time.Millisecond, OutcomeCancelled, 10 * time.Second, false},
		{"quicker", 20 * time.Millisecond, OutcomeDone, 10 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(Limiter{StartPercent: 10, WarmupTime: time.Second})
			r.run(time.Minute, true)
			if r.limiter.Cold() || r.limiter.ColdResets() > 0 {
				t.Fatalf("bears %d after a minute", r.limiter.Capacity())
			}
			r.limiter.WarmupTime = time.Hour
			r.nextResult = func() (time.Duration, Outcome) { return c.takes, c.outcome }
			r.run(testDuration+c.within, true)
			if got := r.limiter.ColdResets() > 0; got != c.falls {
				t.Errorf("fell: %t, bears %d", got, r.limiter.Capacity())
			}
		})
	}
}

// Chance alone must seldom look like a cold copy, also if times have no memory.
func TestRandomDurationsSeldomReset(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	r := newHarness(Limiter{})
	r.nextResult = func() (time.Duration, Outcome) {
		return max(time.Duration(random.ExpFloat64()*float64(testDuration)), time.Millisecond), OutcomeDone
	}
	r.run(10*time.Minute, true)
	if got := r.limiter.ColdResets(); got > 1 {
		t.Errorf("%d falls in %d requests", got, r.lastID)
	}
}

// A copy that fails quickly must not draw work by being quick, and one that fails now
// and then is not cold.
func TestFastErrors(t *testing.T) {
	for _, c := range []struct {
		name  string
		share float64
		falls bool
	}{{"one in twenty", 0.05, false}, {"two of three", 0.67, true}, {"all", 1, true}} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			r := newHarness(Limiter{WarmupTime: 5 * time.Second})
			r.run(20*time.Second, true)
			r.nextResult = func() (time.Duration, Outcome) {
				if random.Float64() < c.share {
					return time.Millisecond, OutcomeError
				}
				return testDuration, OutcomeDone
			}
			r.run(time.Second, true)
			if got := r.limiter.ColdResets() > 0; got != c.falls {
				t.Errorf("%d falls", r.limiter.ColdResets())
			}
		})
	}
}

// A copy that is slow for good is learned anew and gets all its slots again.
func TestPermanentlySlowCopy(t *testing.T) {
	r := newHarness(Limiter{WarmupTime: 5 * time.Second})
	r.run(20*time.Second, true)
	r.nextResult = func() (time.Duration, Outcome) { return 4 * testDuration, OutcomeDone }
	r.run(2*time.Minute, true)
	if r.limiter.ColdResets() == 0 || r.limiter.Cold() {
		t.Errorf("%d falls, bears %d", r.limiter.ColdResets(), r.limiter.Capacity())
	}
}

func TestOneRequestAfterIdle(t *testing.T) {
	r := newHarness(Limiter{Slots: 4, WarmupTime: time.Second})
	r.run(30*time.Second, true)
	r.run(time.Minute, false)
	if got := r.limiter.Capacity(); got != Slot || r.limiter.Weight() != 4*Slot {
		t.Errorf("bears %d and announces %d after a pause", got, r.limiter.Weight())
	}
	r.run(2*time.Second, true)
	if got := r.limiter.Capacity(); got != 4*Slot {
		t.Errorf("bears %d two seconds later", got)
	}
}

func TestZeroLimiter(t *testing.T) {
	var l Limiter
	if l.Capacity() != 20 || l.Weight() != 20 || !l.CanSend() || !l.Cold() || l.Load() != 0 {
		t.Errorf("zero: bears %d, weight %d, load %d", l.Capacity(), l.Weight(), l.Load())
	}
	l.Ended(7, OutcomeShed)
	l.Started(1)
	if l.CanSend() || l.ExpectedWait() == Never {
		t.Error("one request is all that a cold copy takes at once")
	}
}
