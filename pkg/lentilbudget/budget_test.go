package lentilbudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestBucket(t *testing.T) {
	var zero Bucket
	now := time.Unix(0, 0)
	if zero.Allow(now, 1) {
		t.Error("Allow of the zero Bucket = true")
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
		t.Error("HasTokens of a bucket with a negative number of tokens = true")
	}
}

// TestBackoffSpreadsNodes simulates 100 nodes that start together and whose attempts all fail
// for a minute. Their attempts must spread out over time.
func TestBackoffSpreadsNodes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	perSecond := map[int]int{}
	for range 100 {
		b := Backoff{Random: random}
		for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += b.Next() {
			perSecond[int(elapsed/time.Second)]++
		}
	}
	for second, calls := range perSecond {
		if second >= 10 && calls > 60 {
			t.Errorf("%d attempts in second %d, want at most 60", calls, second)
		}
	}
}
