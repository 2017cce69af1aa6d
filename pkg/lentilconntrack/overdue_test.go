package lentilconntrack

import (
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// TestOverdueUpstream covers an upstream whose registration is only overdue: it keeps its flows when it accepts a probe, also
// while the agent stops, and isn't probed again and again.
func TestOverdueUpstream(t *testing.T) {
	for _, stop := range []bool{false, true} {
		h := newHarness(t)
		h.register("u")
		h.openFlow(flowKey(1))
		for range 40 {
			h.clock.Advance(100 * time.Millisecond)
			h.Tick(nil)
		}
		if h.Phase() != lentilflow.Gone || h.UpstreamEnded() {
			t.Fatalf("phase %s, ended=%t", h.Phase(), h.UpstreamEnded())
		}
		if stop {
			h.Stop(nil)
		}
		if got := formatActions(h.HandleProbeResult(ProbeAccepted, h.BeginProbe(), nil)); got != "" {
			t.Errorf("stop=%t: got %q after the probe was accepted", stop, got)
		}
		if h.UpstreamEnded() || h.OpenFlows() != 1 {
			t.Errorf("stop=%t: ended=%t, %d open flows", stop, h.UpstreamEnded(), h.OpenFlows())
		}
		if got := h.fromBalancer(peer1, lentilflow.Owned, dataPacket(flowKey(1), 501)); got != "ToUpstream" {
			t.Errorf("stop=%t: got %q for a packet of the open flow", stop, got)
		}
		// It registers again, twice, and its earlier registration arrives late.
		h.register("u")
		for range 2 {
			if got := formatActions(h.Register(Registration{ID: "u", Incarnation: h.createdAt.UnixMilli() + 1, Sequence: h.lastSequence, Service: "a", Draining: true}, nil)); got != "" {
				t.Errorf("stop=%t: got %q for a registration that comes again", stop, got)
			}
			h.lastSequence--
		}
		if h.Phase() != lentilflow.Ready {
			t.Errorf("stop=%t: phase %s", stop, h.Phase())
		}
	}
}

// TestStopReturnsWaitingFlows guards against new flows that get no answer because their agent is asked to stop: those that wait in
// its queue, and those whose first packets arrive afterwards. An upstream that is only overdue changes nothing.
func TestStopReturnsWaitingFlows(t *testing.T) {
	for _, overdue := range []bool{false, true} {
		h := newHarness(t)
		h.register("u")
		for n := range 4 {
			h.openFlow(flowKey(10 + n))
		}
		tick := func(times int) (returned string) {
			for range times {
				h.clock.Advance(100 * time.Millisecond)
				returned += formatActions(h.Tick(nil))
			}
			return returned
		}
		tick(27)
		for n := range 3 {
			if got := h.offer(n, true); got != "SendTaken open=false" {
				t.Fatalf("flow %d doesn't wait: %q", n, got)
			}
		}
		want := "SendRefused Stopping, SendRefused Stopping, SendRefused Stopping, ReportStateChange StopAsked"
		if overdue {
			want = "ReportStateChange StopAsked" // The flows were returned when the upstream became overdue.
			if got := tick(5); !strings.Contains(got, "SendRefused NoUpstream, SendRefused NoUpstream, SendRefused NoUpstream") {
				t.Errorf("waiting flows when the upstream is overdue: %q", got)
			}
		}
		if got := formatActions(h.Stop(nil)); got != want {
			t.Errorf("overdue=%t: got %q, want %q", overdue, got, want)
		}
		if got := h.offer(5, true); got != "SendRefused Stopping" {
			t.Errorf("overdue=%t: got %q for a first packet after the stop", overdue, got)
		}
		if got := h.fromBalancer(peer1, lentilflow.Owned, dataPacket(flowKey(10), 501)); got != "ToUpstream" {
			t.Errorf("overdue=%t: got %q for a packet of an open flow after the stop", overdue, got)
		}
	}
}
