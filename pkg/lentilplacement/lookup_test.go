package lentilplacement

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// TestUnknownFlowsAreResetInTime covers the seconds after a power loss on all 80 VMs: the clients of 3,000
// flows that no agent holds any more retransmit. Each must get a reset within the two seconds that the
// platform allows for an answer, so that it can reconnect.
func TestUnknownFlowsAreResetInTime(t *testing.T) {
	for _, link := range []int{0, testLink} {
		t.Run(fmt.Sprint("link ", link), func(t *testing.T) { resetUnknownFlows(t, link) })
	}
}

// resetUnknownFlows lets the clients of TestUnknownFlowsAreResetInTime retransmit to a balancer with a link of the given rate.
func resetUnknownFlows(t *testing.T, link int) {
	const (
		flowCount = 3000
		agents    = 80
		step      = 10 * time.Millisecond
		limit     = 2 * time.Second
		arrival   = time.Second
	)
	h := newCluster(t)
	h.LinkBytesPerSecond = link
	type client struct{ began, next, interval time.Duration }
	open := make(map[int]*client)
	for n := range flowCount {
		began := arrival * time.Duration(n) / flowCount
		open[n] = &client{began: began, next: began, interval: 200 * time.Millisecond}
	}
	datagrams := 0
	deny := func(actions []Action) (replies []Action) {
		for _, a := range actions {
			switch a.Kind {
			case SendCarry:
				datagrams++
				replies = h.HandleDenied(a.To, lentilflow.Denied{Keys: []lentilflow.Key{a.Key}}, replies)
			case SendAsk:
				datagrams++
				replies = h.HandleDenied(a.To, lentilflow.Denied{Keys: a.Keys}, replies)
			default:
				replies = append(replies, a)
			}
		}
		return replies
	}
	// reset has the flows whose client got a reset.
	reset := make(map[lentilflow.Key]bool)
	process := func(actions []Action) {
		for len(actions) > 0 {
			replies := deny(actions)
			actions = nil
			for _, a := range replies {
				switch a.Kind {
				case ResetClient:
					reset[a.Key] = true
				case SendCarry, SendAsk:
					actions = append(actions, a)
				}
			}
		}
	}
	for now := time.Duration(0); len(open) > 0; now += step {
		for n, c := range open {
			switch {
			case reset[flowKey(n)]:
				delete(open, n)
			case now-c.began > limit:
				t.Fatalf("flow %d is not reset after %s, nor are %d others", n, limit, len(open)-1)
			case now >= c.next:
				c.next, c.interval = now+c.interval, 2*c.interval
				actions, err := h.HandlePacket(laterPacket(n), nil)
				if err != nil {
					t.Fatal(err)
				}
				process(actions)
			}
		}
		if now%(500*time.Millisecond) == 0 {
			for n := 1; n <= agents; n++ {
				h.sendStatus(n, func(m *lentilflow.Status) { m.Service, m.Domain = "a", "domain-0" })
			}
		}
		process(h.Tick(nil))
		h.clock.Advance(step)
	}
	t.Logf("%d datagrams for %d flows", datagrams, flowCount)
}

// TestDenyingAgentsAreNotAskedAgain checks that a client's second packet isn't sent to agents that have just
// denied the flow, while one agent that has just become unresponsive keeps the flow from being reset.
func TestDenyingAgentsAreNotAskedAgain(t *testing.T) {
	h := newCluster(t)
	unresponsive := h.preferredAgents(flowKey(7))[0]
	var lastActions string
	advance := func(d time.Duration) {
		for ; d > 0; d -= 100 * time.Millisecond {
			h.clock.Advance(100 * time.Millisecond)
			for n := 1; n <= clusterAgents; n++ {
				if agentAddress(n) != unresponsive {
					h.sendStatus(n, func(m *lentilflow.Status) { m.Service, m.Domain = "a", "domain-1" })
				}
			}
			lastActions = cmp.Or(describe(h.Tick(nil)), lastActions)
		}
	}
	send := func() (actions []Action) {
		actions, err := h.HandlePacket(laterPacket(7), nil)
		if err != nil {
			t.Fatal(err)
		}
		return actions
	}
	deny := func(actions []Action) (replies []Action) {
		for _, a := range actions {
			if a.To != unresponsive && (a.Kind == SendCarry || a.Kind == SendAsk) {
				replies = h.HandleDenied(a.To, lentilflow.Denied{Keys: []lentilflow.Key{flowKey(7)}}, replies)
			}
		}
		return replies
	}
	advance(2 * time.Second)
	if remaining := deny(deny(deny(send()))); len(remaining) > 0 {
		t.Fatalf("actions while one agent is unresponsive: %s", describe(remaining))
	}
	advance(200 * time.Millisecond)
	for _, a := range send() {
		if a.Kind == SendCarry && a.To != unresponsive {
			t.Errorf("flow looked up again at %s, which has just denied it", a.To)
		}
	}
	advance(500 * time.Millisecond)
	if lastActions != "reset AllDenied 77" {
		t.Errorf("last actions once the unresponsive agent is gone: %q, want a reset", lastActions)
	}
}

