package lentilconntrack

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilledger"
)

func TestRestoreLedger(t *testing.T) {
	ledgerOf := func(upstreamID string, incarnation int64) lentilledger.Ledger {
		return lentilledger.Ledger{Service: "a", Address: peer1, UpstreamID: upstreamID, UpstreamIncarnation: incarnation, Flows: []lentilledger.Flow{{Key: flowKey(1), Acknowledged: 7}}}
	}
	for _, c := range []struct {
		name   string
		ledger lentilledger.Ledger
		want   string
	}{
		{"another upstream has registered", ledgerOf("old", 1), "ResetClient UpstreamReplaced 7"},
		{"another run of the upstream has registered", ledgerOf("u", 0), "ResetClient UpstreamReplaced 7"},
		{"the same run of the upstream has registered", ledgerOf("u", 1), ""},
		{"the ledger is for another address", lentilledger.Ledger{Service: "a", Address: peer2, UpstreamID: "old", Flows: []lentilledger.Flow{{Key: flowKey(1)}}}, ""},
		{"the ledger is for another service", lentilledger.Ledger{Service: "b", Address: peer1, UpstreamID: "old", Flows: []lentilledger.Flow{{Key: flowKey(1)}}}, ""},
		{"there is no ledger", lentilledger.Ledger{}, ""},
	} {
		for _, first := range []string{"ledger", "registration"} {
			t.Run(c.name+", "+first+" first", func(t *testing.T) {
				h := newHarness(t)
				h.Address = peer1
				register := func() []Action {
					return h.Register(Registration{ID: "u", Incarnation: 1, Sequence: 9, Service: "a"}, nil)
				}
				var actions []Action
				if first == "ledger" {
					actions = append(h.Restore(c.ledger, 0, nil), register()...)
				} else {
					actions = append(register(), h.Restore(c.ledger, 0, nil)...)
				}
				var resets []Action
				for _, a := range actions {
					if a.Kind == ResetClient {
						resets = append(resets, a)
					}
				}
				if got := formatActions(resets); got != c.want {
					t.Errorf("got %q, want %q", got, c.want)
				}
				if sameRun := c.name == "the same run of the upstream has registered"; sameRun != (h.OpenFlows() == 1) {
					t.Errorf("%d flows are open; the ledger's flow must be open only if the run is the same", h.OpenFlows())
				}
			})
		}
	}
}

// unknownAge is the age of an upstream that doesn't tell it. testStart is the time of newHarness, in milliseconds of Unix time.
const unknownAge = time.Duration(math.MinInt64)

var testStart = newHarness(nil).createdAt.UnixMilli()

// TestFlowsCompleteAfterRestore checks when a restarted agent may conclude from the ledger and the registration that its
// upstream holds no flow that it doesn't know.
func TestFlowsCompleteAfterRestore(t *testing.T) {
	older := lentilledger.Ledger{Service: "a", Address: peer1, UpstreamID: "old", UpstreamIncarnation: 1}
	for _, c := range []struct {
		name     string
		ledger   lentilledger.Ledger
		sequence int64
		// age is how long before the agent the upstream has started, by the time of day. It sends no time of its start if that is unknown.
		age time.Duration
		// running is how long the agent has been running when it gets the registration.
		running time.Duration
		want    bool
	}{
		{"the upstream has just started with the agent", older, 2, 50 * time.Millisecond, 1300 * time.Millisecond, true},
		{"the upstream has just started and there is no ledger", lentilledger.Ledger{}, 3, 0, 2600 * time.Millisecond, true},
		{"the upstream doesn't tell when it has started, and there is no ledger", lentilledger.Ledger{}, 3, unknownAge, 2600 * time.Millisecond, false},
		{"the upstream has started before the agent, whose earlier run may have failed to write the run marker", lentilledger.Ledger{}, 3, 2 * time.Second, 2600 * time.Millisecond, false},
		{"the same, and an older ledger was found", older, 2, 200 * time.Millisecond, 1300 * time.Millisecond, false},
		{"the same, and the time of day has jumped back before the agent started", lentilledger.Ledger{}, 3, -time.Second, 1500 * time.Millisecond, false},
		{"the same, and the agent gets the second registration as it starts", older, 2, -time.Second, 0, false},
		{"an earlier run of the agent has written the run marker", lentilledger.Ledger{Service: "a", Address: peer1, UpstreamID: "u", UpstreamIncarnation: testStart}, 2, 0, 1300 * time.Millisecond, false},
		{"the upstream has been registering for longer", older, 4, 0, 4 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.Address = peer1
			r := Registration{ID: "u", Sequence: c.sequence, Service: "a"}
			if c.age != unknownAge {
				r.Incarnation = h.createdAt.Add(-c.age).UnixMilli()
			}
			h.Start()
			h.clock.Advance(c.running)
			h.Register(r, nil)
			if h.FlowsComplete {
				t.Error("FlowsComplete is set before the ledger is restored")
			}
			h.Restore(c.ledger, 0, nil)
			if h.FlowsComplete != c.want {
				t.Errorf("FlowsComplete: %t, want %t", h.FlowsComplete, c.want)
			}
		})
	}
}

