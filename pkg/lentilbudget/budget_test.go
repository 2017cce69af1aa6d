package lentilbudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestBucket(t *testing.T) {
	var none Bucket
	now := time.Unix(0, 0)
	if none.Allow(now, 1) {
		t.Error("the zero bucket allows a token")
	}
	b := Bucket{PerSecond: 10, Burst: 20}
	steps := []struct {
		after time.Duration
		n     int
		want  bool
	}{{0, 20, true}, {0, 1, false}, {100 * time.Millisecond, 1, true}, {0, 1, false}, {-time.Hour, 1, false}, {2 * time.Hour, 20, true}, {0, 21, false}}
	for i, step := range steps {
		now = now.Add(step.after)
		if got := b.Allow(now, step.n); got != step.want {
			t.Errorf("step %d: Allow = %v, want %v", i, got, step.want)
		}
	}
	b.Spend(now, 5)
	if b.HasTokens(now) {
		t.Error("a bucket that owes tokens is open")
	}
}

// TestBackoffSpreadsNodes lets 100 nodes fail together, again and again, for a minute: they must not
// come back together.
func TestBackoffSpreadsNodes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	perSecond := map[int]int{}
	for range 100 {
		b := Backoff{Random: random}
		for at := time.Duration(0); at < time.Minute; at += b.Next() {
			perSecond[int(at/time.Second)]++
		}
	}
	for second, calls := range perSecond {
		if second >= 10 && calls > 60 {
			t.Errorf("%d calls in second %d, bound 60", calls, second)
		}
	}
}
