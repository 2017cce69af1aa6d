package lentilcontrolmeasure

import (
	"math"
	"testing"

	"lentilstair.example/lentilstair/internal/lentilcontrol"
)

func TestFit(t *testing.T) {
	l := fit([]point{{1, 5}, {2, 7}, {3, 9}, {4, 11}})
	if math.Abs(l.base-3) > 1e-9 || math.Abs(l.slope-2) > 1e-9 || math.Abs(l.explained-1) > 1e-9 {
		t.Errorf("fit = %+v, want 3 + 2x", l)
	}
}

// TestSpread holds the exchange against its baselines at a small size.
func TestSpread(t *testing.T) {
	const nodes = 8
	exchange := observe(newExchanger(1, nodes, lentilcontrol.DefaultMaxDirectEntries), nodes)
	push := observe(newBaseline(1, nodes, nodes), nodes)
	gossip := observe(newBaseline(1, nodes, 1), nodes)
	if exchange.missed > 0 || exchange.worst > 2 {
		t.Errorf("the exchange missed %d changes, the slowest took %v s", exchange.missed, exchange.worst)
	}
	if exchange.bytes > push.bytes/4 || exchange.bytes > gossip.bytes/4 {
		t.Errorf("the exchange took %.0f bytes/s, full-state push %.0f, plain gossip %.0f", exchange.bytes, push.bytes, gossip.bytes)
	}
}