// TestDueLedger checks that the run marker is due once, with the first flow, that a ledger is due only after flows have changed, and that it
// lists only flows of the minimum age.
func TestDueLedger(t *testing.T) {
	h := newHarness(t)
	h.Address = peer1
	h.register("u")
	if _, due := h.DueLedger(); due {
		t.Error("the run marker is due without a flow")
	}
	h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(100)))
	if ledger, due := h.DueLedger(); !due || ledger.UpstreamID != "u" || len(ledger.Flows) != 0 {
		t.Errorf("due %t with %+v, want the run marker of the new upstream", due, ledger)
	}
	if _, due := h.DueLedger(); due {
		t.Error("due again without a flow")
	}
	for i := range 3 {
		h.openFlow(flowKey(i))
	}
	h.clock.Advance(3 * time.Second)
	h.openFlow(flowKey(9))
	ledger, due := h.DueLedger()
	if !due || len(ledger.Flows) != 3 {
		t.Errorf("due %t with %d flows, want the 3 of the minimum age", due, len(ledger.Flows))
	}
	if _, due = h.DueLedger(); due {
		t.Error("due again at once")
	}
	h.clock.Advance(minLedgerInterval)
	if _, due = h.DueLedger(); due {
		t.Error("due though no flow has changed")
	}
	useShortFlows := func() {
		for i := range 200 {
			h.openFlow(flowKey(1000 + i))
			h.fromUpstream(lentilflow.Packet{Key: flowKey(1000 + i), Flags: lentilflow.Reset})
		}
	}
	useShortFlows()
	if all, due := h.DueLedger(); !due || len(all.Flows) != 4 {
		t.Errorf("due %t with %d flows, want the 4 that have reached the minimum age", due, len(all.Flows))
	}
	h.clock.Advance(minLedgerInterval)
	useShortFlows()
	if _, due = h.DueLedger(); due {
		t.Error("due though only flows of a single request have come and gone")
	}
	flows, err := lentilledger.ParseFlows(ledger.AppendFlows(nil))
	if diff := cmp.Diff(ledger.Flows, flows, cmp.AllowUnexported(lentilflow.Endpoint{}, lentilflow.Key{})); err != nil || diff != "" {
		t.Errorf("%v, -written +read:\n%s", err, diff)
	}
	if _, err = lentilledger.ParseFlows(make([]byte, 17)); err == nil {
		t.Error("flows with an incomplete record are parsed without an error")
	}
}

// TestLedgerOfExposedFlows checks when a ledger is due because of flows whose requests may not be repeated. Without one,
// such a flow is reset after a loss of power only when its client sends the next request, which is lost.
func TestLedgerOfExposedFlows(t *testing.T) {
	const maxUnlisted = 3 * time.Second
	oneOfMany := func(h *harness) { h.openFlowWithTerms(flowKey(100), lentilflow.Terms{Target: time.Second}) }
	for _, c := range []struct {
		name        string
		maxUnlisted time.Duration
		balancers   int
		change      func(h *harness)
		// after is the time from the change to the check.
		after time.Duration
		want  bool
	}{
		{"one such flow of many flows is old enough", maxUnlisted, 1, oneOfMany, maxUnlisted, true},
		{"it isn't old enough", maxUnlisted, 1, oneOfMany, maxUnlisted - 200*time.Millisecond, false},
		{"no limit is set", 0, 1, oneOfMany, maxUnlisted, false},
		{"its requests may be repeated", maxUnlisted, 1, func(h *harness) {
			h.openFlowWithTerms(flowKey(100), lentilflow.Terms{Target: time.Second, Repeatable: true})
		}, maxUnlisted, false},
		{"its terms are not known", maxUnlisted, 1, func(h *harness) { h.openFlowWithTerms(flowKey(100), lentilflow.Terms{}) }, maxUnlisted, false},
		{"the site has so many balancers that the store allows fewer ledgers", maxUnlisted, 64, oneOfMany, maxUnlisted, false},
		{"the last ledger could not be stored", maxUnlisted, 1, func(h *harness) { h.LedgerFailed(lentilledger.Ledger{Flows: []lentilledger.Flow{{}}}) }, maxUnlisted, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.RenewInterval, h.MaxUnlisted = 0, c.maxUnlisted
			h.register("u")
			for i := range c.balancers {
				address := lentilflow.NewEndpoint([4]byte{10, 0, 1, byte(i)}, 7720)
				h.AddPeer(lentilflow.Node{Name: address.String(), Domain: "d", Address: address}, nil)
			}
			const manyFlows = 20
			for n := range manyFlows {
				h.openFlowWithTerms(flowKey(n), lentilflow.Terms{Target: time.Second})
			}
			h.clock.Advance(time.Minute)
			h.DueLedger()
			if ledger, due := h.DueLedger(); !due || len(ledger.Flows) != manyFlows {
				t.Fatalf("the first ledger: due %t with %d flows, want %d", due, len(ledger.Flows), manyFlows)
			}
			c.change(h)
			h.clock.Advance(c.after)
			if ledger, due := h.DueLedger(); due != c.want {
				t.Errorf("due %t with %d flows, want %t", due, len(ledger.Flows), c.want)
			}
		})
	}
}

