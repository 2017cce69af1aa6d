package lentilplacement

import (
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// newStartingHarness returns a harness whose placer has just started: it has no configuration, no list of agents, and
// has heard from none.
func newStartingHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.Placer = &Placer{Clock: h.clock, Codec: codec(), Domain: "near"}
	return h
}

func listAgent(h *harness, n int) {
	h.AddPeer(Peer{Node: lentilflow.Node{Domain: "near", Address: agentAddress(n)}, Service: "a"}, nil)
}

// TestFirstPacketsAreHeldWhileStarting checks that a flow that arrives before the balancer knows an agent for it is
// offered as soon as there is one, without another packet from its client.
func TestFirstPacketsAreHeldWhileStarting(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(h *harness) (got string)
		want  string
	}{
		{"until the configuration is read", func(h *harness) string {
			h.sendStatus(1)
			got := h.sendPacket(firstPacket(testFlow))
			h.configure(1, "a")
			return got + "; " + describe(h.Tick(nil))
		}, "hold NoConfiguration; place to 1"},
		{"until the list of agents is read", func(h *harness) string {
			h.configure(1, "a")
			got := h.sendPacket(firstPacket(testFlow))
			listAgent(h, 2)
			h.SetAgentsComplete()
			got += "; " + describe(h.Tick(nil))
			h.sendStatus(2)
			return got + "; " + describe(h.Tick(nil))
		}, "hold NoAgent; ; place to 2"},
		{"until a listed agent is heard", func(h *harness) string {
			h.configure(1, "a")
			listAgent(h, 2)
			h.SetAgentsComplete()
			got := h.sendPacket(firstPacket(testFlow))
			h.sendStatus(2)
			return got + "; " + describe(h.Tick(nil))
		}, "hold NoAgent; place to 2"},
		{"until the client gives up", func(h *harness) string {
			got := h.sendPacket(firstPacket(testFlow))
			h.clock.Advance(lentilflow.OpeningPatience + time.Millisecond)
			return got + "; " + describe(h.Tick(nil))
		}, "hold NoConfiguration; drop ClientGone"},
		{"not if the service has no agent", func(h *harness) string {
			h.configure(1, "a")
			h.SetAgentsComplete()
			return h.sendPacket(firstPacket(testFlow))
		}, "reset NoAgent 0"},
		{"not if no listed agent has been heard for as long as clients wait", func(h *harness) string {
			h.configure(1, "a")
			listAgent(h, 2)
			h.SetAgentsComplete()
			h.clock.Advance(lentilflow.OpeningTimeout)
			return h.sendPacket(firstPacket(testFlow))
		}, "reset NoAgent 0"},
		{"until the upstream of an agent that has started registers", func(h *harness) string {
			unheard := func(m *lentilflow.Status) { m.Phase = lentilflow.Unheard }
			h.configure(1, "a")
			listAgent(h, 2)
			h.SetAgentsComplete()
			h.sendStatus(2, unheard)
			got := h.sendPacket(firstPacket(testFlow)) + "; " + h.advance(time.Second) + "; " + h.sendStatus(2)
			return got + "; " + describe(h.Tick(nil))
		}, "hold NoAgent; ; AgentChanged 2; place to 2"},
		{"not if the upstream of an agent hasn't registered for as long as clients wait", func(h *harness) string {
			unheard := func(m *lentilflow.Status) { m.Phase = lentilflow.Unheard }
			h.configure(1, "a")
			listAgent(h, 3)
			h.SetAgentsComplete()
			h.sendStatus(3, unheard)
			h.clock.Advance(lentilflow.OpeningTimeout)
			h.sendStatus(3, unheard)
			return h.sendPacket(firstPacket(testFlow))
		}, "reset NoAgent 0"},
		{"until a packet shows that the flow is open", func(h *harness) string {
			h.sendStatus(1)
			got := h.sendPacket(firstPacket(testFlow)) + "; " + h.sendPacket(laterPacket(testFlow))
			h.configure(1, "a")
			return got + "; " + describe(h.Tick(nil))
		}, "hold NoConfiguration; ask 1; "},
		{"once, however often the client sends it", func(h *harness) string {
			got := h.sendPacket(firstPacket(testFlow)) + "; " + h.sendPacket(firstPacket(testFlow))
			h.sendStatus(1)
			h.configure(1, "a")
			return got + "; " + describe(h.Tick(nil)) + "; " + describe(h.Tick(nil))
		}, "hold NoConfiguration; ; place to 1; "},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.steps(newStartingHarness(t)); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestHeldFirstPacketsAreBounded checks that first packets beyond the limit are dropped, as their clients send them again.
func TestHeldFirstPacketsAreBounded(t *testing.T) {
	h := newStartingHarness(t)
	for n := range maxHeldPlacements {
		if got := h.sendPacket(firstPacket(n)); got != "hold NoConfiguration" {
			t.Fatalf("flow %d: %s", n, got)
		}
	}
	if got := h.sendPacket(firstPacket(maxHeldPlacements)); got != "drop NoConfiguration" {
		t.Errorf("one more flow: %s", got)
	}
}

// TestRefusalOfStartingAgentResetsFlows guards against clients that are reset although an agent is about to take their flows,
// since another flow was refused there before the upstream registered.
func TestRefusalOfStartingAgentResetsFlows(t *testing.T) {
	h := newStartingHarness(t)
	h.configure(1, "a")
	h.SetAgentsComplete()
	h.sendStatus(1)
	h.sendPacket(firstPacket(testFlow))
	h.answerTaken(1, true)
	h.sendStatus(1, ofRun(2, 1), func(m *lentilflow.Status) { m.Phase = lentilflow.Unheard })
	// The client uses its port again, and the remembered agent refuses the new flow.
	got := h.sendPacket(firstPacket(testFlow))
	if got == "place to 1" {
		got += "; " + h.answerRefused(1, lentilflow.NoUpstream)
	}
	got += "; " + h.sendPacket(firstPacket(testFlow+1))
	if strings.Contains(got, "reset") {
		t.Errorf("got %q, want both flows held until the upstream registers", got)
	}
}

// TestRefusalElsewhereResetsFlowThatCouldWait guards against a client that is reset although an agent is about to take its flow,
// since another agent of the service has refused it.
func TestRefusalElsewhereResetsFlowThatCouldWait(t *testing.T) {
	h := newStartingHarness(t)
	h.configure(1, "a")
	h.SetAgentsComplete()
	h.sendStatus(1)
	h.sendStatus(2, func(m *lentilflow.Status) { m.Phase = lentilflow.Unheard })
	got := h.sendPacket(firstPacket(testFlow)) + "; " + h.answerRefused(1, lentilflow.UpstreamDraining)
	if strings.Contains(got, "reset") {
		t.Errorf("got %q, want the flow held until the upstream of agent 2 registers", got)
	}
}

// TestFlowHeldAfterRefusalIsReset guards against the reset of a flow that waits for the agent that has refused it before its
// upstream registered, at the moment at which the upstream does.
func TestFlowHeldAfterRefusalIsReset(t *testing.T) {
	h := newStartingHarness(t)
	h.configure(1, "a")
	h.SetAgentsComplete()
	h.sendStatus(1)
	h.sendPacket(firstPacket(testFlow))
	h.answerTaken(1, true)
	h.sendStatus(1, ofRun(2, 1), func(m *lentilflow.Status) { m.Phase = lentilflow.Unheard })
	got := h.sendPacket(firstPacket(testFlow)) + "; " + h.answerRefused(1, lentilflow.NoUpstream) + "; " + h.advance(300*time.Millisecond)
	h.sendStatus(1, ofRun(2, 2))
	got += "; " + describe(h.Tick(nil))
	if want := "place to 1; hold AllRefused; ; place to 1"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
