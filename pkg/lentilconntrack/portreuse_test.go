package lentilconntrack

import (
	"testing"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// nextFlowAcknowledged is what a client acknowledges of the next flow from the port of one that openFlow has opened.
const nextFlowAcknowledged = 1 << 30

// TestEarlierFlowAtAgent guards against the reset of an open flow, since packets of it reach the upstream that holds or held an earlier flow
// from the client's port: the upstream resets it or returns them, and the agent takes that for the end of the flow.
func TestEarlierFlowAtAgent(t *testing.T) {
	key := flowKey(1)
	closeFlow := func(h *harness) {
		h.fromBalancer(peer1, lentilflow.Owned, lentilflow.Packet{Key: key, Flags: lentilflow.Close | lentilflow.Acknowledge, Acknowledged: 501})
		h.fromUpstream(lentilflow.Packet{Key: key, Flags: lentilflow.Close})
	}
	for _, c := range []struct {
		name    string
		prepare func(h *harness)
		want    string
	}{
		{"is open", func(*harness) {}, "SendDenied unsure=true"},
		{"is closed", closeFlow, "SendDenied unsure=false"},
		{"was reset by its client", func(h *harness) {
			h.fromBalancer(peer1, lentilflow.Owned, lentilflow.Packet{Key: key, Flags: lentilflow.Reset})
		}, "SendDenied unsure=false"},
	} {
		for _, purpose := range []lentilflow.Purpose{lentilflow.Owned, lentilflow.Lookup} {
			t.Run(c.name+", "+purpose.String(), func(t *testing.T) {
				h := newHarness(t)
				h.FlowsComplete = true
				h.register("u")
				h.openFlow(key)
				c.prepare(h)
				if got := h.fromBalancer(peer2, purpose, dataPacket(key, nextFlowAcknowledged)); got != c.want {
					t.Errorf("a packet of the next flow: got %q, want %q", got, c.want)
				}
				if got, want := h.fromBalancer(peer1, lentilflow.Owned, dataPacket(key, 511)), "ToUpstream"; got != want {
					t.Errorf("another packet of the earlier flow: got %q, want %q", got, want)
				}
			})
		}
	}
}

// TestReturnedPacketOfEarlierFlow guards against a denial of a flow that is opening, since the upstream has returned a packet of the earlier
// one from the port, which an agent without its list of flows had passed on.
func TestReturnedPacketOfEarlierFlow(t *testing.T) {
	h := newHarness(t)
	key := flowKey(1)
	h.lastSequence = 8
	h.register("u")
	steps := []struct{ got, want string }{
		{h.fromBalancer(peer1, lentilflow.Lookup, dataPacket(key, nextFlowAcknowledged)), "ToUpstream"},
		{h.fromBalancer(peer1, lentilflow.Place, firstPacket(key)), "ToUpstream, SendTaken open=false"},
		{h.fromUpstream(markReturned(dataPacket(key, nextFlowAcknowledged))), ""},
		{h.fromUpstream(acceptPacket(key, 500)), "ToClient"},
		{h.fromBalancer(peer1, lentilflow.Owned, dataPacket(key, 501)), "SendTaken open=true, ToUpstream"},
	}
	for i, s := range steps {
		if s.got != s.want {
			t.Errorf("step %d: got %q, want %q", i, s.got, s.want)
		}
	}
}