// openFlowWithTerms opens a flow of a route with the given terms.
func (h *harness) openFlowWithTerms(key lentilflow.Key, terms lentilflow.Terms) {
	h.t.Helper()
	if _, err := h.HandleCarry(peer1, lentilflow.Carry{Purpose: lentilflow.Place, Service: "a", Version: 1, Terms: terms, MayWait: true, Packet: h.encode(firstPacket(key))}, nil); err != nil {
		h.t.Fatal(err)
	}
	h.fromUpstream(lentilflow.Packet{Key: key, Flags: lentilflow.Open | lentilflow.Acknowledge, Sequence: 500, Acknowledged: 101})
	h.fromBalancer(peer1, lentilflow.Owned, lentilflow.Packet{Key: key, Flags: lentilflow.Acknowledge, Sequence: 101, Acknowledged: 501})
	h.clock.Advance(100 * time.Millisecond)
}

// TestRestoreProbesUpstream guards against flows that stay without a reset after a loss of power because their upstream was
// leaving and never registers again. Only a refused connection proves that it has ended.
func TestRestoreProbesUpstream(t *testing.T) {
	listed := lentilledger.Ledger{Service: "a", Address: peer1, UpstreamID: "u", UpstreamIncarnation: 1, Flows: []lentilledger.Flow{{Key: flowKey(1), Acknowledged: 7}}}
	for _, c := range []struct {
		name   string
		ledger lentilledger.Ledger
		result ProbeResult
		// wantProbe is set if the upstream is probed, and wantResets is the number of flows that are reset.
		wantProbe  bool
		wantResets int
	}{
		{"refused", listed, ProbeRefused, true, 1},
		{"accepted", listed, ProbeAccepted, true, 0},
		{"timed out", listed, ProbeTimedOut, true, 0},
		{"no flows", lentilledger.Ledger{Service: "a", Address: peer1, UpstreamID: "u", UpstreamIncarnation: 1}, ProbeRefused, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.Address = peer1
			if probed := formatActions(h.Restore(c.ledger, 0, nil)) == "ProbeUpstream"; probed != c.wantProbe {
				t.Fatalf("probed: %t", probed)
			}
			if !c.wantProbe {
				return
			}
			resets := 0
			for _, a := range h.HandleProbeResult(c.result, h.BeginProbe(), nil) {
				if a.Kind == ResetClient && a.Cause == UpstreamRefused && a.Key == flowKey(1) && a.Sequence == 7 {
					resets++
				}
			}
			if resets != c.wantResets {
				t.Errorf("%d flows are reset, want %d", resets, c.wantResets)
			}
			// The run of the ledger may still register, and then holds its flows if nothing was reset.
			h.Register(Registration{ID: "u", Incarnation: 1, Sequence: 9, Service: "a"}, nil)
			if open := h.OpenFlows(); open != 1-c.wantResets {
				t.Errorf("%d flows are open after the registration", open)
			}
		})
	}
}

// TestCurrentLedger checks which flows are reported: not those of single requests, and none before the upstream and its
// earlier flows are known.
func TestCurrentLedger(t *testing.T) {
	h := newHarness(t)
	if _, ok := h.CurrentLedger(); ok {
		t.Error("there is a ledger before the registration")
	}
	h.register("u")
	h.openFlow(flowKey(1))
	for _, c := range []struct {
		after         time.Duration
		nonRepeatable bool
		want          int
	}{{minReportAge - 1, true, 0}, {1, true, 1}, {0, false, 0}, {minLedgerFlowAge - minReportAge, false, 1}} {
		h.clock.Advance(c.after)
		h.flows[flowKey(1)].nonRepeatable = c.nonRepeatable
		ledger, ok := h.CurrentLedger()
		if !ok || len(ledger.Flows) != c.want || ledger.UpstreamID != "u" {
			t.Errorf("after another %s, nonRepeatable %t: ledger %+v, %t, want %d flows", c.after, c.nonRepeatable, ledger, ok, c.want)
		}
	}
	h.LedgerCovered = func() bool { return true }
	h.clock.Advance(time.Minute)
	h.DueLedger() // The run marker.
	if _, due := h.DueLedger(); due {
		t.Error("a ledger is due although a writer stores it")
	}
}

