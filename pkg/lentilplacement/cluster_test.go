package lentilplacement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// newCluster returns a harness whose placer, in domain-1, has clusterAgents agents of one service in four failure domains.
func newCluster(t testing.TB) *harness {
	h := newHarness(t)
	h.Placer = &Placer{Clock: h.clock, Codec: codec(), Domain: "domain-1"}
	h.configure(1, "a")
	for n := 1; n <= clusterAgents; n++ {
		h.sendStatus(n, func(m *lentilflow.Status) { m.Service, m.Domain = "a", fmt.Sprint("domain-", n%4) })
	}
	h.SetAgentsComplete()
	return h
}

// TestLookupIncludesPlacedAgent checks that the agent that got a flow from one balancer is among those that
// another balancer of the same failure domain asks first, although their views of up to 20 agents differ.
func TestLookupIncludesPlacedAgent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const agents = clusterAgents
		placer, searcher := newCluster(t), newCluster(t)
		for range rapid.IntRange(0, 20).Draw(rt, "changes") {
			n := rapid.IntRange(1, agents).Draw(rt, "agent")
			searcher.sendStatus(n, func(m *lentilflow.Status) {
				m.Service, m.Domain, m.Phase = "a", fmt.Sprint("domain-", n%4), lentilflow.Draining
			})
		}
		n := rapid.IntRange(1, 60000).Draw(rt, "flow")
		actions, err := placer.HandlePacket(firstPacket(n), nil)
		if err != nil || actions[0].Kind != SendCarry {
			rt.Fatal(actions, err)
		}
		holder := actions[0].To
		actions, err = searcher.HandlePacket(laterPacket(n), nil)
		if err != nil {
			rt.Fatal(err)
		}
		if maxActions := 2 * (sameDomainCandidates + otherDomainCandidates + 20); len(actions) > maxActions {
			rt.Fatalf("%d agents are asked", len(actions))
		}
		for _, a := range actions {
			if a.To == holder {
				return
			}
		}
		rt.Fatalf("the flow was placed at %s, which isn't among the %d agents that are asked", holder, len(actions))
	})
}

// TestLookupAsksAllAgents looks up a flow whose holder isn't one of its preferred agents.
func TestLookupAsksAllAgents(t *testing.T) {
	h := newCluster(t)
	actions, err := h.HandlePacket(laterPacket(7), nil)
	if err != nil {
		t.Fatal(err)
	}
	preferred := make(map[lentilflow.Endpoint]bool)
	for _, a := range actions {
		if a.Kind == SendCarry {
			preferred[a.To] = true
		}
	}
	var asked []Action
	for addr := range preferred {
		for _, a := range h.HandleDenied(addr, lentilflow.Denied{Keys: []lentilflow.Key{flowKey(7)}}, nil) {
			if a.Kind == SendAsk {
				asked = append(asked, a)
			}
		}
	}
	if len(asked) != 80-len(preferred) {
		t.Fatalf("%d agents were asked after %d of 80 had denied the flow", len(asked), len(preferred))
	}
	holder := asked[5].To
	got := describe(h.HandleTaken(holder, lentilflow.Taken{Key: flowKey(7), Open: true}, nil))
	address := holder.Address()
	if want := fmt.Sprintf("owned to %d", address[3]); got != want {
		t.Errorf("forwarding of the held packet: got %q, want %q", got, want)
	}
}

