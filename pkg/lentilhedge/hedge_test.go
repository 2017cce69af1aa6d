package lentilhedge

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// TestZeroPolicyAllowsNothing guards against extra attempts without the setting.
func TestZeroPolicyAllowsNothing(t *testing.T) {
	var p Policy
	for range 1000 {
		p.RecordFirst()
		p.RecordDuration(1, time.Second)
	}
	if _, ok := p.Delay(1); ok || p.Decide() != VerdictOff {
		t.Errorf("zero Policy: delay known %t, verdict %s", ok, p.Decide())
	}
}

// TestBudgetHoldsInEveryWindow begins attempts at random times, in bursts and with pauses, and
// makes an extra attempt whenever one is allowed. It guards against extra attempts above the
// percentage in the second that ends with any of them, and against one with too little work.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var clock lentilclock.Fake
		p := Policy{Clock: &clock, Percent: rapid.IntRange(1, MaxPercent).Draw(t, "percent")}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var firsts, furthers []time.Time
		within := func(times []time.Time) (n int) {
			for i := len(times) - 1; i >= 0 && clock.Now().Sub(times[i]) < Window; i-- {
				n++
			}
			return n
		}
		for range 60 {
			switch random.IntN(20) {
			case 0:
				clock.Advance(time.Duration(random.Int64N(int64(3 * time.Second))))
			case 1:
				p.RecordRetry()
				furthers = append(furthers, clock.Now())
			default:
				clock.Advance(time.Duration(random.Int64N(int64(40 * time.Millisecond))))
			}
			for range random.IntN(40) {
				p.RecordFirst()
				firsts = append(firsts, clock.Now())
			}
			for p.Decide() == VerdictAllowed {
				p.RecordExtra()
				furthers = append(furthers, clock.Now())
				if got, limit := within(furthers)*100, within(firsts)*p.Percent; got > limit {
					t.Fatalf("%d %% extra attempts and retries of %d first attempts with %d %% allowed", got, within(firsts), p.Percent)
				}
			}
		}
	})
}

// TestBudgetIsUsable guards against a budget that never allows anything: at a steady rate nearly
// the whole percentage can be used, but no more, and nothing accumulates in a pause.
func TestBudgetIsUsable(t *testing.T) {
	var clock lentilclock.Fake
	p := Policy{Clock: &clock, Percent: 2}
	const seconds, rate = 20, 500
	extras := 0
	for range seconds * rate {
		clock.Advance(time.Second / rate)
		p.RecordFirst()
		if p.Decide() == VerdictAllowed {
			p.RecordExtra()
			extras++
		}
	}
	if limit := seconds * rate * p.Percent / 100; extras > limit || extras < limit*9/10 {
		t.Errorf("%d extra attempts of %d allowed", extras, limit)
	}
	clock.Advance(time.Minute)
	if got := p.Decide(); got != VerdictOverBudget {
		t.Errorf("verdict after a pause: %s", got)
	}
}

// TestRetriesAreChargedFirst guards against extra attempts on top of retries: both together stay
// within the percentage.
func TestRetriesAreChargedFirst(t *testing.T) {
	var clock lentilclock.Fake
	p := Policy{Clock: &clock, Percent: 2}
	for range 100 {
		p.RecordFirst()
	}
	p.RecordRetry()
	if got := p.Decide(); got != VerdictAllowed {
		t.Fatalf("verdict after one retry: %s", got)
	}
	p.RecordRetry()
	if got := p.Decide(); got != VerdictOverBudget {
		t.Errorf("verdict after two retries: %s", got)
	}
}

// TestNoExtraWhileRefusing guards against extra work in an overload.
func TestNoExtraWhileRefusing(t *testing.T) {
	var clock lentilclock.Fake
	p := Policy{Clock: &clock, Percent: 20}
	p.RecordRefusal()
	for range 100 {
		p.RecordFirst()
	}
	if got := p.Decide(); got != VerdictOverloaded {
		t.Errorf("verdict after a refusal: %s", got)
	}
	clock.Advance(Window)
	for range 100 {
		p.RecordFirst()
	}
	if got := p.Decide(); got != VerdictAllowed {
		t.Errorf("verdict one window later: %s", got)
	}
}

// TestDelay checks the learned delay: none before MinObservations, the .95 quantile of the last
// 256 durations of the same kind, and never less than MinDelay.
func TestDelay(t *testing.T) {
	p := Policy{Percent: 2}
	for i := range MinObservations - 1 {
		p.RecordDuration(1, time.Duration(i)*time.Second)
	}
	if _, ok := p.Delay(1); ok {
		t.Error("a delay is known too early")
	}
	for range windowSize {
		p.RecordDuration(2, time.Millisecond)
	}
	if got, ok := p.Delay(2); !ok || got != MinDelay {
		t.Errorf("delay of a fast kind: %s", got)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for _, i := range random.Perm(windowSize) {
		p.RecordDuration(1, time.Duration(i+1)*time.Millisecond)
	}
	if got, _ := p.Delay(1); got != 244*time.Millisecond {
		t.Errorf("delay %s, want the .95 quantile", got)
	}
}

// TestKindsAreBounded guards against memory that grows with the number of kinds.
func TestKindsAreBounded(t *testing.T) {
	p := Policy{Percent: 2}
	for kind := range uint64(10 * maxKinds) {
		for range MinObservations {
			p.RecordDuration(kind, time.Second)
		}
	}
	if len(p.durations.kinds) != maxKinds {
		t.Errorf("%d kinds", len(p.durations.kinds))
	}
	if _, ok := p.Delay(10*maxKinds - 1); !ok {
		t.Error("the latest kind is forgotten")
	}
}