// TestFlowResetWhileAgentIsStopped looks up a flow that no agent holds while one agent is down after a requested
// stop. The flow may be reset only if the upstream of that agent has ended too.
func TestFlowResetWhileAgentIsStopped(t *testing.T) {
	for _, c := range []struct {
		name          string
		upstreamEnded bool
		down          time.Duration
		want          string
	}{
		{"its upstream may still run", false, 5 * time.Second, "ask 1, ask 4"},
		{"its upstream has ended", true, 5 * time.Second, "ask 1, ask 4, reset AllDenied 77"},
		{"its upstream has just ended", true, 100 * time.Millisecond, "reset AllDenied 77"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.configure(1, "a")
			h.sendStatus(1, func(m *lentilflow.Status) { m.Stopping, m.UpstreamEnded = true, c.upstreamEnded })
			h.advance(c.down, 2, 3, 4)
			h.sendPacket(laterPacket(testFlow))
			var replies []string
			for _, n := range []int{2, 3, 4} {
				if reply := h.answerDenied(n); reply != "" {
					replies = append(replies, reply)
				}
			}
			if got := strings.Join(replies, ", "); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestUnsureAgentsInTurn looks up a flow that twenty agents can't decide about without a packet. Each must get the
// packet, at most maxUnsureAgents at a time, without another packet of the client, and the flow must be reset once all have denied it.
func TestUnsureAgentsInTurn(t *testing.T) {
	t.Run("without link", func(t *testing.T) { askUnsureAgents(t, newHarness(t), maxUnsureAgents) })
	t.Run("on a full link", func(t *testing.T) {
		h := newLinkHarness(t)
		h.Codec = codec()
		askUnsureAgents(t, h, 1)
	})
}

// askUnsureAgents looks up the flow of TestUnsureAgentsInTurn and checks that at most limit agents have the packet at a time.
func askUnsureAgents(t *testing.T, h *harness, limit int) {
	const agents = 20
	for n := 5; n <= agents; n++ {
		h.sendStatus(n, func(m *lentilflow.Status) { m.Service = "b" })
	}
	h.sendPacket(laterPacket(testFlow))
	for n := 1; n <= 3; n++ {
		h.answerDenied(n)
	}
	var waiting []lentilflow.Endpoint
	collect := func(actions []Action) (reset bool) {
		for _, a := range actions {
			switch a.Kind {
			case SendCarry:
				waiting = append(waiting, a.To)
			case ResetClient:
				reset = true
			}
		}
		return reset
	}
	for n := 4; n <= agents; n++ {
		collect(h.HandleDenied(agentAddress(n), lentilflow.Denied{Keys: []lentilflow.Key{flowKey(testFlow)}, Unsure: true}, nil))
	}
	if len(waiting) > limit {
		t.Errorf("%d agents got the packet at once, limit %d", len(waiting), limit)
	}
	decided, reset := 0, false
	for len(waiting) > 0 && !reset {
		next := waiting[0]
		waiting = waiting[1:]
		decided++
		reset = collect(h.HandleDenied(next, lentilflow.Denied{Keys: []lentilflow.Key{flowKey(testFlow)}}, nil))
	}
	if decided != agents-3 || !reset {
		t.Errorf("%d of %d agents got the packet, reset %t", decided, agents-3, reset)
	}
}

// TestPacketsGoToAgentThatDenied guards against packets that go to an agent which has denied their flow, and not to the only other
// one that was offered it.
func TestPacketsGoToAgentThatDenied(t *testing.T) {
	h := newHarness(t)
	h.sendPacket(firstPacket(testFlow))
	h.advance(200*time.Millisecond, 1, 2, 3, 4)
	h.answerTaken(2, false)
	h.sendPacket(laterPacket(testFlow))
	h.answerDenied(2)
	if got := h.sendPacket(laterPacket(testFlow)); strings.Contains(got, "to 2") || !strings.Contains(got, "to 1") {
		t.Errorf("got %q, want the packet sent to agent 1 alone", got)
	}
}

// TestDenialOfEarlierFlow guards against the reset of a flow whose agent has only denied an earlier flow from the same port of the
// client.
func TestDenialOfEarlierFlow(t *testing.T) {
	h := newHarness(t)
	h.sendPacket(laterPacket(testFlow))
	h.answerDenied(1)
	h.advance(3*time.Second, 1, 2, 3, 4)
	if got := h.sendPacket(laterPacket(testFlow)); strings.Contains(got, "to 1") {
		t.Errorf("another packet of the earlier flow: got %q, want agent 1 left out", got)
	}
	// Another balancer has the client's next flow opened at agent 1.
	if got := h.sendPacket(nextPacket()); !strings.Contains(got, "lookup to 1") {
		t.Errorf("a packet of the next flow: got %q, want it sent to agent 1 too", got)
	}
	for _, n := range []int{2, 3, 4} {
		if got := h.answerDenied(n); strings.Contains(got, "reset") {
			t.Errorf("agent %d denies the flow, and agent 1 hasn't answered: got %q", n, got)
		}
	}
}
