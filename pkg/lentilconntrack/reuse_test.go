package lentilconntrack

import (
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// TestNewFlowsWithoutUpstream guards against flows that run at an upstream of another service, which has taken over the address
// of the agent's own one: nothing tells the agent who listens there but registrations and packets of its flows.
func TestNewFlowsWithoutUpstream(t *testing.T) {
	const admitted, refused = "ToUpstream, SendTaken open=false", "SendRefused NoUpstream"
	for _, c := range []struct {
		name    string
		prepare func(h *harness)
		want    string
	}{
		{"never registered", func(*harness) {}, refused},
		{"only another service has registered", func(h *harness) {
			h.register("other", func(r *Registration) { r.Service = "b" })
		}, refused},
		{"registered", func(h *harness) { h.register("u") }, admitted},
		{"registered 1.8 s ago", func(h *harness) {
			h.register("u")
			h.run(1800 * time.Millisecond)
		}, admitted},
		{"registered 2 s ago", func(h *harness) {
			h.register("u")
			h.run(2000 * time.Millisecond)
		}, refused},
		{"registered 2.1 s ago, and answers since", func(h *harness) {
			h.register("u")
			h.openFlow(flowKey(1))
			h.run(1500 * time.Millisecond)
			h.fromUpstream(dataPacket(flowKey(1), 110))
			h.run(600 * time.Millisecond)
		}, admitted},
		{"registered 2.1 s ago, and returns packets since", func(h *harness) {
			h.register("u")
			h.openFlow(flowKey(1))
			h.run(1500 * time.Millisecond)
			h.fromUpstream(markReturned(dataPacket(flowKey(1), 501)))
			h.run(600 * time.Millisecond)
		}, refused},
		{"registered 2.1 s ago, and sends packets of unknown flows since", func(h *harness) {
			h.register("u")
			h.run(1500 * time.Millisecond)
			h.fromUpstream(dataPacket(flowKey(1), 110))
			h.run(600 * time.Millisecond)
		}, refused},
		{"registered before a pause of the agent", func(h *harness) {
			h.register("u")
			h.run(50 * time.Millisecond)
			h.clock.Advance(3 * time.Second)
			h.run(500 * time.Millisecond)
		}, refused},
		{"registered after a pause of the agent", func(h *harness) {
			h.register("u")
			h.run(50 * time.Millisecond)
			h.clock.Advance(3 * time.Second)
			h.run(500 * time.Millisecond)
			h.register("u")
		}, admitted},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.AddressReuse = 2 * time.Second
			c.prepare(h)
			if got := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(9))); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestCopiesOfFirstPacketWithoutUpstream guards against copies of a first packet that run at an upstream of another service, which
// has taken over the address of the one that got the first packet.
func TestCopiesOfFirstPacketWithoutUpstream(t *testing.T) {
	for _, c := range []struct {
		name string
		open bool
	}{{"half-open", false}, {"open", true}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.AddressReuse = 2 * time.Second
			h.register("u")
			h.run(1700 * time.Millisecond)
			if c.open {
				h.openFlow(flowKey(1))
			} else {
				h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1)))
			}
			h.run(2 * time.Second)
			if got, want := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1))), "SendRefused NoUpstream"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			if c.open {
				if got, want := h.fromBalancer(peer1, lentilflow.Owned, dataPacket(flowKey(1), 501)), "ToUpstream"; got != want {
					t.Errorf("a later packet of the open flow: got %q, want %q", got, want)
				}
			}
		})
	}
}

// TestSeldomRenewals guards against an upstream that gets no new flows between its renewals, since addresses are used again sooner
// than they are due.
func TestSeldomRenewals(t *testing.T) {
	h := newHarness(t)
	h.AddressReuse = time.Second
	h.register("u")
	h.run(1200 * time.Millisecond)
	if got, want := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1))), "ToUpstream, SendTaken open=false"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// run advances the clock with a tick every 50 ms.
func (h *harness) run(d time.Duration) {
	for ; d > 0; d -= 50 * time.Millisecond {
		h.clock.Advance(50 * time.Millisecond)
		h.Tick(nil)
	}
}
