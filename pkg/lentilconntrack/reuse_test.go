package lentilconntrack

import (
	"slices"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilledger"
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
		{"registered 1.5 s ago", func(h *harness) {
			h.register("u")
			h.run(1500 * time.Millisecond)
		}, admitted},
		{"registered 1.7 s ago", func(h *harness) {
			h.register("u")
			h.run(1700 * time.Millisecond)
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
		{"registered 2.1 s ago, and resets a flow since", func(h *harness) {
			h.register("u")
			h.openFlow(flowKey(1))
			h.run(1500 * time.Millisecond)
			h.fromUpstream(lentilflow.Packet{Key: flowKey(1), Flags: lentilflow.Reset})
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

// TestPortUsedAgainIsAdmitted guards against first packets of new flows that reach an upstream which gets no new flows, since the
// table still has an earlier flow from the same port.
func TestPortUsedAgainIsAdmitted(t *testing.T) {
	key := flowKey(1)
	earlier := []struct {
		name string
		flow func(h *harness)
	}{
		{"restored from a ledger", func(h *harness) {
			flows := []lentilledger.Flow{{Key: key, Acknowledged: 7}}
			h.Restore(lentilledger.Ledger{Service: "a", UpstreamID: "u", UpstreamIncarnation: h.createdAt.UnixMilli() + 1, Flows: flows}, 0, nil)
		}},
		{"learned from the upstream", func(h *harness) {
			h.fromUpstream(lentilflow.Packet{Key: key, Flags: lentilflow.Acknowledge, Length: 10})
		}},
		{"half-open", func(h *harness) { h.fromBalancer(peer1, lentilflow.Place, firstPacket(key)) }},
		{"open", func(h *harness) { h.openFlow(key) }},
	}
	reasons := []struct {
		name   string
		change func(h *harness)
		// service is the service that the flow is meant for.
		service string
	}{
		{"the upstream drains", func(h *harness) { h.register("u", setDraining) }, "a"},
		{"the failure domain is out of service", func(h *harness) { h.SetOut(true, nil) }, "a"},
		{"the upstream has deregistered", func(h *harness) { h.Deregister("u", nil) }, "a"},
		{"the registration is overdue", func(h *harness) {
			h.clock.Advance(200 * time.Millisecond)
			h.Tick(nil)
		}, "a"},
		{"the agent is stopping", func(h *harness) { h.Stop(nil) }, "a"},
		{"the flow is meant for another service", func(*harness) {}, "b"},
	}
	for _, e := range earlier {
		for _, r := range reasons {
			t.Run(e.name+", "+r.name, func(t *testing.T) {
				h := newHarness(t)
				h.register("u")
				h.clock.Advance(2900 * time.Millisecond)
				e.flow(h)
				r.change(h)
				actions, err := h.HandleCarry(peer1, lentilflow.Carry{Service: r.service, Version: 1, Packet: h.encode(firstPacketAgain(key))}, nil)
				if err != nil {
					t.Fatal(err)
				}
				if slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == ToUpstream }) {
					t.Errorf("the upstream gets the new flow: %s", formatActions(actions))
				}
			})
		}
	}
}

// TestLateRegistrationOfEndedUpstream guards against flows that run at an upstream of another service, since a registration of the
// agent's own upstream was delayed until after the other one has its address.
func TestLateRegistrationOfEndedUpstream(t *testing.T) {
	h := newHarness(t)
	h.register("u")
	h.run(4 * time.Second)
	ofOtherService := func(r *Registration) { r.Service, r.Incarnation, r.Sequence = "b", 3000, 1 }
	steps := []struct{ got, want string }{
		{h.register("v", ofOtherService), ""},
		{h.register("u"), ""},
		{h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1))), "SendRefused NoUpstream"},
		{h.register("u"), "ReportStateChange UpstreamRegistered"},
		{h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1))), "ToUpstream, SendTaken open=false"},
		{h.register("v", ofOtherService), ""},
		{h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(2))), "ToUpstream, SendTaken open=false"},
	}
	for i, s := range steps {
		if s.got != s.want {
			t.Errorf("step %d: got %q, want %q", i, s.got, s.want)
		}
	}
}

