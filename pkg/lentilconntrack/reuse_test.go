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
			h.lastSequence += 2 // Sent during the pause.
			h.register("u")
		}, admitted},
		{"registered after a pause of the agent, for the first time since before it", func(h *harness) {
			h.register("u")
			h.run(50 * time.Millisecond)
			h.clock.Advance(3 * time.Second)
			h.run(500 * time.Millisecond)
			h.register("u")
		}, refused},
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

// TestLateRegistrationsOfEndedUpstream guards against flows that run at an upstream of another service, since registrations of the
// agent's own upstream were delayed until after that one has its address.
func TestLateRegistrationsOfEndedUpstream(t *testing.T) {
	const interval = 1200 * time.Millisecond
	// end lets the upstream register twice and end. The address may have moved when it returns.
	end := func(h *harness) {
		h.register("u")
		h.run(interval)
		h.register("u")
		h.run(2100 * time.Millisecond)
	}
	other := func(h *harness) {
		h.register("v", func(r *Registration) {
			r.Service, r.Incarnation, r.Sequence = "b", h.clock.Now().Sub(h.createdAt).Milliseconds(), 1
		})
		h.lastSequence--
	}
	for _, c := range []struct {
		name    string
		prepare func(h *harness)
	}{
		{"one, before the other service has registered", func(h *harness) {
			end(h)
			// It has sent one more at 2.4 s, and ended.
			h.run(1800 * time.Millisecond)
			h.register("u")
		}},
		{"one, after the other service has registered", func(h *harness) {
			end(h)
			other(h)
			h.register("u")
		}},
		{"two at once, before the other service has registered", func(h *harness) {
			end(h)
			h.run(2 * interval)
			h.register("u")
			h.run(50 * time.Millisecond)
			h.register("u")
		}},
		{"two at once, after the other service has registered", func(h *harness) {
			end(h)
			other(h)
			h.run(2 * interval)
			h.register("u")
			h.run(50 * time.Millisecond)
			h.register("u")
		}},
		{"three, as far apart as they were sent, after the other service has registered", func(h *harness) {
			end(h)
			other(h)
			h.register("u")
			h.run(interval)
			h.register("u")
			h.run(interval)
			h.register("u")
		}},
		{"two of a run of which nothing was read before", func(h *harness) {
			end(h)
			next := func(r *Registration) { r.Incarnation, r.Sequence = 1300, r.Sequence-2 }
			other(h)
			h.run(interval)
			h.register("next", next)
			h.run(50 * time.Millisecond)
			h.register("next", next)
		}},
		{"the first one of a run, before the other service has registered", func(h *harness) {
			end(h)
			h.run(2 * interval)
			h.register("next", func(r *Registration) { r.Incarnation, r.Sequence = 1300, 1 })
		}},
		{"two after a pause of the agent, not read right after it", func(h *harness) {
			h.register("u")
			h.Tick(nil)
			h.clock.Advance(2 * time.Second)
			h.run(2800 * time.Millisecond)
			h.register("u")
			h.run(interval)
			h.register("u")
		}},
		{"one after nothing listened at the address any more", func(h *harness) {
			h.register("u")
			h.HandleProbeResult(ProbeRefused, h.BeginProbe(), nil)
			h.run(interval)
			h.register("u")
		}},
		{"one after nothing listened, and the agent had just started", func(h *harness) {
			h.run(5 * time.Second)
			h.HandleProbeResult(ProbeRefused, h.BeginProbe(), nil)
			h.run(interval)
			h.lastSequence = 4
			h.register("u")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.AddressReuse = 2 * time.Second
			h.Start()
			c.prepare(h)
			if got, want := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1))), "SendRefused NoUpstream"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// TestLateRegistrationOfEndedUpstream guards against flows that run at an upstream of another service, since a registration of the
// agent's own upstream was delayed until after the other one has its address.
func TestLateRegistrationOfEndedUpstream(t *testing.T) {
	const interval = 1200 * time.Millisecond
	h := newHarness(t)
	h.register("u")
	h.run(4 * time.Second)
	ofOtherService := func(r *Registration) { r.Service, r.Incarnation, r.Sequence = "b", 3000, 1 }
	later := func() string {
		h.run(interval)
		return h.register("u")
	}
	refused, admitted := "SendRefused NoUpstream", "ToUpstream, SendTaken open=false"
	place := func(n int) string { return h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(n))) }
	steps := []struct{ got, want string }{
		{h.register("v", ofOtherService), "ReportStateChange AddressContested"},
		{h.register("u"), ""},
		{place(1), refused},
		{h.register("u"), ""},
		{place(1), refused},
		{later(), ""},
		{later(), ""},
		{place(1), refused},
		{later(), "ReportStateChange UpstreamRegistered"},
		{place(1), admitted},
		{h.register("v", ofOtherService), ""},
		{place(2), admitted},
	}
	for i, s := range steps {
		if s.got != s.want {
			t.Errorf("step %d: got %q, want %q", i, s.got, s.want)
		}
	}
}