// TestLookupOnLargeSites looks up flows that a balancer of another failure domain has placed, on sites of more agents than are all
// asked. The holder must be asked first or, once the preferred agents have denied the flow, with the likely holders, and the number of
// agents that are asked must not grow with the site.
func TestLookupOnLargeSites(t *testing.T) {
	const domains = 15
	for _, agents := range []int{300, 3300} {
		for _, service := range []string{"a", "formerly of the address"} {
			t.Run(fmt.Sprintf("%d agents, service %s", agents, service), func(t *testing.T) {
				site := func(domain string) *harness {
					h := newHarness(t)
					h.Placer = &Placer{Clock: h.clock, Codec: codec(), Domain: domain}
					h.configure(1, service)
					for n := 1; n <= agents; n++ {
						h.sendStatus(n, func(m *lentilflow.Status) { m.Service, m.Domain = service, fmt.Sprint("domain-", n%domains) })
					}
					h.SetAgentsComplete()
					return h
				}
				placer, searcher := site("domain-3"), site("domain-8")
				if service != "a" {
					searcher.configure(2, "a")
				}
				inFirst := 0
				const flows = 40
				for n := 1; n <= flows; n++ {
					actions, err := placer.HandlePacket(firstPacket(n), nil)
					if err != nil || actions[0].Kind != SendCarry {
						t.Fatal(actions, err)
					}
					holder := actions[0].To
					searcher.clock.Advance(time.Second)
					if actions, err = searcher.HandlePacket(laterPacket(n), nil); err != nil {
						t.Fatal(err)
					}
					asked := make(map[lentilflow.Endpoint]bool)
					var replies []Action
					for _, a := range actions {
						if a.Kind == SendCarry {
							asked[a.To] = true
							replies = searcher.HandleDenied(a.To, lentilflow.Denied{Keys: []lentilflow.Key{a.Key}}, replies)
						}
					}
					if asked[holder] {
						inFirst++
					}
					for _, a := range replies {
						if a.Kind == SendAsk {
							asked[a.To] = true
						}
						if a.Kind == ResetClient {
							t.Errorf("flow %d was reset though not every agent has denied it", n)
						}
					}
					if !asked[holder] {
						t.Errorf("flow %d: its holder isn't among the %d agents that were asked", n, len(asked))
					}
					if len(asked) > maxLikelyHolders {
						t.Errorf("flow %d: %d agents were asked, limit %d", n, len(asked), maxLikelyHolders)
					}
				}
				t.Logf("%d of %d holders were among the preferred agents", inFirst, flows)
			})
		}
	}
}

// TestLookupAsksAllWithoutAnswers checks that a retransmission makes the balancer ask all agents if the
// preferred ones haven't answered.
func TestLookupAsksAllWithoutAnswers(t *testing.T) {
	h := newCluster(t)
	if _, err := h.HandlePacket(laterPacket(7), nil); err != nil {
		t.Fatal(err)
	}
	h.clock.Advance(200 * time.Millisecond)
	actions, err := h.HandlePacket(laterPacket(7), nil)
	if err != nil {
		t.Fatal(err)
	}
	asked := 0
	for _, a := range actions {
		if a.Kind == SendAsk {
			asked++
		}
	}
	if asked == 0 {
		t.Error("no other agent was asked after the client's retransmission")
	}
}

// TestUnresponsiveAgentDoesNotBlockLookup looks up a flow that all but one of its preferred agents deny, and
// expects that the balancer asks all agents although that one never answers.
func TestUnresponsiveAgentDoesNotBlockLookup(t *testing.T) {
	h := newCluster(t)
	preferred := h.preferredAgents(flowKey(7))
	for range 40 {
		h.clock.Advance(100 * time.Millisecond)
		for n := 1; n <= 80; n++ {
			if agentAddress(n) != preferred[0] {
				h.sendStatus(n, func(m *lentilflow.Status) { m.Service, m.Domain = "a", fmt.Sprint("domain-", n%4) })
			}
		}
		h.Tick(nil)
	}
	if _, err := h.HandlePacket(laterPacket(7), nil); err != nil {
		t.Fatal(err)
	}
	asked := 0
	for _, addr := range preferred[1:] {
		for _, a := range h.HandleDenied(addr, lentilflow.Denied{Keys: []lentilflow.Key{flowKey(7)}}, nil) {
			if a.Kind == SendAsk {
				asked++
			}
		}
	}
	if asked == 0 {
		t.Error("no other agent was asked")
	}
}

// TestAsksAreBounded sends a thousand unknown flows at once and checks the bounds of Asks and held packets.
func TestAsksAreBounded(t *testing.T) {
	h := newCluster(t)
	asks := 0
	for n := range 1000 {
		actions, err := h.HandlePacket(laterPacket(n), nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range actions {
			if a.Kind != SendCarry {
				continue
			}
			for _, reply := range h.HandleDenied(a.To, lentilflow.Denied{Keys: []lentilflow.Key{flowKey(n)}}, nil) {
				if reply.Kind == SendAsk {
					asks++
				}
			}
		}
	}
	if asks > asksBurst {
		t.Errorf("%d Asks at once, limit %d", asks, asksBurst)
	}
	if h.heldPackets > maxHeldPackets {
		t.Errorf("%d packets are held, limit %d", h.heldPackets, maxHeldPackets)
	}
}
