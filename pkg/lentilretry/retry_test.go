package lentilretry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

func TestAllowsRetry(t *testing.T) {
	for _, c := range []struct {
		name      string
		kind      lentilconfig.RequestKind
		attempts  int
		remaining time.Duration
		spent     int
		want      bool
	}{
		{"first retry", lentilconfig.KindRepeatable, 1, time.Second, 0, true},
		{"not repeatable", lentilconfig.KindOnce, 1, time.Second, 0, false},
		{"stream", lentilconfig.KindStream, 1, time.Second, 0, false},
		{"of no kind", 0, 1, time.Second, 0, false},
		{"enough attempts", lentilconfig.KindRepeatable, MaxAttempts, time.Second, 0, false},
		{"deadline too near", lentilconfig.KindRepeatable, 1, time.Millisecond, 0, false},
		{"budget spent", lentilconfig.KindRepeatable, 1, time.Second, DefaultBurst, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b Budget
			for range c.spent {
				b.Spend()
			}
			if got := b.AllowsRetry(c.kind, c.attempts, c.remaining, 100*time.Millisecond); got != c.want {
				t.Errorf("got %t", got)
			}
		})
	}
}

func TestRetriesBoundedBySuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		successes, retries := 0, 0
		for _, failed := range rapid.SliceOf(rapid.Bool()).Draw(t, "failures") {
			if !failed {
				successes++
				b.RecordSuccess()
			} else if b.AllowsRetry(lentilconfig.KindRepeatable, 1, time.Second, 0) {
				retries++
				b.Spend()
			}
		}
		if limit := DefaultBurst + successes*DefaultPercent/100; retries > limit {
			t.Fatalf("%d retries after %d successes", retries, successes)
		}
	})
}
