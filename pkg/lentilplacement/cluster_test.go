package lentilplacement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// newCluster returns a placer in domain-1 with many agents of one service in four failure domains.
func newCluster(t testing.TB) *harness {
	b := newHarness(t)
	b.Placer = &Placer{Clock: b.clock, Codec: codec(), Domain: "domain-1"}
	b.configure(1, "a")
	for n := 1; n <= clusterAgents; n++ {
		b.sendStatus(n, func(m *lentilflow.Status) { m.Service, m.Domain = "a", fmt.Sprint("domain-", n%4) })
	}
	b.SetAgentsComplete()
	return b
}

// TestLookupIncludesPlacedAgent draws views that differ, and expects that a flow placed by one balancer is among
// those that another one of its failure domain asks first.
func TestLookupIncludesPlacedAgent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const agents = clusterAgents
		placing, seeking := newCluster(t), newCluster(t)
		for range rapid.IntRange(0, 20).Draw(rt, "changes") {
			n := rapid.IntRange(1, agents).Draw(rt, "agent")
			seeking.sendStatus(n, func(m *lentilflow.Status) {
				m.Service, m.Domain, m.Phase = "a", fmt.Sprint("domain-", n%4), lentilflow.Draining
			})
		}
		n := rapid.IntRange(1, 60000).Draw(rt, "flow")
		actions, err := placing.HandlePacket(firstPacket(n), nil)
		if err != nil || actions[0].Kind != SendCarry {
			rt.Fatal(actions, err)
		}
		holder := actions[0].To
		actions, err = seeking.HandlePacket(laterPacket(n), nil)
		if err != nil {
			rt.Fatal(err)
		}
		if most := 2 * (sameDomainCandidates + otherDomainCandidates + 20); len(actions) > most {
			rt.Fatalf("%d agents are asked", len(actions))
		}
		for _, a := range actions {
			if a.To == holder {
				return
			}
		}
		rt.Fatalf("the flow went to %s, which isn't among the %d agents that are asked", holder, len(actions))
	})
}

// TestLookupAsksAllAgents seeks a flow that lives where no one would have placed it.
func TestLookupAsksAllAgents(t *testing.T) {
	b := newCluster(t)
	actions, err := b.HandlePacket(laterPacket(7), nil)
	if err != nil {
		t.Fatal(err)
	}
	likely := make(map[lentilflow.Endpoint]bool)
	for _, a := range actions {
		if a.Kind == SendCarry {
			likely[a.To] = true
		}
	}
	var asked []Action
	for end := range likely {
		for _, a := range b.HandleDenied(end, lentilflow.Denied{Keys: []lentilflow.Key{flowKey(7)}}, nil) {
			if a.Kind == SendAsk {
				asked = append(asked, a)
			}
		}
	}
	if len(asked) != 80-len(likely) {
		t.Fatalf("%d agents are asked after %d of 80 denied", len(asked), len(likely))
	}
	holder := asked[5].To
	got := describe(b.HandleTaken(holder, lentilflow.Taken{Key: flowKey(7), Open: true}, nil))
	address := holder.Address()
	if want := fmt.Sprintf("owned to %d", address[3]); got != want {
		t.Errorf("the packet that was held: got %q, want %q", got, want)
	}
}

// TestLookupAsksAllWithoutAnswers seeks a flow whose likely agents say nothing.
func TestLookupAsksAllWithoutAnswers(t *testing.T) {
	b := newCluster(t)
	if _, err := b.HandlePacket(laterPacket(7), nil); err != nil {
		t.Fatal(err)
	}
	b.clock.Advance(200 * time.Millisecond)
	actions, err := b.HandlePacket(laterPacket(7), nil)
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
		t.Error("nobody else is asked when the client sends again")
	}
}

// TestUnresponsiveAgentDoesNotBlockLookup seeks a flow of whose likely agents one never answers.
func TestUnresponsiveAgentDoesNotBlockLookup(t *testing.T) {
	b := newCluster(t)
	likely := b.preferredAgents(flowKey(7))
	for range 40 {
		b.clock.Advance(100 * time.Millisecond)
		for n := 1; n <= 80; n++ {
			if agentAddress(n) != likely[0] {
				b.sendStatus(n, func(m *lentilflow.Status) { m.Service, m.Domain = "a", fmt.Sprint("domain-", n%4) })
			}
		}
		b.Tick(nil)
	}
	if _, err := b.HandlePacket(laterPacket(7), nil); err != nil {
		t.Fatal(err)
	}
	asked := 0
	for _, end := range likely[1:] {
		for _, a := range b.HandleDenied(end, lentilflow.Denied{Keys: []lentilflow.Key{flowKey(7)}}, nil) {
			if a.Kind == SendAsk {
				asked++
			}
		}
	}
	if asked == 0 {
		t.Error("nobody else is asked")
	}
}

// TestAsksAreBounded lets a thousand unknown flows come at once.
func TestAsksAreBounded(t *testing.T) {
	b := newCluster(t)
	questions := 0
	for n := range 1000 {
		actions, err := b.HandlePacket(laterPacket(n), nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range actions {
			if a.Kind != SendCarry {
				continue
			}
			for _, x := range b.HandleDenied(a.To, lentilflow.Denied{Keys: []lentilflow.Key{flowKey(n)}}, nil) {
				if x.Kind == SendAsk {
					questions++
				}
			}
		}
	}
	if questions > asksBurst {
		t.Errorf("%d questions at once, bound %d", questions, asksBurst)
	}
	if b.heldPackets > maxHeldPackets {
		t.Errorf("%d packets are held, bound %d", b.heldPackets, maxHeldPackets)
	}
}
