package lentilplacement

import (
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// newHedgingHarness returns a harness whose route is repeatable or not, and with a hundred flows
// that were taken in 1 ms within the last second.
func newHedgingHarness(t testing.TB, percent int, repeatable bool) (h *harness) {
	h = newHarness(t)
	h.SetHedgePercent(percent)
	routes := map[lentilflow.Endpoint][]lentilflow.Backend{serviceAddress: {{Service: "a", Weight: 1}}}
	terms := map[lentilflow.Endpoint]lentilflow.Terms{serviceAddress: {Repeatable: repeatable}}
	h.Configure(lentilflow.NewConfiguration(2, routes, nil, time.Minute).WithTerms(terms))
	for n := range 100 {
		key := flowKey(1000 + n)
		h.sendPacket(firstPacket(1000 + n))
		h.clock.Advance(time.Millisecond)
		h.HandleTaken(h.flows.Get(h.clock.Now(), key).agent, lentilflow.Taken{Key: key, Load: lentilflow.Load{Slots: 2}}, nil)
	}
	for n := 1; n <= 4; n++ {
		h.sendStatus(n)
	}
	h.clock.Advance(10 * time.Millisecond)
	h.TickHedges(nil)
	return h
}

// tickHedges lets the delay pass and returns the actions.
func (h *harness) tickHedges() string {
	h.clock.Advance(6 * time.Millisecond)
	return describe(h.TickHedges(nil))
}

// TestExtraOffers checks the offers of one flow. It guards against extra offers without the setting,
// of flows that may not be repeated, above the percentage, in an overload, and more than one a flow.
func TestExtraOffers(t *testing.T) {
	type step struct {
		run  func(h *harness) string
		want string
	}
	place := step{func(h *harness) string { return h.sendPacket(firstPacket(testFlow)) }, "place to 1"}
	hedged := step{(*harness).tickHedges, "place to 2"}
	quiet := step{(*harness).tickHedges, ""}
	taken := func(n int, open bool) func(h *harness) string {
		return func(h *harness) string { return h.answerTaken(n, open) }
	}
	refused := func(n int, reason lentilflow.Refusal) func(h *harness) string {
		return func(h *harness) string { return h.answerRefused(n, reason) }
	}
	later := func(h *harness) string { return h.sendPacket(laterPacket(testFlow)) }
	for _, c := range []struct {
		name       string
		percent    int
		repeatable bool
		steps      []step
	}{
		{"second agent wins", 2, true, []step{place, hedged, {taken(2, false), ""}, {later, "lookup to 1, lookup to 2"}, {taken(2, true), "hedge 1 to 2 won true"}, {later, "owned to 2"}}},
		{"first agent wins late", 2, true, []step{place, hedged, {taken(1, false), ""}, {taken(2, false), ""}, {taken(1, true), "hedge 1 to 2 won false"}, {later, "owned to 1"}}},
		{"taken in time", 2, true, []step{place, {taken(1, false), ""}, quiet}},
		{"off", 0, true, []step{place, quiet}},
		{"not repeatable", 20, false, []step{place, quiet}},
		{"only one extra offer", 20, true, []step{place, hedged, quiet, quiet}},
		{"second agent refuses", 2, true, []step{place, hedged, {refused(2, lentilflow.UpstreamBusy), ""}, {taken(1, false), ""}, {later, "owned to 1"}}},
		{"first agent refuses later", 2, true, []step{place, hedged, {refused(1, lentilflow.UpstreamBusy), ""}, {taken(2, false), ""}, {later, "owned to 2"}}},
		{"both refuse", 2, true, []step{place, hedged, {refused(2, lentilflow.UpstreamBusy), ""}, {refused(1, lentilflow.UpstreamBusy), "place to 3"}}},
		{"no room at one agent of three", 2, true, []step{place, {refused(1, lentilflow.UpstreamBusy), "place to 2"}, quiet}},
		// The fixed second offer recovers from lost datagrams. After an extra offer it is the third agent's.
		{"no agent answers", 2, true, []step{place, hedged, {func(h *harness) string { return h.advance(100 * time.Millisecond) }, ""},
			{func(h *harness) string { return h.advance(100 * time.Millisecond) }, "place to 3"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHedgingHarness(t, c.percent, c.repeatable)
			for i, s := range c.steps {
				if got := s.run(h); got != s.want {
					t.Errorf("step %d: %q, want %q", i, got, s.want)
				}
			}
		})
	}
}

// TestExtraOffersKeepBudget lets no agent answer and guards against extra and repeated offers above
// the percentage of new flows.
func TestExtraOffersKeepBudget(t *testing.T) {
	h := newHedgingHarness(t, 2, true)
	for n := range 100 {
		h.sendPacket(firstPacket(2000 + n))
	}
	h.tickHedges()
	if got := h.HedgeCounts(); got.Sent != 4 || got.OverBudget != 96 {
		t.Errorf("%+v of 200 new flows with 2 %%", got)
	}
}

// TestNoExtraOffersInOverload guards against extra work while a share of the agents above the percentage
// refuses flows for lack of room. One of three is above 20 %.
func TestNoExtraOffersInOverload(t *testing.T) {
	for _, c := range []struct {
		reason lentilflow.Refusal
		want   string
	}{
		{lentilflow.UpstreamBusy, ""}, {lentilflow.UpstreamFull, ""}, {lentilflow.UpstreamCold, ""}, {lentilflow.UpstreamOverloaded, ""},
		{lentilflow.Stopping, "place to 2"},
	} {
		t.Run(c.reason.String(), func(t *testing.T) {
			h := newHedgingHarness(t, 20, true)
			_, err := h.HandleRefused(agentAddress(3), lentilflow.Refused{Reason: c.reason, Load: lentilflow.Load{Slots: 2}, Packet: firstPacket(9)}, nil)
			if err != nil {
				t.Fatal(err)
			}
			h.sendPacket(firstPacket(testFlow))
			if got := h.tickHedges(); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}
