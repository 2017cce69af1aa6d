package lentilcontrolmeasure

import (
	"math"
	"testing"

	"lentilstair.example/lentilstair/internal/lentilcontrol"
)

func TestFitLine(t *testing.T) {
	l := fitLine([]point{{1, 5}, {2, 7}, {3, 9}, {4, 11}})
	if math.Abs(l.intercept-3) > 1e-9 || math.Abs(l.slope-2) > 1e-9 || math.Abs(l.rSquared-1) > 1e-9 {
		t.Errorf("fitLine = %+v, want 3 + 2x with an R² of 1", l)
	}
}

// TestExchangeOutperformsFullStatePropagation compares the product's exchange of records with both
// baselines on a small number of nodes. Every change must reach all nodes within 2 s, with at most a
// quarter of the bytes of each baseline.
func TestExchangeOutperformsFullStatePropagation(t *testing.T) {
	const nodes = 8
	exchange := observePropagation(newExchangePropagator(1, nodes, lentilcontrol.DefaultMaxDirectEntries), nodes)
	push := observePropagation(newFullStatePropagator(1, nodes, nodes), nodes)
	gossip := observePropagation(newFullStatePropagator(1, nodes, 1), nodes)
	if exchange.missed > 0 || exchange.worstSeconds > 2 {
		t.Errorf("the exchange missed %d changes, the slowest took %v s", exchange.missed, exchange.worstSeconds)
	}
	if exchange.bytesPerNodeSecond > push.bytesPerNodeSecond/4 || exchange.bytesPerNodeSecond > gossip.bytesPerNodeSecond/4 {
		t.Errorf("the exchange took %.0f bytes/s, full-state push %.0f, plain gossip %.0f", exchange.bytesPerNodeSecond, push.bytesPerNodeSecond, gossip.bytesPerNodeSecond)
	}
}