// TestMessagesReadAfterPause guards against an upstream that counts as known because what it sent before a pause of
// the agent is read after the pause, in which its address may have gone to another service.
func TestMessagesReadAfterPause(t *testing.T) {
	for _, c := range []struct {
		name string
		read func(h *harness)
	}{
		{"a packet", func(h *harness) { h.fromUpstream(dataPacket(flowKey(1), 110)) }},
		{"a registration", func(h *harness) { h.register("u") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.AddressReuse = 2 * time.Second
			h.register("u")
			h.openFlow(flowKey(1))
			h.Tick(nil)
			h.clock.Advance(5 * time.Second)
			c.read(h)
			for range 8 {
				h.Tick(nil)
				h.clock.Advance(50 * time.Millisecond)
			}
			if got := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(2))); got != "SendRefused NoUpstream" {
				t.Errorf("got %q, want a refusal until the upstream is heard of after the pause", got)
			}
			h.register("u")
			if got := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(3))); got != "ToUpstream, SendTaken open=false" {
				t.Errorf("got %q after a registration, want the flow at the upstream", got)
			}
		})
	}
}

// TestMessageReadAfterShortPause guards against new flows at an upstream of another service, since a message that waited during a
// pause too short to be noticed counts as sent when it was read.
func TestMessageReadAfterShortPause(t *testing.T) {
	h := newHarness(t)
	h.AddressReuse = 2 * time.Second
	h.register("u")
	h.Tick(nil)
	// The upstream registers once more and ends. The agent is paused for 290 ms, and reads the registration after that.
	ended := h.clock.Now()
	h.clock.Advance(290 * time.Millisecond)
	h.register("u")
	h.run(1750 * time.Millisecond)
	if got := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1))); got != "SendRefused NoUpstream" {
		t.Errorf("%s after the end of the upstream: got %q, want a refusal, since the address may be used again after %s", h.clock.Now().Sub(ended), got, h.AddressReuse)
	}
}

// TestMessageReadAfterTwoPauses guards against new flows at an upstream of another service, since a message that waited during
// two pauses in a row counts as sent when the second one began.
func TestMessageReadAfterTwoPauses(t *testing.T) {
	h := newHarness(t)
	h.AddressReuse = 2 * time.Second
	h.register("u")
	h.Tick(nil)
	h.clock.Advance(5 * time.Second)
	h.Tick(nil)
	h.clock.Advance(400 * time.Millisecond)
	h.register("u")
	h.run(400 * time.Millisecond)
	if got := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1))); got != "SendRefused NoUpstream" {
		t.Errorf("got %q, want a refusal: the registration may be 5.8 s old", got)
	}
}

// TestMessageReadAfterPauseBeforeFirstTick guards against new flows at an upstream of another service, since an agent that was paused
// right after its start doesn't notice, and takes a registration that has waited for a new one.
func TestMessageReadAfterPauseBeforeFirstTick(t *testing.T) {
	h := newHarness(t)
	h.AddressReuse = 2 * time.Second
	h.helloWith(1, false)
	h.clock.Advance(5 * time.Second)
	h.register("u")
	h.run(400 * time.Millisecond)
	if got := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1))); got != "SendRefused NoUpstream" {
		t.Errorf("got %q, want a refusal: the registration may be 5.4 s old", got)
	}
}

// TestLateRegistrationAfterNextContest guards against flows that run at an upstream of another service, since a registration from before
// that one registered counts as the first of the two that it takes after it.
func TestLateRegistrationAfterNextContest(t *testing.T) {
	h := newHarness(t)
	h.AddressReuse = 2 * time.Second
	ofOtherService := func(incarnation int64) func(*Registration) {
		return func(r *Registration) { r.Service, r.Incarnation, r.Sequence = "b", incarnation, 1 }
	}
	h.register("v", ofOtherService(1))
	h.run(4 * time.Second)
	h.register("u", func(r *Registration) { r.Incarnation, r.Sequence = 4000, 1 })
	h.run(2500 * time.Millisecond)
	h.register("w", ofOtherService(6400))
	h.run(time.Second)
	h.register("u", func(r *Registration) { r.Incarnation, r.Sequence = 4000, 2 })
	if got, want := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1))), "SendRefused NoUpstream"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestMessageReadAfterLongAndShortPause guards against new flows at an upstream of another service, since a message that waited during a
// pause counts as sent when it was read, after a second pause that is too short to be noticed.
func TestMessageReadAfterLongAndShortPause(t *testing.T) {
	h := newHarness(t)
	h.AddressReuse = 2 * time.Second
	h.register("u")
	h.Tick(nil)
	h.clock.Advance(5 * time.Second)
	h.Tick(nil)
	h.run(200 * time.Millisecond)
	h.clock.Advance(200 * time.Millisecond)
	h.register("u")
	h.run(400 * time.Millisecond)
	if got, want := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1))), "SendRefused NoUpstream"; got != want {
		t.Errorf("got %q, want %q: the registration may be 5.8 s old", got, want)
	}
}

// run advances the clock with a tick every 50 ms.
func (h *harness) run(d time.Duration) {
	for ; d > 0; d -= 50 * time.Millisecond {
		h.clock.Advance(50 * time.Millisecond)
		h.Tick(nil)
	}
}