// TestSoundUpstreamGoesOnServing guards against an upstream that gets no new flows, since its registrations are taken for late ones of
// an upstream that has ended.
func TestSoundUpstreamGoesOnServing(t *testing.T) {
	const interval = 1200 * time.Millisecond
	for _, c := range []struct {
		name    string
		prepare func(h *harness)
	}{
		{"registrations are up to 300 ms late", func(h *harness) {
			for _, late := range []time.Duration{0, 300, 0, 300, 300, 100, 300} {
				h.run(late * time.Millisecond)
				h.register("u")
				h.run(interval - late*time.Millisecond)
			}
		}},
		{"one came 700 ms late", func(h *harness) {
			h.register("u")
			h.run(interval + 700*time.Millisecond)
			h.register("u")
		}},
		{"the interval is a tenth longer than agreed", func(h *harness) {
			for range 20 {
				h.register("u")
				h.run(interval + interval/10)
			}
		}},
		{"none came for 5 s, and then four as usual", func(h *harness) {
			h.register("u")
			h.run(5 * time.Second)
			for range 4 {
				h.run(interval)
				h.register("u")
			}
		}},
		{"it drained, registering at once", func(h *harness) {
			h.register("u")
			h.run(400 * time.Millisecond)
			h.register("u", setDraining)
			h.run(interval)
			h.register("u")
		}},
		{"the next run has registered once", func(h *harness) {
			h.register("u")
			h.run(5 * time.Second)
			h.register("next", func(r *Registration) { r.Incarnation, r.Sequence = 5000, 1 })
		}},
		{"the next run has registered once, a probe before it was refused", func(h *harness) {
			h.register("u")
			h.HandleProbeResult(ProbeRefused, h.BeginProbe(), nil)
			h.run(interval)
			h.register("next", func(r *Registration) { r.Incarnation, r.Sequence = 1100, 1 })
		}},
		{"the next run after one of another service has registered twice", func(h *harness) {
			h.run(time.Second)
			h.register("v", func(r *Registration) { r.Service = "b" })
			h.run(5 * time.Second)
			h.register("next", func(r *Registration) { r.Incarnation, r.Sequence = 6000, 1 })
			h.run(interval)
			h.register("next", func(r *Registration) { r.Incarnation, r.Sequence = 6000, 2 })
		}},
		{"the agent has been started again", func(h *harness) {
			h.lastSequence = 40
			h.register("u", func(r *Registration) { r.Incarnation = -60_000 })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.AddressReuse = 2 * time.Second
			h.Start()
			c.prepare(h)
			if got, want := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1))), "ToUpstream, SendTaken open=false"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// TestCopyOfFirstPacketAtNextRun guards against a first packet that reaches an upstream which drains, since the run before it had got
// another copy of the packet, and its answer is read after a pause of the agent.
func TestCopyOfFirstPacketAtNextRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Registration)
		want   string
	}{
		{"drains", setDraining, "SendRefused UpstreamDraining"},
		{"is ready", func(*Registration) {}, "ToUpstream, SendTaken open=false"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.AddressReuse = 2 * time.Second
			h.register("u")
			h.Tick(nil)
			h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1)))
			h.clock.Advance(900 * time.Millisecond)
			h.fromUpstream(acceptPacket(flowKey(1), 500))
			h.register("next", func(r *Registration) { r.Incarnation, r.Sequence = 700, 1 }, c.change)
			if got := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1))); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestAnswersOnFlowsAfterRegistration guards against flows that run at an upstream of another service, since its answers on flows
// that were passed to it by mistake seem to come from the agent's own one.
func TestAnswersOnFlowsAfterRegistration(t *testing.T) {
	h := newHarness(t)
	h.AddressReuse = 2 * time.Second
	h.register("u")
	h.run(50 * time.Millisecond)
	h.openFlow(flowKey(1))
	for range 20 {
		h.run(100 * time.Millisecond)
		h.fromUpstream(dataPacket(flowKey(1), 110))
	}
	if got, want := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(2))), "SendRefused NoUpstream"; got != want {
		t.Errorf("got %q, want %q", got, want)
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
			h.run(600 * time.Millisecond)
			h.lastSequence = 5 // One each 1.2 s since the first one.
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

// TestSlowTicksAfterPause guards against an agent that takes no flows for as long as its machine is busy, since each late tick after a
// pause seems to go on with it.
func TestSlowTicksAfterPause(t *testing.T) {
	for _, gap := range []time.Duration{110 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			h := newHarness(t)
			h.AddressReuse = 2 * time.Second
			h.register("u")
			h.Tick(nil)
			h.clock.Advance(400 * time.Millisecond)
			registeredAt := h.clock.Now()
			for range 6 * time.Second / gap {
				h.Tick(nil)
				h.fromUpstream(dataPacket(flowKey(9), 110))
				h.clock.Advance(gap)
				h.fromBalancer(peer1, lentilflow.Owned, dataPacket(flowKey(9), 501))
				if h.clock.Now().Sub(registeredAt) >= h.RenewInterval {
					registeredAt = h.clock.Now()
					h.register("u")
				}
			}
			if got, want := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(1))), "ToUpstream, SendTaken open=false"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// run advances the clock with a tick every 50 ms.
func (h *harness) run(d time.Duration) {
	for ; d > 0; d -= 50 * time.Millisecond {
		h.clock.Advance(50 * time.Millisecond)
		h.Tick(nil)
	}
}
