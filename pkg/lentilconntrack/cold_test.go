package lentilconntrack

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilledger"
)

func TestColdUpstreamNewFlowLimit(t *testing.T) {
	for _, c := range []struct {
		name          string
		rate          float32
		flowsComplete bool
		coldFor       time.Duration
		want          int
	}{
		{"warm", 4, true, 0, 100},
		{"cold", 4, true, 5 * time.Second, 10},
		{"cold, no rate is configured", 0, true, 5 * time.Second, 100},
		{"cold, and an earlier run of the agent may have forwarded new flows", 4, false, 5 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.FlowsComplete = c.flowsComplete
			h.register("u", func(r *Registration) { r.ColdFor, r.Sequence, r.Slots = c.coldFor, 9, 1000 })
			accepted := 0
			for i := range 100 {
				actions, err := h.HandleCarry(peer1, lentilflow.Carry{Service: "a", Version: 1, ColdRate: c.rate, Packet: h.encode(firstPacket(flowKey(i)))}, nil)
				if err != nil {
					t.Fatal(err)
				}
				if actions[0].Kind == ToUpstream {
					accepted++
				}
				h.clock.Advance(10 * time.Millisecond)
			}
			if accepted != c.want {
				t.Errorf("%d new flows within a second, want %d", accepted, c.want)
			}
		})
	}
}

// TestColdUpstreamRateBound draws a rate, the times of first packets, and which of them may wait. No second may see
// more new flows forwarded to a cold upstream than the bound.
func TestColdUpstreamRateBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock, table := &lentilclock.Fake{}, &packetTable{}
		clock.Advance(time.Hour)
		rate := float32(rapid.IntRange(1, 8).Draw(t, "rate"))
		tracker := &Tracker{Clock: clock, Codec: table.codec(), Service: "a", FlowsComplete: true, ColdFactor: 1.5, ColdSlack: 5}
		tracker.Register(Registration{ID: "u", Incarnation: 1, Sequence: 1, Service: "a", ColdFor: time.Hour}, nil)
		var accepted []time.Time
		for i := range 200 {
			clock.Advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			m := lentilflow.Carry{Service: "a", Version: 1, ColdRate: rate, Packet: table.encode(firstPacket(flowKey(i))), MayWait: rapid.Bool().Draw(t, "may wait")}
			m.Terms.Target = 250 * time.Millisecond
			actions, err := tracker.HandleCarry(peer1, m, nil)
			if err != nil {
				t.Fatal(err)
			}
			// A tick lets flows that have waited open.
			forwarded := 0
			for _, a := range tracker.Tick(actions) {
				if a.Kind == ToUpstream {
					forwarded++
				}
			}
			if forwarded == 0 {
				continue
			}
			now := clock.Now()
			for range forwarded {
				accepted = append(accepted, now)
			}
			inLastSecond := 0
			for _, acceptedAt := range accepted {
				if now.Sub(acceptedAt) < time.Second {
					inLastSecond++
				}
			}
			if bound := float64(rate)*1.5 + 5; float64(inLastSecond) > bound {
				t.Fatalf("%d new flows in a second, want at most %g", inLastSecond, bound)
			}
		}
	})
}

// TestColdRunThatSeemsOlder guards against a cold upstream that gets as many new flows as a warm one, since its registration
// is taken for one of an earlier run after the time of day has jumped back.
func TestColdRunThatSeemsOlder(t *testing.T) {
	h := newHarness(t)
	h.FlowsComplete = true
	h.register("u", func(r *Registration) { r.Incarnation, r.Slots = 60_000, 1000 })
	h.clock.Advance(500 * time.Millisecond)
	h.register("v", func(r *Registration) { r.Incarnation, r.Sequence, r.ColdFor, r.Slots = 1000, 1, 5*time.Second, 1000 })
	accepted := 0
	for i := range 100 {
		actions, err := h.HandleCarry(peer1, lentilflow.Carry{Service: "a", Version: 1, ColdRate: 4, Packet: h.encode(firstPacket(flowKey(i)))}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if actions[0].Kind == ToUpstream {
			accepted++
		}
		h.clock.Advance(9 * time.Millisecond)
	}
	if limit := 10; accepted > limit {
		t.Errorf("%d new flows within a second, limit %d", accepted, limit)
	}
}

// TestColdLimitOfPortsUsedAgain guards against a cold upstream that gets more new flows than its limit, since the table has earlier
// flows from their ports.
func TestColdLimitOfPortsUsedAgain(t *testing.T) {
	const flows, rate, limit = 30, 4, 11
	for _, c := range []struct {
		name    string
		prepare func(h *harness)
	}{
		{"restored from a ledger", func(h *harness) {
			var restored []lentilledger.Flow
			for n := range flows {
				restored = append(restored, lentilledger.Flow{Key: flowKey(n), Acknowledged: 7})
			}
			h.Restore(lentilledger.Ledger{Service: "a", UpstreamID: "u", UpstreamIncarnation: h.createdAt.UnixMilli() + 1, Flows: restored}, 0, nil)
		}},
		{"learned from the upstream", func(h *harness) {
			for n := range flows {
				h.fromUpstream(lentilflow.Packet{Key: flowKey(n), Flags: lentilflow.Acknowledge, Length: 10})
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			cold := func(r *Registration) { r.ColdFor, r.Slots = 5*time.Second, 1000 }
			h.register("u", cold)
			c.prepare(h)
			h.run(1500 * time.Millisecond)
			h.register("u", cold)
			accepted := 0
			for n := range flows {
				actions, err := h.HandleCarry(peer1, lentilflow.Carry{Service: "a", Version: 1, ColdRate: rate, Packet: h.encode(firstPacketAgain(flowKey(n)))}, nil)
				if err != nil {
					t.Fatal(err)
				}
				if actions[0].Kind == ToUpstream {
					accepted++
				}
			}
			if accepted > limit {
				t.Errorf("%d new flows at once, limit %d", accepted, limit)
			}
		})
	}
}

// TestRateOfOtherService guards against a cold upstream that gets the rate of another service, whose flows are still offered at an address
// that it had before.
func TestRateOfOtherService(t *testing.T) {
	for _, c := range []struct {
		name string
		rate float32
	}{
		{"higher", 60},
		{"unlimited", 0},
		{"lower", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.FlowsComplete = true
			offer := func(n int, service string, rate float32) string {
				actions, err := h.HandleCarry(peer1, lentilflow.Carry{Service: service, Version: 3, ColdRate: rate, Packet: h.encode(firstPacket(flowKey(n)))}, nil)
				if err != nil {
					t.Fatal(err)
				}
				return formatActions(actions)
			}
			if got, want := offer(200, "b", c.rate), "SendRefused OtherService"; got != want {
				t.Fatalf("an offer for the other service: got %q, want %q", got, want)
			}
			h.register("u", func(r *Registration) { r.ColdFor, r.Slots = 5*time.Second, 1000 })
			accepted := 0
			for i := range 100 {
				if i%10 == 0 {
					offer(200+i, "b", c.rate)
				}
				if got := offer(i, "a", 4); got == "ToUpstream, SendTaken open=false" {
					accepted++
				}
				h.clock.Advance(10 * time.Millisecond)
			}
			if want := 10; accepted != want {
				t.Errorf("%d new flows within a second, want %d", accepted, want)
			}
		})
	}
}