// TestLedgerWriter checks that agents with the same view choose the same balancer, of their failure domain if it has one.
func TestLedgerWriter(t *testing.T) {
	writerOf := func(hellos []lentilflow.Hello, avoid lentilflow.Endpoint) lentilflow.Endpoint {
		h := newHarness(t)
		h.Domain = "palermo"
		for _, m := range hellos {
			h.HandleHello(lentilflow.NewEndpoint([4]byte{10, 0, 0, m.Name[0]}, 7720), m, nil)
		}
		return h.LedgerWriter("palermo-0", func(e lentilflow.Endpoint) bool { return e == avoid })
	}
	near := []lentilflow.Hello{{Name: "a", Domain: "palermo", Configured: true}, {Name: "b", Domain: "palermo", Configured: true}, {Name: "c", Domain: "palermo", Configured: true}}
	far := []lentilflow.Hello{{Name: "d", Domain: "catania", Configured: true}}
	none := lentilflow.Endpoint{}
	first := writerOf(append(near, far...), none)
	if again := writerOf(append([]lentilflow.Hello{far[0], near[2], near[0]}, near[1]), none); again != first || first == none || first.Address()[3] == 'd' {
		t.Errorf("writers %s and %s, want the same of the failure domain", first, again)
	}
	if next := writerOf(append(near, far...), first); next == first || next == none || next.Address()[3] == 'd' {
		t.Errorf("after %s is avoided: %s", first, next)
	}
	if got := writerOf(far, none); got.Address()[3] != 'd' {
		t.Errorf("without balancers of the failure domain: %s", got)
	}
	if got := writerOf([]lentilflow.Hello{{Name: "a", Domain: "palermo"}}, none); got != none {
		t.Errorf("a balancer without a configuration is chosen: %s", got)
	}
}

// TestRefusedPortUsedAgainLeadsToReset guards against the reset of a flow that another upstream holds, since the agent refused its
// first packet and goes on to claim an earlier flow from the port.
func TestRefusedPortUsedAgainLeadsToReset(t *testing.T) {
	key := flowKey(1)
	h := newHarness(t)
	h.register("u")
	h.Restore(lentilledger.Ledger{
		Service: "a", UpstreamID: "u", UpstreamIncarnation: h.createdAt.UnixMilli() + 1, Flows: []lentilledger.Flow{{Key: key, Acknowledged: 7}},
	}, 0, nil)
	h.register("u", setDraining)
	if got, want := h.fromBalancer(peer1, lentilflow.Place, firstPacketAgain(key)), "SendRefused UpstreamDraining"; got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
	// The flow opens at another upstream, and another balancer looks it up.
	got := formatActions(h.HandleAsk(peer2, lentilflow.Ask{Keys: []lentilflow.Key{key}}, nil))
	data := dataPacket(key, 900_000_000)
	got += "; " + h.fromBalancer(peer2, lentilflow.Owned, data) + "; " + h.fromUpstream(markReturned(data))
	if strings.Contains(got, "ResetClient") {
		t.Errorf("got %q, want the flow denied", got)
	}
}

// TestOutdatedLedger guards against the reset of a flow that another upstream holds, since a ledger lists an earlier flow from its port
// that has ended.
func TestOutdatedLedger(t *testing.T) {
	key := flowKey(1)
	reset := func(lentilflow.Packet) lentilflow.Packet { return lentilflow.Packet{Key: key, Flags: lentilflow.Reset} }
	for _, c := range []struct {
		name   string
		answer func(lentilflow.Packet) lentilflow.Packet
	}{{"the upstream resets the flow", reset}, {"the upstream returns the packet", markReturned}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.Restore(lentilledger.Ledger{
				Service: "a", UpstreamID: "u", UpstreamIncarnation: h.createdAt.UnixMilli() + 1, Flows: []lentilledger.Flow{{Key: key, Acknowledged: 7}},
			}, 0, nil)
			h.register("u", func(r *Registration) { r.Sequence = 9 })
			ask := func() string {
				return formatActions(h.HandleAsk(peer1, lentilflow.Ask{Keys: []lentilflow.Key{key}}, nil))
			}
			data := dataPacket(key, 900_000_000)
			steps := []struct{ got, want string }{
				{ask(), "SendDenied unsure=true"},
				{h.fromBalancer(peer1, lentilflow.Lookup, data), "ToUpstream"},
				{h.fromUpstream(c.answer(data)), "SendDenied unsure=false"},
				{ask(), "SendDenied unsure=false"},
			}
			for i, s := range steps {
				if s.got != s.want {
					t.Errorf("step %d: got %q, want %q", i, s.got, s.want)
				}
			}
		})
	}
}
