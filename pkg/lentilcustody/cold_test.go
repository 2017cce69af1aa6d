package lentilcustody

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

func TestColdUpstreamNewFlowLimit(t *testing.T) {
	for _, c := range []struct {
		name     string
		rate     float32
		whole    bool
		cold     time.Duration
		inWindow int
	}{
		{"warm", 4, true, 0, 100},
		{"cold", 4, true, 5 * time.Second, 10},
		{"cold, no rate is configured", 0, true, 5 * time.Second, 100},
		{"cold, and an earlier run of the agent may have passed some on", 4, false, 5 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t)
			b.FlowsComplete = c.whole
			b.register("u", func(r *Registration) { r.ColdFor, r.Sequence = c.cold, 9 })
			taken := 0
			for i := range 100 {
				actions, err := b.HandleCarry(peer1, lentilflow.Carry{Service: "a", Version: 1, ColdRate: c.rate, Packet: b.encode(firstPacket(flowKey(i)))}, nil)
				if err != nil {
					t.Fatal(err)
				}
				if actions[0].Kind == ToUpstream {
					taken++
				}
				b.clock.Advance(10 * time.Millisecond)
			}
			if taken != c.inWindow {
				t.Errorf("%d new flows within a second, want %d", taken, c.inWindow)
			}
		})
	}
}

// TestColdUpstreamRateBound draws registrations and first packets, and counts what any second sees.
func TestColdUpstreamRateBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock, p := &lentilclock.Fake{}, &packetTable{}
		clock.Advance(time.Hour)
		rate := float32(rapid.IntRange(1, 8).Draw(t, "rate"))
		c := &Tracker{Clock: clock, Codec: p.codec(), Service: "a", FlowsComplete: true, ColdFactor: 1.5, ColdSlack: 5}
		c.Register(Registration{ID: "u", Incarnation: 1, Sequence: 1, Service: "a", ColdFor: time.Hour}, nil)
		var taken []time.Time
		for i := range 200 {
			clock.Advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			actions, err := c.HandleCarry(peer1, lentilflow.Carry{Service: "a", Version: 1, ColdRate: rate, Packet: p.encode(firstPacket(flowKey(i)))}, nil)
			if err != nil {
				t.Fatal(err)
			}
			if actions[0].Kind != ToUpstream {
				continue
			}
			now := clock.Now()
			taken = append(taken, now)
			within := 0
			for _, at := range taken {
				if now.Sub(at) < time.Second {
					within++
				}
			}
			if bound := float64(rate)*1.5 + 5; float64(within) > bound {
				t.Fatalf("%d new flows in a second, bound %g", within, bound)
			}
		}
	})
}
