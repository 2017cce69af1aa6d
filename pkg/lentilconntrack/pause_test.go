package lentilconntrack

import (
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// TestFirstPacketsAfterPause guards against an agent that was paused while its failure domain was taken out of service, and
// admits the first packets that waited in its socket before it hears of that.
func TestFirstPacketsAfterPause(t *testing.T) {
	for _, c := range []struct {
		name      string
		pause     time.Duration
		tickFirst bool
		out       bool
		// atOnce and later are the answers to first packets right after the pause and 400 ms later.
		atOnce, later string
	}{
		{"a short pause", 900 * time.Millisecond, false, false, "ToUpstream, SendTaken open=false", "ToUpstream, SendTaken open=false"},
		{"a long pause", 5 * time.Second, false, false, "SendRefused UpstreamFull", "ToUpstream, SendTaken open=false"},
		{"a long pause, and the timer comes first", 5 * time.Second, true, false, "SendRefused UpstreamFull", "ToUpstream, SendTaken open=false"},
		{"out of service meanwhile", 5 * time.Second, false, true, "SendRefused UpstreamFull", "SendRefused DomainOut"},
		{"out of service meanwhile, and the timer comes first", 5 * time.Second, true, true, "SendRefused UpstreamFull", "SendRefused DomainOut"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.register("u")
			h.Tick(nil)
			h.openFlow(flowKey(1))
			h.clock.Advance(c.pause)
			if c.tickFirst {
				h.Tick(nil)
			}
			if got := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(2))); got != c.atOnce {
				t.Errorf("at once: got %q, want %q", got, c.atOnce)
			}
			if got := h.fromBalancer(peer1, lentilflow.Owned, dataPacket(flowKey(1), 501)); got != "ToUpstream" {
				t.Errorf("the open flow: got %q", got)
			}
			if c.out {
				h.helloWith(7, true)
			}
			for range 8 {
				h.clock.Advance(50 * time.Millisecond)
				h.Tick(nil)
			}
			if got := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(3))); got != c.later {
				t.Errorf("later: got %q, want %q", got, c.later)
			}
		})
	}
}

// TestColdLimitAfterPause guards against new flows that a cold upstream gets at once because none came during a pause of the agent.
func TestColdLimitAfterPause(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 5 * time.Second, time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			h := newHarness(t)
			h.FlowsComplete = true
			h.register("u", func(r *Registration) { r.ColdFor, r.Slots = time.Hour, 1000 })
			h.Tick(nil)
			h.clock.Advance(pause)
			h.Tick(nil)
			forwarded := 0
			for n := range 400 {
				h.clock.Advance(5 * time.Millisecond)
				actions, err := h.HandleCarry(peer1, lentilflow.Carry{Service: "a", Version: 1, ColdRate: 4, Packet: h.encode(firstPacket(flowKey(n)))}, nil)
				if err != nil {
					t.Fatal(err)
				}
				if actions[0].Kind == ToUpstream {
					forwarded++
				}
			}
			// 4 a second times 1.5, plus 5, in each of two seconds.
			if forwarded > 22 {
				t.Errorf("%d new flows in 2 s", forwarded)
			}
		})
	}
}
