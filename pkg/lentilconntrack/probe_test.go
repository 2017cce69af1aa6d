package lentilconntrack

import (
	"strings"
	"testing"
	"time"
)

// TestProbeOfEarlierUpstreamEndsNextOne guards against the result of a probe of an earlier upstream that arrives after the next one has
// registered: its open flows are reset.
func TestProbeOfEarlierUpstreamEndsNextOne(t *testing.T) {
	for _, c := range []struct {
		name   string
		result ProbeResult
	}{
		{"refused", ProbeRefused},
		{"timed out", ProbeTimedOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.register("u")
			h.HandlePacketRefused(nil)
			probe := h.BeginProbe()
			h.clock.Advance(50 * time.Millisecond)
			h.register("v", func(r *Registration) { r.Incarnation, r.Sequence = 50, 1 })
			h.openFlow(flowKey(1))
			if got := formatActions(h.HandleProbeResult(c.result, probe, nil)); got != "" && got != "ProbeUpstream" {
				t.Errorf("got %q, want nothing, or another probe of the upstream that registered after the probe began", got)
			}
		})
	}
}

// TestSecondProbeOfEarlierUpstreamEndsNextOne guards against the reset of open flows by the second of two probes of the earlier
// upstream: one after a refused packet, and one after its deregistration.
func TestSecondProbeOfEarlierUpstreamEndsNextOne(t *testing.T) {
	h := newHarness(t)
	h.register("u")
	h.HandlePacketRefused(nil)
	h.Deregister("u", nil)
	probe := h.BeginProbe()
	h.register("v", func(r *Registration) { r.Incarnation, r.Sequence = 50, 1 })
	h.openFlow(flowKey(1))
	got := formatActions(h.HandleProbeResult(ProbeTimedOut, probe, nil)) + "; " + formatActions(h.HandleProbeResult(ProbeRefused, probe, nil))
	if strings.Contains(got, "ResetClient") {
		t.Errorf("got %q, want no flow of the next upstream reset", got)
	}
}

// TestProbeOfEarlierUpstreamEndsUnregisteredOne guards against the reset of flows at the next run of the upstream, which hasn't registered
// yet, by the result of a probe of the earlier one.
func TestProbeOfEarlierUpstreamEndsUnregisteredOne(t *testing.T) {
	h := newHarness(t)
	h.register("u")
	h.HandlePacketRefused(nil)
	probe := h.BeginProbe()
	h.clock.Advance(50 * time.Millisecond)
	h.openFlow(flowKey(1))
	h.fromUpstream(dataPacket(flowKey(1), 110))
	h.clock.Advance(50 * time.Millisecond)
	if got, want := formatActions(h.HandleProbeResult(ProbeTimedOut, probe, nil)), "ReportStateChange UpstreamSilent"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
